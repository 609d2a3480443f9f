package agatedispatch_test

import (
	"testing"
	"time"

	"agatereach/core/request/agateheader"
	"agatereach/core/request/agatekind"
	"agatereach/core/version/agateserver"

	"pgregory.net/rapid"
)

// sendOpen opens a flow or repeats the open. A caller that has a token stops
// repeating the open after openRepeatTime; until then late copies are
// simulated.
func (w *simulation) sendOpen(service uint32, flow uint64) {
	if w.callerFlows[flow] == nil {
		w.callerFlows[flow] = &callerFlow{service: service, firstOpen: w.now}
	}
	if !w.callerFlows[flow].seal.IsZero() && w.now.Sub(w.callerFlows[flow].firstOpen) > openRepeatTime {
		return
	}
	w.sendCopies(agateheader.Header{Kind: agatekind.Open, Service: w.callerFlows[flow].service, Flow: flow})
}

// openRepeatTime is how long copies of an open may be sent after the first one.
const openRepeatTime = 5 * time.Second

// sendRequest sends a new request of the flow.
func (w *simulation) sendRequest(flow uint64) {
	l := w.callerFlows[flow]
	if l == nil || l.seal.IsZero() {
		return
	}
	number := uint64(1)
	if len(l.numbers) > 0 {
		number += l.numbers[len(l.numbers)-1]
	}
	if w.faults {
		number += rapid.SampledFrom([]uint64{0, 0, 0, 0, 3, 70}).Draw(w.t, "gap")
	}
	l.numbers = append(l.numbers, number)
	w.requests[[2]uint64{flow, number}] = &callerRequest{flow: flow, number: number, service: l.service}
	w.resend(agatekind.Request, flow, len(l.numbers))
}

// resend sends a datagram of the flow's nth request with the flow's latest
// token.
func (w *simulation) resend(kind agatekind.Kind, flow uint64, n int) {
	l := w.callerFlows[flow]
	if l == nil || n > len(l.numbers) {
		return
	}
	w.sendCopies(agateheader.Header{Kind: kind, Service: l.service, Flow: flow, Number: l.numbers[n-1], Token: l.seal})
}

// step performs one randomly drawn action.
func (w *simulation) step() {
	flow := rapid.Uint64Range(1, 4).Draw(w.t, "flow")
	i := rapid.IntRange(0, len(w.entries)-1).Draw(w.t, "i")
	p := w.entries[i]
	n := rapid.IntRange(1, 6).Draw(w.t, "n")
	steps := []string{
		"open", "ask", "ask", "ask", "repeat", "repeat", "repeat", "cancel", "gossip", "gossip",
		"pass", "pass", "pass", "crash", "hand over", "replace", "pause", "wake", "drain", "restart",
	}
	switch rapid.SampledFrom(steps).Draw(w.t, "step") {
	case "open":
		w.sendOpen([]uint32{intake, intake, intake, maps}[flow-1], flow)
	case "ask":
		w.sendRequest(flow)
	case "repeat":
		w.resend(agatekind.Request, flow, n)
	case "cancel":
		w.resend(agatekind.Cancel, flow, n)
	case "gossip":
		if !p.paused {
			w.gossip(i)
		}
	case "pass":
		w.advance(time.Duration(rapid.SampledFrom([]int{100, 1100, 40000}).Draw(w.t, "long")) * time.Millisecond)
	case "crash":
		w.boot(i)
	case "hand over":
		w.handOver(i, rapid.IntRange(0, len(w.entries)-1).Draw(w.t, "j"))
	case "replace":
		if p.stopped && p.d.Idle() {
			w.boot(i)
		}
	case "pause":
		p.paused = true
	case "wake":
		if p.paused {
			p.paused, p.stale = false, true
			p.d.SetStale(true)
		}
	case "drain":
		w.change(func(s *agateserver.Server) { s.State = agateserver.Draining })
	case "restart":
		w.change(func(s *agateserver.Server) { s.Incarnation++; s.State = agateserver.Up })
	}
	w.advance(time.Duration(rapid.IntRange(0, 8).Draw(w.t, "short")) * time.Millisecond)
}

// TestRequestGuarantees combines random loss, duplication, delays, crashes,
// restarts at the same address, hand-overs, pauses and changes of servers.
// During the run it checks that a non-idempotent request runs at most once,
// that the outcome notrun is never reported for a request that runs, that each
// answer reaches the caller of its request, and that no request is sent to a
// server that does not take work.
func TestRequestGuarantees(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t, true)
		for range rapid.IntRange(20, 120).Draw(t, "steps") {
			w.step()
		}
		w.advance(10 * time.Second)
		w.advance(10 * time.Second)
	})
}

// TestAllAnsweredWithoutFaults checks that without faults every request is
// answered, whichever entries receive its datagrams and while entries are
// replaced gracefully.
func TestAllAnsweredWithoutFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t, false)
		for flow := uint64(1); flow <= 4; flow++ {
			w.sendOpen([]uint32{intake, intake, intake, maps}[flow-1], flow)
		}
		w.advance(5 * time.Millisecond)
		for range rapid.IntRange(1, 30).Draw(t, "requests") {
			w.sendRequest(rapid.Uint64Range(1, 4).Draw(t, "flow"))
			w.advance(time.Duration(rapid.IntRange(0, 3).Draw(t, "ms")) * time.Millisecond)
			if rapid.IntRange(0, 4).Draw(t, "replace") == 0 {
				w.replace(rapid.IntRange(0, 2).Draw(t, "i"))
			}
		}
		w.advance(10 * time.Millisecond)
		for _, a := range w.requests {
			if !a.answered {
				t.Fatalf("request %d of flow %d was not answered: outcome %q, reason %q", a.number, a.flow, a.outcome, a.reason)
			}
		}
	})
}

// replace stops entry i gracefully, lets it finish and starts a new process.
func (w *simulation) replace(i int) {
	w.handOver(i, (i+1)%len(w.entries))
	for j := range w.entries {
		w.gossip(j)
	}
	w.advance(10 * time.Millisecond)
	if !w.entries[i].d.Idle() {
		w.t.Fatal("the stopped process still has requests in flight")
	}
	w.boot(i)
	for j := range w.entries {
		w.gossip(j)
	}
}

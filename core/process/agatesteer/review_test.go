package agatesteer_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"agatereach/core/process/agatesteer"
	"agatereach/core/request/agatetuple"
	"agatereach/core/version/agateinstance"
	"agatereach/core/version/agatevip"
)

// expectNoResets reports an error for each of the flows that was reset.
func expectNoResets(t *testing.T, resets map[agatetuple.Tuple]time.Duration, calls ...*callerFlow) {
	t.Helper()
	for i, c := range calls {
		if at, reset := resets[c.flow]; reset {
			t.Errorf("flow %d was reset after %s", i, at)
		}
	}
}

// exchangeElsewhere returns the steps of a request of the flow's caller at server 2 and
// of its answer.
func (fx *fixture) exchangeElsewhere(c *callerFlow, request, answer time.Duration) []step {
	other := fx.flowAt(fx.server(2, "a", agateinstance.Ready))
	other.flow.Source = c.flow.Source
	return []step{{request, other.request}, {answer, other.receiveResponse}}
}

// TestCutThatEndsBetweenCopiesEndsNoFlow guards against resets because callers got nothing
// until after their second copies, and one then gets an answer from another server.
func TestCutThatEndsBetweenCopiesEndsNoFlow(t *testing.T) {
	fx := newFixture(t)
	_, calls := fx.oneServer(4)
	steps := fx.exchangeElsewhere(calls[0], 250*ms, 650*ms)
	for _, c := range calls[:3] {
		steps = append(steps, c.unansweredRequest(0, 2)...)
	}
	steps = append(steps, calls[3].unansweredRequest(700*ms, 1)...)
	expectNoResets(t, fx.play(2*time.Second, false, steps), calls...)
}

// TestFullRemoteServerEndsNoFlow guards against resets of a slow request of which one
// acknowledgement was lost, because another server of its data centre is full.
func TestFullRemoteServerEndsNoFlow(t *testing.T) {
	fx := newFixture(t)
	flows := fx.remoteFlows(1, 0)
	slow := flows[0][0]
	steps := slow.unansweredRequest(0, 2)
	steps = append(steps, fx.exchangeElsewhere(slow, 210*ms, 260*ms)...)
	for _, id := range []uint64{1, 2} {
		fx.server(id, "a", agateinstance.Draining)
	}
	fx.server(11, "b", agateinstance.Draining)
	for range 2 {
		c := fx.newFlow(feeds)
		for _, at := range []time.Duration{100 * ms, 300 * ms, 700 * ms} {
			steps = append(steps, step{at, c.syn})
		}
	}
	expectNoResets(t, fx.play(1400*ms, false, steps), slow)
}

// TestOneCallerIsOneWitness guards against resets because the flows of a single caller,
// whose packets from one server are lost, go through several entries.
func TestOneCallerIsOneWitness(t *testing.T) {
	fx := newFixture(t)
	server, calls := fx.oneServer(2)
	steps := fx.exchangeElsewhere(calls[0], 250*ms, 300*ms)
	steps = append(steps, calls[0].unansweredRequest(0, 2)...)
	for _, name := range []string{"vm-2", "vm-3"} {
		o := newFixture(t)
		o.server(server.ID, "a", agateinstance.Ready)
		other := o.flowAt(server)
		other.flow.Source = calls[0].flow.Source
		for _, each := range slices.Concat(o.exchangeElsewhere(other, 250*ms, 300*ms), other.unansweredRequest(0, 2)) {
			steps = append(steps, step{each.at, func() agatesteer.Verdict {
				o.now = fx.now
				return each.do()
			}})
		}
		for at := 550 * ms; at < 2*time.Second; at += 100 * ms {
			steps = append(steps, step{at, func() agatesteer.Verdict {
				o.now = fx.now
				o.steerer.Tick(o.now)
				fx.steerer.Report(name, o.steerer.Loads(o.now), false, fx.now)
				return agatesteer.Verdict{}
			}})
		}
	}
	steps = append(steps, calls[1].unansweredRequest(700*ms, 1)...)
	expectNoResets(t, fx.play(2*time.Second, false, steps), calls[1])
}

// TestBurstAtSlowServerEndsNoFlow guards against resets because one short burst of losses
// took the acknowledgements of the first copies of three slow requests.
func TestBurstAtSlowServerEndsNoFlow(t *testing.T) {
	fx := newFixture(t)
	_, calls := fx.oneServer(3)
	steps := fx.exchangeElsewhere(calls[0], 300*ms, 350*ms)
	for _, c := range calls {
		steps = append(steps, c.unansweredRequest(0, 2)...)
	}
	expectNoResets(t, fx.play(1300*ms, false, steps), calls...)
}

// TestLateDuplicatesAreNoWitness guards against resets of slow requests with one copy each
// because a duplicate of the copy comes late: no packet was lost.
func TestLateDuplicatesAreNoWitness(t *testing.T) {
	fx := newFixture(t)
	_, calls := fx.oneServer(3)
	steps := fx.exchangeElsewhere(calls[0], 250*ms, 300*ms)
	for _, c := range calls {
		steps = append(steps, step{0, c.request}, step{200 * ms, c.retransmit}, step{545 * ms, c.retransmit})
	}
	expectNoResets(t, fx.play(1300*ms, false, steps), calls...)
}

// TestOddEntryAndLostAcknowledgementEndNoFlow guards against resets at a living server under
// whose id another writer has left an entry, because one acknowledgement was lost.
func TestOddEntryAndLostAcknowledgementEndNoFlow(t *testing.T) {
	fx := newFixture(t)
	server, calls := fx.oneServer(3)
	steps := fx.exchangeElsewhere(calls[0], 250*ms, 300*ms)
	steps = append(steps, calls[0].unansweredRequest(0, 2)...)
	steps = append(steps, calls[1].unansweredRequest(700*ms, 1)...)
	steps = append(steps, calls[2].unansweredRequest(1700*ms, 1)...)
	fx.revision++
	server.StartTime, server.Revision, server.Address = 2, fx.revision, otherAddress
	fx.register(server)
	expectNoResets(t, fx.play(2*time.Second, false, steps), calls...)
}

// TestManyFlowsOfOneCallerHideNoWitnesses guards against flows of a crashed server that are
// never given up because one caller has many there, whose records leave no room for others.
func TestManyFlowsOfOneCallerHideNoWitnesses(t *testing.T) {
	for _, flows := range []int{0, 8} {
		t.Run(fmt.Sprint(flows), func(t *testing.T) {
			fx := newFixture(t)
			server, calls := fx.oneServer(3)
			var steps []step
			for range flows {
				c := fx.flowAt(server)
				c.flow.Source[3] = 77
				c.request()
				c.receiveResponse()
				steps = append(steps, c.unansweredRequest(0, 3)...)
			}
			fx.run(time.Second)
			for _, c := range calls {
				steps = append(steps, c.unansweredRequest(10*ms, 3)...)
			}
			steps = append(steps, fx.answeredElsewhere(calls, 1500*ms)...)
			if resets := fx.play(1300*ms, false, steps); len(resets) < len(calls) {
				t.Errorf("%d flows were reset, want %d at least", len(resets), len(calls))
			}
		})
	}
}

// cutPlan returns a plan in which all is in order, but for cuts that keep answers from most
// callers for up to 2.5 s.
func cutPlan(seed uint64) plan {
	r := rand.New(rand.NewPCG(seed, 1))
	p := plan{Seed: seed, Answer: 2 * maxPacketSize, Entries: make([][]entryTrouble, 1+r.IntN(3))}
	for range 2 + r.IntN(4) {
		p.Servers = append(p.Servers, serverPlan{Centre: centreNames[r.IntN(len(centreNames))], Slow: []float64{0, 0.4, 0.9}[r.IntN(3)]})
	}
	for range 4 + r.IntN(16) {
		c := callerPlan{Centre: "a", Loss: 0.02}
		for range 1 + r.IntN(3) {
			c.Users = append(c.Users, userPlan{Kind: agatevip.Idempotent, Long: r.IntN(4) > 0, Pause: 1500 * ms})
		}
		p.Callers = append(p.Callers, c)
	}
	for range r.IntN(6) {
		from := simulatedStart + time.Duration(r.IntN(7000))*ms
		cut := period{From: from, To: from + time.Duration(300+r.IntN(2200))*ms}
		for i := range p.Callers {
			if r.IntN(10) > 0 {
				p.Callers[i].Cuts = append(p.Callers[i].Cuts, cut)
			}
		}
	}
	return p
}

// TestCutsOfManyCallersEndNoFlow guards against resets at servers in order after cuts that
// hit most callers at once.
func TestCutsOfManyCallersEndNoFlow(t *testing.T) {
	const plans = 500
	for seed := range uint64(plans) {
		if wrong := simulate(cutPlan(seed)).wrong; len(wrong) > 0 {
			t.Errorf("plan %d: %d flows were reset, first %s", seed, len(wrong), wrong[0])
		}
	}
}

// TestCutWithoutTraceEndsNoFlow guards against resets at a server in order after a cut of
// many callers that nothing else shows.
func TestCutWithoutTraceEndsNoFlow(t *testing.T) {
	const seed = 3820
	if wrong := simulate(cutPlan(seed)).wrong; len(wrong) > 0 {
		t.Errorf("%d flows were reset, first %s", len(wrong), wrong[0])
	}
}

// TestDuplicateSYNOfFlowThatOpensElsewhereEndsNoFlow guards against resets by a duplicate of
// a SYN that this entry has forwarded itself, where the flow has gone on through another entry.
func TestDuplicateSYNOfFlowThatOpensElsewhereEndsNoFlow(t *testing.T) {
	fx := newFixture(t)
	fx.server(1, "a", agateinstance.Ready)
	c := fx.newFlow(feeds)
	c.syn()
	syn := c.last
	fx.run(100 * ms)
	fx.server(1, "a", agateinstance.Draining)
	if v := c.send(syn); v.Action == agatesteer.Reset {
		t.Errorf("the duplicate was answered by a reset (%s)", v.Reason)
	}
}

package agatedispatch_test

import (
	"fmt"
	"net/netip"

	"agatereach/core/process/agatedispatch"
	"agatereach/core/request/agateclass"
	"agatereach/core/request/agateheader"
	"agatereach/core/request/agatekind"
	"agatereach/core/request/agateoutcome"
	"agatereach/core/request/agatereason"
	"agatereach/core/request/agateroute"
	"agatereach/core/request/agatetoken"

	"pgregory.net/rapid"
)

// handleAtServer processes a datagram that reaches a server. With faults the
// server may also shed or fail the request, not reply, or reply with the route
// of another request.
func (w *simulation) handleAtServer(p packet) {
	h := w.decode(p.out.Datagram)
	r := p.out.Route
	copied := fmt.Sprint(p.entry, r.Attempt)
	if h.Kind != agatekind.Request || w.handledAttempts[copied] {
		return
	}
	w.handledAttempts[copied] = true
	s := viewOf(w.tickets...).Server(r.Server)
	act := "run"
	switch {
	case s.Incarnation != r.Incarnation:
		act = "shed"
	case w.faults:
		act = rapid.SampledFrom([]string{"run", "run", "run", "shed", "fail", "silent", "cross"}).Draw(w.t, "server does")
	}
	reply := agateheader.Header{Version: 1, Kind: agatekind.Refuse, Service: h.Service, Flow: h.Flow, Number: h.Number}
	switch act {
	case "shed":
		reply.Outcome, reply.Reason = agateoutcome.NotRun, agatereason.Overload
	case "run", "cross":
		w.run(&h)
		reply.Kind = agatekind.Answer
	case "fail", "silent":
		w.run(&h)
		reply.Outcome, reply.Reason = agateoutcome.Unknown, agatereason.Failed
	}
	r, w.lastRoute = w.replyRoute(act, r), r
	if act == "silent" {
		return
	}
	datagram, _ := reply.Append(nil, []byte(fmt.Sprint(h.Service, h.Flow, h.Number)))
	in := w.input(datagram)
	in.Source, in.Route = agatedispatch.Server, r
	for range w.copies() {
		w.packets = append(w.packets, packet{at: w.now.Add(w.delay()), in: in, entry: p.entry})
	}
}

// replyRoute returns the route of a server's reply: its own, or that of another
// request.
func (w *simulation) replyRoute(act string, own agateroute.Route) agateroute.Route {
	if act == "cross" && w.lastRoute.Attempt != 0 {
		return w.lastRoute
	}
	return own
}

// run counts a run of the request and checks that the request may run: a
// non-idempotent request at most once, and none after outcome notrun.
func (w *simulation) run(h *agateheader.Header) {
	a := w.requests[[2]uint64{h.Flow, h.Number}]
	a.runs++
	if a.service == intake && a.runs > 1 {
		w.t.Fatalf("request %d of flow %d ran twice", a.number, a.flow)
	}
	if a.outcome == agateoutcome.NotRun {
		w.t.Fatalf("request %d of flow %d ran after outcome notrun was reported", a.number, a.flow)
	}
}

// checkReply checks a datagram that reaches a caller.
func (w *simulation) checkReply(out agatedispatch.Output) {
	h := w.decode(out.Datagram)
	l := w.callerFlows[h.Flow]
	if out.Address != callerOf(h.Flow) || l == nil || l.service != h.Service {
		w.t.Fatalf("datagram of flow %d reached the wrong caller %s", h.Flow, out.Address)
	}
	if h.Kind == agatekind.Opened {
		w.storeToken(l, &h)
		return
	}
	a := w.requests[[2]uint64{h.Flow, h.Number}]
	if a == nil {
		return
	}
	if h.Kind == agatekind.Answer {
		body, _ := h.Decode(out.Datagram)
		if a.runs == 0 || string(body) != fmt.Sprint(a.service, a.flow, a.number) {
			w.t.Fatalf("request %d of flow %d: wrong answer %q", a.number, a.flow, body)
		}
		a.answered = true
	}
	if h.Outcome == agateoutcome.NotRun && a.runs > 0 {
		w.t.Fatalf("outcome notrun reported for request %d of flow %d, which ran", a.number, a.flow)
	}
	if a.outcome != agateoutcome.NotRun {
		a.outcome, a.reason = h.Outcome, h.Reason
	}
}

// storeToken stores a new token as callers do.
func (w *simulation) storeToken(l *callerFlow, h *agateheader.Header) {
	var token agatetoken.Token
	ring := baseTicket().Ring
	if _, err := token.Open(&h.Token, ring, w.now); err != nil {
		w.t.Fatal(err)
	}
	if l.seal.IsZero() || token.Boot == l.token.Boot || h.Reason == agatereason.Guard {
		l.seal, l.token = h.Token, token
	}
}

// sendCopies sends a caller's datagram to randomly chosen entries, once or with
// copies.
func (w *simulation) sendCopies(h agateheader.Header) {
	h.Version, h.Class = agateheader.Version, agateclass.Short
	datagram, err := h.Append(nil, nil)
	if err != nil {
		w.t.Fatal(err)
	}
	for range w.copies() {
		in := w.input(datagram)
		in.Source, in.Caller = agatedispatch.Caller, callerOf(h.Flow)
		to := rapid.IntRange(0, len(w.entries)-1).Draw(w.t, "entry")
		w.packets = append(w.packets, packet{at: w.now.Add(w.delay()), in: in, entry: to})
	}
}

func callerOf(flow uint64) netip.AddrPort {
	return netip.AddrPortFrom(caller.Addr(), uint16(5000+flow))
}

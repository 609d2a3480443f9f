package agatedispatch

import (
	"time"

	"agatereach/core/connection/agateguard"
	"agatereach/core/process/agatebalance"
	"agatereach/core/request/agateflight"
	"agatereach/core/request/agateheader"
	"agatereach/core/request/agatekind"
	"agatereach/core/request/agateoutcome"
	"agatereach/core/request/agatereason"
	"agatereach/core/request/agateroute"
	"agatereach/core/version/agateserver"
)

// route returns the route of a new datagram of the work to the server.
func (d *Dispatcher) route(w *agateflight.Work, s *agateserver.Server) agateroute.Route {
	d.lastAttempt++
	r := agateroute.Route{
		Caller:      w.Caller,
		Service:     s.Service,
		Server:      s.ID,
		Incarnation: s.Incarnation,
		Attempt:     d.lastAttempt,
		Customer:    w.Header.Customer,
		Centre:      w.Centre,
	}
	r.Tag = r.Sum(d.settings.key)
	return r
}

// handleServer processes a server's answer or refusal.
func (d *Dispatcher) handleServer(now time.Time, in *Input) {
	r := &in.Route
	if r.Tag != r.Sum(d.settings.key) {
		d.counts.Forged++
		return
	}
	reported := r.Reported && d.isCurrent(r)
	if reported && r.Draining {
		d.reportLoad(now, r)
	}
	d.handleReply(now, in)
	if reported && !r.Draining {
		d.reportLoad(now, r)
	}
}

// isCurrent reports whether a datagram with the route is the first one about its attempt
// and comes from the present incarnation of its server. A late copy, or what a former
// incarnation says, describes a state that may be over.
func (d *Dispatcher) isCurrent(r *agateroute.Route) bool {
	s, w := d.view.Server(r.Server), d.flights.Sent(r.Attempt)
	return s != nil && s.Incarnation == r.Incarnation && w != nil && !w.Attempt(r.Attempt).Closed
}

// reportLoad passes the load that a server reports to its balancer.
func (d *Dispatcher) reportLoad(now time.Time, r *agateroute.Route) {
	p := d.pools[r.Service]
	if p == nil {
		return
	}
	report := agatebalance.Report{Busy: int(r.Busy), Queued: int(r.Queued), Draining: r.Draining}
	d.apply(now, p.balancer.Report(now, r.Server, report))
}

// handleReply finds the request that the datagram belongs to and processes the
// reply. A datagram without such a request, or that names another request, is
// dropped.
func (d *Dispatcher) handleReply(now time.Time, in *Input) {
	w := d.flights.Sent(in.Route.Attempt)
	if w == nil {
		d.counts.Late++
		return
	}
	if w.Key != requestKey(&in.Header) {
		d.counts.Mismatched++
		return
	}
	switch in.Header.Kind {
	case agatekind.Answer:
		d.handleAnswer(now, w, in)
	case agatekind.Refuse:
		d.handleRefusal(now, w, in)
	default:
		d.counts.Ignored++
	}
}

// handleAnswer sends the answer to the caller, once.
func (d *Dispatcher) handleAnswer(now time.Time, w *agateflight.Work, in *Input) {
	d.health.Answered(now, in.Route.Server, in.Route.Incarnation)
	if w.Guarded {
		d.recordOutcome(now, w, agateguard.Outcome{Answer: in.Datagram})
	}
	d.counts.Answered++
	d.toCaller(w.Caller, in.Datagram)
	if w.Ended {
		d.flights.Remove(w)
		return
	}
	w.Attempt(in.Route.Attempt).Closed = true
	d.sendCancels(w)
	decisions := d.reportResult(now, w, agatebalance.Answered)
	d.flights.Remove(w)
	d.apply(now, decisions)
}

// handleRefusal processes a server's refusal of an attempt.
func (d *Dispatcher) handleRefusal(now time.Time, w *agateflight.Work, in *Input) {
	a := w.Attempt(in.Route.Attempt)
	if a.Closed {
		return
	}
	h := &in.Header
	a.Closed = true
	a.NotRun = h.Outcome == agateoutcome.NotRun
	if isServerFault(h) {
		d.health.Failed(now, a.Server, a.Incarnation)
	} else {
		d.health.Answered(now, a.Server, a.Incarnation)
	}
	if w.Ended || a != w.Last() || w.Waiting {
		return
	}
	d.retryOrEnd(now, w, a.NotRun, h.Reason)
}

// isServerFault reports whether the refusal shows a fault of the server: it
// failed, or it is not the server that was addressed.
func isServerFault(h *agateheader.Header) bool {
	switch h.Reason {
	case agatereason.Service:
		return true
	case agatereason.Cancelled:
		return false
	}
	return h.Outcome != agateoutcome.NotRun
}

// retryOrEnd sends work to another server, or ends it, after its latest attempt
// has been refused.
func (d *Dispatcher) retryOrEnd(now time.Time, w *agateflight.Work, notRun bool, reason agatereason.Reason) {
	switch {
	case w.Cancelled:
		d.end(now, w, agatebalance.Cancelled, agatereason.Cancelled)
	case notRun:
		w.Waiting = true
		d.reportAndApply(now, w, agatebalance.Shed)
	case !w.Guarded:
		w.Waiting = true
		d.reportAndApply(now, w, agatebalance.Retry)
	default:
		d.end(now, w, agatebalance.Failed, reason)
	}
}

// end ends work without an answer and carries out the balancer's decisions for
// other work.
func (d *Dispatcher) end(now time.Time, w *agateflight.Work, r agatebalance.Result, reason agatereason.Reason) {
	decisions := d.reportResult(now, w, r)
	d.endWithoutAnswer(now, w, reason, 0)
	d.apply(now, decisions)
}

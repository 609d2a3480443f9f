package agatedispatch

import (
	"errors"
	"time"

	"agatereach/core/connection/agateguard"
	"agatereach/core/request/agateadmit"
	"agatereach/core/request/agateflight"
	"agatereach/core/request/agateheader"
	"agatereach/core/request/agateoutcome"
	"agatereach/core/request/agatereason"
	"agatereach/core/version/agateservice"
)

// request handles a request of a caller.
func (d *Dispatcher) request(now time.Time, in *Input) {
	admission, ok := d.admit(now, in)
	if !ok {
		return
	}
	service := d.view.Service(in.Header.Service)
	if in.Header.Idempotent || service.Idempotent {
		d.requestIdempotent(now, in, service)
		return
	}
	if !d.checkGuard(now, in, &admission.Token) {
		return
	}
	d.requestGuarded(now, in, service, &admission)
}

// admit checks the token and the access rules, and refuses the datagram if they
// do not allow it. Another process with another view may accept a copy of it.
func (d *Dispatcher) admit(now time.Time, in *Input) (agateadmit.Admission, bool) {
	var admission agateadmit.Admission
	h := &in.Header
	if !d.hasKeys {
		d.refuse(in.Caller, h, refusalPending())
		return admission, false
	}
	known, err := d.known(in, h), admission.Check(d.view, h, in.Caller.Addr(), in.Centre, now)
	var denied *agateadmit.DeniedError
	switch {
	case known && err == nil:
		return admission, true
	case agateadmit.IsUndecided(err),
		(err == nil || errors.As(err, &denied)) && d.view.State().Upto() < admission.Token.Ticket:
		// The token's issuer holds tickets that are missing here, or one of the clocks is wrong.
		d.refuse(in.Caller, h, refusalPending())
	case !known:
		d.refuse(in.Caller, h, refusalUnknown(agatereason.Service))
	default:
		d.refuse(in.Caller, h, refusal{outcome: outcomeForError(err), reason: agateadmit.Reason(err)})
	}
	return admission, false
}

// outcomeForError returns the outcome for a request refused with err: notrun
// only if every process would refuse a copy too.
func outcomeForError(err error) agateoutcome.Outcome {
	var missing *agateadmit.MissingError
	if errors.As(err, &missing) {
		return agateoutcome.NotRun
	}
	return agateoutcome.Unknown
}

// requestIdempotent accepts a request that may run more than once.
func (d *Dispatcher) requestIdempotent(now time.Time, in *Input, service *agateservice.Service) {
	h := &in.Header
	if w := d.flights.Find(requestKey(h)); w != nil {
		w.Caller = in.Caller
		d.refuse(in.Caller, h, refusalPending())
		return
	}
	if d.stopped || d.viewMayBeStale(now) {
		d.relayRequest(in)
		return
	}
	if in.Source == Caller && !d.settings.teamLimiter.Allow(now, service.Team) {
		wait := d.settings.teamLimiter.Wait(now, service.Team)
		d.refuse(in.Caller, h, refusal{outcome: agateoutcome.Unknown, reason: agatereason.Limit, wait: wait})
		return
	}
	if d.relayToCentre(now, in, service) {
		return
	}
	d.accept(now, in, service, false)
}

// relayToCentre relays a request to another data centre if this one may not,
// cannot or should not serve it, and reports whether it did.
func (d *Dispatcher) relayToCentre(now time.Time, in *Input, service *agateservice.Service) bool {
	verdict := d.view.Access(service.ID, in.Caller.Addr(), in.Header.Customer, in.Centre)
	p := d.pool(now, service)
	here := allows(verdict, d.self.Centre) && p.hasUsableServer
	if here && d.relayToNear(now, in, verdict) {
		return true
	}
	if here && (in.Source == Peer || !p.balancer.Hot()) {
		return false
	}
	return d.spill(in, verdict)
}

// relayRequest relays a request to another process of the data centre.
func (d *Dispatcher) relayRequest(in *Input) {
	peer, found := d.pick(d.self.Centre, in.Header.Flow^in.Header.Number)
	if !found || !d.relay(in, peer, 0) {
		d.refuse(in.Caller, &in.Header, refusalPending())
	}
}

// requestGuarded accepts a request of a flow that this process guards.
func (d *Dispatcher) requestGuarded(now time.Time, in *Input, service *agateservice.Service, a *agateadmit.Admission) {
	h := &in.Header
	key := agateguard.Key{Service: h.Service, Flow: h.Flow}
	until := now.Add(service.Limit(h.Deadline) + lateAnswerTime)
	status, end := d.guard.Begin(now, key, a.Token.Issued, h.Number, until)
	switch status {
	case agateguard.Lost:
		d.refuse(in.Caller, h, refusalUnknown(agatereason.Guard))
	case agateguard.Running:
		d.refuseRunning(in)
	case agateguard.Ended:
		d.repeatOutcome(in, &end)
	case agateguard.Fresh:
		d.renewToken(now, in, a)
		d.acceptGuarded(now, in, service)
	}
}

// acceptGuarded accepts a request of which no copy has been sent to a server.
func (d *Dispatcher) acceptGuarded(now time.Time, in *Input, service *agateservice.Service) {
	if in.Source == Caller && !d.settings.teamLimiter.Allow(now, service.Team) {
		r := refusal{outcome: agateoutcome.NotRun, reason: agatereason.Limit, wait: d.settings.teamLimiter.Wait(now, service.Team)}
		d.finishUnsent(now, in, r)
		return
	}
	d.accept(now, in, service, true)
}

// finishUnsent ends a guarded request that has not been sent to a server.
func (d *Dispatcher) finishUnsent(now time.Time, in *Input, r refusal) {
	h := &in.Header
	key := agateguard.Key{Service: h.Service, Flow: h.Flow}
	d.guard.Finish(now, key, agateguard.Outcome{Number: h.Number, Outcome: r.outcome, Reason: r.reason})
	d.refuse(in.Caller, h, r)
}

// refuseRunning tells the caller that an earlier copy is running, and redirects
// the answer to the source of the latest copy.
func (d *Dispatcher) refuseRunning(in *Input) {
	if w := d.flights.Find(requestKey(&in.Header)); w != nil {
		w.Caller = in.Caller
	}
	d.refuse(in.Caller, &in.Header, refusalPending())
}

// repeatOutcome sends the recorded outcome of the request to the caller.
func (d *Dispatcher) repeatOutcome(in *Input, end *agateguard.Outcome) {
	d.counts.Repeated++
	if end.Outcome == agateoutcome.None {
		d.toCaller(in.Caller, end.Answer)
		return
	}
	d.refuse(in.Caller, &in.Header, refusal{outcome: end.Outcome, reason: end.Reason})
}

func requestKey(h *agateheader.Header) agateflight.Key {
	return agateflight.Key{Service: h.Service, Flow: h.Flow, Number: h.Number}
}

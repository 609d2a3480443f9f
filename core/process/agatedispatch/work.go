package agatedispatch

import (
	"time"

	"agatereach/core/connection/agateguard"
	"agatereach/core/process/agatebalance"
	"agatereach/core/request/agateclass"
	"agatereach/core/request/agateflight"
	"agatereach/core/request/agateoutcome"
	"agatereach/core/request/agatereason"
	"agatereach/core/version/agateservice"
)

// retryDivisor divides the time to the deadline: an idempotent request that is
// unanswered after that part of it may be sent to a second server.
const retryDivisor = 3

// accept submits a request to the balancer of its service.
func (d *Dispatcher) accept(now time.Time, in *Input, service *agateservice.Service, guarded bool) {
	w := d.newWork(now, in, service, guarded)
	d.flights.Add(w)
	if d.flights.Len() > d.settings.inflightLimit {
		d.endWithoutAnswer(now, w, agatereason.Overload, waitRefused)
		return
	}
	priority := in.Header.Priority
	if priority == 0 {
		priority = service.Priority
	}
	decision := d.pool(now, service).balancer.Submit(now, agatebalance.Work{
		ID:         w.ID,
		Class:      in.Header.Class,
		Priority:   priority,
		Arrived:    now,
		Deadline:   w.Deadline,
		Team:       service.Team,
		Customer:   in.Header.Customer,
		Caller:     in.Caller.Addr(),
		Idempotent: !guarded,
	})
	d.applyDecision(now, w, decision)
}

func (d *Dispatcher) newWork(now time.Time, in *Input, service *agateservice.Service, guarded bool) *agateflight.Work {
	d.lastWork++
	deadline := now.Add(service.Limit(in.Header.Deadline))
	return &agateflight.Work{
		ID:       d.lastWork,
		Key:      requestKey(&in.Header),
		Caller:   in.Caller,
		Centre:   in.Centre,
		Header:   in.Header,
		Body:     in.Body,
		Datagram: in.Datagram,
		Arrived:  now,
		Deadline: deadline,
		Next:     deadline,
		Guarded:  guarded,
	}
}

// apply carries out a balancer's decisions.
func (d *Dispatcher) apply(now time.Time, decisions []agatebalance.Decision) {
	for i := range decisions {
		w := d.flights.Get(decisions[i].ID)
		if w == nil || w.Ended {
			d.counts.Failed++
			continue
		}
		d.applyDecision(now, w, decisions[i])
	}
}

func (d *Dispatcher) applyDecision(now time.Time, w *agateflight.Work, decision agatebalance.Decision) {
	switch decision.Action {
	case agatebalance.Send:
		d.send(now, w, &decision)
	case agatebalance.Wait:
		w.Waiting = true
	case agatebalance.Refuse:
		w.Waiting = false
		d.handleBalancerRefusal(now, w, &decision)
	}
}

// handleBalancerRefusal ends work that the balancer has refused. If it was a
// retry of idempotent work, the work stays until its deadline instead, because
// an earlier attempt may still be answered.
func (d *Dispatcher) handleBalancerRefusal(now time.Time, w *agateflight.Work, decision *agatebalance.Decision) {
	if !w.Guarded && w.Open() && now.Before(w.Deadline) {
		d.flights.Delay(w, w.Deadline)
		return
	}
	d.endWithoutAnswer(now, w, decision.Reason, decision.Wait)
}

// send sends the work to a server.
func (d *Dispatcher) send(now time.Time, w *agateflight.Work, decision *agatebalance.Decision) {
	w.Waiting = false
	if d.viewMayBeStale(now) {
		d.withhold(now, w)
		return
	}
	s := d.view.Server(decision.Server)
	if s == nil || s.Service != w.Key.Service || w.Guarded && !w.NotRun() {
		d.counts.Failed++
		d.reportAndApply(now, w, agatebalance.Failed)
		d.endWithoutAnswer(now, w, agatereason.NoServer, 0)
		return
	}
	datagram, err := d.withRemainingDeadline(now, w)
	if err != nil {
		d.counts.Failed++
		d.reportAndApply(now, w, agatebalance.Failed)
		d.endWithoutAnswer(now, w, agatereason.Oversized, 0)
		return
	}
	route := d.route(w, s)
	route.Now = decision.Now
	d.flights.Send(w, agateflight.Attempt{ID: route.Attempt, Server: s.ID, Incarnation: s.Incarnation, At: now})
	d.flights.Delay(w, d.nextCheck(now, w))
	d.counts.Sent++
	d.outputs = append(d.outputs, Output{To: Server, Address: s.Address, Route: route, Datagram: datagram})
}

// withhold ends work instead of sending it according to a view that must be
// refreshed first: the server's number may stand for another server by now.
// Idempotent work with an open attempt stays until its deadline.
func (d *Dispatcher) withhold(now time.Time, w *agateflight.Work) {
	d.reportAndApply(now, w, agatebalance.Cancelled)
	if !w.Guarded && w.Open() && now.Before(w.Deadline) {
		d.flights.Delay(w, w.Deadline)
		return
	}
	d.endWithoutAnswer(now, w, agatereason.Stale, waitRefused)
}

// withRemainingDeadline returns the work's datagram with the time left until
// its deadline.
func (d *Dispatcher) withRemainingDeadline(now time.Time, w *agateflight.Work) ([]byte, error) {
	left := uint32(max(w.Deadline.Sub(now).Milliseconds(), 1))
	if left == w.Header.Deadline {
		return w.Datagram, nil
	}
	h := w.Header
	h.Deadline = left
	return h.Append(make([]byte, 0, len(w.Datagram)+deadlineGrowth), w.Body)
}

// deadlineGrowth is the largest growth of a header when its deadline changes,
// in bytes.
const deadlineGrowth = 8

// nextCheck returns when work that has just been sent must be looked at again.
func (d *Dispatcher) nextCheck(now time.Time, w *agateflight.Work) time.Time {
	if w.Guarded || w.Header.Class == agateclass.Long {
		return w.Deadline
	}
	next := now.Add(w.Deadline.Sub(w.Arrived) / retryDivisor)
	if next.After(w.Deadline) {
		return w.Deadline
	}
	return next
}

// handleDue handles work whose check time has come.
func (d *Dispatcher) handleDue(now time.Time, w *agateflight.Work) {
	if w.Ended {
		d.flights.Remove(w)
		return
	}
	last := w.Last()
	late := last != nil && !last.Closed
	if late && !last.Overdue {
		last.Overdue = true
		d.health.Failed(now, last.Server, last.Incarnation)
	}
	if now.Before(w.Deadline) {
		d.retry(now, w, late)
		return
	}
	w.Waiting = false
	decisions := d.reportResult(now, w, agatebalance.Timeout)
	d.endWithoutAnswer(now, w, agatereason.Deadline, 0)
	d.apply(now, decisions)
}

// retry asks the balancer for another server for an idempotent request that is
// still unanswered.
func (d *Dispatcher) retry(now time.Time, w *agateflight.Work, late bool) {
	d.flights.Delay(w, w.Deadline)
	if late {
		d.counts.Retried++
		w.Waiting = true
		d.apply(now, d.reportResult(now, w, agatebalance.Retry))
	}
}

// reportResult reports the result of the work's attempt to the balancer and
// returns the balancer's decisions.
func (d *Dispatcher) reportResult(now time.Time, w *agateflight.Work, r agatebalance.Result) []agatebalance.Decision {
	p := d.pools[w.Key.Service]
	if p == nil {
		return nil
	}
	return p.balancer.Done(now, w.ID, r)
}

// reportAndApply reports the result of the work's attempt to the balancer and
// carries out the balancer's decisions.
func (d *Dispatcher) reportAndApply(now time.Time, w *agateflight.Work, r agatebalance.Result) {
	d.apply(now, d.reportResult(now, w, r))
}

// endWithoutAnswer ends work with a refusal. The outcome is notrun only if this
// process is the guard and every server that received a copy reported notrun.
func (d *Dispatcher) endWithoutAnswer(now time.Time, w *agateflight.Work, reason agatereason.Reason, wait time.Duration) {
	r := refusal{outcome: agateoutcome.Unknown, reason: reason, wait: wait}
	if w.Guarded && w.NotRun() {
		r.outcome = agateoutcome.NotRun
	}
	if w.Guarded {
		d.recordOutcome(now, w, agateguard.Outcome{Outcome: r.outcome, Reason: reason})
	}
	d.refuse(w.Caller, &w.Header, r)
	if w.NotRun() {
		d.flights.Remove(w)
		return
	}
	d.flights.End(w, now.Add(lateAnswerTime))
}

// recordOutcome stores the outcome of guarded work.
func (d *Dispatcher) recordOutcome(now time.Time, w *agateflight.Work, end agateguard.Outcome) {
	end.Number = w.Key.Number
	d.guard.Finish(now, agateguard.Key{Service: w.Key.Service, Flow: w.Key.Flow}, end)
}

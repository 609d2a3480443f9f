package agatedispatch

import (
	"time"

	"agatereach/core/connection/agateguard"
	"agatereach/core/process/agatebalance"
	"agatereach/core/request/agateadmit"
	"agatereach/core/request/agateflight"
	"agatereach/core/request/agateheader"
	"agatereach/core/request/agatekind"
	"agatereach/core/request/agateoutcome"
	"agatereach/core/request/agatereason"
)

// maxCancelFanOut is the largest number of live processes to which the cancel
// of an idempotent request is relayed; any of them may hold the request. In a
// larger fleet a cancel takes effect only if it reaches the process that holds
// the request.
const maxCancelFanOut = 8

// cancel handles the cancel of a request.
func (d *Dispatcher) cancel(now time.Time, in *Input) {
	admission, ok := d.admit(now, in)
	if !ok {
		return
	}
	if in.Header.Idempotent || d.view.Service(in.Header.Service).Idempotent {
		d.cancelIdempotent(now, in)
		return
	}
	if d.checkGuard(now, in, &admission.Token) {
		d.cancelGuarded(now, in, &admission)
	}
}

// cancelIdempotent cancels an idempotent request, here or at another process
// that may hold it. If none does, its caller is told later that it may have
// run.
func (d *Dispatcher) cancelIdempotent(now time.Time, in *Input) {
	if d.cancelWork(now, in) || in.Source != Caller {
		return
	}
	if d.peers.Len() <= maxCancelFanOut {
		d.relayAll(in)
	}
	d.setRelayTimeout(now, in, agatereason.Cancelled)
}

// relayAll relays the datagram to all other live processes.
func (d *Dispatcher) relayAll(in *Input) {
	for item := range d.view.State().Centres().All() {
		for _, peer := range d.peers.Centre(item.Key) {
			if peer.VM != d.self.VM {
				d.relay(in, peer, 0)
			}
		}
	}
}

// cancelGuarded cancels a request of a flow that this process guards. A request
// that has not arrived yet is recorded as not run and will not be sent to a
// server.
func (d *Dispatcher) cancelGuarded(now time.Time, in *Input, a *agateadmit.Admission) {
	h := &in.Header
	key := agateguard.Key{Service: h.Service, Flow: h.Flow}
	status, end := d.guard.Begin(now, key, a.Token.Issued, h.Number, now)
	switch status {
	case agateguard.Lost:
		d.refuse(in.Caller, h, refusalUnknown(agatereason.Guard))
	case agateguard.Ended:
		d.repeatOutcome(in, &end)
	case agateguard.Fresh:
		d.finishUnsent(now, in, refusal{outcome: agateoutcome.NotRun, reason: agatereason.Cancelled})
	case agateguard.Running:
		if !d.cancelWork(now, in) {
			d.refuse(in.Caller, h, refusalPending())
		}
	}
}

// cancelWork cancels the request if it is in flight here and reports whether it
// is. The request ends when the server replies, or immediately if no server has
// it.
func (d *Dispatcher) cancelWork(now time.Time, in *Input) bool {
	w := d.flights.Find(requestKey(&in.Header))
	if w == nil {
		return false
	}
	w.Caller = in.Caller
	w.Cancelled = true
	if w.Open() {
		d.sendCancels(w)
		return true
	}
	d.end(now, w, agatebalance.Cancelled, agatereason.Cancelled)
	return true
}

// sendCancels sends a cancel to each server that may be running the work.
func (d *Dispatcher) sendCancels(w *agateflight.Work) {
	for i := range w.Attempts {
		if !w.Attempts[i].Closed {
			d.sendCancel(w, &w.Attempts[i])
		}
	}
}

func (d *Dispatcher) sendCancel(w *agateflight.Work, a *agateflight.Attempt) {
	s := d.view.Server(a.Server)
	if s == nil || s.Incarnation != a.Incarnation {
		return
	}
	h := agateheader.Header{
		Version:    agateheader.Version,
		Kind:       agatekind.Cancel,
		Service:    w.Key.Service,
		Flow:       w.Key.Flow,
		Number:     w.Key.Number,
		Token:      w.Header.Token,
		Customer:   w.Header.Customer,
		Class:      w.Header.Class,
		Idempotent: w.Header.Idempotent,
	}
	datagram, err := h.Append(nil, nil)
	if err != nil {
		d.counts.Failed++
		return
	}
	d.counts.Cancelled++
	d.outputs = append(d.outputs, Output{To: Server, Address: s.Address, Route: d.route(w, s), Datagram: datagram})
}

package agatedispatch

import (
	"net/netip"
	"time"

	"agatereach/core/request/agateheader"
	"agatereach/core/request/agatekind"
	"agatereach/core/request/agateoutcome"
	"agatereach/core/request/agatereason"
)

const (
	// waitPending is the delay after which a caller may ask again about a
	// running request.
	waitPending = 50 * time.Millisecond
	// waitRefused is the delay after which a refused caller may retry.
	waitRefused = 200 * time.Millisecond
)

// refusal describes why a datagram is refused and when the caller may retry.
type refusal struct {
	outcome agateoutcome.Outcome
	reason  agatereason.Reason
	wait    time.Duration
}

// refusalPending returns a refusal without an outcome: the caller should ask
// again later.
func refusalPending() refusal {
	return refusal{reason: agatereason.Pending, wait: waitPending}
}

// refusalUnknown returns the refusal of a request that may have run.
func refusalUnknown(reason agatereason.Reason) refusal {
	return refusal{outcome: agateoutcome.Unknown, reason: reason}
}

// refuse sends a refusal of the datagram with the header h to its caller.
func (d *Dispatcher) refuse(caller netip.AddrPort, h *agateheader.Header, r refusal) {
	reply := agateheader.Header{
		Version: agateheader.Version,
		Kind:    agatekind.Refuse,
		Service: h.Service,
		Flow:    h.Flow,
		Number:  h.Number,
		Class:   h.Class,
		Outcome: r.outcome,
		Reason:  r.reason,
		Wait:    uint32(r.wait.Milliseconds()),
	}
	d.counts.countRefusal(r)
	d.reply(caller, &reply)
}

// reply sends a datagram without a body to a caller.
func (d *Dispatcher) reply(caller netip.AddrPort, h *agateheader.Header) {
	datagram, err := h.Append(nil, nil)
	if err != nil {
		d.counts.Failed++
		return
	}
	d.toCaller(caller, datagram)
}

func (d *Dispatcher) toCaller(caller netip.AddrPort, datagram []byte) {
	d.outputs = append(d.outputs, Output{To: Caller, Address: caller, Datagram: datagram})
}

package agatedispatch

import (
	"net/netip"
	"time"

	"agatereach/core/process/agatepeers"
	"agatereach/core/request/agateadmit"
	"agatereach/core/request/agateheader"
	"agatereach/core/request/agatekind"
	"agatereach/core/request/agatereason"
	"agatereach/core/request/agatetoken"
)

// checkGuard reports whether this process must handle the datagram as the
// flow's guard. Otherwise it relays the datagram to the guard or refuses it.
func (d *Dispatcher) checkGuard(now time.Time, in *Input, token *agatetoken.Token) bool {
	adopted := d.holdsRecords(token.Boot)
	switch {
	case adopted && d.exported, !adopted:
		d.relayToGuard(now, in, token, adopted)
		return false
	case d.stopped:
		d.refuse(in.Caller, &in.Header, refusalPending())
		return false
	case d.viewMayBeStale(now):
		d.refuse(in.Caller, &in.Header, refusalPending())
		return false
	}
	return true
}

// maxHandovers limits the number of successive hand-overs that are followed.
const maxHandovers = 64

// holdsRecords reports whether this process has adopted the records of the
// process boot, directly or through successors of it. The successors known to
// the peers are not enough: the records may still be on their way.
func (d *Dispatcher) holdsRecords(boot uint64) bool {
	if boot == d.self.Boot {
		return true
	}
	for range maxHandovers {
		if _, adopted := d.adoptedBoots[boot]; adopted {
			return true
		}
		next, found := d.peers.Next(boot)
		if !found {
			return false
		}
		boot = next
	}
	return false
}

// relayToGuard relays the datagram to the process that guards the flow now.
func (d *Dispatcher) relayToGuard(now time.Time, in *Input, token *agatetoken.Token, adopted bool) {
	boot := d.peers.Successor(token.Boot)
	if boot == d.self.Boot {
		d.refuseWithoutRecords(in, adopted)
		return
	}
	peer, found := d.guardPeer(token, boot)
	switch {
	case !found:
		d.refuse(in.Caller, &in.Header, refusalUnknown(agatereason.Guard))
		return
	case !d.relay(in, peer, boot):
		// The processes on the way do not agree yet on who is the guard.
		d.refuse(in.Caller, &in.Header, refusalPending())
		return
	}
	if peer.State != agatepeers.Live || expiresSoon(&in.Header) {
		d.setRelayTimeout(now, in, agatereason.Guard)
	}
}

// expiresSoon reports whether the time left for the request is no more than the
// guard is given to refuse it.
func expiresSoon(h *agateheader.Header) bool {
	return h.Deadline != 0 && h.Deadline <= uint32(relayGrace.Milliseconds())
}

// relayTimeout is a refusal to send if a relayed request gets no answer in
// time.
type relayTimeout struct {
	caller netip.AddrPort
	header agateheader.Header
	reason agatereason.Reason
}

// setRelayTimeout makes sure that the caller of a relayed request is refused
// with outcome unknown soon after the deadline: the receiver may be gone and
// unable to answer. A caller that knows the outcome by then ignores the
// refusal.
func (d *Dispatcher) setRelayTimeout(now time.Time, in *Input, reason agatereason.Reason) {
	h := &in.Header
	deadline := now.Add(d.view.Service(h.Service).Limit(h.Deadline) + relayGrace)
	if !d.relayTimeouts.Set(deadline, requestKey(h), relayTimeout{caller: in.Caller, header: *h, reason: reason}) {
		d.refuse(in.Caller, h, refusalUnknown(reason))
	}
}

const (
	// relayGrace is added to the deadline of a relayed request, so that the
	// guard's own refusal arrives first.
	relayGrace = 100 * time.Millisecond
	// maxRelayTimeouts is the largest number of relayed requests with a
	// timeout.
	maxRelayTimeouts = 1 << 13
)

// refuseWithoutRecords refuses a datagram for which the peers name this process
// as the guard although it does not hold the records, or has exported them. The
// caller may ask again if adopted is set: the records have just been exported.
func (d *Dispatcher) refuseWithoutRecords(in *Input, adopted bool) {
	if adopted {
		d.refuse(in.Caller, &in.Header, refusalPending())
		return
	}
	d.refuse(in.Caller, &in.Header, refusalUnknown(agatereason.Guard))
}

// guardPeer returns the process boot, to which datagrams are relayed, and
// whether it may still be running. If the process is not known yet, the address
// is taken from the token.
func (d *Dispatcher) guardPeer(token *agatetoken.Token, boot uint64) (agatepeers.Peer, bool) {
	peer, known := d.peers.Boot(boot)
	if known {
		return peer, peer.State != agatepeers.Gone
	}
	if boot != token.Boot || token.Guard == d.self.Relay {
		return agatepeers.Peer{}, false
	}
	return agatepeers.Peer{Boot: boot, Relay: token.Guard, State: agatepeers.Suspect}, true
}

// renewToken sends a new token of the flow to the caller if the present one is
// old or names a process whose records this one has adopted.
func (d *Dispatcher) renewToken(now time.Time, in *Input, a *agateadmit.Admission) {
	moved := a.Token.Boot != d.self.Boot
	if !moved && !a.Renew {
		return
	}
	token := a.Token.WithIssued(d.issueTime(now)).WithGuard(d.self.Relay, d.self.Boot)
	seal, err := token.Seal(d.view.Ring())
	if err != nil {
		return
	}
	reply := agateheader.Header{
		Version:  agateheader.Version,
		Kind:     agatekind.Opened,
		Service:  in.Header.Service,
		Flow:     in.Header.Flow,
		Token:    seal,
		Customer: token.Customer,
		Class:    in.Header.Class,
	}
	if moved {
		reply.Reason = agatereason.Guard
	}
	d.counts.Renewed++
	d.reply(in.Caller, &reply)
}

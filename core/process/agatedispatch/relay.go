package agatedispatch

import (
	"agatereach/core/process/agatepeers"
	"agatereach/core/request/agaterelay"
)

// relay relays the datagram to the process boot, 0 for any, at a peer's relay
// address. It reports whether it did: a datagram is relayed at most
// agaterelay.MaxHops times.
func (d *Dispatcher) relay(in *Input, peer agatepeers.Peer, boot uint64) bool {
	hops := uint8(0)
	if in.Source == Peer {
		hops = in.Frame.Hops + 1
	}
	if hops >= agaterelay.MaxHops {
		return false
	}
	frame := agaterelay.Frame{
		Caller: in.Caller,
		Centre: in.Centre,
		Hops:   hops,
		Boot:   boot,
		Sender: d.self.Boot,
	}
	d.counts.Relayed++
	d.outputs = append(d.outputs, Output{To: Peer, Address: peer.Relay, Frame: frame, Datagram: in.Datagram})
	return true
}

// pick returns a live process of the data centre other than this one.
func (d *Dispatcher) pick(centre uint16, flow uint64) (agatepeers.Peer, bool) {
	for try := range uint64(pickTries) {
		peer, found := d.peers.Pick(centre, flow+try)
		if !found {
			return agatepeers.Peer{}, false
		}
		if peer.Boot != d.self.Boot && peer.VM != d.self.VM {
			return peer, true
		}
	}
	return agatepeers.Peer{}, false
}

// pickTries limits the picks, because a pick may return this process itself.
const pickTries = 3

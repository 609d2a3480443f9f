package agatedispatch

import (
	"math"
	"slices"
	"time"

	"agatereach/core/process/agatepeers"
	"agatereach/core/version/agateaccess"
	"agatereach/core/version/agateview"
)

// distanceOffset is added to each distance, so that the weights of two close
// data centres differ little.
const distanceOffset = 500 * time.Microsecond

// allows reports whether the data centre may serve the caller.
func allows(verdict agateaccess.Verdict, centre uint16) bool {
	return len(verdict.Centres) == 0 || slices.Contains(verdict.Centres, centre)
}

// spill relays the datagram to another data centre that may serve the caller
// and reports whether it did.
func (d *Dispatcher) spill(in *Input, verdict agateaccess.Verdict) bool {
	peer, found := d.pickRemote(in.Header.Service, in.Header.Flow, verdict)
	if !found {
		return false
	}
	d.counts.Spilled++
	return d.relay(in, peer, 0)
}

// pickRemote picks a process of another data centre by weighted rendezvous
// hashing of the flow: a data centre with more servers or at a shorter distance
// gets more flows.
func (d *Dispatcher) pickRemote(service uint32, flow uint64, verdict agateaccess.Verdict) (agatepeers.Peer, bool) {
	var best agatepeers.Peer
	least := math.Inf(1)
	for _, remote := range d.view.Remotes(service) {
		if remote.Centre == d.self.Centre || !allows(verdict, remote.Centre) {
			continue
		}
		peer, found := d.pick(remote.Centre, flow)
		if !found {
			continue
		}
		if score := exponentialHash(flow, remote.Centre) / d.weight(remote); score < least {
			best, least = peer, score
		}
	}
	return best, !math.IsInf(least, 1)
}

// weight returns the data centre's relative share of the flows: its servers
// divided by the square of its distance.
func (d *Dispatcher) weight(remote agateview.Remote) float64 {
	distance := defaultDistance
	if centre, found := d.view.Centre(d.self.Centre); found {
		if known, found := centre.Distance(remote.Centre); found {
			distance = known
		}
	}
	offset := (distance + distanceOffset).Seconds()
	return float64(remote.Servers) / (offset * offset)
}

// defaultDistance is assumed for a data centre whose distance is not known.
const defaultDistance = 100 * time.Millisecond

// exponentialHash returns an exponentially distributed number that depends only
// on the flow and the data centre.
func exponentialHash(flow uint64, centre uint16) float64 {
	hash := mix(flow ^ mix(uint64(centre)))
	unit := (float64(hash>>11) + 0.5) / (1 << 53)
	return -math.Log(unit)
}

// mix is the finalizer of SplitMix64 (Steele, Lea and Flood, OOPSLA 2014): each
// bit of x affects all bits of the result.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

package agatedispatch

import (
	"time"

	"agatereach/core/process/agatespread"
	"agatereach/core/version/agateaccess"
)

const (
	// maxNearDelay is the one-way delay up to which a data centre takes
	// work in proportion to its servers even while no server is hot.
	maxNearDelay = 2 * time.Millisecond
	// rehashInterval is the time after which a repeated datagram may be
	// relayed to another data centre, in case the earlier copy was lost on
	// the way.
	rehashInterval = 250 * time.Millisecond
)

// spread returns how the service's work is spread over the near data centres.
// The result is cached until the view or the peers change.
func (d *Dispatcher) spread(service uint32) agatespread.Spread {
	if s, found := d.spreadCache[service]; found {
		return s
	}
	s := agatespread.New(d.self.Centre, d.nearCentres(service))
	d.spreadCache[service] = s
	return s
}

// nearCentres returns this data centre and the near ones that serve the
// service.
func (d *Dispatcher) nearCentres(service uint32) []agatespread.Centre {
	own := agatespread.Centre{ID: d.self.Centre, Entries: max(len(d.peers.Centre(d.self.Centre)), 1)}
	for _, s := range d.view.Servers(service) {
		if s.Takes() {
			own.Servers++
		}
	}
	centres := []agatespread.Centre{own}
	here, _ := d.view.Centre(d.self.Centre)
	for _, remote := range d.view.Remotes(service) {
		distance, known := here.Distance(remote.Centre)
		entries := len(d.peers.Centre(remote.Centre))
		if known && distance <= maxNearDelay && entries > 0 {
			centres = append(centres, agatespread.Centre{ID: remote.Centre, Entries: entries, Servers: remote.Servers})
		}
	}
	return centres
}

// relayToNear relays a caller's datagram to a near data centre that has more
// servers for its part of the traffic, and reports whether it did.
func (d *Dispatcher) relayToNear(now time.Time, in *Input, verdict agateaccess.Verdict) bool {
	if in.Source != Caller {
		return false
	}
	h := &in.Header
	turn := uint64(now.UnixNano()) / uint64(rehashInterval)
	hash := mix(h.Flow ^ mix(h.Number^mix(turn)))
	centre, away := d.spread(h.Service).Away(hash)
	if !away || !allows(verdict, centre) {
		return false
	}
	peer, found := d.pick(centre, hash)
	if !found || !d.relay(in, peer, 0) {
		return false
	}
	d.counts.Balanced++
	return true
}

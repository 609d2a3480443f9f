package agatesync

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"agatereach/core/process/agatenotice"
	"agatereach/core/request/agateload"
)

// maxPeers limits the number of known peers. It exceeds the number of entries that
// one entry can reach in a deployment.
const maxPeers = 1 << 12

const (
	// introducedPeers is the number of entries of the receiver's data centre that
	// an introduction names, and introducedRemote that of entries of other data
	// centres.
	introducedPeers  = 8
	introducedRemote = 2
	// enoughRemote is the number of known entries of other data centres from which
	// on no more are contacted. Data centres inform each other through a few
	// entries, and keeping track of all of them would be expensive.
	enoughRemote = 16
)

// peer is the state kept of another entry.
type peer struct {
	address      netip.AddrPort
	name, centre string
	boot         uint64
	// lastHeard is when its last heartbeat arrived; 0 if none has and its address
	// is known from other entries only.
	lastHeard time.Duration
	// lastAttempt is when it was last contacted at an address that another entry
	// named.
	lastAttempt time.Duration
	// heartbeat is its last heartbeat, without loads and peers.
	heartbeat agatenotice.Heartbeat
	// storeFailing is whether it reports that it cannot read the store, and leaving
	// whether it has announced its end.
	storeFailing, leaving bool
	// hash determines its place in the order of readers of its data centre.
	hash uint64
	// mismatchSince is since when it has had different registrations at the same
	// revision as this entry; 0 if it does not.
	mismatchSince time.Duration
}

// live reports whether the peer itself has sent a heartbeat.
func (p *peer) live() bool { return p.lastHeard > 0 }

// rankAge is how long a computed rank is reused.
const rankAge = 50 * time.Millisecond

// rank returns the number of entries of the data centre that take precedence over
// this one for reading the store.
func (s *Sync) rank(now time.Duration) int {
	if s.rankedAt == 0 || now-s.rankedAt >= rankAge {
		s.rankedAt = now
		s.cachedRank = s.countRank(now)
	}
	return s.cachedRank
}

// countRank computes the rank from the live peers. Up to MaxFailingReaders of those
// that cannot read the store are skipped. Entries that are leaving rank after all that
// stay, and the first LeavingReaders of them equally: each may end without further
// notice.
func (s *Sync) countRank(now time.Duration) int {
	own := xxhash.Sum64String(s.self.Name)
	timeout := s.readerTimeout()
	staying, leaving, failing := 0, 0, 0
	for _, p := range s.sortedPeers() {
		precedes := p.hash > own
		if p.leaving != s.leaving {
			precedes = s.leaving
		}
		if !p.live() || p.centre != s.self.Centre || !precedes || now-p.lastHeard > timeout {
			continue
		}
		if p.storeFailing && failing < s.policy.MaxFailingReaders {
			failing++
			continue
		}
		if p.leaving {
			leaving++
		} else {
			staying++
		}
	}
	return staying + max(0, leaving-(s.policy.LeavingReaders-1))
}

// readerTimeout returns how long an entry of the data centre may be silent before
// it is skipped in the order of readers. If a cycle of heartbeats takes long,
// readers send keepalives more often, and the timeout follows from their interval.
func (s *Sync) readerTimeout() time.Duration {
	timeout := 3 * s.cycleTime()
	if s.localCount <= s.policy.KeepaliveFanout {
		timeout = min(timeout, s.keepaliveInterval()*readerTimeoutHalves/2)
	}
	return max(s.policy.ReaderTimeout, timeout)
}

// readerTimeoutHalves is the timeout of a reader in halves of the keepalive
// interval. Two and a half intervals tolerate the loss of one keepalive.
const readerTimeoutHalves = 5

// peerStoreFailing reports whether another entry of the data centre reports that it
// cannot read the store. That entry keeps trying by itself.
func (s *Sync) peerStoreFailing() bool {
	for _, p := range s.sortedPeers() {
		if p.live() && p.storeFailing && p.centre == s.self.Centre {
			return true
		}
	}
	return false
}

// keepaliveInterval returns the time between two keepalives of a reader.
func (s *Sync) keepaliveInterval() time.Duration {
	spread := time.Duration(heartbeatBaseSize*s.localCount) * time.Second / time.Duration(s.policy.HeartbeatRate)
	return max(s.policy.ReaderTimeout, spread)
}

// keepalive returns the heartbeats that the first reader of a large data centre
// sends in addition to the rounds, so that it is replaced soon after it has ended.
func (s *Sync) keepalive(now time.Duration) []OutgoingNotice {
	if s.localCount <= s.policy.PeersPerRound || now-s.lastKeepalive < s.keepaliveInterval() || s.ReadDuty(now) != FirstReader {
		return nil
	}
	s.lastKeepalive = now
	return fanOut(s.sample(s.localPeers(), s.policy.KeepaliveFanout), s.partialHeartbeat(nil))
}

// localPeers returns the live peers of the same data centre in the order of their
// addresses.
func (s *Sync) localPeers() []*peer {
	var peers []*peer
	for _, p := range s.sortedPeers() {
		if p.live() && p.centre == s.self.Centre {
			peers = append(peers, p)
		}
	}
	return peers
}

// localTargets returns the peers of the same data centre that get urgent notices at
// once.
func (s *Sync) localTargets() []*peer { return s.sample(s.localPeers(), s.policy.LocalFanout) }

// remoteTargets returns a sample of the live peers of each other data centre.
func (s *Sync) remoteTargets() []*peer {
	centres := make(map[string][]*peer)
	for _, p := range s.sortedPeers() {
		if p.live() && p.centre != s.self.Centre {
			centres[p.centre] = append(centres[p.centre], p)
		}
	}
	var chosen []*peer
	for _, centre := range slices.Sorted(maps.Keys(centres)) {
		chosen = append(chosen, s.sample(centres[centre], s.policy.RemoteFanout)...)
	}
	return chosen
}

// sortedPeers returns the peers in the order of their addresses. The caller must
// not modify the slice.
func (s *Sync) sortedPeers() []*peer {
	if len(s.peerOrder) != len(s.peers) {
		s.peerOrder = slices.SortedFunc(maps.Values(s.peers), func(a, b *peer) int {
			return a.address.Compare(b.address)
		})
	}
	return s.peerOrder
}

// forget removes a peer.
func (s *Sync) forget(address netip.AddrPort) {
	s.rankedAt = 0
	s.peerOrder = nil
	delete(s.peers, address)
}

// sample returns up to limit of the peers, drawn uniformly. It may reorder the
// slice.
func (s *Sync) sample(peers []*peer, limit int) []*peer {
	if len(peers) <= limit {
		return peers
	}
	for i := range limit {
		j := i + int(s.random()*float64(len(peers)-i))
		peers[i], peers[j] = peers[j], peers[i]
	}
	return peers[:limit]
}

// expireInterval is the time between two checks for expired peers.
const expireInterval = 250 * time.Millisecond

// expire removes peers without a recent heartbeat. Peers of other data centres are
// kept longer, since they send heartbeats to only a few entries, unless they have
// announced their end.
func (s *Sync) expire(now time.Duration) {
	if now-s.lastExpiry < expireInterval {
		return
	}
	s.lastExpiry = now
	localLimit := max(s.policy.PeerExpiry, 4*s.cycleTime())
	for address, p := range s.peers {
		limit := localLimit
		if p.live() && p.centre != s.self.Centre && !p.leaving {
			limit = s.policy.RemotePeerExpiry
		}
		if now-max(p.lastHeard, p.lastAttempt) > limit {
			s.forget(address)
		}
	}
}

// receiveHeartbeat processes a heartbeat.
func (s *Sync) receiveHeartbeat(from netip.AddrPort, b *agatenotice.Heartbeat, now time.Duration) []OutgoingNotice {
	if b.Name == s.self.Name {
		return nil
	}
	p := s.ensurePeer(from)
	if p == nil {
		return nil
	}
	first := !p.live()
	if first || p.storeFailing != b.Failing || p.leaving != b.Leaving {
		s.rankedAt = 0
	}
	p.name, p.centre, p.boot, p.lastHeard, p.heartbeat = b.Name, b.Centre, b.Boot, now, *b
	p.storeFailing, p.leaving = b.Failing, b.Leaving
	p.heartbeat.Loads, p.heartbeat.Peers, p.heartbeat.RemotePeers = nil, nil, nil
	p.hash = xxhash.Sum64String(b.Name)
	sends := s.contact(b.Peers, s.self.Centre, now)
	if s.countRemote() < enoughRemote {
		sends = append(sends, s.contact(b.RemotePeers, "", now)...)
	}
	if first || b.WantReply {
		sends = append(sends, OutgoingNotice{To: from, Notice: s.introduction(false, b.Centre)})
	}
	return append(sends, s.compareCatalogs(p, b, now)...)
}

// ensurePeer returns the peer with the given address and adds it if necessary. It
// returns nil if there are too many peers.
func (s *Sync) ensurePeer(address netip.AddrPort) *peer {
	if p, ok := s.peers[address]; ok {
		return p
	}
	if len(s.peers) >= maxPeers {
		return nil
	}
	p := &peer{address: address}
	s.peers[address] = p
	s.peerOrder = nil
	return p
}

// countRemote returns the number of peers of other data centres, including peers
// that have not answered yet.
func (s *Sync) countRemote() int {
	remote := 0
	for _, p := range s.sortedPeers() {
		if p.centre != s.self.Centre {
			remote++
		}
	}
	return remote
}

// contact returns introductions to those of the addresses that are not yet peers.
// centre is their data centre, or empty if it is not known.
func (s *Sync) contact(addresses []netip.AddrPort, centre string, now time.Duration) []OutgoingNotice {
	var sends []OutgoingNotice
	for _, address := range addresses {
		if address == s.self.Address || s.peers[address] != nil {
			continue
		}
		if p := s.ensurePeer(address); p != nil {
			p.lastAttempt = now
			sends = append(sends, OutgoingNotice{To: address, Notice: s.introduction(true, centre)})
		}
	}
	return sends
}

// compareCatalogs adopts the peer's confirmation if both hold the same catalog, and
// returns a query if the peer is ahead or holds different registrations.
func (s *Sync) compareCatalogs(p *peer, b *agatenotice.Heartbeat, now time.Duration) []OutgoingNotice {
	own := s.Catalog()
	s.adoptConfirmation(p.address)
	ahead := place{b.Stamp(), b.Position()}.newerThan(placeOf(own))
	differs := b.Position() == own.Position() && b.Digest != own.Digest()
	trackSince(&p.mismatchSince, differs, now)
	switch {
	case ahead && s.preferLocal(p, now):
		s.remoteLag.record(p.address, b, own, now)
	case ahead:
		s.localLag.record(p.address, b, own, now)
		return s.catchUp(now)
	case differs && now-p.mismatchSince >= s.policy.MismatchDelay && now-s.lastFullQuery >= s.policy.MismatchDelay:
		s.lastFullQuery = now
		return []OutgoingNotice{{To: p.address, Notice: newQuery(place{stamp: own.Stamp()})}}
	}
	return nil
}

// preferLocal reports whether changes announced by a peer of another data centre
// should rather come from a peer of the same one: there is such a peer, or may soon
// be.
func (s *Sync) preferLocal(p *peer, now time.Duration) bool {
	switch {
	case p.centre == s.self.Centre:
		return false
	case s.Catalog().Revision() == 0:
		return now-s.firstDue < s.policy.StartupWait/2
	}
	return s.localCount > 0
}

// adoptConfirmation adopts the confirmation time from a peer's last heartbeat if
// that heartbeat describes the catalog that this entry holds.
func (s *Sync) adoptConfirmation(address netip.AddrPort) {
	p := s.peers[address]
	if p == nil || p.heartbeat.ConfirmedAge == 0 {
		return
	}
	own, b := s.Catalog(), &p.heartbeat
	if b.Stamp() == own.Stamp() && b.Era == own.Position().Era && b.Revision <= own.Revision() && b.Digest == own.Digest() {
		s.confirmedAt = max(s.confirmedAt, p.lastHeard-agateload.DecodeAge(p.heartbeat.ConfirmedAge))
	}
}

// newQuery returns a query for what an entry at the given place lacks.
func newQuery(own place) agatenotice.Notice {
	return agatenotice.Notice{Query: &agatenotice.Query{
		Era: own.position.Era, After: own.position.Revision,
		Version: own.stamp.Version, ConfigEra: own.stamp.Written.Era, ConfigRevision: own.stamp.Written.Revision,
	}}
}

// trackSince maintains the time since when a condition has held without
// interruption; 0 if it does not hold.
func trackSince(since *time.Duration, holds bool, now time.Duration) {
	switch {
	case !holds:
		*since = 0
	case *since == 0:
		*since = now
	}
}

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

// maxPeers bounds the entries that are held: more than a deployment has in
// reach of one entry.
const maxPeers = 1 << 12

const (
	// sharedPeers is the number of entries of the receiver's data centre that an
	// introduction names, and sharedFar that of others.
	sharedPeers = 8
	sharedFar   = 2
	// enoughFar is the number of entries of other data centres that one looks for:
	// they tell each other by a few, and all of them would be dear to know.
	enoughFar = 16
)

// peer is another entry.
type peer struct {
	address      netip.AddrPort
	name, centre string
	boot         uint64
	// heard is when its last heartbeat came; 0 if none has, and the address is
	// known from others only.
	heard time.Duration
	// tried is when a heartbeat was last sent to it.
	tried time.Duration
	// said is its last heartbeat without lists.
	said agatenotice.Beat
	// failing says that it cannot read the store.
	failing bool
	// hash orders the entries of a data centre as readers.
	hash uint64
	// differs is since when it has held other registrations at the same revision; 0
	// if it does not.
	differs time.Duration
}

// live reports whether the peer is known by its own word.
func (p *peer) live() bool { return p.heard > 0 }

// rankAge is how long the place in the order of readers is kept before it is
// counted again.
const rankAge = 50 * time.Millisecond

// rank returns the number of entries of the data centre that should rather read
// the store than this one.
func (s *Sync) rank(now time.Duration) int {
	if s.ranked == 0 || now-s.ranked >= rankAge {
		s.ranked = now
		s.place = s.countRank(now)
	}
	return s.place
}

func (s *Sync) countRank(now time.Duration) int {
	own := xxhash.Sum64String(s.self.Name)
	quiet := s.quiet()
	rank, failing := 0, 0
	for _, p := range s.sortedPeers() {
		if !p.live() || p.centre != s.self.Centre || p.hash <= own || now-p.heard > quiet {
			continue
		}
		if p.failing && failing < s.policy.Failing {
			failing++
			continue
		}
		rank++
	}
	return rank
}

// quiet returns how long an entry of the data centre may say nothing before it is
// passed over as a reader. Where heartbeats go round slowly, a reader says more often
// that it is there.
func (s *Sync) quiet() time.Duration {
	around := 3 * s.cycle()
	if s.nearCount <= s.policy.Told {
		around = min(around, s.keepInterval()*missedKeepalives/2)
	}
	return max(s.policy.Quiet, around)
}

// missedKeepalives is how many halves of the interval between two of them may pass
// before a reader is held to be gone: one may be lost.
const missedKeepalives = 5

// storeFails reports whether another entry of the data centre says that it cannot
// read the store, and so tries again by itself.
func (s *Sync) storeFails() bool {
	for _, p := range s.sortedPeers() {
		if p.live() && p.failing && p.centre == s.self.Centre {
			return true
		}
	}
	return false
}

// keepInterval returns the time between two keepalives of a reader.
func (s *Sync) keepInterval() time.Duration {
	spread := time.Duration(beatSize*s.nearCount) * time.Second / time.Duration(s.policy.Rate)
	return max(s.policy.Quiet, spread)
}

// keepalive returns what the reader of a large data centre sends between
// heartbeats, so that it is replaced soon once it is gone.
func (s *Sync) keepalive(now time.Duration) []Send {
	if s.nearCount <= s.policy.Round || now-s.keptAlive < s.keepInterval() || s.Due(now) != First {
		return nil
	}
	s.keptAlive = now
	return address(s.sample(s.centre(), s.policy.Told), s.brief(nil))
}

// centre returns the live peers of the own data centre in the order of their
// addresses.
func (s *Sync) centre() []*peer {
	var peers []*peer
	for _, p := range s.sortedPeers() {
		if p.live() && p.centre == s.self.Centre {
			peers = append(peers, p)
		}
	}
	return peers
}

// near returns the peers of the own data centre that are told of news at once.
func (s *Sync) near() []*peer { return s.sample(s.centre(), s.policy.Near) }

// far returns some peers of each other data centre.
func (s *Sync) far() []*peer {
	centres := make(map[string][]*peer)
	for _, p := range s.sortedPeers() {
		if p.live() && p.centre != s.self.Centre {
			centres[p.centre] = append(centres[p.centre], p)
		}
	}
	var chosen []*peer
	for _, centre := range slices.Sorted(maps.Keys(centres)) {
		chosen = append(chosen, s.sample(centres[centre], s.policy.Far)...)
	}
	return chosen
}

// sortedPeers returns the peers in the order of their addresses. The slice must
// not be changed.
func (s *Sync) sortedPeers() []*peer {
	if len(s.sorted) != len(s.peers) {
		s.sorted = slices.SortedFunc(maps.Values(s.peers), func(a, b *peer) int {
			return a.address.Compare(b.address)
		})
	}
	return s.sorted
}

// forget drops a peer.
func (s *Sync) forget(address netip.AddrPort) {
	s.ranked = 0
	s.sorted = nil
	delete(s.peers, address)
}

// sample returns up to limit of the peers, drawn evenly.
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

// expireInterval is the time between two looks at which peers have gone.
const expireInterval = 250 * time.Millisecond

// expire forgets peers that have not been heard for long. Those of other data
// centres, who choose a few to write to, are kept for longer.
func (s *Sync) expire(now time.Duration) {
	if now-s.expired < expireInterval {
		return
	}
	s.expired = now
	near := max(s.policy.Expire, 4*s.cycle())
	for address, p := range s.peers {
		limit := near
		if p.live() && p.centre != s.self.Centre {
			limit = s.policy.ExpireFar
		}
		if now-max(p.heard, p.tried) > limit {
			s.forget(address)
		}
	}
}

// receiveBeat takes in a heartbeat.
func (s *Sync) receiveBeat(from netip.AddrPort, b *agatenotice.Beat, now time.Duration) []Send {
	if b.Name == s.self.Name {
		return nil
	}
	if b.Leaving {
		s.forget(from)
		return nil
	}
	p := s.meet(from)
	if p == nil {
		return nil
	}
	first := !p.live()
	if first || p.failing != b.Failing {
		s.ranked = 0
	}
	p.name, p.centre, p.boot, p.heard, p.failing, p.said = b.Name, b.Centre, b.Boot, now, b.Failing, *b
	p.said.Loads, p.said.Peers, p.said.Far = nil, nil, nil
	p.hash = xxhash.Sum64String(b.Name)
	sends := s.follow(b.Peers, s.self.Centre, now)
	if s.countFar() < enoughFar {
		sends = append(sends, s.follow(b.Far, "", now)...)
	}
	if first || b.Answer {
		sends = append(sends, Send{To: from, Notice: s.introduction(false, b.Centre)})
	}
	return append(sends, s.compare(p, b, now)...)
}

// meet returns the peer of an address, nil if there are too many.
func (s *Sync) meet(address netip.AddrPort) *peer {
	if p, ok := s.peers[address]; ok {
		return p
	}
	if len(s.peers) >= maxPeers {
		return nil
	}
	p := &peer{address: address}
	s.peers[address] = p
	s.sorted = nil
	return p
}

// countFar returns the number of peers of other data centres, with those that have
// not answered yet.
func (s *Sync) countFar() int {
	far := 0
	for _, p := range s.sortedPeers() {
		if p.centre != s.self.Centre {
			far++
		}
	}
	return far
}

// follow returns heartbeats to entries that another has named, of a data centre if
// that is known.
func (s *Sync) follow(addresses []netip.AddrPort, centre string, now time.Duration) []Send {
	var sends []Send
	for _, address := range addresses {
		if address == s.self.Address || s.peers[address] != nil {
			continue
		}
		if p := s.meet(address); p != nil {
			p.tried = now
			sends = append(sends, Send{To: address, Notice: s.introduction(true, centre)})
		}
	}
	return sends
}

// compare asks a peer for what it holds beyond this entry, and takes its word
// that the catalog is the newest.
func (s *Sync) compare(p *peer, b *agatenotice.Beat, now time.Duration) []Send {
	own := s.Catalog()
	s.agree(p.address)
	ahead := b.Version > own.Version() || b.Revision > own.Revision()
	differs := b.Revision == own.Revision() && b.Digest != own.Digest()
	mark(&p.differs, differs, now)
	switch {
	case ahead && s.local(p, now):
		s.behindFar.note(p.address, b, own, now)
	case ahead:
		s.behind.note(p.address, b, own, now)
		return s.catchUp(now)
	case differs && now-p.differs >= s.policy.Differ && now-s.whole >= s.policy.Differ:
		s.whole = now
		return []Send{{To: p.address, Notice: ask(0, own.Version())}}
	}
	return nil
}

// local reports whether what a peer of another data centre is ahead by should come
// from one of the own: there is such a one, or may soon be.
func (s *Sync) local(p *peer, now time.Duration) bool {
	switch {
	case p.centre == s.self.Centre:
		return false
	case s.Catalog().Revision() == 0:
		return now-s.started < s.policy.HeadStart/2
	}
	return s.nearCount > 0
}

// agree takes a peer's last word that the catalog is the newest, if it holds the
// same one.
func (s *Sync) agree(address netip.AddrPort) {
	p := s.peers[address]
	if p == nil || p.said.Confirmed == 0 {
		return
	}
	own := s.Catalog()
	if p.said.Version == own.Version() && p.said.Revision <= own.Revision() && p.said.Digest == own.Digest() {
		s.confirmed = max(s.confirmed, p.heard-agateload.Duration(p.said.Confirmed))
	}
}

// ask returns a question.
func ask(after, version int64) agatenotice.Notice {
	return agatenotice.Notice{Ask: &agatenotice.Ask{After: after, Version: version}}
}

// mark notes since when a condition holds.
func mark(since *time.Duration, holds bool, now time.Duration) {
	switch {
	case !holds:
		*since = 0
	case *since == 0:
		*since = now
	}
}

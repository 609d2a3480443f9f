package agatesync

import (
	"net/netip"
	"time"

	"agatereach/core/process/agatenotice"
	"agatereach/core/request/agateload"
)

// seek returns heartbeats to the seeds that are not known to live, and to
// addresses that others have named.
func (s *Sync) seek() []Send {
	var sends []Send
	for _, seed := range s.seeds {
		known := s.peers[seed]
		if seed == s.self.Address || known != nil && known.live() {
			continue
		}
		sends = append(sends, Send{To: seed, Notice: s.introduction(true, "")})
	}
	return sends
}

// period returns the time between two rounds of heartbeats.
func (s *Sync) period() time.Duration {
	bytes := s.size * min(s.nearCount, s.policy.Round)
	spread := time.Duration(bytes) * time.Second / time.Duration(s.policy.Rate)
	return min(max(s.policy.Beat, spread), s.policy.Expire/4)
}

// cycle returns the time in which a heartbeat reaches each peer of the data
// centre, about.
func (s *Sync) cycle() time.Duration {
	rounds := (s.nearCount + s.policy.Round - 1) / s.policy.Round
	return s.period() * time.Duration(max(rounds, 1))
}

// round returns the peers of the data centre whose turn it is. All of them get
// theirs, however many there are.
func (s *Sync) round() []*peer {
	peers := s.centre()
	s.nearCount = len(peers)
	if len(peers) <= s.policy.Round {
		return peers
	}
	turn := make([]*peer, s.policy.Round)
	for i := range turn {
		turn[i] = peers[(s.turn+i)%len(peers)]
	}
	s.turn = (s.turn + len(turn)) % len(peers)
	return turn
}

// beats returns heartbeats to the peers for whom one is due.
func (s *Sync) beats(now time.Duration) []Send {
	var sends []Send
	if now-s.beaten >= s.period() {
		s.beaten = now
		sends = address(s.round(), s.beat())
	}
	if period := s.periodFar(); now-s.beatenFar >= period {
		// Entries that were started together take turns.
		s.beatenFar = now + time.Duration((s.random()-0.5)*float64(period))
		sends = append(sends, s.beatsFar(now)...)
	}
	return sends
}

// periodFar returns the time between two heartbeats to other data centres: the
// entries of a data centre share what it tells another one.
func (s *Sync) periodFar() time.Duration {
	shared := s.policy.FarShare * time.Duration(s.nearCount+1)
	return max(s.policy.FarBeat, s.period(), min(shared, s.policy.ExpireFar/4))
}

// beatsFar returns heartbeats to other data centres, with loads as often as their
// bytes allow.
func (s *Sync) beatsFar(now time.Duration) []Send {
	peers := s.far()
	if len(peers) == 0 {
		return nil
	}
	full := s.beat()
	spread := time.Duration(s.size*len(peers)) * time.Second / time.Duration(s.policy.FarRate)
	// What one of many entries has seen says little of the load of a server.
	spread *= time.Duration(max(1, (s.nearCount+1)/s.policy.FarEntries))
	if now-s.loadedFar < spread {
		return address(peers, s.brief(nil))
	}
	s.loadedFar = now
	return address(peers, full)
}

// address returns the notice to each of the peers.
func address(peers []*peer, notice agatenotice.Notice) []Send {
	sends := make([]Send, len(peers))
	for i, p := range peers {
		sends[i] = Send{To: p.address, Notice: notice}
	}
	return sends
}

// brief returns a heartbeat without loads, or with some of them.
func (s *Sync) brief(loads []agateload.Load) agatenotice.Notice {
	notice := s.beat()
	notice.Beat.Loads, notice.Beat.Partial = loads, true
	return notice
}

// Sizes of a heartbeat in bytes, for its period.
const (
	beatSize = 100
	loadSize = 12
)

// beat returns a heartbeat with all loads.
func (s *Sync) beat() agatenotice.Notice {
	catalog := s.Catalog()
	b := &agatenotice.Beat{
		Name: s.self.Name, Centre: s.self.Centre, Boot: s.self.Boot,
		Version: catalog.Version(), Revision: catalog.Revision(), Digest: catalog.Digest(),
		Confirmed: s.confirmedAge(), Failing: s.failing, Leaving: s.leaving, Loads: s.loads,
	}
	s.size = beatSize + loadSize*len(s.loads)
	return agatenotice.Notice{Beat: b}
}

// introduction returns a heartbeat that names other entries to one of a data
// centre, some of its own and few of the others; none if its data centre is not
// known. Loads follow with the next one.
func (s *Sync) introduction(answer bool, centre string) agatenotice.Notice {
	notice := s.brief(nil)
	notice.Beat.Answer = answer
	if centre != "" {
		notice.Beat.Peers = s.someLive(sharedPeers, func(p *peer) bool { return p.centre == centre })
		notice.Beat.Far = s.someLive(sharedFar, func(p *peer) bool { return p.centre != centre })
	}
	return notice
}

// confirmedAge returns how long ago the catalog was known to be the newest.
func (s *Sync) confirmedAge() uint32 {
	if s.confirmed == 0 {
		return 0
	}
	return agateload.Age(s.now - s.confirmed)
}

// someLive returns the addresses of up to limit live peers that fit, from a drawn
// place on.
func (s *Sync) someLive(limit int, fits func(*peer) bool) []netip.AddrPort {
	peers := s.sortedPeers()
	first := int(s.random() * float64(len(peers)))
	addresses := make([]netip.AddrPort, 0, limit)
	for i := range peers {
		p := peers[(first+i)%len(peers)]
		if len(addresses) < limit && p.live() && fits(p) {
			addresses = append(addresses, p.address)
		}
	}
	return addresses
}

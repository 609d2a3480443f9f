package agatepool

import (
	"math"
	"math/bits"
	"time"
)

const (
	// feedDecayInterval is the time between two reductions of the feed counts.
	feedDecayInterval = time.Minute
	// feedDecayFactor is the part of a count that remains after a reduction. A
	// count halves in about seven minutes.
	feedDecayFactor = 0.9
)

// shardSize is the least average number of servers in a shard if there are
// several.
const shardSize = 16

// shards divides the members into small groups by a hash of their numbers, so that
// rendezvous hashing scores the members of one group instead of all.
type shards struct {
	// groups has a power of two as its length.
	groups [][]*Member
}

func (s *shards) rebuild(members []*Member) {
	count := 1
	if full := len(members) / shardSize; full > 1 {
		count = 1 << (bits.Len(uint(full)) - 1)
	}
	s.groups = make([][]*Member, count)
	for _, m := range members {
		at := mix(uint64(m.server.ID)) & uint64(count-1)
		s.groups[at] = append(s.groups[at], m)
	}
}

// pick returns the member with the highest weighted rendezvous score (Schindelhauer
// and Schomaker, "Weighted Distributed Hash Tables", SPAA 2005) in the group of the
// hash, or in the next group that has one with room. It skips excluded and returns
// nil if no member has room.
func (s *shards) pick(hash uint64, excluded *Member) *Member {
	if len(s.groups) == 0 {
		return nil
	}
	for step := range len(s.groups) {
		at := (hash + uint64(step)) & uint64(len(s.groups)-1)
		if m := highestScore(s.groups[at], hash, excluded); m != nil {
			return m
		}
	}
	return nil
}

func highestScore(group []*Member, hash uint64, excluded *Member) *Member {
	var best *Member
	var bestScore float64
	for _, m := range group {
		if m == excluded || m.feeds >= float64(m.server.Connections) {
			continue
		}
		score := rendezvous(hash, m)
		if best == nil || score > bestScore {
			best, bestScore = m, score
		}
	}
	return best
}

// rendezvous returns the member's score for the hash, greater than 0.
func rendezvous(hash uint64, m *Member) float64 {
	const scale = 1 << 53
	uniform := (float64(mix(hash^mix(uint64(m.server.ID)))>>11) + 0.5) / scale
	return m.weight * float64(m.server.Connections) / -math.Log(uniform)
}

// feedLoad returns the part of the member's weighted connections that would be in
// use with one more feed.
func (m *Member) feedLoad() float64 {
	return (m.feeds + 1) / (m.weight * float64(m.server.Connections))
}

// OpenFeed chooses the server of a new feed and counts the feed. The flow's number
// determines two candidates; the one with the lower feed load is chosen. It returns
// nil if no server has room.
func (p *Pool) OpenFeed(flow uint64) *Member {
	first := p.shards.pick(mix(flow), nil)
	if first == nil {
		return nil
	}
	second := p.shards.pick(mix(flow+1), first)
	if second != nil && second.feedLoad() < first.feedLoad() {
		first = second
	}
	first.feeds++
	return first
}

// decayFeeds reduces the feed counts once per feedDecayInterval. The datagrams of a
// feed may pass through any entry, so the entry that opened it does not learn when
// it ends; older feeds count less and less instead.
func (p *Pool) decayFeeds(now time.Time) {
	if now.Sub(p.lastDecay) < feedDecayInterval {
		return
	}
	p.lastDecay = now
	for _, m := range p.members {
		m.feeds *= feedDecayFactor
	}
}

// FeedClosed records that a feed at the server has ended.
func (p *Pool) FeedClosed(id uint32) {
	if m := p.members[id]; m != nil {
		m.feeds = max(m.feeds-1, 0)
	}
}

// mix hashes x with the finalizer of SplitMix64 (Steele, Lea and Flood, OOPSLA
// 2014).
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

package agateplacement

import (
	"slices"

	"agatereach/core/process/agatepool"
)

const (
	// sampleCount is the number of random servers that hotCold compares.
	sampleCount = 8
	// hotRank is the index in the sorted loads of the sample above which a
	// server is hot; the published quantile is 0.84.
	hotRank = 6
	// loadScale is the fixed-point scale of a load per slot.
	loadScale = 64
)

// immediate is a policy that sends requests at once and lets the servers queue
// them.
type immediate struct {
	choose func(p *agatepool.Pool, accepts func(*agatepool.Member) bool) *agatepool.Member
}

// Requeues implements Policy.
func (immediate) Requeues() bool { return false }

// Pick implements Policy. It finds no server if all those it looks at have
// reached this entry's limits.
func (f immediate) Pick(p *agatepool.Pool, w Work) (*agatepool.Member, bool, bool) {
	m := f.choose(p, func(m *agatepool.Member) bool {
		return m != w.Avoid && m.Own() < m.Limit()
	})
	return m, false, m != nil
}

func random(p *agatepool.Pool, fits func(*agatepool.Member) bool) *agatepool.Member {
	return p.Random(fits)
}

func roundRobin(p *agatepool.Pool, fits func(*agatepool.Member) bool) *agatepool.Member {
	return p.Next(fits)
}

func least(p *agatepool.Pool, fits func(*agatepool.Member) bool) *agatepool.Member {
	return p.LeastOwn(fits)
}

func twoChoices(p *agatepool.Pool, fits func(*agatepool.Member) bool) *agatepool.Member {
	return lessLoadedOfTwo(p, fits, func(m *agatepool.Member) int { return m.Own() * loadScale / m.Slots() })
}

func twoChoicesLoad(p *agatepool.Pool, fits func(*agatepool.Member) bool) *agatepool.Member {
	return lessLoadedOfTwo(p, fits, loadPerSlot)
}

// lessLoadedOfTwo returns the one of two random members with the lower load.
func lessLoadedOfTwo(p *agatepool.Pool, fits func(*agatepool.Member) bool, load func(*agatepool.Member) int) *agatepool.Member {
	first, second := p.Random(fits), p.Random(fits)
	if first == nil || second == nil || load(first) <= load(second) {
		return first
	}
	return second
}

func loadPerSlot(m *agatepool.Member) int { return m.Load() * loadScale / m.Slots() }

func hotCold(p *agatepool.Pool, fits func(*agatepool.Member) bool) *agatepool.Member {
	var candidates [sampleCount]*agatepool.Member
	var loads [sampleCount]int
	for i := range candidates {
		m := p.Random(fits)
		if m == nil {
			return nil
		}
		candidates[i], loads[i] = m, loadPerSlot(m)
	}
	slices.Sort(loads[:])
	hotLimit := loads[hotRank]
	best := candidates[0]
	for _, m := range candidates[1:] {
		if preferred(m, best, hotLimit) {
			best = m
		}
	}
	return best
}

// preferred reports whether a is a better choice than b: cold before hot, the
// faster of two cold servers, the less loaded of two hot ones.
func preferred(a, b *agatepool.Member, hotLimit int) bool {
	loadA, loadB := loadPerSlot(a), loadPerSlot(b)
	if (loadA <= hotLimit) != (loadB <= hotLimit) {
		return loadA <= hotLimit
	}
	if loadA <= hotLimit {
		return a.Latency() < b.Latency()
	}
	return loadA < loadB
}

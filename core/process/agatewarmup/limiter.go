// Package agatewarmup limits the new flows of backend servers that have just started, all
// entries together, without messages of its own: a few entries of the server's data centre
// own its rate. They follow from the names of the entries that an entry hears.
package agatewarmup

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Limiter decides whether one entry may give a cold server a new flow. It must be used by
// one goroutine only. All times are readings of one monotonic clock that starts above 0.
//
// A flow at a time f shows that the entry has been an owner for one interval before f. So
// if at no time more than n entries are owners, no second has more than n times the flows
// of one owner, however the owners change.
type Limiter struct {
	policy Policy
	// startedAt is when the entry started or last paused; 0 before the first call of Tick,
	// and lastTick is when Tick was last called.
	startedAt, lastTick time.Duration
	// entries holds the other entries of the data centre that have been heard within
	// Memory, by name.
	entries map[string]*entry
	// majoritySince is the time since which a majority of the known entries has been live;
	// 0 if it isn't.
	majoritySince time.Duration
	// forgottenAt is when an entry was last removed from those known; 0 for never. What the
	// entry was an owner of before that isn't known any more.
	forgottenAt time.Duration
	// settled is whether the entry could be an owner at the time settledAt.
	settled   bool
	settledAt time.Duration
	// usedAt holds the time of the last flow of each server, by the server's id. It is
	// kept for usedRetention.
	usedAt map[uint64]time.Duration
	// others holds the servers of which this entry was no owner since the last call of
	// Tick: it goes through all entries once for each server and tick at most.
	others map[uint64]struct{}
	// shares caches the division of each rate.
	shares map[float64]share
}

// entry is another entry of the data centre.
type entry struct {
	hash uint64
	// heardAt is when it was last heard.
	heardAt time.Duration
	// left is whether it has announced its end. It keeps its place in the order of owners
	// and doesn't count for the majority.
	left bool
}

// New returns a Limiter.
func New(policy Policy) *Limiter {
	return &Limiter{
		policy: policy, entries: make(map[string]*entry), usedAt: make(map[uint64]time.Duration), shares: make(map[float64]share), others: make(map[uint64]struct{}),
	}
}

// maxEntries bounds the number of known entries. It exceeds that of a data centre.
const maxEntries = 1 << 12

// Hear records that another entry of the data centre was heard, and whether it announced
// its end.
func (l *Limiter) Hear(name string, leaving bool, now time.Duration) {
	if name == l.policy.Entry {
		return
	}
	l.updateMajority(now)
	known, ok := l.entries[name]
	if !ok {
		if len(l.entries) >= maxEntries {
			return
		}
		known = &entry{hash: xxhash.Sum64String(name)}
		l.entries[name] = known
	}
	known.heardAt, known.left = now, leaving
	l.updateMajority(now)
}

// usedRetention is how long the time of a server's last flow is kept at least.
const usedRetention = time.Hour

// Tick processes timeouts. It should be called about ten times per second.
func (l *Limiter) Tick(now time.Duration) {
	l.notePause(now)
	l.lastTick = now
	clear(l.others)
	l.updateMajority(now)
	for name, each := range l.entries {
		if now-each.heardAt > l.atLeast(l.policy.Memory, memoryCycles) {
			delete(l.entries, name)
			l.forgottenAt = now
		}
	}
	l.updateMajority(now)
	for id, at := range l.usedAt {
		if now-at > usedRetention {
			delete(l.usedAt, id)
		}
	}
}

// notePause begins the time of settling anew after a pause, in which the entry has heard
// nothing.
func (l *Limiter) notePause(now time.Duration) {
	if l.startedAt == 0 || now-l.lastTick > l.policy.MaxPause {
		l.startedAt = now
	}
}

// atLeast returns a time that is not shorter than the given one and than a number of cycles
// of heartbeats.
func (l *Limiter) atLeast(d, cycles time.Duration) time.Duration {
	return max(d, cycles*l.policy.Cycle*time.Duration(len(l.entries)+1))
}

// updateMajority determines whether this entry hears a majority of those that it knows.
func (l *Limiter) updateMajority(now time.Duration) {
	l.settledAt = 0
	expiry := l.atLeast(l.policy.Expiry, expiryCycles)
	known, live := 1, 1
	for _, each := range l.entries {
		if each.left {
			continue
		}
		known++
		if now-each.heardAt <= expiry {
			live++
		}
	}
	switch {
	case 2*live <= known:
		l.majoritySince = 0
	case l.majoritySince == 0:
		l.majoritySince = now
	}
}

// Allows reports whether the entry may give a cold server with the given rate a new flow.
func (l *Limiter) Allows(server uint64, rate float64, now time.Duration) bool {
	division := l.share(rate)
	if division.owners == 0 {
		return false
	}
	if used, ok := l.usedAt[server]; ok && now-used < division.interval {
		return false
	}
	if _, other := l.others[server]; other {
		return false
	}
	since, owner := l.ownerSince(server, division.owners, now)
	if !owner {
		l.others[server] = struct{}{}
	}
	return owner && now-since >= division.interval
}

// Use records that the entry gave a server a new flow.
func (l *Limiter) Use(server uint64, now time.Duration) { l.usedAt[server] = now }

// Settled reports whether the entry has run for long enough, and hears enough others, to be
// an owner of any server.
func (l *Limiter) Settled(now time.Duration) bool {
	if l.settledAt != now {
		l.notePause(now)
		l.updateMajority(now)
		l.settled = l.majoritySince > 0 && now-l.startedAt >= l.atLeast(l.policy.Settle, settleCycles)
		l.settledAt = now
	}
	return l.settled
}

// share returns the division of a rate.
func (l *Limiter) share(rate float64) share {
	division, ok := l.shares[rate]
	if !ok {
		division = l.policy.share(rate)
		if len(l.shares) >= maxShares {
			clear(l.shares)
		}
		l.shares[rate] = division
	}
	return division
}

// maxShares bounds the number of rates whose division is kept.
const maxShares = 1 << 10

// ownerSince returns since when the entry has been one of the owners of a server, and
// whether it is one. An entry that has been silent keeps its place for Hold: until then
// it may be an owner itself, which this entry doesn't hear of.
func (l *Limiter) ownerSince(server uint64, owners int, now time.Duration) (time.Duration, bool) {
	if !l.Settled(now) {
		return 0, false
	}
	hold := l.atLeast(l.policy.Hold, holdCycles)
	own := score(server, xxhash.Sum64String(l.policy.Entry))
	// before is the number of known entries that precede this one.
	before := 0
	since := max(l.startedAt+l.atLeast(l.policy.Settle, settleCycles), l.majoritySince, l.forgottenAt)
	for _, each := range l.entries {
		if score(server, each.hash) <= own {
			continue
		}
		if now-each.heardAt > hold {
			since = max(since, each.heardAt+hold)
			continue
		}
		before++
	}
	return since, before < owners
}

// score returns an entry's place in the order of owners of a server. The highest come
// first.
func score(server, entry uint64) uint64 {
	var input [16]byte
	binary.BigEndian.PutUint64(input[:], server)
	binary.BigEndian.PutUint64(input[8:], entry)
	return xxhash.Sum64(input[:])
}

// Package agatebudget spaces an entry's reads of the platform so that the reads
// of all entries stay within one limit for the fleet, without coordination
// between entries.
package agatebudget

import "time"

// Fractions of the fleet's reads.
const (
	// isolatedShare is for entries that receive nothing from peers.
	isolatedShare = 0.5
	// readerShare is for the watches that readers hold.
	readerShare = 0.25
)

// Bounds on the times between reads.
const (
	minInterval  = time.Second
	minGap       = 20 * time.Millisecond
	minBackoff   = 250 * time.Millisecond
	maxBackoff   = 30 * time.Second
	maxDoublings = 8
)

// Budget derives the times between one entry's reads from the limit for the
// fleet. The zero value sets no limit, so that the shortest times apply.
type Budget struct {
	// Reads is the number of reads per second that the whole fleet may make.
	Reads float64
	// Entries is the number of entries known to be in the fleet.
	Entries int
	// Readers is the number of entries that hold watches.
	Readers int
}

// WithEntries returns a copy for a fleet of the given size.
func (b Budget) WithEntries(entries, readers int) Budget {
	b.Entries, b.Readers = entries, readers
	return b
}

// Interval returns the time between two reads of an entry that receives nothing
// from peers. The draw is a random number in [0, 1) that adds jitter; the mean
// over all draws keeps the sum of all entries' reads within isolatedShare.
func (b Budget) Interval(draw float64) time.Duration {
	mean := max(b.spread(b.Entries, isolatedShare), minInterval)
	return time.Duration((0.5 + draw) * float64(mean))
}

// Start returns how long an entry that has peers to ask waits before its own
// first read. The draw is a random number in [0, 1).
func (b Budget) Start(draw float64) time.Duration {
	return time.Duration(draw * float64(b.spread(b.Entries, isolatedShare)))
}

// Gap returns the shortest time between two reads of one reader. It limits the
// number of reads that a burst of tickets causes.
func (b Budget) Gap() time.Duration {
	return max(b.spread(b.Readers, readerShare), minGap)
}

// Backoff returns how long to wait after the given number of consecutive failed
// reads: the time that the platform asked for plus an exponential backoff with
// jitter. The backoff is capped where the reads of all entries stay within
// isolatedShare, and at maxBackoff; while the size of the fleet is not known,
// only maxBackoff applies. The draw is a random number in [0, 1).
func (b Budget) Backoff(failures int, asked time.Duration, draw float64) time.Duration {
	backoff := minBackoff << min(max(failures-1, 0), maxDoublings)
	limit := maxBackoff
	if b.Entries > 1 {
		limit = min(max(b.spread(b.Entries, isolatedShare), minInterval), maxBackoff)
	}
	return asked + time.Duration((0.5+draw/2)*float64(min(backoff, limit)))
}

// spread returns the time in which the share of the budget allows count reads,
// 0 if there is no limit.
func (b Budget) spread(count int, share float64) time.Duration {
	if b.Reads <= 0 {
		return 0
	}
	return time.Duration(float64(count) / (b.Reads * share) * float64(time.Second))
}

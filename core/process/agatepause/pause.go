// Package agatepause detects that a process has been paused.
package agatepause

import "time"

// Pause detects pauses by the time between two beats of a process. It uses both the
// monotonic and the wall clock, since the monotonic clock stops while a VM is
// suspended.
type Pause struct {
	// limit is the longest gap between beats that is not a pause; positive.
	limit time.Duration
	// lastBeat is the time of the last beat; zero before the first one.
	lastBeat time.Time
}

// New returns a detector of gaps longer than limit.
func New(limit time.Duration) *Pause { return &Pause{limit: limit} }

// Beat records that the process is running and reports whether it has been paused
// since the last beat.
func (p *Pause) Beat(now time.Time) bool {
	paused := p.Since(now)
	p.lastBeat = now
	return paused
}

// Since reports whether the last beat is longer ago than the limit. It reports
// false before the first beat.
func (p *Pause) Since(now time.Time) bool {
	if p.lastBeat.IsZero() {
		return false
	}
	monotonic := now.Sub(p.lastBeat)
	wall := now.Round(0).Sub(p.lastBeat.Round(0))
	return max(monotonic, wall) > p.limit
}

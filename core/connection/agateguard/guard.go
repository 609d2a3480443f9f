// Package agateguard remembers, for the flows that a process guards, which
// requests it has taken on and how they ended, so that none is passed on
// twice. Its memory is bounded: what it has forgotten it reports as lost, never
// as new.
package agateguard

import (
	"time"

	"agatereach/core/connection/agatewindow"
	"agatereach/core/request/agatetoken"
)

const (
	// defaultFlows and defaultBytes are the limits of a guard without options.
	defaultFlows = 1 << 18
	defaultBytes = 16 << 20
	// protected is the time after its last use in which a flow is not
	// forgotten, so that a copy of its open that the network has held back
	// does not meet an empty record.
	protected = 30 * time.Second
	// keepOutcome is how long the end of a request is remembered.
	keepOutcome = 2 * time.Minute
	// outcomeSize is what an outcome takes besides its answer, in bytes.
	outcomeSize = 128
	// evictTries bounds the flows that are looked at to make room for one.
	evictTries = 16
)

// Status says what a guard knows of a request.
type Status string

// The states of a request.
const (
	// Fresh is a request that the guard has not taken on before.
	Fresh Status = "fresh"
	// Running is a request that has not ended.
	Running Status = "running"
	// Ended is a request whose end is recorded.
	Ended Status = "ended"
	// Lost is a request that may have run; its record is gone.
	Lost Status = "lost"
)

// Option sets a property of a Guard.
type Option func(*Guard)

// WithFlows sets the number of flows that are remembered.
func WithFlows(limit int) Option { return func(g *Guard) { g.maxFlows = max(limit, 1) } }

// WithBytes sets the memory for the ends of requests, in bytes.
func WithBytes(limit int) Option { return func(g *Guard) { g.maxBytes = max(limit, 0) } }

// Guard holds the records of the flows that one process guards. It is not safe
// for concurrent use.
type Guard struct {
	boot     uint64
	maxFlows int
	maxBytes int
	// flows holds at most maxFlows flows.
	flows map[Key]*flow
	// oldest and newest are the ends of the flows in the order of last use.
	oldest, newest *flow
	// ends holds the recorded outcomes, oldest first.
	ends queue
	// bytes is the size of the recorded outcomes, at most maxBytes.
	bytes int
	// exported says that the records have been handed over.
	exported bool
	evicted  uint64
}

// New returns the guard of the process boot.
func New(boot uint64, options ...Option) *Guard {
	g := &Guard{boot: boot, maxFlows: defaultFlows, maxBytes: defaultBytes, flows: make(map[Key]*flow)}
	for _, option := range options {
		option(g)
	}
	return g
}

// Open makes a record of the flow unless there is one, and reports whether
// there is one now. There is none if the guard is full of flows that were used
// a short while ago, or if its records have been handed over.
func (g *Guard) Open(now time.Time, key Key) bool {
	if g.exported {
		return false
	}
	if f := g.flows[key]; f != nil {
		g.touch(now, f)
		return true
	}
	if !g.room(now) {
		return false
	}
	g.add(now, &flow{key: key, boot: g.boot, opened: now.Unix()})
	return true
}

// Begin takes the request on if it is fresh: from then on it is running, at
// most until the time given. Issued is when the token was issued that the
// request carries. The outcome is set if the request has ended.
func (g *Guard) Begin(now time.Time, key Key, issued time.Time, number uint64, until time.Time) (Status, Outcome) {
	f := g.flows[key]
	if f == nil || g.exported || issued.Unix() < f.opened {
		return Lost, Outcome{}
	}
	g.touch(now, f)
	switch f.passed.Mark(number) {
	case agatewindow.Old:
		return Lost, Outcome{}
	case agatewindow.Seen:
		return f.seen(now, number)
	}
	f.passed = f.passed.With(number)
	f.running = f.running.With(number)
	f.until = max(f.until, until.UnixMilli())
	g.trim(f)
	return Fresh, Outcome{}
}

// seen returns what is known of a number that was taken on before.
func (f *flow) seen(now time.Time, number uint64) (Status, Outcome) {
	if outcome, found := f.outcome(number); found {
		return Ended, outcome
	}
	if f.running.Has(number) && f.busy(now) {
		return Running, Outcome{}
	}
	return Lost, Outcome{}
}

// Finish records the end of a request that Begin has taken on. A later end
// replaces the recorded one: an answer may come after its deadline.
func (g *Guard) Finish(now time.Time, key Key, outcome Outcome) {
	f := g.flows[key]
	if f == nil {
		return
	}
	f.running = f.running.Without(outcome.Number)
	if !f.passed.Has(outcome.Number) {
		return
	}
	g.forget(f, outcome.Number)
	f.outcomes = append(f.outcomes, outcome)
	g.bytes += outcome.size()
	g.ends.push(end{key: key, number: outcome.Number, at: now})
	g.shrink(now)
}

// Sweep forgets outcomes and flows that are past their time.
func (g *Guard) Sweep(now time.Time) {
	g.shrink(now)
	limit := now.Add(-agatetoken.Lifetime).UnixMilli()
	for g.oldest != nil && g.oldest.touched < limit {
		g.drop(g.oldest)
	}
}

// Len returns the number of flows.
func (g *Guard) Len() int { return len(g.flows) }

// Bytes returns the size of the recorded outcomes.
func (g *Guard) Bytes() int { return g.bytes }

// Evicted returns the number of flows forgotten to make room.
func (g *Guard) Evicted() uint64 { return g.evicted }

// Package agatetrack tracks flows by their callers' segments alone, for an
// entry that never sees the servers' segments. Its memory is bounded: the flow
// without segments for longest is evicted, and is tracked again from its next
// segment on.
package agatetrack

import (
	"time"

	"agatereach/core/request/agatesegment"
	"agatereach/core/request/agatetuple"
)

// Table holds the flows that an entry has seen recently. It must be used by one
// goroutine only.
type Table[S any] struct {
	// flows holds all tracked flows, at most capacity.
	flows  map[agatetuple.Tuple]*Flow[S]
	limits Limits
	// newest and oldest are the ends of the list of flows in the order of
	// LastSegmentAt.
	newest, oldest *Flow[S]
	// onRemove is called with each flow that leaves the table.
	onRemove func(*Flow[S])
}

// Limits bounds a table and what its flows' callers do.
type Limits struct {
	// Flows is the maximum number of flows; at least 1.
	Flows int
	// Window is the maximum number of bytes that a caller sends beyond the
	// server's last acknowledgement.
	Window uint32
	// Timeout is the minimum time after which callers send a segment again. It
	// doubles with each copy.
	Timeout time.Duration
}

// maxDoublings limits how often the timeout doubles.
const maxDoublings = 3

// timeout returns the minimum time between a segment that was sent again the given
// number of times and its next copy.
func (l *Limits) timeout(retransmits int) time.Duration {
	return l.Timeout << min(retransmits, maxDoublings)
}

// New returns a table with the given limits. onRemove is called with each flow that
// leaves the table.
func New[S any](limits Limits, onRemove func(*Flow[S])) *Table[S] {
	limits.Flows = max(limits.Flows, 1)
	return &Table[S]{flows: make(map[agatetuple.Tuple]*Flow[S]), limits: limits, onRemove: onRemove}
}

// Len returns the number of tracked flows.
func (t *Table[S]) Len() int { return len(t.flows) }

// Find returns the flow of a tuple, or nil if it isn't tracked.
func (t *Table[S]) Find(tuple agatetuple.Tuple) *Flow[S] { return t.flows[tuple] }

// Observe processes a segment. It returns the flow, which it creates if need
// be, what the segment reveals, and whether the flow was created.
func (t *Table[S]) Observe(s agatesegment.Segment, now time.Duration) (*Flow[S], Event, bool) {
	if f, ok := t.flows[s.Flow]; ok {
		t.unlink(f)
		t.link(f)
		return f, f.observe(s, now, &t.limits), false
	}
	f := t.add(s, now)
	if s.Opens() {
		f.synSequence, f.synSeen = s.Sequence, true
		return f, Event{}, true
	}
	// The flow was opened through another entry, or was evicted from this
	// table.
	f.Phase = Open
	f.dataEnd, f.answeredEnd = s.Sequence, s.Sequence
	f.lastAck = s.Acknowledged
	return f, f.observe(s, now, &t.limits), true
}

// add creates the flow of a segment, and evicts the oldest one if the table is
// full.
func (t *Table[S]) add(s agatesegment.Segment, now time.Duration) *Flow[S] {
	if len(t.flows) >= t.limits.Flows {
		t.Remove(t.oldest)
	}
	f := &Flow[S]{Tuple: s.Flow, Phase: Opening, LastSegmentAt: now, SentAt: now, copiedAt: now}
	t.flows[s.Flow] = f
	t.link(f)
	return f
}

// Expire removes the flows whose last segment arrived before the given time.
func (t *Table[S]) Expire(before time.Duration) {
	for t.oldest != nil && t.oldest.LastSegmentAt < before {
		t.Remove(t.oldest)
	}
}

// Remove removes a flow.
func (t *Table[S]) Remove(f *Flow[S]) {
	delete(t.flows, f.Tuple)
	t.unlink(f)
	t.onRemove(f)
}

// Each calls visit for every flow, the one with the newest segment first.
func (t *Table[S]) Each(visit func(*Flow[S])) {
	for f := t.newest; f != nil; f = f.older {
		visit(f)
	}
}

func (t *Table[S]) link(f *Flow[S]) {
	f.older = t.newest
	f.newer = nil
	if t.newest != nil {
		t.newest.newer = f
	}
	t.newest = f
	if t.oldest == nil {
		t.oldest = f
	}
}

func (t *Table[S]) unlink(f *Flow[S]) {
	if f.newer == nil {
		t.newest = f.older
	} else {
		f.newer.older = f.older
	}
	if f.older == nil {
		t.oldest = f.newer
	} else {
		f.older.newer = f.newer
	}
	f.newer, f.older = nil, nil
}

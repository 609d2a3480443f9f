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
	flows    map[agatetuple.Tuple]*Flow[S]
	capacity int
	// window is the number of bytes that a caller may send beyond the server's
	// last acknowledgement.
	window uint32
	// newest and oldest are the ends of the list of flows in the order of
	// LastSegmentAt.
	newest, oldest *Flow[S]
	// onRemove is called with each flow that leaves the table.
	onRemove func(*Flow[S])
}

// New returns a table of at most capacity flows whose callers send at most
// window bytes beyond the server's last acknowledgement. onRemove is called
// with each flow that leaves the table.
func New[S any](capacity int, window uint32, onRemove func(*Flow[S])) *Table[S] {
	return &Table[S]{
		flows:    make(map[agatetuple.Tuple]*Flow[S]),
		capacity: max(capacity, 1),
		window:   window,
		onRemove: onRemove,
	}
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
		return f, f.observe(s, now, t.window), false
	}
	f := t.add(s, now)
	if s.Opens() {
		return f, Event{}, true
	}
	// The flow was opened through another entry, or was evicted from this
	// table.
	f.Phase = Open
	f.dataEnd, f.answeredEnd = s.Sequence, s.Sequence
	f.lastAck = s.Acknowledged
	return f, f.observe(s, now, t.window), true
}

// add creates the flow of a segment, and evicts the oldest one if the table is
// full.
func (t *Table[S]) add(s agatesegment.Segment, now time.Duration) *Flow[S] {
	if len(t.flows) >= t.capacity {
		t.Remove(t.oldest)
	}
	f := &Flow[S]{Tuple: s.Flow, Phase: Opening, LastSegmentAt: now, sentAt: now}
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

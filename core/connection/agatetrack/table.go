// Package agatetrack follows flows by their callers' segments alone, as an
// entry must that never sees what the servers answer. Its memory is bounded;
// a flow that is evicted is taken up again with its next segment.
package agatetrack

import (
	"time"

	"agatereach/core/request/agatesegment"
	"agatereach/core/request/agatetuple"
)

// Table holds the flows that an entry has seen lately. It is used by one
// goroutine.
type Table[O any] struct {
	// flows are all flows held, at most capacity.
	flows    map[agatetuple.Tuple]*Flow[O]
	capacity int
	// window is the number of bytes that a caller may send ahead.
	window uint32
	// newest and oldest are the ends of the order of Seen.
	newest, oldest *Flow[O]
	// removed is called with each flow that leaves the table.
	removed func(*Flow[O])
}

// New returns a table of at most capacity flows whose callers send at most
// window bytes ahead of an acknowledgement. removed is called with each flow
// that the table forgets.
func New[O any](capacity int, window uint32, removed func(*Flow[O])) *Table[O] {
	return &Table[O]{
		flows:    make(map[agatetuple.Tuple]*Flow[O]),
		capacity: max(capacity, 1),
		window:   window,
		removed:  removed,
	}
}

// Len returns the number of flows held.
func (t *Table[O]) Len() int { return len(t.flows) }

// Find returns the flow of a tuple, nil if it is not held.
func (t *Table[O]) Find(tuple agatetuple.Tuple) *Flow[O] { return t.flows[tuple] }

// Observe takes in a segment and returns its flow, which is made if need be,
// what the segment tells, and whether the flow was made.
func (t *Table[O]) Observe(s agatesegment.Segment, now time.Duration) (*Flow[O], Event, bool) {
	if f, ok := t.flows[s.Flow]; ok {
		t.unlink(f)
		t.link(f)
		return f, f.observe(s, now, t.window), false
	}
	f := t.add(s, now)
	if s.Opens() {
		return f, Event{}, true
	}
	// The flow was opened through another entry, or evicted here.
	f.Phase = Open
	f.end, f.granted = s.Sequence, s.Sequence
	f.acknowledged = s.Acknowledged
	return f, f.observe(s, now, t.window), true
}

// add makes the flow of a segment, and room for it.
func (t *Table[O]) add(s agatesegment.Segment, now time.Duration) *Flow[O] {
	if len(t.flows) >= t.capacity {
		t.Remove(t.oldest)
	}
	f := &Flow[O]{Tuple: s.Flow, Phase: Opening, Seen: now, sent: now}
	t.flows[s.Flow] = f
	t.link(f)
	return f
}

// Expire forgets the flows whose last segment came before the given time.
func (t *Table[O]) Expire(before time.Duration) {
	for t.oldest != nil && t.oldest.Seen < before {
		t.Remove(t.oldest)
	}
}

// Remove forgets a flow.
func (t *Table[O]) Remove(f *Flow[O]) {
	delete(t.flows, f.Tuple)
	t.unlink(f)
	t.removed(f)
}

// Each calls visit with every flow, the newest first.
func (t *Table[O]) Each(visit func(*Flow[O])) {
	for f := t.newest; f != nil; f = f.older {
		visit(f)
	}
}

func (t *Table[O]) link(f *Flow[O]) {
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

func (t *Table[O]) unlink(f *Flow[O]) {
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

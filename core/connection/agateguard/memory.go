package agateguard

import (
	"slices"
	"time"
)

// end is the place of a recorded outcome.
type end struct {
	key    Key
	number uint64
	at     time.Time
}

// queue holds ends in the order in which they came.
type queue struct {
	items []end
	first int
}

func (q *queue) push(e end) { q.items = append(q.items, e) }

func (q *queue) front() (end, bool) {
	if q.first == len(q.items) {
		return end{}, false
	}
	return q.items[q.first], true
}

// pop removes the front and gives back the space once half of it is unused.
func (q *queue) pop() {
	q.first++
	if 2*q.first >= len(q.items) {
		q.items = append(q.items[:0:0], q.items[q.first:]...)
		q.first = 0
	}
}

// shrink forgets the oldest outcomes while they are too many or too old. An
// end whose outcome has been replaced or trimmed is skipped.
func (g *Guard) shrink(now time.Time) {
	for e, found := g.ends.front(); found; e, found = g.ends.front() {
		if g.bytes <= g.maxBytes && now.Sub(e.at) < keepOutcome {
			return
		}
		g.ends.pop()
		if f := g.flows[e.key]; f != nil {
			g.forget(f, e.number)
		}
	}
}

// forget removes the outcome of the number, if there is one.
func (g *Guard) forget(f *flow, number uint64) {
	for i := range f.outcomes {
		if f.outcomes[i].Number == number {
			g.bytes -= f.outcomes[i].size()
			f.outcomes = slices.Delete(f.outcomes, i, i+1)
			break
		}
	}
	if len(f.outcomes) == 0 {
		f.outcomes = nil
	}
}

// trim removes the outcomes that have left the flow's window.
func (g *Guard) trim(f *flow) {
	for i := len(f.outcomes) - 1; i >= 0; i-- {
		if !f.passed.Has(f.outcomes[i].Number) {
			g.forget(f, f.outcomes[i].Number)
		}
	}
}

// room makes room for one flow and reports whether there is any.
func (g *Guard) room(now time.Time) bool {
	if len(g.flows) < g.maxFlows {
		return true
	}
	limit := now.Add(-protected).UnixMilli()
	f := g.oldest
	for range evictTries {
		if f == nil || f.touched > limit {
			return false
		}
		if !f.busy(now) {
			g.drop(f)
			g.evicted++
			return true
		}
		f = f.newer
	}
	return false
}

// add appends a flow that has just been used.
func (g *Guard) add(now time.Time, f *flow) {
	g.flows[f.key] = f
	f.touched = now.UnixMilli()
	g.link(f)
}

// drop forgets a flow and its outcomes.
func (g *Guard) drop(f *flow) {
	for i := range f.outcomes {
		g.bytes -= f.outcomes[i].size()
	}
	g.unlink(f)
	delete(g.flows, f.key)
}

// touch makes f the flow that was used last.
func (g *Guard) touch(now time.Time, f *flow) {
	f.touched = max(f.touched, now.UnixMilli())
	g.unlink(f)
	g.link(f)
}

func (g *Guard) link(f *flow) {
	f.older, f.newer = g.newest, nil
	if g.newest != nil {
		g.newest.newer = f
	} else {
		g.oldest = f
	}
	g.newest = f
}

func (g *Guard) unlink(f *flow) {
	if f.older != nil {
		f.older.newer = f.newer
	} else {
		g.oldest = f.newer
	}
	if f.newer != nil {
		f.newer.older = f.older
	} else {
		g.newest = f.older
	}
	f.older, f.newer = nil, nil
}

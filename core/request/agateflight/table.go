package agateflight

import (
	"time"

	"agatereach/core/process/agateheap"
)

// Table holds work. It is not safe for concurrent use.
type Table struct {
	// works holds all work by its number; keys the work that has not ended.
	works map[uint64]*Work
	keys  map[Key]*Work
	// attempts maps the attempts of all work.
	attempts map[uint64]*Work
	// schedule is a heap of all work by the time of Next.
	schedule agateheap.Heap[*Work]
}

// New returns an empty table.
func New() *Table {
	return &Table{
		works:    make(map[uint64]*Work),
		keys:     make(map[Key]*Work),
		attempts: make(map[uint64]*Work),
	}
}

// Add puts in work that has no attempts and whose key is not in the table.
func (t *Table) Add(w *Work) {
	t.works[w.ID] = w
	t.keys[w.Key] = w
	t.schedule.Push(w)
}

// Get returns the work of the given number, nil if there is none.
func (t *Table) Get(id uint64) *Work { return t.works[id] }

// Find returns the work of the request that has not ended, nil if there is none.
func (t *Table) Find(key Key) *Work { return t.keys[key] }

// Sent returns the work that the attempt belongs to, nil if there is none.
func (t *Table) Sent(attempt uint64) *Work { return t.attempts[attempt] }

// Send adds an attempt to the work.
func (t *Table) Send(w *Work, a Attempt) {
	w.Attempts = append(w.Attempts, a)
	t.attempts[a.ID] = w
}

// Delay changes the time at which the work needs attention next.
func (t *Table) Delay(w *Work, next time.Time) {
	w.Next = next
	t.schedule.Fix(w.index)
}

// End marks the work as ended and keeps it until the time given.
func (t *Table) End(w *Work, until time.Time) {
	w.Ended = true
	w.Body, w.Datagram = nil, nil
	delete(t.keys, w.Key)
	t.Delay(w, until)
}

// Remove takes the work out.
func (t *Table) Remove(w *Work) {
	delete(t.works, w.ID)
	if t.keys[w.Key] == w {
		delete(t.keys, w.Key)
	}
	for i := range w.Attempts {
		delete(t.attempts, w.Attempts[i].ID)
	}
	t.schedule.Remove(w.index)
}

// Due returns work that needs attention at the time now, nil if there is none.
func (t *Table) Due(now time.Time) *Work {
	w, found := t.schedule.First()
	if !found || now.Before(w.Next) {
		return nil
	}
	return w
}

// Active returns the number of requests that have not ended.
func (t *Table) Active() int { return len(t.keys) }

// Len returns the number of requests held.
func (t *Table) Len() int { return len(t.works) }

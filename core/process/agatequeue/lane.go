package agatequeue

import (
	"time"

	"agatereach/core/process/agateheap"
)

// teamQueue holds the entries of one team.
type teamQueue[T any] struct {
	// heaps holds the entries of short work and of long work, indexed by
	// classIndex.
	heaps [2]agateheap.Heap[*Entry[T]]
	// cost is the total cost of the entries of each heap.
	cost [2]time.Duration
	// virtualStart is the virtual time at which the team's next entry
	// starts.
	virtualStart float64
}

func (l *teamQueue[T]) len() int { return l.heaps[0].Len() + l.heaps[1].Len() }

func (l *teamQueue[T]) empty() bool { return l.len() == 0 }

func (l *teamQueue[T]) push(e *Entry[T]) {
	e.owner = l
	l.heaps[classIndex(e.Long)].Push(e)
	l.cost[classIndex(e.Long)] += e.Cost
}

func (l *teamQueue[T]) remove(e *Entry[T]) {
	l.heaps[classIndex(e.Long)].Remove(e.heapIndex)
	l.cost[classIndex(e.Long)] -= e.Cost
	e.owner = nil
}

func (l *teamQueue[T]) head(short, long bool) *Entry[T] {
	var first *Entry[T]
	if short {
		first, _ = l.heaps[0].First()
	}
	if e, found := l.heaps[1].First(); long && found && (first == nil || e.Before(first)) {
		first = e
	}
	return first
}

// last returns the entry that is served after all others of the team.
func (l *teamQueue[T]) last() *Entry[T] {
	var last *Entry[T]
	for k := range l.heaps {
		for _, e := range l.heaps[k].All() {
			if last == nil || last.Before(e) {
				last = e
			}
		}
	}
	return last
}

// newestSerial returns the highest serial of the team's entries.
func (l *teamQueue[T]) newestSerial() uint64 {
	var serial uint64
	for k := range l.heaps {
		for _, e := range l.heaps[k].All() {
			serial = max(serial, e.serial)
		}
	}
	return serial
}

func (l *teamQueue[T]) appendExpired(now time.Time, expired []*Entry[T]) []*Entry[T] {
	for k := range l.heaps {
		for _, e := range l.heaps[k].All() {
			if !e.Deadline.IsZero() && !now.Before(e.Deadline) {
				expired = append(expired, e)
			}
		}
	}
	return expired
}

func classIndex(long bool) int {
	if long {
		return 1
	}
	return 0
}

// Before reports whether e goes before o within their team.
func (e *Entry[T]) Before(o *Entry[T]) bool {
	switch {
	case e.Priority != o.Priority:
		return e.Priority > o.Priority
	case e.Deadline.Equal(o.Deadline):
		return e.serial < o.serial
	case e.Deadline.IsZero() || o.Deadline.IsZero():
		return o.Deadline.IsZero()
	}
	return e.Deadline.Before(o.Deadline)
}

// Moved implements agateheap.Item.
func (e *Entry[T]) Moved(index int) { e.heapIndex = index }

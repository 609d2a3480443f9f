// Package agatering provides a bounded queue between goroutines.
package agatering

import "sync/atomic"

// Ring is a bounded first-in, first-out queue. It is safe for concurrent use by any
// number of writers and readers. Put drops items while the queue is full.
type Ring[T any] struct {
	// items holds the queued items; never closed.
	items chan T
	// dropped is the number of items that Put dropped.
	dropped atomic.Uint64
}

// New returns a queue for up to capacity items, at least 1.
func New[T any](capacity int) *Ring[T] {
	return &Ring[T]{items: make(chan T, max(capacity, 1))}
}

// Put appends item and reports whether there was room. It doesn't block; without
// room the item is dropped and counted.
func (r *Ring[T]) Put(item T) bool {
	select {
	case r.items <- item:
		return true
	default:
		r.dropped.Add(1)
		return false
	}
}

// Wait appends item, blocking until there is room or done is closed. It reports
// whether the item was appended.
func (r *Ring[T]) Wait(done <-chan struct{}, item T) bool {
	select {
	case r.items <- item:
		return true
	case <-done:
		return false
	}
}

// Items returns the channel to receive from. It is never closed.
func (r *Ring[T]) Items() <-chan T { return r.items }

// Len returns the number of queued items.
func (r *Ring[T]) Len() int { return len(r.items) }

// Cap returns the capacity in items.
func (r *Ring[T]) Cap() int { return cap(r.items) }

// Dropped returns the number of items that Put dropped.
func (r *Ring[T]) Dropped() uint64 { return r.dropped.Load() }

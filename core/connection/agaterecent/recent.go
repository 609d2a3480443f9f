// Package agaterecent remembers values for a short while, in bounded memory.
package agaterecent

import "time"

// entry is the place of a value in the order of their coming.
type entry[K comparable] struct {
	key K
	at  time.Time
}

// Recent maps keys to values that were put a short while ago. It is not safe
// for concurrent use.
type Recent[K comparable, V any] struct {
	life time.Duration
	// values holds at most cap(order) values.
	values map[K]V
	// order is a circular buffer of the keys in values, oldest at first.
	order []entry[K]
	first int
	count int
}

// New returns an empty map that keeps up to capacity values for life.
func New[K comparable, V any](capacity int, life time.Duration) *Recent[K, V] {
	return &Recent[K, V]{life: life, values: make(map[K]V), order: make([]entry[K], max(capacity, 1))}
}

// Get returns the value of key and whether it is remembered.
func (r *Recent[K, V]) Get(now time.Time, key K) (V, bool) {
	r.Sweep(now)
	value, found := r.values[key]
	return value, found
}

// Put remembers the value unless there is one of the same key. The oldest value
// makes room.
func (r *Recent[K, V]) Put(now time.Time, key K, value V) {
	r.Sweep(now)
	if _, found := r.values[key]; found {
		return
	}
	if r.count == len(r.order) {
		r.pop()
	}
	r.values[key] = value
	r.order[(r.first+r.count)%len(r.order)] = entry[K]{key: key, at: now}
	r.count++
}

// Sweep forgets the values that are past their time.
func (r *Recent[K, V]) Sweep(now time.Time) {
	for r.count > 0 && now.Sub(r.order[r.first].at) >= r.life {
		r.pop()
	}
}

// Len returns the number of values.
func (r *Recent[K, V]) Len() int { return r.count }

// pop forgets the oldest value; there is one.
func (r *Recent[K, V]) pop() {
	delete(r.values, r.order[r.first].key)
	r.order[r.first] = entry[K]{}
	r.first = (r.first + 1) % len(r.order)
	r.count--
}

// Package agatealarm holds things that are to be done at a later time, in
// bounded memory.
package agatealarm

import (
	"time"

	"agatereach/core/process/agateheap"
)

// alarm is a value with its time.
type alarm[K comparable, V any] struct {
	at    time.Time
	key   K
	value V
	place int
}

// Before implements agateheap.Item.
func (a *alarm[K, V]) Before(other *alarm[K, V]) bool { return a.at.Before(other.at) }

// Moved implements agateheap.Item.
func (a *alarm[K, V]) Moved(place int) { a.place = place }

// Alarms holds up to a number of values of different keys until their times. It
// is not safe for concurrent use.
type Alarms[K comparable, V any] struct {
	capacity int
	keys     map[K]struct{}
	order    agateheap.Heap[*alarm[K, V]]
}

// New returns room for up to capacity values.
func New[K comparable, V any](capacity int) *Alarms[K, V] {
	return &Alarms[K, V]{capacity: capacity, keys: make(map[K]struct{})}
}

// Set holds the value until the time given, unless there is one of the same key
// or no room. It reports whether a value of the key is held now.
func (a *Alarms[K, V]) Set(at time.Time, key K, value V) bool {
	if _, found := a.keys[key]; found {
		return true
	}
	if a.order.Len() >= a.capacity {
		return false
	}
	a.keys[key] = struct{}{}
	a.order.Push(&alarm[K, V]{at: at, key: key, value: value})
	return true
}

// Due takes out a value whose time has come, and reports whether there was one.
func (a *Alarms[K, V]) Due(now time.Time) (V, bool) {
	first, found := a.order.First()
	if !found || now.Before(first.at) {
		var none V
		return none, false
	}
	a.order.Remove(first.place)
	delete(a.keys, first.key)
	return first.value, true
}

// Len returns the number of values held.
func (a *Alarms[K, V]) Len() int { return a.order.Len() }

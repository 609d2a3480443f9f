// Package agateshard provides an immutable map that shares what has not changed
// with the maps that it was made from: a change copies a small part of it.
package agateshard

import (
	"hash/maphash"
	"iter"
	"maps"
)

// Count is the number of shards: with 120,000 keys a change copies some 500.
const Count = 256

// seed is that of all maps of the process, so that maps can be compared.
var seed = maphash.MakeSeed()

// shard is a part of a map. It is not changed once the map is made.
type shard[K comparable, V any] struct{ entries map[K]V }

// Map is an immutable map. The zero value is empty.
type Map[K comparable, V any] struct {
	// shards are nil for an empty map, else Count; each may be nil.
	shards []*shard[K, V]
}

func place[K comparable](key K) int { return int(maphash.Comparable(seed, key) % Count) }

// Get returns the value of a key.
func (m Map[K, V]) Get(key K) (V, bool) {
	var none V
	if m.shards == nil {
		return none, false
	}
	s := m.shards[place(key)]
	if s == nil {
		return none, false
	}
	value, ok := s.entries[key]
	return value, ok
}

// Empty reports whether the map has never held a key.
func (m Map[K, V]) Empty() bool { return m.shards == nil }

// Keys returns all keys, in any order.
func (m Map[K, V]) Keys() iter.Seq[K] {
	return func(yield func(K) bool) {
		for key := range m.All() {
			if !yield(key) {
				return
			}
		}
	}
}

// All returns all keys with their values, in any order.
func (m Map[K, V]) All() iter.Seq2[K, V] {
	return func(yield func(K, V) bool) {
		for i := range m.shards {
			for key, value := range m.Shard(i) {
				if !yield(key, value) {
					return
				}
			}
		}
	}
}

// Shard returns the keys of one shard, 0 up to Count, with their values, in any
// order.
func (m Map[K, V]) Shard(i int) iter.Seq2[K, V] { return maps.All(m.at(i).all()) }

// Changes returns each key whose value another map lacks or holds otherwise, and
// each key that only the other one holds, in any order. It takes time for the
// shards that differ only.
func (m Map[K, V]) Changes(other Map[K, V], equal func(a, b V) bool) iter.Seq[K] {
	return func(yield func(K) bool) {
		for i := range Count {
			a, b := m.at(i), other.at(i)
			if a != b && !changes(a, b, equal, yield) {
				return
			}
		}
	}
}

// changes yields the keys that differ and reports whether it went through.
func changes[K comparable, V any](a, b *shard[K, V], equal func(a, b V) bool, yield func(K) bool) bool {
	for key, value := range a.all() {
		if former, ok := b.get(key); (!ok || !equal(value, former)) && !yield(key) {
			return false
		}
	}
	for key := range b.all() {
		if _, ok := a.get(key); !ok && !yield(key) {
			return false
		}
	}
	return true
}

func (m Map[K, V]) at(i int) *shard[K, V] {
	if m.shards == nil {
		return nil
	}
	return m.shards[i]
}

func (s *shard[K, V]) all() map[K]V {
	if s == nil {
		return nil
	}
	return s.entries
}

func (s *shard[K, V]) get(key K) (V, bool) {
	value, ok := s.all()[key]
	return value, ok
}

// Edit returns an editor that makes a changed map.
func (m Map[K, V]) Edit() *Editor[K, V] {
	e := &Editor[K, V]{}
	e.shards = make([]*shard[K, V], Count)
	copy(e.shards, m.shards)
	return e
}

// Editor makes a map from another one.
type Editor[K comparable, V any] struct {
	Map[K, V]
	// own says which shards are no other map's.
	own [Count]bool
}

// open returns a shard that may be changed.
func (e *Editor[K, V]) open(i int) *shard[K, V] {
	if e.own[i] {
		return e.shards[i]
	}
	s := &shard[K, V]{entries: make(map[K]V)}
	maps.Copy(s.entries, e.shards[i].all())
	e.own[i] = true
	e.shards[i] = s
	return s
}

// Set gives a key a value.
func (e *Editor[K, V]) Set(key K, value V) { e.open(place(key)).entries[key] = value }

// Delete takes a key away.
func (e *Editor[K, V]) Delete(key K) {
	if _, ok := e.Get(key); ok {
		delete(e.open(place(key)).entries, key)
	}
}

// Close returns the map. The editor must not be used any more.
func (e *Editor[K, V]) Close() Map[K, V] { return e.Map }

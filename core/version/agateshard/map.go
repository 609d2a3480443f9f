// Package agateshard provides an immutable map. It is divided into shards, and a
// changed map shares the shards that haven't changed with the map that it was made
// from, so that a change copies only a small part.
package agateshard

import (
	"hash/maphash"
	"iter"
	"maps"
)

// Count is the number of shards. With 120,000 keys, changing one copies about 500.
const Count = 256

// seed is shared by all maps of the process, so that they can be compared shard by
// shard.
var seed = maphash.MakeSeed()

// shard is a part of a map. It is immutable once its map is complete.
type shard[K comparable, V any] struct{ entries map[K]V }

// Map is an immutable map. The zero value is empty.
type Map[K comparable, V any] struct {
	// shards has Count elements, each of which may be nil; it is nil for a map
	// that has never held a key.
	shards []*shard[K, V]
}

// shardIndex returns the index of the shard of a key.
func shardIndex[K comparable](key K) int { return int(maphash.Comparable(seed, key) % Count) }

// Get returns the value of a key.
func (m Map[K, V]) Get(key K) (V, bool) {
	var none V
	if m.shards == nil {
		return none, false
	}
	s := m.shards[shardIndex(key)]
	if s == nil {
		return none, false
	}
	value, ok := s.entries[key]
	return value, ok
}

// Empty reports whether the map has never held a key.
func (m Map[K, V]) Empty() bool { return m.shards == nil }

// Keys returns all keys, in no particular order.
func (m Map[K, V]) Keys() iter.Seq[K] {
	return func(yield func(K) bool) {
		for key := range m.All() {
			if !yield(key) {
				return
			}
		}
	}
}

// All returns all keys with their values, in no particular order.
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

// Shard returns the keys of shard i, which is at least 0 and below Count, with
// their values, in no particular order.
func (m Map[K, V]) Shard(i int) iter.Seq2[K, V] { return maps.All(m.shard(i).all()) }

// Changes returns each key whose values in the two maps differ, and each key that
// only one of them holds, in no particular order. Shards that the maps share are
// skipped.
func (m Map[K, V]) Changes(other Map[K, V], equal func(a, b V) bool) iter.Seq[K] {
	return func(yield func(K) bool) {
		for i := range Count {
			a, b := m.shard(i), other.shard(i)
			if a != b && !yieldDifferences(a, b, equal, yield) {
				return
			}
		}
	}
}

// yieldDifferences yields the keys that differ between two shards and reports
// whether yield asked for all of them.
func yieldDifferences[K comparable, V any](a, b *shard[K, V], equal func(a, b V) bool, yield func(K) bool) bool {
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

// shard returns shard i, nil if it is empty.
func (m Map[K, V]) shard(i int) *shard[K, V] {
	if m.shards == nil {
		return nil
	}
	return m.shards[i]
}

// all returns the entries of the shard, which may be nil.
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

// Edit returns an editor that holds a copy of the map.
func (m Map[K, V]) Edit() *Editor[K, V] {
	e := &Editor[K, V]{}
	e.shards = make([]*shard[K, V], Count)
	copy(e.shards, m.shards)
	return e
}

// Editor changes a copy of a map. It is not safe for concurrent use.
type Editor[K comparable, V any] struct {
	Map[K, V]
	// owned is whether a shard has been copied, so that no other map shares it.
	owned [Count]bool
}

// writable returns shard i for changes, copied first if another map shares it.
func (e *Editor[K, V]) writable(i int) *shard[K, V] {
	if e.owned[i] {
		return e.shards[i]
	}
	s := &shard[K, V]{entries: make(map[K]V)}
	maps.Copy(s.entries, e.shards[i].all())
	e.owned[i] = true
	e.shards[i] = s
	return s
}

// Set sets the value of a key.
func (e *Editor[K, V]) Set(key K, value V) { e.writable(shardIndex(key)).entries[key] = value }

// Delete removes a key.
func (e *Editor[K, V]) Delete(key K) {
	if _, ok := e.Get(key); ok {
		delete(e.writable(shardIndex(key)).entries, key)
	}
}

// Close returns the changed map. The editor must not be used afterwards.
func (e *Editor[K, V]) Close() Map[K, V] { return e.Map }

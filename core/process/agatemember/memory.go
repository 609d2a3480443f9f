package agatemember

import "maps"

// boundedMap is a map of limited size that evicts the keys inserted first.
type boundedMap[V any] struct {
	// limit is the maximum length of insertionOrder.
	limit  int
	values map[uint64]V
	// insertionOrder holds the keys, oldest first; keys that have been
	// removed from values stay in it.
	insertionOrder []uint64
}

func newBoundedMap[V any](limit int) boundedMap[V] {
	return boundedMap[V]{limit: limit, values: make(map[uint64]V)}
}

func (m *boundedMap[V]) get(key uint64) (V, bool) {
	value, found := m.values[key]
	return value, found
}

func (m *boundedMap[V]) put(key uint64, value V) {
	if _, found := m.values[key]; !found {
		m.insertionOrder = append(m.insertionOrder, key)
	}
	m.values[key] = value
	for len(m.insertionOrder) > m.limit {
		delete(m.values, m.insertionOrder[0])
		m.insertionOrder = m.insertionOrder[1:]
	}
}

func (m *boundedMap[V]) remove(key uint64) { delete(m.values, key) }

// clone returns a copy of the values.
func (m *boundedMap[V]) clone() map[uint64]V { return maps.Clone(m.values) }

// Package agatetable provides an immutable map in which every value carries the
// number of the ticket that set it, and the highest number wins.
package agatetable

import (
	"iter"

	"agatereach/core/version/agateshard"
)

// Parts is the number of parts of which a merge copies only the touched ones.
const Parts = agateshard.Count

// Item is a value with its key and the number of its ticket.
type Item[K comparable, V any] struct {
	// Key names the object.
	Key K
	// Value is the object's whole state.
	Value V
	// Ticket is the number of the ticket that set Value.
	Ticket uint64
}

// Table maps keys to items. The zero value is empty. A table never changes, so
// that it is safe for concurrent use.
type Table[K comparable, V any] struct {
	// items are by key; an item never changes.
	items agateshard.Map[K, *Item[K, V]]
	// count is the number of items.
	count int
}

// Get returns the item of key and whether there is one.
func (t Table[K, V]) Get(key K) (Item[K, V], bool) {
	item, found := t.items.Get(key)
	if !found {
		return Item[K, V]{}, false
	}
	return *item, true
}

// Len returns the number of items.
func (t Table[K, V]) Len() int { return t.count }

// All returns the items in no particular order.
func (t Table[K, V]) All() iter.Seq[Item[K, V]] { return each(t.items.All()) }

// Part returns the items of one part, 0 up to Parts, in no particular order.
func (t Table[K, V]) Part(i int) iter.Seq[Item[K, V]] { return each(t.items.Shard(i)) }

// each returns the items alone.
func each[K comparable, V any](items iter.Seq2[K, *Item[K, V]]) iter.Seq[Item[K, V]] {
	return func(yield func(Item[K, V]) bool) {
		for _, item := range items {
			if !yield(*item) {
				return
			}
		}
	}
}

// Changes returns the items whose tickets differ between former and t, as they
// were and as they are; one of the two is nil where there is none. It looks
// only at the parts that the two tables do not share. The items must not be
// changed.
func (t Table[K, V]) Changes(former Table[K, V]) iter.Seq2[*Item[K, V], *Item[K, V]] {
	return func(yield func(old, successor *Item[K, V]) bool) {
		same := func(a, b *Item[K, V]) bool { return a.Ticket == b.Ticket }
		for key := range t.items.Changes(former.items, same) {
			old, _ := former.items.Get(key)
			item, _ := t.items.Get(key)
			if !yield(old, item) {
				return
			}
		}
	}
}

// Merge returns a table that holds, for each key, the item with the highest
// ticket number of the table and items. It calls changed, if not nil, with
// each item that is replaced (zero if there was none) and its successor.
func (t Table[K, V]) Merge(items []Item[K, V], changed func(old, successor Item[K, V])) Table[K, V] {
	var editor *agateshard.Editor[K, *Item[K, V]]
	merged := t
	for _, item := range items {
		old, found := merged.Get(item.Key)
		if found && old.Ticket >= item.Ticket {
			continue
		}
		if editor == nil {
			editor = t.items.Edit()
		}
		editor.Set(item.Key, &item)
		merged.items = editor.Map
		if !found {
			merged.count++
		}
		if changed != nil {
			changed(old, item)
		}
	}
	return merged
}

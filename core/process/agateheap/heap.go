// Package agateheap provides a heap whose items know their index, so that any
// item can be moved or removed.
package agateheap

import (
	"container/heap"
	"slices"
)

// Item is the constraint on the items of a heap.
type Item[T any] interface {
	// Before reports whether the item goes before other.
	Before(other T) bool
	// Moved sets the item's index in the heap.
	Moved(index int)
}

// Heap is a binary heap with the first item on top. The zero value is empty and
// ready to use. It is not safe for concurrent use.
type Heap[T Item[T]] struct {
	items items[T]
}

// Len returns the number of items.
func (h *Heap[T]) Len() int { return len(h.items) }

// First returns the first item and whether there is one.
func (h *Heap[T]) First() (T, bool) {
	if len(h.items) == 0 {
		var none T
		return none, false
	}
	return h.items[0], true
}

// Push adds the item.
func (h *Heap[T]) Push(item T) { heap.Push(&h.items, item) }

// Remove removes the item at the index.
func (h *Heap[T]) Remove(index int) { heap.Remove(&h.items, index) }

// Fix restores the order after the item at the index has changed.
func (h *Heap[T]) Fix(index int) { heap.Fix(&h.items, index) }

// All returns the items in the order of their indexes. The slice must not be
// modified and is valid until the next change of the heap.
func (h *Heap[T]) All() []T { return slices.Clip(h.items) }

// items implements heap.Interface.
type items[T Item[T]] []T

func (s items[T]) Len() int { return len(s) }

func (s items[T]) Less(i, j int) bool { return s[i].Before(s[j]) }

func (s items[T]) Swap(i, j int) {
	s[i], s[j] = s[j], s[i]
	s[i].Moved(i)
	s[j].Moved(j)
}

func (s *items[T]) Push(x any) {
	item := x.(T)
	item.Moved(len(*s))
	*s = append(*s, item)
}

func (s *items[T]) Pop() any {
	last := len(*s) - 1
	item := (*s)[last]
	clear((*s)[last:])
	*s = (*s)[:last]
	return item
}

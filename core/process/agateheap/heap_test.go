package agateheap_test

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"agatereach/core/process/agateheap"
)

type item struct {
	rank, index int
}

func (i *item) Before(other *item) bool { return i.rank < other.rank }

func (i *item) Moved(index int) { i.index = index }

// TestHeap pushes, changes and removes items and checks that each item knows
// its index and that the items leave in order.
func TestHeap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var h agateheap.Heap[*item]
		rank := rapid.IntRange(0, 9)
		for range rapid.IntRange(0, 30).Draw(t, "steps") {
			switch at := rapid.IntRange(-2, h.Len()-1).Draw(t, "place"); {
			case at < 0:
				h.Push(&item{rank: rank.Draw(t, "rank")})
			case rapid.Bool().Draw(t, "remove"):
				h.Remove(at)
			default:
				h.All()[at].rank = rank.Draw(t, "rank")
				h.Fix(at)
			}
			for index, i := range h.All() {
				if i.index != index {
					t.Fatalf("item at index %d has index %d", index, i.index)
				}
			}
		}
		var ranks []int
		for first, found := h.First(); found; first, found = h.First() {
			ranks = append(ranks, first.rank)
			h.Remove(first.index)
		}
		if !slices.IsSorted(ranks) {
			t.Fatalf("items left in the order %v, want ascending", ranks)
		}
	})
}

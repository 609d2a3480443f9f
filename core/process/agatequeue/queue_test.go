package agatequeue_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"agatereach/core/process/agatequeue"

	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

// goesBefore implements the order within a team independently of the queue's
// code.
func goesBefore(a, b *agatequeue.Entry[int]) bool {
	if a.Priority != b.Priority {
		return a.Priority > b.Priority
	}
	if !a.Deadline.Equal(b.Deadline) {
		return !a.Deadline.IsZero() && (b.Deadline.IsZero() || a.Deadline.Before(b.Deadline))
	}
	return a.Value < b.Value
}

// TestOrder checks that every value leaves the queue exactly once, that the
// head goes before all others of its team, and that the queue never exceeds its
// capacity.
func TestOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := agatequeue.New[int](rapid.IntRange(0, 20).Draw(t, "capacity"))
		queued := make(map[int]*agatequeue.Entry[int])
		remove := func(e *agatequeue.Entry[int]) {
			if queued[e.Value] == nil {
				t.Fatalf("value %d left the queue twice", e.Value)
			}
			delete(queued, e.Value)
		}
		for i := range rapid.IntRange(1, 100).Draw(t, "steps") {
			if rapid.IntRange(0, 2).Draw(t, "step") > 0 {
				key := agatequeue.Key{
					Team:     rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "team"),
					Priority: rapid.Uint8Range(0, 2).Draw(t, "priority"),
					Long:     rapid.Bool().Draw(t, "long"),
					Cost:     time.Millisecond,
				}
				if after := rapid.IntRange(0, 5).Draw(t, "after"); after > 0 {
					key.Deadline = start.Add(time.Duration(after) * time.Second)
				}
				added, dropped := q.Push(i, key)
				queued[i] = added
				if dropped != nil {
					for _, e := range queued {
						if e.Team == dropped.Team && goesBefore(dropped, e) {
							t.Fatalf("dropped %d although %d goes after it", dropped.Value, e.Value)
						}
					}
					remove(dropped)
				}
			} else if e := q.Head(true, true); e != nil {
				for _, o := range queued {
					if o.Team == e.Team && goesBefore(o, e) {
						t.Fatalf("%d left the queue before %d", e.Value, o.Value)
					}
				}
				q.Serve(e)
				remove(e)
			}
			if q.Len() != len(queued) || q.Len() > q.Cap() {
				t.Fatalf("%d entries queued with capacity %d, want %d", q.Len(), q.Cap(), len(queued))
			}
		}
		for _, e := range q.Expired(start.Add(3 * time.Second)) {
			if e.Deadline.IsZero() || e.Deadline.After(start.Add(3*time.Second)) {
				t.Fatalf("%d returned by Expired before its deadline", e.Value)
			}
			remove(e)
		}
		for e := q.Head(true, true); e != nil; e = q.Head(true, true) {
			q.Serve(e)
			remove(e)
		}
		if len(queued) != 0 || q.Len() != 0 || q.Cost() != 0 {
			t.Fatalf("%d values and cost %v left over", len(queued), q.Cost())
		}
	})
}

// TestShares checks that teams that always have entries are served in
// proportion to their shares, whatever their priorities and costs.
func TestShares(t *testing.T) {
	q := agatequeue.New[string](10000)
	q.SetShares(map[string]uint32{"a": 3, "b": 1})
	for range 1000 {
		q.Push("a", agatequeue.Key{Team: "a", Cost: time.Millisecond})
		q.Push("b", agatequeue.Key{Team: "b", Priority: 255, Cost: time.Millisecond})
		q.Push("c", agatequeue.Key{Team: "c", Long: true, Cost: 10 * time.Millisecond})
	}
	spent := make(map[string]time.Duration)
	for range 600 {
		e := q.Head(true, true)
		spent[e.Value] += e.Cost
		q.Serve(e)
	}
	for team, ratio := range map[string]float64{"a": 3, "c": 1} {
		if got := float64(spent[team]) / float64(spent["b"]); got < 0.9*ratio || got > 1.1*ratio {
			t.Errorf("team %s got %.2f times the slot time of team b, want %.0f", team, got, ratio)
		}
	}
}

// TestFullQueueDropsFromLargestTeam checks that a team that fills the queue
// loses its own entries and not those of other teams.
func TestFullQueueDropsFromLargestTeam(t *testing.T) {
	q := agatequeue.New[string](10)
	for range 100 {
		q.Push("flood", agatequeue.Key{Team: "flood", Priority: 255, Cost: time.Millisecond})
	}
	for range 4 {
		if _, dropped := q.Push("calm", agatequeue.Key{Team: "calm", Cost: time.Millisecond}); dropped.Value != "flood" {
			t.Errorf("dropped an entry of team %s, want flood", dropped.Value)
		}
	}
}

func ExampleQueue() {
	q := agatequeue.New[string](3)
	q.Push("later", agatequeue.Key{Deadline: start.Add(2 * time.Second), Cost: time.Second})
	q.Push("sooner", agatequeue.Key{Deadline: start.Add(time.Second), Cost: time.Second})
	q.Push("urgent", agatequeue.Key{Priority: 1, Deadline: start.Add(3 * time.Second), Cost: time.Second})
	_, dropped := q.Push("last", agatequeue.Key{Deadline: start.Add(4 * time.Second), Cost: time.Second})
	fmt.Println("dropped", dropped.Value)
	var order []string
	for e := q.Head(true, true); e != nil; e = q.Head(true, true) {
		q.Serve(e)
		order = append(order, e.Value)
	}
	fmt.Println(slices.Clip(order))
	// Output:
	// dropped last
	// [urgent sooner later]
}

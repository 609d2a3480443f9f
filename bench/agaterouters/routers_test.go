package agaterouters_test

import (
	"testing"

	"pgregory.net/rapid"

	"agatereach/bench/agateground"
	"agatereach/bench/agaterouters"
	"agatereach/core/process/agateseed"
	"agatereach/core/request/agatetuple"
)

func TestMain(m *testing.M) { agateseed.Main(m) }

const (
	entries = 12
	centres = 3
)

func ground(t testing.TB) *agateground.Ground {
	g, release, err := agateground.New(centres)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(release)
	return g
}

func flow(port uint16) agatetuple.Tuple {
	return agatetuple.Tuple{Source: [4]byte{127, 1, 6, 1}, SourcePort: port, TargetPort: 443}
}

// TestSteady takes an entry out of rotation: only its own flows move, and within
// the data centre.
func TestSteady(t *testing.T) {
	g := ground(t)
	rapid.Check(t, func(t *rapid.T) {
		r := agaterouters.New(g, entries)
		for place := 1; place <= entries; place++ {
			r.Set(place, true)
		}
		out := rapid.IntRange(1, entries).Draw(t, "out")
		before := make(map[uint16]int)
		for port := range uint16(200) {
			before[port] = r.Entry(flow(port), g.Centre(out))
		}
		r.Set(out, false)
		for port, was := range before {
			now := r.Entry(flow(port), g.Centre(out))
			if was != out && now != was || now == out || g.Centre(now) != g.Centre(out) {
				t.Fatalf("flow %d went from %d to %d when %d left", port, was, now, out)
			}
		}
	})
}

// TestFew uses all entries of a data centre of which too few are ready, and those
// of others if none is.
func TestFew(t *testing.T) {
	g := ground(t)
	r := agaterouters.New(g, entries)
	r.Set(1, true)
	r.Set(2, true)
	used := make(map[int]bool)
	for port := range uint16(400) {
		used[r.Entry(flow(port), g.Centre(1))] = true
	}
	if len(used) != entries/centres {
		t.Errorf("%d entries are used, want all %d", len(used), entries/centres)
	}
	for port := range uint16(50) {
		if place := r.Entry(flow(port), g.Centre(3)); place != 1 && place != 2 {
			t.Errorf("entry %d is used, which is not ready", place)
		}
	}
	if r.Ready() != 2 {
		t.Errorf("%d ready", r.Ready())
	}
}

package agatespread_test

import (
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"

	"agatereach/core/process/agatespread"
)

func ExampleNew() {
	centres := []agatespread.Centre{
		{ID: 1, Entries: 2, Servers: 2},
		{ID: 2, Entries: 2, Servers: 1},
		{ID: 3, Entries: 2, Servers: 1},
	}
	spread := agatespread.New(2, centres)
	fmt.Println(spread.Away(0))
	fmt.Println(spread.Away(math.MaxUint64 / 2))
	// Output:
	// 1 true
	// 0 false
}

// TestEqualWorkPerServer checks for random data centres that all servers get the
// same amount of work, if there are any entries and servers.
func TestEqualWorkPerServer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		centres := make([]agatespread.Centre, rapid.IntRange(1, 6).Draw(t, "centres"))
		entries, servers := 0, 0
		for i := range centres {
			centres[i] = agatespread.Centre{
				ID:      uint16(i + 1),
				Entries: rapid.IntRange(0, 9).Draw(t, "entries"),
				Servers: rapid.IntRange(0, 9).Draw(t, "servers"),
			}
			entries += centres[i].Entries
			servers += centres[i].Servers
		}
		got := make(map[uint16]float64)
		const steps = 4096
		for _, c := range centres {
			spread := agatespread.New(c.ID, centres)
			for i := range uint64(steps) {
				to, away := spread.Away(i<<52 + 1<<51)
				if !away {
					to = c.ID
				}
				got[to] += float64(c.Entries) / steps
			}
		}
		for _, c := range centres {
			want := float64(c.Entries)
			if entries > 0 && servers > 0 {
				want = float64(entries) * float64(c.Servers) / float64(servers)
			}
			if math.Abs(got[c.ID]-want) > float64(entries+1)*8/steps {
				t.Fatalf("data centre %d gets %.3f of %d, want %.3f: %+v", c.ID, got[c.ID], entries, want, centres)
			}
		}
	})
}

// TestZeroValueKeepsAllLocal checks that the zero value sends no work to other
// data centres.
func TestZeroValueKeepsAllLocal(t *testing.T) {
	var s agatespread.Spread
	if to, away := s.Away(0); away {
		t.Fatalf("the zero value sends work to data centre %d", to)
	}
}

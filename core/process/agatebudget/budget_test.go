package agatebudget_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"agatereach/core/process/agatebudget"
)

// TestFleetStaysWithinReads checks that the reads of all isolated entries, of
// all readers and of all starting entries each stay within their share.
func TestFleetStaysWithinReads(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		reads := rapid.Float64Range(10, 5000).Draw(t, "reads")
		entries := rapid.IntRange(1, 20000).Draw(t, "entries")
		readers := rapid.IntRange(1, entries).Draw(t, "readers")
		b := agatebudget.Budget{Reads: reads}.WithEntries(entries, readers)
		const draws = 100
		var sum time.Duration
		for i := range draws {
			sum += b.Interval((float64(i) + 0.5) / draws)
		}
		silent := float64(entries) / (sum / draws).Seconds()
		watching := float64(readers) / b.Gap().Seconds()
		if silent > reads*0.51 || watching > reads*0.26 {
			t.Fatalf("isolated entries make %.0f and readers %.0f reads per second, the fleet may make %.0f", silent, watching, reads)
		}
		if start := b.Start(0.999); float64(entries)/max(start, time.Second).Seconds() > reads*0.51 && float64(entries) > reads {
			t.Fatalf("%d entries start within %s", entries, start)
		}
	})
}

// TestBackoff checks the bounds of the backoff, and that a further failure does
// not shorten it.
func TestBackoff(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := agatebudget.Budget{Reads: 2000}.WithEntries(rapid.IntRange(1, 20000).Draw(t, "entries"), 3)
		asked := time.Duration(rapid.IntRange(0, 60).Draw(t, "asked")) * time.Second
		failures := rapid.IntRange(1, 100).Draw(t, "failures")
		draw := rapid.Float64Range(0, 0.999).Draw(t, "draw")
		wait := b.Backoff(failures, asked, draw)
		if wait < asked+100*time.Millisecond || wait > asked+30*time.Second {
			t.Fatalf("wait of %s, the platform asked for %s", wait, asked)
		}
		if b.Backoff(failures+1, asked, draw) < wait {
			t.Fatal("a further failure shortens the wait")
		}
	})
}

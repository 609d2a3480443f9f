package agatepick_test

import (
	"testing"

	"pgregory.net/rapid"

	"agatereach/core/process/agatepick"
)

var policy = agatepick.Policy{RemotePenalty: 0.5, FailurePenalty: 8, MaxSilentShare: 0.5}

// zeroRandom resolves every tie in favour of the last candidate.
func zeroRandom() float64 { return 0 }

// TestPick checks choices among few candidates.
func TestPick(t *testing.T) {
	for _, c := range []struct {
		name       string
		candidates []agatepick.Candidate
		want       int
	}{
		{"none", nil, -1},
		{"less load", []agatepick.Candidate{{Load: 2, Capacity: 3}, {Load: 1, Capacity: 3}}, 1},
		{"more capacity", []agatepick.Candidate{{Load: 1, Capacity: 2}, {Load: 1, Capacity: 8}}, 1},
		{"own data centre", []agatepick.Candidate{{Capacity: 3, Remote: true}, {Load: 1, Capacity: 3}}, 1},
		{"spill", []agatepick.Candidate{{Capacity: 3, Remote: true}, {Load: 3, Capacity: 3}}, 0},
		{"silent", []agatepick.Candidate{{Capacity: 3, Silent: true}, {Load: 5, Capacity: 3}, {Load: 4, Capacity: 3}}, 2},
		{"previous attempt", []agatepick.Candidate{{Capacity: 3, PreviousAttempt: true}, {Load: 5, Capacity: 3}}, 1},
		{"previous attempt at all", []agatepick.Candidate{{Load: 1, Capacity: 3, PreviousAttempt: true}, {Capacity: 3, PreviousAttempt: true}}, 1},
		{"failing", []agatepick.Candidate{{Capacity: 3, FailureProbability: 0.5}, {Load: 6, Capacity: 3}}, 1},
		{"all failing", []agatepick.Candidate{{Load: 1, Capacity: 3, FailureProbability: 0.5}, {Capacity: 3, FailureProbability: 0.5}}, 1},
		{"only silent", []agatepick.Candidate{{Capacity: 3, Silent: true}}, 0},
		{"too many silent", []agatepick.Candidate{{Capacity: 3, Silent: true}, {Load: 1, Capacity: 3, Silent: true}, {Load: 2, Capacity: 3}}, 0},
		{"other data centre silent", []agatepick.Candidate{
			{Capacity: 3, Silent: true, Remote: true}, {Capacity: 3, Silent: true, Remote: true}, {Load: 9, Capacity: 3},
		}, 2},
	} {
		if got := policy.Pick(c.candidates, zeroRandom); got != c.want {
			t.Errorf("%s: got index %d, want %d", c.name, got, c.want)
		}
	}
}

// TestSilentCandidatesExcluded draws random candidates: one must be chosen, and
// a silent one only if too many are silent or no other is left.
func TestSilentCandidatesExcluded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var candidates []agatepick.Candidate
		local, silent, answering := 0, 0, 0
		for range rapid.IntRange(1, 12).Draw(t, "candidates") {
			c := agatepick.Candidate{
				Load: rapid.Float64Range(0, 20).Draw(t, "load"), Capacity: rapid.Float64Range(0.1, 9).Draw(t, "capacity"),
				Remote: rapid.Bool().Draw(t, "remote"), Silent: rapid.Bool().Draw(t, "silent"), PreviousAttempt: rapid.Bool().Draw(t, "tried"),
			}
			candidates = append(candidates, c)
			if !c.Remote {
				local++
				if c.Silent {
					silent++
				}
			}
			if !c.Silent {
				answering++
			}
		}
		got := policy.Pick(candidates, func() float64 { return rapid.Float64Range(0, 0.99).Draw(t, "random") })
		if got < 0 || got >= len(candidates) {
			t.Fatalf("index %d is not that of a candidate", got)
		}
		excess := float64(silent) > policy.MaxSilentShare*float64(local)
		if candidates[got].Silent && answering > 0 && !excess {
			t.Fatal("a silent server was chosen although others answer")
		}
		if candidates[got].Silent && candidates[got].Remote && answering > 0 {
			t.Fatal("a silent server of another data centre was chosen although others answer")
		}
	})
}

// BenchmarkPick measures the choice among the servers of a large service.
func BenchmarkPick(b *testing.B) {
	candidates := make([]agatepick.Candidate, 120)
	for i := range candidates {
		candidates[i] = agatepick.Candidate{Load: float64(i*7%13) / 4, Capacity: 3, Remote: i%3 > 0}
	}
	b.ReportAllocs()
	for b.Loop() {
		policy.Pick(candidates, zeroRandom)
	}
}

package agateretry_test

import (
	"testing"
	"time"

	"agatereach/core/process/agateretry"

	"pgregory.net/rapid"
)

// TestRetriesBounded checks the bounds documented on Budget over random
// sequences of requests and retries.
func TestRetriesBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := float64(rapid.IntRange(0, 50).Draw(t, "percent")) / 100
		reserve := rapid.IntRange(0, 30).Draw(t, "reserve")
		checkLeft := rapid.Bool().Draw(t, "asks")
		b := agateretry.New(agateretry.WithShare(share), agateretry.WithCalm(1), agateretry.WithReserve(reserve))
		allowed, retries := 0.0, 0
		for range rapid.IntRange(0, 500).Draw(t, "steps") {
			if !rapid.Bool().Draw(t, "retry") {
				calm := rapid.Bool().Draw(t, "calm")
				b.Request(calm)
				if calm {
					allowed++
				} else {
					allowed += share
				}
			} else if (!checkLeft || b.Left(time.Time{}, time.Time{}, 0)) && b.Spend() {
				retries++
			}
		}
		most := allowed + float64(reserve)
		if !checkLeft {
			most += float64(reserve)
		}
		if float64(retries) > most+1e-6 {
			t.Fatalf("%d retries allowed, want at most %.2f", retries, most)
		}
	})
}

func TestDeadlineAndReserve(t *testing.T) {
	now := time.Unix(0, 0)
	b := agateretry.New(agateretry.WithReserve(1))
	if b.Left(now, now.Add(time.Second), 2*time.Second) {
		t.Error("retry that cannot end by its deadline is allowed")
	}
	if !b.Left(now, now.Add(time.Second), time.Second) {
		t.Error("retry that ends by its deadline is refused")
	}
	if !b.Spend() || b.Left(now, time.Time{}, 0) {
		t.Error("Left allows a retry beyond the reserve")
	}
	if !b.Spend() || b.Spend() {
		t.Error("the largest debt is not the reserve")
	}
}

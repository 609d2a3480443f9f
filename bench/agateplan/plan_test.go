package agateplan_test

import (
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"agatereach/bench/agateplan"
	"agatereach/core/process/agateseed"
)

func TestMain(m *testing.M) { agateseed.Main(m) }

// TestNew draws plans: the same seed gives the same steps, in order, over by the end.
func TestNew(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		end := time.Duration(rapid.Int64Range(int64(3*time.Second), int64(time.Minute)).Draw(t, "end"))
		steps := agateplan.New(seed, 2*time.Second, end)
		if !reflect.DeepEqual(steps, agateplan.New(seed, 2*time.Second, end)) {
			t.Fatal("the same seed gave other steps")
		}
		last := 2 * time.Second
		for _, s := range steps {
			if s.At < last || s.For < 0 || s.At+s.Age+s.For > end {
				t.Fatalf("%+v after %v, end %v", s, last, end)
			}
			last = s.At
		}
	})
}

// TestKinds finds each kind of step, and two at the same time, in few seeds.
func TestKinds(t *testing.T) {
	found := make(map[agateplan.Kind]bool)
	overlap := 0
	for seed := range uint64(20) {
		steps := agateplan.New(seed, 0, time.Minute)
		for i, s := range steps {
			found[s.Kind] = true
			if i > 0 && steps[i-1].At+steps[i-1].For > s.At {
				overlap++
			}
		}
	}
	const kinds = 32
	if len(found) != kinds || overlap == 0 {
		t.Errorf("%d kinds, %d overlaps", len(found), overlap)
	}
}

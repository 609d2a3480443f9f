package agatebatch_test

import (
	"testing"

	"agatereach/core/version/agatebatch"
	"agatereach/core/version/agateserial"
)

// TestWithSerials checks of which era each number of a restored platform is, and that a
// batch whose bases don't fit its era is refused.
func TestWithSerials(t *testing.T) {
	b := &agatebatch.Batch{Era: 3, Bases: []uint64{8, 5}, After: 4, Upto: 7, Head: 9}
	got, err := b.WithSerials()
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name   string
		packed uint64
		want   string
	}{{"after", got.After, "4"}, {"upto", got.Upto, "3/7"}, {"head", got.Head, "3/9"}} {
		if serial := agateserial.Unpack(c.packed).String(); serial != c.want {
			t.Errorf("%s is %s, want %s", c.name, serial, c.want)
		}
	}
	for _, b := range []*agatebatch.Batch{{Era: 2}, {Era: 1, Bases: []uint64{3}}, {Head: agateserial.MaxNumber + 1}} {
		if _, err := b.WithSerials(); err == nil {
			t.Errorf("%+v accepted", b)
		}
	}
}

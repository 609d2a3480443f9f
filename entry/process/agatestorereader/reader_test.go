package agatestorereader_test

import (
	"testing"
	"time"

	"agatereach/core/version/agatechange"
	"agatereach/entry/process/agatestorereader"
)

// TestConfirmed checks what reads prove: a watch that waited in vain proves that
// nothing had changed by then, others only that nothing is older than the question.
func TestConfirmed(t *testing.T) {
	asked := time.Unix(1000, 0)
	const wait = 4 * time.Second
	for _, c := range []struct {
		name     string
		whole    bool
		revision int64
		took     time.Duration
		want     time.Duration
	}{
		{name: "listing", whole: true, revision: 9, took: 5 * time.Second},
		{name: "watch with a change", revision: 10, took: time.Second},
		{name: "watch with a change that came late", revision: 10, took: 5 * time.Second},
		{name: "watch that was answered early", revision: 9, took: 3 * time.Second},
		{name: "watch in vain", revision: 9, took: wait + 5*time.Millisecond, want: wait},
		{name: "watch in vain, answered slowly", revision: 9, took: 6 * time.Second, want: wait},
	} {
		r := agatestorereader.Result{
			Order: agatestorereader.Order{Whole: c.whole, After: 9, Wait: wait}, Asked: asked, Answered: asked.Add(c.took),
			Changes: agatechange.Changes{Revision: c.revision},
		}
		if got := r.Confirmed().Sub(asked); got != c.want {
			t.Errorf("%s: confirmed after %v, want %v", c.name, got, c.want)
		}
	}
}

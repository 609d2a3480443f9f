package agatestorereader_test

import (
	"testing"
	"time"

	"agatereach/core/version/agatechange"
	"agatereach/entry/process/agatestorereader"
)

// TestConfirmedAt checks as of when a result is known to be current: for a watch that
// timed out without a change at the end of its wait, for any other read at its start.
func TestConfirmedAt(t *testing.T) {
	started := time.Unix(1000, 0)
	const wait = 4 * time.Second
	for _, c := range []struct {
		name     string
		listAll  bool
		revision int64
		duration time.Duration
		want     time.Duration
	}{
		{name: "listing", listAll: true, revision: 9, duration: 5 * time.Second},
		{name: "watch with a change", revision: 10, duration: time.Second},
		{name: "watch with a late change", revision: 10, duration: 5 * time.Second},
		{name: "watch answered before its wait was over", revision: 9, duration: 3 * time.Second},
		{name: "watch without a change", revision: 9, duration: wait + 5*time.Millisecond, want: wait},
		{name: "watch without a change, answered late", revision: 9, duration: 6 * time.Second, want: wait},
	} {
		r := agatestorereader.Result{
			Request: agatestorereader.Request{ListAll: c.listAll, AfterRevision: 9, Wait: wait}, StartedAt: started, FinishedAt: started.Add(c.duration),
			Changes: agatechange.Changes{Revision: c.revision},
		}
		if got := r.ConfirmedAt().Sub(started); got != c.want {
			t.Errorf("%s: confirmed after %v, want %v", c.name, got, c.want)
		}
	}
}

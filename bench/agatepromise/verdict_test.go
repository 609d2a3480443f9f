package agatepromise_test

import (
	"slices"
	"testing"
	"time"

	"agatereach/bench/agatepromise"
)

// sound notes what a sound run of 40 s shows: flows, requests that run and, after
// a fault, requests that are answered.
func sound(r *agatepromise.Record) {
	r.Published(1, to("map"), 0)
	r.Started("vm-1", 0)
	r.Disturbed("vm-1", 0, 0)
	for i := range uint16(40) {
		at := time.Duration(i) * second
		took(r, 100+i, "map", at, at)
		r.Ran(uint64(i), true, address, "map", at)
		r.Asked(at, at, true)
	}
}

// TestVerdict plays sound runs in which something could not be judged.
func TestVerdict(t *testing.T) {
	type record = agatepromise.Record
	for name, c := range map[string]struct {
		want agatepromise.Verdict
		gaps []agatepromise.Gap
		play func(*record)
	}{
		"sound":           {agatepromise.Kept, nil, sound},
		"late at the end": {agatepromise.Kept, nil, func(r *record) { sound(r); r.Late(38*second, 39*second) }},
		"late at the end of the faults and again": {
			agatepromise.NotJudged,
			[]agatepromise.Gap{{agatepromise.Recovery, 0, 8, "requests after the last fault"}},
			func(r *record) {
				sound(r)
				r.Disturbed("vm-2", 19*second, 20*second)
				r.Late(30*second, 31*second)
			},
		},
		"a fault at the end": {
			agatepromise.NotJudged,
			[]agatepromise.Gap{{agatepromise.Recovery, 0, 0, "requests after the last fault"}},
			func(r *record) { sound(r); r.Disturbed("vm-2", 37*second, 38*second) },
		},
		"too few requests after the last fault": {
			agatepromise.NotJudged,
			[]agatepromise.Gap{{agatepromise.Recovery, 19, 19, "requests after the last fault"}},
			func(r *record) { sound(r); r.Disturbed("vm-2", 8*second, 9*second) },
		},
		"enough requests after the last fault": {
			agatepromise.Kept, nil,
			func(r *record) { sound(r); r.Disturbed("vm-2", 7*second, 8*second) },
		},
		"entry disturbed all the time": {
			agatepromise.NotJudged,
			[]agatepromise.Gap{
				{agatepromise.Config, 1, 40, "flows opened"},
				{agatepromise.Drain, 1, 40, "flows opened"},
				{agatepromise.Flow, 1, 40, "flows opened"},
			},
			func(r *record) {
				sound(r)
				r.Disturbed("vm-1", 0, 34500*time.Millisecond)
				for i := range 20 {
					r.Asked(60*second+time.Duration(i), 60*second+time.Duration(i), true)
				}
			},
		},
		"machine late all the time": {
			agatepromise.NotJudged,
			[]agatepromise.Gap{
				{agatepromise.Config, 0, 40, "flows opened"},
				{agatepromise.Drain, 0, 40, "flows opened"},
				{agatepromise.Flow, 0, 40, "flows opened"},
				{agatepromise.Recovery, 0, 28, "requests after the last fault"},
			},
			func(r *record) { sound(r); r.Late(0, 40*second) },
		},
		"nothing seen": {
			agatepromise.NotJudged,
			[]agatepromise.Gap{
				{agatepromise.Config, 0, 0, "flows opened"},
				{agatepromise.Drain, 0, 0, "flows opened"},
				{agatepromise.Flow, 0, 0, "flows opened"},
				{agatepromise.Route, 0, 0, "requests that ran"},
				{agatepromise.Twice, 0, 0, "requests that ran and must not run twice"},
				{agatepromise.Recovery, 0, 0, "requests after the last fault"},
			},
			func(*record) {},
		},
		"reset while the machine was late": {
			agatepromise.NotJudged,
			[]agatepromise.Gap{{agatepromise.Flow, 0, 1, "breaks while the machine was late"}},
			func(r *record) { sound(r); reset(r, true, 6*second); r.Late(5*second, 5500*time.Millisecond) },
		},
		"reset by a disturbed entry": {
			agatepromise.Kept, nil,
			func(r *record) {
				sound(r)
				reset(r, true, 6*second)
				r.Disturbed("vm-1", 5*second, 5500*time.Millisecond)
			},
		},
		"refused while the machine was late": {
			agatepromise.NotJudged,
			[]agatepromise.Gap{{agatepromise.Config, 0, 1, "breaks while the machine was late"}},
			func(r *record) { sound(r); reset(r, false, 6*second); r.Late(5*second, 5500*time.Millisecond) },
		},
		"drained while the machine was late": {
			agatepromise.NotJudged,
			[]agatepromise.Gap{{agatepromise.Drain, 0, 3, "breaks while the machine was late"}},
			func(r *record) { sound(r); r.Left(server, 33500*time.Millisecond); r.Late(36*second, 40*second) },
		},
		"misrouted while the machine was late": {
			agatepromise.NotJudged,
			[]agatepromise.Gap{{agatepromise.Flow, 0, 1, "breaks while the machine was late"}},
			func(r *record) {
				sound(r)
				for i := range 4 {
					r.Strayed(flow(1), server, "vm-1", 5*second+time.Duration(i)*second/10)
				}
				r.Late(5*second, 5500*time.Millisecond)
			},
		},
		"broken, and nothing judged after the last fault": {
			agatepromise.Broken,
			[]agatepromise.Gap{{agatepromise.Recovery, 0, 0, "requests after the last fault"}},
			func(r *record) {
				sound(r)
				r.Disturbed("vm-2", 37*second, 38*second)
				r.Broke(agatepromise.Process, second, "the process of vm-1 ended by itself")
			},
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := agatepromise.New(bounds)
			c.play(r)
			findings, sum := r.Judge()
			if got := agatepromise.Decide(findings, sum.Gaps); got != c.want || !slices.Equal(sum.Gaps, c.gaps) {
				t.Errorf("%s with gaps %v and findings %v, want %s with %v", got, sum.Gaps, findings, c.want, c.gaps)
			}
		})
	}
}

// TestSettled checks that a late machine puts off the time from which on requests are
// judged, and that no other disturbance which is over does.
func TestSettled(t *testing.T) {
	r := agatepromise.New(bounds)
	check := func(want time.Duration) {
		t.Helper()
		if got := r.Settled(); got != want {
			t.Errorf("settled at %v, want %v", got, want)
		}
	}
	r.Disturbed("vm-1", 8*second, 10*second)
	check(22 * second)
	r.Late(30*second, 31*second)
	check(43 * second)
	r.Harmed(20 * second)
	check(43 * second)
}

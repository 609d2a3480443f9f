package agatepartition_test

import (
	"testing"

	"agatereach/bench/agateground"
	"agatereach/bench/agatepartition"
)

// TestCut cuts entries and a data centre off, and heals both.
func TestCut(t *testing.T) {
	g, release, err := agateground.New(3)
	if err != nil {
		t.Fatal(err)
	}
	defer release()
	p := agatepartition.New(g)
	near, far := g.Address(agateground.Entry, 1), g.Address(agateground.Entry, 2)
	peer, server, store := g.Address(agateground.Entry, 4), g.Address(agateground.Server, 1), g.Address(agateground.Store, 1)
	check := func(when string, want ...bool) {
		t.Helper()
		got := []bool{p.Cut(near, far), p.Cut(near, peer), p.Cut(near, server), p.Cut(near, store)}
		for i := range want {
			if got[i] != want[i] {
				t.Errorf("%s: %v, want %v", when, got, want)
				return
			}
		}
	}
	check("at first", false, false, false, false)
	heal := p.CutCentre(g.Centre(1))
	check("data centre cut", true, false, false, true)
	heal()
	shallow, deep := p.CutEntry(1, false), p.CutEntry(1, true)
	check("entry cut twice", true, true, true, false)
	deep()
	check("entry cut from entries", true, true, false, false)
	shallow()
	check("healed", false, false, false, false)
}

package agatecommand

import (
	"errors"
	"strings"
	"testing"

	"agatereach/bench/agatepromise"
	"agatereach/bench/agatesoak"
)

// TestTally checks the last line and the exit code of several runs.
func TestTally(t *testing.T) {
	const kept, broken, unjudged = agatepromise.Kept, agatepromise.Broken, agatepromise.NotJudged
	for name, c := range map[string]struct {
		verdicts []agatepromise.Verdict
		line     string
		code     int
	}{
		"kept":       {[]agatepromise.Verdict{kept, kept}, "2 runs: 2 kept, 0 broken, 0 not judged", codeKept},
		"not judged": {[]agatepromise.Verdict{kept, unjudged, kept}, "3 runs: 2 kept, 0 broken, 1 not judged [2]", codeNotJudged},
		"broken":     {[]agatepromise.Verdict{kept, broken, broken}, "3 runs: 1 kept, 2 broken [2 3], 0 not judged", codeBroken},
		"both":       {[]agatepromise.Verdict{unjudged, broken}, "2 runs: 0 kept, 1 broken [2], 1 not judged [1]", codeBroken},
		"no verdict": {[]agatepromise.Verdict{""}, "1 runs: 0 kept, 1 broken [1], 0 not judged", codeBroken},
	} {
		t.Run(name, func(t *testing.T) {
			var all tally
			for i, verdict := range c.verdicts {
				all.add(&agatesoak.Report{Seed: uint64(i + 1), Verdict: verdict})
			}
			if got := all.line(); got != c.line {
				t.Errorf("line %q, want %q", got, c.line)
			}
			if got := report(all.err()); got != c.code {
				t.Errorf("exit code %d, want %d", got, c.code)
			}
		})
	}
}

// TestTallyNamesSeed checks that the error names the first run that is not kept.
func TestTallyNamesSeed(t *testing.T) {
	all := tally{kept: []uint64{1}, unjudged: []uint64{2, 3}}
	var unjudged *NotJudgedError
	if !errors.As(all.err(), &unjudged) || unjudged.Seed != 2 {
		t.Errorf("error %v, want one on seed 2", all.err())
	}
}

// TestText checks that the lines on a run say what was not judged, and of how much.
func TestText(t *testing.T) {
	got := text(&agatesoak.Report{
		Seed: 9007, Verdict: agatepromise.NotJudged,
		Summary: agatepromise.Summary{
			Openings: 200, Judged: 50, Share: 0.25, Calm: 40, After: 5, AfterAnswered: 4,
			Gaps: []agatepromise.Gap{{Kind: agatepromise.Recovery, Judged: 5, Seen: 40, Of: "requests after the last fault"}},
		},
	})
	for _, want := range []string{
		"seed 9007: NOT JUDGED;", "4 of 5 after the last fault, 35 more not judged", "200 flows opened, 50 judged (25%)",
		"\n  not judged: recovery, judged 5 of 40 requests after the last fault\n",
	} {
		if !strings.Contains(got, want) {
			t.Errorf("%q is not in %q", want, got)
		}
	}
}

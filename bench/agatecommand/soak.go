package agatecommand

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"time"

	"agatereach/bench/agateplan"
	"agatereach/bench/agatepromise"
	"agatereach/bench/agatesoak"
)

// soak runs the users' entry program under faults.
type soak struct {
	ctx     context.Context
	Seed    uint64           `long:"seed" default:"1" description:"seed of the faults, the first one of several"`
	Runs    uint64           `long:"runs" default:"1" description:"number of runs, each with the next seed"`
	For     time.Duration    `long:"for" default:"40s" description:"time in which faults come; a run takes 20 s more, and up to 20 s beyond if the machine is late"`
	Entries int              `long:"entries" default:"9" description:"number of entry processes"`
	Callers int              `long:"callers" default:"9" description:"number of callers' addresses, with 8 users each"`
	Only    []agateplan.Kind `long:"only" description:"make only steps of this kind; may be given several times"`
	Program string           `long:"program" description:"path of the entry program; built if not given"`
	JSON    bool             `long:"json" description:"print a JSON object a run"`
	Keep    bool             `long:"keep" description:"keep settings and logs, and say where"`
	Verbose bool             `long:"verbose" description:"print each step"`
}

// Execute makes the runs. All are made, also after one in which a promise broke.
func (s *soak) Execute([]string) error {
	var all tally
	for seed := s.Seed; seed < s.Seed+s.Runs; seed++ {
		report, err := agatesoak.Run(s.ctx, agatesoak.Options{
			Seed: seed, Length: s.For, Entries: s.Entries, Callers: s.Callers, Only: s.Only, Program: s.Program, Keep: s.Keep, Told: s.told(),
		})
		if err != nil {
			return err
		}
		if err := s.print(report); err != nil {
			return err
		}
		all.add(report)
	}
	if s.Runs > 1 && !s.JSON {
		fmt.Println(all.line())
	}
	return all.err()
}

// tally holds the seeds of runs by their verdicts.
type tally struct{ kept, broken, unjudged []uint64 }

// add adds a run.
func (t *tally) add(report *agatesoak.Report) {
	switch report.Verdict {
	case agatepromise.Kept:
		t.kept = append(t.kept, report.Seed)
	case agatepromise.NotJudged:
		t.unjudged = append(t.unjudged, report.Seed)
	default:
		t.broken = append(t.broken, report.Seed)
	}
}

// line returns how many runs had each verdict, with the seeds of those that kept not all.
func (t *tally) line() string {
	list := func(seeds []uint64) string {
		if len(seeds) == 0 {
			return ""
		}
		return fmt.Sprintf(" %v", seeds)
	}
	return fmt.Sprintf("%d runs: %d kept, %d broken%s, %d not judged%s", len(t.kept)+len(t.broken)+len(t.unjudged),
		len(t.kept), len(t.broken), list(t.broken), len(t.unjudged), list(t.unjudged))
}

// err returns the error of the first run that broke a promise, or of the first one in
// which a promise was not judged; nil if all were kept.
func (t *tally) err() error {
	switch {
	case len(t.broken) > 0:
		return &BrokenError{Scenario: "soak", Seed: t.broken[0]}
	case len(t.unjudged) > 0:
		return &NotJudgedError{Scenario: "soak", Seed: t.unjudged[0]}
	}
	return nil
}

// told returns what prints steps, nil if nobody wants them.
func (s *soak) told() func(time.Duration, agateplan.Step) {
	if !s.Verbose {
		return nil
	}
	return func(at time.Duration, step agateplan.Step) {
		fmt.Fprintf(os.Stderr, "%8.3f %s for %v, place %d, mode %s, deep %t\n",
			at.Seconds(), step.Kind, step.For.Truncate(time.Millisecond), step.Place, step.Mode, step.Deep)
	}
}

// print prints the report of a run.
func (s *soak) print(report *agatesoak.Report) error {
	if s.JSON {
		return json.NewEncoder(os.Stdout).Encode(report)
	}
	fmt.Print(text(report))
	return nil
}

// text returns the lines on a run.
func text(report *agatesoak.Report) string {
	verdict := string(report.Verdict)
	if report.Verdict != agatepromise.Kept {
		verdict = strings.ToUpper(verdict)
	}
	var lines strings.Builder
	sum := report.Summary
	fmt.Fprintf(&lines, "seed %d: %s; %d steps, %d of %d requests answered, %d of %d after the last fault, %d more not judged, %d flows opened, %d judged (%.0f%%), %d resets, peak %d MB, late %v\n",
		report.Seed, verdict, report.Steps, sum.Answered, sum.Requests, sum.AfterAnswered, sum.After, sum.Calm-sum.After,
		sum.Openings, sum.Judged, 100*sum.Share, sum.Resets, report.Peak, report.Lagged.Truncate(time.Millisecond))
	for _, g := range sum.Gaps {
		fmt.Fprintf(&lines, "  not judged: %s, judged %d of %d %s\n", g.Kind, g.Judged, g.Seen, g.Of)
	}
	for _, f := range report.Findings {
		fmt.Fprintf(&lines, "  %8.3f %s: %s\n", f.At.Seconds(), f.Kind, f.Text)
	}
	if report.Directory != "" {
		fmt.Fprintf(&lines, "  settings and logs are in %s\n", report.Directory)
	}
	return lines.String()
}

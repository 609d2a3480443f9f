// Package agateexplain logs why flows were treated as they were, in bounded
// volume: what is unusual within a budget, the ordinary by samples, and all of
// it by counts.
package agateexplain

import (
	"log/slog"
	"slices"
	"strconv"
	"time"

	"golang.org/x/time/rate"

	"agatereach/core/process/agatesteer"
)

const (
	// unusualRate is the number of lines a second for unusual verdicts, and
	// unusualBurst that at once: a server's end touches some dozens of flows.
	unusualRate  = 20
	unusualBurst = 60
	// sampleRate is the number of lines a second for ordinary placements.
	sampleRate = 2
	// summary is the time between two lines of counts.
	summary = 10 * time.Second
)

// Explain logs verdicts. It is used by one goroutine.
type Explain struct {
	log *slog.Logger
	// unusual and sampled bound the lines.
	unusual, sampled *rate.Limiter
	// counts are the verdicts since the last summary, and left those of them
	// that were unusual and had no line of their own.
	counts map[agatesteer.Reason]uint64
	left   uint64
	told   time.Time
}

// New returns an explainer that logs to log.
func New(log *slog.Logger, now time.Time) *Explain {
	return &Explain{
		log:     log,
		unusual: rate.NewLimiter(unusualRate, unusualBurst),
		sampled: rate.NewLimiter(sampleRate, 1),
		counts:  make(map[agatesteer.Reason]uint64),
		told:    now,
	}
}

// Verdict takes in a verdict.
func (e *Explain) Verdict(v *agatesteer.Verdict, now time.Time) {
	e.counts[v.Reason]++
	switch v.Reason {
	case agatesteer.Held:
	case agatesteer.Placed:
		if e.sampled.AllowN(now, 1) {
			e.line(v)
		}
	default:
		if e.unusual.AllowN(now, 1) {
			e.line(v)
		} else {
			e.left++
		}
	}
}

// line logs one verdict.
func (e *Explain) line(v *agatesteer.Verdict) {
	e.log.Info("flow: "+string(v.Reason),
		"flow", v.Flow,
		"action", string(v.Action),
		"server", strconv.FormatUint(v.Server, 16),
		"address", v.Address,
		"before", strconv.FormatUint(v.Evidence.Before, 16),
		"load", v.Evidence.Load,
		"capacity", v.Evidence.Capacity,
		"candidates", v.Evidence.Candidates,
		"silent", v.Evidence.Silent,
		"missed", v.Evidence.Missed,
		"heard", v.Evidence.Heard,
		"version", v.Evidence.Version,
		"revision", v.Evidence.Revision,
		"age", v.Evidence.Age,
	)
}

// Opinion takes in a change of what is held of a server.
func (e *Explain) Opinion(o agatesteer.Opinion, now time.Time) {
	if !e.unusual.AllowN(now, 1) {
		e.left++
		return
	}
	e.log.Info("server: "+string(o.Belief),
		"server", strconv.FormatUint(o.Server, 16), "centre", o.Centre, "missed", o.Missed, "heard", o.Heard, "failing", o.Failing)
}

// Tick logs the counts if that is due.
func (e *Explain) Tick(now time.Time) {
	if now.Sub(e.told) < summary {
		return
	}
	e.Summary()
	e.told = now
}

// Summary logs the counts since the last summary.
func (e *Explain) Summary() {
	if len(e.counts) == 0 {
		return
	}
	reasons := make([]agatesteer.Reason, 0, len(e.counts))
	for reason := range e.counts {
		reasons = append(reasons, reason)
	}
	slices.Sort(reasons)
	values := make([]any, 0, 2*len(reasons)+2)
	for _, reason := range reasons {
		values = append(values, string(reason), e.counts[reason])
	}
	e.log.Info("flow: summary", append(values, "unlogged", e.left)...)
	clear(e.counts)
	e.left = 0
}

// Package agateexplain logs why segments were forwarded, dropped or answered by a
// reset, in bounded volume: unusual verdicts up to a rate limit, ordinary
// placements as samples, and all verdicts as periodic counts.
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
	// unusualRate is the maximum number of lines per second for unusual verdicts
	// and health changes, and unusualBurst the maximum at once: the end of a server
	// affects several dozen flows.
	unusualRate  = 20
	unusualBurst = 60
	// checkRate is the maximum number of lines per second for checks, apart from the others:
	// an entry makes 20 checks a second while servers are down.
	checkRate, checkBurst = 5, 20
	// sampleRate is the maximum number of lines per second for ordinary placements.
	sampleRate = 2
	// summaryInterval is the time between two lines of counts.
	summaryInterval = 10 * time.Second
)

// Logger logs verdicts and health changes of a steerer. It is not safe for concurrent
// use.
type Logger struct {
	log *slog.Logger
	// unusualLimiter, checkLimiter and sampleLimiter bound the number of lines, and
	// hedgedLimiter that of placements at two servers.
	unusualLimiter, checkLimiter, sampleLimiter, hedgedLimiter *rate.Limiter
	// counts holds the number of verdicts since the last summary by reason, and
	// unlogged the number of unusual verdicts and changes since then that the
	// limiter suppressed.
	counts   map[agatesteer.Reason]uint64
	unlogged uint64
	// hedged is the number of SYNs since then that were sent to two servers.
	hedged      uint64
	lastSummary time.Time
}

// New returns a Logger that writes to log.
func New(log *slog.Logger, now time.Time) *Logger {
	return &Logger{
		log:            log,
		unusualLimiter: rate.NewLimiter(unusualRate, unusualBurst),
		checkLimiter:   rate.NewLimiter(checkRate, checkBurst),
		sampleLimiter:  rate.NewLimiter(sampleRate, 1),
		hedgedLimiter:  rate.NewLimiter(sampleRate, 1),
		counts:         make(map[agatesteer.Reason]uint64),
		lastSummary:    now,
	}
}

// LogVerdict counts a verdict, and logs it if it is unusual or sampled.
func (e *Logger) LogVerdict(v *agatesteer.Verdict, now time.Time) {
	e.counts[v.Reason]++
	sampleLimiter := e.sampleLimiter
	if v.Second != nil {
		e.hedged++
		sampleLimiter = e.hedgedLimiter
	}
	switch v.Reason {
	case agatesteer.Held:
	case agatesteer.Placed:
		if sampleLimiter.AllowN(now, 1) {
			e.writeVerdict(v)
		}
	default:
		if e.unusualLimiter.AllowN(now, 1) {
			e.writeVerdict(v)
		} else {
			e.unlogged++
		}
	}
}

// writeVerdict writes the line of one verdict.
func (e *Logger) writeVerdict(v *agatesteer.Verdict) {
	var second agatesteer.Offer
	if v.Second != nil {
		second = *v.Second
	}
	e.log.Info("flow: "+string(v.Reason),
		"flow", v.Flow,
		"action", string(v.Action),
		"server", strconv.FormatUint(v.Server, 16),
		"address", v.Address,
		"before", strconv.FormatUint(v.Evidence.PreviousServer, 16),
		"load", v.Evidence.Load,
		"capacity", v.Evidence.Capacity,
		"candidates", v.Evidence.Candidates,
		"silent", v.Evidence.Silent,
		"missed", v.Evidence.UnansweredFlows,
		"missed_here", v.Evidence.LocalFlows,
		"reporters", v.Evidence.Reporters,
		"witnesses", v.Evidence.Witnesses,
		"reliable", v.Evidence.ReliableWitnesses,
		"witnesses_elsewhere", v.Evidence.PeerWitnesses,
		"heard", v.Evidence.SinceAnswer,
		"copies", v.Evidence.Retransmits,
		"centre_silent", v.Evidence.CentreSilent,
		"cold", v.Evidence.Cold,
		"second", strconv.FormatUint(second.Server, 16),
		"doubt", string(second.Doubt),
		"version", v.Evidence.Version,
		"era", v.Evidence.Position.Era,
		"revision", v.Evidence.Position.Revision,
		"age", v.Evidence.Age,
	)
}

// LogOpinion logs a change in how the steerer judges a server.
func (e *Logger) LogOpinion(o agatesteer.HealthChange, now time.Time) {
	if !e.unusualLimiter.AllowN(now, 1) {
		e.unlogged++
		return
	}
	e.log.Info("server: "+string(o.Health),
		"server", strconv.FormatUint(o.Server, 16), "centre", o.Centre, "missed", o.UnansweredFlows, "heard", o.SinceAnswer, "failing", o.FailureProbability,
		"speed", o.Speed, "speed_weight", o.SpeedWeight, "speed_reporters", o.SpeedReporters, "report_age", o.ReportAge, "cold_for", o.ColdFor)
}

// LogCheck logs the result of a check of a server, and why it changes nothing if it doesn't.
func (e *Logger) LogCheck(c *agatesteer.Check, now time.Time) {
	if !e.checkLimiter.AllowN(now, 1) {
		e.unlogged++
		return
	}
	e.log.Info("server: checked",
		"server", strconv.FormatUint(c.Server.ID, 16),
		"address", c.Address,
		"centre", c.Centre,
		"result", string(c.Result),
		"down", c.Confirmed(),
		"doubt", string(c.Doubt),
		"control", strconv.FormatUint(c.Control.ID, 16),
		"attempts", c.Attempts,
		"hint_age", c.SinceHint,
		"check_age", c.SinceBegun,
		"heard", c.SinceAnswer,
	)
}

// LogRoom logs a change in whether the steerer holds a service to have room.
func (e *Logger) LogRoom(c agatesteer.RoomChange, now time.Time) {
	if !e.unusualLimiter.AllowN(now, 1) {
		e.unlogged++
		return
	}
	e.log.Info("service: "+string(c.Room),
		"service", c.Service, "shares", c.Shares, "samples", c.Samples, "degraded", c.Degraded, "usage", c.Usage, "reports", c.Reports, "age", c.Age)
}

// Tick logs a summary if one is due.
func (e *Logger) Tick(now time.Time) {
	if now.Sub(e.lastSummary) < summaryInterval {
		return
	}
	e.LogSummary()
	e.lastSummary = now
}

// LogSummary logs the counts since the last summary, if any.
func (e *Logger) LogSummary() {
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
	e.log.Info("flow: summary", append(values, "hedged", e.hedged, "unlogged", e.unlogged)...)
	clear(e.counts)
	e.unlogged, e.hedged = 0, 0
}

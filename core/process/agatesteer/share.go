package agatesteer

import (
	"math"
	"time"

	"agatereach/core/process/agatesilence"
	"agatereach/core/request/agateload"
)

// report is what another entry said of a server.
type report struct {
	on   *server
	load agateload.Load
	// missed is the number of flows without an answer, since the time since.
	missed int
	since  time.Duration
}

// reports is the last word of another entry.
type reports struct {
	at   time.Duration
	list []report
}

// Loads returns what this entry has seen of the servers that it has flows or
// suspicions of.
func (s *Steerer) Loads(now time.Duration) []agateload.Load {
	var loads []agateload.Load
	for _, each := range s.servers {
		if load, ok := each.own(now, s.policy.Recent); ok {
			loads = append(loads, load)
		}
	}
	return loads
}

// own returns what this entry has seen of a server; false if that is nothing.
func (s *server) own(now, recent time.Duration) (agateload.Load, bool) {
	missed, since := s.silence.Own()
	waiting := len(s.waiting) + len(s.opening)
	heard := s.silence.LastSeen()
	if s.token == 0 || waiting == 0 && s.open == 0 && missed == 0 && (heard == 0 || now-heard > recent) {
		return agateload.Load{}, false
	}
	load := agateload.Load{
		Token:   s.token,
		Waiting: uint16(min(s.busy*agateload.Unit, math.MaxUint16)),
		Open:    uint16(min(s.open, math.MaxUint16)),
		Missed:  uint8(missed),
	}
	if heard > 0 {
		load.Heard = agateload.Age(now - heard)
	}
	if missed > 0 {
		load.Since = agateload.Age(now - since)
	}
	return load, true
}

// Report takes in the loads that another entry states, in place of those that
// it stated before.
func (s *Steerer) Report(from string, loads []agateload.Load, now time.Duration) {
	s.retract(from)
	word := reports{at: now}
	for _, load := range loads {
		instance, found := s.catalog.Find(load.Token)
		on := s.servers[instance.Key]
		if found != "found" || on == nil {
			continue
		}
		if load.Heard > 0 {
			on.silence.Heard(now - agateload.Duration(load.Heard) - s.policy.Transit)
		}
		r := report{on: on, load: load, missed: int(load.Missed)}
		r.since = now - agateload.Duration(load.Since)
		on.reported.add(load, 1)
		word.list = append(word.list, r)
	}
	s.reports[from] = word
	s.gather(word)
}

// add adds a load, or takes it off with sign -1.
func (r *reported) add(load agateload.Load, sign float64) {
	r.waiting += sign * float64(load.Waiting) / agateload.Unit
	r.open += sign * float64(load.Open)
}

// retract drops what another entry has stated.
func (s *Steerer) retract(from string) {
	word, ok := s.reports[from]
	if !ok {
		return
	}
	delete(s.reports, from)
	for _, r := range word.list {
		r.on.reported.add(r.load, -1)
	}
	s.gather(word)
}

// gather sums up the suspicions of all entries against the servers that one
// has named.
func (s *Steerer) gather(word reports) {
	named := make(map[*server]bool, len(word.list))
	for _, r := range word.list {
		named[r.on] = true
	}
	sums := make(map[*server]report, len(named))
	for _, other := range s.reports {
		for _, r := range other.list {
			if !named[r.on] || r.missed == 0 || r.since <= r.on.silence.LastHeard() {
				continue
			}
			sum, known := sums[r.on]
			if !known || r.since < sum.since {
				sum.since = r.since
			}
			sum.missed += r.missed
			sums[r.on] = sum
		}
	}
	for on := range named {
		on.silence.Report(sums[on].missed, sums[on].since)
	}
}

// expireReports drops the words of entries that have gone silent.
func (s *Steerer) expireReports(now time.Duration) {
	for from, word := range s.reports {
		if now-word.at > s.policy.Recent {
			s.retract(from)
		}
	}
}

// centreState is what is known of another data centre as a whole.
type centreState struct {
	// silent says that several of its servers miss answers and none has
	// answered since.
	silent bool
	// tried is when a new flow was last given to one of its servers.
	tried time.Duration
}

// judgeCentres finds the other data centres that cannot be reached. A cut takes
// all of a data centre's servers at once, each with too few flows from here to
// be held silent by itself.
func (s *Steerer) judgeCentres(now time.Duration) {
	sums := make(map[string]*centreSum)
	for _, each := range s.servers {
		name := each.instance.Centre
		if name == s.centre {
			continue
		}
		sum := sums[name]
		if sum == nil {
			sum = &centreSum{first: now}
			sums[name] = sum
		}
		sum.add(each)
	}
	for name, sum := range sums {
		s.centreNamed(name).silent = sum.silent(s.policy.Silence)
	}
}

// centreNamed returns what is known of another data centre.
func (s *Steerer) centreNamed(name string) *centreState {
	known, ok := s.centres[name]
	if !ok {
		known = &centreState{}
		s.centres[name] = known
	}
	return known
}

// centreOf returns what is known of a server's data centre.
func (s *Steerer) centreOf(each *server) *centreState { return s.centreNamed(each.instance.Centre) }

// centreSum sums up a data centre's servers.
type centreSum struct {
	// heard is when any of them last showed life, first since when flows miss
	// answers, flows the number of those, and servers that of their servers.
	heard, first   time.Duration
	flows, servers int
}

func (c *centreSum) add(each *server) {
	c.heard = max(c.heard, each.silence.LastHeard())
	flows, since := each.silence.Missing()
	if flows == 0 {
		return
	}
	c.first = min(c.first, since)
	c.flows += flows
	c.servers++
}

func (c *centreSum) silent(p agatesilence.Policy) bool {
	return c.servers > 1 && c.flows >= p.Confirm && c.first > c.heard
}

// unreachable reports whether a server's data centre cannot be reached.
func (s *Steerer) unreachable(each *server) bool {
	return each.instance.Centre != s.centre && s.centreOf(each).silent
}

// centreDue reports whether a server of another data centre may be given a new
// flow as a trial.
func (s *Steerer) centreDue(each *server, now time.Duration) bool {
	return each.silence.Due(s.policy.Silence, len(s.reports), now) &&
		now-s.centreOf(each).tried >= s.policy.Silence.RetryMax
}

// dead reports whether the open flows of a server should be given up.
func (s *Steerer) dead(on *server, now time.Duration) bool {
	if on.silence.Confirmed(s.policy.Silence, now) {
		return true
	}
	flows, _ := on.silence.Missing()
	return s.unreachable(on) && flows > 0 && now-on.silence.LastHeard() >= s.policy.Silence.Patience
}

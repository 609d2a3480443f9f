package agatesteer

import (
	"math"
	"time"

	"agatereach/core/process/agateanswer"
	"agatereach/core/process/agatesilence"
	"agatereach/core/request/agateload"
	"agatereach/core/version/agatecatalog"
)

// stated is a load that another entry has stated.
type stated struct {
	on   *server
	load agateload.Load
}

// statement is the last word of another entry.
type statement struct {
	at time.Duration
	// interval is the time since the one before; 0 for the first.
	interval time.Duration
	loads    []stated
}

// Loads returns what this entry has seen of the servers that others should know
// of: those with its load, and those that are or were suspected.
func (s *Steerer) Loads(now time.Duration) []agateload.Load {
	var loads []agateload.Load
	for each := range s.active {
		if load, ok := each.own(&s.policy, now); ok {
			loads = append(loads, load)
		}
	}
	return loads
}

// Suspicions returns what this entry has seen of the servers that miss answers,
// and of those that others suspect wrongly.
func (s *Steerer) Suspicions(now time.Duration) []agateload.Load {
	var loads []agateload.Load
	for each := range s.active {
		if each.silence.Own().Flows == 0 && !each.contradicted {
			continue
		}
		each.contradicted = false
		if load, ok := each.own(&s.policy, now); ok {
			loads = append(loads, load)
		}
	}
	return loads
}

// minStated is the smallest number of requests under way that is stated.
const minStated = 0.05

// own returns what this entry has seen of a server; false if others need not
// know.
func (s *server) own(p *Policy, now time.Duration) (agateload.Load, bool) {
	missed := s.silence.Own()
	doubted := missed.Flows > 0 || len(s.suspicions) > 0
	failing := s.failing.Telling(p.Answers)
	if s.token == 0 || s.busy < minStated && s.open == 0 && !doubted && !failing {
		return agateload.Load{}, false
	}
	load := agateload.Load{
		Token:   s.token,
		Waiting: uint16(min(s.busy*agateload.Unit, math.MaxUint16)),
		Open:    uint16(min(s.open, math.MaxUint16)),
		Missed:  uint8(missed.Flows),
		Firm:    uint8(missed.Firm),
	}
	if failing {
		load.Failing = agateload.Parts(float64(s.failing))
	}
	if seen := s.silence.LastSeen(); seen > 0 && doubted {
		load.Heard = agateload.Age(now - seen)
	}
	if missed.Flows > 0 {
		load.Since = agateload.Age(now - missed.Since)
	}
	return load, true
}

// Report takes in the loads that another entry states. A partial statement adds
// to those that it stated before, any other replaces them.
func (s *Steerer) Report(from string, loads []agateload.Load, partial bool, now time.Duration) {
	word := statement{at: now}
	if !partial {
		if before, ok := s.statements[from]; ok {
			word.interval = now - before.at
		}
		s.retract(from)
	}
	for _, load := range loads {
		instance, found := s.catalog.Find(load.Token)
		on := s.servers[instance.Key]
		if found != agatecatalog.Found || on == nil {
			continue
		}
		s.active[on] = struct{}{}
		s.hear(on, from, load, now)
		if !partial {
			on.reported.add(load, 1)
			word.loads = append(word.loads, stated{on: on, load: load})
		}
	}
	if !partial {
		s.statements[from] = word
	}
}

// hear takes in whether another entry has seen a server live.
func (s *Steerer) hear(on *server, from string, load agateload.Load, now time.Duration) {
	if load.Heard > 0 {
		at := now - agateload.Duration(load.Heard) - s.policy.Transit
		on.silence.Heard(at)
		s.heard(on, at)
	}
	if load.Missed > 0 {
		since := now - agateload.Duration(load.Since)
		if on.suspicions == nil {
			on.suspicions = make(map[string]agatesilence.Evidence)
		}
		on.suspicions[from] = agatesilence.Evidence{Flows: int(load.Missed), Firm: int(load.Firm), Since: since}
		on.gather()
		if on.silence.LastSeen() > since {
			on.contradicted = true
			s.urgent = true
		}
	}
}

// gather sums up the suspicions of other entries.
func (s *server) gather() {
	var sum agatesilence.Evidence
	for _, each := range s.suspicions {
		if each.Since > s.silence.LastHeard() {
			sum = sum.Add(each)
		}
	}
	s.silence.Report(sum)
}

// add adds a load, or takes it off with sign -1.
func (r *reported) add(load agateload.Load, sign float64) {
	r.waiting += sign * float64(load.Waiting) / agateload.Unit
	r.open += sign * float64(load.Open)
	r.failing += agateanswer.Evidence(sign * agateload.Whole(load.Failing))
}

// retract drops what another entry has stated.
func (s *Steerer) retract(from string) {
	word, ok := s.statements[from]
	if !ok {
		return
	}
	delete(s.statements, from)
	for _, each := range word.loads {
		each.on.reported.add(each.load, -1)
		if _, doubted := each.on.suspicions[from]; doubted {
			delete(each.on.suspicions, from)
			each.on.gather()
		}
	}
}

// missedStatements is the number of statements that may be lost in a row before
// what an entry has said no longer counts.
const missedStatements = 2

// maxRecent bounds how much longer than others a rare statement counts.
const maxRecent = 4

// expireStatements drops the words of entries that have gone silent. Entries of
// large data centres speak less often.
func (s *Steerer) expireStatements(now time.Duration) {
	for from, word := range s.statements {
		limit := (missedStatements + 1) * word.interval
		if now-word.at > min(max(s.policy.Recent, limit), maxRecent*s.policy.Recent) {
			s.retract(from)
		}
	}
}

// centreState is what is known of another data centre as a whole.
type centreState struct {
	// heard is when any of its servers last showed life.
	heard time.Duration
	// silent says that several of its servers miss answers and none has
	// answered since.
	silent bool
	// since is since when that has been so.
	since time.Duration
	// tried is when a new flow was last given to one of its servers.
	tried time.Duration
}

// judgeCentres finds the other data centres that cannot be reached. A cut takes
// all of a data centre's servers at once, each with too few flows from here to
// be held silent by itself.
func (s *Steerer) judgeCentres(now time.Duration) {
	sums := make(map[string]*centreSum)
	for each := range s.active {
		if name := each.instance.Centre; name != s.centre {
			sum := sums[name]
			if sum == nil {
				sum = &centreSum{}
				sums[name] = sum
			}
			sum.add(each)
		}
	}
	for name, known := range s.centres {
		sum := sums[name]
		silent := sum != nil && sum.silent(s.policy.Silence, known.heard)
		if silent && !known.silent {
			known.since = now
		}
		known.silent = silent
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
	// missing are the flows without an answer, to a number of servers.
	missing agatesilence.Evidence
	servers int
}

func (c *centreSum) add(each *server) {
	missing := each.silence.Missing()
	if missing.Flows == 0 {
		return
	}
	c.missing = c.missing.Add(missing)
	c.servers++
}

// silent reports whether the data centre that was last heard at a time is silent.
func (c *centreSum) silent(p agatesilence.Policy, heard time.Duration) bool {
	return c.servers > 1 && c.missing.Flows >= p.Confirm && c.missing.Firm >= p.Firm && c.missing.Since > heard
}

// unreachable reports whether a server's data centre cannot be reached.
func (s *Steerer) unreachable(each *server) bool {
	return each.instance.Centre != s.centre && s.centreOf(each).silent
}

// centreDue reports whether a server of another data centre may be given a new
// flow as a trial.
func (s *Steerer) centreDue(each *server, now time.Duration) bool {
	return each.silence.Due(s.policy.Silence, len(s.statements), now) &&
		now-s.centreOf(each).tried >= s.policy.Silence.RetryMax
}

// settled reports whether a server's data centre has been silent for so long that
// an entry which has seen one of its servers live would have said so.
func (s *Steerer) settled(on *server, now time.Duration) bool {
	return now-s.centreOf(on).since >= s.policy.Silence.Settle
}

// dead reports whether the open flows of a server should be given up.
func (s *Steerer) dead(on *server, now time.Duration) bool {
	if now < s.blind {
		return false
	}
	if on.silence.Confirmed(s.policy.Silence, now) {
		return true
	}
	missing := on.silence.Missing()
	return s.unreachable(on) && s.settled(on, now) && missing.Flows > 0 && now-on.silence.LastHeard() >= s.policy.Silence.Patience
}

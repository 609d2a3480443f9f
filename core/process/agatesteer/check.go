package agatesteer

import (
	"net/netip"
	"time"

	"agatereach/core/process/agatecheck"
	"agatereach/core/version/agateinstance"
)

// Doubt is why a check that found a server down proves nothing.
type Doubt string

// The doubts.
const (
	// NoDoubt means that there is none.
	NoDoubt Doubt = ""
	// AddressTaken means that another incarnation is registered at the address, or that
	// the server is no longer held.
	AddressTaken Doubt = "taken"
	// Rewritten means that the server's registration was written since the hint.
	Rewritten Doubt = "rewritten"
	// Leaving means that the server isn't registered as ready: it may have stopped to
	// listen and serve the flows that it has.
	Leaving Doubt = "leaving"
	// Untested means that neither the server nor, as far as that counts, another one of the
	// service is known to accept connections: they may refuse or drop them and serve callers.
	Untested Doubt = "untested"
	// Answered means that the server has answered callers too lately.
	Answered Doubt = "answered"
	// Lossy means that segments are lost on their way.
	Lossy Doubt = "lossy"
	// FewHints means that no caller of this entry has sent a request twice again.
	FewHints Doubt = "hints"
)

// Check is a finding on a server and what was made of it, for logs.
type Check struct {
	agatecheck.Finding
	// Address and Centre are those of the server.
	Address netip.AddrPort
	Centre  string
	// Doubt is why the finding changes nothing, or NoDoubt.
	Doubt Doubt
	// Reconsidered is whether the check was returned before with the doubt FewHints, or
	// before a further attempt at a closed server.
	Reconsidered bool
	// SinceAnswer is the time since the server last answered; 0 if it never did. SinceHint
	// and SinceBegun are the ages of the hint and the first attempt.
	SinceAnswer, SinceHint, SinceBegun time.Duration
}

// Confirmed reports whether the server is confirmed down.
func (c *Check) Confirmed() bool {
	return c.Doubt == NoDoubt && (c.Result == agatecheck.Closed || c.Result == agatecheck.Dark || c.Result == agatecheck.Replaced)
}

// maxLoggedChecks is the number of checks that are kept until TakeChecks is called.
const maxLoggedChecks = 64

// checkState is what checks have shown of a server. It exists from a hint on for as long as
// it matters.
type checkState struct {
	// touchedAt is when a hint, a result or a report of another entry last came.
	touchedAt time.Duration
	// writtenAt is when a record of the server with a new position was last learnt; 0 if
	// there was none since the first hint.
	writtenAt time.Duration
	// acceptedAt is when the last attempt began that was accepted; 0 for never.
	acceptedAt time.Duration
	// unproven is the last finding of Dark that lacked only hints; its Result is empty if
	// there is none.
	unproven agatecheck.Finding
	// again is whether the server is to be checked again while flows wait for it, since
	// a doubt may have passed by then or the check was discarded.
	again bool
	// lossy is whether the last check ended with the doubt Lossy.
	lossy bool
	// untestedUntil is the time before which the server isn't checked again, since its last
	// checks ended with the doubt Untested, and untestedDelay the last wait of that kind.
	untestedUntil, untestedDelay time.Duration
	// downSince is when the check began that confirmed the server down, checkedAt when it
	// ended, and downUntil the time until which it is confirmed; 0 if it isn't.
	downSince, checkedAt, downUntil time.Duration
	// brief is whether that check found the server closed by refusals of too short a time to
	// reset its flows.
	brief bool
	// result is what that check found.
	result agatecheck.Result
	// peerDownSince is when a check of another entry ended that confirmed the server down,
	// and peerDownUntil the time until which it counts; 0 if there is none.
	peerDownSince, peerDownUntil time.Duration
}

// down reports whether the server gets no new flows because it is confirmed down.
func (c *checkState) down(now time.Duration) bool {
	return c != nil && (now < c.downUntil || now < c.peerDownUntil)
}

// confirmed reports whether a check of this entry has confirmed that the server is down.
func (c *checkState) confirmed(now time.Duration) bool { return c != nil && now < c.downUntil }

// resets reports whether flows of the server with an unanswered request are reset.
func (c *checkState) resets(now time.Duration) bool { return c.confirmed(now) && !c.brief }

// recordSign ends the confirmations by checks that a sign of life at the given time
// contradicts.
func (c *checkState) recordSign(at time.Duration) {
	if c == nil {
		return
	}
	if at > c.downSince {
		c.downUntil = 0
	}
	if at > c.peerDownSince {
		c.peerDownUntil = 0
	}
}

// recordWrite records that the server's registration was written.
func (c *checkState) recordWrite(now time.Duration) {
	if c != nil {
		c.writtenAt = now
		c.recordSign(now)
		c.unproven = agatecheck.Finding{}
	}
}

// stateOfChecks returns the state of a server's checks, which it creates if need be.
func (s *Steerer) stateOfChecks(srv *server, now time.Duration) *checkState {
	if srv.check == nil {
		srv.check = &checkState{}
		s.activeServers[srv] = struct{}{}
	}
	srv.check.touchedAt = now
	return srv.check
}

// hint asks for a check of a server that has left something unanswered, unless it has been
// confirmed down lately: checks are few when many servers fall silent together.
func (s *Steerer) hint(srv *server, now time.Duration) {
	state := s.stateOfChecks(srv, now)
	if state.downUntil-now > s.policy.ConfirmationTime/2 && !state.brief || now < state.untestedUntil {
		return
	}
	waiting := len(srv.pendingFlows)
	if !s.listens(srv) {
		// Checks of servers that take no connections prove nothing: others come first.
		waiting = 0
	}
	s.checks.Hint(srv.instance.Key, waiting, now)
}

// Attempts returns the connections to open now. Their outcomes are passed to RecordAttempt.
func (s *Steerer) Attempts(now time.Duration) []agatecheck.Attempt {
	if s.checks.Idle() || now < s.ignoreRetransmitsUntil {
		return nil
	}
	attempts := s.checks.Next(now, func(key agateinstance.Key) (agateinstance.Key, bool) { return s.controlFor(key, now) })
	for i := range attempts {
		attempts[i].HealthPath = s.identityPath(attempts[i].Server, now)
	}
	return attempts
}

// identityPath returns the path of a server's health endpoint if it is to be asked who
// listens at the address, and an empty path otherwise. The request takes a slot of the
// server for a moment, so it is made only while a caller has sent a request twice again.
func (s *Steerer) identityPath(key agateinstance.Key, now time.Duration) string {
	srv := s.servers[key]
	if srv == nil || !s.enoughHints(srv, now) {
		return ""
	}
	profile, _ := s.catalog.Profile(srv.instance.Service)
	return profile.HealthPath
}

// maxControlSample is the number of servers of each service that are looked at for a control
// connection if none has answered lately: at 20 data centres some 25 of the right one.
const maxControlSample = 512

// controlFor returns the server for a control connection beside a check: of those of the
// same data centre the one that has answered this entry last, if it has within
// policy.ControlAge, or else any that isn't in doubt. Servers at other machines come first,
// since one of the same machine says nothing about silence, then those of the same service.
func (s *Steerer) controlFor(key agateinstance.Key, now time.Duration) (agateinstance.Key, bool) {
	target := s.servers[key]
	if target == nil {
		return agateinstance.Key{}, false
	}
	eligible := func(each *server) bool {
		return each != target && each.instance.Centre == target.instance.Centre && each.instance.State == agateinstance.Ready &&
			each.instance.Address != target.instance.Address && !each.check.down(now)
	}
	var best *server
	better := func(each *server) bool {
		if best == nil {
			return true
		}
		elsewhere, bestElsewhere := each.instance.Address.IP != target.instance.Address.IP, best.instance.Address.IP != target.instance.Address.IP
		if elsewhere != bestElsewhere {
			return elsewhere
		}
		same, bestSame := each.instance.Service == target.instance.Service, best.instance.Service == target.instance.Service
		if same != bestSame {
			return same
		}
		return each.silence.LastLocalAnswer() > best.silence.LastLocalAnswer()
	}
	for each := range s.activeServers {
		if last := each.silence.LastLocalAnswer(); last > 0 && now-last <= s.policy.ControlAge && eligible(each) && better(each) {
			best = each
		}
	}
	if best != nil {
		return best.instance.Key, true
	}
	for _, all := range s.readyServers {
		start := int(s.random() * float64(len(all)))
		for i := range min(len(all), maxControlSample) {
			each := all[(start+i)%len(all)]
			if eligible(each) && !each.silence.Suspected(s.policy.Silence) && better(each) {
				best = each
			}
		}
	}
	if best == nil {
		return agateinstance.Key{}, false
	}
	return best.instance.Key, true
}

// RecordAttempt processes the outcome of an attempt and returns the flows to reset. The
// times of the report are of the steerer's clock.
func (s *Steerer) RecordAttempt(report agatecheck.Report, now time.Duration) []Verdict {
	for _, f := range s.checks.Report(report) {
		s.takeFinding(f, f.Repeated, now)
	}
	return s.TakeResets(now)
}

// TakeResets returns the flows to reset since servers were confirmed down after the last
// call: those with an unanswered request, whatever the kind of requests, since nothing will
// answer them.
func (s *Steerer) TakeResets(now time.Duration) []Verdict {
	if len(s.downServers) == 0 {
		return nil
	}
	var resets []Verdict
	for _, srv := range s.downServers {
		for f := range srv.pendingFlows {
			if srv.check.resets(now) && unanswered(f, 1, now) {
				v := s.reset(f, Checked)
				s.addEvidence(&v, now)
				resets = append(resets, v)
			}
		}
	}
	s.downServers = s.downServers[:0]
	return resets
}

// TakeChecks returns the checks that have ended since the last call, maxLoggedChecks at
// most.
func (s *Steerer) TakeChecks() []Check {
	ended := s.endedChecks
	s.endedChecks = nil
	return ended
}

// takeFinding applies the result of a check. reconsidered is whether it was applied before.
func (s *Steerer) takeFinding(f agatecheck.Finding, reconsidered bool, now time.Duration) {
	if f.ControlAccepted {
		s.recordListening(f.Control, now)
	}
	if f.Result == agatecheck.Alive {
		s.recordListening(f.Server, now)
	}
	c := Check{Finding: f, Reconsidered: reconsidered, SinceHint: now - f.HintAt}
	if f.Began > 0 {
		c.SinceBegun = now - f.Began
	}
	srv := s.servers[f.Server]
	c.Address = f.Server.Address.AddrPort()
	if srv == nil || s.addressTaken(srv) && f.Result != agatecheck.Replaced {
		c.Doubt = AddressTaken
	} else {
		c.Centre = srv.instance.Centre
		if last := srv.silence.LastAnswer(); last > 0 {
			c.SinceAnswer = now - last
		}
		s.judge(srv, &c, now)
	}
	if len(s.endedChecks) < maxLoggedChecks {
		s.endedChecks = append(s.endedChecks, c)
	}
}

// recordListening records that a server has accepted a connection, unless another
// incarnation is registered at its address and may have accepted it.
func (s *Steerer) recordListening(key agateinstance.Key, now time.Duration) {
	if srv := s.servers[key]; srv != nil && !s.addressTaken(srv) {
		srv.listener.accepted = true
		s.listening[srv.instance.Service] = now
	}
}

// listens reports whether a server of the same service has accepted a connection.
func (s *Steerer) listens(srv *server) bool {
	_, ok := s.listening[srv.instance.Service]
	return ok
}

// listenerState is what attempts have shown of an incarnation's listener. It is kept for as
// long as the incarnation is registered.
type listenerState struct {
	// accepted is whether it has accepted a connection.
	accepted bool
	// refusedAt is when it first refused one; 0 for never.
	refusedAt time.Duration
	// untested is whether it refused while neither it nor its service was known to accept
	// connections.
	untested bool
	// unneeded is whether it answered a caller after it had refused a connection: it serves
	// callers without a listener.
	unneeded bool
}

// recordAnswer records that the server has answered a caller. An answer that was on its way
// when the server refused arrives within the given time.
func (l *listenerState) recordAnswer(now, transit time.Duration) {
	if l.refusedAt > 0 && now-l.refusedAt > transit {
		l.unneeded = true
	}
}

// refusalProves reports whether a refusal shows that the server has ended: it has accepted a
// connection itself, or, if it was not asked before, another server of its service has lately.
func (s *Steerer) refusalProves(srv *server, now time.Duration) bool {
	switch {
	case srv.listener.unneeded:
		return false
	case srv.listener.accepted:
		return true
	case srv.listener.untested:
		return false
	}
	at, ok := s.listening[srv.instance.Service]
	return ok && now-at <= s.policy.ListeningTime
}

// addressTaken reports whether another incarnation is registered at a server's address.
func (s *Steerer) addressTaken(srv *server) bool {
	if s.catalog.Successor(srv.instance).Key != srv.instance.Key {
		return true
	}
	others := int(s.readyAddresses[srv.instance.Address])
	if srv.instance.State == agateinstance.Ready && srv.token != 0 {
		others--
	}
	return others > 0
}

// judge applies a finding on a server whose address is its own, and sets its doubt.
func (s *Steerer) judge(srv *server, c *Check, now time.Duration) {
	state := s.stateOfChecks(srv, now)
	state.again, state.lossy = false, false
	if c.RefusedAt > 0 && srv.listener.refusedAt == 0 {
		srv.listener.refusedAt = c.RefusedAt
	}
	switch c.Result {
	case agatecheck.Alive:
		state.backOff(false, s.policy, now)
		state.acceptedAt = c.Began
		state.unproven = agatecheck.Finding{}
		state.recordSign(c.Ended)
		return
	case agatecheck.None:
		state.again = true
		return
	}
	c.Doubt = s.doubt(srv, c.Finding, now)
	if c.Doubt == Untested && c.Result == agatecheck.Closed {
		srv.listener.untested = true
	}
	state.lossy = c.Doubt == Lossy
	switch c.Doubt {
	case Answered, FewHints, Rewritten, Untested, Lossy:
		state.again = true
	}
	state.backOff(c.Doubt == Untested, s.policy, now)
	state.unproven = agatecheck.Finding{}
	if c.Doubt == FewHints {
		state.unproven = c.Finding
	}
	if c.Doubt == NoDoubt {
		s.confirmDown(srv, c.Finding, now)
	}
}

// backOff sets how long the server isn't checked again. The wait doubles with each check that
// ends untested.
func (c *checkState) backOff(untested bool, p Policy, now time.Duration) {
	if !untested {
		c.untestedDelay, c.untestedUntil = 0, 0
		return
	}
	c.untestedDelay = min(max(2*c.untestedDelay, p.MinUntestedDelay), p.MaxUntestedDelay)
	c.untestedUntil = now + c.untestedDelay
}

// doubt returns why a server that a check found down isn't confirmed down.
func (s *Steerer) doubt(srv *server, f agatecheck.Finding, now time.Duration) Doubt {
	switch {
	case now < s.ignoreRetransmitsUntil || f.Began <= s.laggedAt:
		return Lossy
	case srv.check.writtenAt >= f.HintAt && srv.check.writtenAt > 0:
		return Rewritten
	case srv.silence.LastAnswer() >= f.Began:
		return Answered
	case f.Result == agatecheck.Replaced:
		return NoDoubt
	case f.Result == agatecheck.Closed && srv.instance.State != agateinstance.Ready:
		return Leaving
	case f.Result == agatecheck.Closed && !s.refusalProves(srv, now), f.Result == agatecheck.Dark && !s.listens(srv):
		return Untested
	case f.Result == agatecheck.Closed:
		return NoDoubt
	case now < s.lossyUntil:
		return Lossy
	case srv.silence.LastAnswer() > 0 && srv.silence.LastAnswer() >= f.Began-s.policy.QuietTime:
		// A server whose queue of new connections is full drops the attempts, and
		// answers the flows that it has. What other entries have reported counts as
		// well: this one's callers may all be cut off.
		return Answered
	case !s.enoughHints(srv, now):
		return FewHints
	}
	return NoDoubt
}

// enoughHints reports whether a caller of this entry has sent a request to the server twice
// again and still waits. A SYN or a single copy doesn't count, of however many callers: a
// server whose queue of new connections is full leaves SYNs and attempts unanswered, and a
// slow one acknowledges a request only once it comes again.
func (s *Steerer) enoughHints(srv *server, now time.Duration) bool {
	for f := range srv.pendingFlows {
		if unanswered(f, firmRetransmits, now) {
			return true
		}
	}
	return false
}

// confirmDown records that a server is down. TakeResets returns its flows, for a closed server
// once a further attempt has been refused: one that leaves may close its listener shortly
// before its registration says so.
func (s *Steerer) confirmDown(srv *server, f agatecheck.Finding, now time.Duration) {
	state := s.stateOfChecks(srv, now)
	state.brief = f.Result == agatecheck.Closed && f.Ended-f.RefusedAt < s.policy.ClosedTime && !state.resets(now)
	if state.brief {
		s.checks.Repeat(f, f.RefusedAt+s.policy.ClosedTime, now)
	}
	s.urgentNews = s.urgentNews || !state.confirmed(now)
	state.result, state.downSince, state.checkedAt = f.Result, f.Began, f.Ended
	state.downUntil = f.Ended + s.policy.ConfirmationTime
	state.unproven = agatecheck.Finding{}
	s.downServers = append(s.downServers, srv)
}

// reconsider confirms a server down whose last check lacked only the hint that has come, and
// drops that check once it is too old.
func (s *Steerer) reconsider(srv *server, now time.Duration) {
	state := srv.check
	if state == nil || state.unproven.Result == "" {
		return
	}
	if now-state.unproven.Ended > s.policy.FindingTime {
		state.unproven = agatecheck.Finding{}
		return
	}
	if s.doubt(srv, state.unproven, now) == NoDoubt {
		s.takeFinding(state.unproven, true, now)
	}
}

// updateChecks does the periodic work of a server's checks: it asks for another one while
// flows wait, and drops the state that no longer matters.
func (s *Steerer) updateChecks(srv *server, now time.Duration) {
	state := srv.check
	if state == nil {
		return
	}
	s.reconsider(srv, now)
	doubtful := now-srv.silence.LastAnswer() <= s.policy.QuietTime || now < s.ignoreRetransmitsUntil || state.lossy && now < s.lossyUntil
	if state.again && state.unproven.Result == "" && !doubtful {
		for f := range srv.pendingFlows {
			if unanswered(f, 1, now) {
				s.hint(srv, now)
				break
			}
		}
	}
	evidence := srv.silence.LocalEvidence().Flows > 0 || len(srv.suspicions) > 0
	if !evidence && !state.down(now) && now >= state.untestedUntil && now-state.touchedAt > s.policy.ConfirmationTime {
		srv.check = nil
	}
}

// suspected reports whether a server should get no new flows because it has left several
// unanswered since it last answered or accepted a check.
func (s *Steerer) suspected(srv *server) bool {
	if !srv.silence.Suspected(s.policy.Silence) {
		return false
	}
	if srv.check == nil || srv.check.acceptedAt == 0 {
		return true
	}
	return srv.evidenceAfter(srv.check.acceptedAt).Flows >= s.policy.Silence.SuspectFlows
}

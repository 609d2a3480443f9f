package agatesteer

import (
	"slices"
	"time"

	"agatereach/core/connection/agatetrack"
	"agatereach/core/process/agatesilence"
	"agatereach/core/request/agatetuple"
	"agatereach/core/version/agatevip"
)

// recordEvent updates the counts and the evidence of the flow's server from a
// segment.
func (s *Steerer) recordEvent(f *flow, event agatetrack.Event, now time.Duration) {
	srv := f.State.server
	if srv == nil {
		return
	}
	s.activeServers[srv] = struct{}{}
	if event.Answered {
		s.recordFirstAnswer(srv, now)
		s.endSilence(srv, now)
		srv.silence.RecordLocalAnswer(now)
		s.recordCentreAnswer(srv, now)
		srv.check.recordSign(now)
		srv.listener.recordAnswer(now, s.policy.MinRetransmitDelay)
		s.discardUnanswered(f)
	}
	if event.ExchangeSince > 0 {
		srv.exchangeSince = max(srv.exchangeSince, event.ExchangeSince)
		s.recordLosses(srv, now)
		s.recordExchange(f, event.ExchangeSince, now)
	}
	if event.Unanswered {
		s.recordUnanswered(f, event, now)
	}
	s.updateCounts(f)
	u := f.State.stats
	if u == nil {
		return
	}
	if event.Opened {
		u.recentFlows++
	}
	short := event.Responded && s.recordAnswerSize(f, u, event, now)
	if event.ExchangeSince > 0 {
		s.recordSpeed(f, now-event.ExchangeSince, event.Responded, short, now)
	}
	if event.Requested {
		u.recentRequests++
		f.State.alone = s.alone(srv, now)
		f.State.lost = false
	}
}

// recordAnswerSize adds the size of an answer to the evidence on its server, and reports
// whether it is short. Only servers that aren't considered failing contribute to the usual
// size.
func (s *Steerer) recordAnswerSize(f *flow, u *vipStats, event agatetrack.Event, now time.Duration) bool {
	srv, size, p := f.State.server, event.ResponseSize, s.policy.Answers
	short, score := u.usualAnswers.IsShort(size, p), u.usualAnswers.Score(size, p)
	s.recordOutcome(f, u, event.ExchangeSince, now, score)
	failing := srv.totalFailureEvidence().IsFailing(p)
	srv.failureEvidence = srv.failureEvidence.Add(score, p)
	if !failing {
		u.usualAnswers.Observe(size, p)
	}
	return short
}

// firmRetransmits is the number of retransmissions of a flow from which on it is
// firm evidence against its server.
const firmRetransmits = 2

// recordUnanswered records a retransmission as evidence against the flow's server.
// A SYN that went to several servers counts against the last one only. It is no
// evidence if this entry was behind with its packets.
func (s *Steerer) recordUnanswered(f *flow, event agatetrack.Event, now time.Duration) {
	if now < s.ignoreRetransmitsUntil {
		s.discardUnanswered(f)
		return
	}
	firm := f.Phase == agatetrack.Opening || f.Retransmits >= firmRetransmits
	if f.Phase == agatetrack.Open {
		s.addUnanswered(f)
		s.recordLoss(f, now)
	}
	srv := f.State.server
	before := srv.silence.LocalEvidence()
	srv.silence.RecordUnanswered(f.Tuple.Hash(), event.UnansweredSince, now, firm)
	after := srv.silence.LocalEvidence()
	s.recordWitness(f, now)
	s.urgentNews = s.urgentNews || after.Flows <= s.policy.Silence.CentreFlows && (after.Flows > before.Flows || after.Firm > before.Firm)
	s.reconsider(srv, now)
	s.hint(srv, now)
}

// recordLoss records whether an unanswered flow shows that segments are lost between
// the entry, the server and the caller: it has sent a segment at least twice again,
// while the server answered what it got from others after the first copy. An interrupted
// path concerns several servers, so what is known of one casts doubt on all evidence.
func (s *Steerer) recordLoss(f *flow, now time.Duration) {
	if f.Retransmits >= firmRetransmits && f.State.server.exchangeSince >= f.FirstCopyAt {
		s.lossyUntil = max(s.lossyUntil, now+s.policy.LossGrace, f.NextCopyBy)
	}
}

// recordLosses records whether an answer of the server shows that segments of its
// unanswered flows are lost.
func (s *Steerer) recordLosses(srv *server, now time.Duration) {
	if len(s.unanswered) == 0 {
		return
	}
	for f := range srv.pendingFlows {
		s.recordLoss(f, now)
	}
}

// recordWitness records the caller of an unanswered flow as a witness against the flow's
// server if it is one.
func (s *Steerer) recordWitness(f *flow, now time.Duration) {
	if !unanswered(f, firmRetransmits, now) {
		return
	}
	if f.State.server.silence.RecordWitness(f.Tuple.Hash(), f.Tuple.Source, f.SentAt, now, f.NextCopyBy, f.State.overtaken) {
		s.urgentNews = true
	}
}

// recordExchange records that a caller has received an answer to what it sent on a flow
// at the given time. If the flow's server had been sent a copy of another flow before
// that, and is in order, its acknowledgement would have come as well. An answer that took
// long says little, since the way to the caller may have been interrupted until it came.
func (s *Steerer) recordExchange(f *flow, since, now time.Duration) {
	if now-since > s.policy.MinRetransmitDelay {
		return
	}
	for _, each := range s.unanswered[f.Tuple.Source] {
		if srv := each.State.server; srv != nil && srv != f.State.server && each.FirstCopyAt <= since {
			each.State.overtaken = true
			s.recordWitness(each, now)
		}
	}
}

// maxUnansweredFlows is the number of unanswered flows of a caller that may make it a
// reliable witness. Each exchange of the caller goes through them.
const maxUnansweredFlows = 16

// addUnanswered adds a flow to those with an unanswered request that was sent again.
func (s *Steerer) addUnanswered(f *flow) {
	caller := agatesilence.Caller(f.Tuple.Source)
	if all := s.unanswered[caller]; len(all) < maxUnansweredFlows && !slices.Contains(all, f) {
		s.unanswered[caller] = append(all, f)
	}
}

// discardUnanswered discards the evidence that a flow is, and removes it from those
// with an unanswered request.
func (s *Steerer) discardUnanswered(f *flow) {
	f.Retransmits = 0
	f.State.overtaken = false
	caller := agatesilence.Caller(f.Tuple.Source)
	all, ok := s.unanswered[caller]
	if !ok {
		return
	}
	all = slices.DeleteFunc(all, func(o *flow) bool { return o == f })
	if len(all) == 0 {
		delete(s.unanswered, caller)
		return
	}
	s.unanswered[caller] = all
}

// TakeUrgent reports whether there is evidence since the last call that other
// entries should get at once, such as a server that left a flow unanswered.
func (s *Steerer) TakeUrgent() bool {
	urgent := s.urgentNews
	s.urgentNews = false
	return urgent
}

// assign assigns a flow to a server, or to none if to is nil. What the former server
// left unanswered is no evidence on it.
func (s *Steerer) assign(f *flow, to *server) {
	s.removeCounts(f)
	if f.State.server != to {
		s.discardUnanswered(f)
	}
	f.State.server = to
	if to != nil {
		s.activeServers[to] = struct{}{}
	}
	s.updateCounts(f)
}

// updateCounts brings the counts of the flow's server up to date with the flow.
func (s *Steerer) updateCounts(f *flow) {
	srv := f.State.server
	if srv == nil {
		return
	}
	if f.State.countedPhase != f.Phase {
		s.uncountPhase(f)
		s.countPhase(f)
	}
	_, counted := srv.pendingFlows[f]
	pending := f.RequestPending && f.Phase == agatetrack.Open
	if pending == counted {
		return
	}
	if pending {
		srv.pendingFlows = addToSet(srv.pendingFlows, f)
	} else {
		delete(srv.pendingFlows, f)
	}
	s.addVIPCounts(f, 0, countChange(pending))
}

// addToSet returns the set with f added. It allocates the set if need be: most
// servers never need one.
func addToSet(set map[*flow]struct{}, f *flow) map[*flow]struct{} {
	if set == nil {
		set = make(map[*flow]struct{})
	}
	set[f] = struct{}{}
	return set
}

// countChange returns 1 for an increment and -1 for a decrement.
func countChange(more bool) int {
	if more {
		return 1
	}
	return -1
}

// addVIPCounts adds to the counts of the flow's virtual address.
func (s *Steerer) addVIPCounts(f *flow, open, pending int) {
	if u := f.State.stats; u != nil {
		u.openFlows += open
		u.pendingFlows += pending
	}
}

// countPhase counts a flow in its current phase.
func (s *Steerer) countPhase(f *flow) {
	f.State.countedPhase = f.Phase
	switch f.Phase {
	case agatetrack.Opening:
		f.State.server.handshakes = addToSet(f.State.server.handshakes, f)
	case agatetrack.Open:
		f.State.server.openFlows++
		s.addVIPCounts(f, 1, 0)
	}
}

// uncountPhase removes a flow from the count of the phase that it is counted
// in.
func (s *Steerer) uncountPhase(f *flow) {
	switch f.State.countedPhase {
	case agatetrack.Opening:
		delete(f.State.server.handshakes, f)
	case agatetrack.Open:
		f.State.server.openFlows--
		s.addVIPCounts(f, -1, 0)
	}
	f.State.countedPhase = ""
}

// removeCounts removes a flow from all counts.
func (s *Steerer) removeCounts(f *flow) {
	srv := f.State.server
	if srv == nil {
		return
	}
	if _, counted := srv.pendingFlows[f]; counted {
		delete(srv.pendingFlows, f)
		s.addVIPCounts(f, 0, -1)
	}
	s.uncountPhase(f)
}

// release removes a flow that is no longer tracked from all counts.
func (s *Steerer) release(f *flow) {
	s.discardUnanswered(f)
	s.removeCounts(f)
}

// statsFor returns the statistics of the flow's virtual address, or nil if the
// configuration doesn't contain it.
func (s *Steerer) statsFor(flow agatetuple.Tuple) *vipStats {
	vip, ok := s.catalog.VIP(flow.Service())
	if !ok {
		return nil
	}
	return s.statsOf(vip)
}

// statsOf returns the statistics of a virtual address.
func (s *Steerer) statsOf(vip agatevip.VIP) *vipStats {
	known, ok := s.vipStats[vip.Name]
	if !ok {
		known = &vipStats{}
		known.setLimits(vip)
		s.vipStats[vip.Name] = known
	}
	return known
}

// RecordLag records that the entry is behind with its packets. Callers then
// retransmit because of the entry itself, and answers may be acknowledged in
// packets that it hasn't read yet.
func (s *Steerer) RecordLag(now time.Duration) {
	s.ignoreRetransmitsUntil = now + s.policy.LagGrace
	s.laggedAt = now
	for _, key := range s.checks.Discard() {
		if srv := s.servers[key]; srv != nil {
			s.stateOfChecks(srv, now).again = true
		}
	}
}

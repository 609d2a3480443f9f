package agatesteer

import (
	"maps"
	"math"
	"slices"
	"time"

	"agatereach/core/process/agateanswer"
	"agatereach/core/process/agatecheck"
	"agatereach/core/process/agatesilence"
	"agatereach/core/process/agateusual"
	"agatereach/core/request/agateload"
	"agatereach/core/version/agatecatalog"
)

// serverLoad is the load of one server in a report of another entry.
type serverLoad struct {
	server *server
	load   agateload.Load
}

// peerReport is the last complete report of another entry.
type peerReport struct {
	receivedAt time.Duration
	// interval is the time since the previous report; 0 for the first.
	interval time.Duration
	// weight is the weight of its pending requests, from minReportWeight to 1.
	weight float64
	// number identifies the entry in views of servers' speeds.
	number uint32
	loads  []serverLoad
}

// Loads returns what other entries should know about servers: the load from
// this entry, and the evidence on servers that are or were suspected.
func (s *Steerer) Loads(now time.Duration) []agateload.Load {
	var loads []agateload.Load
	least, told := s.leastToldWeight(), 0
	for each := range s.activeServers {
		load, ok := s.sharedLoad(each, told < maxToldSpeeds && each.speed.ownWeight() >= least, now)
		each.corrections = max(each.corrections-1, 0)
		if ok {
			loads = append(loads, load)
		}
		if load.SpeedWeight > 0 {
			told++
		}
	}
	return loads
}

// Suspicions returns the loads of the servers that left flows unanswered, and
// of those that other entries suspect wrongly.
func (s *Steerer) Suspicions(now time.Duration) []agateload.Load {
	var loads []agateload.Load
	for each := range s.activeServers {
		if each.silence.LocalEvidence().Flows == 0 && !each.wronglySuspected && !each.check.confirmed(now) {
			continue
		}
		each.wronglySuspected = false
		if load, ok := s.sharedLoad(each, false, now); ok {
			loads = append(loads, load)
		}
	}
	return loads
}

// minReportedPending is the smallest average number of requests in progress
// that is reported.
const minReportedPending = 0.05

// sharedLoad returns what other entries should know of a server. If the server's whole data
// centre seems silent, the path from here may be interrupted, and so it may be if segments
// to other servers are lost: then no caller is a witness for other entries.
func (s *Steerer) sharedLoad(each *server, tellSpeed bool, now time.Duration) (agateload.Load, bool) {
	load, ok := each.localLoad(&s.policy, tellSpeed, now)
	if s.centreUnreachable(each) || now < s.lossyUntil {
		load.Witness = 0
	}
	if profile, _ := s.catalog.Profile(each.instance.Service); profile.ColdRate > 0 {
		load.FirmHandshakes = uint8(max(int(load.Firm)-each.silence.RequestEvidence(0).Firm, 0))
	}
	return load, ok
}

// localLoad returns what this entry has seen of a server. It returns false if
// other entries needn't know. tellSpeed is whether they should know its speed.
func (s *server) localLoad(p *Policy, tellSpeed bool, now time.Duration) (agateload.Load, bool) {
	missed := s.silence.LocalEvidence()
	suspected := missed.Flows > 0 || len(s.suspicions) > 0 || s.check.confirmed(now)
	failing := s.failureEvidence.ShouldReport(p.Answers)
	if s.token == 0 || s.meanPending < minReportedPending && s.openFlows == 0 && !suspected && !failing && !tellSpeed && s.corrections == 0 {
		return agateload.Load{}, false
	}
	load := agateload.Load{
		Token:           s.token,
		Pending:         uint16(min(s.meanPending*agateload.PendingUnit, math.MaxUint16)),
		Open:            uint16(min(s.openFlows, math.MaxUint16)),
		UnansweredFlows: uint8(missed.Flows),
		Firm:            uint8(missed.Firm),
		Witness:         s.reliableWitness(now),
	}
	if tellSpeed {
		load.Speed, load.SpeedWeight = s.speed.own.Encode()
	}
	if failing {
		load.FailureEvidence = agateload.EncodeEvidence(float64(s.failureEvidence))
	}
	if last := s.silence.LastLocalAnswer(); last > 0 && (suspected || s.corrections > 0) {
		load.SinceAnswer = agateload.EncodeAge(now - last)
	}
	if missed.Flows > 0 {
		load.UnansweredFor = agateload.EncodeAge(now - missed.Since)
	} else if s.corrections > 0 {
		load.UnansweredFor = agateload.EncodeAge(now - s.firstAnswer)
	}
	if s.check.confirmed(now) {
		load.Check = checkCodes[s.check.result]
		load.CheckAge = agateload.EncodeAge(now - s.check.checkedAt)
	}
	return load, true
}

// reliableWitness returns the number of a reliable witness against the server, or 0 if
// there is none.
func (s *server) reliableWitness(now time.Duration) uint32 {
	for caller, reliable := range s.silence.Witnesses(s.silence.LastAnswer(), now) {
		if reliable {
			return caller.Number()
		}
	}
	return 0
}

// Report processes the loads that another entry reports. A partial report adds
// to those before; a complete one replaces the entry's last complete report.
func (s *Steerer) Report(from string, loads []agateload.Load, partial bool, now time.Duration) {
	report := peerReport{receivedAt: now, weight: 1}
	if !partial {
		if before, ok := s.peerReports[from]; ok {
			report.interval, report.number = now-before.receivedAt, before.number
		} else {
			s.lastReporter++
			report.number = s.lastReporter
		}
		if at, ok := s.lastReports[from]; ok {
			report.weight = reportWeight(now - at)
		}
		s.lastReports[from] = now
		s.removePeerReport(from)
		s.removeSuspicions(from)
	}
	for _, load := range loads {
		instance, found := s.catalog.Find(load.Token)
		srv := s.servers[instance.Key]
		if found != agatecatalog.Found || srv == nil {
			continue
		}
		s.activeServers[srv] = struct{}{}
		s.applyPeerLoad(srv, from, load, now)
		if !partial {
			srv.peerLoad.add(load, 1, report.weight)
			if load.SpeedWeight > 0 {
				srv.speedState().add(report.number, load)
				s.markSpeedStale(srv)
			}
			report.loads = append(report.loads, serverLoad{server: srv, load: load})
		}
	}
	if !partial {
		s.peerReports[from] = report
	}
}

// applyPeerLoad updates the evidence on whether a server answers from another
// entry's report.
func (s *Steerer) applyPeerLoad(srv *server, from string, load agateload.Load, now time.Duration) {
	if load.SinceAnswer > 0 {
		at := now - agateload.DecodeAge(load.SinceAnswer) - s.policy.Transit
		first := at
		if load.UnansweredFlows == 0 && load.UnansweredFor > 0 {
			first = min(at, now-agateload.DecodeAge(load.UnansweredFor)-s.policy.Transit)
		}
		// Without an answer that ends the silence, the last one does.
		s.endSilence(srv, first)
		s.endSilence(srv, at)
		srv.silence.RecordAnswer(at)
		s.recordCentreAnswer(srv, at)
		srv.check.recordSign(at)
	}
	if load.Check != agateload.NoCheck {
		s.applyPeerCheck(srv, load, now)
	}
	if load.UnansweredFlows > 0 {
		since := now - agateload.DecodeAge(load.UnansweredFor)
		if srv.suspicions == nil {
			srv.suspicions = make(map[string]suspicion)
		}
		srv.suspicions[from] = suspicion{
			Evidence:       agatesilence.Evidence{Flows: int(load.UnansweredFlows), Firm: int(load.Firm), Since: since},
			firmHandshakes: int(load.FirmHandshakes), receivedAt: now, reliable: load.Witness != 0, witness: agatesilence.CallerOf(load.Witness),
		}
		srv.sumSuspicions()
		if len(srv.pendingFlows) > 0 && srv.silence.Suspected(s.policy.Silence) && now >= s.ignoreRetransmitsUntil {
			s.hint(srv, now)
		}
		if srv.silence.LastLocalAnswer() > since {
			s.correct(srv, since)
		}
	}
}

// checkCodes are the results of checks in reports.
var checkCodes = map[agatecheck.Result]agateload.Check{agatecheck.Closed: agateload.Closed, agatecheck.Dark: agateload.Dark, agatecheck.Replaced: agateload.Replaced}

// applyPeerCheck leaves a server out for new flows that another entry has confirmed down,
// unless it has answered or its registration was written since. It is no evidence for resets.
func (s *Steerer) applyPeerCheck(srv *server, load agateload.Load, now time.Duration) {
	at := now - agateload.DecodeAge(load.CheckAge) - s.policy.Transit
	until := at + s.policy.ConfirmationTime
	if srv.silence.LastAnswer() >= at || now >= until {
		return
	}
	if state := srv.check; state != nil && (state.writtenAt >= at || state.acceptedAt >= at) && at > 0 {
		return
	}
	state := s.stateOfChecks(srv, now)
	state.peerDownSince = max(state.peerDownSince, at)
	state.peerDownUntil = max(state.peerDownUntil, until)
}

// reporters returns the number of other entries that have reported flows which the
// server has left unanswered since its last answer.
func (s *server) reporters() int {
	count := 0
	for _, each := range s.suspicions {
		if each.Since > s.silence.LastAnswer() {
			count++
		}
	}
	return count
}

// peerWitnesses returns the number of reliable witnesses that other entries have lately
// reported, each entry one at most, beside this entry's own ones.
func (s *server) peerWitnesses(p agatesilence.Policy, now time.Duration) int {
	var counted []agatesilence.Caller
	for caller := range s.silence.Witnesses(s.silence.LastAnswer(), now) {
		counted = append(counted, caller)
	}
	own := len(counted)
	for _, each := range s.suspicions {
		if !each.reliable || each.Since <= s.silence.LastAnswer() || now-each.receivedAt >= p.ReportLifetime {
			continue
		}
		if !slices.Contains(counted, each.witness) {
			counted = append(counted, each.witness)
		}
	}
	return len(counted) - own
}

// sumSuspicions passes the other entries' suspicions since the server's last
// answer to its silence detector.
func (s *server) sumSuspicions() {
	var sum agatesilence.Evidence
	for _, each := range s.suspicions {
		if each.Since > s.silence.LastAnswer() {
			sum = sum.Add(each.Evidence)
		}
	}
	s.silence.SetPeerEvidence(sum)
}

const (
	// freshInterval is the interval of reports up to which their pending requests count
	// in full, and minReportWeight is the least weight of those that come more rarely.
	// All entries know old loads and follow them at once: with reports each 10 s that
	// count in full, the share that goes to other data centres swings more than demand.
	freshInterval   = 2500 * time.Millisecond
	minReportWeight = 0.25
)

// reportWeight returns the weight of the pending requests in a report that came the given
// time after the one before.
func reportWeight(interval time.Duration) float64 {
	if interval <= freshInterval {
		return 1
	}
	return max(float64(freshInterval)/float64(interval), minReportWeight)
}

// add adds a load multiplied by sign, which is 1 or -1. weight is that of its pending
// requests.
func (r *peerLoad) add(load agateload.Load, sign, weight float64) {
	r.pending += sign * weight * float64(load.Pending) / agateload.PendingUnit
	r.openFlows += sign * float64(load.Open)
	r.failureEvidence += agateanswer.Evidence(sign * agateload.DecodeEvidence(load.FailureEvidence))
}

// removePeerReport discards the last report of another entry.
func (s *Steerer) removePeerReport(from string) {
	report, ok := s.peerReports[from]
	if !ok {
		return
	}
	delete(s.peerReports, from)
	for _, each := range report.loads {
		each.server.peerLoad.add(each.load, -1, report.weight)
		if each.load.SpeedWeight > 0 {
			each.server.speed.remove(report.number)
			s.markSpeedStale(each.server)
		}
		if _, suspected := each.server.suspicions[from]; suspected {
			delete(each.server.suspicions, from)
			each.server.sumSuspicions()
		}
	}
}

// removeSuspicions discards what another entry has told in partial reports of servers of
// services with a limit: a complete report repeats what still holds.
func (s *Steerer) removeSuspicions(from string) {
	for each := range s.activeServers {
		if _, suspected := each.suspicions[from]; !suspected {
			continue
		}
		if profile, _ := s.catalog.Profile(each.instance.Service); profile.ColdRate > 0 {
			delete(each.suspicions, from)
			each.sumSuspicions()
		}
	}
}

// toleratedLostReports is the number of consecutive reports of an entry that
// may be lost before its last one no longer counts.
const toleratedLostReports = 2

// maxReportAgeFactor limits how much longer than MinReportAge a report of an
// entry with a long interval counts.
const maxReportAgeFactor = 4

// maxReportInterval is the time for which it is known when an entry last reported. Reports
// in a data centre of 550 entries come each 52 s.
const maxReportInterval = 2 * time.Minute

// expirePeerReports discards the reports of entries that have stopped
// reporting. Entries of large data centres report less often.
func (s *Steerer) expirePeerReports(now time.Duration) {
	maps.DeleteFunc(s.lastReports, func(_ string, at time.Duration) bool { return now-at > maxReportInterval })
	for from, report := range s.peerReports {
		limit := (toleratedLostReports + 1) * report.interval
		if now-report.receivedAt > min(max(s.policy.MinReportAge, limit), maxReportAgeFactor*s.policy.MinReportAge) {
			s.removePeerReport(from)
		}
	}
}

// RecordCentre records that an entry of a data centre has sent something. A data
// centre that is cut off sends nothing, so the evidence from before doesn't count.
func (s *Steerer) RecordCentre(name string, now time.Duration) {
	if known, ok := s.centres[name]; ok {
		known.recordSign(now)
	}
}

// recordCentreAnswer records that a server of any data centre answered.
func (s *Steerer) recordCentreAnswer(srv *server, at time.Duration) {
	if srv.instance.Centre != s.centre {
		s.centreOf(srv).recordSign(at)
	}
}

// centreState is the state of another data centre as a whole.
type centreState struct {
	// lastSign is when any of its servers last answered or any of its entries was
	// last heard.
	lastSign time.Duration
	// silent is whether several of its servers have left flows unanswered since
	// lastSign.
	silent bool
	// cutSince is the time since which it has been silent with a reliable witness; 0
	// if it isn't.
	cutSince time.Duration
	// lastTrial is when one of its servers last got a trial flow.
	lastTrial time.Duration
	// roundTrip is the usual time of handshakes with its servers.
	roundTrip agateusual.Time
	// silentSince is the time since which open flows show that it is silent, 0 if it isn't, and
	// returnedAt when it last was no longer silent after a time in which its servers may
	// have restarted; returnedFrom is when that time began.
	silentSince, returnedAt, returnedFrom time.Duration
}

// trackSilence records since when the data centre has been silent, and when it returned
// after at least the given time. firm is whether open flows show the silence: servers that
// are full leave handshakes unanswered.
func (c *centreState) trackSilence(firm bool, restartTime, now time.Duration) {
	switch {
	case firm && c.silentSince == 0:
		c.silentSince = now
	case !c.silent && c.silentSince > 0:
		if now-c.silentSince >= restartTime {
			c.returnedAt, c.returnedFrom = now, c.silentSince
		}
		c.silentSince = 0
	}
}

// recordSign records that the data centre was reachable at the given time.
func (c *centreState) recordSign(at time.Duration) { c.lastSign = max(c.lastSign, at) }

// updateCentres determines which other data centres are unreachable. An
// interrupted connection affects all servers of a data centre at once, each
// with too few flows from here to be suspected by itself.
func (s *Steerer) updateCentres(now time.Duration) {
	sums := make(map[string]*centreSum)
	for each := range s.activeServers {
		if name := each.instance.Centre; name != s.centre {
			sum := sums[name]
			if sum == nil {
				sum = &centreSum{}
				sums[name] = sum
			}
			lastSign := s.centreByName(name).lastSign
			sum.add(each.evidenceAfter(lastSign))
			sum.firmRequests += each.requestEvidence(lastSign).Firm
			sum.addWitnesses(each, lastSign, now)
		}
	}
	for name, known := range s.centres {
		sum := sums[name]
		known.silent = sum != nil && sum.silent(s.policy.Silence)
		known.trackSilence(known.silent && sum.firmRequests >= s.policy.Silence.FirmFlows, s.policy.RestartTime, now)
		switch {
		case sum == nil || !sum.cut(s.policy.Silence):
			known.cutSince = 0
		case known.cutSince == 0:
			known.cutSince = now
		}
	}
}

// centreByName returns the state of another data centre.
func (s *Steerer) centreByName(name string) *centreState {
	known, ok := s.centres[name]
	if !ok {
		known = &centreState{}
		s.centres[name] = known
	}
	return known
}

// centreOf returns the state of a server's data centre.
func (s *Steerer) centreOf(each *server) *centreState { return s.centreByName(each.instance.Centre) }

// evidenceAfter returns the evidence of this and other entries from segments sent
// after the given time and the server's last answer.
func (s *server) evidenceAfter(at time.Duration) agatesilence.Evidence {
	sum := s.silence.LocalEvidenceAfter(at)
	for _, each := range s.suspicions {
		if each.Since > max(at, s.silence.LastAnswer()) {
			sum = sum.Add(each.Evidence)
		}
	}
	return sum
}

// centreSum sums up the evidence on a data centre's servers.
type centreSum struct {
	// unanswered sums up the unanswered flows, and servers is the number of
	// servers with such flows.
	unanswered agatesilence.Evidence
	servers    int
	// firmRequests is the number of the firm ones that are open.
	firmRequests int
	// witnesses are this entry's, and reliable is whether any of them is.
	witnesses []agatesilence.Caller
	reliable  bool
}

// add adds the evidence on one server.
func (c *centreSum) add(missing agatesilence.Evidence) {
	if missing.Flows == 0 {
		return
	}
	c.unanswered = c.unanswered.Add(missing)
	c.servers++
}

// addWitnesses adds the witnesses against one server with segments sent after the given
// time.
func (c *centreSum) addWitnesses(each *server, after, now time.Duration) {
	for caller, reliable := range each.silence.Witnesses(max(after, each.silence.LastAnswer()), now) {
		c.reliable = c.reliable || reliable
		if !slices.Contains(c.witnesses, caller) {
			c.witnesses = append(c.witnesses, caller)
		}
	}
}

// silent reports whether the data centre should get no new flows.
func (c *centreSum) silent(p agatesilence.Policy) bool {
	return c.servers > 1 && c.unanswered.Flows >= p.CentreFlows && c.unanswered.Firm >= p.FirmFlows
}

// cut reports whether open flows of the data centre should be given up. Handshakes and what
// other entries report may make it silent, but callers of this entry must be witnesses.
func (c *centreSum) cut(p agatesilence.Policy) bool {
	return c.silent(p) && c.reliable && len(c.witnesses) >= p.CentreWitnesses
}

// centreUnreachable reports whether a server is in another data centre that is
// unreachable.
func (s *Steerer) centreUnreachable(each *server) bool {
	return each.instance.Centre != s.centre && s.centreOf(each).silent
}

// centreTrialDue reports whether a server of another data centre may get a new
// flow as a trial.
func (s *Steerer) centreTrialDue(each *server, now time.Duration) bool {
	return each.silence.TrialDue(s.policy.Silence, len(s.peerReports), now) &&
		now-s.centreOf(each).lastTrial >= s.policy.Silence.MaxTrialInterval
}

// centreCut reports whether a server's data centre has been cut off for long enough that
// another entry which has received answers from it would have reported them.
func (s *Steerer) centreCut(srv *server, now time.Duration) bool {
	if srv.instance.Centre == s.centre {
		return false
	}
	since := s.centreOf(srv).cutSince
	return since > 0 && now-since >= s.policy.Silence.ContradictionTime
}

// resetThreshold returns the number of unanswered retransmissions from which on a
// server's open flows are given up, or 0 if they are not. What other servers of the
// data centre left unanswered says little about this one: several may have crashed
// while it is at work. So a flow that is given up because of them must itself be firm
// evidence.
func (s *Steerer) resetThreshold(srv *server, now time.Duration) int {
	switch {
	case now < s.ignoreRetransmitsUntil, now < s.lossyUntil:
		srv.silence.Doubt()
		return 0
	case s.catalog.Successor(srv.instance).Key != srv.instance.Key:
		// The evidence on an incarnation says nothing about its successor.
		return 0
	case srv.silence.Confirmed(s.policy.Silence, srv.peerWitnesses(s.policy.Silence, now), now):
		return 1
	case s.centreCut(srv, now) && now-srv.silence.LastAnswer() >= s.policy.Silence.MinSilence:
		return firmRetransmits
	}
	return 0
}

package agatesteer

import (
	"time"

	"agatereach/core/connection/agatetrack"
	"agatereach/core/process/agateanswer"
	"agatereach/core/process/agatesilence"
	"agatereach/core/process/agateusual"
	"agatereach/core/version/agateinstance"
)

// flow is a tracked flow with the steerer's own state.
type flow = agatetrack.Flow[flowState]

// flowState is the state that a Steerer keeps with a flow.
type flowState struct {
	// server is the flow's server; nil before the first one is assigned and
	// after it has been removed.
	server *server
	// named is the incarnation that the token of the flow's last segment names. It
	// differs from that of server once that has restarted.
	named agateinstance.Key
	// stats are those of the flow's virtual address; nil if the configuration
	// doesn't contain it.
	stats *vipStats
	// countedPhase is the phase in which the flow is included in its server's
	// counts; empty if it is in none.
	countedPhase agatetrack.Phase
	// synServers holds the servers that received the flow's SYN, and
	// synServerCount is their number.
	synServers     [3]*server
	synServerCount uint32
	// openToken is the token of the first segment after the SYN if the SYN was offered to
	// two servers, as offered says; 0 before that segment.
	openToken uint32
	// lastAck is the acknowledgement number of the caller's last segment.
	lastAck uint32
	// overtaken is whether another server has answered what the caller sent after
	// the flow's first copy: the caller and the way to it are in order.
	overtaken bool
	// alone is whether the last request was the only one at its server when it began,
	// as far as the entry knew.
	alone bool
	// lost is whether the pending request has been recorded as lost.
	lost bool
	// offered is whether a copy of the SYN or the SYN itself was sent to two servers.
	offered bool
}

// receivedSYN reports whether the server received the flow's SYN.
func (o *flowState) receivedSYN(s *server) bool {
	for _, each := range o.synServers[:o.synServerCount] {
		if each == s {
			return true
		}
	}
	return false
}

// previousServerID returns the id of the last server other than the given one
// that received the flow's SYN, or 0 if there is none.
func (o *flowState) previousServerID(last *server) uint64 {
	for i := int(o.synServerCount) - 1; i >= 0; i-- {
		if o.synServers[i] != last {
			return o.synServers[i].instance.ID
		}
	}
	return 0
}

// addSYN records that the server received the flow's SYN, and reports whether there was room
// for that or it was known.
func (o *flowState) addSYN(s *server) bool {
	if o.receivedSYN(s) {
		return true
	}
	if int(o.synServerCount) == len(o.synServers) {
		return false
	}
	o.synServers[o.synServerCount] = s
	o.synServerCount++
	return true
}

// server is the state of an incarnation: its registration and what the entry
// infers about it.
type server struct {
	instance agateinstance.Instance
	// location is that of the instance's data centre; never nil.
	location *location
	// service is that of the instance; nil if it has no admission control.
	service *service
	// token is the token for new flows; 0 if the server can't accept any.
	token uint32
	// coldUntil is the time at which the server reaches its full capacity.
	coldUntil time.Duration
	// limitedUntil is the time until which the server counts as cold if its service has a
	// limit. It is never earlier than coldUntil was.
	limitedUntil time.Duration
	// silentSince is the time since which the server has left flows unanswered that are
	// firm evidence of a silence in which it may have restarted; 0 if it answered since.
	silentSince time.Duration
	// handshakes holds this entry's flows with an unanswered handshake, and
	// openFlows is the number of this entry's open flows.
	handshakes map[*flow]struct{}
	openFlows  int
	// pendingFlows holds this entry's flows with a request in progress.
	pendingFlows map[*flow]struct{}
	// meanPending is the smoothed number of this entry's handshakes and
	// requests in progress.
	meanPending float64
	// exchangeSince is when the newest request or SYN arrived that the server is known
	// to have answered.
	exchangeSince time.Duration
	// check is what checks have shown of the server; nil if nothing that matters now.
	check *checkState
	// listener is what checks have shown of the server's listener.
	listener listenerState
	// silence tracks the evidence that the server doesn't answer.
	silence agatesilence.Detector
	// reportedSilent is whether the last HealthChange on its silence was HealthSilent.
	reportedSilent bool
	// wronglySuspected is whether another entry suspects the server although it
	// has answered this entry since, so that the other entry needs a correction.
	wronglySuspected bool
	// firstAnswer is when the server first answered this entry after a suspicion, and
	// corrections the number of complete reports that are still to tell of it.
	firstAnswer time.Duration
	corrections int
	// failureEvidence comes from the answers that this entry has seen, and
	// reportedFailing is whether the last HealthChange on them was HealthFailing.
	failureEvidence agateanswer.Evidence
	reportedFailing bool
	// shortShare is the smoothed share of short answers among those that this entry has
	// seen, from 0 to 1. It is kept for services with admission control only.
	shortShare float64
	// peerLoad is the load reported by other entries, and suspicions is their
	// evidence, by entry, that the server doesn't answer.
	peerLoad   peerLoad
	suspicions map[string]suspicion
	// speed is how fast the server works; nil before the first sample or view, since most
	// servers never need it.
	speed *speedState
}

// suspicion is another entry's evidence that a server doesn't answer.
type suspicion struct {
	agatesilence.Evidence
	// firmHandshakes is the number of the firm flows that are handshakes.
	firmHandshakes int
	// reliable is whether the entry has a reliable witness, witness is that caller, and
	// receivedAt is when the entry reported so.
	reliable   bool
	witness    agatesilence.Caller
	receivedAt time.Duration
}

// peerLoad is the load of a server as reported by other entries.
type peerLoad struct {
	// pending and openFlows are sums over those entries. pending is smoothed,
	// since requests that were in progress when a report was written have ended
	// when it is read.
	pending, openFlows float64
	// failureEvidence is the sum of their evidence from answers.
	failureEvidence agateanswer.Evidence
}

// vipStats are an entry's traffic statistics of a virtual address.
type vipStats struct {
	// openFlows is the number of open flows, and pendingFlows the number of
	// those with a request in progress.
	openFlows, pendingFlows int
	// pendingShare is the smoothed share of the open flows with a request in
	// progress.
	pendingShare float64
	// recentFlows and recentRequests are counts that decay over time; their
	// ratio is the number of requests per flow.
	recentFlows, recentRequests float64
	// usualAnswers is the usual size of answers.
	usualAnswers agateanswer.Baseline
	// usualWork is the usual time of requests that are alone at their server, without
	// the time on the way.
	usualWork agateusual.Time
	// priority, objective and timeout are those of the configuration; the objective is the
	// timeout if none is configured.
	priority           int
	objective, timeout time.Duration
	// usualTime is the usual time of a request that doesn't wait; 0 before the first
	// answer of a service with admission control.
	usualTime time.Duration
}

// sampleWeight is the weight of one sample in a moving average; with a sample
// each 100 ms, an average follows within a second.
const sampleWeight = 0.1

// sample updates meanPending.
func (s *server) sample() {
	s.meanPending += (float64(len(s.pendingFlows)+len(s.handshakes)) - s.meanPending) * sampleWeight
}

// sample updates pendingShare.
func (u *vipStats) sample() {
	if u.openFlows > 0 {
		u.pendingShare += (float64(u.pendingFlows)/float64(u.openFlows) - u.pendingShare) * sampleWeight
	}
}

// isLong reports whether flows carry several requests each, so that the average
// load of a server matters more than its current load.
func (u *vipStats) isLong() bool {
	return u.recentRequests > longFlowRequests*u.recentFlows && u.recentFlows > 0
}

// longFlowRequests is the number of requests per flow above which flows count
// as long. Flows with one request each have a ratio of 1, which lost segments
// don't raise to 1.5.
const longFlowRequests = 1.5

// totalFailureEvidence returns the evidence of this and other entries that the
// server's answers are failures.
func (s *server) totalFailureEvidence() agateanswer.Evidence {
	return s.failureEvidence + s.peerLoad.failureEvidence
}

// inactiveThreshold is the load, and the evidence, below which a server counts
// as inactive.
const inactiveThreshold = 0.005

// inactive reports whether the server has no state beyond its registration and
// the time of its last answer.
func (s *server) inactive() bool {
	idle := s.openFlows == 0 && len(s.handshakes) == 0 && len(s.pendingFlows) == 0 && s.meanPending < inactiveThreshold
	trusted := s.silence.LocalEvidence().Flows == 0 && len(s.suspicions) == 0 && !s.wronglySuspected && !s.reportedSilent && s.check == nil && s.corrections == 0
	even := s.speed.ownWeight() == 0 && (s.speed == nil || s.speed.reported == "")
	return idle && trusted && even && s.failureEvidence < inactiveThreshold && !s.reportedFailing
}

// capacity returns the number of requests that the server can process at once
// at full speed, as a number of requests at a server of the usual speed.
func (s *server) capacity(p *Policy, now time.Duration) float64 {
	slots := float64(s.instance.Slots) * s.speed.factor()
	if now < s.coldUntil {
		return slots * p.ColdShare
	}
	return slots
}

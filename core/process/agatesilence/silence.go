// Package agatesilence detects backend servers that don't answer, from segments
// that callers retransmit. A server is suspected only if several flows are
// unanswered, and a single answer clears it. An entry doesn't see the answers:
// it infers them from the callers' later segments.
//
// A server in order leaves flows unanswered as well: it is slow, accepts no more
// flows, or its answers are lost on their way. So a suspicion only keeps new flows
// away. Open flows are given up on the word of several witnesses, callers that have sent
// a segment twice again, of which another server has answered some meanwhile.
package agatesilence

import (
	"encoding/binary"
	"iter"
	"slices"
	"time"
)

// Caller identifies a caller by its address.
type Caller [4]byte

// CallerOf returns the caller with a number.
func CallerOf(number uint32) Caller {
	var c Caller
	binary.BigEndian.PutUint32(c[:], number)
	return c
}

// Number returns the address as a number.
func (c Caller) Number() uint32 { return binary.BigEndian.Uint32(c[:]) }

// Policy holds the thresholds of a Detector.
type Policy struct {
	// SuspectFlows is the number of unanswered flows from which on a server
	// gets no new flows; at least 2, since the packets of one flow may have
	// been lost.
	SuspectFlows int
	// CentreFlows is the number of unanswered flows at several servers of a data
	// centre from which on it gets no new flows, and FirmFlows is how many of
	// them must be firm evidence: a running but busy server may acknowledge a
	// single segment only with its answer, but it acknowledges a segment that it
	// receives twice.
	CentreFlows, FirmFlows int
	// Witnesses is the number of witnesses from which on a server is confirmed
	// as silent: callers of this entry, of which at least one is reliable, and
	// other entries that have reliable ones. ReliableWitnesses is how many of
	// them must be reliable.
	Witnesses, ReliableWitnesses int
	// CentreWitnesses is the number of this entry's callers that must be witnesses
	// for a data centre to count as cut off, of which at least one is reliable.
	CentreWitnesses int
	// ReportLifetime is how long the report of another entry counts that it has
	// reliable witnesses.
	ReportLifetime time.Duration
	// ConfirmationTime is how long a server stays confirmed after its last witnesses.
	ConfirmationTime time.Duration
	// MinSilence is the minimum time since the server's last answer before it
	// is confirmed as silent. ContradictionTime is how long the evidence must
	// have been sufficient: it gives entries that have received answers the
	// time to report them.
	MinSilence, ContradictionTime time.Duration
	// TrialInterval is the time between two trial flows to a silent server by
	// all entries together, and MaxTrialInterval is the longest time between
	// two by one entry.
	TrialInterval, MaxTrialInterval time.Duration
}

// maxTrackedFlows limits the number of unanswered flows that are kept per
// server.
const maxTrackedFlows = 8

// unansweredFlow is a flow with an unanswered segment.
type unansweredFlow struct {
	flow  uint64
	since time.Duration
	firm  bool
	// caller is the flow's caller if it is a witness, reliable or not, and
	// witnessUntil the time until which it is one; 0 if it isn't.
	caller       Caller
	reliable     bool
	witnessUntil time.Duration
}

// Evidence sums up unanswered flows.
type Evidence struct {
	// Flows is the number of unanswered flows, and Firm the number of those
	// that are firm evidence.
	Flows, Firm int
	// Since is when the earliest of their unanswered segments was sent.
	Since time.Duration
}

// Add returns the sum of e and o.
func (e Evidence) Add(o Evidence) Evidence {
	switch {
	case e.Flows == 0:
		return o
	case o.Flows == 0:
		return e
	}
	return Evidence{Flows: e.Flows + o.Flows, Firm: e.Firm + o.Firm, Since: min(e.Since, o.Since)}
}

// Detector collects the evidence on whether one server answers. The zero value
// is a server without any evidence.
type Detector struct {
	// lastAnswer is the time of the server's last known answer, and
	// lastLocalAnswer that of the last one inferred by this entry; it is never
	// after lastAnswer.
	lastAnswer, lastLocalAnswer time.Duration
	// unanswered holds the distinct flows of this entry that have been
	// unanswered since lastAnswer, at most maxTrackedFlows.
	unanswered []unansweredFlow
	// peerEvidence is the evidence reported by other entries.
	peerEvidence Evidence
	// confirmableSince is the time since which the evidence has been sufficient
	// to confirm the silence; 0 if it is not. confirmedUntil is the time until which
	// the silence counts as confirmed; 0 if it does not.
	confirmableSince, confirmedUntil time.Duration
	// lastMissedOrTrial is the time of the last missed answer or trial flow.
	lastMissedOrTrial time.Duration
}

// RecordLocalAnswer records an answer inferred by this entry.
func (d *Detector) RecordLocalAnswer(at time.Duration) {
	d.lastLocalAnswer = max(d.lastLocalAnswer, at)
	d.RecordAnswer(at)
}

// RecordAnswer records an answer inferred by this or another entry. It
// discards the evidence from segments that were sent before.
func (d *Detector) RecordAnswer(at time.Duration) {
	if at <= d.lastAnswer {
		return
	}
	d.lastAnswer = at
	d.confirmableSince, d.confirmedUntil = 0, 0
	kept := 0
	for _, each := range d.unanswered {
		if each.since > at {
			d.unanswered[kept] = each
			kept++
		}
	}
	d.unanswered = d.unanswered[:kept]
	if d.peerEvidence.Since <= at {
		d.peerEvidence = Evidence{}
	}
}

// LastLocalAnswer returns the time of the last answer inferred by this entry.
// Only this time may be sent to other entries: a time received from one and
// sent back would get more recent each time.
func (d *Detector) LastLocalAnswer() time.Duration { return d.lastLocalAnswer }

// LastAnswer returns the time of the server's last known answer.
func (d *Detector) LastAnswer() time.Duration { return d.lastAnswer }

// RecordUnanswered records at the time now that a flow has had no answer since
// the given time, and whether that is firm evidence.
func (d *Detector) RecordUnanswered(flow uint64, since, now time.Duration, firm bool) {
	if since <= d.lastAnswer {
		return
	}
	d.lastMissedOrTrial = now
	for i := range d.unanswered {
		if known := &d.unanswered[i]; known.flow == flow {
			known.since = min(known.since, since)
			known.firm = known.firm || firm
			return
		}
	}
	if len(d.unanswered) < maxTrackedFlows {
		d.unanswered = append(d.unanswered, unansweredFlow{flow: flow, since: since, firm: firm})
	}
}

// RecordWitness records that the caller of a flow which has had no answer since the given
// time is a witness until another one: it has sent a segment at least twice again. The
// witness is reliable if another server has answered it meanwhile. RecordWitness reports
// whether it is the first reliable one.
func (d *Detector) RecordWitness(flow uint64, caller Caller, since, now, until time.Duration, reliable bool) bool {
	if since <= d.lastAnswer {
		return false
	}
	_, before := d.CountWitnesses(0, now)
	witness := unansweredFlow{flow: flow, since: since, firm: true, caller: caller, witnessUntil: until, reliable: reliable}
	if !d.putWitness(witness, now) {
		return false
	}
	return reliable && before == 0
}

// putWitness stores an unanswered flow with a witness in the place of the flow's record or
// of one without, and reports whether there is any.
func (d *Detector) putWitness(witness unansweredFlow, now time.Duration) bool {
	place := slices.IndexFunc(d.unanswered, func(o unansweredFlow) bool { return o.flow == witness.flow })
	if place < 0 && len(d.unanswered) < maxTrackedFlows {
		d.unanswered = append(d.unanswered, witness)
		return true
	}
	if place < 0 {
		place = slices.IndexFunc(d.unanswered, func(o unansweredFlow) bool { return o.witnessUntil <= now })
	}
	if place < 0 {
		place = d.duplicateWitness()
	}
	if place < 0 {
		return false
	}
	d.unanswered[place] = witness
	return true
}

// duplicateWitness returns the place of a flow whose caller is the witness of another one
// as well, or -1 if there is none. All flows must have witnesses.
func (d *Detector) duplicateWitness() int {
	return slices.IndexFunc(d.unanswered, func(o unansweredFlow) bool {
		return slices.ContainsFunc(d.unanswered, func(p unansweredFlow) bool {
			return p.flow != o.flow && p.caller == o.caller && (p.reliable || !o.reliable)
		})
	})
}

// Witnesses returns the caller of each flow with a witness whose unanswered segment was
// sent after the given time, and whether it is reliable. A caller may come several times.
func (d *Detector) Witnesses(after, now time.Duration) iter.Seq2[Caller, bool] {
	return func(yield func(Caller, bool) bool) {
		for _, each := range d.unanswered {
			if each.since > after && now < each.witnessUntil && !yield(each.caller, each.reliable) {
				return
			}
		}
	}
}

// CountWitnesses returns the number of callers that are witnesses with an unanswered
// segment sent after the given time, and the number of the reliable ones.
func (d *Detector) CountWitnesses(after, now time.Duration) (all, reliable int) {
	var seen, seenReliable [maxTrackedFlows]Caller
	for caller, isReliable := range d.Witnesses(after, now) {
		if !slices.Contains(seen[:all], caller) {
			seen[all] = caller
			all++
		}
		if isReliable && !slices.Contains(seenReliable[:reliable], caller) {
			seenReliable[reliable] = caller
			reliable++
		}
	}
	return all, reliable
}

// SetPeerEvidence replaces the evidence from other entries.
func (d *Detector) SetPeerEvidence(others Evidence) {
	if others.Since <= d.lastAnswer {
		others = Evidence{}
	}
	d.peerEvidence = others
}

// LocalEvidence returns the evidence from this entry's flows.
func (d *Detector) LocalEvidence() Evidence { return d.LocalEvidenceAfter(d.lastAnswer) }

// LocalEvidenceAfter returns the evidence from those of this entry's flows whose
// unanswered segments were sent after the given time.
func (d *Detector) LocalEvidenceAfter(at time.Duration) Evidence {
	var sum Evidence
	for _, each := range d.unanswered {
		if each.since <= at {
			continue
		}
		one := Evidence{Flows: 1, Since: each.since}
		if each.firm {
			one.Firm = 1
		}
		sum = sum.Add(one)
	}
	return sum
}

// RequestEvidence returns the evidence from those of this entry's flows that have, or had,
// a witness and whose unanswered segments were sent after the given time. Unlike handshakes, which a full server leaves unanswered, requests that were
// sent twice again are acknowledged by a server that runs.
func (d *Detector) RequestEvidence(after time.Duration) Evidence {
	var sum Evidence
	for _, each := range d.unanswered {
		if each.witnessUntil > 0 && each.since > max(after, d.lastAnswer) {
			sum = sum.Add(Evidence{Flows: 1, Firm: 1, Since: each.since})
		}
	}
	return sum
}

// TotalEvidence returns the evidence from this and other entries.
func (d *Detector) TotalEvidence() Evidence { return d.LocalEvidence().Add(d.peerEvidence) }

// Suspected reports whether the server should get no new flows.
func (d *Detector) Suspected(p Policy) bool {
	return len(d.unanswered)+d.peerEvidence.Flows >= p.SuspectFlows
}

// Confirmed reports whether the server's open flows should be given up, where others is
// the number of witnesses beside this entry's. It should be called about ten times per
// second, since it also tracks for how long the evidence has been sufficient. A confirmed
// server stays so for a while, until it answers: its witnesses give up or go elsewhere.
func (d *Detector) Confirmed(p Policy, others int, now time.Duration) bool {
	own, reliable := d.CountWitnesses(d.lastAnswer, now)
	if reliable == 0 || reliable+others < p.ReliableWitnesses || own+others < p.Witnesses {
		d.confirmableSince = 0
		return now < d.confirmedUntil
	}
	if d.confirmableSince == 0 {
		d.confirmableSince = now
	}
	if now-d.confirmableSince >= p.ContradictionTime && now-d.lastAnswer >= p.MinSilence {
		d.confirmedUntil = now + p.ConfirmationTime
	}
	return now < d.confirmedUntil
}

// Doubt records that the evidence is in doubt: the server isn't confirmed as silent, and
// the time in which others may contradict begins when the doubt has ended.
func (d *Detector) Doubt() { d.confirmableSince, d.confirmedUntil = 0, 0 }

// TrialDue reports whether a suspected server may get a new flow as a trial,
// where others is the number of entries that this one exchanges evidence with.
// If the server is still silent, a trial costs its caller one retransmission
// timeout.
func (d *Detector) TrialDue(p Policy, others int, now time.Duration) bool {
	return now-d.lastMissedOrTrial >= p.trialInterval(others)
}

// trialInterval returns the time between two trials by one entry.
func (p Policy) trialInterval(others int) time.Duration {
	return min(p.TrialInterval*time.Duration(others+1), max(p.MaxTrialInterval, p.TrialInterval))
}

// RecordTrial records that the server got a new flow as a trial.
func (d *Detector) RecordTrial(now time.Duration) { d.lastMissedOrTrial = now }

package agatesilence_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"agatereach/core/process/agatesilence"
)

const ms = time.Millisecond

var policy = agatesilence.Policy{SuspectFlows: 2, ConfirmFlows: 3, FirmFlows: 2, MinSilence: 350 * ms, ContradictionTime: 200 * ms, TrialInterval: time.Second, MaxTrialInterval: 4 * time.Second}

// TestOneFlowIsNoProof has one flow miss its answer many times: the server must
// be neither suspected nor confirmed.
func TestOneFlowIsNoProof(t *testing.T) {
	var d agatesilence.Detector
	for i := range 20 {
		d.RecordUnanswered(7, 100*ms, time.Duration(200+i*200)*ms, true)
	}
	if d.Suspected(policy) || d.Confirmed(policy, time.Minute) {
		t.Error("one flow is sufficient to suspect or confirm the server")
	}
}

// TestSuspectedThenConfirmed has several flows miss their answers: the server
// must be suspected from the second one on, and confirmed with the third once
// it has been silent for long enough.
func TestSuspectedThenConfirmed(t *testing.T) {
	var d agatesilence.Detector
	d.RecordLocalAnswer(time.Second)
	d.RecordUnanswered(1, 1010*ms, 1210*ms, true)
	d.RecordUnanswered(2, 1050*ms, 1250*ms, true)
	if !d.Suspected(policy) || d.Confirmed(policy, 1250*ms) {
		t.Error("two flows: want the server suspected, not confirmed")
	}
	d.RecordUnanswered(3, 1100*ms, 1300*ms, false)
	if d.Confirmed(policy, 1300*ms) || d.Confirmed(policy, 1499*ms) || !d.Confirmed(policy, 1500*ms) {
		t.Error("three flows: want the server confirmed 200 ms later, not earlier")
	}
	d.RecordLocalAnswer(1600 * ms)
	if d.Suspected(policy) || d.Confirmed(policy, time.Minute) {
		t.Error("the server is still suspected or confirmed after an answer")
	}
}

// TestBusyServerIsNotConfirmed has many flows miss their answers without firm
// evidence: the server must get no new flows, but keep its open ones.
func TestBusyServerIsNotConfirmed(t *testing.T) {
	var d agatesilence.Detector
	d.RecordLocalAnswer(time.Second)
	for flow := range uint64(6) {
		d.RecordUnanswered(flow, 1010*ms, 1210*ms, false)
	}
	if !d.Suspected(policy) || d.Confirmed(policy, time.Minute) {
		t.Error("want the busy server suspected, not confirmed")
	}
}

// TestIgnoresSegmentsBeforeLastAnswer ignores segments that were sent before
// the server's last answer.
func TestIgnoresSegmentsBeforeLastAnswer(t *testing.T) {
	var d agatesilence.Detector
	d.RecordLocalAnswer(time.Second)
	d.RecordUnanswered(1, time.Second, 1200*ms, true)
	d.RecordUnanswered(2, 900*ms, 1200*ms, true)
	d.SetPeerEvidence(agatesilence.Evidence{Flows: 5, Firm: 5, Since: 900 * ms})
	if evidence := d.TotalEvidence(); evidence.Flows != 0 {
		t.Errorf("evidence %+v, want none", evidence)
	}
}

// TestPeerEvidence adds the evidence from other entries to the total, but not
// to the local evidence.
func TestPeerEvidence(t *testing.T) {
	var d agatesilence.Detector
	d.RecordLocalAnswer(time.Second)
	d.RecordUnanswered(1, 1100*ms, 1300*ms, false)
	d.SetPeerEvidence(agatesilence.Evidence{Flows: 2, Firm: 1, Since: 1050 * ms})
	if evidence := d.TotalEvidence(); evidence != (agatesilence.Evidence{Flows: 3, Firm: 1, Since: 1050 * ms}) {
		t.Errorf("total evidence %+v, want 3 flows, 1 firm, since 1.05s", evidence)
	}
	if own := d.LocalEvidence(); own.Flows != 1 {
		t.Errorf("local evidence %+v, want 1 flow", own)
	}
	d.RecordAnswer(2 * time.Second)
	if d.LastLocalAnswer() != time.Second || d.LastAnswer() != 2*time.Second {
		t.Errorf("last local answer at %s, last answer at %s, want 1s, 2s", d.LastLocalAnswer(), d.LastAnswer())
	}
	if evidence := d.TotalEvidence(); evidence.Flows != 0 {
		t.Errorf("evidence %+v after an answer to another entry, want none", evidence)
	}
}

// TestTrialIntervals checks that trials are less frequent with more entries.
func TestTrialIntervals(t *testing.T) {
	var d agatesilence.Detector
	d.RecordUnanswered(1, 100*ms, 300*ms, true)
	for _, c := range []struct {
		others int
		want   time.Duration
	}{{0, time.Second}, {2, 3 * time.Second}, {50, 4 * time.Second}} {
		if d.TrialDue(policy, c.others, 300*ms+c.want-ms) || !d.TrialDue(policy, c.others, 300*ms+c.want) {
			t.Errorf("%d other entries: want a trial due after %s, not earlier", c.others, c.want)
		}
	}
	d.RecordTrial(5 * time.Second)
	if d.TrialDue(policy, 0, 5*time.Second+500*ms) {
		t.Error("want no trial due 500 ms after the last one")
	}
}

// TestSuspectedOnlyByFlowsSinceLastAnswer draws random events: a server may be
// suspected only if enough flows have missed an answer since its last one.
func TestSuspectedOnlyByFlowsSinceLastAnswer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var d agatesilence.Detector
		missed := make(map[uint64]time.Duration)
		var lastAnswer time.Duration
		for now := time.Second; now < 3*time.Second; now += 100 * ms {
			switch rapid.IntRange(0, 2).Draw(t, "event") {
			case 0:
				lastAnswer = now
				d.RecordLocalAnswer(now)
			case 1:
				flow := rapid.Uint64Range(1, 4).Draw(t, "flow")
				since := now - time.Duration(rapid.IntRange(0, 600).Draw(t, "ms"))*ms
				missed[flow] = max(missed[flow], since)
				d.RecordUnanswered(flow, since, now, true)
			}
			after := 0
			for _, since := range missed {
				if since > lastAnswer {
					after++
				}
			}
			if d.Suspected(policy) && after < policy.SuspectFlows {
				t.Fatalf("suspected with %d unanswered flows", after)
			}
		}
	})
}

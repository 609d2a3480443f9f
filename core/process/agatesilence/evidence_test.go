package agatesilence_test

import (
	"testing"
	"time"

	"agatereach/core/process/agatesilence"
)

// expectWitnesses reports an error unless as many callers are witnesses at a time with a
// segment sent after another one.
func expectWitnesses(t *testing.T, d *agatesilence.Detector, after, now time.Duration, all, reliable int) {
	t.Helper()
	if gotAll, gotReliable := d.CountWitnesses(after, now); gotAll != all || gotReliable != reliable {
		t.Errorf("after %s, at %s: %d witnesses, %d of them reliable, want %d, %d", after, now, gotAll, gotReliable, all, reliable)
	}
}

// TestUnansweredFlowsAreBounded checks that a server with many unanswered flows takes no more
// memory than one with eight.
func TestUnansweredFlowsAreBounded(t *testing.T) {
	const bound = 8
	var d agatesilence.Detector
	for flow := range uint64(20) {
		d.RecordUnanswered(flow, 100*ms, 300*ms, false)
	}
	if evidence := d.LocalEvidence(); evidence.Flows != bound {
		t.Errorf("%d flows are kept, want %d", evidence.Flows, bound)
	}
	for flow := range uint64(20) {
		d.RecordWitness(flow, caller(byte(flow)), 100*ms, 700*ms, time.Second, true)
	}
	expectWitnesses(t, &d, 0, 700*ms, bound, bound)
}

// TestEarlierAnswerRefutesNothing guards against silent servers that are never confirmed
// because other entries repeat when they answered last.
func TestEarlierAnswerRefutesNothing(t *testing.T) {
	for _, again := range []time.Duration{time.Second, 900 * ms} {
		var d agatesilence.Detector
		d.RecordLocalAnswer(time.Second)
		for i := range byte(3) {
			d.RecordWitness(uint64(i), caller(i), 1100*ms, 1700*ms, 3*time.Second, true)
		}
		for _, c := range []struct {
			at   time.Duration
			want bool
		}{{1700 * ms, false}, {1800 * ms, false}, {1900 * ms, true}, {2000 * ms, true}} {
			d.RecordLocalAnswer(again)
			if got := d.Confirmed(policy, 0, c.at); got != c.want {
				t.Errorf("answer at %s again: confirmed %t at %s, want %t", again, got, c.at, c.want)
			}
		}
		if d.LastAnswer() != time.Second || d.LastLocalAnswer() != time.Second {
			t.Errorf("last answer at %s, here at %s, want 1s", d.LastAnswer(), d.LastLocalAnswer())
		}
	}
}

// TestAnswerRefutesEarlierSegments checks that an answer refutes what was sent up to then, and
// nothing else.
func TestAnswerRefutesEarlierSegments(t *testing.T) {
	var d agatesilence.Detector
	for i, since := range []time.Duration{1100 * ms, 1200 * ms, 1300 * ms} {
		d.RecordUnanswered(uint64(i), since, 1600*ms, true)
	}
	d.SetPeerEvidence(agatesilence.Evidence{Flows: 1, Since: 1250 * ms})
	for _, c := range []struct {
		answer       time.Duration
		local, total int
	}{{1000 * ms, 3, 4}, {1200 * ms, 1, 2}, {1250 * ms, 1, 1}, {1300 * ms, 0, 0}} {
		d.RecordAnswer(c.answer)
		if local, total := d.LocalEvidence(), d.TotalEvidence(); local.Flows != c.local || total.Flows != c.total {
			t.Errorf("answer at %s: %d flows here, %d in all, want %d, %d", c.answer, local.Flows, total.Flows, c.local, c.total)
		}
	}
}

// TestFlowKeepsStrongestEvidence checks that a flow's record keeps its earliest segment and
// that it is firm.
func TestFlowKeepsStrongestEvidence(t *testing.T) {
	for _, first := range []time.Duration{1100 * ms, 1200 * ms} {
		var d agatesilence.Detector
		d.RecordUnanswered(1, first, 1600*ms, first == 1100*ms)
		d.RecordUnanswered(1, 2300*ms-first, 1700*ms, first != 1100*ms)
		if got := d.LocalEvidence(); got != (agatesilence.Evidence{Flows: 1, Firm: 1, Since: 1100 * ms}) {
			t.Errorf("evidence %+v, want one firm flow since 1.1s", got)
		}
	}
}

// TestWitnessNeedsLaterSegment guards against witnesses whose segment was sent before the
// server's last answer, or before a data centre's last sign.
func TestWitnessNeedsLaterSegment(t *testing.T) {
	var d agatesilence.Detector
	d.RecordLocalAnswer(time.Second)
	for i, since := range []time.Duration{900 * ms, 1000 * ms, 1100 * ms} {
		if first := d.RecordWitness(uint64(i), caller(byte(i)), since, 1700*ms, 3*time.Second, true); first != (i == 2) {
			t.Errorf("segment sent at %s: first witness %t", since, first)
		}
	}
	if evidence := d.LocalEvidence(); evidence.Firm != 1 {
		t.Errorf("evidence %+v, want one firm flow", evidence)
	}
	expectWitnesses(t, &d, 0, 1700*ms, 1, 1)
	expectWitnesses(t, &d, 1099*ms, 1700*ms, 1, 1)
	expectWitnesses(t, &d, 1100*ms, 1700*ms, 0, 0)
	expectWitnesses(t, &d, 0, 3*time.Second-1, 1, 1)
	expectWitnesses(t, &d, 0, 3*time.Second, 0, 0)
	if !d.RecordWitness(3, caller(3), 3*time.Second, 3600*ms, 5*time.Second, true) {
		t.Error("not the first witness after the last one's time is over")
	}
	if d.RecordWitness(4, caller(4), 3*time.Second, 3600*ms, 5*time.Second, true) {
		t.Error("the second witness is the first one")
	}
}

// TestRoomForWitnesses checks whose records give way to another caller's as a witness, if
// as many are kept as possible.
func TestRoomForWitnesses(t *testing.T) {
	type record struct {
		caller    byte
		until     time.Duration
		reliable  bool
		noWitness bool
	}
	const now, later = 1700 * ms, 3 * time.Second
	live := func(numbers ...byte) []record {
		var all []record
		for _, number := range numbers {
			all = append(all, record{caller: number, until: later})
		}
		return all
	}
	for name, c := range map[string]struct {
		records       []record
		all, reliable int
	}{
		"eight callers":              {live(1, 2, 3, 4, 5, 6, 7, 8), 8, 0},
		"a flow without witness":     {append(live(1, 2, 3, 4, 5, 6, 7), record{noWitness: true}), 8, 1},
		"a former witness":           {append(live(1, 2, 3, 4, 5, 6, 7), record{caller: 8, until: now}), 8, 1},
		"two flows, unreliable":      {live(1, 2, 3, 4, 5, 6, 7, 7), 8, 1},
		"two flows, first reliable":  {append([]record{{caller: 7, until: later, reliable: true}}, live(1, 2, 3, 4, 5, 6, 7)...), 8, 2},
		"two flows, second reliable": {append(live(1, 2, 3, 4, 5, 6, 7), record{caller: 7, until: later, reliable: true}), 8, 2},
		"two flows, both reliable": {append(live(1, 2, 3, 4, 5, 6), record{caller: 7, until: later, reliable: true},
			record{caller: 7, until: later, reliable: true}), 8, 2},
	} {
		t.Run(name, func(t *testing.T) {
			var d agatesilence.Detector
			for i, r := range c.records {
				if r.noWitness {
					d.RecordUnanswered(uint64(i), 1100*ms, now, false)
				} else {
					d.RecordWitness(uint64(i), caller(r.caller), 1100*ms, now-100*ms, r.until, r.reliable)
				}
			}
			d.RecordWitness(100, caller(100), 1100*ms, now, later, true)
			expectWitnesses(t, &d, 0, now, c.all, c.reliable)
		})
	}
}

// TestConfirmationNeedsLastingEvidence guards against confirmations by witnesses that have
// just come, because earlier ones were enough a while before. A confirmation outlasts its
// witnesses.
func TestConfirmationNeedsLastingEvidence(t *testing.T) {
	var d agatesilence.Detector
	d.RecordLocalAnswer(time.Second)
	witnesses := func(now, until time.Duration) {
		for i := range byte(3) {
			d.RecordWitness(uint64(i), caller(i), 1010*ms, now, until, true)
		}
	}
	witnesses(1500*ms, 1600*ms)
	for _, c := range []struct {
		at   time.Duration
		want bool
	}{
		{1500 * ms, false},
		{1600 * ms, false},
		{1650 * ms, false},
		{1750 * ms, false},
		{1849 * ms, false},
		{1850 * ms, true},
		{1900 * ms, true},
		{2849 * ms, true},
		{2850 * ms, false},
	} {
		if c.at == 1650*ms {
			witnesses(c.at, 1900*ms)
		}
		if got := d.Confirmed(policy, 0, c.at); got != c.want {
			t.Errorf("confirmed %t at %s, want %t", got, c.at, c.want)
		}
	}
}

// TestConfirmationNeedsSilence checks that a server isn't confirmed sooner after its last
// answer than the policy says.
func TestConfirmationNeedsSilence(t *testing.T) {
	var d agatesilence.Detector
	d.RecordLocalAnswer(time.Second)
	for i := range byte(3) {
		d.RecordWitness(uint64(i), caller(i), 1001*ms, 1010*ms, 3*time.Second, true)
	}
	for _, at := range []time.Duration{1010 * ms, 1349 * ms, 1350 * ms} {
		if got := d.Confirmed(policy, 0, at); got != (at == 1350*ms) {
			t.Errorf("confirmed %t at %s", got, at)
		}
	}
}

// TestEvidenceAfterTime checks that evidence after a time lacks what was sent up to then.
func TestEvidenceAfterTime(t *testing.T) {
	var d agatesilence.Detector
	for i, since := range []time.Duration{1100 * ms, 1200 * ms, 1300 * ms} {
		d.RecordUnanswered(uint64(i), since, 1600*ms, i == 2)
	}
	if got := d.LocalEvidenceAfter(1200 * ms); got != (agatesilence.Evidence{Flows: 1, Firm: 1, Since: 1300 * ms}) {
		t.Errorf("evidence %+v, want one firm flow since 1.3s", got)
	}
}

// TestAnswerRestartsContradiction guards against confirmations by witnesses that have just
// come after an answer, because earlier ones were enough before it.
func TestAnswerRestartsContradiction(t *testing.T) {
	var d agatesilence.Detector
	for i := range byte(3) {
		d.RecordWitness(uint64(i), caller(i), 1100*ms, 1700*ms, 3*time.Second, true)
	}
	if d.Confirmed(policy, 0, 1700*ms) {
		t.Error("confirmed at once")
	}
	d.RecordLocalAnswer(1800 * ms)
	if d.Suspected(policy) {
		t.Error("suspected after an answer")
	}
	for i := range byte(3) {
		d.RecordWitness(uint64(i), caller(i), 1900*ms, 2500*ms, 4*time.Second, true)
	}
	if d.Confirmed(policy, 0, 2500*ms) || d.Confirmed(policy, 0, 2699*ms) || !d.Confirmed(policy, 0, 2700*ms) {
		t.Error("want the server confirmed 200 ms after the later witnesses, not earlier")
	}
}

// TestAnswerWithSegmentsClearsSuspicion checks that an answer at the very time of the
// unanswered segments clears a server.
func TestAnswerWithSegmentsClearsSuspicion(t *testing.T) {
	var d agatesilence.Detector
	for flow := range uint64(3) {
		d.RecordUnanswered(flow, 1100*ms, 1300*ms, true)
	}
	d.RecordAnswer(1100 * ms)
	if d.Suspected(policy) {
		t.Error("suspected after an answer")
	}
}

package agatesteer_test

import (
	"testing"
	"time"

	"agatereach/core/process/agatesteer"
	"agatereach/core/request/agateload"
	"agatereach/core/version/agateinstance"
)

// Sizes of successful answers and of errors, in bytes, and the times until they
// arrive.
const (
	answerSize = 830
	errorSize  = 208
	answerTime = 60 * ms
	errorTime  = 5 * ms
)

// runTraffic sends requests at a steady rate, each on a flow of its own.
// Requests for which fails returns true get a fast, short error instead of an
// answer. It returns the share of failed requests.
func (fx *fixture) runTraffic(d time.Duration, fails func(agatesteer.Verdict) bool) float64 {
	type answer struct {
		at   time.Duration
		c    *callerFlow
		size uint32
	}
	var answers []answer
	failed, sent := 0, 0
	for end := fx.now + d; fx.now < end; fx.run(5 * ms) {
		for i := 0; i < len(answers); i++ {
			if answers[i].at <= fx.now {
				answers[i].c.receiveBytes(answers[i].size)
				answers[i].c.finish()
				answers = append(answers[:i], answers[i+1:]...)
				i--
			}
		}
		c := fx.newFlow(orders)
		v := c.open()
		c.request()
		sent++
		if fails(v) {
			failed++
			answers = append(answers, answer{fx.now + errorTime, c, errorSize})
			continue
		}
		answers = append(answers, answer{fx.now + answerTime, c, answerSize})
	}
	return float64(failed) / float64(sent)
}

// newAnsweringFixture returns a fixture with eight servers that have answered
// requests for 5 s.
func newAnsweringFixture(t *testing.T) *fixture {
	fx := newFixture(t)
	for id := range uint64(8) {
		fx.server(id+1, "a", agateinstance.Ready)
	}
	fx.runTraffic(5*time.Second, func(agatesteer.Verdict) bool { return false })
	return fx
}

// TestFailingServerGetsFewerFlows has one of eight servers fail all of its
// requests at once. By load alone it would be the least loaded server and get
// most requests. Callers must see fewer failures than an even share of the
// requests would give, and the server must get its share back once it recovers.
func TestFailingServerGetsFewerFlows(t *testing.T) {
	fx := newAnsweringFixture(t)
	first := func(v agatesteer.Verdict) bool { return v.Server == 1 }
	firstFailures := 0.0
	var changes []agatesteer.HealthChange
	for range 10 {
		firstFailures += fx.runTraffic(20*ms, first) / 10
		changes = append(changes, fx.steerer.HealthChanges(fx.now)...)
	}
	if len(changes) == 0 || changes[0].Server != 1 || changes[0].Health != agatesteer.HealthFailing {
		t.Errorf("health changes %+v, want first that server 1 is failing", changes)
	}
	if laterFailures := fx.runTraffic(6*time.Second, first); firstFailures > 0.25 || laterFailures > 0.02 {
		t.Errorf("%.3f of the requests failed in the first 200 ms, %.3f in the next 6 s, want at most 0.25 and 0.02", firstFailures, laterFailures)
	}
	served, sent := 0, 0
	fx.runTraffic(10*time.Second, func(v agatesteer.Verdict) bool {
		sent++
		if v.Server == 1 {
			served++
		}
		return false
	})
	if share := float64(served) / float64(sent); share < 0.06 {
		t.Errorf("the recovered server got %.3f of the requests, want at least 0.06", share)
	}
}

// TestPartlyFailingServerGetsFewerFlows has a server fail four in ten of its
// requests.
func TestPartlyFailingServerGetsFewerFlows(t *testing.T) {
	fx := newAnsweringFixture(t)
	turn := 0
	share := fx.runTraffic(10*time.Second, func(v agatesteer.Verdict) bool {
		if v.Server != 1 {
			return false
		}
		turn++
		return turn%5 < 2
	})
	// With an even share of requests, 0.05 of all would fail.
	if share > 0.025 {
		t.Errorf("%.3f of the requests failed, want at most 0.025", share)
	}
}

// TestPeerReportsFailingServer checks that a server whose failures another
// entry reports gets hardly any new flows, until that entry's reports expire.
func TestPeerReportsFailingServer(t *testing.T) {
	fx := newAnsweringFixture(t)
	other := newAnsweringFixture(t)
	other.runTraffic(500*ms, func(v agatesteer.Verdict) bool { return v.Server == 1 })
	var reports []agateload.Load
	for _, load := range other.steerer.Loads(other.now) {
		if load.FailureEvidence > 0 {
			reports = append(reports, load)
		}
	}
	if len(reports) != 1 {
		t.Fatalf("%d servers reported as failing, want 1: %+v", len(reports), reports)
	}
	served := 0
	count := func(v agatesteer.Verdict) bool {
		if v.Server == 1 {
			served++
		}
		return false
	}
	fx.steerer.Report("vm-2", reports, false, fx.now)
	fx.runTraffic(time.Second, count)
	if served > 5 {
		t.Errorf("the failing server got %d flows, want at most 5", served)
	}
	fx.run(fx.policy.MinReportAge)
	served = 0
	fx.runTraffic(time.Second, count)
	if served < 10 {
		t.Errorf("the server got %d flows after the report had expired, want at least 10", served)
	}
}

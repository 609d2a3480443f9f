package agatesteer_test

import (
	"slices"
	"testing"
	"time"

	"agatereach/core/version/agateinstance"
)

// TestLossShownAfterCopiesEndsNoFlow guards against resets because the answers of two
// servers to some flows are lost, where one of the servers shows that by its answer to a
// request that came after the last copies.
func TestLossShownAfterCopiesEndsNoFlow(t *testing.T) {
	fx := newFixture(t)
	_, calls := fx.oneServer(3)
	steps := fx.lossAt(fx.server(3, "a", agateinstance.Ready), [2]time.Duration{610 * ms, 660 * ms})
	steps = append(steps, silentRequests(calls)...)
	steps = append(steps, exchangeAt(fx.server(2, "a", agateinstance.Ready), 250*ms, 300*ms, calls...)...)
	expectNoResets(t, fx.play(900*ms, false, steps), calls...)
}

// TestLongLossEndsNoFlow guards against resets because the answers of two servers to some
// flows are lost for as long as between two late copies, while one of the servers answers
// others.
func TestLongLossEndsNoFlow(t *testing.T) {
	fx := newFixture(t)
	fx.allowSlowRequests()
	_, calls := fx.oneServer(3)
	other := fx.server(2, "a", agateinstance.Ready)
	steps := fx.answeredElsewhere(calls, 6*time.Second)
	for _, c := range calls {
		steps = append(steps, c.unansweredRequest(0, 4)...)
	}
	steps = append(steps, calls[0].sibling(other).unansweredRequest(0, 4)...)
	expectNoResets(t, fx.play(6*time.Second, false, steps), calls...)
}

// TestBurstBesideTwoExchangesEndsNoFlow guards against resets because one short burst of
// losses took the acknowledgements of the first copies of three slow requests, after which
// another server answered two of the callers.
func TestBurstBesideTwoExchangesEndsNoFlow(t *testing.T) {
	fx := newFixture(t)
	_, calls := fx.oneServer(3)
	steps := exchangeAt(fx.server(2, "a", agateinstance.Ready), 300*ms, 350*ms, calls[:2]...)
	steps = append(steps, silentRequests(calls)...)
	for _, c := range calls {
		steps = append(steps, step{950 * ms, c.receiveResponse})
	}
	expectNoResets(t, fx.play(1300*ms, false, steps), calls...)
}

// TestContradictionAfterLossEndsNoFlow guards against resets as soon as segments no longer
// count as lost, by witnesses that have just come: other entries couldn't contradict yet.
func TestContradictionAfterLossEndsNoFlow(t *testing.T) {
	fx := newFixture(t)
	fx.allowSlowRequests()
	_, calls := fx.oneServer(6)
	steps := append(silentRequests(calls[:3]), fx.answeredElsewhere(calls, 4*time.Second)...)
	steps = append(steps, fx.lossAt(fx.server(3, "a", agateinstance.Ready), [2]time.Duration{210 * ms, 300 * ms})...)
	for _, c := range calls[3:] {
		steps = append(steps, c.unansweredRequest(1950*ms, 2)...)
	}
	steps = append(steps, action(2690*ms, func() { fx.peerAnswer(calls[0].token, 100*ms) }))
	expectNoResets(t, fx.play(4*time.Second, false, steps), calls...)
}

// TestCrashesInLostCentreEndNoFlow guards against resets of a slow request of which one
// acknowledgement was lost, because two others of its data centre have crashed while no
// entry from there is heard.
func TestCrashesInLostCentreEndNoFlow(t *testing.T) {
	fx := newFixture(t)
	flows := fx.remoteFlows(3, 3, 1)
	slow := flows[2][0]
	steps := append(slow.unansweredRequest(600*ms, 2), fx.answeredElsewhere(slices.Concat(flows...), 2*time.Second)...)
	for _, crashed := range slices.Concat(flows[:2]...) {
		steps = append(steps, crashed.unansweredRequest(0, 3)...)
	}
	expectNoResets(t, fx.play(2*time.Second, false, steps), slow)
}

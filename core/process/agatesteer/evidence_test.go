package agatesteer_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"agatereach/core/process/agatesilence"
	"agatereach/core/process/agatesteer"
	"agatereach/core/request/agateload"
	"agatereach/core/request/agatetuple"
	"agatereach/core/version/agatecatalog"
	"agatereach/core/version/agateinstance"
	"agatereach/core/version/agatevip"
)

// allowSlowRequests lets requests to feeds take ten seconds.
func (fx *fixture) allowSlowRequests() {
	slow := feeds
	slow.Timeout = 10 * time.Second
	fx.catalog, _ = fx.catalog.WithConfig(&agatecatalog.Config{Version: 2, VIPs: []agatevip.VIP{slow, orders}})
	fx.update()
}

// sibling returns an idle flow of the same caller at a server.
func (c *callerFlow) sibling(at agateinstance.Instance) *callerFlow {
	other := c.fx.flowAt(at)
	other.flow.Source = c.flow.Source
	return other
}

// action returns a step without a verdict.
func action(at time.Duration, do func()) step {
	return step{at, func() agatesteer.Verdict {
		do()
		return agatesteer.Verdict{}
	}}
}

// exchangeAt returns the steps of a request on a flow of each flow's caller at a server,
// and of its answer.
func exchangeAt(server agateinstance.Instance, request, answer time.Duration, calls ...*callerFlow) []step {
	var steps []step
	for _, c := range calls {
		other := c.sibling(server)
		steps = append(steps, step{request, other.request}, step{answer, other.receiveResponse})
	}
	return steps
}

// expectResets reports an error for each of the flows that wasn't reset.
func expectResets(t *testing.T, resets map[agatetuple.Tuple]time.Duration, calls ...*callerFlow) {
	t.Helper()
	for i, c := range calls {
		if _, reset := resets[c.flow]; !reset {
			t.Errorf("flow %d was not reset", i)
		}
	}
}

// evidence returns the evidence on the only server for new flows.
func (fx *fixture) evidence() agatesteer.Evidence {
	return fx.newFlow(orders).syn().Evidence
}

// TestAnswerOfSameServerIsNotReliable guards against resets because a server has answered
// other flows of the callers whose later requests it leaves unanswered.
func TestAnswerOfSameServerIsNotReliable(t *testing.T) {
	fx := newFixture(t)
	fx.allowSlowRequests()
	server, calls := fx.oneServer(3)
	steps := exchangeAt(server, 250*ms, 300*ms, calls...)
	for _, c := range calls {
		steps = append(steps, c.unansweredRequest(0, 2)...)
		steps = append(steps, step{650 * ms, c.request}, step{1400 * ms, c.retransmit})
	}
	expectNoResets(t, fx.play(5*time.Second, false, steps), calls...)
}

// TestEvictedFlowIsNoWitness guards against resets on the evidence of flows that the entry
// no longer tracks: they may have been answered since.
func TestEvictedFlowIsNoWitness(t *testing.T) {
	fx := newFixture(t)
	fx.policy.Flows = 12
	fx.steerer = agatesteer.New(fx.policy, "a", rand.New(rand.NewPCG(1, 2)).Float64)
	fx.update()
	server, calls := fx.oneServer(4)
	other := fx.server(2, "a", agateinstance.Ready)
	late, rest := calls[0], calls[1:]
	steps := silentRequests(rest)
	steps = append(steps, action(610*ms, func() {
		for range fx.policy.Flows {
			fx.flowAt(server).finish()
		}
	}))
	steps = append(steps, exchangeAt(other, 620*ms, 670*ms, rest...)...)
	steps = append(steps, late.unansweredRequest(700*ms, 1)...)
	expectNoResets(t, fx.play(1600*ms, false, steps), calls...)
}

// TestRestartDiscardsCopies guards against resets of a restarted server's flows after one
// copy each, because the former incarnation had left their requests unanswered.
func TestRestartDiscardsCopies(t *testing.T) {
	fx := newFixture(t)
	fx.allowSlowRequests()
	former, calls := fx.oneServer(3)
	steps := append(silentRequests(calls), fx.answeredElsewhere(calls, 3*time.Second)...)
	steps = append(steps, action(650*ms, func() {
		fx.restart(former, func(i *agateinstance.Instance) { i.StartTime++ })
	}))
	for _, c := range calls {
		steps = append(steps, step{1400 * ms, c.retransmit})
	}
	expectNoResets(t, fx.play(3*time.Second, false, steps), calls...)
}

// TestLagDiscardsCopies guards against resets because of copies that an entry has read
// while it was behind with its packets, or before.
func TestLagDiscardsCopies(t *testing.T) {
	for name, copies := range map[string]int{"last copy read late": 2, "copy after": 3} {
		t.Run(name, func(t *testing.T) {
			fx := newFixture(t)
			fx.allowSlowRequests()
			_, calls := fx.oneServer(3)
			steps := fx.answeredElsewhere(calls, 2500*ms)
			for _, c := range calls {
				steps = append(steps, c.unansweredRequest(0, copies)...)
			}
			steps = append(steps, action(590*ms, func() { fx.steerer.RecordLag(fx.now) }))
			expectNoResets(t, fx.play(2500*ms, false, steps), calls...)
		})
	}
}

// TestAnswerDiscardsReliability guards against resets because callers have got an answer
// from another server during or after an earlier request, which has been answered.
func TestAnswerDiscardsReliability(t *testing.T) {
	for _, exchange := range []time.Duration{250 * ms, 700 * ms} {
		fx := newFixture(t)
		_, calls := fx.oneServer(3)
		steps := exchangeAt(fx.server(2, "a", agateinstance.Ready), exchange, exchange+50*ms, calls...)
		for _, c := range calls {
			steps = append(steps, c.unansweredRequest(0, 1)...)
			steps = append(steps, step{350 * ms, c.receiveResponse})
			steps = append(steps, c.unansweredRequest(1000*ms, 2)...)
		}
		expectNoResets(t, fx.play(2300*ms, false, steps), calls...)
	}
}

// TestCopyAtSilentServerIsResetAtOnce checks that a copy at a server that is confirmed as
// silent is answered by a reset, of which the caller hears once, unless its request may
// run only once.
func TestCopyAtSilentServerIsResetAtOnce(t *testing.T) {
	fx := newFixture(t)
	server, calls := fx.oneServer(3)
	late, once := fx.flowAt(server), fx.newFlow(orders)
	once.token, once.sequence, once.acknowledged = late.token, 101, 5000
	steps := append(silentRequests(calls), fx.answeredElsewhere(calls, time.Second)...)
	steps = append(steps, step{745 * ms, late.request}, step{745 * ms, once.request})
	expectResets(t, fx.play(945*ms, false, steps), calls...)
	tracked := fx.steerer.Flows()
	if v := late.retransmit(); v.Action != agatesteer.Reset || v.Reason != agatesteer.Silent {
		t.Errorf("copy of an idempotent request: %s (%s), want reset (silent)", v.Action, v.Reason)
	}
	expectForward(t, once.retransmit(), server)
	if got := fx.steerer.Flows(); got != tracked-1 {
		t.Errorf("%d flows are tracked after the reset of one of %d", got, tracked)
	}
	if resets := fx.run(300 * ms); len(resets) > 0 {
		t.Errorf("%d more resets (%s), want 0", len(resets), resets[0].Reason)
	}
}

// TestConfirmationLasts checks how long one copy is enough for a reset after the witnesses'
// time is over, 1.96 s after their requests.
func TestConfirmationLasts(t *testing.T) {
	for copied, resets := range map[time.Duration]bool{3500 * ms: true, 4100 * ms: false} {
		fx := newFixture(t)
		_, calls := fx.oneServer(4)
		late, rest := calls[0], calls[1:]
		steps := append(silentRequests(rest), fx.answeredElsewhere(rest, time.Second)...)
		steps = append(steps, late.unansweredRequest(copied-200*ms, 1)...)
		if _, reset := fx.play(copied+200*ms, false, steps)[late.flow]; reset != resets {
			t.Errorf("copy after %s: reset %t, want %t", copied, reset, resets)
		}
	}
}

// TestResetNamesRegistration checks that resets at a server whose registration is gone are
// told from others.
func TestResetNamesRegistration(t *testing.T) {
	for state, want := range map[agateinstance.State]agatesteer.Reason{agateinstance.Ready: agatesteer.Silent, agateinstance.Gone: agatesteer.Ended} {
		fx := newFixture(t)
		server, calls := fx.oneServer(3)
		fx.server(server.ID, "a", state)
		steps := append(silentRequests(calls), fx.answeredElsewhere(calls, 700*ms)...)
		fx.play(710*ms, false, steps)
		resets := fx.run(300 * ms)
		if len(resets) != len(calls) {
			t.Errorf("%s: %d resets, want %d", state, len(resets), len(calls))
		}
		for _, v := range resets {
			if v.Reason != want {
				t.Errorf("%s: reset (%s), want %s", state, v.Reason, want)
			}
		}
	}
}

// TestLateSYNIsNotPlacedAnew guards against an open flow that counts as a new one at another
// server because its SYN arrives again.
func TestLateSYNIsNotPlacedAnew(t *testing.T) {
	fx := newFixture(t)
	own := fx.server(1, "a", agateinstance.Ready)
	c := fx.newFlow(feeds)
	v := c.syn()
	syn := c.last
	c.accept(v)
	fx.server(2, "a", agateinstance.Ready)
	if v := c.send(syn); v.Action != agatesteer.Drop || v.Reason != agatesteer.Stale {
		t.Errorf("the late SYN: %s (%s), want drop (stale)", v.Action, v.Reason)
	}
	c.exchange(t, own)
}

// TestUnconfirmedCatalogRefusesNothing guards against refusals by an entry that has just
// started and has no catalog yet.
func TestUnconfirmedCatalogRefusesNothing(t *testing.T) {
	fx := newFixture(t)
	fx.steerer = agatesteer.New(fx.policy, "a", rand.New(rand.NewPCG(1, 2)).Float64)
	if v := fx.newFlow(feeds).syn(); v.Action != agatesteer.Drop || v.Reason != agatesteer.OutdatedCatalog {
		t.Errorf("%s (%s), want drop (oldview)", v.Action, v.Reason)
	}
}

// suspicions returns the loads of suspected servers by token.
func (fx *fixture) suspicions() map[uint32]agateload.Load {
	loads := make(map[uint32]agateload.Load)
	for _, each := range fx.steerer.Suspicions(fx.now) {
		loads[each.Token] = each
	}
	return loads
}

// TestEvidenceIsOnNamedServer guards against evidence on a server that has got a copy of a
// flow's SYN only: another one has opened the flow and leaves its request unanswered.
func TestEvidenceIsOnNamedServer(t *testing.T) {
	fx := newFixture(t)
	fx.server(1, "a", agateinstance.Ready)
	fx.server(2, "a", agateinstance.Ready)
	c := fx.newFlow(feeds)
	first := c.syn()
	fx.run(100 * ms)
	second := c.syn()
	if first.Server == second.Server {
		t.Fatal("the copy went to the same server")
	}
	c.accept(first)
	fx.run(10 * ms)
	c.request()
	fx.run(200 * ms)
	c.retransmit()
	if loads := fx.suspicions(); loads[first.Token].UnansweredFlows != 1 || loads[second.Token].UnansweredFlows != 0 {
		t.Errorf("suspicions %+v, want one on server %d", loads, first.Server)
	}
}

// TestUnansweredSYNIsFirm checks that a SYN with a copy is firm evidence on the server that
// got the first one.
func TestUnansweredSYNIsFirm(t *testing.T) {
	fx := newFixture(t)
	fx.server(1, "a", agateinstance.Ready)
	fx.server(2, "a", agateinstance.Ready)
	c := fx.newFlow(feeds)
	first := c.syn()
	fx.run(200 * ms)
	c.syn()
	if loads := fx.suspicions(); len(loads) != 1 || loads[first.Token].UnansweredFlows != 1 || loads[first.Token].Firm != 1 {
		t.Errorf("suspicions %+v, want one firm flow on server %d", loads, first.Server)
	}
}

// TestTwiceResentRequestIsFirm checks that a request is firm evidence from its second copy
// on, and that other entries get the news of both copies at once.
func TestTwiceResentRequestIsFirm(t *testing.T) {
	fx := newFixture(t)
	_, calls := fx.oneServer(1)
	c := calls[0]
	c.request()
	for i, wait := range []time.Duration{200 * ms, 400 * ms, 800 * ms} {
		fx.run(wait)
		fx.steerer.TakeUrgent()
		c.retransmit()
		if load := fx.suspicions()[c.token]; load.UnansweredFlows != 1 || int(load.Firm) != min(i, 1) {
			t.Errorf("copy %d: %d unanswered flows, %d firm", i+1, load.UnansweredFlows, load.Firm)
		}
		if urgent := fx.steerer.TakeUrgent(); urgent != (i < 2) {
			t.Errorf("copy %d: urgent news %t", i+1, urgent)
		}
	}
}

// TestTwoFlowsSuspectServer checks that a server gets no new flows from its second unanswered
// flow on.
func TestTwoFlowsSuspectServer(t *testing.T) {
	for flows, silent := range []int{0, 0, 1, 1} {
		fx := newFixture(t)
		_, calls := fx.oneServer(flows)
		fx.server(2, "a", agateinstance.Ready)
		var steps []step
		for _, c := range calls {
			steps = append(steps, c.unansweredRequest(0, 1)...)
		}
		fx.play(300*ms, false, steps)
		if e := fx.evidence(); e.Candidates != 2 || e.Silent != silent {
			t.Errorf("%d unanswered flows: %d of %d servers silent, want %d of 2", flows, e.Silent, e.Candidates, silent)
		}
	}
}

// TestFourthFlowIsNoUrgentNews guards against a message to other entries for each of the many
// flows that a silent server leaves unanswered.
func TestFourthFlowIsNoUrgentNews(t *testing.T) {
	fx := newFixture(t)
	_, calls := fx.oneServer(6)
	for _, c := range calls {
		c.request()
	}
	fx.run(200 * ms)
	for i, c := range calls {
		c.retransmit()
		if urgent := fx.steerer.TakeUrgent(); urgent != (i < 3) {
			t.Errorf("flow %d: urgent news %t", i+1, urgent)
		}
	}
}

// TestReusedPortHasNoPreviousServer guards against a new flow that is kept from the server
// of an earlier one of its port.
func TestReusedPortHasNoPreviousServer(t *testing.T) {
	fx := newFixture(t)
	fx.server(1, "a", agateinstance.Ready)
	c := fx.newFlow(feeds)
	c.open()
	c.finish()
	fx.server(2, "a", agateinstance.Ready)
	next := &callerFlow{fx: fx, sequence: 700000, flow: c.flow}
	if v := next.syn(); v.Evidence.PreviousServer != 0 {
		t.Errorf("previous server %d, want none", v.Evidence.PreviousServer)
	}
}

// TestAnswerRefutesCut guards against resets because a data centre counts as cut off after
// one of its servers has answered, here or at another entry.
func TestAnswerRefutesCut(t *testing.T) {
	for name, elsewhere := range map[string]bool{"here": false, "at another entry": true} {
		t.Run(name, func(t *testing.T) {
			fx := newFixture(t)
			calls := slices.Concat(fx.remoteFlows(1, 1, 1, 1)...)
			answered, rest := calls[0], calls[1:]
			steps := append(silentRequests(rest), fx.answeredElsewhere(rest, time.Second)...)
			if elsewhere {
				steps = append(steps, action(750*ms, func() { fx.peerAnswer(answered.token, 100*ms) }))
			} else {
				steps = append(steps, step{580 * ms, answered.request}, step{620 * ms, answered.receiveResponse})
			}
			expectNoResets(t, fx.play(1300*ms, false, steps), calls...)
		})
	}
}

// lossAt returns the steps of a request on a flow at a server that is sent again twice,
// while the server answers another caller's requests of the given times.
func (fx *fixture) lossAt(server agateinstance.Instance, exchanges ...[2]time.Duration) []step {
	steps := fx.flowAt(server).unansweredRequest(0, 2)
	for _, at := range exchanges {
		steps = append(steps, exchangeAt(server, at[0], at[1], fx.flowAt(server))...)
	}
	return steps
}

// TestLossNeedsLaterRequest checks that segments count as lost if a server has answered
// what it got after the first copy, and no earlier request.
func TestLossNeedsLaterRequest(t *testing.T) {
	for name, c := range map[string]struct {
		exchanges [][2]time.Duration
		resets    bool
	}{
		"earlier request":                          {[][2]time.Duration{{190 * ms, 590 * ms}}, true},
		"request with the copy":                    {[][2]time.Duration{{200 * ms, 590 * ms}}, false},
		"later request":                            {[][2]time.Duration{{210 * ms, 590 * ms}}, false},
		"later request, then answer to an earlier": {[][2]time.Duration{{210 * ms, 300 * ms}, {50 * ms, 590 * ms}}, false},
	} {
		t.Run(name, func(t *testing.T) {
			fx := newFixture(t)
			_, calls := fx.oneServer(3)
			lossy := fx.server(3, "a", agateinstance.Ready)
			steps := append(fx.lossAt(lossy, c.exchanges...), silentRequests(calls)...)
			steps = append(steps, fx.answeredElsewhere(calls, time.Second)...)
			resets := fx.play(1300*ms, false, steps)
			if c.resets {
				expectResets(t, resets, calls...)
			} else {
				expectNoResets(t, resets, calls...)
			}
		})
	}
}

// TestUnansweredHandshakeShowsNoLoss guards against flows of a crashed server that are not
// given up because another one is full: it answers others, and no SYN.
func TestUnansweredHandshakeShowsNoLoss(t *testing.T) {
	fx := newFixture(t)
	_, calls := fx.oneServer(3)
	fx.server(1, "a", agateinstance.Draining)
	steps := append(silentRequests(calls), fx.answeredElsewhere(calls, time.Second)...)
	c := fx.newFlow(orders)
	for _, at := range []time.Duration{0, 200 * ms, 600 * ms} {
		steps = append(steps, step{at, c.syn})
	}
	expectResets(t, fx.play(time.Second, false, steps), calls...)
}

// TestExchangeBetweenCopiesIsReliable checks that an answer of another server between the
// first copy and the second makes a caller reliable, if it took less than a
// retransmission timeout.
func TestExchangeBetweenCopiesIsReliable(t *testing.T) {
	for name, c := range map[string]struct {
		request, answer time.Duration
		resets          bool
	}{
		"before the copy":   {190 * ms, 240 * ms, false},
		"with the copy":     {200 * ms, 250 * ms, true},
		"in time":           {300 * ms, 470 * ms, true},
		"late":              {300 * ms, 471 * ms, false},
		"after both copies": {610 * ms, 650 * ms, true},
	} {
		t.Run(name, func(t *testing.T) {
			fx := newFixture(t)
			_, calls := fx.oneServer(3)
			steps := append(silentRequests(calls), exchangeAt(fx.server(2, "a", agateinstance.Ready), c.request, c.answer, calls...)...)
			resets := fx.play(1100*ms, false, steps)
			if c.resets {
				expectResets(t, resets, calls...)
			} else {
				expectNoResets(t, resets, calls...)
			}
		})
	}
}

// TestLongRequestIsNotReliable guards against reliable witnesses by the answer to a request
// whose first segment came before the copies, and its last one after them.
func TestLongRequestIsNotReliable(t *testing.T) {
	fx := newFixture(t)
	_, calls := fx.oneServer(3)
	other := fx.server(2, "a", agateinstance.Ready)
	steps := silentRequests(calls)
	for _, c := range calls {
		long := c.sibling(other)
		steps = append(steps, step{150 * ms, long.request}, step{210 * ms, long.request}, step{250 * ms, long.receiveResponse})
	}
	expectNoResets(t, fx.play(1300*ms, false, steps), calls...)
}

// TestHandshakeOnReusedPortIsReliable checks that the answer to a first SYN makes a caller
// reliable, also if the SYN of an earlier flow of its port was sent again.
func TestHandshakeOnReusedPortIsReliable(t *testing.T) {
	fx := newFixture(t)
	_, calls := fx.oneServer(3)
	fx.server(1, "a", agateinstance.Draining)
	fx.server(2, "a", agateinstance.Ready)
	steps := silentRequests(calls)
	for _, c := range calls {
		earlier := fx.newFlow(orders)
		earlier.flow.Source = c.flow.Source
		earlier.syn()
		earlier.accept(earlier.syn())
		earlier.finish()
		next := &callerFlow{fx: fx, sequence: 700000, flow: earlier.flow}
		var placed agatesteer.Verdict
		steps = append(steps, step{300 * ms, func() agatesteer.Verdict {
			placed = next.syn()
			return placed
		}}, step{350 * ms, func() agatesteer.Verdict { return next.accept(placed) }})
	}
	expectResets(t, fx.play(1000*ms, false, steps), calls...)
}

// peerAnswer reports that a server has answered another entry at a time before now.
func (fx *fixture) peerAnswer(token uint32, before time.Duration) {
	fx.steerer.Report("vm-9", []agateload.Load{{Token: token, SinceAnswer: agateload.EncodeAge(before - fx.policy.Transit)}}, true, fx.now)
}

// TestAnswerAfterRequestRefutesWitness guards against resets because of requests that were
// sent before their server answered another entry.
func TestAnswerAfterRequestRefutesWitness(t *testing.T) {
	for _, heard := range []time.Duration{150 * ms, 620 * ms} {
		fx := newFixture(t)
		_, calls := fx.oneServer(3)
		steps := append(silentRequests(calls), fx.answeredElsewhere(calls, time.Second)...)
		steps = append(steps, action(heard, func() { fx.peerAnswer(calls[0].token, heard-50*ms) }))
		expectNoResets(t, fx.play(1300*ms, false, steps), calls...)
	}
}

// TestAnswerBeforeRequestRefutesNothing checks that the time for which another entry's report
// was under way isn't taken for a later answer.
func TestAnswerBeforeRequestRefutesNothing(t *testing.T) {
	fx := newFixture(t)
	_, calls := fx.oneServer(3)
	steps := append(silentRequests(calls), fx.answeredElsewhere(calls, time.Second)...)
	steps = append(steps, action(150*ms, func() { fx.peerAnswer(calls[0].token, 151*ms) }))
	expectResets(t, fx.play(1000*ms, false, steps), calls...)
}

// TestReportedAges checks that an entry reports how long its own flow has been unanswered and
// its own last answer, not one that it has heard of, and neither if nobody suspects a server.
func TestReportedAges(t *testing.T) {
	fx := newFixture(t)
	_, calls := fx.oneServer(1)
	idle := fx.flowAt(fx.server(2, "a", agateinstance.Ready))
	idle.request()
	idle.receiveResponse()
	c := calls[0]
	c.request()
	fx.run(200 * ms)
	c.retransmit()
	fx.peerAnswer(c.token, 250*ms)
	loads := make(map[uint32]agateload.Load)
	for _, load := range fx.steerer.Loads(fx.now) {
		loads[load.Token] = load
	}
	if load := loads[c.token]; load.UnansweredFor != 200 || load.SinceAnswer != 1200 {
		t.Errorf("unanswered for %d ms, last answer %d ms ago, want 200, 1200", load.UnansweredFor, load.SinceAnswer)
	}
	if load, ok := loads[idle.token]; !ok || load.SinceAnswer != 0 || load.UnansweredFor != 0 {
		t.Errorf("server that nobody suspects: reported %t, %+v", ok, load)
	}
}

// TestDoubtHoldsResets checks that no flow of a silent server is reset while the entry has
// been behind with its packets, or segments were lost, and that all are afterwards.
func TestDoubtHoldsResets(t *testing.T) {
	for name, c := range map[string]struct {
		lag, loss    bool
		answer       time.Duration
		after, until time.Duration
	}{
		"no doubt":       {after: 800 * ms, until: 900 * ms},
		"lag":            {lag: true, after: 1350 * ms, until: 1450 * ms},
		"lag, answered":  {lag: true, answer: 1100 * ms},
		"loss":           {loss: true, after: 2800 * ms, until: 2900 * ms},
		"loss, answered": {loss: true, answer: 2500 * ms},
	} {
		t.Run(name, func(t *testing.T) {
			fx := newFixture(t)
			fx.allowSlowRequests()
			_, calls := fx.oneServer(3)
			steps := fx.answeredElsewhere(calls, 4*time.Second)
			for _, each := range calls {
				steps = append(steps, each.unansweredRequest(0, 3)...)
			}
			if c.lag {
				steps = append(steps, action(650*ms, func() { fx.steerer.RecordLag(fx.now) }))
			}
			if c.loss {
				steps = append(steps, fx.lossAt(fx.server(3, "a", agateinstance.Ready), [2]time.Duration{210 * ms, 300 * ms})...)
			}
			if c.answer > 0 {
				steps = append(steps, step{c.answer, calls[0].receiveResponse})
			}
			resets := fx.play(2950*ms, false, steps)
			if c.answer > 0 {
				expectNoResets(t, resets, calls...)
				return
			}
			expectResets(t, resets, calls...)
			for _, at := range resets {
				if at < c.after || at > c.until {
					t.Errorf("reset after %s, want from %s to %s", at, c.after, c.until)
				}
			}
		})
	}
}

// TestReportedWitness checks which callers an entry reports to others as reliable witnesses.
func TestReportedWitness(t *testing.T) {
	for name, c := range map[string]struct {
		exchange, loss bool
		answered       time.Duration
		at             time.Duration
		want           bool
	}{
		"reliable":                  {exchange: true, at: 700 * ms, want: true},
		"no answer from elsewhere":  {at: 700 * ms},
		"segments lost":             {exchange: true, loss: true, at: 700 * ms},
		"next copy overdue":         {exchange: true, at: 1970 * ms},
		"next copy still possible":  {exchange: true, at: 1950 * ms, want: true},
		"answered to another entry": {exchange: true, answered: 650 * ms, at: 700 * ms},
	} {
		t.Run(name, func(t *testing.T) {
			fx := newFixture(t)
			_, calls := fx.oneServer(2)
			steps := calls[0].unansweredRequest(0, 2)
			steps = append(steps, calls[1].unansweredRequest(10*ms, 2)...)
			if c.exchange {
				steps = append(steps, exchangeAt(fx.server(2, "a", agateinstance.Ready), 250*ms, 300*ms, calls[1])...)
			}
			if c.loss {
				steps = append(steps, fx.lossAt(fx.server(3, "a", agateinstance.Ready), [2]time.Duration{210 * ms, 300 * ms})...)
			}
			if c.answered > 0 {
				steps = append(steps, action(c.answered, func() { fx.peerAnswer(calls[0].token, 100*ms) }))
			}
			fx.play(c.at, false, steps)
			want := uint32(0)
			if c.want {
				want = agatesilence.Caller(calls[1].flow.Source).Number()
			}
			var got uint32
			for _, load := range fx.steerer.Loads(fx.now) {
				got = max(got, load.Witness)
			}
			if got != want {
				t.Errorf("witness %x, want %x", got, want)
			}
		})
	}
}

// TestSilentCentreReportsNoWitness guards against witnesses for other entries while the path
// to a data centre may be interrupted.
func TestSilentCentreReportsNoWitness(t *testing.T) {
	fx := newFixture(t)
	calls := slices.Concat(fx.remoteFlows(1, 1, 1)...)
	steps := append(silentRequests(calls), fx.answeredElsewhere(calls, time.Second)...)
	fx.play(705*ms, false, steps)
	for _, load := range fx.steerer.Loads(fx.now) {
		if load.Witness != 0 {
			t.Errorf("server with token %x: witness %x, want none", load.Token, load.Witness)
		}
	}
}

// TestReliableWitnessIsUrgent checks that other entries get the news of the first reliable
// witness at once, also if its copies came before.
func TestReliableWitnessIsUrgent(t *testing.T) {
	fx := newFixture(t)
	_, calls := fx.oneServer(1)
	other := fx.server(2, "a", agateinstance.Ready)
	fx.play(610*ms, false, silentRequests(calls))
	for i := range 2 {
		fx.steerer.TakeUrgent()
		fx.play(60*ms, false, exchangeAt(other, 0, 50*ms, calls...))
		if urgent := fx.steerer.TakeUrgent(); urgent != (i == 0) {
			t.Errorf("answer %d: urgent news %t", i+1, urgent)
		}
	}
}

// TestPeerWitnesses checks which reports of other entries count as witnesses beside this
// entry's own.
func TestPeerWitnesses(t *testing.T) {
	type report struct {
		at, since time.Duration
		witness   uint32
	}
	const requested = 300 * ms
	lastAnswer := -requested - time.Second
	own := agatesilence.Caller{100, 64, 0, 10}.Number()
	second := agatesilence.Caller{100, 64, 0, 11}.Number()
	for name, c := range map[string]struct {
		unreliable int
		reports    []report
		resets     bool
	}{
		"two other callers":         {0, []report{{300 * ms, 200 * ms, 1}, {300 * ms, 200 * ms, 2}}, true},
		"one caller twice":          {0, []report{{300 * ms, 200 * ms, 1}, {300 * ms, 200 * ms, 1}}, false},
		"the own caller":            {0, []report{{300 * ms, 200 * ms, 1}, {300 * ms, 200 * ms, own}}, false},
		"an own caller, unreliable": {1, []report{{300 * ms, 200 * ms, second}}, false},
		"one other, two own":        {1, []report{{300 * ms, 200 * ms, 1}}, true},
		"no witness":                {1, []report{{300 * ms, 200 * ms, 0}}, false},
		"before the last answer":    {1, []report{{300 * ms, lastAnswer - 10*ms, 1}}, false},
		"with the last answer":      {1, []report{{300 * ms, lastAnswer, 1}}, false},
		"after the last answer":     {1, []report{{300 * ms, lastAnswer + 10*ms, 1}}, true},
		"still counts":              {1, []report{{-150 * ms, -250 * ms, 1}}, true},
		"out of date":               {1, []report{{-250 * ms, -350 * ms, 1}}, false},
	} {
		t.Run(name, func(t *testing.T) {
			fx := newFixture(t)
			_, calls := fx.oneServer(1 + c.unreliable)
			steps := exchangeAt(fx.server(2, "a", agateinstance.Ready), requested+250*ms, requested+300*ms, calls[0])
			for _, each := range calls {
				steps = append(steps, each.unansweredRequest(requested, 2)...)
			}
			for i, r := range c.reports {
				load := agateload.Load{Token: calls[0].token, UnansweredFlows: 1, Witness: r.witness, UnansweredFor: agateload.EncodeAge(r.at - r.since)}
				steps = append(steps, action(requested+r.at, func() {
					fx.steerer.Report([]string{"vm-2", "vm-3"}[i], []agateload.Load{load}, true, fx.now)
				}))
			}
			resets := fx.play(requested+1200*ms, false, steps)
			if c.resets {
				expectResets(t, resets, calls...)
			} else {
				expectNoResets(t, resets, calls...)
			}
		})
	}
}

// TestRegistrationIsNoWitness guards against resets after two callers' copies because a
// registration has lapsed, because another writer's entry has the address of the server, or
// both.
func TestRegistrationIsNoWitness(t *testing.T) {
	for name, c := range map[string]struct{ lapsed, taken bool }{
		"lapsed": {true, false}, "address taken": {false, true}, "both": {true, true},
	} {
		t.Run(name, func(t *testing.T) {
			fx := newFixture(t)
			server, calls := fx.oneServer(2)
			if c.lapsed {
				fx.write(server, lapse)
			}
			if c.taken {
				fx.write(server, func(i *agateinstance.Instance) { i.ID, i.StartTime, i.Service = 77, 2, "unnamed" })
			}
			steps := append(silentRequests(calls), fx.answeredElsewhere(calls, time.Second)...)
			expectNoResets(t, fx.play(1300*ms, false, steps), calls...)
		})
	}
}

// TestSignRefutesCut guards against resets because a data centre counts as cut off after one
// of its entries was heard, also if an earlier sign arrives later.
func TestSignRefutesCut(t *testing.T) {
	fx := newFixture(t)
	calls := slices.Concat(fx.remoteFlows(1, 1, 1, 1)...)
	idle, rest := calls[0], calls[1:]
	steps := append(silentRequests(rest), fx.answeredElsewhere(rest, time.Second)...)
	steps = append(steps, action(750*ms, func() {
		fx.steerer.RecordCentre("b", fx.now)
		fx.peerAnswer(idle.token, 2*time.Second)
	}))
	expectNoResets(t, fx.play(1300*ms, false, steps), calls...)
}

// TestCutCountsNothingBeforeSign guards against resets because of flows whose requests were
// sent before the last sign of their data centre.
func TestCutCountsNothingBeforeSign(t *testing.T) {
	for name, peer := range map[string]bool{"evidence": false, "witness": true} {
		t.Run(name, func(t *testing.T) {
			fx := newFixture(t)
			calls := slices.Concat(fx.remoteFlows(1, 1, 1)...)
			steps := append(fx.answeredElsewhere(calls, time.Second), action(50*ms, func() { fx.steerer.RecordCentre("b", fx.now) }))
			steps = append(steps, calls[0].unansweredRequest(0, 2)...)
			steps = append(steps, calls[1].unansweredRequest(100*ms, 2)...)
			if peer {
				load := agateload.Load{Token: calls[2].token, UnansweredFlows: 2, Firm: 2, UnansweredFor: 10}
				steps = append(steps, action(200*ms, func() { fx.steerer.Report("vm-2", []agateload.Load{load}, true, fx.now) }))
			} else {
				steps = append(steps, calls[2].unansweredRequest(100*ms, 2)...)
			}
			expectNoResets(t, fx.play(1500*ms, false, steps), calls...)
		})
	}
}

// TestCutNeedsTwoCallers checks that two callers are enough for a data centre to count as cut
// off, and one is not, however many flows it has.
func TestCutNeedsTwoCallers(t *testing.T) {
	for _, number := range []int{1, 2} {
		fx := newFixture(t)
		calls := slices.Concat(fx.remoteFlows(1, 1, 1, 1)...)
		for i, c := range calls {
			c.flow.Source[3] = byte(10 + i%number)
		}
		steps := append(silentRequests(calls), fx.answeredElsewhere(calls, time.Second)...)
		resets := fx.play(1300*ms, false, steps)
		if number == 1 {
			expectNoResets(t, resets, calls...)
			continue
		}
		expectResets(t, resets, calls...)
		for _, at := range resets {
			if want := 800 * ms; at < want {
				t.Errorf("reset after %s, before other entries could contradict", at)
			}
		}
	}
}

// TestCallersProveOnlyThemselves guards against reliable witnesses because another caller
// has been answered.
func TestCallersProveOnlyThemselves(t *testing.T) {
	fx := newFixture(t)
	_, calls := fx.oneServer(4)
	steps := append(silentRequests(calls), fx.answeredElsewhere(calls[:1], time.Second)...)
	expectNoResets(t, fx.play(1300*ms, false, steps), calls...)
}

// TestManyStuckFlowsOfCaller checks that an answer makes a caller a reliable witness against
// each of the servers that leave its requests unanswered, however often they were sent again.
func TestManyStuckFlowsOfCaller(t *testing.T) {
	fx := newFixture(t)
	fx.allowSlowRequests()
	_, calls := fx.oneServer(1)
	other, answering := fx.server(2, "a", agateinstance.Ready), fx.server(3, "a", agateinstance.Ready)
	stuck := calls[0].sibling(other)
	steps := calls[0].unansweredRequest(0, 2)
	for at := 700 * ms; at < 30*time.Second; at += 1400 * ms {
		steps = append(steps, step{at, calls[0].retransmit})
	}
	steps = append(steps, stuck.unansweredRequest(30*time.Second, 2)...)
	steps = append(steps, exchangeAt(answering, 30250*ms, 30300*ms, calls[0])...)
	fx.play(30700*ms, false, steps)
	witnesses := make(map[uint32]uint32)
	for _, load := range fx.steerer.Loads(fx.now) {
		witnesses[load.Token] = load.Witness
	}
	if want := agatesilence.Caller(stuck.flow.Source).Number(); witnesses[stuck.token] != want {
		t.Errorf("witness %x against the second server, want %x", witnesses[stuck.token], want)
	}
}

// TestWithdrawnSuspicion checks that another entry's suspicion no longer counts once its
// complete report lacks the server.
func TestWithdrawnSuspicion(t *testing.T) {
	fx := newFixture(t)
	server, _ := fx.oneServer(1)
	token, _ := fx.catalog.Token(server.Key)
	for _, flows := range []int{5, 0} {
		var loads []agateload.Load
		if flows > 0 {
			loads = append(loads, agateload.Load{Token: token, UnansweredFlows: uint8(flows), UnansweredFor: 100})
		}
		fx.steerer.Report("vm-2", loads, false, fx.now)
		if e := fx.evidence(); e.UnansweredFlows != flows || e.Reporters != min(flows, 1) {
			t.Errorf("%d unanswered flows, %d reporters, want %d", e.UnansweredFlows, e.Reporters, flows)
		}
	}
}

// TestSuspectedServerStaysReported guards against a server that this entry or another one
// suspects and that is no longer reported because no flow is open at it.
func TestSuspectedServerStaysReported(t *testing.T) {
	for name, own := range map[string]bool{"here": true, "by another entry": false} {
		t.Run(name, func(t *testing.T) {
			fx := newFixture(t)
			_, calls := fx.oneServer(1)
			c := calls[0]
			if own {
				c.request()
				fx.run(200 * ms)
				c.retransmit()
			} else {
				fx.steerer.Report("vm-2", []agateload.Load{{Token: c.token, UnansweredFlows: 1, UnansweredFor: 100}}, true, fx.now)
			}
			c.finish()
			fx.run(20 * time.Second)
			loads := fx.steerer.Loads(fx.now)
			if len(loads) != 1 || loads[0].SinceAnswer == 0 || own != (loads[0].UnansweredFlows == 1) {
				t.Errorf("loads %+v, want one of the suspected server", loads)
			}
		})
	}
}

// TestOldSuspicionHidesNoOther checks that a suspicion from before a server's last answer
// neither counts nor takes away a later one of another entry.
func TestOldSuspicionHidesNoOther(t *testing.T) {
	fx := newFixture(t)
	_, calls := fx.oneServer(1)
	for from, unanswered := range map[string]time.Duration{"vm-2": 1500 * ms, "vm-3": 500 * ms} {
		load := agateload.Load{Token: calls[0].token, UnansweredFlows: 3, UnansweredFor: agateload.EncodeAge(unanswered)}
		fx.steerer.Report(from, []agateload.Load{load}, true, fx.now)
	}
	if e := fx.evidence(); e.UnansweredFlows != 3 || e.Reporters != 1 {
		t.Errorf("%d unanswered flows, %d reporters, want 3, 1", e.UnansweredFlows, e.Reporters)
	}
}

// TestHeardAnswerIsNoCorrection guards against entries that correct each other's suspicions
// by answers that they have only heard of.
func TestHeardAnswerIsNoCorrection(t *testing.T) {
	fx := newFixture(t)
	_, calls := fx.oneServer(1)
	fx.peerAnswer(calls[0].token, 200*ms)
	fx.steerer.TakeUrgent()
	load := agateload.Load{Token: calls[0].token, UnansweredFlows: 3, UnansweredFor: 500}
	fx.steerer.Report("vm-2", []agateload.Load{load}, true, fx.now)
	if urgent := fx.steerer.TakeUrgent(); urgent || len(fx.suspicions()) > 0 {
		t.Errorf("urgent news %t, want none and no report", urgent)
	}
}

// TestCentreNeedsFirmFlows checks that a data centre isn't taken for silent because of slow
// requests, each of which is sent again once.
func TestCentreNeedsFirmFlows(t *testing.T) {
	for firm := range 4 {
		fx := newFixture(t)
		calls := slices.Concat(fx.remoteFlows(1, 1, 1)...)
		fx.server(1, "a", agateinstance.Gone)
		var steps []step
		for i, c := range calls {
			copies := 1
			if i < firm {
				copies = 2
			}
			steps = append(steps, c.unansweredRequest(0, copies)...)
		}
		fx.play(700*ms, false, steps)
		if e := fx.evidence(); e.CentreSilent != (firm >= 2) {
			t.Errorf("%d firm flows: data centre silent %t", firm, e.CentreSilent)
		}
	}
}

// TestSignEndsSilenceOfCentre checks that a data centre gets new flows again once one of its
// entries has been heard.
func TestSignEndsSilenceOfCentre(t *testing.T) {
	fx := newFixture(t)
	calls := slices.Concat(fx.remoteFlows(1, 1, 1)...)
	fx.server(1, "a", agateinstance.Gone)
	for _, c := range calls {
		c.request()
	}
	for _, wait := range []time.Duration{200 * ms, 410 * ms} {
		fx.run(wait)
		for _, c := range calls {
			c.retransmit()
		}
	}
	fx.run(100 * ms)
	for _, silent := range []bool{true, false} {
		if e := fx.evidence(); e.CentreSilent != silent {
			t.Errorf("data centre silent: %t, want %t", e.CentreSilent, silent)
		}
		fx.steerer.RecordCentre("b", fx.now)
		fx.run(100 * ms)
	}
}

package agatesteer_test

import (
	"testing"
	"time"

	"agatereach/core/request/agateload"

	"agatereach/core/process/agatesteer"
	"agatereach/core/request/agatetuple"
	"agatereach/core/version/agateinstance"
	"agatereach/core/version/agatevip"
)

// TestDeregisteredServerMayServe has a server serve on after its registration
// is gone while segments are lost: the flow must not be reset.
func TestDeregisteredServerMayServe(t *testing.T) {
	fx := newFixture(t)
	fx.server(1, "a", agateinstance.Ready)
	fx.server(2, "a", agateinstance.Ready)
	c := fx.newFlow(feeds)
	id := c.open().Server
	fx.run(10 * ms)
	fx.server(id, "a", agateinstance.Gone)
	if v := c.request(); v.Action != agatesteer.Forward {
		t.Fatalf("first segment: %s, want forward", v.Action)
	}
	for i, wait := range []time.Duration{200 * ms, 400 * ms, 800 * ms} {
		fx.run(wait)
		if v := c.retransmit(); v.Action != agatesteer.Forward {
			t.Errorf("copy %d: %s (%s), want forward", i+1, v.Action, v.Reason)
		}
	}
}

// TestDeregisteredSilentServerEndsFlows has a server end whose registration is gone,
// while another one answers its callers: its flows must be reset within a second,
// so that callers can try elsewhere within 1.2 s.
func TestDeregisteredSilentServerEndsFlows(t *testing.T) {
	for _, to := range []agatevip.VIP{feeds, orders} {
		t.Run(to.Name, func(t *testing.T) {
			fx := newFixture(t)
			fx.server(1, "a", agateinstance.Ready)
			var calls []*callerFlow
			for range 3 {
				c := fx.newFlow(to)
				c.open()
				calls = append(calls, c)
			}
			fx.run(time.Second)
			fx.server(1, "a", agateinstance.Gone)
			steps := fx.answeredElsewhere(calls, time.Second)
			for _, c := range calls {
				steps = append(steps, c.unansweredRequest(0, 2)...)
			}
			resets := fx.play(time.Second, false, steps)
			if len(resets) != len(calls) {
				t.Errorf("%d flows were reset within a second, want %d", len(resets), len(calls))
			}
		})
	}
}

// TestReplacedServerEndsFlows checks that the flows of three callers are reset within a
// second when their server has restarted at another address or its address belongs to
// another service, and that none of their segments go to the replacement.
func TestReplacedServerEndsFlows(t *testing.T) {
	for name, change := range map[string]func(*agateinstance.Instance){
		"started elsewhere": func(i *agateinstance.Instance) {
			i.StartTime++
			i.Address = otherAddress
		},
		"address taken": func(i *agateinstance.Instance) { i.ID, i.Service = 77, "intake" },
	} {
		t.Run(name, func(t *testing.T) {
			fx := newFixture(t)
			former := fx.server(1, "a", agateinstance.Ready)
			calls := []*callerFlow{fx.newFlow(orders), fx.newFlow(orders), fx.newFlow(orders)}
			for _, c := range calls {
				c.open()
			}
			if name == "address taken" {
				fx.server(1, "a", agateinstance.Gone)
			}
			fx.restart(former, change)
			fx.run(10 * ms)
			toFormer := func(send func() agatesteer.Verdict) func() agatesteer.Verdict {
				return func() agatesteer.Verdict {
					v := send()
					if v.Action == agatesteer.Forward && (v.Server != former.ID || v.Address != former.Address.AddrPort()) {
						t.Errorf("forwarded to server %x at %s", v.Server, v.Address)
					}
					if v.Action == agatesteer.Reset && v.Reason != agatesteer.Ended {
						t.Errorf("reset (%s), want ended", v.Reason)
					}
					return v
				}
			}
			steps := fx.answeredElsewhere(calls, time.Second)
			for _, c := range calls {
				for _, s := range c.unansweredRequest(0, 2) {
					steps = append(steps, step{s.at, toFormer(s.do)})
				}
			}
			if resets := fx.play(time.Second, false, steps); len(resets) != len(calls) {
				t.Errorf("%d flows were reset within a second, want %d", len(resets), len(calls))
			}
		})
	}
}

// restart registers what has followed a server.
func (fx *fixture) restart(former agateinstance.Instance, change func(*agateinstance.Instance)) {
	fx.revision++
	former.Revision = fx.revision
	change(&former)
	fx.register(former)
}

// TestRestartedServerKeepsFlows guards against resets of flows that were opened
// after their server had restarted at its address and before the entry knew: such
// a flow names the former incarnation, and only the server can tell whether it
// holds it. The start time may be earlier than the former one.
func TestRestartedServerKeepsFlows(t *testing.T) {
	for name, change := range map[string]int64{"later start": 1, "earlier start": -1} {
		for _, to := range []agatevip.VIP{feeds, orders} {
			t.Run(name+"/"+to.Name, func(t *testing.T) {
				fx := newFixture(t)
				former := fx.server(1, "a", agateinstance.Ready)
				c := fx.newFlow(to)
				c.open()
				c.request()
				c.receiveResponse()
				fx.restart(former, func(i *agateinstance.Instance) { i.StartTime += change })
				for _, send := range []func() agatesteer.Verdict{c.request, c.retransmit, c.retransmit, c.receiveResponse, c.finish} {
					if resets := fx.run(400 * ms); len(resets) > 0 {
						t.Fatalf("the flow was reset (%s)", resets[0].Reason)
					}
					if v := send(); v.Action != agatesteer.Forward || v.Server != former.ID || v.Address != former.Address.AddrPort() {
						t.Fatalf("%s (%s) to %s, want forward to %s", v.Action, v.Reason, v.Address, former.Address)
					}
				}
			})
		}
	}
}

// TestRestartWithCollidingToken guards against drops of a restarted server's flow whose
// token another server shares: the entry knows which of the two the flow was opened with.
func TestRestartWithCollidingToken(t *testing.T) {
	fx := newFixture(t)
	seen := make(map[uint32]uint64)
	var first, second uint64
	for id := uint64(1); first == 0; id++ {
		token := keyOf(id).Token(0)
		first, second = seen[token], id
		seen[token] = id
	}
	former := fx.server(first, "a", agateinstance.Ready)
	c := fx.newFlow(feeds)
	c.open()
	fx.restart(former, func(i *agateinstance.Instance) { i.StartTime++ })
	c.request()
	fx.server(second, "a", agateinstance.Ready)
	if v := c.receiveResponse(); v.Action != agatesteer.Forward || v.Server != first {
		t.Errorf("%s (%s) to server %x, want forward to %x", v.Action, v.Reason, v.Server, first)
	}
}

// TestRestartDiscardsEvidence guards against resets of a restarted server's flows
// because the former incarnation had left segments unanswered.
func TestRestartDiscardsEvidence(t *testing.T) {
	fx := newFixture(t)
	former := fx.server(1, "a", agateinstance.Ready)
	var calls []*callerFlow
	for range 4 {
		c := fx.newFlow(feeds)
		c.open()
		calls = append(calls, c)
	}
	fx.run(400 * ms)
	for _, c := range calls {
		c.request()
	}
	for _, wait := range []time.Duration{200 * ms, 400 * ms} {
		fx.run(wait)
		for _, c := range calls {
			c.retransmit()
		}
	}
	fx.restart(former, func(i *agateinstance.Instance) { i.StartTime++ })
	for range 3 {
		if resets := fx.run(300 * ms); len(resets) > 0 {
			t.Fatalf("%d flows were reset, want 0", len(resets))
		}
		if v := calls[0].retransmit(); v.Action != agatesteer.Forward {
			t.Errorf("%s (%s), want forward", v.Action, v.Reason)
		}
	}
}

// TestOneFlowDoesNotExcludeServer has a single flow retransmit many times: its
// server must keep getting new flows, and the flow must not be reset.
func TestOneFlowDoesNotExcludeServer(t *testing.T) {
	fx := newFixture(t)
	fx.server(1, "a", agateinstance.Ready)
	c := fx.newFlow(feeds)
	c.open()
	c.request()
	for range 5 {
		if resets := fx.run(150 * ms); len(resets) > 0 {
			t.Fatalf("the flow was reset (%s)", resets[0].Reason)
		}
		if v := c.retransmit(); v.Action != agatesteer.Forward {
			t.Fatalf("copy: %s (%s), want forward", v.Action, v.Reason)
		}
	}
	if v := fx.newFlow(orders).syn(); v.Action != agatesteer.Forward || v.Evidence.Silent != 0 {
		t.Errorf("new flow: %s, %d servers excluded as silent, want forward, 0", v.Action, v.Evidence.Silent)
	}
}

// TestSlowRequestsAreNotReset keeps all slots of a server busy with long
// requests, with more requests queued. Each is retransmitted once, since a
// server acknowledges a single segment only with its answer. No flow may be
// reset.
func TestSlowRequestsAreNotReset(t *testing.T) {
	fx := newFixture(t)
	fx.server(1, "a", agateinstance.Ready)
	var calls []*callerFlow
	for range 6 {
		c := fx.newFlow(feeds)
		c.open()
		calls = append(calls, c)
	}
	fx.run(10 * ms)
	for _, c := range calls {
		c.request()
		fx.run(5 * ms)
	}
	fx.run(200 * ms)
	for _, c := range calls {
		if v := c.retransmit(); v.Action != agatesteer.Forward {
			t.Fatalf("copy: %s (%s), want forward", v.Action, v.Reason)
		}
	}
	if resets := fx.run(350 * ms); len(resets) > 0 {
		t.Errorf("%d flows were reset, want 0", len(resets))
	}
}

// silenceServer opens flows and sends a request on each, after which server 1
// answers nothing more. Meanwhile it sends further SYNs, and retransmits those
// that server 1 got. It returns the id of that server and its open flows.
func (fx *fixture) silenceServer(flows int, to agatevip.VIP) (uint64, []*callerFlow) {
	byServer := make(map[uint64][]*callerFlow)
	var all []*callerFlow
	for range flows {
		c := fx.newFlow(to)
		id := c.open().Server
		byServer[id] = append(byServer[id], c)
		all = append(all, c)
	}
	dead := uint64(1)
	fx.run(10 * ms)
	for _, c := range all {
		c.request()
	}
	var syns []*callerFlow
	for range 8 {
		c := fx.newFlow(orders)
		if v := c.syn(); v.Server == dead {
			syns = append(syns, c)
		} else {
			c.accept(v)
			c.request()
		}
	}
	fx.run(50 * ms)
	for id, calls := range byServer {
		if id == dead {
			continue
		}
		for _, c := range calls {
			c.receiveResponse()
		}
	}
	fx.run(150 * ms)
	for _, c := range syns {
		c.syn()
	}
	return dead, byServer[dead]
}

// TestSilentServerIdempotentFlowsReset has one of four servers answer nothing, while
// the others answer its callers. From the first retransmissions on it must get no new
// flow; within a second of their requests its idempotent flows must be reset, so that
// callers can try elsewhere within 1.2 s, but not those whose requests may run only
// once, nor any flow of another server.
func TestSilentServerIdempotentFlowsReset(t *testing.T) {
	for _, c := range []struct {
		to     agatevip.VIP
		resets bool
	}{{to: feeds, resets: true}, {to: orders}} {
		t.Run(c.to.Name, func(t *testing.T) {
			fx := newFixture(t)
			for id := range uint64(4) {
				fx.server(id+1, "a", agateinstance.Ready)
			}
			dead, calls := fx.silenceServer(16, c.to)
			if len(calls) != 4 {
				t.Fatalf("%d flows at the silent server, want 4", len(calls))
			}
			reset := make(map[agatetuple.Tuple]bool)
			steps := fx.answeredElsewhere(calls, 800*ms)
			for _, each := range calls {
				steps = append(steps, step{0, each.retransmit}, step{400 * ms, each.retransmit})
			}
			for flow := range fx.play(800*ms, false, steps) {
				reset[flow] = true
			}
			if c.resets && len(reset) != len(calls) || !c.resets && len(reset) > 0 {
				t.Errorf("%d of %d flows were reset, want all if idempotent, else none", len(reset), len(calls))
			}
			for range 30 {
				if v := fx.newFlow(orders).syn(); v.Server == dead {
					t.Error("a new flow went to the silent server")
				}
			}
		})
	}
}

// TestAnsweredTrialRestoresServer checks that a silent server which answers a
// trial flow gets new flows again.
func TestAnsweredTrialRestoresServer(t *testing.T) {
	fx := newFixture(t)
	fx.server(1, "a", agateinstance.Ready)
	fx.server(2, "a", agateinstance.Ready)
	fx.server(3, "a", agateinstance.Ready)
	dead, calls := fx.silenceServer(12, orders)
	for _, c := range calls {
		c.retransmit()
	}
	fx.run(fx.policy.Silence.TrialInterval + 100*ms)
	trials := 0
	for range 10 {
		c := fx.newFlow(orders)
		if v := c.syn(); v.Server == dead {
			trials++
			c.accept(v)
			break
		}
	}
	if trials != 1 {
		t.Fatal("the silent server got no trial flow")
	}
	found := false
	for range 10 {
		found = found || fx.newFlow(orders).syn().Server == dead
	}
	if !found {
		t.Error("the server got no new flow after it had answered")
	}
}

// TestAllServersSilentStayInUse cuts the entry off from every server of its
// data centre: new flows must still go to all of them.
func TestAllServersSilentStayInUse(t *testing.T) {
	fx := newFixture(t)
	for id := range uint64(4) {
		fx.server(id+1, "a", agateinstance.Ready)
	}
	var calls []*callerFlow
	for range 16 {
		c := fx.newFlow(orders)
		c.open()
		c.request()
		calls = append(calls, c)
	}
	fx.run(200 * ms)
	for _, c := range calls {
		c.retransmit()
	}
	used := make(map[uint64]bool)
	for range 40 {
		if v := fx.newFlow(orders).syn(); v.Action == agatesteer.Forward {
			used[v.Server] = true
		}
	}
	if len(used) != 4 {
		t.Errorf("%d servers got new flows, want all 4", len(used))
	}
}

// TestBacklogIsNoEvidence handles at once what callers sent during a pause of
// the entry: SYNs and requests, with their copies. That no answer came between
// them is no evidence, and nothing may be reset.
func TestBacklogIsNoEvidence(t *testing.T) {
	fx := newFixture(t)
	for id := range uint64(3) {
		fx.server(id+1, "a", agateinstance.Ready)
	}
	var calls []*callerFlow
	for range 12 {
		c := fx.newFlow(feeds)
		c.open()
		calls = append(calls, c)
	}
	fx.run(10 * ms)
	fx.now += 3 * time.Second
	for _, c := range calls {
		c.request()
		for range 3 {
			if v := c.retransmit(); v.Action != agatesteer.Forward {
				t.Fatalf("copy: %s (%s), want forward", v.Action, v.Reason)
			}
		}
	}
	for range 12 {
		c := fx.newFlow(orders)
		c.syn()
		c.syn()
		c.syn()
	}
	if resets := fx.run(100 * ms); len(resets) > 0 {
		t.Errorf("%d flows were reset, want 0", len(resets))
	}
	if v := fx.newFlow(orders).syn(); v.Evidence.UnansweredFlows > 0 {
		t.Errorf("%d flows count against a server, want 0", v.Evidence.UnansweredFlows)
	}
}

// TestLaggedEntryCountsNoEvidence has the entry report that it is behind with
// its packets: retransmissions in that time are its own fault and may reset
// nothing.
func TestLaggedEntryCountsNoEvidence(t *testing.T) {
	fx := newFixture(t)
	fx.server(1, "a", agateinstance.Ready)
	var calls []*callerFlow
	for range 6 {
		c := fx.newFlow(feeds)
		c.open()
		fx.run(5 * ms)
		c.request()
		calls = append(calls, c)
	}
	fx.run(200 * ms)
	fx.steerer.RecordLag(fx.now)
	for _, c := range calls {
		c.retransmit()
		c.retransmit()
	}
	if resets := fx.run(400 * ms); len(resets) > 0 {
		t.Errorf("%d flows were reset, want 0", len(resets))
	}
}

// TestPeerEvidenceAloneResetsNothing has an entry that is cut off from the
// servers report many unanswered flows. No flow may be reset, however often its caller
// has retransmitted, unless it is a reliable witness and others agree.
func TestPeerEvidenceAloneResetsNothing(t *testing.T) {
	fx := newFixture(t)
	for id := range uint64(3) {
		fx.server(id+1, "a", agateinstance.Ready)
		fx.server(id+11, "b", agateinstance.Ready)
	}
	report := func(from string, witness uint32, unanswered time.Duration) func() agatesteer.Verdict {
		return func() agatesteer.Verdict {
			var loads []agateload.Load
			for _, instance := range fx.catalog.Instances() {
				token, _ := fx.catalog.Token(instance.Key)
				loads = append(loads, agateload.Load{Token: token, UnansweredFlows: 5, Firm: 5, Witness: witness, UnansweredFor: agateload.EncodeAge(unanswered)})
			}
			fx.steerer.Report(from, loads, false, fx.now)
			return agatesteer.Verdict{}
		}
	}
	for name, c := range map[string]struct {
		others   []string
		reliable bool
		resets   bool
	}{
		"no reliable witness":          {[]string{"vm-2", "vm-3", "vm-4", "vm-5"}, false, false},
		"reliable witness, one other":  {[]string{"vm-2"}, true, false},
		"reliable witness, two others": {[]string{"vm-2", "vm-3"}, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			fx.run(10 * time.Second)
			silent := fx.flowAt(fx.instance(3))
			steps := silent.unansweredRequest(0, 2)
			if c.reliable {
				steps = append(steps, fx.answeredElsewhere([]*callerFlow{silent}, time.Second)...)
			}
			for at := 150 * ms; at < 1200*ms; at += 100 * ms {
				for i, from := range c.others {
					steps = append(steps, step{at, report(from, uint32(i+1), at)})
				}
			}
			resets := fx.play(1200*ms, true, steps)
			if at, reset := resets[silent.flow]; reset != c.resets || at > time.Second || len(resets) > 1 {
				t.Errorf("%d flows were reset, the silent server's after %s: %t, want %t", len(resets), at, reset, c.resets)
			}
		})
	}
}

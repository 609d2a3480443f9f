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

// TestGoneMayServe lets a server serve on after its registration is gone, and a
// segment be lost: the flow is not reset for that, only for a second one.
func TestGoneMayServe(t *testing.T) {
	w := newWorld(t)
	w.server(1, "a", agateinstance.Ready)
	w.server(2, "a", agateinstance.Ready)
	c := w.call(feeds)
	id := c.open().Server
	w.run(10 * ms)
	w.server(id, "a", agateinstance.Gone)
	if v := c.request(); v.Action != agatesteer.Forward {
		t.Fatalf("first segment: %s", v.Action)
	}
	w.run(200 * ms)
	if v := c.again(); v.Action != agatesteer.Forward {
		t.Errorf("first copy: %s, %s", v.Action, v.Reason)
	}
	w.run(400 * ms)
	if v := c.again(); v.Action != agatesteer.Reset || v.Reason != agatesteer.Ended {
		t.Errorf("second copy: %s, %s", v.Action, v.Reason)
	}
}

// TestReplaced ends the flows of an incarnation at once when its server has
// started again or its address belongs to another service, and sends nothing of
// them to the newcomer.
func TestReplaced(t *testing.T) {
	for name, change := range map[string]func(*agateinstance.Instance){
		"started again": func(i *agateinstance.Instance) { i.Born++ },
		"address taken": func(i *agateinstance.Instance) { i.ID, i.Service = 77, "intake" },
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t)
			former := w.server(1, "a", agateinstance.Ready)
			c := w.call(orders)
			c.open()
			if name == "address taken" {
				w.server(1, "a", agateinstance.Gone)
			}
			next := former
			w.revision++
			next.Revision = w.revision
			change(&next)
			w.register(next)
			if v := c.request(); v.Action != agatesteer.Reset || v.Reason != agatesteer.Ended {
				t.Errorf("%s, %s to %x", v.Action, v.Reason, v.Server)
			}
		})
	}
}

// TestOneFlowIsNoProof lets one flow repeat itself for long: its server keeps
// getting new flows, and the flow is not reset.
func TestOneFlowIsNoProof(t *testing.T) {
	w := newWorld(t)
	w.server(1, "a", agateinstance.Ready)
	c := w.call(feeds)
	c.open()
	c.request()
	for range 5 {
		if resets := w.run(150 * ms); len(resets) > 0 {
			t.Fatalf("reset: %s", resets[0].Reason)
		}
		if v := c.again(); v.Action != agatesteer.Forward {
			t.Fatalf("%s, %s", v.Action, v.Reason)
		}
	}
	if v := w.call(orders).syn(); v.Action != agatesteer.Forward || v.Evidence.Silent != 0 {
		t.Errorf("%s, %d silent", v.Action, v.Evidence.Silent)
	}
}

// TestSlowRequestsAreNoProof keeps all slots of a server busy with long requests:
// each is repeated once, since a server acknowledges a lone segment with its
// answer only, and more wait behind them. None of its flows is reset.
func TestSlowRequestsAreNoProof(t *testing.T) {
	w := newWorld(t)
	w.server(1, "a", agateinstance.Ready)
	var calls []*call
	for range 6 {
		c := w.call(feeds)
		c.open()
		calls = append(calls, c)
	}
	w.run(10 * ms)
	for _, c := range calls {
		c.request()
		w.run(5 * ms)
	}
	w.run(200 * ms)
	for _, c := range calls {
		if v := c.again(); v.Action != agatesteer.Forward {
			t.Fatalf("%s, %s", v.Action, v.Reason)
		}
	}
	if resets := w.run(350 * ms); len(resets) > 0 {
		t.Errorf("%d flows reset", len(resets))
	}
}

// silence opens a number of flows, puts those of one server under way without
// an answer, lets some more arrive there meanwhile, and returns the open ones.
func (w *world) silence(flows int, to agatevip.VIP) (uint64, []*call) {
	byServer := make(map[uint64][]*call)
	var all []*call
	for range flows {
		c := w.call(to)
		id := c.open().Server
		byServer[id] = append(byServer[id], c)
		all = append(all, c)
	}
	dead := uint64(1)
	w.run(10 * ms)
	for _, c := range all {
		c.request()
	}
	var syns []*call
	for range 8 {
		c := w.call(orders)
		if v := c.syn(); v.Server == dead {
			syns = append(syns, c)
		} else {
			c.accept(v)
			c.request()
		}
	}
	w.run(50 * ms)
	for id, calls := range byServer {
		if id == dead {
			continue
		}
		for _, c := range calls {
			c.response()
		}
	}
	w.run(150 * ms)
	for _, c := range syns {
		c.syn()
	}
	return dead, byServer[dead]
}

// TestSilentServer lets one of four servers answer nothing: with the first copies
// it takes no new flow, 300 ms later its idempotent flows are reset, those that may run once
// only are not, and no flow of another server is.
func TestSilentServer(t *testing.T) {
	for _, c := range []struct {
		to     agatevip.VIP
		resets bool
	}{{to: feeds, resets: true}, {to: orders}} {
		t.Run(c.to.Name, func(t *testing.T) {
			w := newWorld(t)
			for id := range uint64(4) {
				w.server(id+1, "a", agateinstance.Ready)
			}
			dead, calls := w.silence(16, c.to)
			if len(calls) != 4 {
				t.Fatalf("%d flows at the silent server", len(calls))
			}
			reset := make(map[agatetuple.Tuple]bool)
			for _, each := range calls {
				if v := each.again(); v.Action == agatesteer.Reset {
					reset[v.Flow] = true
				}
			}
			for _, v := range w.run(300 * ms) {
				reset[v.Flow] = true
			}
			if c.resets && len(reset) != len(calls) || !c.resets && len(reset) > 0 {
				t.Errorf("%d of %d flows reset", len(reset), len(calls))
			}
			for range 30 {
				if v := w.call(orders).syn(); v.Server == dead {
					t.Error("a new flow went to the silent server")
				}
			}
		})
	}
}

// TestTrialBringsBack lets a silent server answer a trial: it takes flows again.
func TestTrialBringsBack(t *testing.T) {
	w := newWorld(t)
	w.server(1, "a", agateinstance.Ready)
	w.server(2, "a", agateinstance.Ready)
	w.server(3, "a", agateinstance.Ready)
	dead, calls := w.silence(12, orders)
	for _, c := range calls {
		c.again()
	}
	w.run(w.policy.Silence.Retry + 100*ms)
	trials := 0
	for range 10 {
		c := w.call(orders)
		if v := c.syn(); v.Server == dead {
			trials++
			c.accept(v)
			break
		}
	}
	if trials != 1 {
		t.Fatal("no trial")
	}
	found := false
	for range 10 {
		found = found || w.call(orders).syn().Server == dead
	}
	if !found {
		t.Error("the server takes no new flow after it has answered")
	}
}

// TestAllSilent cuts the entry off from every server of its data centre: it goes
// on using them all.
func TestAllSilent(t *testing.T) {
	w := newWorld(t)
	for id := range uint64(4) {
		w.server(id+1, "a", agateinstance.Ready)
	}
	var calls []*call
	for range 16 {
		c := w.call(orders)
		c.open()
		c.request()
		calls = append(calls, c)
	}
	w.run(200 * ms)
	for _, c := range calls {
		c.again()
	}
	used := make(map[uint64]bool)
	for range 40 {
		if v := w.call(orders).syn(); v.Action == agatesteer.Forward {
			used[v.Server] = true
		}
	}
	if len(used) != 4 {
		t.Errorf("%d servers get new flows, want all 4", len(used))
	}
}

// TestBacklog hands over at once what callers sent while the entry stood still:
// SYNs and requests with their copies. That no answer lay between them is no
// evidence, and nothing is reset.
func TestBacklog(t *testing.T) {
	w := newWorld(t)
	for id := range uint64(3) {
		w.server(id+1, "a", agateinstance.Ready)
	}
	var calls []*call
	for range 12 {
		c := w.call(feeds)
		c.open()
		calls = append(calls, c)
	}
	w.run(10 * ms)
	w.now += 3 * time.Second
	for _, c := range calls {
		c.request()
		for range 3 {
			if v := c.again(); v.Action != agatesteer.Forward {
				t.Fatalf("%s, %s", v.Action, v.Reason)
			}
		}
	}
	for range 12 {
		c := w.call(orders)
		c.syn()
		c.syn()
		c.syn()
	}
	if resets := w.run(100 * ms); len(resets) > 0 {
		t.Errorf("%d flows reset", len(resets))
	}
	if v := w.call(orders).syn(); v.Evidence.Missed > 0 {
		t.Errorf("%d flows count against a server", v.Evidence.Missed)
	}
}

// TestLagged lets the entry say that it is late with its packets: what callers
// repeat meanwhile is its own fault.
func TestLagged(t *testing.T) {
	w := newWorld(t)
	w.server(1, "a", agateinstance.Ready)
	var calls []*call
	for range 6 {
		c := w.call(feeds)
		c.open()
		w.run(5 * ms)
		c.request()
		calls = append(calls, c)
	}
	w.run(200 * ms)
	w.steerer.Lagged(w.now)
	for _, c := range calls {
		c.again()
		c.again()
	}
	if resets := w.run(400 * ms); len(resets) > 0 {
		t.Errorf("%d flows reset", len(resets))
	}
}

// TestOthersAlone lets an entry that was cut off from the servers tell of many
// flows without an answer: no flow is reset for it whose caller has not repeated
// itself here.
func TestOthersAlone(t *testing.T) {
	w := newWorld(t)
	for id := range uint64(3) {
		w.server(id+1, "a", agateinstance.Ready)
		w.server(id+11, "b", agateinstance.Ready)
	}
	var calls []*call
	for range 12 {
		c := w.call(feeds)
		c.open()
		c.request()
		calls = append(calls, c)
	}
	w.run(200 * ms)
	var loads []agateload.Load
	for _, instance := range w.catalog.Instances() {
		token, _ := w.catalog.Token(instance.Key)
		loads = append(loads, agateload.Load{Token: token, Missed: 5, Firm: 5, Since: 150})
	}
	for range 7 {
		w.steerer.Report("vm-2", loads, false, w.now)
		for i := range loads {
			loads[i].Since += 100
		}
		if resets := w.run(100 * ms); len(resets) > 0 {
			t.Fatalf("%d flows were reset on another's word", len(resets))
		}
	}
	if v := calls[0].again(); v.Action != agatesteer.Reset || v.Reason != agatesteer.Silent {
		t.Errorf("%s, %s for the flow that was repeated, want a reset", v.Action, v.Reason)
	}
}

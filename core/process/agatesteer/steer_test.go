package agatesteer_test

import (
	"math/rand/v2"
	"testing"

	"agatereach/core/process/agatesteer"
	"agatereach/core/version/agateinstance"
	"agatereach/core/version/agatevip"
)

// TestFlowKeepsItsServer sends segments of a flow while servers come and drain:
// each reaches the flow's own server, also through an entry that has just
// started.
func TestFlowKeepsItsServer(t *testing.T) {
	w := newWorld(t)
	first := w.server(1, "a", agateinstance.Ready)
	c := w.call(feeds)
	c.open()
	for id := range uint64(20) {
		w.server(id+2, "a", agateinstance.Ready)
	}
	w.server(1, "a", agateinstance.Draining)
	if v := c.request(); v.Action != agatesteer.Forward || v.Server != first.ID {
		t.Errorf("%s to %x, want server %x", v.Action, v.Server, first.ID)
	}
	w.steerer = agatesteer.New(w.policy, "a", rand.Float64)
	w.update()
	if v := c.response(); v.Action != agatesteer.Forward || v.Server != first.ID {
		t.Errorf("through another entry: %s to %x, want server %x", v.Action, v.Server, first.ID)
	}
}

// TestDrainingTakesNothing gives no new flow to a server that drains, nor the
// copy of a SYN that it got before.
func TestDrainingTakesNothing(t *testing.T) {
	w := newWorld(t)
	w.server(1, "a", agateinstance.Ready)
	c := w.call(feeds)
	c.syn()
	w.server(1, "a", agateinstance.Draining)
	w.server(2, "a", agateinstance.Ready)
	w.run(200 * ms)
	if v := c.syn(); v.Server != 2 {
		t.Errorf("the copy went to server %x", v.Server)
	}
	for range 20 {
		if v := w.call(orders).syn(); v.Server != 2 {
			t.Errorf("a new flow went to server %x", v.Server)
		}
	}
}

// TestCopyGoesElsewhere gives each copy of a SYN to another server.
func TestCopyGoesElsewhere(t *testing.T) {
	w := newWorld(t)
	for id := range uint64(3) {
		w.server(id+1, "a", agateinstance.Ready)
	}
	c := w.call(feeds)
	seen := make(map[uint64]bool)
	for range 3 {
		seen[c.syn().Server] = true
		w.run(200 * ms)
	}
	if len(seen) != 3 {
		t.Errorf("the SYN and two copies went to %d servers", len(seen))
	}
}

// TestRefusal answers a flow without a route at once if the view is fresh, and
// not at all if it may be old.
func TestRefusal(t *testing.T) {
	w := newWorld(t)
	w.server(1, "a", agateinstance.Ready)
	unknown := vip("unknown", 9, agatevip.Idempotent, "map")
	if v := w.call(unknown).syn(); v.Action != agatesteer.Reset || v.Reason != agatesteer.NoRoute {
		t.Errorf("fresh: %s, %s", v.Action, v.Reason)
	}
	w.now += w.policy.Fresh + ms
	if v := w.call(unknown).syn(); v.Action != agatesteer.Drop || v.Reason != agatesteer.OldView {
		t.Errorf("old: %s, %s", v.Action, v.Reason)
	}
}

// TestNoServer refuses at once what no server can take.
func TestNoServer(t *testing.T) {
	w := newWorld(t)
	if v := w.call(feeds).syn(); v.Action != agatesteer.Reset || v.Reason != agatesteer.NoServer {
		t.Errorf("%s, %s", v.Action, v.Reason)
	}
}

// TestForeignToken drops a segment whose token names no server: an entry that
// does not know must not end a flow that may live.
func TestForeignToken(t *testing.T) {
	w := newWorld(t)
	w.server(1, "a", agateinstance.Ready)
	c := w.call(feeds)
	c.token = 12345
	if v := c.request(); v.Action != agatesteer.Drop || v.Reason != agatesteer.Foreign {
		t.Errorf("%s, %s", v.Action, v.Reason)
	}
	c.token = 0
	if v := c.request(); v.Action != agatesteer.Drop || v.Reason != agatesteer.Stray {
		t.Errorf("%s, %s", v.Action, v.Reason)
	}
}

// TestReusedPort opens a flow from the address and port of an earlier one, whose
// server has started anew since: a late copy of the earlier one's segments neither
// ends the new flow nor takes it along.
func TestReusedPort(t *testing.T) {
	w := newWorld(t)
	old := w.server(1, "a", agateinstance.Ready)
	c := w.call(feeds)
	c.open()
	c.request()
	c.response()
	late := c.last
	c.finish()
	w.run(100 * ms)
	again := old
	again.Born++
	again.Revision += 10
	w.register(again)
	next := &call{w: w, sequence: 700000, flow: c.flow}
	opened := next.open()
	next.request()
	if v := next.send(late); v.Action == agatesteer.Reset {
		t.Errorf("%s, %s for a late copy: the new flow is ended", v.Action, v.Reason)
	}
	if v := next.request(); v.Action != agatesteer.Forward || v.Server != opened.Server {
		t.Errorf("%+v, want server %d", v, opened.Server)
	}
}

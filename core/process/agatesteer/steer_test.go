package agatesteer_test

import (
	"math/rand/v2"
	"testing"

	"agatereach/core/process/agatesteer"
	"agatereach/core/version/agateinstance"
	"agatereach/core/version/agatevip"
)

// TestFlowKeepsServer checks that the segments of a flow reach its server while
// others are added and its own drains, also through an entry that has just
// started.
func TestFlowKeepsServer(t *testing.T) {
	fx := newFixture(t)
	first := fx.server(1, "a", agateinstance.Ready)
	c := fx.newFlow(feeds)
	c.open()
	for id := range uint64(20) {
		fx.server(id+2, "a", agateinstance.Ready)
	}
	fx.server(1, "a", agateinstance.Draining)
	if v := c.request(); v.Action != agatesteer.Forward || v.Server != first.ID {
		t.Errorf("%s to %x, want server %x", v.Action, v.Server, first.ID)
	}
	fx.steerer = agatesteer.New(fx.policy, "a", rand.Float64)
	fx.update()
	if v := c.receiveResponse(); v.Action != agatesteer.Forward || v.Server != first.ID {
		t.Errorf("through another entry: %s to %x, want server %x", v.Action, v.Server, first.ID)
	}
}

// TestDrainingServerGetsNoFlows checks that a draining server gets neither new
// flows nor the copy of a SYN that it received before.
func TestDrainingServerGetsNoFlows(t *testing.T) {
	fx := newFixture(t)
	fx.server(1, "a", agateinstance.Ready)
	c := fx.newFlow(feeds)
	c.syn()
	fx.server(1, "a", agateinstance.Draining)
	fx.server(2, "a", agateinstance.Ready)
	fx.run(200 * ms)
	if v := c.syn(); v.Server != 2 {
		t.Errorf("the copy went to server %x, want server 2", v.Server)
	}
	for range 20 {
		if v := fx.newFlow(orders).syn(); v.Server != 2 {
			t.Errorf("a new flow went to server %x, want server 2", v.Server)
		}
	}
}

// TestSYNCopyGoesToOtherServer checks that each copy of a SYN goes to a server
// that hasn't received it yet.
func TestSYNCopyGoesToOtherServer(t *testing.T) {
	fx := newFixture(t)
	for id := range uint64(3) {
		fx.server(id+1, "a", agateinstance.Ready)
	}
	c := fx.newFlow(feeds)
	seen := make(map[uint64]bool)
	for range 3 {
		seen[c.syn().Server] = true
		fx.run(200 * ms)
	}
	if len(seen) != 3 {
		t.Errorf("the SYN and two copies went to %d servers, want 3", len(seen))
	}
}

// TestNoRouteNeedsFreshView checks that a flow without a route is reset if the
// catalog is fresh, and dropped if it may be out of date.
func TestNoRouteNeedsFreshView(t *testing.T) {
	fx := newFixture(t)
	fx.server(1, "a", agateinstance.Ready)
	unknown := vip("unknown", 9, agatevip.Idempotent, "map")
	if v := fx.newFlow(unknown).syn(); v.Action != agatesteer.Reset || v.Reason != agatesteer.NoRoute {
		t.Errorf("fresh catalog: %s (%s), want reset (noroute)", v.Action, v.Reason)
	}
	fx.now += fx.policy.MaxCatalogAge + ms
	if v := fx.newFlow(unknown).syn(); v.Action != agatesteer.Drop || v.Reason != agatesteer.OutdatedCatalog {
		t.Errorf("old catalog: %s (%s), want drop (oldview)", v.Action, v.Reason)
	}
}

// TestNoServer checks that a flow to a service without servers is reset.
func TestNoServer(t *testing.T) {
	fx := newFixture(t)
	if v := fx.newFlow(feeds).syn(); v.Action != agatesteer.Reset || v.Reason != agatesteer.NoServer {
		t.Errorf("%s (%s), want reset (noserver)", v.Action, v.Reason)
	}
}

// TestForeignToken checks that segments with an unknown token, or without one,
// are dropped: an entry with an outdated catalog must not end a flow that may
// exist.
func TestForeignToken(t *testing.T) {
	fx := newFixture(t)
	fx.server(1, "a", agateinstance.Ready)
	c := fx.newFlow(feeds)
	c.token = 12345
	if v := c.request(); v.Action != agatesteer.Drop || v.Reason != agatesteer.UnknownToken {
		t.Errorf("unknown token: %s (%s), want drop (foreign)", v.Action, v.Reason)
	}
	c.token = 0
	if v := c.request(); v.Action != agatesteer.Drop || v.Reason != agatesteer.MissingToken {
		t.Errorf("no token: %s (%s), want drop (stray)", v.Action, v.Reason)
	}
}

// TestReusedPort opens a flow with the address and port of an earlier one whose
// server has restarted since. A delayed segment of the earlier flow must
// neither end the new flow nor change its server.
func TestReusedPort(t *testing.T) {
	fx := newFixture(t)
	old := fx.server(1, "a", agateinstance.Ready)
	c := fx.newFlow(feeds)
	c.open()
	c.request()
	c.receiveResponse()
	late := c.last
	c.finish()
	fx.run(100 * ms)
	again := old
	again.StartTime++
	again.Revision += 10
	fx.register(again)
	next := &callerFlow{fx: fx, sequence: 700000, flow: c.flow}
	opened := next.open()
	next.request()
	if v := next.send(late); v.Action == agatesteer.Reset {
		t.Errorf("%s (%s) for a late copy, want the new flow to stay open", v.Action, v.Reason)
	}
	if v := next.request(); v.Action != agatesteer.Forward || v.Server != opened.Server {
		t.Errorf("%+v, want the segment forwarded to server %d", v, opened.Server)
	}
}

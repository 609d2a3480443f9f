package agatesteer_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"agatereach/core/process/agatesteer"
	"agatereach/core/request/agateaddress"
	"agatereach/core/request/agatesegment"
	"agatereach/core/version/agateinstance"
)

// TestBurstSpreadsEvenly checks that a burst of short requests is spread evenly
// over servers with equal slots.
func TestBurstSpreadsEvenly(t *testing.T) {
	fx := newFixture(t)
	for id := range uint64(6) {
		fx.server(id+1, "a", agateinstance.Ready)
	}
	placed := make(map[uint64]int)
	for range 60 {
		c := fx.newFlow(orders)
		placed[c.open().Server]++
		c.request()
	}
	for id, n := range placed {
		if n != 10 {
			t.Errorf("server %d got %d of 60 requests, want 10", id, n)
		}
	}
}

// TestLongFlowsSpreadEvenly opens flows with many requests each, while only the
// last eight flows have requests. All flows must be spread evenly although most
// are idle.
func TestLongFlowsSpreadEvenly(t *testing.T) {
	fx := newFixture(t)
	for id := range uint64(4) {
		fx.server(id+1, "a", agateinstance.Ready)
	}
	opened := make(map[uint64]int)
	var calls []*callerFlow
	for range 80 {
		c := fx.newFlow(feeds)
		opened[c.open().Server]++
		calls = append(calls, c)
		for _, each := range calls[max(0, len(calls)-8):] {
			each.request()
			fx.run(5 * ms)
			each.receiveResponse()
		}
		fx.run(20 * ms)
	}
	for id, n := range opened {
		if n < 18 || n > 22 {
			t.Errorf("server %d has %d of 80 long flows, want 18 to 22", id, n)
		}
	}
}

// TestSpillToOtherCentre checks that another data centre gets flows only once
// the servers of the own one are full.
func TestSpillToOtherCentre(t *testing.T) {
	fx := newFixture(t)
	fx.server(1, "a", agateinstance.Ready)
	fx.server(2, "a", agateinstance.Ready)
	fx.server(3, "b", agateinstance.Ready)
	local := 0
	for {
		c := fx.newFlow(orders)
		v := c.open()
		c.request()
		if v.Server == 3 {
			break
		}
		local++
	}
	if local < 2 || local > 6 {
		t.Errorf("%d flows before the first one to the other data centre, want 2 to 6 for 6 slots", local)
	}
}

// TestColdServerGetsFewerFlows checks that a server which has just started gets
// fewer flows than a warm one.
func TestColdServerGetsFewerFlows(t *testing.T) {
	fx := newFixture(t)
	fx.server(1, "a", agateinstance.Ready)
	cold := fx.server(2, "a", agateinstance.Ready)
	fx.revision++
	cold.WarmUp, cold.Revision = 2*time.Second, fx.revision
	fx.register(cold)
	placed := make(map[uint64]int)
	for range 16 {
		c := fx.newFlow(orders)
		placed[c.open().Server]++
		c.request()
	}
	if placed[2] >= placed[1] || placed[2] == 0 {
		t.Errorf("the cold server got %d flows and the warm one %d, want fewer but some for the cold one", placed[2], placed[1])
	}
}

// TestWarmServerAfterRestore guards against taking a server for cold again since a restored
// store lists its record unchanged.
func TestWarmServerAfterRestore(t *testing.T) {
	fx := newFixture(t)
	server := fx.server(1, "a", agateinstance.Ready)
	fx.revision++
	server.WarmUp, server.Revision = 2*time.Second, fx.revision
	fx.register(server)
	fx.run(3 * time.Second)
	warm := fx.newFlow(orders).open().Evidence.Capacity
	server.Era = 2
	fx.register(server)
	if got := fx.newFlow(orders).open().Evidence.Capacity; got != warm {
		t.Errorf("capacity %g after the restore, want %g", got, warm)
	}
}

// TestFlowLimit checks that a flood of SYNs doesn't exceed the limit of tracked
// flows.
func TestFlowLimit(t *testing.T) {
	fx := newFixture(t)
	fx.policy.Flows = 100
	fx.steerer = agatesteer.New(fx.policy, "a", rand.Float64)
	fx.server(1, "a", agateinstance.Ready)
	for range 1000 {
		fx.newFlow(feeds).syn()
	}
	if n := fx.steerer.Flows(); n > 100 {
		t.Errorf("%d flows are tracked, want at most 100", n)
	}
	fx.run(fx.policy.Handshake + 200*ms)
	if n := fx.steerer.Flows(); n != 0 {
		t.Errorf("%d flows are tracked after their handshakes timed out, want 0", n)
	}
}

// BenchmarkHandle measures decisions on segments of known flows, and on new
// flows to services with few and many servers.
func BenchmarkHandle(b *testing.B) {
	for _, servers := range []int{14, 120} {
		fx := newFixture(b)
		for id := range uint64(servers) {
			fx.server(id+1, "a", agateinstance.Ready)
		}
		c := fx.newFlow(feeds)
		c.open()
		known := agatesegment.Segment{Flow: c.flow, Sequence: c.sequence, Acknowledged: c.acknowledged, Flags: agatesegment.ACK, Token: c.token}
		b.Run(fmt.Sprint("known/", servers), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				fx.steerer.Handle(known, fx.now)
			}
		})
		b.Run(fmt.Sprint("new/", servers), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				fx.newFlow(orders).syn()
			}
		})
	}
}

// BenchmarkMemory reports the memory per tracked flow.
func BenchmarkMemory(b *testing.B) {
	const flows = 20000
	fx := newFixture(b)
	fx.server(1, "a", agateinstance.Ready)
	var before, after runtime.MemStats
	for b.Loop() {
		fx.steerer = agatesteer.New(fx.policy, "a", rand.Float64)
		fx.update()
		runtime.GC()
		runtime.ReadMemStats(&before)
		for range flows {
			fx.newFlow(feeds).open()
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/flows, "B/flow")
	runtime.KeepAlive(fx)
}

// BenchmarkRegistrations reports the memory per registration in the catalog and
// the steerer, with servers in twenty data centres.
func BenchmarkRegistrations(b *testing.B) {
	for _, servers := range []int{300, 6000, 120000} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			var fx *fixture
			var before, after runtime.MemStats
			for b.Loop() {
				fx = newFixture(b)
				runtime.GC()
				runtime.ReadMemStats(&before)
				var all []agateinstance.Instance
				for id := range uint64(servers) {
					all = append(all, agateinstance.Instance{
						Key: agateinstance.Key{ID: id + 1, StartTime: 1, Address: agateaddress.Address{IP: [4]byte{10, byte(id >> 16), byte(id >> 8), byte(id)}, Port: 80}}, Revision: int64(id) + 1, Service: fmt.Sprint("service-", id%1000),
						Centre: fmt.Sprint("centre-", id%20), Slots: 3, State: agateinstance.Ready,
					})
				}
				fx.catalog, _ = fx.catalog.WithInstances(all)
				fx.update()
				all = nil
				runtime.GC()
				runtime.ReadMemStats(&after)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(servers), "B/server")
			runtime.KeepAlive(fx)
		})
	}
}

// registerMany registers a number of servers in three data centres.
func (fx *fixture) registerMany(servers int) []agateinstance.Instance {
	var all []agateinstance.Instance
	for id := range uint64(servers) {
		fx.revision++
		all = append(all, agateinstance.Instance{
			Key: agateinstance.Key{ID: id + 1, StartTime: 1, Address: agateaddress.Address{IP: [4]byte{10, byte(id >> 16), byte(id >> 8), byte(id)}, Port: 80}}, Revision: fx.revision, Service: "map",
			Centre: string(rune('a' + id%3)), Slots: 3, State: agateinstance.Ready,
		})
	}
	fx.catalog, _ = fx.catalog.WithInstances(all)
	fx.update()
	return all
}

// TestManyServers places flows among 3,000 servers. Those of the own data
// centre must get them evenly, and a server that starts draining must get none.
func TestManyServers(t *testing.T) {
	fx := newFixture(t)
	all := fx.registerMany(3000)
	got := make(map[uint64]int)
	for range 3000 {
		v := fx.newFlow(orders).open()
		got[v.Server]++
		if v.Server%3 != 1 {
			t.Fatalf("server %d of another data centre got a new flow", v.Server)
		}
	}
	for id, flows := range got {
		if flows > 8 {
			t.Errorf("server %d has %d of 3000 flows, want at most 8", id, flows)
		}
	}
	all[0].State, all[0].Revision = agateinstance.Draining, fx.revision+1
	fx.register(all[0])
	for range 3000 {
		if v := fx.newFlow(orders).open(); v.Server == all[0].ID {
			t.Fatal("a draining server got a new flow")
		}
	}
}

// BenchmarkUpdate measures the update of one server among many.
func BenchmarkUpdate(b *testing.B) {
	for _, servers := range []int{150, 3000, 120000} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			fx := newFixture(b)
			all := fx.registerMany(servers)
			b.ReportAllocs()
			for b.Loop() {
				fx.revision++
				all[7].Revision = fx.revision
				fx.register(all[7])
			}
		})
	}
}

// BenchmarkTick measures a tick, and the reports to other entries, with many
// servers of which at most 100 are active.
func BenchmarkTick(b *testing.B) {
	for _, servers := range []int{150, 3000, 120000} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			fx := newFixture(b)
			fx.registerMany(servers)
			for range 100 {
				fx.newFlow(orders).open()
			}
			for b.Loop() {
				fx.steerer.Tick(fx.now)
				fx.steerer.Loads(fx.now)
				fx.steerer.HealthChanges(fx.now)
			}
		})
	}
}

package agatesteer_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"agatereach/core/process/agatesteer"
	"agatereach/core/request/agatesegment"
	"agatereach/core/version/agateinstance"
)

// TestCrest plays bursts of short requests over servers of different sizes: the
// load for each slot stays even.
func TestCrest(t *testing.T) {
	w := newWorld(t)
	for id := range uint64(6) {
		w.server(id+1, "a", agateinstance.Ready)
	}
	placed := make(map[uint64]int)
	for range 60 {
		c := w.call(orders)
		placed[c.open().Server]++
		c.request()
	}
	for id, n := range placed {
		if n != 10 {
			t.Errorf("server %d got %d of 60 requests, want 10", id, n)
		}
	}
}

// TestLongFlowsSpread opens flows that bring many requests, while short requests
// come and go: the long ones are spread evenly though they are mostly idle.
func TestLongFlowsSpread(t *testing.T) {
	w := newWorld(t)
	for id := range uint64(4) {
		w.server(id+1, "a", agateinstance.Ready)
	}
	opened := make(map[uint64]int)
	var calls []*call
	for range 80 {
		c := w.call(feeds)
		opened[c.open().Server]++
		calls = append(calls, c)
		for _, each := range calls[max(0, len(calls)-8):] {
			each.request()
			w.run(5 * ms)
			each.response()
		}
		w.run(20 * ms)
	}
	for id, n := range opened {
		if n < 18 || n > 22 {
			t.Errorf("server %d has %d of 80 long flows, want 20", id, n)
		}
	}
}

// TestSpill fills the servers of the own data centre: only then does another one
// get flows.
func TestSpill(t *testing.T) {
	w := newWorld(t)
	w.server(1, "a", agateinstance.Ready)
	w.server(2, "a", agateinstance.Ready)
	w.server(3, "b", agateinstance.Ready)
	local := 0
	for {
		c := w.call(orders)
		v := c.open()
		c.request()
		if v.Server == 3 {
			break
		}
		local++
	}
	if local < 2 || local > 6 {
		t.Errorf("%d flows before one went to the other data centre, want 2 to 6 for 6 slots", local)
	}
}

// TestColdServer gives a server that has just started less than the others.
func TestColdServer(t *testing.T) {
	w := newWorld(t)
	w.server(1, "a", agateinstance.Ready)
	cold := w.server(2, "a", agateinstance.Ready)
	w.revision++
	cold.Cold, cold.Revision = 2*time.Second, w.revision
	w.register(cold)
	placed := make(map[uint64]int)
	for range 16 {
		c := w.call(orders)
		placed[c.open().Server]++
		c.request()
	}
	if placed[2] >= placed[1] || placed[2] == 0 {
		t.Errorf("the cold server got %d and the warm one %d", placed[2], placed[1])
	}
}

// TestBounded floods the steerer with SYNs: it follows no more flows than it may.
func TestBounded(t *testing.T) {
	w := newWorld(t)
	w.policy.Flows = 100
	w.steerer = agatesteer.New(w.policy, "a", rand.Float64)
	w.server(1, "a", agateinstance.Ready)
	for range 1000 {
		w.call(feeds).syn()
	}
	if n := w.steerer.Flows(); n > 100 {
		t.Errorf("%d flows are followed", n)
	}
	w.run(w.policy.Handshake + 200*ms)
	if n := w.steerer.Flows(); n != 0 {
		t.Errorf("%d flows are followed after their handshakes failed", n)
	}
}

// BenchmarkHandle decides on segments of known flows, and on new flows among the
// servers of a large service.
func BenchmarkHandle(b *testing.B) {
	for _, servers := range []int{14, 120} {
		w := newWorld(b)
		for id := range uint64(servers) {
			w.server(id+1, "a", agateinstance.Ready)
		}
		c := w.call(feeds)
		c.open()
		known := agatesegment.Segment{Flow: c.flow, Sequence: c.sequence, Acknowledged: c.acknowledged, Flags: agatesegment.ACK, Token: c.token}
		b.Run(fmt.Sprint("known/", servers), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				w.steerer.Handle(known, w.now)
			}
		})
		b.Run(fmt.Sprint("new/", servers), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				w.call(orders).syn()
			}
		})
	}
}

// BenchmarkMemory opens flows and reports the memory that each one followed takes.
func BenchmarkMemory(b *testing.B) {
	const flows = 20000
	w := newWorld(b)
	w.server(1, "a", agateinstance.Ready)
	var before, after runtime.MemStats
	for b.Loop() {
		w.steerer = agatesteer.New(w.policy, "a", rand.Float64)
		w.update()
		runtime.GC()
		runtime.ReadMemStats(&before)
		for range flows {
			w.call(feeds).open()
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/flows, "B/flow")
	runtime.KeepAlive(w)
}

// BenchmarkRegistrations reports the memory that each registration takes in the
// catalog and the steerer, among those of twenty data centres.
func BenchmarkRegistrations(b *testing.B) {
	for _, servers := range []int{300, 6000, 120000} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			var w *world
			var before, after runtime.MemStats
			for b.Loop() {
				w = newWorld(b)
				runtime.GC()
				runtime.ReadMemStats(&before)
				var all []agateinstance.Instance
				for id := range uint64(servers) {
					all = append(all, agateinstance.Instance{
						Key: agateinstance.Key{ID: id + 1, Born: 1}, Revision: int64(id) + 1, Service: fmt.Sprint("service-", id%1000),
						Centre: fmt.Sprint("centre-", id%20), Slots: 3, State: agateinstance.Ready,
						Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(id >> 16), byte(id >> 8), byte(id)}), 80),
					})
				}
				w.catalog, _ = w.catalog.WithInstances(all)
				w.update()
				all = nil
				runtime.GC()
				runtime.ReadMemStats(&after)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(servers), "B/server")
			runtime.KeepAlive(w)
		})
	}
}

// many registers a number of servers in three data centres.
func (w *world) many(servers int) []agateinstance.Instance {
	var all []agateinstance.Instance
	for id := range uint64(servers) {
		w.revision++
		all = append(all, agateinstance.Instance{
			Key: agateinstance.Key{ID: id + 1, Born: 1}, Revision: w.revision, Service: "map",
			Centre: string(rune('a' + id%3)), Slots: 3, State: agateinstance.Ready,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(id >> 16), byte(id >> 8), byte(id)}), 80),
		})
	}
	w.catalog, _ = w.catalog.WithInstances(all)
	w.update()
	return all
}

// TestManyServers places flows among 3,000 servers: those of the own data centre
// get them evenly, and a change of one server is followed.
func TestManyServers(t *testing.T) {
	w := newWorld(t)
	all := w.many(3000)
	got := make(map[uint64]int)
	for range 3000 {
		v := w.call(orders).open()
		got[v.Server]++
		if v.Server%3 != 1 {
			t.Fatalf("server %d of another data centre was chosen", v.Server)
		}
	}
	for id, flows := range got {
		if flows > 8 {
			t.Errorf("server %d has %d of 3000 flows", id, flows)
		}
	}
	all[0].State, all[0].Revision = agateinstance.Draining, w.revision+1
	w.register(all[0])
	for range 3000 {
		if v := w.call(orders).open(); v.Server == all[0].ID {
			t.Fatal("a server that leaves was chosen")
		}
	}
}

// BenchmarkUpdate changes one of many servers, and BenchmarkTick does what falls
// due among them.
func BenchmarkUpdate(b *testing.B) {
	for _, servers := range []int{150, 3000, 120000} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			w := newWorld(b)
			all := w.many(servers)
			b.ReportAllocs()
			for b.Loop() {
				w.revision++
				all[7].Revision = w.revision
				w.register(all[7])
			}
		})
	}
}

func BenchmarkTick(b *testing.B) {
	for _, servers := range []int{150, 3000, 120000} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			w := newWorld(b)
			w.many(servers)
			for range 100 {
				w.call(orders).open()
			}
			for b.Loop() {
				w.steerer.Tick(w.now)
				w.steerer.Loads(w.now)
				w.steerer.Opinions(w.now)
			}
		})
	}
}

package agatedirect_test

import (
	"encoding/binary"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"agatereach/core/process/agatesetup"
	"agatereach/core/request/agatesegment"
	"agatereach/core/version/agateevacuation"
	"agatereach/core/version/agateinstance"
	"agatereach/core/version/agateprofile"
)

// TestFlowAcrossEntries opens a flow through one entry and continues it through
// another one, which finds the server by the token. A SYN to an address without a
// route is answered by a reset.
func TestFlowAcrossEntries(t *testing.T) {
	server := listenUDP(t)
	source := newFakeStore(server)
	c := newFakeCaller(t, vip)
	first, second := startEntry(t, "vm-1", source, c.port(), nil), startEntry(t, "vm-2", source, c.port(), nil)
	waitFor(t, "both entries to be ready", func() bool { return first.ready() && second.ready() })
	c.send(first, agatesegment.Segment{Sequence: 9, Flags: agatesegment.SYN})
	syn, prefix := receive(t, server, 8)
	if syn.Token == 0 || binary.BigEndian.Uint64(prefix) != 1 || syn.Flow != c.flow {
		t.Errorf("SYN %+v with prefix %x", syn, prefix)
	}
	c.send(second, agatesegment.Segment{Sequence: 10, Acknowledged: 77, Flags: agatesegment.ACK, Token: syn.Token})
	if got, _ := receive(t, server, 8); got.Token != syn.Token || got.Sequence != 10 {
		t.Errorf("second entry forwarded %+v", got)
	}
	c.flow.TargetPort++
	c.send(first, agatesegment.Segment{Sequence: 9, Flags: agatesegment.SYN})
	if got, _ := receive(t, c.conn, 0); got.Flags != agatesegment.RST || got.Flow != c.flow {
		t.Errorf("%+v, want a reset", got)
	}
}

// TestPacketsBeforeFirstCatalog checks that packets are held back until the first
// catalog arrives.
func TestPacketsBeforeFirstCatalog(t *testing.T) {
	server := listenUDP(t)
	source := newFakeStore(server)
	source.unavailable = true
	c := newFakeCaller(t, vip)
	e := startEntry(t, "vm-1", source, c.port(), nil)
	waitFor(t, "the entry to listen", func() bool {
		status, _ := httpGet(e.setup.Ready, "/readyz")
		return status == http.StatusServiceUnavailable
	})
	c.send(e, agatesegment.Segment{Sequence: 9, Flags: agatesegment.SYN})
	source.update(func(s *fakeStore) { s.unavailable = false })
	if syn, _ := receive(t, server, 8); syn.Flow != c.flow {
		t.Errorf("server received %+v", syn)
	}
	waitFor(t, "the entry to be ready", e.ready)
}

// TestCatalogFromPeer starts an entry that cannot read the store: it learns the
// catalog, and each change, from another entry.
func TestCatalogFromPeer(t *testing.T) {
	server := listenUDP(t)
	source, failingSource := newFakeStore(server), newFakeStore()
	failingSource.unavailable = true
	first := startEntry(t, "vm-1", source, 1, nil)
	waitFor(t, "the first entry to be ready", first.ready)
	second := startEntry(t, "vm-2", failingSource, 1, func(s *agatesetup.Setup) {
		s.Links = netip.AddrPortFrom(netip.MustParseAddr("127.0.0.2"), first.setup.Links.Port())
		s.Seeds = []netip.AddrPort{first.setup.Ready}
	})
	waitFor(t, "the second entry to be ready", second.ready)
	source.update(func(s *fakeStore) { s.state.Config, s.state.Revision = config(2), 6 })
	waitFor(t, "the change to reach the second entry", func() bool { return second.dump().Version == 2 })
	if d := second.dump(); len(d.Peers) != 1 || d.Peers[0].Name != "vm-1" || len(d.Servers) != 1 {
		t.Errorf("dump of the second entry: %+v", d)
	}
}

// TestCompactedHistory checks that the entry lists everything again once the store
// has compacted the history that a watch asks for.
func TestCompactedHistory(t *testing.T) {
	source := newFakeStore(listenUDP(t))
	e := startEntry(t, "vm-1", source, 1, nil)
	waitFor(t, "the entry to be ready", e.ready)
	source.update(func(s *fakeStore) {
		s.compactOnce = true
		s.state.Config, s.state.Revision, s.state.Instances = config(9), 90, nil
	})
	waitFor(t, "the newest configuration", func() bool { return e.dump().Version == 9 })
	waitFor(t, "the server to be gone", func() bool {
		servers := e.dump().Servers
		return len(servers) == 1 && servers[0].State == agateinstance.Gone
	})
}

// TestRestoredStore guards against an entry that waits for a revision of before a restore,
// and against one that follows answers from before it.
func TestRestoredStore(t *testing.T) {
	source := newFakeStore(listenUDP(t))
	source.state.Era = 1
	e := startEntry(t, "vm-1", source, 1, nil)
	waitFor(t, "the entry to be ready", e.ready)
	source.update(func(s *fakeStore) { s.state.Era, s.state.Revision = 2, 3 })
	waitFor(t, "the restore", func() bool { d := e.dump(); return d.Era == 2 && d.Revision == 3 })
	source.update(func(s *fakeStore) { s.state.Config, s.state.Revision = config(2), 4 })
	waitFor(t, "a change under a lower revision than before", func() bool { return e.dump().Version == 2 })
	source.update(func(s *fakeStore) { s.state.Era, s.state.Revision = 1, 9 })
	waitFor(t, "the logged answer", func() bool { return strings.Contains(e.log.text(), "answer at 1/9, the source was at 2/4 before") })
	source.update(func(s *fakeStore) { s.state.Era, s.state.Config, s.state.Revision = 2, config(3), 5 })
	waitFor(t, "a change after that", func() bool { return e.dump().Version == 3 })
}

// TestStoreReadPanics checks that an entry whose reads of the store panic keeps
// serving with the catalog it has, logs the cause and reads the store again.
func TestStoreReadPanics(t *testing.T) {
	server := listenUDP(t)
	source := newFakeStore(server)
	c := newFakeCaller(t, vip)
	e := startEntry(t, "vm-1", source, c.port(), nil)
	waitFor(t, "the entry to be ready", e.ready)
	source.update(func(s *fakeStore) { s.panicOnRead = true })
	waitFor(t, "the logged panic", func() bool { return strings.Contains(e.log.text(), "panic in reading the store: not understood") })
	c.send(e, agatesegment.Segment{Sequence: 9, Flags: agatesegment.SYN})
	receive(t, server, 8)
	source.update(func(s *fakeStore) { s.panicOnRead, s.state.Config, s.state.Revision = false, config(2), 6 })
	waitFor(t, "the changed configuration", func() bool { return e.dump().Version == 2 })
}

// TestMalformedDatagrams sends datagrams that are neither packets nor notices: they
// are counted, and the entry keeps serving.
func TestMalformedDatagrams(t *testing.T) {
	server := listenUDP(t)
	c := newFakeCaller(t, vip)
	e := startEntry(t, "vm-1", newFakeStore(server), c.port(), nil)
	waitFor(t, "the entry to be ready", e.ready)
	for _, size := range []int{0, 1, 25, 3000, 9000} {
		for _, to := range []netip.AddrPort{e.setup.Packets, e.setup.Links} {
			if _, err := c.conn.WriteToUDPAddrPort(make([]byte, size), to); err != nil {
				t.Fatal(err)
			}
		}
	}
	c.send(e, agatesegment.Segment{Sequence: 9, Flags: agatesegment.SYN})
	receive(t, server, 8)
	waitFor(t, "the count of malformed packets", func() bool {
		_, metrics := httpGet(e.setup.Inspect, "/metrics")
		return strings.Contains(metrics, "agatereach_malformed_total 3") && strings.Contains(metrics, `agatereach_verdicts_total{reason="placed"} 1`)
	})
}

// TestFlowLogLines checks for the log lines that explain a flow.
func TestFlowLogLines(t *testing.T) {
	server := listenUDP(t)
	c := newFakeCaller(t, vip)
	e := startEntry(t, "vm-1", newFakeStore(server), c.port(), nil)
	waitFor(t, "the entry to be ready", e.ready)
	c.send(e, agatesegment.Segment{Sequence: 9, Flags: agatesegment.SYN})
	receive(t, server, 8)
	flow := fmt.Sprintf(`msg="flow: placed" flow=127.0.0.1:4000>%s action=forward server=1`, vip)
	waitFor(t, flow, func() bool { return strings.Contains(e.log.text(), flow) })
	e.stop()
	for _, line := range []string{"entry: started", "config: in force", "flow: summary", "entry: stopped"} {
		if !strings.Contains(e.log.text(), line) {
			t.Errorf("no line %q in\n%s", line, e.log.text())
		}
	}
}

// TestStopUnderLoad sends the stop signal twice while callers keep sending: the
// entry reports at once that it is not ready, forwards packets until no more
// arrive, and exits.
func TestStopUnderLoad(t *testing.T) {
	server := listenUDP(t)
	c := newFakeCaller(t, vip)
	e := startEntry(t, "vm-1", newFakeStore(server), c.port(), func(s *agatesetup.Setup) { s.Bounds.Grace = 6 })
	waitFor(t, "the entry to be ready", e.ready)
	for range 2 {
		if err := syscall.Kill(os.Getpid(), syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
	}
	waitFor(t, "the entry not to be ready", func() bool {
		status, _ := httpGet(e.setup.Ready, "/readyz")
		return status == http.StatusServiceUnavailable
	})
	for range 10 {
		c.flow.SourcePort++
		c.send(e, agatesegment.Segment{Sequence: 9, Flags: agatesegment.SYN})
		if syn, _ := receive(t, server, 8); syn.Flow != c.flow {
			t.Errorf("%+v, want flow %v", syn.Flow, c.flow)
		}
		time.Sleep(50 * time.Millisecond)
	}
	waitFor(t, "the entry to stop", func() bool { return strings.Contains(e.log.text(), "entry: stopped") })
}

// TestStoppingEntriesFollow guards against an entry that forwards by a route which is
// dropped after the stop signal, while callers keep sending: at one that reads the store, and
// at one that hears of changes from it.
func TestStoppingEntriesFollow(t *testing.T) {
	server := listenUDP(t)
	source, failingSource := newFakeStore(server), newFakeStore()
	failingSource.unavailable = true
	c, other := newFakeCaller(t, vip), newFakeCaller(t, vip)
	grace := func(s *agatesetup.Setup) { s.Bounds.Grace = 6 }
	first := startEntry(t, "vm-1", source, c.port(), grace)
	waitFor(t, "the first entry to be ready", first.ready)
	second := startEntry(t, "vm-2", failingSource, other.port(), func(s *agatesetup.Setup) {
		grace(s)
		s.Links = netip.AddrPortFrom(netip.MustParseAddr("127.0.0.2"), first.setup.Links.Port())
	})
	second.reread.Store(second.setup.WithSeeds([]netip.AddrPort{first.setup.Ready}))
	waitFor(t, "the second entry to listen", func() bool {
		status, _ := httpGet(second.setup.Ready, "/readyz")
		return status == http.StatusServiceUnavailable
	})
	if err := syscall.Kill(os.Getpid(), syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	// The second entry has no catalog yet: it hears of the first one by its new seeds.
	waitFor(t, "both entries to stop", func() bool {
		return strings.Contains(first.log.text(), "entry: stopping") && strings.Contains(second.log.text(), "entry: stopping")
	})
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the new seeds", func() bool { return strings.Contains(second.log.text(), "settings: seeds taken over") })
	dropped := config(2)
	dropped.VIPs[0].Address = netip.AddrPortFrom(vip.Addr(), vip.Port()+1)
	source.update(func(s *fakeStore) { s.state.Config, s.state.Revision = dropped, 6 })
	callers := map[*entry]*fakeCaller{first: c, second: other}
	refused := make(map[*entry]bool)
	waitFor(t, "the dropped route to be refused by both entries", func() bool {
		for e, caller := range callers {
			caller.flow.SourcePort++
			caller.send(e, agatesegment.Segment{Sequence: 9, Flags: agatesegment.SYN})
			refused[e] = refused[e] || caller.isReset(20*time.Millisecond)
		}
		return refused[first] && refused[second] || strings.Contains(first.log.text()+second.log.text(), "entry: stopped")
	})
	for e := range callers {
		if !refused[e] {
			t.Errorf("%s has not refused the dropped route", e.setup.Name)
		}
	}
	for _, e := range []*entry{first, second} {
		waitFor(t, e.setup.Name+" to stop", func() bool { return strings.Contains(e.log.text(), "entry: stopped") })
	}
}

// TestStopWithinGrace guards against a process that is killed since callers keep sending, or
// since the stop signal comes again. Its grace period is a fraction of seconds.
func TestStopWithinGrace(t *testing.T) {
	server := listenUDP(t)
	c := newFakeCaller(t, vip)
	const grace = 3500 * time.Millisecond
	e := startEntry(t, "vm-1", newFakeStore(server), c.port(), func(s *agatesetup.Setup) { s.Bounds.Grace = grace.Seconds() })
	waitFor(t, "the entry to be ready", e.ready)
	begun := time.Now()
	for signals := 0; !strings.Contains(e.log.text(), "entry: stopped"); time.Sleep(20 * time.Millisecond) {
		since := time.Since(begun)
		if since > grace {
			t.Fatalf("the entry runs %s after the signal", since)
		}
		if since >= time.Duration(signals)*grace/8 {
			signals++
			if err := syscall.Kill(os.Getpid(), syscall.SIGTERM); err != nil {
				t.Fatal(err)
			}
		}
		c.flow.SourcePort++
		c.send(e, agatesegment.Segment{Sequence: 9, Flags: agatesegment.SYN})
	}
	if since := time.Since(begun); since < grace/2 {
		t.Errorf("the entry has stopped after %s, though packets came", since)
	}
}

// TestStopBeforeFirstCatalog checks that an entry without a catalog exits on a stop
// signal.
func TestStopBeforeFirstCatalog(t *testing.T) {
	source := newFakeStore(listenUDP(t))
	source.unavailable = true
	e := startEntry(t, "vm-1", source, 1, nil)
	waitFor(t, "the entry to listen", func() bool {
		status, _ := httpGet(e.setup.Ready, "/readyz")
		return status == http.StatusServiceUnavailable
	})
	if err := syscall.Kill(os.Getpid(), syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the entry to stop", func() bool { return strings.Contains(e.log.text(), "entry: stopped") })
}

// TestEvacuatedCentre evacuates the data centre of the only server and takes it back: an
// open flow stays, new flows are refused at once meanwhile, and the log, the metrics and
// the dump tell of it, at the entry that reads the store and at one that hears of it.
func TestEvacuatedCentre(t *testing.T) {
	server := listenUDP(t)
	source, failingSource := newFakeStore(server), newFakeStore()
	failingSource.unavailable = true
	c := newFakeCaller(t, vip)
	first := startEntry(t, "vm-1", source, c.port(), func(s *agatesetup.Setup) { s.Bounds.Evacuate = 5000 })
	waitFor(t, "the first entry to be ready", first.ready)
	second := startEntry(t, "vm-2", failingSource, c.port(), func(s *agatesetup.Setup) {
		s.Links = netip.AddrPortFrom(netip.MustParseAddr("127.0.0.2"), first.setup.Links.Port())
		s.Seeds = []netip.AddrPort{first.setup.Ready}
	})
	waitFor(t, "the second entry to be ready", second.ready)
	c.send(first, agatesegment.Segment{Sequence: 9, Flags: agatesegment.SYN})
	open, _ := receive(t, server, 8)
	evacuate := func(active bool, revision int64) {
		source.update(func(s *fakeStore) {
			s.state.Revision = revision
			s.state.Evacuations = append(slices.Clone(s.state.Evacuations), agateevacuation.Evacuation{Centre: "a", Active: active, Revision: revision})
		})
	}
	evacuate(true, 6)
	for _, e := range []*entry{first, second} {
		waitFor(t, "the evacuation", func() bool { return len(e.dump().Evacuated) == 1 })
		if got := e.dump().Evacuated[0]; got.Centre != "a" || got.Revision != 6 {
			t.Errorf("dump: %+v", got)
		}
		if _, metrics := httpGet(e.setup.Inspect, "/metrics"); !strings.Contains(metrics, `agatereach_evacuated_centres{centre="a"} 1`) {
			t.Error("no metric of the evacuated data centre")
		}
		line := `msg="centre: evacuated" centre=a era=0 revision=6`
		waitFor(t, line, func() bool {
			return strings.Contains(e.log.text(), line) && strings.Contains(e.log.text(), "servers=1 source=")
		})
		c.flow.SourcePort++
		c.send(e, agatesegment.Segment{Sequence: 9, Flags: agatesegment.SYN})
		if got, _ := receive(t, c.conn, 0); got.Flags != agatesegment.RST || got.Flow != c.flow {
			t.Errorf("%+v, want a reset", got)
		}
		waitFor(t, "the logged refusal", func() bool { return strings.Contains(e.log.text(), `msg="flow: evacuated"`) })
		c.flow = open.Flow
		c.send(e, agatesegment.Segment{Sequence: 10, Acknowledged: 77, Flags: agatesegment.ACK, Token: open.Token})
		if got, _ := receive(t, server, 8); got.Token != open.Token || got.Flags != agatesegment.ACK {
			t.Errorf("segment of the open flow: %+v", got)
		}
	}
	evacuate(false, 7)
	for i, e := range []*entry{first, second} {
		waitFor(t, "the end of the evacuation", func() bool { return len(e.dump().Evacuated) == 0 })
		if _, metrics := httpGet(e.setup.Inspect, "/metrics"); strings.Contains(metrics, `agatereach_evacuated_centres{`) {
			t.Error("metric of the data centre that was taken back")
		}
		line := `msg="centre: taken back" centre=a era=0 revision=7`
		waitFor(t, line, func() bool { return strings.Contains(e.log.text(), line) })
		c.flow.SourcePort = open.Flow.SourcePort + 100 + uint16(i)
		c.send(e, agatesegment.Segment{Sequence: 9, Flags: agatesegment.SYN})
		if got, _ := receive(t, server, 8); got.Flow != c.flow {
			t.Errorf("%+v, want the SYN", got)
		}
	}
}

// TestColdServerHasOneOwner guards against entries that don't learn which others there are,
// or with what limit: each of two would give a cold server the whole rate.
func TestColdServerHasOneOwner(t *testing.T) {
	server := listenUDP(t)
	source := newFakeStore(server)
	source.state.Instances[0].WarmUp = time.Hour
	source.state.Config.Profiles = []agateprofile.Profile{{Service: "map", ColdTime: time.Hour, ColdRate: 3}}
	c := newFakeCaller(t, vip)
	first := startEntry(t, "vm-1", source, c.port(), nil)
	second := startEntry(t, "vm-2", source, c.port(), func(s *agatesetup.Setup) {
		// All entries use one port for notices, so on one host they need addresses of their own.
		s.Links = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 2}), first.setup.Links.Port())
		s.Seeds = []netip.AddrPort{first.setup.Links}
	})
	waitFor(t, "the entries to hear each other", func() bool {
		return first.ready() && second.ready() && len(first.dump().Peers) == 1 && len(second.dump().Peers) == 1
	})
	placed := make(map[*entry]int)
	waitFor(t, "a cold server to get flows", func() bool {
		for _, each := range []*entry{first, second} {
			c.flow.SourcePort++
			c.send(each, agatesegment.Segment{Sequence: 9, Flags: agatesegment.SYN})
		}
		time.Sleep(100 * time.Millisecond)
		for _, each := range []*entry{first, second} {
			_, metrics := httpGet(each.setup.Inspect, "/metrics")
			if match := regexp.MustCompile(`(?m)^agatereach_cold_flows_total (\d+)$`).FindStringSubmatch(metrics); match != nil {
				placed[each], _ = strconv.Atoi(match[1])
			}
		}
		return placed[first]+placed[second] >= 6
	})
	if placed[first] > 0 && placed[second] > 0 {
		t.Errorf("both entries placed flows: %d and %d", placed[first], placed[second])
	}
}

package agatedirect_test

import (
	"encoding/binary"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"agatereach/core/process/agatesetup"
	"agatereach/core/request/agatesegment"
	"agatereach/core/version/agateinstance"
)

// TestServe opens a flow through one entry and goes on through another one.
func TestServe(t *testing.T) {
	server := listen(t)
	source := newStore(server)
	c := newCaller(t, vip)
	first, second := start(t, "vm-1", source, c.port(), nil), start(t, "vm-2", source, c.port(), nil)
	wait(t, "both are ready", func() bool { return first.ready() && second.ready() })
	c.send(first, agatesegment.Segment{Sequence: 9, Flags: agatesegment.SYN})
	syn, prefix := receive(t, server, 8)
	if syn.Token == 0 || binary.BigEndian.Uint64(prefix) != 1 || syn.Flow != c.flow {
		t.Errorf("%+v behind %x", syn, prefix)
	}
	c.send(second, agatesegment.Segment{Sequence: 10, Acknowledged: 77, Flags: agatesegment.ACK, Token: syn.Token})
	if got, _ := receive(t, server, 8); got.Token != syn.Token || got.Sequence != 10 {
		t.Errorf("%+v", got)
	}
	c.flow.TargetPort++
	c.send(first, agatesegment.Segment{Sequence: 9, Flags: agatesegment.SYN})
	if got, _ := receive(t, c.conn, 0); got.Flags != agatesegment.RST || got.Flow != c.flow {
		t.Errorf("%+v, want a reset", got)
	}
}

// TestStart holds packets back until the first catalog has come.
func TestStart(t *testing.T) {
	server := listen(t)
	source := newStore(server)
	source.down = true
	c := newCaller(t, vip)
	e := start(t, "vm-1", source, c.port(), nil)
	wait(t, "it listens", func() bool {
		status, _ := get(e.setup.Ready, "/readyz")
		return status == http.StatusServiceUnavailable
	})
	c.send(e, agatesegment.Segment{Sequence: 9, Flags: agatesegment.SYN})
	source.set(func(s *store) { s.down = false })
	if syn, _ := receive(t, server, 8); syn.Flow != c.flow {
		t.Errorf("%+v", syn)
	}
	wait(t, "it is ready", e.ready)
}

// TestPeer starts an entry that could not read the store: it learns the catalog,
// and each change, from another one.
func TestPeer(t *testing.T) {
	server := listen(t)
	source, dead := newStore(server), newStore()
	dead.down = true
	first := start(t, "vm-1", source, 1, nil)
	wait(t, "the first is ready", first.ready)
	second := start(t, "vm-2", dead, 1, func(s *agatesetup.Setup) {
		s.Links = netip.AddrPortFrom(netip.MustParseAddr("127.0.0.2"), first.setup.Links.Port())
		s.Seeds = []netip.AddrPort{first.setup.Ready}
	})
	wait(t, "the second is ready", second.ready)
	source.set(func(s *store) { s.state.Config, s.state.Revision = config(2), 6 })
	wait(t, "the change", func() bool { return second.dump().Version == 2 })
	if d := second.dump(); len(d.Peers) != 1 || d.Peers[0].Name != "vm-1" || len(d.Servers) != 1 {
		t.Errorf("%+v", d)
	}
}

// TestCompacted reads everything once the history is gone.
func TestCompacted(t *testing.T) {
	source := newStore(listen(t))
	e := start(t, "vm-1", source, 1, nil)
	wait(t, "it is ready", e.ready)
	source.set(func(s *store) {
		s.compacts = true
		s.state.Config, s.state.Revision, s.state.Instances = config(9), 90, nil
	})
	wait(t, "the newest version", func() bool { return e.dump().Version == 9 })
	wait(t, "the server is gone", func() bool {
		servers := e.dump().Servers
		return len(servers) == 1 && servers[0].State == agateinstance.Gone
	})
}

// TestPanickingReads lets reads of the store panic: the entry serves on by what it
// holds, logs the cause and reads again.
func TestPanickingReads(t *testing.T) {
	server := listen(t)
	source := newStore(server)
	c := newCaller(t, vip)
	e := start(t, "vm-1", source, c.port(), nil)
	wait(t, "it is ready", e.ready)
	source.set(func(s *store) { s.panics = true })
	wait(t, "the cause", func() bool { return strings.Contains(e.log.text(), "panic in reading the store: not understood") })
	c.send(e, agatesegment.Segment{Sequence: 9, Flags: agatesegment.SYN})
	receive(t, server, 8)
	source.set(func(s *store) { s.panics, s.state.Config, s.state.Revision = false, config(2), 6 })
	wait(t, "the change", func() bool { return e.dump().Version == 2 })
}

// TestJunk sends what is no packet and no notice: it is counted, and the entry
// serves on.
func TestJunk(t *testing.T) {
	server := listen(t)
	c := newCaller(t, vip)
	e := start(t, "vm-1", newStore(server), c.port(), nil)
	wait(t, "it is ready", e.ready)
	for _, size := range []int{0, 1, 25, 3000, 9000} {
		for _, to := range []netip.AddrPort{e.setup.Packets, e.setup.Links} {
			if _, err := c.conn.WriteToUDPAddrPort(make([]byte, size), to); err != nil {
				t.Fatal(err)
			}
		}
	}
	c.send(e, agatesegment.Segment{Sequence: 9, Flags: agatesegment.SYN})
	receive(t, server, 8)
	wait(t, "the count", func() bool {
		_, metrics := get(e.setup.Inspect, "/metrics")
		return strings.Contains(metrics, "agatereach_malformed_total 3") && strings.Contains(metrics, `agatereach_verdicts_total{reason="placed"} 1`)
	})
}

// TestLog finds the lines that explain a flow.
func TestLog(t *testing.T) {
	server := listen(t)
	c := newCaller(t, vip)
	e := start(t, "vm-1", newStore(server), c.port(), nil)
	wait(t, "it is ready", e.ready)
	c.send(e, agatesegment.Segment{Sequence: 9, Flags: agatesegment.SYN})
	receive(t, server, 8)
	flow := fmt.Sprintf(`msg="flow: placed" flow=127.0.0.1:4000>%s action=forward server=1`, vip)
	wait(t, flow, func() bool { return strings.Contains(e.log.text(), flow) })
	e.stop()
	for _, line := range []string{"entry: started", "config: in force", "flow: summary", "entry: stopped"} {
		if !strings.Contains(e.log.text(), line) {
			t.Errorf("no line %q in\n%s", line, e.log.text())
		}
	}
}

// TestStopUnderLoad signals an entry to stop, twice, while callers go on: it says at
// once that it is not ready, passes on whatever comes until nothing does, and ends.
func TestStopUnderLoad(t *testing.T) {
	server := listen(t)
	c := newCaller(t, vip)
	e := start(t, "vm-1", newStore(server), c.port(), func(s *agatesetup.Setup) { s.Bounds.Grace = 6 })
	wait(t, "it is ready", e.ready)
	for range 2 {
		if err := syscall.Kill(os.Getpid(), syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
	}
	wait(t, "it is not ready", func() bool {
		status, _ := get(e.setup.Ready, "/readyz")
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
	wait(t, "it ends", func() bool { return strings.Contains(e.log.text(), "entry: stopped") })
}

// TestStopDuringStart signals an entry to stop that holds no catalog yet: it ends.
func TestStopDuringStart(t *testing.T) {
	source := newStore(listen(t))
	source.down = true
	e := start(t, "vm-1", source, 1, nil)
	wait(t, "it listens", func() bool {
		status, _ := get(e.setup.Ready, "/readyz")
		return status == http.StatusServiceUnavailable
	})
	if err := syscall.Kill(os.Getpid(), syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	wait(t, "it ends", func() bool { return strings.Contains(e.log.text(), "entry: stopped") })
}

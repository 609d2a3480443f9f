package agatesync_test

import (
	"slices"
	"testing"
	"time"

	"agatereach/core/process/agatesync"
	"agatereach/core/request/agateload"
	"agatereach/core/version/agateinstance"
)

// setLoads makes each entry report the loads of the given number of servers.
func (f *fleet) setLoads(servers int) {
	for _, e := range f.entries {
		e.sync.SetLoads(make([]agateload.Load, servers))
	}
}

// newLargeFleet returns a data centre of 45 entries that all hold the state of the
// store.
func newLargeFleet(t *testing.T) *fleet {
	f := newFleet(t, 1, 45, 2)
	f.store.configure(1, 5)
	f.addServers(60)
	f.run(3 * time.Second)
	f.setLoads(60)
	f.run(8 * time.Second)
	f.check("before the test")
	return f
}

// reader returns the entry that is first in the order of readers, or nil if there
// is none.
func (f *fleet) reader() *entry {
	for _, e := range f.entries {
		if e.sync.ReadDuty(f.now) == agatesync.FirstReader {
			return e
		}
	}
	return nil
}

// TestLargeCentreReaderReplaced makes reads fail for the reader of a large data
// centre, or ends it without notice. Another entry must read within two seconds,
// and few entries may read.
func TestLargeCentreReaderReplaced(t *testing.T) {
	for name, end := range map[string]func(f *fleet, e *entry){
		"reads fail": func(_ *fleet, e *entry) { e.storeBlocked = true },
		"ended": func(f *fleet, e *entry) {
			f.entries = slices.DeleteFunc(f.entries, func(o *entry) bool { return o == e })
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newLargeFleet(t)
			reader := f.reader()
			end(f, reader)
			f.run(2 * time.Second)
			f.store.write(2, agateinstance.Draining)
			f.store.configure(2, 6)
			f.run(time.Second)
			f.check("with another reader")
			f.run(2 * time.Second)
			f.store.calls = 0
			f.run(time.Second)
			// Each reader reads some three times a second here. If reads of the first
			// one fail, it keeps trying in addition to the new one.
			if limit := 2 * 4; f.store.calls > limit {
				t.Errorf("%d reads in a second, want at most %d", f.store.calls, limit)
			}
		})
	}
}

// TestLargeCentreChangeSpread changes the configuration and some servers of a data
// centre of 100 entries, in which a cycle of heartbeats takes 10 s. All entries
// must hold each change within a second, and only the reader may read the store.
func TestLargeCentreChangeSpread(t *testing.T) {
	f := newFleet(t, 1, 100, 2)
	f.store.configure(1, 20)
	f.addServers(300)
	f.run(6 * time.Second)
	f.setLoads(300)
	f.run(3 * time.Second)
	f.store.calls = 0
	for version := range int64(4) {
		f.store.configure(version+2, 20+int(version))
		f.store.write(uint64(version)+1, agateinstance.Draining)
		f.run(time.Second)
		f.check("a second after the change")
	}
	// A reader reads some three times a second here.
	if limit := 4 * 4; f.store.calls > limit {
		t.Errorf("%d reads in four seconds, want at most %d", f.store.calls, limit)
	}
}

// TestLargeCentreChangeAsReaderEnds ends the reader of a large data centre without
// notice just before a change. The others must learn of it from other data centres,
// well before one of them reads in its place.
func TestLargeCentreChangeAsReaderEnds(t *testing.T) {
	f := newFleet(t, 3, 60, 2)
	f.store.configure(1, 20)
	f.addServers(100)
	f.run(3 * time.Second)
	f.setLoads(100)
	f.run(6 * time.Second)
	reader := f.reader()
	f.entries = slices.DeleteFunc(f.entries, func(o *entry) bool { return o == reader })
	f.store.configure(2, 21)
	f.run(2 * time.Second)
	f.check("two seconds after the change")
}

// TestLargeCentreOutageReads makes the store fail for 12 s in a large data centre.
// Few entries may try to read it, and all must hold a change soon after it works
// again.
func TestLargeCentreOutageReads(t *testing.T) {
	f := newLargeFleet(t)
	f.store.down = true
	f.store.calls = 0
	f.store.configure(2, 6)
	const seconds = 12
	f.run(seconds * time.Second)
	// Four readers try some three times a second here, each other one a few times.
	if limit := 5*4*seconds + 45*3; f.store.calls > limit {
		t.Errorf("%d reads, want at most %d", f.store.calls, limit)
	}
	f.store.down = false
	f.run(time.Second)
	f.check("after the outage")
}

// TestLargeCentreKeepsPeers runs a data centre with a long cycle of heartbeats: no
// entry may take a live peer for lost.
func TestLargeCentreKeepsPeers(t *testing.T) {
	const size = 45
	f := newFleet(t, 1, size, 11)
	f.addServers(60)
	f.store.configure(1, 20)
	f.run(2 * time.Second)
	f.setLoads(60)
	for range 40 {
		f.run(time.Second)
		for _, e := range f.entries {
			if local := len(e.sync.LocalPeers()); local != size-1 {
				t.Fatalf("at %v %s knows %d other entries, want %d", f.now, e.address, local, size-1)
			}
		}
	}
}

// TestRemoteBytesOfCentre checks that the traffic from one data centre to another
// does not grow with the number of its entries.
func TestRemoteBytesOfCentre(t *testing.T) {
	rate := func(size int) int {
		f := newFleet(t, 2, size, 11)
		f.addServers(60)
		f.store.configure(1, 20)
		f.run(8 * time.Second)
		f.setLoads(60)
		f.run(2 * time.Second)
		f.remoteBytes = 0
		const seconds = 10
		f.run(seconds * time.Second)
		return f.remoteBytes / seconds / 2
	}
	if small, large := rate(10), rate(40); large > small {
		t.Errorf("10 entries send %d bytes a second, 40 send %d, want no more", small, large)
	}
}

// TestColdStartBytes starts all entries of a large data centre at once. All read
// the store, so none should send its catalog to the others.
func TestColdStartBytes(t *testing.T) {
	f := newFleet(t, 1, 40, 3)
	f.addServers(300)
	f.store.configure(1, 20)
	f.run(300 * time.Millisecond)
	f.check("after the start")
	// A catalog takes some 15 KB.
	if perEntry := f.sentBytes / len(f.entries); perEntry > 15_000 {
		t.Errorf("an entry sends %d bytes, want at most 15000", perEntry)
	}
}

// TestIntroductions starts five data centres at once. Each entry must find all
// others of its own data centre and some of each other one, with little traffic
// between data centres.
func TestIntroductions(t *testing.T) {
	const centres, size = 5, 30
	f := newFleet(t, centres, size, 4)
	f.addServers(60)
	f.store.configure(1, 20)
	f.run(4 * time.Second)
	f.check("after the start")
	for _, e := range f.entries {
		if local := len(e.sync.LocalPeers()); local != size-1 {
			t.Errorf("%s knows %d entries of its data centre, want %d", e.address, local, size-1)
		}
		if remote := e.sync.PeerCount() - len(e.sync.LocalPeers()); remote < centres-1 {
			t.Errorf("%s knows %d entries of other data centres, want at least one of each", e.address, remote)
		}
	}
	// An introduction takes some 200 bytes.
	if perEntry := f.remoteBytes / len(f.entries); perEntry > 12_000 {
		t.Errorf("a start takes %d bytes between data centres for each entry, want at most 12000", perEntry)
	}
}

package agatesync_test

import (
	"slices"
	"testing"
	"time"

	"agatereach/core/process/agatesync"
	"agatereach/core/request/agateload"
	"agatereach/core/version/agateinstance"
)

// load lets each entry see the load of a number of servers.
func (f *fleet) load(servers int) {
	for _, e := range f.entries {
		e.sync.SetLoads(make([]agateload.Load, servers))
	}
}

// large returns a data centre of 45 entries that all hold what the store holds.
func large(t *testing.T) *fleet {
	f := newFleet(t, 1, 45, 2)
	f.store.configure(1, 5)
	f.servers(60)
	f.run(3 * time.Second)
	f.load(60)
	f.run(8 * time.Second)
	f.check("before")
	return f
}

// reader returns the entry that reads the store as the first of its data centre.
func (f *fleet) reader() *entry {
	for _, e := range f.entries {
		if e.sync.Due(f.now) == agatesync.First {
			return e
		}
	}
	return nil
}

// ends it without a word: another reads within two seconds, and few do.
func TestLargeCentreReaderReplaced(t *testing.T) {
	for name, end := range map[string]func(f *fleet, e *entry){
		"turned away": func(_ *fleet, e *entry) { e.deaf = true },
		"gone": func(f *fleet, e *entry) {
			f.entries = slices.DeleteFunc(f.entries, func(o *entry) bool { return o == e })
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := large(t)
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
			// The new reader, and for one that is turned away a second that tries, read
			// some three times a second here.
			if limit := 2 * 4; f.store.calls > limit {
				t.Errorf("%d reads in a second, want %d at most", f.store.calls, limit)
			}
		})
	}
}

// a second, and only the reader calls the store.
func TestLargeCentreLearns(t *testing.T) {
	f := newFleet(t, 1, 100, 2)
	f.store.configure(1, 20)
	f.servers(300)
	f.run(6 * time.Second)
	f.load(300)
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
		t.Errorf("%d calls in four seconds, want %d at most", f.store.calls, limit)
	}
}

// of them reads in its place.
func TestLostReaderOfOne(t *testing.T) {
	f := newFleet(t, 3, 60, 2)
	f.store.configure(1, 20)
	f.servers(100)
	f.run(3 * time.Second)
	f.load(100)
	f.run(6 * time.Second)
	reader := f.reader()
	f.entries = slices.DeleteFunc(f.entries, func(o *entry) bool { return o == reader })
	f.store.configure(2, 21)
	f.run(2 * time.Second)
	f.check("two seconds after the change")
}

// and all hold the change soon after its return.
func TestOutageCalls(t *testing.T) {
	f := large(t)
	f.store.down = true
	f.store.calls = 0
	f.store.configure(2, 6)
	const seconds = 12
	f.run(seconds * time.Second)
	// Four readers try some three times a second here, each other one a few times.
	if limit := 5*4*seconds + 45*3; f.store.calls > limit {
		t.Errorf("%d calls, want %d at most", f.store.calls, limit)
	}
	f.store.down = false
	f.run(time.Second)
	f.check("after the outage")
}

// held to be lost.
func TestLargeCentre(t *testing.T) {
	const size = 45
	f := newFleet(t, 1, size, 11)
	f.servers(60)
	f.store.configure(1, 20)
	f.run(2 * time.Second)
	f.load(60)
	for range 40 {
		f.run(time.Second)
		for _, e := range f.entries {
			if near := len(e.sync.Near()); near != size-1 {
				t.Fatalf("at %v %s knows %d others, want %d", f.now, e.address, near, size-1)
			}
		}
	}
}

// grow with its entries.
func TestFarBytesOfCentre(t *testing.T) {
	rate := func(size int) int {
		f := newFleet(t, 2, size, 11)
		f.servers(60)
		f.store.configure(1, 20)
		f.run(8 * time.Second)
		f.load(60)
		f.run(2 * time.Second)
		f.far = 0
		const seconds = 10
		f.run(seconds * time.Second)
		return f.far / seconds / 2
	}
	if small, large := rate(10), rate(40); large > small {
		t.Errorf("10 entries send %d bytes a second, 40 send %d", small, large)
	}
}

// that nobody needs the catalog of another.
func TestColdStartBytes(t *testing.T) {
	f := newFleet(t, 1, 40, 3)
	f.servers(300)
	f.store.configure(1, 20)
	f.run(300 * time.Millisecond)
	f.check("after the start")
	// A catalog takes some 15 KB.
	if each := f.bytes / len(f.entries); each > 15_000 {
		t.Errorf("each entry sends %d bytes", each)
	}
}

// their own and some of each other one, for a few bytes between them.
func TestIntroductions(t *testing.T) {
	const centres, size = 5, 30
	f := newFleet(t, centres, size, 4)
	f.servers(60)
	f.store.configure(1, 20)
	f.run(4 * time.Second)
	f.check("after the start")
	for _, e := range f.entries {
		if near := len(e.sync.Near()); near != size-1 {
			t.Errorf("%s knows %d of its data centre, want %d", e.address, near, size-1)
		}
		if far := e.sync.Peers() - len(e.sync.Near()); far < centres-1 {
			t.Errorf("%s knows %d of other data centres", e.address, far)
		}
	}
	// An introduction takes some 200 bytes.
	if each := f.far / len(f.entries); each > 12_000 {
		t.Errorf("a start costs each entry %d bytes between data centres", each)
	}
}

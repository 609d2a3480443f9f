package agatesync_test

import (
	"testing"
	"time"

	"agatereach/core/process/agatesync"
	"agatereach/core/version/agateinstance"
)

// newReadingFleet returns entries of two data centres that hold a configuration and two
// servers, and report loads.
func newReadingFleet(t *testing.T, size int) *fleet {
	f := newFleet(t, 2, size, 1)
	f.store.configure(1, 1)
	f.addServers(2)
	f.run(3 * time.Second)
	f.setLoads(60)
	f.run(3 * time.Second)
	f.check("before the cut")
	return f
}

// readerOf returns the first reader of a data centre.
func (f *fleet) readerOf(centre string) *entry {
	f.t.Helper()
	for _, e := range f.entries {
		if e.centre == centre && e.sync.ReadDuty(f.now) == agatesync.FirstReader {
			return e
		}
	}
	f.t.Fatalf("data centre %s has no reader", centre)
	return nil
}

// TestReaderCutOffKeepsNoServers guards against keeping a server that is gone in use beyond
// the bound at entries in order, because the link of their data centre's reader is cut for a
// second as the store, which is in order, removes the server.
func TestReaderCutOffKeepsNoServers(t *testing.T) {
	// The grace period of entry/process/agatedirect.
	former := mergePolicy
	mergePolicy.OutageGrace = 2250 * time.Millisecond
	t.Cleanup(func() { mergePolicy = former })
	for _, size := range []int{3, 4} {
		for _, length := range []time.Duration{1000, 1100, 1200} {
			f := newReadingFleet(t, size)
			cut := f.readerOf("a")
			cut.storeBlocked, cut.isolated = true, true
			f.store.remove(1)
			f.run(length * time.Millisecond)
			cut.storeBlocked, cut.isolated = false, false
			f.run(bound - length*time.Millisecond)
			for _, e := range f.entries {
				if got, _ := e.sync.Catalog().Newest(1); e != cut && got.State != agateinstance.Gone {
					t.Errorf("%d entries, cut for %d ms: %s of %s holds server 1 as %q at the bound", 2*size, length, e.address, e.centre, got.State)
				}
			}
		}
	}
}

package agatesync_test

import (
	"testing"
	"time"

	"agatereach/core/version/agateinstance"
)

// TestReaderCutOffKeepsNoServers guards against keeping a server that is gone in use beyond
// the bound at entries in order, because the link of their data centre's reader is cut for a
// second as the store, which is in order, removes the server: the next reader reads the
// removal later, and the one that is back then reports an outage.
func TestReaderCutOffKeepsNoServers(t *testing.T) {
	// The grace period of entry/process/agatedirect.
	former := mergePolicy
	mergePolicy.OutageGrace = 2250 * time.Millisecond
	t.Cleanup(func() { mergePolicy = former })
	for _, size := range []int{3, 4} {
		for _, length := range []time.Duration{1000, 1100, 1200} {
			f := newOutageFleet(t, size)
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

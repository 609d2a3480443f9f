package agatesync_test

import (
	"testing"
	"time"

	"agatereach/core/version/agateinstance"
)

// TestRestoredStoreReusesRevisions guards against changes that are never applied since
// their revisions were in use before the store was restored from a copy.
func TestRestoredStoreReusesRevisions(t *testing.T) {
	f := newFleet(t, 3, 3, 1)
	f.store.configure(1, 4)
	f.addServers(6)
	f.run(2 * time.Second)
	c := f.store.copy()
	f.store.configure(2, 5)
	f.store.write(2, agateinstance.Draining)
	f.run(bound)
	f.check("before the restore")
	f.store.restore(c)
	f.store.configure(2, 5)
	f.run(bound)
	f.store.write(3, agateinstance.Draining)
	f.store.configure(3, 6)
	f.store.write(2, agateinstance.Draining)
	f.run(bound)
	f.check("after the restore")
}

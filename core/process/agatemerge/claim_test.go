package agatemerge_test

import (
	"testing"
	"time"

	"agatereach/core/process/agatemerge"
	"agatereach/core/version/agateinstance"
)

// TestRestoreEndsClaim guards against new flows that go to another writer's address, which
// the restored store doesn't list, while the living server that it lists is out of use.
func TestRestoreEndsClaim(t *testing.T) {
	own := newRecord(1, 10, agateinstance.Ready)
	claim := newRecord(1, 30, agateinstance.Ready)
	claim.Address.Port++
	m := agatemerge.New(policy)
	m.Apply(listing(1, 20, inEra(1, own)), 0)
	m.Apply(listing(1, 30, inEra(1, claim)), time.Second)
	// The server's entry is as the server wrote it, so its beats don't change it.
	m.Apply(listing(2, 20, inEra(2, own)), 2*time.Second)
	got, _ := m.Catalog().Newest(1)
	if got.Address != own.Address || got.State != agateinstance.Ready {
		t.Errorf("server listed at %s is used at %s, %s", own.Address, got.Address, got.State)
	}
}

package agatemerge_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"agatereach/core/process/agatemerge"
	"agatereach/core/request/agateaddress"
	"agatereach/core/version/agatecatalog"
	"agatereach/core/version/agatechange"
	"agatereach/core/version/agateinstance"
)

var policy = agatemerge.Policy{RemovalGrace: time.Second, OutageGrace: 2 * time.Second, LeaseTime: 4 * time.Second, GoneRetention: 10 * time.Second}

func newRecord(id uint64, revision int64, state agateinstance.State) agateinstance.Instance {
	return agateinstance.Instance{
		Key: agateinstance.Key{ID: id, StartTime: 1, Address: agateaddress.Address{IP: [4]byte{10, 0, 0, byte(id)}, Port: 80}}, Revision: revision, Service: "map", Centre: "a", Slots: 3, State: state,
	}
}

func changes(revision int64, records ...agateinstance.Instance) agatechange.Changes {
	return agatechange.Changes{Revision: revision, Instances: records}
}

func removal(id uint64, revision int64) agatechange.Changes {
	return agatechange.Changes{Revision: revision, Removals: []agatechange.Removal{{ID: id, Revision: revision}}}
}

// state returns the state of the server's newest incarnation, empty if there is
// none.
func state(m *agatemerge.Merger, id uint64) agateinstance.State {
	instance, _ := m.Catalog().Newest(id)
	return instance.State
}

// TestRemovalGrace checks that a server that is removed without draining is kept
// for its grace period, which is longer soon after a failed read.
func TestRemovalGrace(t *testing.T) {
	for _, c := range []struct {
		name   string
		failed time.Duration
		kept   time.Duration
	}{
		{name: "no failed read", kept: policy.RemovalGrace},
		{name: "recent failed read", failed: 4 * time.Second, kept: policy.OutageGrace - time.Second},
		{name: "earlier failed read", failed: time.Second, kept: policy.RemovalGrace},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := agatemerge.New(policy)
			m.Apply(changes(1, newRecord(1, 1, agateinstance.Ready)), 0)
			if c.failed > 0 {
				m.RecordFailure(c.failed)
			}
			at := 5 * time.Second
			m.Apply(removal(1, 2), at)
			m.Tick(at + c.kept - time.Millisecond)
			if got := state(m, 1); got != agateinstance.Ready {
				t.Errorf("state %q within the grace period, want ready", got)
			}
			m.Tick(at + c.kept)
			if got := state(m, 1); got != agateinstance.Gone {
				t.Errorf("state %q after the grace period, want gone", got)
			}
		})
	}
}

// TestDrainingServerRemovedImmediately checks that a draining server is gone as
// soon as its registration is removed.
func TestDrainingServerRemovedImmediately(t *testing.T) {
	m := agatemerge.New(policy)
	m.Apply(changes(1, newRecord(1, 1, agateinstance.Draining)), 0)
	m.Apply(removal(1, 2), time.Second)
	if got := state(m, 1); got != agateinstance.Gone {
		t.Errorf("state %q, want gone", got)
	}
}

// TestDrainingServerLapsesInOutage guards against taking a draining server for gone whose
// registration has lapsed in an outage of the source: it serves its flows and is listed
// again, like a server that is ready.
func TestDrainingServerLapsesInOutage(t *testing.T) {
	m := agatemerge.New(policy)
	m.Apply(changes(1, newRecord(1, 1, agateinstance.Draining)), 0)
	const failed = 4 * time.Second
	m.RecordFailure(failed)
	m.Apply(removal(1, 2), failed+time.Millisecond)
	m.Tick(failed + policy.OutageGrace - time.Millisecond)
	if got := state(m, 1); got != agateinstance.Draining {
		t.Errorf("state %q within the grace period of an outage, want draining", got)
	}
	m.Tick(failed + policy.OutageGrace)
	if got := state(m, 1); got != agateinstance.Gone {
		t.Errorf("state %q after the grace period, want gone", got)
	}
}

// TestReregistrationAfterGoneRecord guards against a pending removal that outlives
// the record that marks the server as gone: the server registers again with the
// next revision, and the old removal must not take it out of service.
func TestReregistrationAfterGoneRecord(t *testing.T) {
	m := agatemerge.New(policy)
	m.Apply(changes(7, newRecord(6, 7, agateinstance.Ready)), 0)
	m.Apply(removal(6, 8), time.Second)
	m.Apply(changes(8, newRecord(6, 8, agateinstance.Gone)), time.Second)
	m.Tick(10 * time.Second)
	m.Apply(changes(9, newRecord(6, 9, agateinstance.Ready)), 10*time.Second)
	if got := state(m, 6); got != agateinstance.Ready {
		t.Errorf("state %q, want ready", got)
	}
}

// TestRepeatedRemoval checks that a server that is removed twice stays gone when
// the record from between the two removals arrives late, either while the first
// removal is pending or after it took effect.
func TestRepeatedRemoval(t *testing.T) {
	for _, late := range []time.Duration{0, 5 * time.Second} {
		m := agatemerge.New(policy)
		m.Apply(changes(9, newRecord(2, 9, agateinstance.Ready)), 0)
		m.Apply(removal(2, 10), time.Second)
		m.Apply(removal(2, 13), time.Second)
		m.Tick(time.Second + late)
		m.Apply(changes(13, newRecord(2, 12, agateinstance.Ready)), time.Second+late)
		m.Tick(10 * time.Second)
		if got := state(m, 2); got != agateinstance.Gone {
			t.Errorf("state %q with the record %s late, want gone", got, late)
		}
	}
}

// TestRecordRemovedBeforeListing checks that a record older than a complete listing
// that lacks its server is ignored.
func TestRecordRemovedBeforeListing(t *testing.T) {
	m := agatemerge.New(policy)
	listing := changes(8, newRecord(1, 3, agateinstance.Ready))
	listing.Complete = true
	m.Apply(listing, 0)
	m.Apply(changes(0, newRecord(2, 5, agateinstance.Ready)), 0)
	if got := state(m, 2); got != "" {
		t.Errorf("state %q, want no record", got)
	}
	if floor := m.Catalog().Floor().Revision; floor != 8 {
		t.Errorf("floor %d, want 8", floor)
	}
}

// TestNewIncarnation checks that the former incarnation is gone once its server
// has restarted under the same id, and that its record is dropped after the
// retention time.
func TestNewIncarnation(t *testing.T) {
	m := agatemerge.New(policy)
	former := newRecord(1, 1, agateinstance.Ready)
	restarted := newRecord(1, 2, agateinstance.Ready)
	restarted.StartTime = 9
	m.Apply(changes(2, former, restarted), 0)
	if got, ok := m.Catalog().Instance(former.Key); !ok || got.State != agateinstance.Gone {
		t.Errorf("former incarnation in state %q, want gone", got.State)
	}
	m.Apply(changes(3, newRecord(1, 3, agateinstance.Ready)), 0)
	if got, _ := m.Catalog().Instance(former.Key); got.State != agateinstance.Gone {
		t.Error("late record replaced the state of the former incarnation")
	}
	m.Tick(policy.GoneRetention + time.Second)
	if _, ok := m.Catalog().Instance(former.Key); ok {
		t.Error("former incarnation still held after the retention time")
	}
	if got := state(m, 1); got != agateinstance.Ready {
		t.Errorf("server in state %q, want ready", got)
	}
}

// TestEarlierStartTime guards against ignoring a server whose former incarnation has a
// later start time, because a clock was set back or another writer made it up: of the
// records under one key the one written last is in force.
func TestEarlierStartTime(t *testing.T) {
	m := agatemerge.New(policy)
	first, odd := newRecord(1, 1, agateinstance.Ready), newRecord(1, 2, agateinstance.Ready)
	odd.StartTime = 1 << 40
	m.Apply(changes(2, first, odd), 0)
	restarted := newRecord(1, 3, agateinstance.Ready)
	restarted.StartTime = first.StartTime - 1
	for _, record := range []agateinstance.Instance{newRecord(1, 3, agateinstance.Ready), restarted} {
		for i, want := range []agateinstance.State{agateinstance.Ready, agateinstance.Draining} {
			record.State, record.Revision = want, m.Catalog().Revision()+1
			m.Apply(changes(record.Revision, record), 0)
			if got, _ := m.Catalog().Newest(1); got.Key != record.Key || got.State != want {
				t.Errorf("write %d: newest started at %d, %s; want %d, %s", i, got.StartTime, got.State, record.StartTime, want)
			}
		}
	}
	m.Apply(removal(1, m.Catalog().Revision()+1), 0)
	m.Tick(time.Minute / 2)
	for held := range m.Catalog().All() {
		if held.State != agateinstance.Gone {
			t.Errorf("incarnation %d is %s after the removal, want gone", held.StartTime, held.State)
		}
	}
}

// TestRemovalEndsLaterKnownRecords guards against a server that stays in use after its
// removal because a record from before the removal becomes known within the grace period:
// of a later start, or of one that differs in the address.
func TestRemovalEndsLaterKnownRecords(t *testing.T) {
	first := newRecord(1, 1, agateinstance.Ready)
	restarted, elsewhere := newRecord(1, 3, agateinstance.Ready), newRecord(1, 3, agateinstance.Ready)
	restarted.StartTime++
	elsewhere.Address.Port++
	for _, late := range []agateinstance.Instance{restarted, elsewhere} {
		m := agatemerge.New(policy)
		m.Apply(changes(2, first), 0)
		m.Apply(removal(1, 5), 0)
		m.Apply(listing(0, 5, first.WithState(agateinstance.Gone, late.Position()), late), 0)
		m.Tick(policy.RemovalGrace)
		if got, _ := m.Catalog().Newest(1); got.State != agateinstance.Gone {
			t.Errorf("removed at 5, server at %s is %s, registered at %s", got.Address, got.State, got.Position())
		}
	}
}

// TestMonotone applies random deliveries, with losses and repetitions, and checks
// that version, position and floor never decrease and that a record is never
// replaced by an older one, whatever eras the deliveries are from.
func TestMonotone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := agatemerge.New(policy)
		var now time.Duration
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			before := m.Catalog()
			now += time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond
			applyRandomDelivery(t, m, now)
			after := m.Catalog()
			if before.Stamp().After(after.Stamp()) || before.Position().After(after.Position()) || before.Floor().After(after.Floor()) {
				t.Fatal("version, position or floor decreased")
			}
			for _, held := range before.Instances() {
				if got, ok := after.Instance(held.Key); ok && held.Position().After(got.Position()) {
					t.Fatalf("record of server %d went back from %s to %s", held.ID, held.Position(), got.Position())
				}
			}
		}
	})
}

// applyRandomDelivery applies one random delivery, failed read or tick.
func applyRandomDelivery(t *rapid.T, m *agatemerge.Merger, now time.Duration) {
	revision := rapid.Int64Range(1, 50).Draw(t, "revision")
	id := rapid.Uint64Range(1, 4).Draw(t, "id")
	era := rapid.Uint32Range(1, 3).Draw(t, "era")
	states := []agateinstance.State{agateinstance.Ready, agateinstance.Draining, agateinstance.Gone}
	switch rapid.IntRange(0, 4).Draw(t, "kind") {
	case 0:
		m.Tick(now)
	case 1:
		m.RecordFailure(now)
	case 2:
		c := removal(id, revision)
		c.Era = era
		m.Apply(c, now)
	case 3:
		m.ApplyConfig(&agatecatalog.Config{Version: revision, Era: era})
	case 4:
		record := newRecord(id, revision, rapid.SampledFrom(states).Draw(t, "state"))
		record.Era = era
		c := changes(revision, record)
		c.Era = era
		c.Complete = rapid.Bool().Draw(t, "whole")
		m.Apply(c, now)
	}
}

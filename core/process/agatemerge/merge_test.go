package agatemerge_test

import (
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"

	"agatereach/core/process/agatemerge"
	"agatereach/core/version/agatecatalog"
	"agatereach/core/version/agatechange"
	"agatereach/core/version/agateinstance"
)

var policy = agatemerge.Policy{Unannounced: time.Second, Outage: 2 * time.Second, Memory: 10 * time.Second}

func record(id uint64, revision int64, state agateinstance.State) agateinstance.Instance {
	return agateinstance.Instance{
		Key: agateinstance.Key{ID: id, Born: 1}, Revision: revision, Service: "map", Centre: "a", Slots: 3, State: state,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(id)}), 80),
	}
}

func changes(revision int64, records ...agateinstance.Instance) agatechange.Changes {
	return agatechange.Changes{Revision: revision, Instances: records}
}

func removal(id uint64, revision int64) agatechange.Changes {
	return agatechange.Changes{Revision: revision, Removed: []agatechange.Removal{{ID: id, Revision: revision}}}
}

// state returns the state in which the server is held.
func state(m *agatemerge.Merger, id uint64) agateinstance.State {
	instance, _ := m.Catalog().Newest(id)
	return instance.State
}

// TestLapse removes a server that has not drained: it is kept for a while, and
// for longer after an outage.
func TestLapse(t *testing.T) {
	for _, c := range []struct {
		name   string
		failed time.Duration
		kept   time.Duration
	}{
		{name: "calm", kept: policy.Unannounced},
		{name: "outage", failed: 4 * time.Second, kept: policy.Outage - time.Second},
		{name: "long ago", failed: time.Second, kept: policy.Unannounced},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := agatemerge.New(policy)
			m.Apply(changes(1, record(1, 1, agateinstance.Ready)), 0)
			if c.failed > 0 {
				m.Failed(c.failed)
			}
			at := 5 * time.Second
			m.Apply(removal(1, 2), at)
			m.Tick(at + c.kept - time.Millisecond)
			if got := state(m, 1); got != agateinstance.Ready {
				t.Errorf("%q before its time", got)
			}
			m.Tick(at + c.kept)
			if got := state(m, 1); got != agateinstance.Gone {
				t.Errorf("%q after its time", got)
			}
		})
	}
}

// TestDrainedGoesAtOnce removes a server that has drained.
func TestDrainedGoesAtOnce(t *testing.T) {
	m := agatemerge.New(policy)
	m.Apply(changes(1, record(1, 1, agateinstance.Draining)), 0)
	m.Apply(removal(1, 2), time.Second)
	if got := state(m, 1); got != agateinstance.Gone {
		t.Errorf("%q, want gone", got)
	}
}

// TestReturnAfterOthersSawItGo lets another entry report a server as gone while
// its lapse is still pending here, and the server register again with the very
// next revision: it must be in service.
func TestReturnAfterOthersSawItGo(t *testing.T) {
	m := agatemerge.New(policy)
	m.Apply(changes(7, record(6, 7, agateinstance.Ready)), 0)
	m.Apply(removal(6, 8), time.Second)
	m.Apply(changes(8, record(6, 8, agateinstance.Gone)), time.Second)
	m.Tick(10 * time.Second)
	m.Apply(changes(9, record(6, 9, agateinstance.Ready)), 10*time.Second)
	if got := state(m, 6); got != agateinstance.Ready {
		t.Errorf("%q, want ready", got)
	}
}

// TestSecondRemoval removes a server twice, and lets the record between arrive
// late, while the first lapse is pending and after it: the server stays gone.
func TestSecondRemoval(t *testing.T) {
	for _, late := range []time.Duration{0, 5 * time.Second} {
		m := agatemerge.New(policy)
		m.Apply(changes(9, record(2, 9, agateinstance.Ready)), 0)
		m.Apply(removal(2, 10), time.Second)
		m.Apply(removal(2, 13), time.Second)
		m.Tick(time.Second + late)
		m.Apply(changes(13, record(2, 12, agateinstance.Ready)), time.Second+late)
		m.Tick(10 * time.Second)
		if got := state(m, 2); got != agateinstance.Gone {
			t.Errorf("%q after %s, want gone", got, late)
		}
	}
}

// TestRemovedBeforeTheListing takes in a record that a listing has shown to be
// removed: it names no server.
func TestRemovedBeforeTheListing(t *testing.T) {
	m := agatemerge.New(policy)
	whole := changes(8, record(1, 3, agateinstance.Ready))
	whole.Whole = true
	m.Apply(whole, 0)
	m.Apply(changes(0, record(2, 5, agateinstance.Ready)), 0)
	if got := state(m, 2); got != "" {
		t.Errorf("%q, want it unknown", got)
	}
	if floor := m.Catalog().Floor(); floor != 8 {
		t.Errorf("floor %d, want 8", floor)
	}
}

// TestNewIncarnation starts a server again under its id: the former incarnation
// is gone, and remembered for as long as its flows may last.
func TestNewIncarnation(t *testing.T) {
	m := agatemerge.New(policy)
	former := record(1, 1, agateinstance.Ready)
	again := record(1, 2, agateinstance.Ready)
	again.Born = 9
	m.Apply(changes(2, former, again), 0)
	if got, ok := m.Catalog().Instance(former.Key); !ok || got.State != agateinstance.Gone {
		t.Errorf("the former incarnation is %q", got.State)
	}
	m.Apply(changes(3, record(1, 3, agateinstance.Ready)), 0)
	if got, _ := m.Catalog().Instance(former.Key); got.State != agateinstance.Gone {
		t.Error("a late record has brought the former incarnation back")
	}
	m.Tick(policy.Memory + time.Second)
	if _, ok := m.Catalog().Instance(former.Key); ok {
		t.Error("the former incarnation is never forgotten")
	}
	if got := state(m, 1); got != agateinstance.Ready {
		t.Errorf("the server is %q", got)
	}
}

// TestMonotone draws deliveries in any order, with losses and repetitions: the
// version and the revision never fall, and a record is never replaced by an
// older one.
func TestMonotone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := agatemerge.New(policy)
		var now time.Duration
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			before := m.Catalog()
			now += time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond
			disturb(t, m, now)
			after := m.Catalog()
			if after.Version() < before.Version() || after.Revision() < before.Revision() || after.Floor() < before.Floor() {
				t.Fatal("a number has fallen")
			}
			for _, held := range before.Instances() {
				if got, ok := after.Instance(held.Key); ok && got.Revision < held.Revision {
					t.Fatalf("server %d went from revision %d to %d", held.ID, held.Revision, got.Revision)
				}
			}
		}
	})
}

// disturb makes one delivery.
func disturb(t *rapid.T, m *agatemerge.Merger, now time.Duration) {
	revision := rapid.Int64Range(1, 50).Draw(t, "revision")
	id := rapid.Uint64Range(1, 4).Draw(t, "id")
	states := []agateinstance.State{agateinstance.Ready, agateinstance.Draining, agateinstance.Gone}
	switch rapid.IntRange(0, 4).Draw(t, "kind") {
	case 0:
		m.Tick(now)
	case 1:
		m.Failed(now)
	case 2:
		m.Apply(removal(id, revision), now)
	case 3:
		m.Apply(agatechange.Changes{Config: &agatecatalog.Config{Version: revision}}, now)
	case 4:
		c := changes(revision, record(id, revision, rapid.SampledFrom(states).Draw(t, "state")))
		c.Whole = rapid.Bool().Draw(t, "whole")
		m.Apply(c, now)
	}
}

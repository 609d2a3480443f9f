package agatesync_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"agatereach/core/process/agatenotice"
	"agatereach/core/process/agatesync"
	"agatereach/core/version/agateinstance"
)

// spreadTime is how long a removal may take to reach all entries after the first one has
// held its server for gone, and to be read before.
const spreadTime = 600 * time.Millisecond

// newOutageFleet returns entries of two data centres that hold a configuration and two
// servers, and report loads.
func newOutageFleet(t *testing.T, size int) *fleet {
	f := newFleet(t, 2, size, 1)
	f.store.configure(1, 1)
	f.addServers(2)
	f.run(3 * time.Second)
	f.setLoads(60)
	f.run(3 * time.Second)
	f.check("before the outage")
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

// expectServer checks in which state all entries but the excluded ones hold server 1.
func (f *fleet) expectServer(want agateinstance.State, when string, excluded ...*entry) {
	f.t.Helper()
	for _, e := range f.entries {
		if slices.Contains(excluded, e) {
			continue
		}
		if got, _ := e.sync.Catalog().Newest(1); got.State != want {
			f.t.Errorf("%s holds server 1 as %q %s, want %q", e.address, got.State, when, want)
		}
	}
}

// TestOutageNoticedByOneReader guards against taking servers for gone that register again
// in time after an outage, which the reader of the other data centre hasn't noticed: its
// watch returns the removal before or after the first reader's read fails, or as soon as
// its reads succeed again.
func TestOutageNoticedByOneReader(t *testing.T) {
	for _, size := range []int{1, 3, 12, 40} {
		for name, play := range map[string]func(f *fleet, failed *entry){
			"before": func(f *fleet, failed *entry) {
				f.run(300 * time.Millisecond)
				f.send(failed, failed.sync.HandleReadFailure(f.now))
			},
			"after": func(f *fleet, failed *entry) {
				f.send(failed, failed.sync.HandleReadFailure(f.now))
			},
			"from return": func(f *fleet, failed *entry) {
				f.run(300 * time.Millisecond)
				failed.storeBlocked = false
			},
		} {
			t.Run(fmt.Sprint(size, " entries/", name), func(t *testing.T) {
				f := newOutageFleet(t, size)
				failed := f.readerOf("a")
				if name == "from return" {
					failed.storeBlocked = true
					f.run(4 * time.Second)
				}
				f.store.remove(1)
				removed := f.now
				play(f, failed)
				f.run(mergePolicy.OutageGrace - step - (f.now - removed))
				f.expectServer(agateinstance.Ready, "within the time to register again")
				f.run(spreadTime + 300*time.Millisecond)
				f.expectServer(agateinstance.Gone, "after the time to register again")
			})
		}
	}
}

// TestEntryWithoutStoreKeepsNoServers guards against keeping servers that are gone because
// an entry is turned away by the store, for long, while the store serves all others. An
// entry that is alone in its data centre learns of it later, from the other one.
func TestEntryWithoutStoreKeepsNoServers(t *testing.T) {
	for _, size := range []int{1, 3, 12} {
		t.Run(fmt.Sprint(size, " entries"), func(t *testing.T) {
			f := newOutageFleet(t, size)
			away := f.readerOf("a")
			away.storeBlocked = true
			f.run(mergePolicy.OutageGrace + spreadTime)
			f.store.remove(1)
			f.run(mergePolicy.RemovalGrace + spreadTime)
			if size == 1 {
				f.expectServer(agateinstance.Gone, "after its grace period", away)
				f.run(bound - mergePolicy.RemovalGrace - spreadTime)
			}
			f.expectServer(agateinstance.Gone, "after its grace period")
		})
	}
}

// TestUnsteadyReadsKeepNoServers guards against keeping servers that are gone in use beyond
// the bound, because the reads of one entry fail and succeed in turn.
func TestUnsteadyReadsKeepNoServers(t *testing.T) {
	for _, period := range []time.Duration{100 * time.Millisecond, 400 * time.Millisecond, time.Second} {
		t.Run(period.String(), func(t *testing.T) {
			f := newOutageFleet(t, 3)
			unsteady := f.readerOf("a")
			turn := func(d time.Duration) {
				for end := f.now + d; f.now < end; {
					unsteady.storeBlocked = !unsteady.storeBlocked
					f.run(min(period, end-f.now))
				}
			}
			turn(4 * time.Second)
			f.store.remove(1)
			turn(mergePolicy.OutageGrace + spreadTime)
			f.expectServer(agateinstance.Gone, "after the time to register again")
			if grace := mergePolicy.OutageGrace + spreadTime; grace > bound {
				t.Errorf("grace of %s exceeds the bound", grace)
			}
		})
	}
}

// TestOutageReportIsPassedOnOnce guards against reports of an outage that entries pass back
// and forth, with a lower age each time: one from another data centre is passed on within
// the receiver's, again with each round of heartbeats since some are lost, and no other.
func TestOutageReportIsPassedOnOnce(t *testing.T) {
	for centre, passedOn := range map[string]bool{"a": false, "b": true} {
		t.Run("from "+centre, func(t *testing.T) {
			f := newOutageFleet(t, 3)
			from, to := f.readerOf(centre), f.entries[0]
			if from == to {
				from = f.entries[2]
			}
			report := &agatenotice.Heartbeat{Name: "vm-99", Centre: centre, Boot: 9, OutageAge: 500}
			sends := to.sync.Receive(from.address, agatenotice.Notice{Heartbeat: report}, f.now)
			for range 100 {
				f.now += step
				sends = append(sends, to.sync.Tick(f.now)...)
			}
			local := 0
			for _, send := range sends {
				switch b := send.Notice.Heartbeat; {
				case b == nil || b.OutageAge == 0:
				case f.byAddress[send.To].centre != to.centre:
					t.Errorf("reported to %s of another data centre", send.To)
				case b.OutageAge < report.OutageAge:
					t.Errorf("reported with age %d ms, want at least %d", b.OutageAge, report.OutageAge)
				default:
					local++
				}
			}
			if repeated := local > len(to.sync.LocalPeers()); repeated != passedOn || local > 0 != passedOn {
				t.Errorf("reported %d times within the data centre, want it reported again and again: %t", local, passedOn)
			}
		})
	}
}

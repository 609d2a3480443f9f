package agatecollector_test

import (
	"runtime"
	"runtime/metrics"
	"testing"
	"time"

	"agatereach/entry/process/agatecollector"
)

var allocated []byte

// allocate allocates the given number of MB as garbage.
func allocate(mb int) {
	for range mb {
		allocated = make([]byte, 1<<20)
	}
}

// collections returns the number of garbage collections so far.
func collections() uint32 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.NumGC
}

// gcPercent returns the runtime's GC percentage.
func gcPercent() uint64 {
	sample := []metrics.Sample{{Name: "/gc/gogc:percent"}}
	metrics.Read(sample)
	return sample[0].Value.Uint64()
}

// TestCollectionDeferred allocates garbage before and after ScheduleResume: nothing is
// collected until the delay is over, when the GC percentage is as before.
func TestCollectionDeferred(t *testing.T) {
	runtime.GC()
	initialPercent, before := gcPercent(), collections()
	c, cleanup := agatecollector.New(400)
	defer cleanup()
	allocate(8)
	c.ScheduleResume()
	c.ScheduleResume()
	allocate(2)
	if got := collections(); got != before {
		t.Errorf("%d collections while collection is deferred", got-before)
	}
	if gcPercent() == initialPercent {
		t.Error("the GC percentage is unchanged")
	}
	for end := time.Now().Add(10 * time.Second); gcPercent() != initialPercent; time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the GC percentage is not restored after ScheduleResume")
		}
	}
}

// TestCollectsAtMemoryLimit checks that garbage is collected while collection is
// deferred if a quarter of the VM's memory is in use.
func TestCollectsAtMemoryLimit(t *testing.T) {
	_, cleanup := agatecollector.New(100)
	defer cleanup()
	before := collections()
	allocate(200)
	if collections() == before {
		t.Error("no collection at the memory limit")
	}
}

// TestMemoryLimitOnLargeVM checks that on a VM with more memory garbage is collected
// once 32 MB are in use, which is what the design reserves for the control part.
func TestMemoryLimitOnLargeVM(t *testing.T) {
	_, cleanup := agatecollector.New(4000)
	defer cleanup()
	before := collections()
	allocate(100)
	if collections() == before {
		t.Error("no collection after 100 MB of garbage")
	}
}

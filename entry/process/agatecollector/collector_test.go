package agatecollector_test

import (
	"runtime"
	"runtime/metrics"
	"testing"
	"time"

	"agatereach/entry/process/agatecollector"
)

var sink []byte

// allocate makes garbage of a number of MB.
func allocate(mb int) {
	for range mb {
		sink = make([]byte, 1<<20)
	}
}

// collections returns the number of collections so far.
func collections() uint32 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.NumGC
}

// target returns the collector's target in percent.
func target() uint64 {
	sample := []metrics.Sample{{Name: "/gc/gogc:percent"}}
	metrics.Read(sample)
	return sample[0].Value.Uint64()
}

// TestCollector makes some garbage before and after the first catalog: nothing is
// collected until the entry has served for a while, when the target is as before.
func TestCollector(t *testing.T) {
	runtime.GC()
	usual, before := target(), collections()
	c, cleanup := agatecollector.New(400)
	defer cleanup()
	allocate(8)
	c.Serving()
	c.Serving()
	allocate(2)
	if got := collections(); got != before {
		t.Errorf("%d collections before the entry serves", got-before)
	}
	if target() == usual {
		t.Error("the collection is not put off")
	}
	for end := time.Now().Add(10 * time.Second); target() != usual; time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the collection stays put off after the entry serves")
		}
	}
}

// TestShortOfMemory collects before the entry serves if a quarter of the memory is
// in use.
func TestShortOfMemory(t *testing.T) {
	_, cleanup := agatecollector.New(100)
	defer cleanup()
	before := collections()
	allocate(200)
	if collections() == before {
		t.Error("no collection though memory is short")
	}
}

// TestLargeVM collects before the entry serves once as much is in use as the design
// leaves for control, on a VM that has more.
func TestLargeVM(t *testing.T) {
	_, cleanup := agatecollector.New(4000)
	defer cleanup()
	before := collections()
	allocate(100)
	if collections() == before {
		t.Error("no collection of 100 MB of garbage")
	}
}

package agatecollector_test

import (
	"runtime"
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

// TestCollector makes garbage before and after the first catalog: it is collected
// once the entry has served for a while, and before that where memory is short.
func TestCollector(t *testing.T) {
	c, cleanup := agatecollector.New(400)
	defer cleanup()
	before := collections()
	allocate(50)
	c.Serving()
	c.Serving()
	allocate(10)
	if got := collections(); got != before {
		t.Errorf("%d collections before the entry serves", got-before)
	}
	for end := time.Now().Add(10 * time.Second); collections() == before; allocate(10) {
		if time.Now().After(end) {
			t.Fatal("no collection after the entry serves")
		}
		time.Sleep(50 * time.Millisecond)
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

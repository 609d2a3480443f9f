// Package agatecollector puts off the collection of garbage while an entry starts:
// on a small VM the first collection takes as long as everything else between the
// start and the first catalog, and callers wait meanwhile.
package agatecollector

import (
	"runtime/debug"
	"sync"
	"time"
)

const (
	// backlog is how long after the first catalog the collection stays put off:
	// callers that waited for the entry come at once.
	backlog = time.Second
	// memoryShare is the part of the VM's memory that may be used meanwhile, and
	// mostMemory the most in bytes: what the design leaves for control.
	memoryShare = 4
	mostMemory  = 32 << 20
	// off is the target that puts the collection off.
	off = -1
)

// Collector is the runtime's collector of a process that starts.
type Collector struct {
	// serving starts the time after which the collection goes on.
	serving func()
}

// New puts the collection off until Serving, or until a quarter of the memory in
// MB, 32 MB at most, is in use. The clean-up restores what held before.
func New(memoryMB int) (*Collector, func()) {
	percent := debug.SetGCPercent(off)
	limit := debug.SetMemoryLimit(min(int64(memoryMB)<<20/memoryShare, mostMemory))
	resume := sync.OnceFunc(func() {
		debug.SetGCPercent(percent)
		debug.SetMemoryLimit(limit)
	})
	serving := sync.OnceFunc(func() { time.AfterFunc(backlog, resume) })
	return &Collector{serving: serving}, resume
}

// Serving says that the entry has a catalog. It may be called more than once.
func (c *Collector) Serving() { c.serving() }

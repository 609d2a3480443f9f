// Package agatecollector defers garbage collection while an entry starts: on a small
// VM the first collection takes as long as everything else between the start and the
// first catalog, and callers wait meanwhile.
package agatecollector

import (
	"runtime/debug"
	"sync"
	"time"
)

const (
	// resumeDelay is how long after the first catalog garbage collection stays
	// deferred: the callers that waited for the entry arrive at once.
	resumeDelay = time.Second
	// memoryDivisor gives the part of the VM's memory that the process may use
	// while collection is deferred, and maxMemory the maximum in bytes: what the
	// design reserves for the control part.
	memoryDivisor = 4
	maxMemory     = 32 << 20
	// gcOff is the GC percentage that disables collection below the memory limit.
	gcOff = -1
)

// Collector controls the runtime's garbage collector while the process starts.
type Collector struct {
	// scheduleResume starts the timer for resumeDelay on its first call.
	scheduleResume func()
}

// New defers garbage collection until resumeDelay after ScheduleResume. Meanwhile the
// runtime collects only once a quarter of the memory in MB, 32 MB at most, is in use.
// The returned function restores the previous settings at once.
func New(memoryMB int) (*Collector, func()) {
	percent := debug.SetGCPercent(gcOff)
	limit := debug.SetMemoryLimit(min(int64(memoryMB)<<20/memoryDivisor, maxMemory))
	resume := sync.OnceFunc(func() {
		debug.SetGCPercent(percent)
		debug.SetMemoryLimit(limit)
	})
	scheduleResume := sync.OnceFunc(func() { time.AfterFunc(resumeDelay, resume) })
	return &Collector{scheduleResume: scheduleResume}, resume
}

// ScheduleResume lets garbage collection resume after a delay. It is called when the
// entry has a catalog; later calls have no effect.
func (c *Collector) ScheduleResume() { c.scheduleResume() }

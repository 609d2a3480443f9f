// Package agateschedule decides which backend servers an entry probes, and when.
package agateschedule

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"agatereach/core/process/agateheap"
)

const (
	// confirmedInterval is the mean time between two probes of a server that
	// the last probe confirmed. Each interval is drawn from 0.5 to 1.5 times it.
	confirmedInterval = 10 * time.Second
	// retryInterval is the mean time between two probes after a failed probe.
	retryInterval = 500 * time.Millisecond
	// maxRetries is the number of consecutive failures from which on a server
	// is probed at confirmedInterval again.
	maxRetries = 10
)

// Target is a backend server's health endpoint.
type Target struct {
	// Server, Service and Incarnation identify the server.
	Server      uint32
	Service     uint32
	Incarnation uint64
	// Health is the address of the endpoint.
	Health netip.AddrPort
}

// task is a target with the state of its probes.
type task struct {
	Target
	// due is the time of the next probe.
	due time.Time
	// probing is whether Next has returned the target and Done has not been
	// called since.
	probing bool
	// failures is the number of consecutive probes that did not confirm the
	// server.
	failures int
	// index is the position in the heap.
	index int
	// lastRound is the round of the last call of Set that included the target.
	lastRound uint64
}

// Before implements agateheap.Item.
func (d *task) Before(other *task) bool { return d.due.Before(other.due) }

// Moved implements agateheap.Item.
func (d *task) Moved(place int) { d.index = place }

// Schedule holds the targets of one entry. It is not safe for concurrent use.
type Schedule struct {
	random *rand.Rand
	tasks  map[uint32]*task
	// order is a heap with the earliest due time first.
	order agateheap.Heap[*task]
	// round is the number of calls of Set.
	round uint64
}

// New returns a schedule without targets; the seed determines the jitter of its
// intervals.
func New(seed uint64) *Schedule {
	return &Schedule{random: rand.New(rand.NewPCG(seed, seed)), tasks: make(map[uint32]*task)}
}

// Len returns the number of targets.
func (r *Schedule) Len() int { return len(r.tasks) }

// Set replaces the targets. A target that is new or has changed, for instance
// its incarnation, is due at once; the others keep their due times.
func (r *Schedule) Set(now time.Time, targets []Target) {
	r.round++
	for _, target := range targets {
		r.set(now, target)
	}
	for id, d := range r.tasks {
		if d.lastRound != r.round {
			r.order.Remove(d.index)
			delete(r.tasks, id)
		}
	}
}

func (r *Schedule) set(now time.Time, target Target) {
	d := r.tasks[target.Server]
	if d == nil {
		d = &task{Target: target, due: now}
		r.tasks[target.Server] = d
		r.order.Push(d)
	}
	if d.Target != target {
		d.Target, d.due, d.failures, d.probing = target, now, 0, false
		r.order.Fix(d.index)
	}
	d.lastRound = r.round
}

// Next returns a target whose probe is due, and whether there is one. The
// target is due again after about confirmedInterval, unless Done sets another
// time.
func (r *Schedule) Next(now time.Time) (Target, bool) {
	d, found := r.order.First()
	if !found || now.Before(d.due) {
		return Target{}, false
	}
	d.probing = true
	r.delay(now, d, confirmedInterval)
	return d.Target, true
}

// Done records the result of a probe, which is whether it confirmed the server.
// It ignores a result for a target that has been replaced or removed.
func (r *Schedule) Done(now time.Time, target Target, confirmed bool) {
	d := r.tasks[target.Server]
	if d == nil || d.Target != target || !d.probing {
		return
	}
	d.probing = false
	if confirmed {
		d.failures = 0
		r.delay(now, d, confirmedInterval)
		return
	}
	d.failures++
	if d.failures < maxRetries {
		r.delay(now, d, retryInterval)
	}
}

// delay sets the next probe to a random time, 0.5 to 1.5 times the mean from now.
func (r *Schedule) delay(now time.Time, d *task, mean time.Duration) {
	d.due = now.Add(mean/2 + time.Duration(r.random.Int64N(int64(mean))))
	r.order.Fix(d.index)
}

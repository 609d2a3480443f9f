// Package agateadmission decides which new flows an entry admits while a service is asked
// for more than its servers can do: bursts of several times the usual demand, and demand
// that stays while servers are gone or slow. It works by what the entry itself observes,
// and refuses the new flows of the least urgent routes first.
package agateadmission

import (
	"encoding/binary"
	"iter"
	"slices"
)

// Outcome is what became of a request.
type Outcome string

// The outcomes.
const (
	// Served is a request that was answered within its objective.
	Served Outcome = "served"
	// Degraded is a request that a server refused, or that has no answer after its
	// objective.
	Degraded Outcome = "degraded"
	// Lost is a request without an answer after its timeout.
	Lost Outcome = "lost"
)

// Policy holds the thresholds of an Admission.
type Policy struct {
	// MinSamples is the number of requests in the window below which all flows are
	// admitted, and MinDegraded the number of degraded ones.
	MinSamples, MinDegraded int
	// DegradedShare is the share of degraded requests, from 0 to 1, from which on a
	// priority counts as degraded, and LostShare the share of lost ones from which on
	// the flows of the most urgent priority are refused as well.
	DegradedShare, LostShare float64
	// FullUsage is the number of requests in progress per slot from which on a service
	// has no room. Below it no share is reduced, so that single servers that are slow or
	// fail don't count as overload.
	FullUsage float64
	// MaxUsage is the highest usage that counts, so that the smoothed usage soon falls below
	// FullUsage when the queues are empty again.
	MaxUsage float64
	// UsageWeight is the weight of one tick in the smoothed usage, above 0 to 1.
	UsageWeight float64
	// Decrease is the factor, from 0 to 1, by which a tick reduces a share, and Increase
	// the amount by which it raises one.
	Decrease, Increase float64
	// MinShare is the smallest admitted share, above 0, so that recovery is seen.
	MinShare float64
}

// DefaultPolicy returns the policy of deployments without settings of their own, for a
// tick each 100 ms.
func DefaultPolicy() Policy {
	return Policy{
		// An entry sees 25 to 100 requests a second: fewer samples are as often chance.
		MinSamples:  10,
		MinDegraded: 3,
		// Some percent of the answers of a busy service are as short as refusals by chance.
		DegradedShare: 0.06,
		// Below half, more than one of two callers is still served in time.
		LostShare: 0.5,
		// With two and a half times as many requests as slots, each waits for longer than it runs.
		// Below, servers still have room in their queues, and a late answer is worth more
		// to a caller than a refusal.
		FullUsage: 2.5,
		// Two ticks from here to FullUsage.
		MaxUsage:    5,
		UsageWeight: 0.3,
		// From all to the minimum within 0.6 s, and back within 0.4 s.
		Decrease: 0.5,
		Increase: 0.25,
		MinShare: 0.03,
	}
}

// windowTicks is the number of ticks whose requests are judged: one second.
const windowTicks = 10

// counts are the requests of one tick, or their sum over the window, by outcome.
type counts struct{ served, degraded, lost int }

// level is the state of one priority.
type level struct {
	priority int
	// share is the admitted share, from MinShare to 1.
	share float64
	// window holds the counts of the last ticks, and sum is their sum.
	window [windowTicks]counts
	sum    counts
}

// Admission holds the admitted shares of one service at one entry. It must be used by one
// goroutine only.
type Admission struct {
	policy Policy
	// levels holds each priority once, the most urgent one first.
	levels []level
	// tick is the number of ticks.
	tick uint64
	// usage is the smoothed number of requests in progress per slot.
	usage float64
}

// New returns an Admission that admits all flows of routes with the given priorities.
func New(policy Policy, priorities []int) *Admission {
	a := &Admission{policy: policy}
	for _, each := range slices.Compact(slices.Sorted(slices.Values(priorities))) {
		a.levels = append(a.levels, level{priority: each, share: 1})
	}
	return a
}

// HasPriorities reports whether the Admission is for exactly the given priorities.
func (a *Admission) HasPriorities(priorities []int) bool {
	sorted := slices.Compact(slices.Sorted(slices.Values(priorities)))
	return slices.EqualFunc(a.levels, sorted, func(l level, priority int) bool { return l.priority == priority })
}

// level returns the state of a priority, or nil if the service has no such route.
func (a *Admission) level(priority int) *level {
	for i := range a.levels {
		if a.levels[i].priority == priority {
			return &a.levels[i]
		}
	}
	return nil
}

// Record records the outcome of a request. A request that is Lost has been recorded as
// Degraded before.
func (a *Admission) Record(priority int, outcome Outcome) {
	l := a.level(priority)
	if l == nil {
		return
	}
	current := &l.window[a.tick%windowTicks]
	switch outcome {
	case Served:
		current.served++
		l.sum.served++
	case Degraded:
		current.degraded++
		l.sum.degraded++
	case Lost:
		current.lost++
		l.sum.lost++
	}
}

// Tick adapts the shares; usage is the estimated number of requests in progress per slot
// of the service. It should be called each 100 ms.
func (a *Admission) Tick(usage float64) {
	a.usage += (min(usage, a.policy.MaxUsage) - a.usage) * a.policy.UsageWeight
	if a.usage >= a.policy.FullUsage && slices.ContainsFunc(a.levels, a.degraded) {
		a.reduce()
	} else {
		for i := range a.levels {
			a.levels[i].share = min(a.levels[i].share+a.policy.Increase, 1)
		}
	}
	a.tick++
	for i := range a.levels {
		l := &a.levels[i]
		oldest := &l.window[a.tick%windowTicks]
		l.sum.served -= oldest.served
		l.sum.degraded -= oldest.degraded
		l.sum.lost -= oldest.lost
		*oldest = counts{}
	}
}

// degraded reports whether too few requests of a priority are served in time.
func (a *Admission) degraded(l level) bool {
	total := l.sum.served + l.sum.degraded
	return total >= a.policy.MinSamples && l.sum.degraded >= a.policy.MinDegraded &&
		float64(l.sum.degraded) >= a.policy.DegradedShare*float64(total)
}

// reduce reduces the share of the least urgent priority that is above its minimum. A server
// that is full refuses by itself and at once, so the most urgent priority is reduced only if
// its callers get no answers.
func (a *Admission) reduce() {
	for i := len(a.levels) - 1; i >= 0; i-- {
		l := &a.levels[i]
		total := l.sum.served + l.sum.degraded
		if i == 0 && (l.sum.lost < a.policy.MinDegraded || float64(l.sum.lost) < a.policy.LostShare*float64(total)) {
			l.share = min(l.share+a.policy.Increase, 1)
			return
		}
		if l.share > a.policy.MinShare {
			l.share = max(l.share*a.policy.Decrease, a.policy.MinShare)
			return
		}
	}
}

// Admits reports whether to admit a new flow of a caller with the given address. The
// selection differs from tick to tick, so that no caller is always refused; further tries
// are selected at the same share.
func (a *Admission) Admits(priority int, caller [4]byte) bool {
	l := a.level(priority)
	if l == nil || l.share >= 1 {
		return true
	}
	const fractionBits = 53
	hash := mix(uint64(binary.BigEndian.Uint32(caller[:]))<<32 ^ mix(a.tick))
	return float64(hash>>(64-fractionBits))/(1<<fractionBits) < l.share
}

// mix returns a number all of whose bits depend on all bits of x (the finalizer of
// SplitMix64).
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// Short reports whether the service is short of room: not all flows are admitted.
func (a *Admission) Short() bool {
	return slices.ContainsFunc(a.levels, func(l level) bool { return l.share < 1 })
}

// Shares returns the admitted share by priority, the most urgent one first.
func (a *Admission) Shares() iter.Seq2[int, float64] {
	return func(yield func(int, float64) bool) {
		for _, l := range a.levels {
			if !yield(l.priority, l.share) {
				return
			}
		}
	}
}

// Samples returns the number of requests in the window, and that of the degraded ones.
func (a *Admission) Samples() (total, degraded int) {
	for _, l := range a.levels {
		total += l.sum.served + l.sum.degraded
		degraded += l.sum.degraded
	}
	return total, degraded
}

// Usage returns the smoothed number of requests in progress per slot, MaxUsage at most.
func (a *Admission) Usage() float64 { return a.usage }

package agatewarmup

import (
	"math"
	"time"
)

// Policy holds the settings of a Limiter. Apart from Entry, all entries of a data centre
// must use the same ones.
type Policy struct {
	// Entry is the entry's name.
	Entry string
	// Over and Slack set the limit of a server: its rate times Over plus Slack new flows
	// in any second. An Over of 0 counts as 1.
	Over, Slack float64
	// Settle is how long an entry must have run before it is an owner: two entries that
	// reach each other for half of it must have heard each other.
	Settle time.Duration
	// Expiry is how long an entry counts as live after it was last heard, Hold how long it
	// keeps its place in the order of owners, and Memory how long it counts as known. Hold
	// is longer than Expiry and Settle, and Memory longer than Hold.
	Expiry, Hold, Memory time.Duration
	// Cycle is the time by which each known entry lengthens a cycle of heartbeats. The
	// times above are at least some cycles.
	Cycle time.Duration
	// MaxPause is the longest time between two calls of Tick after which an entry still
	// relies on what it has heard.
	MaxPause time.Duration
}

// The numbers of heartbeat cycles that the times of a Policy last at least. An entry is live
// although three heartbeats in a row were lost.
const (
	expiryCycles = 4
	settleCycles = 4
	holdCycles   = 6
	memoryCycles = 12
)

// DefaultPolicy returns the policy of deployments without settings of their own.
func DefaultPolicy() Policy {
	return Policy{
		// A start finds the others through seeds, which it asks once a second.
		Settle: 4 * time.Second,
		Expiry: 3 * time.Second,
		Hold:   6 * time.Second,
		Memory: time.Minute,
		// 100 entries take 10 s for a cycle and 550 take 52 s (docs/design/load.md).
		Cycle:    100 * time.Millisecond,
		MaxPause: time.Second,
	}
}

// limit returns the number of flows that a server with the given rate may get in any
// second.
func (p Policy) limit(rate float64) int {
	over := p.Over
	if over == 0 {
		over = 1
	}
	return int(math.Min(math.Floor(rate*over+p.Slack), math.MaxInt32))
}

// intervalMargin lengthens the time between two flows, so that a second which begins with
// a flow doesn't end with one more, also if clocks differ in speed by a thousandth.
const intervalMargin = 1.002

// Groups returns the number of groups of entries for which the limit holds if no entry of a
// group hears one of another; 0 if the limit allows no flow.
func (p Policy) Groups(rate float64) int { return p.share(rate).groups }

// share is how the rate of a server is divided. The zero value allows no flow.
type share struct {
	// owners is the number of entries that use the rate, and perSecond the highest number
	// of flows that one of them gives the server in any second.
	owners, perSecond int
	// groups is the number of sets of owners that the limit bears at once.
	groups int
	// interval is the shortest time between two flows of an owner.
	interval time.Duration
}

// share returns the division of a rate. There are at most Slack owners, or one, and the
// number is the highest one that leaves room for the most groups: a fraction of a flow in
// a second counts as a whole one, so many owners waste the limit.
func (p Policy) share(rate float64) share {
	limit := p.limit(rate)
	if limit < 1 || !(rate > 0) {
		return share{}
	}
	// A rate above the limit would exceed it with a single owner.
	rate = math.Min(rate, float64(limit))
	best := share{}
	for owners := 1; owners <= max(1, min(int(p.Slack), maxOwners)); owners++ {
		perSecond := int(math.Ceil(rate / float64(owners)))
		groups := limit / (owners * perSecond)
		if groups > 0 && groups >= best.groups {
			best = share{owners: owners, perSecond: perSecond, groups: groups}
		}
	}
	seconds := intervalMargin * float64(best.owners) / rate
	best.interval = time.Duration(math.Min(seconds, maxInterval.Seconds()) * float64(time.Second))
	return best
}

const (
	// maxOwners bounds the number of owners of a server.
	maxOwners = 16
	// maxInterval bounds the time between two flows of an owner, so that times computed
	// from it don't overflow.
	maxInterval = time.Hour
)

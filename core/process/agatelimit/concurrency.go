package agatelimit

import "time"

const (
	// decreaseFactor multiplies the limit on each decrease.
	decreaseFactor = 0.7
	// minDecreaseInterval is the shortest time between two decreases.
	minDecreaseInterval = 100 * time.Millisecond
)

// Concurrency adapts a limit on requests in flight by additive increase and
// multiplicative decrease (Chiu and Jain, "Analysis of the Increase and
// Decrease Algorithms for Congestion Avoidance in Computer Networks", 1989). It
// does not rely on latency, which is too noisy a signal when the durations of
// requests differ widely. The zero value allows nothing; use NewConcurrency.
type Concurrency struct {
	// limit lies between minLimit and maxLimit.
	limit              float64
	minLimit, maxLimit float64
	// nextDecrease is the earliest time of the next decrease.
	nextDecrease time.Time
}

// NewConcurrency returns a limit between least and most with the initial value
// start. A least below 1 counts as 1.
func NewConcurrency(least, start, most int) Concurrency {
	least = max(least, 1)
	most = max(most, least)
	start = min(max(start, least), most)
	return Concurrency{limit: float64(start), minLimit: float64(least), maxLimit: float64(most)}
}

// Limit returns the number of requests that may be in flight, at least 1.
func (c *Concurrency) Limit() int { return int(c.limit) }

// Succeed records a successful request; inflight is the number of requests that
// were in flight. The limit grows only while it is fully used.
func (c *Concurrency) Succeed(inflight int) {
	if float64(inflight)+1 < c.limit {
		return
	}
	c.limit = min(c.limit+1/c.limit, c.maxLimit)
}

// Overloaded records a request that was shed or timed out and lowers the limit,
// unless the last decrease was less than minDecreaseInterval ago.
func (c *Concurrency) Overloaded(now time.Time) {
	if now.Before(c.nextDecrease) {
		return
	}
	c.limit = max(c.limit*decreaseFactor, c.minLimit)
	c.nextDecrease = now.Add(minDecreaseInterval)
}

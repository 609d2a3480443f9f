package agatelimit

import (
	"time"

	"agatereach/core/version/agateteam"
)

const (
	// burstPeriod is the size of a team's burst, as the time in which its rate
	// allows as many requests.
	burstPeriod = time.Second
	// minBurst is the smallest burst in requests. It keeps random imbalance in
	// how the fabric spreads packets from refusing a team that stays within
	// its limit.
	minBurst = 10
)

// Teams limits the rate of requests and opens of each team. A team's limit
// applies to the whole fleet; since the fabric spreads packets evenly, each
// entry enforces the limit divided by the number of entries. It is not safe for
// concurrent use.
type Teams struct {
	// entries is the number of entries in the fleet, at least 1.
	entries int
	// buckets holds the bucket of each team with a limit, by name.
	buckets map[string]*tokenBucket
}

// tokenBucket holds the tokens of one team; each request takes one.
type tokenBucket struct {
	// rate is the number of requests per second at this entry, above 0.
	rate float64
	// tokens is the number of requests allowed at refilledAt.
	tokens     float64
	refilledAt time.Time
}

// NewTeams returns limits that allow everything until Set is called.
func NewTeams() *Teams { return &Teams{entries: 1, buckets: make(map[string]*tokenBucket)} }

// Set replaces the teams and the number of entries that share their limits.
// A team that had a limit before keeps its tokens, up to its new burst.
func (t *Teams) Set(now time.Time, teams []agateteam.Team, entries int) {
	t.entries = max(entries, 1)
	next := make(map[string]*tokenBucket, len(teams))
	for _, team := range teams {
		if team.Rate == 0 {
			continue
		}
		rate := float64(team.Rate) / float64(t.entries)
		a := t.buckets[team.Name]
		if a == nil {
			a = &tokenBucket{rate: rate, refilledAt: now}
			a.tokens = a.burst()
		}
		a.refill(now)
		a.rate = rate
		a.tokens = min(a.tokens, a.burst())
		next[team.Name] = a
	}
	t.buckets = next
}

// Allow counts a request or open of the team and reports whether it is within
// the limit. A refused one is not counted.
func (t *Teams) Allow(now time.Time, team string) bool {
	a := t.buckets[team]
	if a == nil {
		return true
	}
	a.refill(now)
	if a.tokens < 1 {
		return false
	}
	a.tokens--
	return true
}

// Wait returns the time until the team's next request is allowed, 0 if it is
// allowed now.
func (t *Teams) Wait(now time.Time, team string) time.Duration {
	a := t.buckets[team]
	if a == nil {
		return 0
	}
	a.refill(now)
	missing := max(1-a.tokens, 0)
	return time.Duration(missing / a.rate * float64(time.Second))
}

func (a *tokenBucket) burst() float64 { return max(a.rate*burstPeriod.Seconds(), minBurst) }

func (a *tokenBucket) refill(now time.Time) {
	passed := now.Sub(a.refilledAt)
	if passed <= 0 {
		return
	}
	a.tokens = min(a.tokens+a.rate*passed.Seconds(), a.burst())
	a.refilledAt = now
}

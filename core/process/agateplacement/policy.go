// Package agateplacement chooses the server for a request by one of several
// policies.
package agateplacement

import (
	"fmt"

	"agatereach/core/process/agatepool"
)

// Name is the name of a policy.
type Name string

// The policies.
const (
	// Random takes any server.
	Random Name = "random"
	// RoundRobin takes the servers in turn.
	RoundRobin Name = "roundrobin"
	// Least takes the server with the fewest requests of this entry for its
	// slots.
	Least Name = "least"
	// TwoChoices takes the one of two random servers with fewer requests of
	// this entry for its slots (Mitzenmacher, "The Power of Two Choices in
	// Randomized Load Balancing", 2001).
	TwoChoices Name = "twochoices"
	// TwoChoicesLoad is TwoChoices by the load that answers report.
	TwoChoicesLoad Name = "twochoicesload"
	// HotCold leaves out the servers with the most requests in flight and
	// takes the fastest of the rest (Wydrowski et al., "Load is not what you
	// should balance: Introducing Prequal", NSDI 2024).
	HotCold Name = "hotcold"
	// Late queues requests at the entry until a server has a free slot, and
	// asks servers to refuse rather than queue them. An answer that reports a
	// free slot makes the server available to the entry that got the answer,
	// as joining an idle queue does (Lu et al., "Join-Idle-Queue",
	// Performance 2011).
	Late Name = "late"
)

// Default is the policy of services and entries whose settings name none.
const Default = Late

// Names returns the names of all policies.
func Names() []Name {
	return []Name{Random, RoundRobin, Least, TwoChoices, TwoChoicesLoad, HotCold, Late}
}

// NameError reports an unknown policy name.
type NameError struct {
	// Name is the unknown name.
	Name string
}

// Error returns a message with the unknown name.
func (e *NameError) Error() string { return fmt.Sprintf("no placement policy %q", e.Name) }

// Work describes a request to a policy.
type Work struct {
	// Long is whether the request is expected to occupy its slot for long.
	Long bool
	// IgnoreReserve is whether a long request has waited long enough to take
	// the slot that is kept free for short ones.
	IgnoreReserve bool
	// Avoid is the server at which the last attempt ended, nil for none.
	Avoid *agatepool.Member
	// MayRetry is whether another attempt may follow a refusal.
	MayRetry bool
}

// Policy chooses one of the servers S, of type M, for a request W.
type Policy[S, W, M any] interface {
	// Pick returns the server to send the request to and whether that server
	// should refuse rather than queue it. If found is false, the request waits.
	Pick(servers S, work W) (server M, noQueue, found bool)
	// Requeues reports whether a request that a server refuses is queued again
	// for another one. Otherwise it is refused once its retries are used up.
	Requeues() bool
}

// PoolPolicy is a Policy over the servers of a pool.
type PoolPolicy = Policy[*agatepool.Pool, Work, *agatepool.Member]

// New returns the policy of the given name, or the default for an empty name. An
// unknown name returns a *NameError.
func New(name string) (PoolPolicy, error) {
	switch Name(name) {
	case Random:
		return immediate{choose: random}, nil
	case RoundRobin:
		return immediate{choose: roundRobin}, nil
	case Least:
		return immediate{choose: least}, nil
	case TwoChoices:
		return immediate{choose: twoChoices}, nil
	case TwoChoicesLoad:
		return immediate{choose: twoChoicesLoad}, nil
	case HotCold:
		return immediate{choose: hotCold}, nil
	case "", Late:
		return late{}, nil
	}
	return nil, &NameError{Name: name}
}

// Package agateretry limits retries so that they cannot amplify an overload.
package agateretry

import "time"

const (
	// defaultShare is the number of retries allowed per request.
	defaultShare = 0.08
	// defaultLightLoadShare is the number of retries allowed per request
	// while there is no sign of overload.
	defaultLightLoadShare = 1
	// defaultReserve is the number of retries that can be saved up.
	defaultReserve = 20
)

// Budget allows retries in proportion to the requests, as described in Google's
// Site Reliability Engineering (2016), chapter 21, and implemented by Finagle's
// RetryBudget. Over any sequence of requests the retries are at most the sum of
// the shares of the requests, which is larger for requests without a sign of
// overload, plus the reserve if Left was called before each retry, and plus
// twice the reserve in any case. It is not safe for concurrent use.
type Budget struct {
	// share is the number of retries allowed per request, at least 0.
	share float64
	// lightLoadShare is the number of retries allowed per request while
	// there is no sign of overload, at least share.
	lightLoadShare float64
	// reserve is the upper bound of tokens.
	reserve float64
	// tokens is the number of retries allowed now, from -reserve to
	// reserve.
	tokens float64
}

// Option sets a property of a Budget.
type Option func(*Budget)

// WithShare sets the number of retries allowed per request.
func WithShare(share float64) Option { return func(b *Budget) { b.share = max(share, 0) } }

// WithCalm sets the number of retries allowed per request while there is no
// sign of overload.
func WithCalm(share float64) Option { return func(b *Budget) { b.lightLoadShare = share } }

// WithReserve sets the number of retries that can be saved up.
func WithReserve(reserve int) Option { return func(b *Budget) { b.reserve = float64(max(reserve, 0)) } }

// New returns a budget with a full reserve.
func New(options ...Option) *Budget {
	b := &Budget{share: defaultShare, lightLoadShare: defaultLightLoadShare, reserve: defaultReserve}
	for _, option := range options {
		option(b)
	}
	b.lightLoadShare = max(b.lightLoadShare, b.share)
	b.tokens = b.reserve
	return b
}

// Request counts a request and adds its share of retries. The share is larger
// while there is no sign of overload: refusals are cheap then, and finding a
// free slot is worth more of them.
func (b *Budget) Request(lightLoad bool) {
	share := b.share
	if lightLoad {
		share = b.lightLoadShare
	}
	b.tokens = min(b.tokens+share, b.reserve)
}

// Spend counts a retry and reports whether it is allowed. A request that no
// server has run may be retried without asking Left, which may leave the budget
// with a debt of up to the reserve. Later requests pay it off.
func (b *Budget) Spend() bool {
	if b.tokens-1 < -b.reserve {
		return false
	}
	b.tokens--
	return true
}

// Left reports whether the budget allows a retry that takes the given time to
// start now and end by the deadline. A zero deadline means none.
func (b *Budget) Left(now, deadline time.Time, need time.Duration) bool {
	return b.tokens >= 1 && (deadline.IsZero() || !now.Add(need).After(deadline))
}

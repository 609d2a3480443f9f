package agatebalance

import "agatereach/core/process/agateretry"

// defaultQueueCapacity is the number of requests that may wait by default.
const defaultQueueCapacity = 1024

// Option configures a Balancer.
type Option func(*settings)

type settings struct {
	seed          uint64
	queueCapacity int
	policy        string
	budgetOptions []agateretry.Option
}

// WithSeed sets the seed of the random choices.
func WithSeed(seed uint64) Option { return func(s *settings) { s.seed = seed } }

// WithQueue sets the number of requests that may wait.
func WithQueue(capacity int) Option { return func(s *settings) { s.queueCapacity = max(capacity, 0) } }

// WithPolicy sets the placement policy by name. An empty or unknown name selects
// agateplacement.Default.
func WithPolicy(name string) Option { return func(s *settings) { s.policy = name } }

// WithBudget sets the options of the retry budget.
func WithBudget(options ...agateretry.Option) Option {
	return func(s *settings) { s.budgetOptions = options }
}

package agatenode

// Defaults of the options.
const (
	defaultDegree  = 6
	defaultReaders = 3
	defaultReads   = 2000
)

// Option sets up a Node.
type Option func(*settings)

// settings holds what the options set.
type settings struct {
	degree, readers int
	reads           float64
	seed            uint64
}

// WithDegree sets the mean number of links within the data centre.
func WithDegree(degree int) Option {
	return func(s *settings) { s.degree = degree }
}

// WithReaders sets the number of entries of a data centre that watch the
// platform.
func WithReaders(readers int) Option {
	return func(s *settings) { s.readers = readers }
}

// WithReads sets the number of reads of the platform that the whole fleet may
// make in a second.
func WithReads(reads float64) Option {
	return func(s *settings) { s.reads = reads }
}

// WithSeed sets the seed of all random draws.
func WithSeed(seed uint64) Option {
	return func(s *settings) { s.seed = seed }
}

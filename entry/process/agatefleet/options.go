package agatefleet

import (
	"log/slog"
	"net/netip"

	"agatereach/entry/process/agatecert"
)

// Defaults of the options.
const (
	defaultReads   = 2000
	defaultDegree  = 6
	defaultReaders = 3
)

// Option sets up a Fleet.
type Option func(*settings)

// settings holds what the options set.
type settings struct {
	platform        []string
	reads           float64
	local           netip.Addr
	listen          netip.AddrPort
	secret          []byte
	certificates    *agatecert.Files
	degree, readers int
	log             *slog.Logger
}

func defaults() settings {
	return settings{
		reads: defaultReads, degree: defaultDegree, readers: defaultReaders, log: slog.Default(),
	}
}

// WithPlatform reads the platform at the addresses (host:port); all entries
// together make at most the given number of reads a second, 0 for the default
// of 2,000.
func WithPlatform(addresses []string, reads float64) Option {
	return func(s *settings) {
		s.platform = addresses
		if reads > 0 {
			s.reads = reads
		}
	}
}

// WithLocal makes outgoing connections from the given address.
func WithLocal(address netip.Addr) Option {
	return func(s *settings) { s.local = address }
}

// WithListen takes links at the given address.
func WithListen(address netip.AddrPort) Option {
	return func(s *settings) { s.listen = address }
}

// WithSecret sets the secret that the entries prove to each other, at least 16
// bytes.
func WithSecret(secret []byte) Option {
	return func(s *settings) { s.secret = secret }
}

// WithCertificates uses TLS on the links.
func WithCertificates(files *agatecert.Files) Option {
	return func(s *settings) { s.certificates = files }
}

// WithDegree sets the mean number of links to entries of the same data centre,
// 0 for the default of 6.
func WithDegree(degree int) Option {
	return func(s *settings) {
		if degree > 0 {
			s.degree = degree
		}
	}
}

// WithReaders sets the number of entries of a data centre that watch the
// platform, 0 for the default of 3.
func WithReaders(readers int) Option {
	return func(s *settings) {
		if readers > 0 {
			s.readers = readers
		}
	}
}

// WithLogger logs to the logger instead of the default one.
func WithLogger(log *slog.Logger) Option {
	return func(s *settings) { s.log = log }
}

package agatelink

import (
	"fmt"
	"log/slog"
	"net/netip"

	"agatereach/entry/process/agatecert"
)

// defaultMaxLinks bounds the links of one process.
const defaultMaxLinks = 64

// FullError reports a link beyond the number that a process holds.
type FullError struct {
	// Limit is that number.
	Limit int
}

// Error names the number.
func (e *FullError) Error() string { return fmt.Sprintf("process holds %d links already", e.Limit) }

// Option sets up a Hub.
type Option func(*settings)

// settings holds what the options set.
type settings struct {
	secret       []byte
	local        netip.Addr
	certificates *agatecert.Files
	log          *slog.Logger
	maxLinks     int
}

// WithSecret sets the secret that all entries share.
func WithSecret(secret []byte) Option {
	return func(s *settings) { s.secret = secret }
}

// WithLocal makes connections from the given address.
func WithLocal(address netip.Addr) Option {
	return func(s *settings) { s.local = address }
}

// WithCertificates uses TLS.
func WithCertificates(files *agatecert.Files) Option {
	return func(s *settings) { s.certificates = files }
}

// WithLogger logs to the logger instead of the default one.
func WithLogger(log *slog.Logger) Option {
	return func(s *settings) { s.log = log }
}

// WithMaxLinks bounds the links of the process.
func WithMaxLinks(count int) Option {
	return func(s *settings) { s.maxLinks = count }
}

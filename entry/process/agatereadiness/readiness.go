// Package agatereadiness serves the endpoint that tells whether an entry may
// be sent packets.
package agatereadiness

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"
)

// Path is the endpoint's path.
const Path = "/readyz"

// headerTimeout bounds the time that a client may take for its request's head.
// The routers ask twice a second; a slower one is no router.
const headerTimeout = 2 * time.Second

// maxHeader bounds the head of a request in bytes.
const maxHeader = 4 << 10

// Readiness holds whether the process is ready. It is safe for concurrent use.
type Readiness struct {
	ready atomic.Bool
}

// Set says whether packets can be served.
func (r *Readiness) Set(ready bool) { r.ready.Store(ready) }

// ServeHTTP answers 200 or 503.
func (r *Readiness) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	switch {
	case request.URL.Path != Path:
		w.WriteHeader(http.StatusNotFound)
	case !r.ready.Load():
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// Listen returns a function that serves the endpoint until its context ends.
func (r *Readiness) Listen(ctx context.Context, address netip.AddrPort) (func(context.Context) error, error) {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", address.String())
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: r, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeader}
	return func(ctx context.Context) error {
		defer context.AfterFunc(ctx, func() { _ = server.Close() })()
		if err := server.Serve(listener); err != http.ErrServerClosed {
			return err
		}
		return nil
	}, nil
}

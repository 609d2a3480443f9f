// Package agateendpoint serves a small HTTP interface of a process.
package agateendpoint

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"
)

const (
	// headerTimeout bounds the time that a client may take for a request's
	// head. Routers ask twice a second; who takes longer is none.
	headerTimeout = 2 * time.Second
	// maxHeader bounds the head of a request in bytes.
	maxHeader = 4 << 10
)

// ListenError reports an address that cannot be listened at.
type ListenError struct {
	// Address is the address.
	Address netip.AddrPort
	// Err is the system's error.
	Err error
}

// Error names the address and the cause.
func (e *ListenError) Error() string { return fmt.Sprintf("listen at tcp %s: %v", e.Address, e.Err) }

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Err }

// Endpoint is an address that is listened at.
type Endpoint struct {
	listener net.Listener
	server   *http.Server
}

// New listens at the address, whose port may be 0. The error is a *ListenError.
func New(ctx context.Context, address netip.AddrPort, handler http.Handler) (*Endpoint, error) {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", address.String())
	if err != nil {
		return nil, &ListenError{Address: address, Err: err}
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeader}
	return &Endpoint{listener: listener, server: server}, nil
}

// Run serves until the context ends, which is no error.
func (e *Endpoint) Run(ctx context.Context) error {
	defer context.AfterFunc(ctx, func() { _ = e.server.Close() })()
	if err := e.server.Serve(e.listener); err != http.ErrServerClosed {
		return err
	}
	return nil
}

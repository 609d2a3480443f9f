// Package agateendpoint provides an HTTP server for the small interfaces of a process.
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
	// headerTimeout bounds the time in which a client must send the header of a
	// request. Routers poll twice a second; a slower client is not one of them.
	headerTimeout = 2 * time.Second
	// maxHeaderBytes bounds the size of a request's header.
	maxHeaderBytes = 4 << 10
)

// ListenError reports an address on which listening failed.
type ListenError struct {
	// Address is the address that was to be listened on.
	Address netip.AddrPort
	// Err is the underlying system error.
	Err error
}

// Error returns a message with the address and the cause.
func (e *ListenError) Error() string { return fmt.Sprintf("listen at tcp %s: %v", e.Address, e.Err) }

// Unwrap returns the underlying system error.
func (e *ListenError) Unwrap() error { return e.Err }

// Endpoint is an HTTP server with an open listener.
type Endpoint struct {
	listener net.Listener
	server   *http.Server
}

// New opens a listener at the address, whose port may be 0 for any free one. The error
// is a *ListenError.
func New(ctx context.Context, address netip.AddrPort, handler http.Handler) (*Endpoint, error) {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", address.String())
	if err != nil {
		return nil, &ListenError{Address: address, Err: err}
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes}
	return &Endpoint{listener: listener, server: server}, nil
}

// Run serves requests until the context ends, and returns nil then.
func (e *Endpoint) Run(ctx context.Context) error {
	defer context.AfterFunc(ctx, func() { _ = e.server.Close() })()
	if err := e.server.Serve(e.listener); err != http.ErrServerClosed {
		return err
	}
	return nil
}

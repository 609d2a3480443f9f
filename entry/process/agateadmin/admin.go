// Package agateadmin serves the read-only administration API of an entry
// process, its health and its metrics over HTTP.
package agateadmin

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"agatereach/core/version/agateview"
)

// Times after which a connection is given up.
const (
	headerTimeout = 5 * time.Second
	writeTimeout  = 30 * time.Second
	idleTimeout   = 2 * time.Minute
	stopTimeout   = time.Second
	maxHeader     = 16 << 10
)

// Process is the process that is shown.
type Process interface {
	// View returns the newest view of the tickets.
	View() *agateview.View
	// Tickets returns which tickets are in force.
	Tickets() any
	// Peers returns the other entries.
	Peers() any
	// Summary returns the process and the sizes of its state.
	Summary() any
	// Flows returns a summary of flows and requests.
	Flows(ctx context.Context) (any, error)
	// Dump returns all of the process's state.
	Dump(ctx context.Context) (any, error)
	// Live, Ready and Draining return nil, or why the process is not in that
	// state.
	Live() error
	Ready() error
	Draining() error
}

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

// Admin is the HTTP server.
type Admin struct {
	listener net.Listener
	server   *http.Server
}

// New returns an administration server that listens at the address, and a
// function that closes it. With a token, all but the health endpoints ask for
// it. The error is a *ListenError.
func New(ctx context.Context, address netip.AddrPort, token string, process Process, metrics http.Handler) (*Admin, func(), error) {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", address.String())
	if err != nil {
		return nil, nil, &ListenError{Address: address, Err: err}
	}
	a := &Admin{listener: listener}
	a.server = &http.Server{
		Handler:           Handler(process, token, metrics),
		ReadHeaderTimeout: headerTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeader,
	}
	return a, func() { _ = a.server.Close() }, nil
}

// Address returns the address that the server listens at.
func (a *Admin) Address() string { return a.listener.Addr().String() }

// Run serves until the context ends, which is no error.
func (a *Admin) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() {
		bounded, cancel := context.WithTimeout(context.Background(), stopTimeout)
		defer cancel()
		_ = a.server.Shutdown(bounded)
	})
	defer stop()
	if err := a.server.Serve(a.listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// api answers for one process.
type api struct {
	process Process
}

// Handler returns the handler of all paths. With a token, all but the health
// endpoints ask for it.
func Handler(process Process, token string, metrics http.Handler) http.Handler {
	a := &api{process: process}
	open := http.NewServeMux()
	open.Handle("/health/live", a.health(a.process.Live))
	open.Handle("/health/ready", a.health(a.process.Ready))
	open.Handle("/health/draining", a.health(a.process.Draining))
	closed := http.NewServeMux()
	closed.Handle("/metrics", metrics)
	closed.Handle("/dump", answer(a.dump))
	closed.Handle("/v1/state", answer(a.state))
	closed.Handle("/v1/services", answer(a.services))
	closed.Handle("/v1/services/{id}", answer(a.service))
	closed.Handle("/v1/rules", answer(a.rules))
	closed.Handle("/v1/rules/{service}", answer(a.ruleset))
	closed.Handle("/v1/flows", answer(a.flows))
	closed.Handle("/v1/peers", answer(a.peers))
	closed.Handle("/v1/tickets", answer(a.tickets))
	closed.Handle("/", http.HandlerFunc(missing))
	open.Handle("/", authorized(token, closed))
	return readOnly(open)
}

// readOnly refuses every method that could change something.
func readOnly(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodGet && r.Method != http.MethodHead {
			fail(w, r, code(&MethodError{Method: r.Method}, http.StatusMethodNotAllowed))
			return
		}
		next.ServeHTTP(w, r)
	})
}

// authorized asks for the bearer token, if there is one.
func authorized(token string, next http.Handler) http.Handler {
	if token == "" {
		return next
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		given, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if !found || subtle.ConstantTimeCompare([]byte(given), []byte(token)) != 1 {
			fail(w, r, code(&TokenError{}, http.StatusUnauthorized))
			return
		}
		next.ServeHTTP(w, r)
	})
}

func missing(w http.ResponseWriter, r *http.Request) {
	fail(w, r, code(&NotFoundError{What: "path " + r.URL.Path}, http.StatusNotFound))
}

// answer serves what f returns as JSON.
func answer(f func(*http.Request) (any, error)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		document, err := f(r)
		if err != nil {
			fail(w, r, err)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		// A failed write means that the client has gone.
		_ = encoder.Encode(document)
	})
}

// Package agatereadiness provides the HTTP endpoint that reports whether an entry may
// be sent packets.
package agatereadiness

import (
	"net/http"
	"sync/atomic"
)

// Path is the path of the endpoint.
const Path = "/readyz"

// Readiness is an http.Handler for the endpoint. Its zero value is not ready. It is
// safe for concurrent use.
type Readiness struct {
	ready atomic.Bool
}

// Set sets whether the entry may be sent packets.
func (r *Readiness) Set(ready bool) { r.ready.Store(ready) }

// ServeHTTP answers requests for Path with status 200 if the entry is ready and 503 if
// not, and all others with 404.
func (r *Readiness) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	switch {
	case request.URL.Path != Path:
		w.WriteHeader(http.StatusNotFound)
	case !r.ready.Load():
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

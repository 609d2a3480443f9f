// Package agatereadiness serves the endpoint that tells whether an entry may
// be sent packets.
package agatereadiness

import (
	"net/http"
	"sync/atomic"
)

// Path is the endpoint's path.
const Path = "/readyz"

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

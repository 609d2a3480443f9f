// Package agateinspect provides the HTTP handler that serves metrics and the state of
// the process to operators.
package agateinspect

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"time"

	"agatereach/core/process/agatedump"
)

// Paths of the endpoints.
const (
	MetricsPath = "/metrics"
	StatePath   = "/state"
)

// dumpTimeout bounds the time in which a dump must be collected.
const dumpTimeout = 2 * time.Second

// DumpFunc returns the state of the process, or an error if its context ends first.
type DumpFunc func(ctx context.Context) (agatedump.Dump, error)

// Inspect is an http.Handler for the endpoints.
type Inspect struct {
	dump DumpFunc
	mux  *http.ServeMux
	log  *slog.Logger
}

// New returns a handler that serves metrics at MetricsPath and dumps at StatePath.
func New(metrics http.Handler, dump DumpFunc, log *slog.Logger) *Inspect {
	i := &Inspect{dump: dump, mux: http.NewServeMux(), log: log}
	i.mux.Handle("GET "+MetricsPath, metrics)
	i.mux.HandleFunc("GET "+StatePath, i.serveState)
	return i
}

// ServeHTTP implements http.Handler.
func (i *Inspect) ServeHTTP(w http.ResponseWriter, r *http.Request) { i.mux.ServeHTTP(w, r) }

// serveState writes a dump as JSON, or status 503 if there is none in time.
func (i *Inspect) serveState(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), dumpTimeout)
	defer cancel()
	dump, err := i.dump(ctx)
	if err != nil {
		i.log.Warn("inspect: no dump", "error", err)
		http.Error(w, "the process is too busy for a dump", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(dump); err != nil {
		i.log.Warn("inspect: dump not sent", "error", err)
	}
}

// Package agateinspect serves what operators look at: metrics and the state of
// the process.
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

// timeout bounds the making of a dump.
const timeout = 2 * time.Second

// Dump returns the state of the process, or an error once its context ends.
type Dump func(ctx context.Context) (agatedump.Dump, error)

// Inspect serves the endpoints.
type Inspect struct {
	dump Dump
	mux  *http.ServeMux
	log  *slog.Logger
}

// New returns a server of the metrics and the dump.
func New(metrics http.Handler, dump Dump, log *slog.Logger) *Inspect {
	i := &Inspect{dump: dump, mux: http.NewServeMux(), log: log}
	i.mux.Handle("GET "+MetricsPath, metrics)
	i.mux.HandleFunc("GET "+StatePath, i.state)
	return i
}

// ServeHTTP serves the endpoints.
func (i *Inspect) ServeHTTP(w http.ResponseWriter, r *http.Request) { i.mux.ServeHTTP(w, r) }

// state writes the dump as JSON.
func (i *Inspect) state(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), timeout)
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

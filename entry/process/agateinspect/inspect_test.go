package agateinspect_test

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"

	"agatereach/core/process/agatedump"
	"agatereach/entry/process/agateinspect"
)

// getPath requests a path from a handler with the given dump, or whose dumps fail if it
// is nil.
func getPath(t *testing.T, path string, dump *agatedump.Dump) *httptest.ResponseRecorder {
	t.Helper()
	metrics := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusTeapot) })
	inspect := agateinspect.New(metrics, func(ctx context.Context) (agatedump.Dump, error) {
		if dump == nil {
			return agatedump.Dump{}, context.DeadlineExceeded
		}
		return *dump, nil
	}, slog.New(slog.DiscardHandler))
	recorder := httptest.NewRecorder()
	inspect.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, path, nil))
	return recorder
}

func TestEndpoints(t *testing.T) {
	if got := getPath(t, agateinspect.MetricsPath, nil); got.Code != http.StatusTeapot {
		t.Errorf("metrics: status %d", got.Code)
	}
	if got := getPath(t, agateinspect.StatePath, nil); got.Code != http.StatusServiceUnavailable {
		t.Errorf("failed dump: status %d", got.Code)
	}
	got := getPath(t, agateinspect.StatePath, &agatedump.Dump{VM: "vm-1", Version: 7})
	var dump agatedump.Dump
	if err := json.Unmarshal(got.Body.Bytes(), &dump); err != nil || dump.VM != "vm-1" || dump.Version != 7 {
		t.Errorf("dump %s, error %v", got.Body, err)
	}
	if got := getPath(t, "/other", nil); got.Code != http.StatusNotFound {
		t.Errorf("unknown path: status %d", got.Code)
	}
}

package agatevalve_test

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"agatereach/bench/agateground"
	"agatereach/bench/agatevalve"
)

// TestModes calls a server through the proxy in each mode.
func TestModes(t *testing.T) {
	var calls atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		calls.Add(1)
		w.WriteHeader(http.StatusNoContent)
	}))
	defer server.Close()
	ground, release, err := agateground.New(1)
	if err != nil {
		t.Fatal(err)
	}
	defer release()
	at := ground.At(agateground.Valve, 1, agateground.StorePort)
	valve, cleanup, err := agatevalve.New(at, netip.MustParseAddrPort(server.Listener.Addr().String()), func() bool { return false })
	if err != nil {
		t.Fatal(err)
	}
	defer cleanup()
	// status calls and returns the status, 0 for no answer.
	status := func() int {
		client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
		response, err := client.Get("http://" + at.String())
		if err != nil {
			return 0
		}
		_ = response.Body.Close()
		return response.StatusCode
	}
	for _, c := range []struct {
		mode    agatevalve.Mode
		status  int
		reaches bool
	}{
		{agatevalve.Open, http.StatusNoContent, true},
		{agatevalve.Slow, http.StatusNoContent, true},
		{agatevalve.Busy, http.StatusServiceUnavailable, false},
		{agatevalve.Limited, http.StatusTooManyRequests, false},
		{agatevalve.Abort, 0, false},
		{agatevalve.Mute, 0, true},
		{agatevalve.Silent, 0, false},
		{agatevalve.Open, http.StatusNoContent, true},
	} {
		calls.Store(0)
		valve.Set(c.mode)
		if got := status(); got != c.status || calls.Load() > 0 != c.reaches {
			t.Errorf("%s: status %d, want %d; %d calls reached the store", c.mode, got, c.status, calls.Load())
		}
	}
}

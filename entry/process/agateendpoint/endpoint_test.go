package agateendpoint_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"testing"

	"agatereach/entry/process/agateendpoint"
	"agatereach/entry/process/agatereadiness"
)

// TestServeReadiness serves the readiness endpoint until the context ends. Listening on
// an address in use fails with an error that names the address.
func TestServeReadiness(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := netip.MustParseAddrPort(listener.Addr().String())
	var readiness agatereadiness.Readiness
	var listenErr *agateendpoint.ListenError
	if _, err := agateendpoint.New(t.Context(), address, &readiness); !errors.As(err, &listenErr) || listenErr.Address != address {
		t.Errorf("listen on an address in use: %v", err)
	}
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	endpoint, err := agateendpoint.New(t.Context(), address, &readiness)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	runErr := make(chan error, 1)
	go func() { runErr <- endpoint.Run(ctx) }()
	for _, c := range []struct {
		ready bool
		path  string
		want  int
	}{
		{false, agatereadiness.Path, http.StatusServiceUnavailable},
		{true, agatereadiness.Path, http.StatusOK},
		{true, "/", http.StatusNotFound},
	} {
		readiness.Set(c.ready)
		response, err := http.Get("http://" + address.String() + c.path)
		if err != nil {
			t.Fatal(err)
		}
		if err := response.Body.Close(); err != nil {
			t.Error(err)
		}
		if response.StatusCode != c.want {
			t.Errorf("%s with ready %t: status %d", c.path, c.ready, response.StatusCode)
		}
	}
	cancel()
	if err := <-runErr; err != nil {
		t.Error(err)
	}
}

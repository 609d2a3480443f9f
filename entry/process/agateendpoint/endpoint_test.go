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

// TestServe serves readiness until the context ends, and says which address is
// taken.
func TestServe(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := netip.MustParseAddrPort(listener.Addr().String())
	var readiness agatereadiness.Readiness
	var taken *agateendpoint.ListenError
	if _, err := agateendpoint.New(t.Context(), address, &readiness); !errors.As(err, &taken) || taken.Address != address {
		t.Errorf("taken: %v", err)
	}
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	endpoint, err := agateendpoint.New(t.Context(), address, &readiness)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- endpoint.Run(ctx) }()
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
			t.Errorf("%s, ready %t: %d", c.path, c.ready, response.StatusCode)
		}
	}
	cancel()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

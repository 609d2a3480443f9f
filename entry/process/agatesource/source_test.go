package agatesource

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"agatereach/core/version/agateserial"
)

// serve returns a source of a platform that answers every call with handler.
func serve(t *testing.T, handler http.HandlerFunc) *Source {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	source, cleanup, err := New([]string{server.Listener.Addr().String()}, netip.Addr{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cleanup)
	return source
}

func TestTicketsSetsInvalidOnesAside(t *testing.T) {
	const body = `{"after":1,"upto":4,"head":9,"tickets":[
		{"number":2,"teams":[{"name":"maps","share":1}]},
		{"number":3,"teams":[{"name":"maps","share":0}]},
		{"number":4,"teams":[{"name":"intake","share":2}]}]}`
	source := serve(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/v1/tickets" || r.URL.Query().Get("after") != "1" || r.URL.Query().Get("wait") != "7" {
			t.Errorf("unexpected call %s", r.URL)
		}
		_, _ = w.Write([]byte(body))
	})
	batch, err := source.Tickets(context.Background(), 1, 7*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	if len(batch.Tickets) != 2 || batch.Upto != 4 || batch.Head != 9 {
		t.Errorf("batch = %+v", batch)
	}
	refused := batch.Refused
	if len(refused) != 1 || refused[0].Ticket != 3 || !strings.Contains(refused[0].Reason, "share") {
		t.Errorf("refused = %+v", refused)
	}
}

func TestReadErrors(t *testing.T) {
	tests := []struct {
		name    string
		handler http.HandlerFunc
		check   func(error) bool
	}{
		{"limit", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Retry-After", "3")
			w.WriteHeader(http.StatusTooManyRequests)
		}, func(err error) bool {
			e := (*LimitError)(nil)
			return errors.As(err, &e) && e.Wait == 3*time.Second
		}},
		{"down", func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusServiceUnavailable)
		}, func(err error) bool {
			e := (*DownError)(nil)
			return errors.As(err, &e) && e.Status == http.StatusServiceUnavailable
		}},
		{"size", func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write(make([]byte, maxTickets+1))
		}, func(err error) bool {
			e := (*SizeError)(nil)
			return errors.As(err, &e)
		}},
		{"body", func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte(`{"after":5,"upto":4}`))
		}, func(err error) bool {
			e := (*BodyError)(nil)
			return errors.As(err, &e)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := serve(t, tt.handler).Tickets(context.Background(), 0, 0)
			if !tt.check(err) {
				t.Errorf("error = %v", err)
			}
		})
	}
}

// TestAskedWait guards against waits that are converted from numbers out of range.
func TestAskedWait(t *testing.T) {
	for header, want := range map[string]time.Duration{
		"3": 3 * time.Second, "1e300": maxAsked, "1e10": maxAsked, "Inf": maxAsked, "NaN": limitWait, "-1": limitWait, "": limitWait, "soon": limitWait,
	} {
		if got := asked(header); got != want {
			t.Errorf("Retry-After %q: %s, want %s", header, got, want)
		}
	}
}

func TestNextAddressAfterFailure(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"version":2,"vms":[]}`))
	}))
	defer server.Close()
	source, cleanup, err := New([]string{"127.0.0.1:1", server.Listener.Addr().String()}, netip.Addr{})
	if err != nil {
		t.Fatal(err)
	}
	defer cleanup()
	if _, err := source.VMs(context.Background(), 0, 0); err == nil {
		t.Error("read of a closed port succeeded")
	}
	list, err := source.VMs(context.Background(), 0, 0)
	if err != nil || list.Version != 2 {
		t.Errorf("second read = %v, %v", list, err)
	}
	if source.Reads() != 2 {
		t.Errorf("reads = %d, want 2", source.Reads())
	}
}

// TestRestoredPlatform guards against reading a restored platform from a number of the era
// before, and against taking a refused ticket, a kept one or a list of VMs for one of
// another era.
func TestRestoredPlatform(t *testing.T) {
	answers := map[string]string{
		"/v1/tickets?after=23&era=1": `{"era":2,"bases":[21],"after":21,"upto":23,"head":23,"tickets":[
			{"number":22,"teams":[{"name":"maps","share":1}]},{"number":23,"teams":[{"name":"maps","share":0}]}]}`,
		"/v1/vms?after=9&era=1": `{"era":2,"version":7,"vms":[]}`,
	}
	source := serve(t, func(w http.ResponseWriter, r *http.Request) {
		answer, found := answers[r.URL.String()]
		if !found {
			t.Errorf("unexpected call %s", r.URL)
		}
		_, _ = w.Write([]byte(answer))
	})
	batch, err := source.Tickets(t.Context(), 23, 0)
	if err != nil {
		t.Fatal(err)
	}
	list, err := source.VMs(t.Context(), 9, 0)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name   string
		packed uint64
		want   string
	}{
		{"after", batch.After, "21"},
		{"upto", batch.Upto, "2/23"},
		{"ticket", batch.Tickets[0].Number, "2/22"},
		{"refused ticket", batch.Refused[0].Ticket, "2/23"},
		{"list", list.Version, "2/7"},
	} {
		if serial := agateserial.Unpack(c.packed).String(); serial != c.want {
			t.Errorf("%s is %s, want %s", c.name, serial, c.want)
		}
	}
}

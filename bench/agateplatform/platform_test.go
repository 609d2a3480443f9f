package agateplatform

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"agatereach/bench/agatecontrol"
	"agatereach/core/version/agatebatch"
	"agatereach/core/version/agateteam"
	"agatereach/core/version/agateticket"
	"agatereach/core/version/agatevmlist"
)

func start(t *testing.T, rate int) (string, *agatecontrol.Mux) {
	t.Helper()
	mux := agatecontrol.NewMux()
	address, stop, err := Start(context.Background(), Settings{Rate: rate}, mux)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	return "http://" + address, mux
}

func control(t *testing.T, mux *agatecontrol.Mux, path string, in any) {
	t.Helper()
	body, err := json.Marshal(in)
	if err != nil {
		t.Fatal(err)
	}
	recorder := httptest.NewRecorder()
	mux.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, path, bytes.NewReader(body)))
	if recorder.Code != http.StatusOK {
		t.Fatalf("%s: %s", path, recorder.Body)
	}
}

func publish(t *testing.T, mux *agatecontrol.Mux) {
	t.Helper()
	control(t, mux, "/publish", agateticket.Ticket{Number: 1, Teams: []agateteam.Team{{Name: "a", Share: 1}}})
}

func get[V any](t *testing.T, url string) (V, int) {
	t.Helper()
	var value V
	response, err := http.Get(url)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusOK {
		if err := json.NewDecoder(response.Body).Decode(&value); err != nil {
			t.Fatal(err)
		}
	}
	return value, response.StatusCode
}

func TestModes(t *testing.T) {
	url, mux := start(t, 1000)
	for range 3 {
		publish(t, mux)
	}
	steps := []struct {
		mode   Mode
		status int
		upto   uint64
	}{
		{Mode{}, http.StatusOK, 3},
		{Mode{Stale: true, Back: 2}, http.StatusOK, 1},
		{Mode{Stale: true, Back: 9}, http.StatusOK, 0},
		{Mode{Down: true}, http.StatusServiceUnavailable, 0},
		{Mode{}, http.StatusOK, 3},
	}
	for _, step := range steps {
		control(t, mux, "/mode", step.mode)
		batch, status := get[agatebatch.Batch](t, url+"/v1/tickets?after=0")
		if status != step.status || batch.Upto != step.upto {
			t.Errorf("in mode %+v: status %d up to %d, want %d up to %d", step.mode, status, batch.Upto, step.status, step.upto)
		}
	}
}

// TestRestore checks that a restored platform names the next era and the last ticket kept,
// gives numbers out again, and answers a read from another era from that ticket on.
func TestRestore(t *testing.T) {
	url, mux := start(t, 1000)
	for range 3 {
		publish(t, mux)
	}
	control(t, mux, "/restore", Restore{Back: 2})
	publish(t, mux)
	for _, c := range []struct {
		query       string
		after, upto uint64
	}{{"after=3&era=1", 1, 2}, {"after=1&era=2", 1, 2}, {"after=0", 0, 2}} {
		batch, _ := get[agatebatch.Batch](t, url+"/v1/tickets?"+c.query)
		if batch.Era != 2 || len(batch.Bases) != 1 || batch.Bases[0] != 1 || batch.After != c.after || batch.Upto != c.upto {
			t.Errorf("%s: era %d, after %d up to %d, want era 2, after %d up to %d", c.query, batch.Era, batch.After, batch.Upto, c.after, c.upto)
		}
	}
}

func TestWaitingReadEndsWithTheTicket(t *testing.T) {
	url, mux := start(t, 1000)
	done := make(chan uint64)
	go func() {
		batch, _ := get[agatebatch.Batch](t, url+"/v1/tickets?after=0&wait=30")
		done <- batch.Upto
	}()
	publish(t, mux)
	if upto := <-done; upto != 1 {
		t.Errorf("the read ended with ticket %d, want 1", upto)
	}
}

func TestReadsOverTheLimitAreRefused(t *testing.T) {
	url, _ := start(t, 1)
	refused := 0
	for range 2 * readBurst {
		if _, status := get[agatevmlist.List](t, url+"/v1/vms"); status == http.StatusTooManyRequests {
			refused++
		}
	}
	if refused == 0 {
		t.Errorf("none of %d reads was refused", 2*readBurst)
	}
	if _, status := get[agatevmlist.List](t, url+"/v1/vms?after=x"); status != http.StatusTooManyRequests && status != http.StatusBadRequest {
		t.Errorf("a malformed read has status %d", status)
	}
}

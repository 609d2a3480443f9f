package agateadmin_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"agatereach/core/version/agatebatch"
	"agatereach/core/version/agatekeyring"
	"agatereach/core/version/agateruleset"
	"agatereach/core/version/agateservice"
	"agatereach/core/version/agatestate"
	"agatereach/core/version/agateticket"
	"agatereach/core/version/agateview"
	"agatereach/entry/process/agateadmin"
)

const token = "0123456789abcdef"

// process is live and draining but not ready.
type process struct{ view *agateview.View }

func (p process) View() *agateview.View               { return p.view }
func (process) Tickets() any                          { return "tickets" }
func (process) Peers() any                            { return "peers" }
func (process) Summary() any                          { return "summary" }
func (process) Flows(context.Context) (any, error)    { return "flows", nil }
func (process) Dump(ctx context.Context) (any, error) { return nil, context.DeadlineExceeded }
func (process) Live() error                           { return nil }
func (process) Ready() error                          { return &agateadmin.StateError{State: "ready", Reason: "draining"} }
func (process) Draining() error                       { return nil }

func handler() http.Handler {
	ticket := agateticket.Ticket{
		Number:   3,
		Services: []agateservice.Service{{ID: 1, Name: "map", State: agateservice.Up, Team: "m", Deadline: 1, MaxDeadline: 1}},
		Rules:    []agateruleset.Ruleset{{Service: 1, Default: agateruleset.Allow}},
		Ring:     &agatekeyring.Ring{Keys: []agatekeyring.Key{{ID: 1, Secret: agatekeyring.Secret{0xab, 0xcd}}}, SigningKeyID: 1},
	}
	state := agatestate.New(1).With(&agatebatch.Batch{Upto: 3, Head: 3, Tickets: []agateticket.Ticket{ticket}})
	return agateadmin.Handler(process{view: agateview.New(state, nil)}, token, http.NotFoundHandler())
}

func TestPaths(t *testing.T) {
	tests := []struct {
		method, path, token string
		status              int
		says                string
	}{
		{"GET", "/health/live", "", 200, "ok"},
		{"GET", "/health/draining", "", 200, "ok"},
		{"GET", "/health/ready", "", 503, "not ready: draining"},
		{"GET", "/v1/state", token, 200, "summary"},
		{"HEAD", "/v1/tickets", token, 200, ""},
		{"GET", "/v1/flows", token, 200, "flows"},
		{"GET", "/v1/peers", token, 200, "peers"},
		{"GET", "/v1/services", token, 200, `"name": "map"`},
		{"GET", "/v1/services/1", token, 200, `"ticket": 3`},
		{"GET", "/v1/services/2", token, 404, "service 2 does not exist"},
		{"GET", "/v1/services/x", token, 400, "parameter id has the value x"},
		{"GET", "/v1/rules", token, 200, `"default": "allow"`},
		{"GET", "/v1/rules/1", token, 200, `"ticket": 3`},
		{"GET", "/v1/rules/9", token, 404, "rules of service 9"},
		{"GET", "/v2", token, 404, "path /v2 does not exist"},
		{"GET", "/dump", token, 503, "deadline"},
		{"GET", "/v1/state", "", 401, "bearer token"},
		{"GET", "/metrics", "wrong", 401, "bearer token"},
		{"POST", "/v1/state", token, 405, "method POST"},
	}
	h := handler()
	for _, test := range tests {
		r := httptest.NewRequest(test.method, test.path, nil)
		if test.token != "" {
			r.Header.Set("Authorization", "Bearer "+test.token)
		}
		w := httptest.NewRecorder()
		h.ServeHTTP(w, r)
		body := w.Body.String()
		if w.Code != test.status || !strings.Contains(body, test.says) {
			t.Errorf("%s %s: %d %s; want %d %q", test.method, test.path, w.Code, body, test.status, test.says)
		}
		if strings.Contains(body, "abcd") {
			t.Errorf("%s shows the secret of a key: %s", test.path, body)
		}
		if w.Code < 400 {
			continue
		}
		var problem struct {
			Type, Title, Instance string
			Status                int
		}
		err := json.Unmarshal(w.Body.Bytes(), &problem)
		if err != nil || w.Header().Get("Content-Type") != "application/problem+json" || problem.Status != w.Code || problem.Instance != test.path {
			t.Errorf("%s %s: problem %+v, error %v", test.method, test.path, problem, err)
		}
	}
}

package agateadmin

import (
	"net/http"
	"strconv"

	"agatereach/entry/version/agatereport"
)

// health answers 200 while state returns nil, else 503.
func (a *api) health(state func() error) http.Handler {
	return answer(func(*http.Request) (any, error) {
		if err := state(); err != nil {
			return nil, code(err, http.StatusServiceUnavailable)
		}
		return health{Status: "ok"}, nil
	})
}

// health is the answer of a health endpoint whose state holds.
type health struct {
	// Status is ok.
	Status string `json:"status"`
}

func (a *api) state(*http.Request) (any, error) { return a.process.Summary(), nil }

func (a *api) tickets(*http.Request) (any, error) { return a.process.Tickets(), nil }

func (a *api) peers(*http.Request) (any, error) { return a.process.Peers(), nil }

func (a *api) flows(r *http.Request) (any, error) {
	document, err := a.process.Flows(r.Context())
	return document, unavailable(err)
}

func (a *api) dump(r *http.Request) (any, error) {
	document, err := a.process.Dump(r.Context())
	return document, unavailable(err)
}

func (a *api) services(*http.Request) (any, error) {
	return agatereport.New(a.process.View()).Services(), nil
}

func (a *api) service(r *http.Request) (any, error) {
	id, err := number(r, "id")
	if err != nil {
		return nil, err
	}
	service, found := agatereport.New(a.process.View()).Service(id)
	if !found {
		return nil, code(&NotFoundError{What: "service " + r.PathValue("id")}, http.StatusNotFound)
	}
	return service, nil
}

func (a *api) rules(*http.Request) (any, error) {
	return agatereport.New(a.process.View()).Rules(), nil
}

func (a *api) ruleset(r *http.Request) (any, error) {
	id, err := number(r, "service")
	if err != nil {
		return nil, err
	}
	rules, found := agatereport.New(a.process.View()).Ruleset(id)
	if !found {
		return nil, code(&NotFoundError{What: "rules of service " + r.PathValue("service")}, http.StatusNotFound)
	}
	return rules, nil
}

// number returns a service's number from the path.
func number(r *http.Request, name string) (uint32, error) {
	text := r.PathValue(name)
	id, err := strconv.ParseUint(text, 10, 32)
	if err != nil {
		return 0, code(&ParameterError{Name: name, Value: text}, http.StatusBadRequest)
	}
	return uint32(id), nil
}

// unavailable gives err, if any, the code for a process that does not answer.
func unavailable(err error) error {
	if err == nil {
		return nil
	}
	return code(err, http.StatusServiceUnavailable)
}

package agateadmin

import (
	"encoding/json"
	"net/http"

	"github.com/ansel1/merry/v2"
)

// NotFoundError reports a path or object that does not exist.
type NotFoundError struct {
	// What names it.
	What string
}

// Error names what was asked for.
func (e *NotFoundError) Error() string { return e.What + " does not exist" }

// MethodError reports a method other than GET and HEAD.
type MethodError struct {
	// Method is the request's method.
	Method string
}

// Error names the method.
func (e *MethodError) Error() string {
	return "method " + e.Method + " is not allowed, only GET and HEAD"
}

// TokenError reports a request without the bearer token.
type TokenError struct{}

// Error says that the token is missing or wrong.
func (*TokenError) Error() string { return "bearer token is missing or wrong" }

// ParameterError reports a parameter that cannot be read.
type ParameterError struct {
	// Name names the parameter.
	Name string
	// Value is its text.
	Value string
}

// Error names the parameter and its text.
func (e *ParameterError) Error() string {
	return "parameter " + e.Name + " has the value " + e.Value + ", which is not valid"
}

// StateError reports a health state that the process is not in.
type StateError struct {
	// State is the state asked for.
	State string
	// Reason says why the process is not in it.
	Reason string
}

// Error names the state and the reason.
func (e *StateError) Error() string { return "not " + e.State + ": " + e.Reason }

// problem is an error in the form of RFC 9457.
type problem struct {
	// Type is about:blank, so that Title is that of the status.
	Type string `json:"type"`
	// Title is the status's text.
	Title string `json:"title"`
	// Status is the HTTP status.
	Status int `json:"status"`
	// Detail is the error's text.
	Detail string `json:"detail"`
	// Instance is the path that was asked for.
	Instance string `json:"instance"`
}

// fail writes err, which carries its HTTP code, as a problem.
func fail(w http.ResponseWriter, r *http.Request, err error) {
	status := merry.HTTPCode(err)
	w.Header().Set("Content-Type", "application/problem+json")
	if status == http.StatusUnauthorized {
		w.Header().Set("WWW-Authenticate", `Bearer realm="agatereach"`)
	}
	if status == http.StatusMethodNotAllowed {
		w.Header().Set("Allow", "GET, HEAD")
	}
	w.WriteHeader(status)
	// A failed write means that the client has gone.
	_ = json.NewEncoder(w).Encode(problem{
		Type:     "about:blank",
		Title:    http.StatusText(status),
		Status:   status,
		Detail:   err.Error(),
		Instance: r.URL.Path,
	})
}

// code gives err the HTTP code.
func code(err error, status int) error { return merry.Wrap(err, merry.WithHTTPCode(status)) }

package agatehealth

import (
	"encoding/json"
	"fmt"
)

// Result is the outcome of a health probe.
type Result string

// The results of a probe.
const (
	// Answered means that the endpoint's answer was read.
	Answered Result = "answered"
	// Silent means that there was no answer or that it could not be read.
	Silent Result = "silent"
)

// StateUp is the state that an endpoint reports if it has no problem.
const StateUp = "up"

// Report is the result of a probe of a backend server's health endpoint.
type Report struct {
	// Server is the number of the probed server, not 0.
	Server uint32 `json:"-"`
	// Meant and Expected are the service and incarnation that the prober's view
	// has for the server.
	Meant    uint32 `json:"-"`
	Expected uint64 `json:"-"`
	// Result is whether there was an answer; the fields below are zero if there
	// was none.
	Result Result `json:"-"`
	// Service, Named and Incarnation are the identity that the endpoint
	// reports; Named is the server number.
	Service     uint32 `json:"service"`
	Named       uint32 `json:"server"`
	Incarnation uint64 `json:"incarnation"`
	// State is the state that the endpoint reports, StateUp for no problem.
	State string `json:"state"`
	// Busy, Queued and Connections are the load that the endpoint reports. They
	// may be outdated or wrong.
	Busy        int `json:"busy"`
	Queued      int `json:"queued"`
	Connections int `json:"connections"`
}

// Fits reports whether the endpoint answered with the identity of the probed server.
func (r *Report) Fits() bool {
	return r.Result == Answered && r.Named == r.Server && r.Service == r.Meant && r.Incarnation == r.Expected
}

// FieldError reports an answer with an invalid field.
type FieldError struct {
	// Field is the name of the field in JSON, or "load" for any load field.
	Field string
}

// Error returns a message with the name of the field.
func (e *FieldError) Error() string {
	return fmt.Sprintf("health answer: field %s is not valid", e.Field)
}

// reportFields is Report without UnmarshalJSON, which would call itself.
type reportFields Report

// UnmarshalJSON decodes and validates an endpoint's answer. An invalid field returns
// a *FieldError.
func (r *Report) UnmarshalJSON(b []byte) error {
	if err := json.Unmarshal(b, (*reportFields)(r)); err != nil {
		return err
	}
	switch {
	case r.Service == 0:
		return &FieldError{Field: "service"}
	case r.Named == 0:
		return &FieldError{Field: "server"}
	case r.Incarnation == 0:
		return &FieldError{Field: "incarnation"}
	case r.Busy < 0 || r.Queued < 0 || r.Connections < 0:
		return &FieldError{Field: "load"}
	}
	return nil
}

// Package agateprofile defines what a configuration says about the backend servers of a
// service, in addition to their registrations.
package agateprofile

import (
	"fmt"
	"math"
	"time"
)

// maxColdTime is the longest time for which a server may be cold. Times computed from it
// don't overflow.
const maxColdTime = 24 * time.Hour

// maxPathLength is the maximum length of a health endpoint's path, in bytes.
const maxPathLength = 1 << 10

// FieldError reports a field whose value is not valid.
type FieldError struct {
	// Service is the name of the service.
	Service string
	// Field names the field.
	Field string
}

// Error names the service and the field.
func (e *FieldError) Error() string {
	return fmt.Sprintf("profile of service %q: field %s is not valid", e.Service, e.Field)
}

// Profile holds the limits that apply to each backend server of a service.
type Profile struct {
	// Service is the name of the service; not empty.
	Service string `cbor:"1,keyasint"`
	// Connections is the number of flows that a server holds; 0 if it is not known.
	Connections int `cbor:"2,keyasint,omitempty"`
	// ColdTime is how long a server is cold after its start, 0 to maxColdTime.
	ColdTime time.Duration `cbor:"3,keyasint,omitempty"`
	// ColdRate is the number of requests per second that a cold server handles; 0 for
	// no limit.
	ColdRate float64 `cbor:"4,keyasint,omitempty"`
	// HealthPath is the path of the health endpoint at a server's address, at most
	// maxPathLength bytes; empty if there is none.
	HealthPath string `cbor:"5,keyasint,omitempty"`
}

// Check returns a *FieldError if a field is not valid.
func (p Profile) Check() error {
	switch {
	case p.Service == "":
		return &FieldError{Service: p.Service, Field: "service"}
	case p.Connections < 0:
		return &FieldError{Service: p.Service, Field: "connections"}
	case p.ColdTime < 0 || p.ColdTime > maxColdTime:
		return &FieldError{Service: p.Service, Field: "cold time"}
	case !(p.ColdRate >= 0) || math.IsInf(p.ColdRate, 1):
		return &FieldError{Service: p.Service, Field: "cold rate"}
	case len(p.HealthPath) > maxPathLength:
		return &FieldError{Service: p.Service, Field: "health path"}
	}
	return nil
}

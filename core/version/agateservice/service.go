// Package agateservice defines a service as tickets describe it.
package agateservice

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"time"

	"agatereach/core/request/agatecodec"
)

const (
	// maxName bounds a name, in bytes.
	maxName = 64
	// maxAddresses bounds the addresses of one service.
	maxAddresses = 64
	// maxDeadline bounds the deadlines, in milliseconds.
	maxDeadline = uint32(24 * time.Hour / time.Millisecond)
)

// State says whether a service is served.
type State string

// The states of a service.
const (
	// Up is a service that is served.
	Up State = "up"
	// Gone is a service that has been removed for good.
	Gone State = "gone"
)

// FieldError reports a field that breaks its invariant.
type FieldError struct {
	// Service is the service's number.
	Service uint32
	// Field names the field as in the wire format.
	Field string
}

// Error names the service and the field.
func (e *FieldError) Error() string {
	return fmt.Sprintf("service %d: field %s is not valid", e.Service, e.Field)
}

// Service is a service that callers reach at its addresses.
type Service struct {
	// ID is the service's number, not 0.
	ID uint32 `json:"id"`
	// Name is for people, 1 to 64 bytes.
	Name string `json:"name"`
	// State is Up or Gone.
	State State `json:"state"`
	// Team is the name of the team that owns the service.
	Team string `json:"team"`
	// Addresses holds the addresses that belong to this service alone; a
	// datagram that enters at one of them and names another service is refused.
	Addresses []netip.AddrPort `json:"addresses,omitempty"`
	// Idempotent says that the service's requests may run more than once
	// unless a request says otherwise.
	Idempotent bool `json:"idempotent,omitempty"`
	// Priority is the priority of requests that name none.
	Priority uint8 `json:"priority,omitempty"`
	// Deadline is the deadline of requests that name none, in milliseconds;
	// at most MaxDeadline.
	Deadline uint32 `json:"deadline"`
	// MaxDeadline is the longest deadline that a request may name, in
	// milliseconds.
	MaxDeadline uint32 `json:"maxdeadline"`
	// Policy names the placement policy; empty for the entry's default.
	Policy string `json:"policy,omitempty"`
}

// Key returns the service's number.
func (s Service) Key() uint32 { return s.ID }

// WithState returns a copy in the given state.
func (s Service) WithState(state State) Service {
	s.State = state
	return s
}

// WithPolicy returns a copy that is placed by the named policy.
func (s Service) WithPolicy(name string) Service {
	s.Policy = name
	return s
}

// Limit returns the deadline in force for a request that names asked
// milliseconds, 0 for none.
func (s *Service) Limit(asked uint32) time.Duration {
	if asked == 0 {
		asked = s.Deadline
	}
	return time.Duration(min(asked, s.MaxDeadline)) * time.Millisecond
}

// Check returns a *FieldError unless the service keeps its invariants.
func (s *Service) Check() error {
	switch {
	case s.ID == 0:
		return &FieldError{Service: s.ID, Field: "id"}
	case s.Name == "" || len(s.Name) > maxName:
		return &FieldError{Service: s.ID, Field: "name"}
	case s.State != Up && s.State != Gone:
		return &FieldError{Service: s.ID, Field: "state"}
	case s.Team == "" || len(s.Team) > maxName:
		return &FieldError{Service: s.ID, Field: "team"}
	case s.MaxDeadline == 0 || s.MaxDeadline > maxDeadline:
		return &FieldError{Service: s.ID, Field: "maxdeadline"}
	case s.Deadline == 0 || s.Deadline > s.MaxDeadline:
		return &FieldError{Service: s.ID, Field: "deadline"}
	case len(s.Policy) > maxName:
		return &FieldError{Service: s.ID, Field: "policy"}
	}
	return s.checkAddresses()
}

func (s *Service) checkAddresses() error {
	if len(s.Addresses) > maxAddresses {
		return &FieldError{Service: s.ID, Field: "addresses"}
	}
	for _, a := range s.Addresses {
		if !a.IsValid() || a.Port() == 0 {
			return &FieldError{Service: s.ID, Field: "addresses"}
		}
	}
	return nil
}

// plain has Service's fields without its decoders.
type plain Service

// UnmarshalJSON decodes and checks the service.
func (s *Service) UnmarshalJSON(b []byte) error {
	if err := json.Unmarshal(b, (*plain)(s)); err != nil {
		return err
	}
	return s.Check()
}

// UnmarshalCBOR decodes and checks the service.
func (s *Service) UnmarshalCBOR(b []byte) error {
	if err := (agatecodec.Codec{}).Decode("service", b, (*plain)(s)); err != nil {
		return err
	}
	return s.Check()
}

// Package agatevip defines a virtual address and the services that its flows are
// distributed over.
package agatevip

import (
	"fmt"
	"net/netip"
	"slices"
	"time"
)

// Kind determines whether a caller may retry a failed request.
type Kind string

// The kinds of requests.
const (
	// Idempotent requests may be retried after any failure.
	Idempotent Kind = "idempotent"
	// Once requests may be retried only if they were not executed.
	Once Kind = "once"
)

// FieldError reports a field whose value is not valid.
type FieldError struct {
	// Name is the name of the virtual address.
	Name string
	// Field names the field.
	Field string
}

// Error names the virtual address and the field.
func (e *FieldError) Error() string {
	return fmt.Sprintf("virtual address %q: field %s is not valid", e.Name, e.Field)
}

// Share is the part of the new flows of a virtual address that a service receives.
type Share struct {
	// Service is the name of the service.
	Service string `cbor:"1,keyasint"`
	// Weight is the share relative to the sum of all weights; not negative.
	Weight float64 `cbor:"2,keyasint"`
}

// VIP is a virtual address and the services behind it.
type VIP struct {
	// Name is the name shown to operators.
	Name string `cbor:"1,keyasint"`
	// Address is the address that callers send to; IPv4.
	Address netip.AddrPort `cbor:"2,keyasint"`
	// Shares holds the services of the flows; the sum of the weights is positive.
	Shares []Share `cbor:"3,keyasint"`
	// Kind is the kind of the requests.
	Kind Kind `cbor:"4,keyasint"`
	// Timeout is the time limit of a request; 0 if none is configured.
	Timeout time.Duration `cbor:"5,keyasint,omitempty"`
	// Priority orders virtual addresses by urgency if there is too little capacity; 0
	// is the most urgent.
	Priority int `cbor:"6,keyasint,omitempty"`
	// Objective is the time within which a request should be answered, counted from
	// its caller's first attempt; 0 if none is configured.
	Objective time.Duration `cbor:"7,keyasint,omitempty"`
}

// Check returns a *FieldError if a field is not valid.
func (v VIP) Check() error {
	total := 0.0
	for _, share := range v.Shares {
		if share.Service == "" || !(share.Weight >= 0) {
			return &FieldError{Name: v.Name, Field: "shares"}
		}
		total += share.Weight
	}
	switch {
	case !(total > 0):
		return &FieldError{Name: v.Name, Field: "shares"}
	case !v.Address.IsValid() || !v.Address.Addr().Is4() || v.Address.Port() == 0:
		return &FieldError{Name: v.Name, Field: "address"}
	case v.Kind != Idempotent && v.Kind != Once:
		return &FieldError{Name: v.Name, Field: "kind"}
	case v.Priority < 0:
		return &FieldError{Name: v.Name, Field: "priority"}
	case v.Objective < 0:
		return &FieldError{Name: v.Name, Field: "objective"}
	}
	return nil
}

// Equal reports whether two virtual addresses are equal in all fields.
func (v VIP) Equal(o VIP) bool {
	return v.Name == o.Name && v.Address == o.Address && v.Kind == o.Kind && v.Timeout == o.Timeout &&
		v.Priority == o.Priority && v.Objective == o.Objective && slices.Equal(v.Shares, o.Shares)
}

// Service returns the service for a fraction in [0, 1). Fractions that are
// distributed uniformly give each service a part in proportion to its weight.
func (v VIP) Service(fraction float64) string {
	total := 0.0
	for _, share := range v.Shares {
		total += share.Weight
	}
	rest := fraction * total
	last := ""
	for _, share := range v.Shares {
		if share.Weight <= 0 {
			continue
		}
		last = share.Service
		if rest < share.Weight {
			return last
		}
		rest -= share.Weight
	}
	return last
}

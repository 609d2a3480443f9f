// Package agatevip defines a virtual address and the services that its flows
// go to.
package agatevip

import (
	"fmt"
	"net/netip"
	"slices"
	"time"
)

// Kind says what a caller may do with a request that failed.
type Kind string

// The kinds of requests.
const (
	// Idempotent requests may be sent again after any failure.
	Idempotent Kind = "idempotent"
	// Once requests may be sent again only if they did not run.
	Once Kind = "once"
)

// FieldError reports a field that breaks its invariant.
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

// Share is a service with its share of the new flows.
type Share struct {
	// Service names the service.
	Service string `cbor:"1,keyasint"`
	// Weight is its share relative to the other weights; not negative.
	Weight float64 `cbor:"2,keyasint"`
}

// VIP is a virtual address.
type VIP struct {
	// Name names it for people.
	Name string `cbor:"1,keyasint"`
	// Address is what callers send to; IPv4.
	Address netip.AddrPort `cbor:"2,keyasint"`
	// Shares are the services of its flows; not empty, with a positive weight.
	Shares []Share `cbor:"3,keyasint"`
	// Kind is the kind of its requests.
	Kind Kind `cbor:"4,keyasint"`
	// Timeout is the time that a request has; 0 if none is stated.
	Timeout time.Duration `cbor:"5,keyasint,omitempty"`
}

// Check returns a *FieldError if a field breaks its invariant.
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
	}
	return nil
}

// Equal reports whether two virtual addresses are the same in all fields.
func (v VIP) Equal(o VIP) bool {
	return v.Name == o.Name && v.Address == o.Address && v.Kind == o.Kind && v.Timeout == o.Timeout && slices.Equal(v.Shares, o.Shares)
}

// Service returns the service for a fraction in [0, 1).
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

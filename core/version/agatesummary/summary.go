// Package agatesummary defines what an entry holds of a backend server of
// another data centre.
package agatesummary

import (
	"fmt"

	"agatereach/core/request/agatecodec"
)

// FieldError reports a field that breaks its invariant.
type FieldError struct {
	// Server is the server's number.
	Server uint32
	// Field names the field.
	Field string
}

// Error names the server and the field.
func (e *FieldError) Error() string {
	return fmt.Sprintf("summary of backend server %d: field %s is not valid", e.Server, e.Field)
}

// Summary is a backend server of another data centre. It travels as an array.
type Summary struct {
	_ struct{} `cbor:",toarray"`
	// Server is the server's number, not 0.
	Server uint32
	// Service is the number of the server's service, not 0.
	Service uint32
	// Centre is the number of the server's data centre, not 0.
	Centre uint16
	// Takes says that the server may be given new work.
	Takes bool
	// Ticket is the number of the ticket that says so, not 0.
	Ticket uint64
}

// Check returns a *FieldError unless the summary keeps its invariants.
func (s *Summary) Check() error {
	switch {
	case s.Server == 0:
		return &FieldError{Server: s.Server, Field: "server"}
	case s.Service == 0:
		return &FieldError{Server: s.Server, Field: "service"}
	case s.Centre == 0:
		return &FieldError{Server: s.Server, Field: "centre"}
	case s.Ticket == 0:
		return &FieldError{Server: s.Server, Field: "ticket"}
	}
	return nil
}

// plain has Summary's fields without its decoder.
type plain Summary

// UnmarshalCBOR decodes and checks the summary.
func (s *Summary) UnmarshalCBOR(b []byte) error {
	if err := (agatecodec.Codec{}).Decode("summary", b, (*plain)(s)); err != nil {
		return err
	}
	return s.Check()
}

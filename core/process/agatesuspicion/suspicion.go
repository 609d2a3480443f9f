// Package agatesuspicion defines the message by which a process reports that it
// receives no messages from another one.
package agatesuspicion

import (
	"fmt"

	"agatereach/core/request/agatecodec"
)

// FieldError reports a field of a suspicion whose value is not valid.
type FieldError struct {
	// Field is the name of the field.
	Field string
}

// Error returns a message with the field.
func (e *FieldError) Error() string { return fmt.Sprintf("suspicion: field %s is not valid", e.Field) }

// Suspicion reports that the witness receives no messages from a process. The
// process refutes it with a claim of a higher sequence number. A suspicion is
// encoded as an array.
type Suspicion struct {
	_ struct{} `cbor:",toarray"`
	// Boot is the boot id of the suspected process, not 0.
	Boot uint64
	// Beat is the sequence number of the newest claim of the process that the
	// witness holds.
	Beat uint32
	// Witness is the boot id of the reporting process, neither 0 nor Boot.
	Witness uint64
}

// Check returns a *FieldError if a field of the suspicion is not valid.
func (s *Suspicion) Check() error {
	switch {
	case s.Boot == 0:
		return &FieldError{Field: "boot"}
	case s.Witness == 0 || s.Witness == s.Boot:
		return &FieldError{Field: "witness"}
	}
	return nil
}

// plain has Suspicion's fields without its UnmarshalCBOR method.
type plain Suspicion

// UnmarshalCBOR decodes and checks the suspicion.
func (s *Suspicion) UnmarshalCBOR(b []byte) error {
	if err := (agatecodec.Codec{}).Decode("suspicion", b, (*plain)(s)); err != nil {
		return err
	}
	return s.Check()
}

// Package agatetransfer defines one part of the guard records that a process
// hands to its successor, and the receipt for it.
package agatetransfer

import (
	"fmt"

	"agatereach/core/request/agatecodec"
)

const (
	// MaxRecords is the number of records in one part.
	MaxRecords = 256
	// MaxRecord is the size of one record in bytes.
	MaxRecord = 512
)

// FieldError reports a field that breaks its invariant.
type FieldError struct {
	// Field names the field as in the wire format.
	Field string
}

// Error names the field.
func (e *FieldError) Error() string { return fmt.Sprintf("transfer: field %s is not valid", e.Field) }

// Transfer is one part of a hand-over. A receipt names the part and holds no
// records.
type Transfer struct {
	// Boot is the boot id of the process that hands over, not 0.
	Boot uint64 `json:"boot"`
	// Index counts the parts from 0.
	Index int `json:"index"`
	// Last says that no part follows.
	Last bool `json:"last,omitempty"`
	// Refused, in a receipt, says that the receiver takes no records.
	Refused bool `json:"refused,omitempty"`
	// Records holds up to MaxRecords records of up to MaxRecord bytes each.
	Records [][]byte `json:"records,omitempty"`
}

// Check returns a *FieldError unless the transfer keeps its invariants.
func (t *Transfer) Check() error {
	switch {
	case t.Boot == 0:
		return &FieldError{Field: "boot"}
	case t.Index < 0:
		return &FieldError{Field: "index"}
	case len(t.Records) > MaxRecords:
		return &FieldError{Field: "records"}
	}
	for _, r := range t.Records {
		if len(r) > MaxRecord {
			return &FieldError{Field: "records"}
		}
	}
	return nil
}

// plain has Transfer's fields without its decoder.
type plain Transfer

// UnmarshalCBOR decodes and checks the transfer.
func (t *Transfer) UnmarshalCBOR(b []byte) error {
	if err := (agatecodec.Codec{}).Decode("transfer", b, (*plain)(t)); err != nil {
		return err
	}
	return t.Check()
}

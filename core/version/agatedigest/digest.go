// Package agatedigest defines the heartbeat by which two entries compare what
// they hold.
package agatedigest

import (
	"fmt"

	"agatereach/core/request/agatecodec"
)

// Never is the age of what has not happened yet, in milliseconds.
const Never = int64(-1)

// maxCentres bounds the data centres that a digest names.
const maxCentres = 256

// FieldError reports a field that breaks its invariant.
type FieldError struct {
	// Field names the field as in the wire format.
	Field string
}

// Error names the field.
func (e *FieldError) Error() string { return fmt.Sprintf("digest: field %s is not valid", e.Field) }

// Reach says how long ago an entry of a data centre was heard by one of the
// sender's own data centre.
type Reach struct {
	_ struct{} `cbor:",toarray"`
	// Centre is the number of the data centre.
	Centre uint16
	// Age is the time since then in milliseconds, not negative.
	Age int64
}

// Digest sums up what the sender holds.
type Digest struct {
	// Upto is the number up to which the sender holds every ticket.
	Upto uint64 `json:"upto"`
	// Head is the newest ticket number that it has heard of, not below Upto.
	Head uint64 `json:"head"`
	// State is the hash of all objects that it holds.
	State uint64 `json:"state"`
	// Members is the hash of all entries that it holds to be there.
	Members uint64 `json:"members"`
	// Age is the time since the platform was read, by the sender or by an
	// entry that it has heard of it from, in milliseconds; Never if it was not.
	Age int64 `json:"age"`
	// Ask is a number that the receiver returns at once in Reply; 0 for none.
	Ask uint64 `json:"ask,omitempty"`
	// Reply is the number that the receiver has asked with; 0 for none.
	Reply uint64 `json:"reply,omitempty"`
	// Reaches holds the other data centres that entries of the sender's have
	// heard, each at most once.
	Reaches []Reach `json:"reaches,omitempty"`
}

// Check returns a *FieldError unless the digest keeps its invariants.
func (d *Digest) Check() error {
	switch {
	case d.Head < d.Upto:
		return &FieldError{Field: "head"}
	case d.Age < Never:
		return &FieldError{Field: "age"}
	case len(d.Reaches) > maxCentres:
		return &FieldError{Field: "reaches"}
	}
	for _, r := range d.Reaches {
		if r.Age < 0 || r.Centre == 0 {
			return &FieldError{Field: "reaches"}
		}
	}
	return nil
}

// plain has Digest's fields without its decoder.
type plain Digest

// UnmarshalCBOR decodes and checks the digest.
func (d *Digest) UnmarshalCBOR(b []byte) error {
	if err := (agatecodec.Codec{}).Decode("digest", b, (*plain)(d)); err != nil {
		return err
	}
	return d.Check()
}

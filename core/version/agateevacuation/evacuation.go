// Package agateevacuation defines the record of a data centre that an operator evacuates:
// its servers get no new flows while the record is active.
package agateevacuation

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"strings"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"

	"agatereach/core/version/agateposition"
)

// maxNameLength is the maximum length of the name of a data centre, in bytes, as in
// registrations.
const maxNameLength = 1 << 10

// FieldError reports a field whose value is not valid.
type FieldError struct {
	// Field names the field.
	Field string
}

// Error names the field.
func (e *FieldError) Error() string { return fmt.Sprintf("evacuation: field %s is not valid", e.Field) }

// Evacuation is the record of one data centre. Of two records of a data centre the one
// that replaces the other is valid. It is immutable.
type Evacuation struct {
	// Centre is the name of the data centre; valid UTF-8 without a slash, not empty and
	// at most maxNameLength bytes long. No server needs to name it.
	Centre string `cbor:"1,keyasint"`
	// Active is whether the data centre is evacuated.
	Active bool `cbor:"2,keyasint,omitempty"`
	// Era and Revision are the store's when the evacuation began, or ended if it is not
	// Active; Revision is at least 1.
	Era      uint32 `cbor:"3,keyasint,omitempty"`
	Revision int64  `cbor:"4,keyasint"`
}

// Check returns a *FieldError if a field is not valid.
func (e Evacuation) Check() error {
	switch {
	case e.Centre == "" || len(e.Centre) > maxNameLength || strings.Contains(e.Centre, "/") || !utf8.ValidString(e.Centre):
		return &FieldError{Field: "centre"}
	case e.Revision < 1:
		return &FieldError{Field: "revision"}
	}
	return nil
}

// Position returns where the record was written.
func (e Evacuation) Position() agateposition.Position {
	return agateposition.Position{Era: e.Era, Revision: e.Revision}
}

// Replaces reports whether the record is to replace another one of the data centre: it was
// written later. Of two of the same position the active one is valid, since a key is
// written once at a revision, and an end at that position is only concluded from a listing.
func (e Evacuation) Replaces(other Evacuation) bool {
	return cmp.Or(e.Position().Compare(other.Position()), rank(e.Active)-rank(other.Active)) > 0
}

// rank orders active records after those that are not.
func rank(active bool) int {
	if active {
		return 1
	}
	return 0
}

// WithPosition returns the record as one written at a position.
func (e Evacuation) WithPosition(written agateposition.Position) Evacuation {
	e.Era, e.Revision = written.Era, written.Revision
	return e
}

// WithEnd returns the record of the evacuation's end at a position.
func (e Evacuation) WithEnd(written agateposition.Position) Evacuation {
	e.Active = false
	return e.WithPosition(written)
}

// Digest returns a hash of the record; 0 if it is not active, since entries drop such
// records at different times.
func (e Evacuation) Digest() uint64 {
	if !e.Active {
		return 0
	}
	input := binary.BigEndian.AppendUint64(make([]byte, 0, 64), uint64(e.Revision))
	return xxhash.Sum64(append(input, e.Centre...))
}

// Package agatecentre defines a data centre as tickets describe it.
package agatecentre

import (
	"encoding/json"
	"fmt"
	"time"

	"agatereach/core/request/agatecodec"
)

// maxName bounds a name, in bytes.
const maxName = 64

// FieldError reports a field that breaks its invariant.
type FieldError struct {
	// Centre is the data centre's number.
	Centre uint16
	// Field names the field as in the wire format.
	Field string
}

// Error names the data centre and the field.
func (e *FieldError) Error() string {
	return fmt.Sprintf("data centre %d: field %s is not valid", e.Centre, e.Field)
}

// Distance is the one-way delay to another data centre.
type Distance struct {
	// Centre is the other data centre's number.
	Centre uint16 `json:"centre"`
	// Micros is the one-way delay in microseconds.
	Micros uint32 `json:"micros"`
}

// Centre is a data centre.
type Centre struct {
	// ID is the data centre's number, not 0.
	ID uint16 `json:"id"`
	// Name is unique among the data centres, 1 to 64 bytes.
	Name string `json:"name"`
	// Region names the region that the data centre belongs to.
	Region string `json:"region"`
	// Distances holds the delays to the other data centres, each at most once.
	Distances []Distance `json:"distances,omitempty"`
}

// Key returns the data centre's number.
func (c Centre) Key() uint16 { return c.ID }

// Distance returns the one-way delay to the data centre other and whether it
// is known.
func (c *Centre) Distance(other uint16) (time.Duration, bool) {
	if other == c.ID {
		return 0, true
	}
	for _, d := range c.Distances {
		if d.Centre == other {
			return time.Duration(d.Micros) * time.Microsecond, true
		}
	}
	return 0, false
}

// Check returns a *FieldError unless the data centre keeps its invariants.
func (c *Centre) Check() error {
	switch {
	case c.ID == 0:
		return &FieldError{Centre: c.ID, Field: "id"}
	case c.Name == "" || len(c.Name) > maxName:
		return &FieldError{Centre: c.ID, Field: "name"}
	case c.Region == "" || len(c.Region) > maxName:
		return &FieldError{Centre: c.ID, Field: "region"}
	}
	seen := make(map[uint16]bool, len(c.Distances))
	for _, d := range c.Distances {
		if d.Centre == 0 || d.Centre == c.ID || seen[d.Centre] {
			return &FieldError{Centre: c.ID, Field: "distances"}
		}
		seen[d.Centre] = true
	}
	return nil
}

// plain has Centre's fields without its decoders.
type plain Centre

// UnmarshalJSON decodes and checks the data centre.
func (c *Centre) UnmarshalJSON(b []byte) error {
	if err := json.Unmarshal(b, (*plain)(c)); err != nil {
		return err
	}
	return c.Check()
}

// UnmarshalCBOR decodes and checks the data centre.
func (c *Centre) UnmarshalCBOR(b []byte) error {
	if err := (agatecodec.Codec{}).Decode("data centre", b, (*plain)(c)); err != nil {
		return err
	}
	return c.Check()
}

// Package agateteam defines a team that owns services, and its limits.
package agateteam

import (
	"encoding/json"
	"fmt"

	"agatereach/core/request/agatecodec"
)

// maxName bounds a name, in bytes.
const maxName = 64

// FieldError reports a field that breaks its invariant.
type FieldError struct {
	// Team is the team's name.
	Team string
	// Field names the field as in the wire format.
	Field string
}

// Error names the team and the field.
func (e *FieldError) Error() string {
	return fmt.Sprintf("team %q: field %s is not valid", e.Team, e.Field)
}

// Team is a team that shares the fleet with others.
type Team struct {
	// Name is unique among the teams, 1 to 64 bytes.
	Name string `json:"name"`
	// Share is the team's weight when work queues, not 0.
	Share uint32 `json:"share"`
	// Rate is the limit on requests and opens a second over the whole fleet;
	// 0 for none.
	Rate uint32 `json:"rate,omitempty"`
}

// Key returns the team's name.
func (t Team) Key() string { return t.Name }

// Check returns a *FieldError unless the team keeps its invariants.
func (t *Team) Check() error {
	switch {
	case t.Name == "" || len(t.Name) > maxName:
		return &FieldError{Team: t.Name, Field: "name"}
	case t.Share == 0:
		return &FieldError{Team: t.Name, Field: "share"}
	}
	return nil
}

// plain has Team's fields without its decoders.
type plain Team

// UnmarshalJSON decodes and checks the team.
func (t *Team) UnmarshalJSON(b []byte) error {
	if err := json.Unmarshal(b, (*plain)(t)); err != nil {
		return err
	}
	return t.Check()
}

// UnmarshalCBOR decodes and checks the team.
func (t *Team) UnmarshalCBOR(b []byte) error {
	if err := (agatecodec.Codec{}).Decode("team", b, (*plain)(t)); err != nil {
		return err
	}
	return t.Check()
}

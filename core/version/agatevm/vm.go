// Package agatevm defines an entry VM as the platform lists it.
package agatevm

import (
	"encoding/json"
	"fmt"
	"net/netip"

	"agatereach/core/request/agatecodec"
)

// maxName bounds a name, in bytes.
const maxName = 64

// State says what the platform holds of a VM.
type State string

// The states of a VM.
const (
	// Live is a VM that runs.
	Live State = "live"
	// Leaving is a VM that is about to be taken away.
	Leaving State = "leaving"
)

// FieldError reports a field that breaks its invariant.
type FieldError struct {
	// VM is the VM's name.
	VM string
	// Field names the field as in the wire format.
	Field string
}

// Error names the VM and the field.
func (e *FieldError) Error() string {
	return fmt.Sprintf("VM %q: field %s is not valid", e.VM, e.Field)
}

// VM is a VM that an entry process runs on.
type VM struct {
	// ID is the VM's name, 1 to 64 bytes.
	ID string `json:"id"`
	// Centre is the number of the VM's data centre, not 0.
	Centre uint16 `json:"centre"`
	// Link is where the process takes links of other entries, over TCP.
	Link netip.AddrPort `json:"link"`
	// Relay is where the process takes relayed datagrams, over UDP.
	Relay netip.AddrPort `json:"relay"`
	// State is Live or Leaving.
	State State `json:"state"`
}

// Key returns the VM's name.
func (v VM) Key() string { return v.ID }

// WithState returns a copy in the given state.
func (v VM) WithState(state State) VM {
	v.State = state
	return v
}

// Check returns a *FieldError unless the VM keeps its invariants.
func (v *VM) Check() error {
	switch {
	case v.ID == "" || len(v.ID) > maxName:
		return &FieldError{VM: v.ID, Field: "id"}
	case v.Centre == 0:
		return &FieldError{VM: v.ID, Field: "centre"}
	case !v.Link.IsValid() || v.Link.Port() == 0:
		return &FieldError{VM: v.ID, Field: "link"}
	case !v.Relay.IsValid() || v.Relay.Port() == 0:
		return &FieldError{VM: v.ID, Field: "relay"}
	case v.State != Live && v.State != Leaving:
		return &FieldError{VM: v.ID, Field: "state"}
	}
	return nil
}

// plain has VM's fields without its decoders.
type plain VM

// UnmarshalJSON decodes and checks the VM.
func (v *VM) UnmarshalJSON(b []byte) error {
	if err := json.Unmarshal(b, (*plain)(v)); err != nil {
		return err
	}
	return v.Check()
}

// UnmarshalCBOR decodes and checks the VM.
func (v *VM) UnmarshalCBOR(b []byte) error {
	if err := (agatecodec.Codec{}).Decode("VM", b, (*plain)(v)); err != nil {
		return err
	}
	return v.Check()
}

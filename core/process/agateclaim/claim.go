// Package agateclaim defines the claim that an entry process publishes about
// itself. Other processes forward it unchanged.
package agateclaim

import (
	"fmt"
	"net/netip"

	"agatereach/core/process/agatepeers"
	"agatereach/core/request/agatecodec"
)

// maxNameBytes limits the length of a VM's name.
const maxNameBytes = 64

// FieldError reports a field of a claim whose value is not valid.
type FieldError struct {
	// VM is the name of the process's VM.
	VM string
	// Field is the name of the field.
	Field string
}

// Error returns a message with the VM and the field.
func (e *FieldError) Error() string {
	return fmt.Sprintf("claim of VM %q: field %s is not valid", e.VM, e.Field)
}

// Claim is the statement of a process about its addresses and its state. It is
// encoded as an array.
type Claim struct {
	_ struct{} `cbor:",toarray"`
	// VM is the name of the process's VM, 1 to 64 bytes.
	VM string
	// Centre is the number of its data centre, not 0.
	Centre uint16
	// Link is the TCP address at which the process accepts links.
	Link netip.AddrPort
	// Relay is the UDP address at which the process receives relayed
	// datagrams.
	Relay netip.AddrPort
	// Boot is the process's boot id, not 0.
	Boot uint64
	// Start is when the process started, in milliseconds since 1970. It orders
	// the processes of one VM, and may be later than the actual start if the
	// clock of a former process was ahead.
	Start int64
	// Beat is the sequence number of the claim: it increases with every claim
	// of the process.
	Beat uint32
	// State is agatepeers.Live, Leaving or Gone.
	State agatepeers.State
	// Successor is the boot id of the process that took over the guard
	// records of this one; 0 for none. Only a process that is gone has one.
	Successor uint64
}

// WithState returns the process's next claim, with the given state.
func (c Claim) WithState(state agatepeers.State) Claim {
	c.State = state
	c.Beat++
	return c
}

// WithSuccessor returns the last claim of a process that has handed its guard
// records over to the process boot.
func (c Claim) WithSuccessor(boot uint64) Claim {
	c = c.WithState(agatepeers.Gone)
	c.Successor = boot
	return c
}

// WithSequenceAbove returns a claim whose sequence number is higher than c's and
// the given one, so that it replaces all claims up to that.
func (c Claim) WithSequenceAbove(sequence uint32) Claim {
	c.Beat = max(c.Beat, sequence) + 1
	return c
}

// WithStartAfter returns the next claim, whose start is later than the given
// one.
func (c Claim) WithStartAfter(start int64) Claim {
	c.Start = max(c.Start, start+1)
	c.Beat++
	return c
}

// Check returns a *FieldError if a field of the claim is not valid.
func (c *Claim) Check() error {
	switch {
	case c.VM == "" || len(c.VM) > maxNameBytes:
		return &FieldError{VM: c.VM, Field: "vm"}
	case c.Centre == 0:
		return &FieldError{VM: c.VM, Field: "centre"}
	case !c.Link.IsValid() || c.Link.Port() == 0:
		return &FieldError{VM: c.VM, Field: "link"}
	case !c.Relay.IsValid() || c.Relay.Port() == 0:
		return &FieldError{VM: c.VM, Field: "relay"}
	case c.Boot == 0:
		return &FieldError{VM: c.VM, Field: "boot"}
	case c.State != agatepeers.Live && c.State != agatepeers.Leaving && c.State != agatepeers.Gone:
		return &FieldError{VM: c.VM, Field: "state"}
	case c.Successor != 0 && (c.State != agatepeers.Gone || c.Successor == c.Boot):
		return &FieldError{VM: c.VM, Field: "successor"}
	}
	return nil
}

// plain has Claim's fields without its UnmarshalCBOR method.
type plain Claim

// UnmarshalCBOR decodes and checks the claim.
func (c *Claim) UnmarshalCBOR(b []byte) error {
	if err := (agatecodec.Codec{}).Decode("claim", b, (*plain)(c)); err != nil {
		return err
	}
	return c.Check()
}

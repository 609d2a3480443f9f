// Package agatevmlist defines the platform's list of live and leaving VMs.
package agatevmlist

import (
	"encoding/json"
	"fmt"

	"agatereach/core/version/agateserial"
	"agatereach/core/version/agatevm"
)

// RepeatError reports a list that names a VM twice.
type RepeatError struct {
	// VM is the VM's name.
	VM string
}

// Error names the VM.
func (e *RepeatError) Error() string { return fmt.Sprintf("VM %q is listed twice", e.VM) }

// SerialError reports a list whose era or version is too high.
type SerialError struct {
	// Era and Version are those of the list.
	Era     uint32
	Version uint64
}

// Error names both.
func (e *SerialError) Error() string {
	return fmt.Sprintf("list of era %d and version %d is out of range", e.Era, e.Version)
}

// List is the platform's list of VMs. It lags behind what happens.
type List struct {
	// Era is the platform's era, which rises each time the platform has lost changes;
	// 0 counts as 1.
	Era uint32 `json:"era,omitempty"`
	// Version rises with every change of the list within an era.
	Version uint64 `json:"version"`
	// VMs holds the VMs, each at most once.
	VMs []agatevm.VM `json:"vms"`
}

// WithSerial returns the list with a packed serial in place of its era and version.
func (l *List) WithSerial() *List {
	return &List{Version: agateserial.Serial{Era: l.Era, Number: l.Version}.Pack(), VMs: l.VMs}
}

// Check returns a *RepeatError or a *SerialError unless the list keeps its invariants.
func (l *List) Check() error {
	if !(agateserial.Serial{Era: l.Era, Number: l.Version}).Valid() {
		return &SerialError{Era: l.Era, Version: l.Version}
	}
	seen := make(map[string]struct{}, len(l.VMs))
	for i := range l.VMs {
		name := l.VMs[i].ID
		if _, found := seen[name]; found {
			return &RepeatError{VM: name}
		}
		seen[name] = struct{}{}
	}
	return nil
}

// plain has List's fields without its decoder.
type plain List

// UnmarshalJSON decodes and checks the list.
func (l *List) UnmarshalJSON(b []byte) error {
	if err := json.Unmarshal(b, (*plain)(l)); err != nil {
		return err
	}
	return l.Check()
}

package agatefleet

import (
	"fmt"
	"net/netip"
)

// ListenError reports an address that links cannot be taken at.
type ListenError struct {
	// Address is the address.
	Address netip.AddrPort
	// Err is the system's error.
	Err error
}

// Error names the address and the system's error.
func (e *ListenError) Error() string { return fmt.Sprintf("take links at %s: %v", e.Address, e.Err) }

// Unwrap returns the system's error.
func (e *ListenError) Unwrap() error { return e.Err }

// SuccessorError reports that no peer has taken the guard records.
type SuccessorError struct {
	// Records is the number of records.
	Records int
}

// Error names the number of records.
func (e *SuccessorError) Error() string {
	return fmt.Sprintf("no peer has taken %d guard records", e.Records)
}

// RecordError reports a guard record that is too long.
type RecordError struct {
	// Have is its size in bytes.
	Have int
}

// Error names the size.
func (e *RecordError) Error() string { return fmt.Sprintf("guard record has %d bytes", e.Have) }

// BusyError reports an order that the loop has no room for.
type BusyError struct{}

// Error says so.
func (*BusyError) Error() string { return "fleet has no room for another order" }

package agatesource

import (
	"fmt"
	"time"
)

// AddressError reports a platform address that is missing or not host:port.
type AddressError struct {
	// Address is the address, empty if there is none at all.
	Address string
}

// Error names the address.
func (e *AddressError) Error() string {
	if e.Address == "" {
		return "platform has no address"
	}
	return fmt.Sprintf("platform address %q is not host:port", e.Address)
}

// LimitError reports a read that the platform refused because of its limit.
type LimitError struct {
	// Wait is how long the platform asks to wait.
	Wait time.Duration
}

// Error names the wait.
func (e *LimitError) Error() string { return fmt.Sprintf("platform is at its limit for %s", e.Wait) }

// DownError reports a platform that does not answer.
type DownError struct {
	// Status is the HTTP status, 0 without an answer.
	Status int
	// Wait is how long the platform asks to wait, 0 without an answer.
	Wait time.Duration
	// Err is the transport's error, nil with an answer.
	Err error
}

// Error names the status or the transport's error.
func (e *DownError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("platform does not answer: %v", e.Err)
	}
	return fmt.Sprintf("platform answers with status %d", e.Status)
}

// Unwrap returns the transport's error.
func (e *DownError) Unwrap() error { return e.Err }

// SizeError reports a body beyond its limit.
type SizeError struct {
	// Limit is the limit in bytes.
	Limit int64
}

// Error names the limit.
func (e *SizeError) Error() string { return fmt.Sprintf("platform's answer exceeds %d bytes", e.Limit) }

// BodyError reports a body that is not what was asked for.
type BodyError struct {
	// What names what was asked for.
	What string
	// Err is the decoder's error.
	Err error
}

// Error names what was asked for and the decoder's error.
func (e *BodyError) Error() string { return fmt.Sprintf("platform's %s: %v", e.What, e.Err) }

// Unwrap returns the decoder's error.
func (e *BodyError) Unwrap() error { return e.Err }

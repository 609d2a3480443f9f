// Package agatechange defines what a source of registrations and configuration
// delivers, in the product's own terms.
package agatechange

import (
	"fmt"

	"agatereach/core/version/agatecatalog"
	"agatereach/core/version/agateinstance"
)

// CompactedError reports that the source no longer has the changes after a
// revision, so that the whole must be read.
type CompactedError struct {
	// After is the revision.
	After int64
}

// Error names the revision.
func (e *CompactedError) Error() string {
	return fmt.Sprintf("changes after revision %d are no longer held", e.After)
}

// Removal is a registration that is no longer there, or that names no server.
type Removal struct {
	// ID is the id of the server.
	ID uint64 `cbor:"1,keyasint"`
	// Revision is the revision of the removal.
	Revision int64 `cbor:"2,keyasint"`
}

// Doubt is a virtual address of a configuration that was not understood in full.
type Doubt struct {
	// Name is the name of the virtual address.
	Name string
	// Reason says what was not understood and what was done with it.
	Reason Reason
}

// Reason says what was not understood.
type Reason string

// The reasons.
const (
	// BadAddress is a virtual address that is left out, since it cannot be served.
	BadAddress Reason = "address not readable, left out"
	// UnknownKind is one whose requests are taken for some that may run only once.
	UnknownKind Reason = "unknown kind, served as one whose requests run once"
)

// Changes is one delivery.
type Changes struct {
	// Revision is the revision up to which nothing is missing.
	Revision int64
	// Whole says that Instances are all that are registered, rather than what
	// has changed.
	Whole bool
	// Config is the newest configuration; nil if it has not changed.
	Config *agatecatalog.Config
	// Doubts are the virtual addresses of Config that were not understood.
	Doubts []Doubt
	// Instances are registrations, each with its revision.
	Instances []agateinstance.Instance
	// Removed are registrations that are gone or unreadable.
	Removed []Removal
	// Malformed counts the entries that could not be read.
	Malformed int
}

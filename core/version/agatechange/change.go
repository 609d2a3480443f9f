// Package agatechange defines the changes of registrations and configuration that a
// source delivers, independent of the format of the source.
package agatechange

import (
	"fmt"

	"agatereach/core/version/agatecatalog"
	"agatereach/core/version/agateevacuation"
	"agatereach/core/version/agateinstance"
	"agatereach/core/version/agateposition"
)

// CompactedError reports that the source does not have the changes after a
// revision, so that a complete listing must be read.
type CompactedError struct {
	// After is the revision after which changes were requested.
	After int64
	// Era is the era of the source that answered; 0 if it is not known.
	Era uint32
}

// Error names the revision.
func (e *CompactedError) Error() string {
	return fmt.Sprintf("changes after revision %d are not held in era %d", e.After, e.Era)
}

// RestoredError reports a source that was restored while it was listed.
type RestoredError struct {
	// Before and Era are the eras of the first and the latest part of the listing.
	Before, Era uint32
}

// Error names both eras.
func (e *RestoredError) Error() string {
	return fmt.Sprintf("era changed from %d to %d during a listing", e.Before, e.Era)
}

// RegressionError reports an answer of a source that is from before what is known of it.
type RegressionError struct {
	// Position is that of the answer, and Known one that the source has had before.
	Position, Known agateposition.Position
}

// Error names both positions.
func (e *RegressionError) Error() string {
	return fmt.Sprintf("answer at %s, the source was at %s before", e.Position, e.Known)
}

// StatusError reports an HTTP response of the source with a status other than 200.
type StatusError struct {
	// Path is the path of the request, and Status the HTTP status of the response.
	Path   string
	Status int
}

// Error returns a message with the path and the status.
func (e *StatusError) Error() string { return fmt.Sprintf("%s: status %d", e.Path, e.Status) }

// CallError reports a request that failed, or whose response could not be decoded.
type CallError struct {
	// Path is the path of the request, and Err the cause.
	Path string
	Err  error
}

// Error returns a message with the path and the cause.
func (e *CallError) Error() string { return fmt.Sprintf("%s: %v", e.Path, e.Err) }

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }

// Removal is a registration that was removed or can't be read.
type Removal struct {
	// ID is the id of the server.
	ID uint64 `cbor:"1,keyasint"`
	// Revision is the revision of the removal, in the era of the delivery.
	Revision int64 `cbor:"2,keyasint"`
}

// VIPIssue reports a virtual address of a configuration that was only partly
// understood.
type VIPIssue struct {
	// Name is the name of the virtual address.
	Name string
	// Reason says what was not understood and how it was handled.
	Reason Reason
}

// Reason says what was not understood in a virtual address and how it was handled.
type Reason string

// The reasons.
const (
	// BadAddress is an address that can't be parsed. The virtual address is left
	// out.
	BadAddress Reason = "address not readable, left out"
	// UnknownKind is a kind of requests that is not known. The requests are
	// treated as ones that may run only once.
	UnknownKind Reason = "unknown kind, served as one whose requests run once"
)

// Changes is one delivery of a source.
type Changes struct {
	// Era is the source's era, which rises each time the source has lost changes
	// that it had acknowledged; 0 if it is not known.
	Era uint32
	// Revision is the revision up to which all changes have been delivered.
	Revision int64
	// Complete is whether Instances and Evacuations are a complete listing rather than
	// those that have changed.
	Complete bool
	// Relayed is whether another entry delivers what it holds, and not the store. Its
	// complete listing holds evacuations that have ended as well.
	Relayed bool
	// AllEvacuations is whether Evacuations is a complete listing although Instances
	// holds only what has changed.
	AllEvacuations bool
	// Config is the newest configuration; nil if it has not changed.
	Config *agatecatalog.Config
	// VIPIssues holds the virtual addresses of Config that were only partly
	// understood.
	VIPIssues []VIPIssue
	// Instances holds registrations, each with its revision.
	Instances []agateinstance.Instance
	// Removals holds registrations that were removed or can't be read.
	Removals []Removal
	// Evacuations holds evacuations of data centres, and the ends of such, each with its
	// revision. One data centre may have several; the latest is valid.
	Evacuations []agateevacuation.Evacuation
	// Malformed is the number of entries of the source that could not be read.
	Malformed int
}

// Position returns the position up to which all changes have been delivered.
func (c *Changes) Position() agateposition.Position {
	return agateposition.Position{Era: c.Era, Revision: c.Revision}
}

// AddEvacuation adds the evacuation of a data centre that was written at a revision, or its
// end if it is not active. One whose fields are not valid is counted as malformed and
// otherwise ignored.
func (c *Changes) AddEvacuation(centre string, active bool, revision int64) {
	record := agateevacuation.Evacuation{Centre: centre, Active: active, Era: c.Era, Revision: revision}
	if record.Check() != nil {
		c.Malformed++
		return
	}
	c.Evacuations = append(c.Evacuations, record)
}

// Package agatestamp defines what identifies a configuration: the version that operators
// give it and where it was written, since a version may be given twice if the store loses
// the first one.
package agatestamp

import (
	"cmp"

	"agatereach/core/version/agateposition"
)

// Stamp identifies a configuration. The zero value stands for none.
type Stamp struct {
	// Version is the version that operators gave the configuration.
	Version int64
	// Written is where it was written.
	Written agateposition.Position
}

// New returns the stamp of a configuration of the given version that was written in an
// era at a revision.
func New(version int64, era uint32, revision int64) Stamp {
	return Stamp{Version: version, Written: agateposition.Position{Era: era, Revision: revision}}
}

// After reports whether the configuration replaces the other one: it has a higher version,
// or the same version and was written later.
func (s Stamp) After(o Stamp) bool {
	return cmp.Or(cmp.Compare(s.Version, o.Version), s.Written.Compare(o.Written)) > 0
}

// Valid reports whether no field is negative.
func (s Stamp) Valid() bool { return s.Version >= 0 && s.Written.Revision >= 0 }

// Package agateposition defines a place in the history of a store that may be restored
// from a copy, after which it gives revisions out again.
package agateposition

import (
	"cmp"
	"fmt"
)

// Position is a place in the history of a store. The zero value is before all others.
type Position struct {
	// Era is the era of the store, which rises with each restore; 0 if the store does
	// not name it.
	Era uint32
	// Revision is the revision within the era.
	Revision int64
}

// Compare returns a negative number if p is before o, 0 if they are equal, and a
// positive number if p is after o. Any revision of an era is after those of earlier eras.
func (p Position) Compare(o Position) int {
	return cmp.Or(cmp.Compare(p.Era, o.Era), cmp.Compare(p.Revision, o.Revision))
}

// After reports whether p is after o.
func (p Position) After(o Position) bool { return p.Compare(o) > 0 }

// Max returns the later of two positions.
func (p Position) Max(o Position) Position {
	if o.After(p) {
		return o
	}
	return p
}

// Next returns the position of the next revision of the era.
func (p Position) Next() Position { return Position{Era: p.Era, Revision: p.Revision + 1} }

// String returns the era and the revision, separated by a slash.
func (p Position) String() string { return fmt.Sprintf("%d/%d", p.Era, p.Revision) }

// Package agatereader chooses the entries of a data centre that watch the
// platform for all others.
package agatereader

import "github.com/cespare/xxhash/v2"

// Reader says how many entries of a data centre watch the platform.
type Reader struct {
	// count is the number of readers in a data centre, at least 1.
	count int
}

// New returns a rule for the given number of readers in a data centre.
func New(count int) Reader { return Reader{count: max(count, 1)} }

// Count returns the number of readers in a data centre.
func (r Reader) Count() int { return r.count }

// Elected reports whether the entry self is a reader among the live entries of
// its data centre, by rendezvous hashing of their names. Entries that hold
// different sets may elect more or fewer readers; that changes only the number
// of reads.
func (r Reader) Elected(self string, live []string) bool {
	own := xxhash.Sum64String(self)
	ahead := 0
	for _, name := range live {
		if name == self {
			continue
		}
		hash := xxhash.Sum64String(name)
		if hash > own || hash == own && name > self {
			ahead++
		}
	}
	return ahead < r.count
}

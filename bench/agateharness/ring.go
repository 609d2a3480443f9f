package agateharness

import (
	"crypto/rand"

	"agatereach/core/version/agatekeyring"
)

// ring is the key ring of a run.
type ring = agatekeyring.Ring

// newRing returns a ring with one random key.
func newRing() ring {
	key := agatekeyring.Key{ID: 1}
	_, _ = rand.Read(key.Secret[:])
	return ring{Keys: []agatekeyring.Key{key}, SigningKeyID: key.ID}
}

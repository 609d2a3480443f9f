package agatestate

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Kinds of objects in the digest.
const (
	kindCentre byte = iota + 1
	kindService
	kindServer
	kindRules
	kindTeam
	kindRing
)

// hashObject returns the hash of an object's kind, key and ticket number.
func hashObject[K comparable](kind byte, key K, ticket uint64) uint64 {
	b := make([]byte, 0, 64)
	b = append(b, kind)
	b = binary.BigEndian.AppendUint64(b, ticket)
	b = fmt.Append(b, key)
	return xxhash.Sum64(b)
}

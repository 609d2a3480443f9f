// Package agateinstance defines the registration record of one incarnation of a
// backend server. Each start of a server is an incarnation of its own.
package agateinstance

import (
	"encoding/binary"
	"fmt"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

// State determines whether an instance receives flows.
type State string

// The states of an instance.
const (
	// Ready means that the instance takes new flows.
	Ready State = "ready"
	// Draining means that the instance takes no new flows and serves those that
	// it has.
	Draining State = "draining"
	// Gone means that the instance is no longer registered. Its record is kept
	// while some of its flows may still be open.
	Gone State = "gone"
)

// maxSlots is the maximum number of slots of a registration.
const maxSlots = 1 << 12

// TokenSalts is the number of flow tokens of an instance. Another one is used when
// the first collides with a token of another instance.
const TokenSalts = 4

// FieldError reports a field whose value is not valid.
type FieldError struct {
	// ID is the id of the server.
	ID uint64
	// Field names the field.
	Field string
}

// Error names the server and the field.
func (e *FieldError) Error() string {
	return fmt.Sprintf("instance %x: field %s is not valid", e.ID, e.Field)
}

// Key identifies an incarnation. A server that restarts under the same id has
// another key.
type Key struct {
	// ID is the server's id.
	ID uint64 `cbor:"1,keyasint"`
	// StartTime is the start time in Unix milliseconds.
	StartTime int64 `cbor:"2,keyasint"`
}

// Token returns the flow token of the incarnation for a salt below TokenSalts.
// It is never 0, contains the salt, and is the same in every process.
func (k Key) Token(salt uint32) uint32 {
	var input [20]byte
	binary.BigEndian.PutUint64(input[:], k.ID)
	binary.BigEndian.PutUint64(input[8:], uint64(k.StartTime))
	binary.BigEndian.PutUint32(input[16:], salt)
	hash := uint32(xxhash.Sum64(input[:]))
	return max(hash-hash%TokenSalts, TokenSalts) + salt%TokenSalts
}

// HasToken reports whether the token is one of the tokens of the incarnation.
func (k Key) HasToken(token uint32) bool { return k.Token(token%TokenSalts) == token }

// Instance is one incarnation of a backend server.
type Instance struct {
	Key
	// Revision is the store's revision at which the record was written. Of two
	// records of a server the one with the higher revision is valid.
	Revision int64 `cbor:"3,keyasint"`
	// Service is the name of the service that the server provides; not empty.
	Service string `cbor:"4,keyasint"`
	// Address is where the server receives packets; IPv4.
	Address netip.AddrPort `cbor:"5,keyasint"`
	// Centre is the name of the server's data centre.
	Centre string `cbor:"6,keyasint"`
	// Slots is the number of requests that the server runs concurrently, 1 to
	// maxSlots.
	Slots int `cbor:"7,keyasint"`
	// State determines whether the server receives flows.
	State State `cbor:"8,keyasint"`
	// WarmUp is the remaining time, counted from the record, during which the
	// server is slow because it has just started.
	WarmUp time.Duration `cbor:"9,keyasint,omitempty"`
}

// Check returns a *FieldError if a field is not valid.
func (i Instance) Check() error {
	switch {
	case i.Service == "":
		return &FieldError{ID: i.ID, Field: "service"}
	case !i.Address.IsValid() || !i.Address.Addr().Is4() || i.Address.Port() == 0:
		return &FieldError{ID: i.ID, Field: "address"}
	case i.Slots < 1 || i.Slots > maxSlots:
		return &FieldError{ID: i.ID, Field: "slots"}
	case i.State != Ready && i.State != Draining && i.State != Gone:
		return &FieldError{ID: i.ID, Field: "state"}
	case i.WarmUp < 0:
		return &FieldError{ID: i.ID, Field: "cold"}
	case i.Revision < 1:
		return &FieldError{ID: i.ID, Field: "revision"}
	}
	return nil
}

// Digest returns a hash of the record. The exclusive or of the digests of two sets
// of records shows whether the sets are equal. The digest of an incarnation that
// is gone is 0, since entries drop such records at different times.
func (i Instance) Digest() uint64 {
	if i.State == Gone {
		return 0
	}
	var input [32]byte
	binary.BigEndian.PutUint64(input[:], i.ID)
	binary.BigEndian.PutUint64(input[8:], uint64(i.StartTime))
	binary.BigEndian.PutUint64(input[16:], uint64(i.Revision))
	copy(input[24:], i.State)
	return xxhash.Sum64(input[:])
}

// WithState returns the instance with another state and revision.
func (i Instance) WithState(state State, revision int64) Instance {
	i.State = state
	i.Revision = revision
	return i
}

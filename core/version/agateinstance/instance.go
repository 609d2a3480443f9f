// Package agateinstance defines one incarnation of a backend server as its
// registration describes it.
package agateinstance

import (
	"encoding/binary"
	"fmt"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

// State says what an instance may be given.
type State string

// The states of an instance.
const (
	// Ready takes new flows.
	Ready State = "ready"
	// Draining takes no new flow and serves those that it has.
	Draining State = "draining"
	// Gone is no longer registered. Its record is kept while flows of it may
	// still be open.
	Gone State = "gone"
)

// maxSlots bounds the slots that a registration may state.
const maxSlots = 1 << 12

// TokenSalts is the number of tokens that an instance may go by. A second one
// is needed where the first is also that of another instance.
const TokenSalts = 4

// FieldError reports a field that breaks its invariant.
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

// Key identifies an incarnation: a server that starts again under its id is
// another one.
type Key struct {
	// ID is the server's id.
	ID uint64 `cbor:"1,keyasint"`
	// Born is the time of its start in Unix milliseconds.
	Born int64 `cbor:"2,keyasint"`
}

// Token returns the flow token of the incarnation for a salt below TokenSalts.
// It is never 0, carries the salt, and is the same in every process.
func (k Key) Token(salt uint32) uint32 {
	var input [20]byte
	binary.BigEndian.PutUint64(input[:], k.ID)
	binary.BigEndian.PutUint64(input[8:], uint64(k.Born))
	binary.BigEndian.PutUint32(input[16:], salt)
	hash := uint32(xxhash.Sum64(input[:]))
	return max(hash-hash%TokenSalts, TokenSalts) + salt%TokenSalts
}

// Has reports whether the token is one of the incarnation's.
func (k Key) Has(token uint32) bool { return k.Token(token%TokenSalts) == token }

// Instance is one incarnation of a backend server.
type Instance struct {
	Key
	// Revision is the revision of the store that wrote the record; of two
	// records of an id the one with the higher revision holds.
	Revision int64 `cbor:"3,keyasint"`
	// Service names the service that the server serves; not empty.
	Service string `cbor:"4,keyasint"`
	// Address is where the server takes packets; IPv4.
	Address netip.AddrPort `cbor:"5,keyasint"`
	// Centre names the server's data centre.
	Centre string `cbor:"6,keyasint"`
	// Slots is the number of requests that the server runs at a time, at least 1.
	Slots int `cbor:"7,keyasint"`
	// State says what the server may be given.
	State State `cbor:"8,keyasint"`
	// Cold is how much longer the server is slow after its start, counted from
	// the time of the record.
	Cold time.Duration `cbor:"9,keyasint,omitempty"`
}

// Check returns a *FieldError if a field breaks its invariant.
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
	case i.Cold < 0:
		return &FieldError{ID: i.ID, Field: "cold"}
	case i.Revision < 1:
		return &FieldError{ID: i.ID, Field: "revision"}
	}
	return nil
}

// Digest returns a hash of the record for comparing two sets by their exclusive
// or; 0 for an incarnation that is gone, which one entry forgets before another.
func (i Instance) Digest() uint64 {
	if i.State == Gone {
		return 0
	}
	var input [32]byte
	binary.BigEndian.PutUint64(input[:], i.ID)
	binary.BigEndian.PutUint64(input[8:], uint64(i.Born))
	binary.BigEndian.PutUint64(input[16:], uint64(i.Revision))
	copy(input[24:], i.State)
	return xxhash.Sum64(input[:])
}

// WithState returns the instance in another state, as of the given revision.
func (i Instance) WithState(state State, revision int64) Instance {
	i.State = state
	i.Revision = revision
	return i
}

// Package agateinstance defines the registration record of one incarnation of a
// backend server. Each start of a server is an incarnation of its own.
package agateinstance

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"agatereach/core/request/agateaddress"
	"agatereach/core/version/agateposition"
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

// Limits on the content of a registration.
const (
	// maxSlots is the maximum number of slots.
	maxSlots = 1 << 12
	// maxNameLength is the maximum length of the names of a service and a data centre,
	// in bytes, so that a page with any registration fits into one datagram.
	maxNameLength = 1 << 10
	// maxWarmUp is the longest warm-up. Times computed from it don't overflow.
	maxWarmUp = 24 * time.Hour
	// maxStartTime is the highest start time in Unix milliseconds, in the year 2200. A
	// server with a later one could not be followed by another incarnation.
	maxStartTime = 7258118400000
)

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
// another key. An incarnation never changes its address, so a registration under its id
// with another one is not its own.
type Key struct {
	// ID is the server's id; not 0, which a packet's prefix uses for any server.
	ID uint64 `cbor:"1,keyasint"`
	// StartTime is the start time in Unix milliseconds, 0 to maxStartTime.
	StartTime int64 `cbor:"2,keyasint"`
	// Address is where the server receives packets; its port is not 0.
	Address agateaddress.Address `cbor:"5,keyasint"`
}

// Compare orders keys by id, start time and address.
func (k Key) Compare(other Key) int {
	return cmp.Or(
		cmp.Compare(k.ID, other.ID), cmp.Compare(k.StartTime, other.StartTime),
		bytes.Compare(k.Address.IP[:], other.Address.IP[:]), cmp.Compare(k.Address.Port, other.Address.Port),
	)
}

// Token returns the flow token of the incarnation for a salt below TokenSalts.
// It is never 0, contains the salt, and is the same in every process.
func (k Key) Token(salt uint32) uint32 {
	var input [26]byte
	binary.BigEndian.PutUint64(input[:], k.ID)
	binary.BigEndian.PutUint64(input[8:], uint64(k.StartTime))
	binary.BigEndian.PutUint32(input[16:], salt)
	copy(input[20:], k.Address.IP[:])
	binary.BigEndian.PutUint16(input[24:], k.Address.Port)
	hash := uint32(xxhash.Sum64(input[:]))
	return max(hash-hash%TokenSalts, TokenSalts) + salt%TokenSalts
}

// HasToken reports whether the token is one of the tokens of the incarnation.
func (k Key) HasToken(token uint32) bool { return k.Token(token%TokenSalts) == token }

// Instance is one incarnation of a backend server.
type Instance struct {
	Key
	// Revision is the store's revision at which the record was written, and Era the
	// store's era. Of two records of an incarnation the later one is valid.
	Revision int64  `cbor:"3,keyasint"`
	Era      uint32 `cbor:"10,keyasint,omitempty"`
	// Service is the name of the service that the server provides; not empty, and at
	// most maxNameLength bytes long.
	Service string `cbor:"4,keyasint"`
	// Centre is the name of the server's data centre, at most maxNameLength bytes long.
	Centre string `cbor:"6,keyasint"`
	// Slots is the number of requests that the server runs concurrently, 1 to
	// maxSlots.
	Slots int `cbor:"7,keyasint"`
	// State determines whether the server receives flows.
	State State `cbor:"8,keyasint"`
	// StateEra is the era in which State was decided if the store was restored and the
	// record is one of its copy: an earlier one if State was known from there, or Era if
	// the store has listed the record for longer than a lease. It is 0 if State is as
	// written. Of two records of the same position the one with the later era is valid.
	StateEra uint32 `cbor:"11,keyasint,omitempty"`
	// WarmUp is the remaining time, counted from the record, during which the
	// server is slow because it has just started; 0 to maxWarmUp.
	WarmUp time.Duration `cbor:"9,keyasint,omitempty"`
}

// Check returns a *FieldError if a field is not valid.
func (i Instance) Check() error {
	switch {
	case i.ID == 0:
		return &FieldError{ID: i.ID, Field: "id"}
	case i.Service == "" || len(i.Service) > maxNameLength:
		return &FieldError{ID: i.ID, Field: "service"}
	case i.StartTime < 0 || i.StartTime > maxStartTime:
		return &FieldError{ID: i.ID, Field: "start time"}
	case len(i.Centre) > maxNameLength:
		return &FieldError{ID: i.ID, Field: "centre"}
	case i.Address.Port == 0:
		return &FieldError{ID: i.ID, Field: "address"}
	case i.Slots < 1 || i.Slots > maxSlots:
		return &FieldError{ID: i.ID, Field: "slots"}
	case i.State != Ready && i.State != Draining && i.State != Gone:
		return &FieldError{ID: i.ID, Field: "state"}
	case i.WarmUp < 0 || i.WarmUp > maxWarmUp:
		return &FieldError{ID: i.ID, Field: "cold"}
	case i.Revision < 1:
		return &FieldError{ID: i.ID, Field: "revision"}
	case i.StateEra > i.Era:
		return &FieldError{ID: i.ID, Field: "state era"}
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

// Position returns where the record was written.
func (i Instance) Position() agateposition.Position {
	return agateposition.Position{Era: i.Era, Revision: i.Revision}
}

// Replaces reports whether the record is to replace another one of the incarnation.
func (i Instance) Replaces(other Instance) bool {
	return cmp.Or(i.Position().Compare(other.Position()), cmp.Compare(i.StateEra, other.StateEra)) > 0
}

// EqualContent reports whether two records differ at most in their eras, as those do that a
// restored store has from its copy.
func (i Instance) EqualContent(other Instance) bool {
	i.Era, i.StateEra, other.Era, other.StateEra = 0, 0, 0, 0
	return i == other
}

// Carried reports whether the record's state is known from an earlier era than that of the
// record.
func (i Instance) Carried() bool { return i.StateEra != 0 && i.StateEra != i.Era }

// restrictions orders the states by what the server may be given.
var restrictions = map[State]int{Ready: 0, Draining: 1, Gone: 2}

// Carry returns a record of a restored store with the state that the incarnation is known
// to have had before, if that state is more restrictive and the record may be one of the
// copy. A record with a higher revision than the known one is not: it is a later write,
// of whichever era.
func (i Instance) Carry(known Instance) Instance {
	later := i.Revision > known.Revision || i.Revision == known.Revision && known.StateEra == 0
	if known.Era >= i.Era || later || restrictions[known.State] <= restrictions[i.State] {
		return i
	}
	i.State, i.StateEra = known.State, known.Era
	return i
}

// WithState returns the instance with another state, written at a position.
func (i Instance) WithState(state State, written agateposition.Position) Instance {
	i.State, i.StateEra = state, 0
	i.Era, i.Revision = written.Era, written.Revision
	return i
}

// WithEra returns the instance as a record of another era.
func (i Instance) WithEra(era uint32) Instance {
	i.Era = era
	return i
}

// WithConfirmedState returns the instance with its state confirmed in the record's era.
func (i Instance) WithConfirmedState() Instance {
	i.StateEra = i.Era
	return i
}

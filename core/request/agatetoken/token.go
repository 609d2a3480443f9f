// Package agatetoken defines the route token: the routing state of a flow,
// carried by the flow's own datagrams, so that any entry routes them without
// asking a peer. The idea of routing state in the packet is that of Cheetah
// (Barbette et al., NSDI 2020).
package agatetoken

import (
	"encoding/binary"
	"fmt"
	"net/netip"
	"time"

	"agatereach/core/request/agateseal"
	"agatereach/core/version/agatekeyring"
)

const (
	// Version is the format that this package reads and writes.
	Version = 1
	// Lifetime is the time for which a token is valid after its issue.
	Lifetime = 24 * time.Hour
	// RenewAfter is the age from which an entry renews a token.
	RenewAfter = Lifetime / 2
	// MaxSkew is the largest accepted lead of an issuer's clock.
	MaxSkew = time.Minute
)

// Offsets of the fields in bytes.
const (
	versionAt     = 0
	keyAt         = 1
	serviceAt     = 2
	centreAt      = 6
	serverAt      = 8
	incarnationAt = 12
	guardAt       = 20
	portAt        = 36
	bootAt        = 38
	ticketAt      = 46
	issuedAt      = 54
	customerAt    = 58
	flowAt        = 62
	macAt         = 70
)

// VersionError reports a token of a format that is not supported.
type VersionError struct {
	// Have is the version that was found.
	Have uint8
}

// Error names the version.
func (e *VersionError) Error() string {
	return fmt.Sprintf("token version %d is not supported", e.Have)
}

// MACError reports a token whose authentication code is wrong.
type MACError struct {
	// Key is the number of the key that the token names.
	Key uint8
}

// Error names the key.
func (e *MACError) Error() string {
	return fmt.Sprintf("token has a wrong authentication code for key %d", e.Key)
}

// ExpiredError reports a token outside its lifetime.
type ExpiredError struct {
	// Issued is when the token was issued.
	Issued time.Time
	// Now is the time of the check.
	Now time.Time
}

// Early reports whether the token was issued in the future. Then either clock may be wrong,
// and the token says nothing of the flow's age.
func (e *ExpiredError) Early() bool { return e.Issued.After(e.Now) }

// Error names the token's age.
func (e *ExpiredError) Error() string {
	return fmt.Sprintf("token issued %s ago is outside its lifetime", e.Now.Sub(e.Issued))
}

// BindingError reports a token that was issued for another service or flow
// than the datagram that carries it names.
type BindingError struct {
	// Field names what differs: service or flow.
	Field string
	// Have is the token's value and Want the datagram's.
	Have, Want uint64
}

// Error names the field and both values.
func (e *BindingError) Error() string {
	return fmt.Sprintf("token is for %s %d, datagram for %d", e.Field, e.Have, e.Want)
}

// Token is the routing state of one flow. It is immutable.
type Token struct {
	// Service is the number of the flow's service.
	Service uint32
	// Centre is the number of the data centre that serves the flow.
	Centre uint16
	// Server is the number of the server that the flow's data goes to, 0 for
	// a flow that carries requests only.
	Server uint32
	// Incarnation is the server's incarnation.
	Incarnation uint64
	// Guard is the relay address of the entry that issued the token.
	Guard netip.AddrPort
	// Boot is the boot id of that entry's process.
	Boot uint64
	// Ticket is the number of the newest ticket that the issuer held.
	Ticket uint64
	// Issued is when the token was issued, to the second.
	Issued time.Time
	// Customer is the caller's customer number.
	Customer uint32
	// Flow is the flow's number.
	Flow uint64
}

// WithIssued returns a copy issued at the given time, but not earlier than t was: the clock may
// be behind that of the process that issued t, and a guard refuses a token that is older
// than its record.
func (t Token) WithIssued(at time.Time) Token {
	if at.After(t.Issued) {
		t.Issued = at
	}
	return t
}

// WithGuard returns a copy guarded by the process boot at address.
func (t Token) WithGuard(address netip.AddrPort, boot uint64) Token {
	t.Guard = address
	t.Boot = boot
	return t
}

// Seal returns the token's wire form, signed with the ring's signing key. The
// error is a *agatekeyring.KeyError.
func (t *Token) Seal(ring *agatekeyring.Ring) (agateseal.Seal, error) {
	var s agateseal.Seal
	key, err := ring.Signer()
	if err != nil {
		return s, err
	}
	s[versionAt] = Version
	s[keyAt] = key.ID
	binary.BigEndian.PutUint32(s[serviceAt:], t.Service)
	binary.BigEndian.PutUint16(s[centreAt:], t.Centre)
	binary.BigEndian.PutUint32(s[serverAt:], t.Server)
	binary.BigEndian.PutUint64(s[incarnationAt:], t.Incarnation)
	address := t.Guard.Addr().As16()
	copy(s[guardAt:], address[:])
	binary.BigEndian.PutUint16(s[portAt:], t.Guard.Port())
	binary.BigEndian.PutUint64(s[bootAt:], t.Boot)
	binary.BigEndian.PutUint64(s[ticketAt:], t.Ticket)
	binary.BigEndian.PutUint32(s[issuedAt:], uint32(t.Issued.Unix()))
	binary.BigEndian.PutUint32(s[customerAt:], t.Customer)
	binary.BigEndian.PutUint64(s[flowAt:], t.Flow)
	low, high := key.Sum128(s[:macAt])
	binary.BigEndian.PutUint64(s[macAt:], low)
	binary.BigEndian.PutUint64(s[macAt+8:], high)
	return s, nil
}

// Open checks the seal at the time now and reads it into t. It returns the
// number of the key that signed it. The errors are *VersionError, *MACError,
// *ExpiredError and *agatekeyring.KeyError.
func (t *Token) Open(s *agateseal.Seal, ring *agatekeyring.Ring, now time.Time) (uint8, error) {
	if s[versionAt] != Version {
		return 0, &VersionError{Have: s[versionAt]}
	}
	key, err := ring.Key(s[keyAt])
	if err != nil {
		return 0, err
	}
	low, high := key.Sum128(s[:macAt])
	if binary.BigEndian.Uint64(s[macAt:]) != low || binary.BigEndian.Uint64(s[macAt+8:]) != high {
		return 0, &MACError{Key: key.ID}
	}
	t.read(s)
	if age := now.Sub(t.Issued); age > Lifetime || age < -MaxSkew {
		return 0, &ExpiredError{Issued: t.Issued, Now: now}
	}
	return key.ID, nil
}

// Key returns the number of the key that the seal names, without checking it.
func Key(s *agateseal.Seal) uint8 { return s[keyAt] }

// Read reads the seal into t without checking its authentication code or
// lifetime. The error is a *VersionError.
func (t *Token) Read(s *agateseal.Seal) error {
	if s[versionAt] != Version {
		return &VersionError{Have: s[versionAt]}
	}
	t.read(s)
	return nil
}

// Bind returns a *BindingError unless the token was issued for the flow of the
// service.
func (t *Token) Bind(service uint32, flow uint64) error {
	if t.Service != service {
		return &BindingError{Field: "service", Have: uint64(t.Service), Want: uint64(service)}
	}
	if t.Flow != flow {
		return &BindingError{Field: "flow", Have: t.Flow, Want: flow}
	}
	return nil
}

func (t *Token) read(s *agateseal.Seal) {
	t.Service = binary.BigEndian.Uint32(s[serviceAt:])
	t.Centre = binary.BigEndian.Uint16(s[centreAt:])
	t.Server = binary.BigEndian.Uint32(s[serverAt:])
	t.Incarnation = binary.BigEndian.Uint64(s[incarnationAt:])
	address := netip.AddrFrom16([16]byte(s[guardAt:portAt])).Unmap()
	t.Guard = netip.AddrPortFrom(address, binary.BigEndian.Uint16(s[portAt:]))
	t.Boot = binary.BigEndian.Uint64(s[bootAt:])
	t.Ticket = binary.BigEndian.Uint64(s[ticketAt:])
	t.Issued = time.Unix(int64(binary.BigEndian.Uint32(s[issuedAt:])), 0)
	t.Customer = binary.BigEndian.Uint32(s[customerAt:])
	t.Flow = binary.BigEndian.Uint64(s[flowAt:])
}

// Package agateroute defines the prefix that an entry adds to a caller's datagram on its
// way to a backend server. The server returns the prefix with its own datagrams, so that
// the entry needs no state to send them to the caller.
package agateroute

import (
	"encoding/binary"
	"fmt"
	"net/netip"

	"agatereach/core/version/agatekeyring"
)

const (
	// Version is the version of the format that this package encodes and decodes.
	Version = 1
	// Size is the size of an encoded route with its CBOR head, in bytes.
	Size = headSize + bodySize

	headSize = 2
	bodySize = 62
	// byteStringHead is the CBOR initial byte of a byte string with a one-byte length.
	byteStringHead = 0x58
)

// Offsets of the fields after the CBOR head, in bytes.
const (
	versionAt     = 0
	callerAt      = 1
	portAt        = 17
	serviceAt     = 19
	serverAt      = 23
	incarnationAt = 27
	attemptAt     = 35
	customerAt    = 43
	centreAt      = 47
	tagAt         = 49
	flagsAt       = 57
	busyAt        = 58
	queuedAt      = 59
	drainingAt    = 61
)

// Bits of the flags field.
const (
	reportedFlag = 1 << iota
	noQueueFlag
	knownFlags = reportedFlag | noQueueFlag
)

// FormatError reports bytes that do not start with a route of this version.
type FormatError struct {
	// Have is the size of the input in bytes.
	Have int
}

// Error returns a message with the size of the input.
func (e *FormatError) Error() string { return fmt.Sprintf("no route at the start of %d bytes", e.Have) }

// Route identifies the server and incarnation that a datagram is sent to and the caller
// that it comes from. A server returns it unchanged except for its load report.
type Route struct {
	// Caller is the address to which answers are sent; always valid.
	Caller netip.AddrPort
	// Service is the number of the service that the server must belong to.
	Service uint32
	// Server is the number of the server.
	Server uint32
	// Incarnation is the server's incarnation. A server of another incarnation refuses
	// the datagram.
	Incarnation uint64
	// Attempt is unique among the datagrams of an entry process that carry work, so
	// that a server can drop duplicates made by the network; 0 in other datagrams.
	Attempt uint64
	// Customer is the caller's customer number; 0 for none.
	Customer uint32
	// Centre is the number of the data centre at which the caller's datagram entered;
	// rules are checked against it.
	Centre uint16
	// Tag is the message authentication code by which the entry recognizes its own
	// routes; see Sum.
	Tag uint64
	// Now is whether the server, if no slot is free, must refuse the work with outcome
	// notrun and its load report instead of queueing it.
	Now bool
	// Reported is whether Busy, Queued and Draining hold the server's load report.
	Reported bool
	// Busy is the number of the server's slots in use.
	Busy uint8
	// Queued is the number of requests that wait for a slot at the server.
	Queued uint16
	// Draining is whether the server accepts no new work.
	Draining bool
}

// Append appends the encoded route to b.
func (r *Route) Append(b []byte) []byte {
	var f [Size]byte
	f[0], f[1] = byteStringHead, bodySize
	d := f[headSize:]
	d[versionAt] = Version
	r.putAuthenticated(d)
	binary.BigEndian.PutUint64(d[tagAt:], r.Tag)
	d[flagsAt] = boolByte(r.Reported)*reportedFlag | boolByte(r.Now)*noQueueFlag
	d[busyAt] = r.Busy
	binary.BigEndian.PutUint16(d[queuedAt:], r.Queued)
	d[drainingAt] = boolByte(r.Draining)
	return append(b, f[:]...)
}

// Sum returns the message authentication code, under key, of all fields except Tag, Now
// and the server's load report. An entry stores it in Tag, and compares it when the server
// returns the route.
func (r *Route) Sum(key *agatekeyring.Key) uint64 {
	var d [tagAt]byte
	d[versionAt] = Version
	r.putAuthenticated(d[:])
	return key.Sum64(d[:])
}

// putAuthenticated encodes the fields that Sum covers, except for the version, into d.
func (r *Route) putAuthenticated(d []byte) {
	address := r.Caller.Addr().As16()
	copy(d[callerAt:], address[:])
	binary.BigEndian.PutUint16(d[portAt:], r.Caller.Port())
	binary.BigEndian.PutUint32(d[serviceAt:], r.Service)
	binary.BigEndian.PutUint32(d[serverAt:], r.Server)
	binary.BigEndian.PutUint64(d[incarnationAt:], r.Incarnation)
	binary.BigEndian.PutUint64(d[attemptAt:], r.Attempt)
	binary.BigEndian.PutUint32(d[customerAt:], r.Customer)
	binary.BigEndian.PutUint16(d[centreAt:], r.Centre)
}

// Decode decodes the route at the start of b and returns the bytes after it, which share
// b's memory. The error is a *FormatError.
func (r *Route) Decode(b []byte) ([]byte, error) {
	if len(b) < Size || b[0] != byteStringHead || b[1] != bodySize {
		return nil, &FormatError{Have: len(b)}
	}
	d := b[headSize:Size]
	if d[versionAt] != Version || d[flagsAt]&^knownFlags != 0 || d[drainingAt] > 1 {
		return nil, &FormatError{Have: len(b)}
	}
	address := netip.AddrFrom16([16]byte(d[callerAt:portAt])).Unmap()
	r.Caller = netip.AddrPortFrom(address, binary.BigEndian.Uint16(d[portAt:]))
	r.Service = binary.BigEndian.Uint32(d[serviceAt:])
	r.Server = binary.BigEndian.Uint32(d[serverAt:])
	r.Incarnation = binary.BigEndian.Uint64(d[incarnationAt:])
	r.Attempt = binary.BigEndian.Uint64(d[attemptAt:])
	r.Customer = binary.BigEndian.Uint32(d[customerAt:])
	r.Centre = binary.BigEndian.Uint16(d[centreAt:])
	r.Tag = binary.BigEndian.Uint64(d[tagAt:])
	r.Reported = d[flagsAt]&reportedFlag != 0
	r.Now = d[flagsAt]&noQueueFlag != 0
	r.Busy = d[busyAt]
	r.Queued = binary.BigEndian.Uint16(d[queuedAt:])
	r.Draining = d[drainingAt] == 1
	return b[Size:], nil
}

// boolByte returns 1 for true and 0 for false.
func boolByte(set bool) byte {
	if set {
		return 1
	}
	return 0
}

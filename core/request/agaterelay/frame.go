// Package agaterelay defines the prefix that an entry puts in front of a
// caller's datagram when it hands the datagram to another entry: to the flow's
// guard, or to an entry of the data centre that serves the flow.
package agaterelay

import (
	"encoding/binary"
	"fmt"
	"net/netip"

	"agatereach/core/version/agatekeyring"
)

const (
	// Version is the format that this package reads and writes.
	Version = 1
	// Size is the length of an encoded frame in bytes, its CBOR head included.
	Size = headSize + bodySize
	// MaxHops is the number of times that a datagram may be handed on.
	MaxHops = 3

	headSize  = 2
	bodySize  = 47
	headBytes = 0x58
)

// Offsets of the fields behind the CBOR head, in bytes.
const (
	versionAt = 0
	keyAt     = 1
	callerAt  = 2
	portAt    = 18
	centreAt  = 20
	hopsAt    = 22
	bootAt    = 23
	senderAt  = 31
	macAt     = 39
)

// FormatError reports bytes that do not start with a frame of this version.
type FormatError struct {
	// Have is the number of bytes that were given.
	Have int
}

// Error names the number of bytes.
func (e *FormatError) Error() string {
	return fmt.Sprintf("no relay frame at the start of %d bytes", e.Have)
}

// HopsError reports a datagram that was handed on too often.
type HopsError struct {
	// Hops is the number of times that it was handed on.
	Hops uint8
}

// Error names the number of hops.
func (e *HopsError) Error() string { return fmt.Sprintf("datagram was relayed %d times", e.Hops) }

// MACError reports a frame whose authentication code is wrong.
type MACError struct {
	// Key is the number of the key that the frame names.
	Key uint8
}

// Error names the key.
func (e *MACError) Error() string {
	return fmt.Sprintf("relay frame has a wrong authentication code for key %d", e.Key)
}

// Frame says for whom and from where a datagram is handed on.
type Frame struct {
	// Caller is where answers go; valid.
	Caller netip.AddrPort
	// Centre is the number of the data centre that the caller's datagram
	// entered at; rules are checked for it.
	Centre uint16
	// Hops is the number of times that the datagram was handed on before.
	Hops uint8
	// Boot is the boot id of the process that must handle the datagram, 0
	// for any process of the data centre.
	Boot uint64
	// Sender is the boot id of the process that hands the datagram on.
	Sender uint64
}

// Append appends to b the encoded frame and the datagram, authenticated
// together with the ring's signing key.
func (f *Frame) Append(b, datagram []byte, ring *agatekeyring.Ring) ([]byte, error) {
	key, err := ring.Signer()
	if err != nil {
		return b, err
	}
	start := len(b)
	var head [Size]byte
	head[0], head[1] = headBytes, bodySize
	d := head[headSize:]
	d[versionAt] = Version
	d[keyAt] = key.ID
	address := f.Caller.Addr().As16()
	copy(d[callerAt:], address[:])
	binary.BigEndian.PutUint16(d[portAt:], f.Caller.Port())
	binary.BigEndian.PutUint16(d[centreAt:], f.Centre)
	d[hopsAt] = f.Hops
	binary.BigEndian.PutUint64(d[bootAt:], f.Boot)
	binary.BigEndian.PutUint64(d[senderAt:], f.Sender)
	b = append(b, head[:]...)
	b = append(b, datagram...)
	mac := key.Sum64(b[start:])
	binary.BigEndian.PutUint64(b[start+headSize+macAt:], mac)
	return b, nil
}

// Decode reads the frame at the start of b, checks its authentication code and
// returns the datagram behind it, which shares b's memory. It zeroes the code's
// bytes in b. The errors are *FormatError, *HopsError, *MACError and
// *agatekeyring.KeyError.
func (f *Frame) Decode(b []byte, ring *agatekeyring.Ring) ([]byte, error) {
	if len(b) < Size || b[0] != headBytes || b[1] != bodySize || b[headSize+versionAt] != Version {
		return nil, &FormatError{Have: len(b)}
	}
	d := b[headSize:Size]
	key, err := ring.Key(d[keyAt])
	if err != nil {
		return nil, err
	}
	mac := binary.BigEndian.Uint64(d[macAt:])
	clear(d[macAt : macAt+8])
	if key.Sum64(b) != mac {
		return nil, &MACError{Key: key.ID}
	}
	if d[hopsAt] >= MaxHops {
		return nil, &HopsError{Hops: d[hopsAt]}
	}
	address := netip.AddrFrom16([16]byte(d[callerAt:portAt])).Unmap()
	f.Caller = netip.AddrPortFrom(address, binary.BigEndian.Uint16(d[portAt:]))
	f.Centre = binary.BigEndian.Uint16(d[centreAt:])
	f.Hops = d[hopsAt]
	f.Boot = binary.BigEndian.Uint64(d[bootAt:])
	f.Sender = binary.BigEndian.Uint64(d[senderAt:])
	return b[Size:], nil
}

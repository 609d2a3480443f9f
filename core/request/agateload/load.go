// Package agateload defines what one entry tells others about a backend server.
package agateload

import "time"

// Load is what an entry has seen of one server lately.
type Load struct {
	// Token names the server's incarnation as flow tokens do.
	Token uint32 `cbor:"1,keyasint"`
	// Waiting is the smoothed number of the entry's requests and handshakes
	// under way, in parts of Unit, and Open the number of its open flows.
	Waiting uint16 `cbor:"2,keyasint,omitempty"`
	Open    uint16 `cbor:"3,keyasint,omitempty"`
	// Heard is how long ago the server last showed life, in ms; 0 if it has not.
	Heard uint32 `cbor:"4,keyasint,omitempty"`
	// Missed is the number of flows without an answer since, Firm that of those
	// that are firm evidence, and Since how long ago the first of them was sent,
	// in ms.
	Missed uint8  `cbor:"5,keyasint,omitempty"`
	Firm   uint8  `cbor:"7,keyasint,omitempty"`
	Since  uint32 `cbor:"6,keyasint,omitempty"`
	// Failing is the evidence that its answers are failures, in tenths; 0 if they
	// are as usual.
	Failing uint8 `cbor:"8,keyasint,omitempty"`
}

// tenth is the part of the evidence that Load.Failing counts in.
const tenth = 10

// Parts returns evidence in the unit of the field.
func Parts(evidence float64) uint8 { return uint8(min(max(evidence, 0)*tenth, 1<<8-1)) }

// Whole returns the field as evidence.
func Whole(parts uint8) float64 { return float64(parts) / tenth }

// Unit is the part of a request that Load.Waiting counts in.
const Unit = 100

// Age returns a time in the unit of the fields, at least 1.
func Age(d time.Duration) uint32 {
	return uint32(min(max(d.Milliseconds(), 1), 1<<31))
}

// Duration returns a field as a time.
func Duration(age uint32) time.Duration { return time.Duration(age) * time.Millisecond }

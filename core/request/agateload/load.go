// Package agateload defines what an entry reports to other entries about a
// backend server.
package agateload

import (
	"math"
	"time"
)

// Load is what an entry has recently observed about one server.
type Load struct {
	// Token identifies the server's incarnation, as the tokens of flows do.
	Token uint32 `cbor:"1,keyasint"`
	// Pending is the smoothed number of the entry's requests and handshakes in
	// progress, in units of 1/PendingUnit, and Open is the number of its open
	// flows.
	Pending uint16 `cbor:"2,keyasint,omitempty"`
	Open    uint16 `cbor:"3,keyasint,omitempty"`
	// SinceAnswer is the time in ms since the server last answered; 0 if it hasn't,
	// or if nobody suspects it.
	SinceAnswer uint32 `cbor:"4,keyasint,omitempty"`
	// UnansweredFlows is the number of flows that have been unanswered since the
	// server's last answer, Firm the number of those that are firm evidence of a
	// silent server, and UnansweredFor the time in ms since the earliest of their
	// unanswered segments was sent. Without unanswered flows, UnansweredFor is the time in
	// ms since the server first answered after a suspicion; 0 if that needn't be told.
	UnansweredFlows uint8  `cbor:"5,keyasint,omitempty"`
	Firm            uint8  `cbor:"7,keyasint,omitempty"`
	UnansweredFor   uint32 `cbor:"6,keyasint,omitempty"`
	// FirmHandshakes is the number of those firm ones that are handshakes, which a full
	// server leaves unanswered as well. It is set for services with a limit on the flows of
	// cold servers only.
	FirmHandshakes uint8 `cbor:"14,keyasint,omitempty"`
	// Witness is the address, as a number, of a caller that has sent a segment to the
	// server at least twice again and has been answered by another server meanwhile;
	// 0 if there is none.
	Witness uint32 `cbor:"9,keyasint,omitempty"`
	// FailureEvidence is the evidence, in tenths, that the server's answers are
	// failures; 0 if there is too little to report.
	FailureEvidence uint8 `cbor:"8,keyasint,omitempty"`
	// Speed is the server's speed by the entry's own samples, as a code on a logarithmic
	// scale: 1 is 1/4 of the usual speed, 128 the usual one, 255 four times as fast; 0 if
	// it isn't told. SpeedWeight is the number of samples in quarters.
	Speed       uint8 `cbor:"10,keyasint,omitempty"`
	SpeedWeight uint8 `cbor:"11,keyasint,omitempty"`
	// Check is the result of a check of the entry that has confirmed the server down, or
	// NoCheck, and CheckAge is the time in ms since that check ended; it is set with Check.
	Check    Check  `cbor:"12,keyasint,omitempty"`
	CheckAge uint32 `cbor:"13,keyasint,omitempty"`
}

// Check is the result of an active health check, as a number to keep reports small.
type Check uint8

// The results that are reported.
const (
	// NoCheck means that no check has confirmed the server down.
	NoCheck Check = 0
	// Closed means that its address refused connections, and Dark that it left them
	// unanswered while another server's was answered.
	Closed Check = 1
	Dark   Check = 2
	// Replaced means that another server answers at its address.
	Replaced Check = 3
)

// evidenceUnit is the number of units of Load.FailureEvidence per unit of
// evidence.
const evidenceUnit = 10

// EncodeEvidence converts evidence to the unit of Load.FailureEvidence. Values
// that the field can't hold become its minimum or maximum.
func EncodeEvidence(evidence float64) uint8 { return uint8(min(max(evidence, 0)*evidenceUnit, 1<<8-1)) }

// DecodeEvidence converts a value of Load.FailureEvidence to evidence.
func DecodeEvidence(parts uint8) float64 { return float64(parts) / evidenceUnit }

// PendingUnit is the number of units of Load.Pending per request.
const PendingUnit = 100

// EncodeAge converts a duration to the ms of Load's fields, at least 1 since 0 means
// none.
func EncodeAge(d time.Duration) uint32 {
	return uint32(min(max(d.Milliseconds(), 1), 1<<31))
}

// DecodeAge converts a field in ms to a duration.
func DecodeAge(age uint32) time.Duration { return time.Duration(age) * time.Millisecond }

// Milliseconds converts a number of milliseconds to a duration, the longest one if it is
// longer. Go leaves the conversion of a larger float to the processor.
func Milliseconds(n float64) time.Duration {
	const limit = math.MaxInt64 / int64(time.Millisecond)
	return time.Duration(min(max(n, -float64(limit)), float64(limit)) * float64(time.Millisecond))
}

// Package agatesegment defines what an entry reads from a caller's packet when
// the backend servers answer the callers directly. It has no wire format of its
// own.
package agatesegment

import "agatereach/core/request/agatetuple"

// Flags is a set of TCP flags.
type Flags uint8

// The flags of a segment, with their meaning in TCP.
const (
	SYN Flags = 1 << iota
	ACK
	FIN
	RST
)

// Has reports whether any of the given flags is set.
func (f Flags) Has(wanted Flags) bool { return f&wanted != 0 }

// Segment is one packet from a caller.
type Segment struct {
	// Flow identifies the flow by its addresses and ports.
	Flow agatetuple.Tuple
	// Sequence is the sequence number of the first byte of data. It wraps
	// around.
	Sequence uint32
	// Acknowledged is the sequence number of the next byte that the caller
	// expects, or in a SYN the number of copies sent before it.
	Acknowledged uint32
	// Length is the number of bytes of data.
	Length uint16
	// Flags is the set of TCP flags.
	Flags Flags
	// Token identifies the backend server of the flow; 0 in a SYN.
	Token uint32
}

// Opens reports whether the segment is a SYN that opens a flow.
func (s Segment) Opens() bool { return s.Flags.Has(SYN) && !s.Flags.Has(ACK|RST|FIN) }

// End returns the sequence number after the last byte of data.
func (s Segment) End() uint32 { return s.Sequence + uint32(s.Length) }

// After reports whether sequence number a is after b, with wraparound.
func After(a, b uint32) bool { return int32(a-b) > 0 }

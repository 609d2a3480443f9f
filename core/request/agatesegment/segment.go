// Package agatesegment defines what an entry reads in a caller's packet when
// the backend servers answer the callers themselves. It has no wire format of
// its own.
package agatesegment

import "agatereach/core/request/agatetuple"

// Flags is the set of a segment's flags.
type Flags uint8

// The flags of a segment, with the meaning that TCP gives them.
const (
	SYN Flags = 1 << iota
	ACK
	FIN
	RST
)

// Has reports whether any of the wanted flags is set.
func (f Flags) Has(wanted Flags) bool { return f&wanted != 0 }

// Segment is one packet of a caller.
type Segment struct {
	// Flow identifies the flow.
	Flow agatetuple.Tuple
	// Sequence is the number of the first byte of data. It wraps around.
	Sequence uint32
	// Acknowledged is the number of the next byte that the caller expects, or
	// in a SYN the number of copies sent before it.
	Acknowledged uint32
	// Length is the number of bytes of data.
	Length uint16
	// Flags holds the flags.
	Flags Flags
	// Token is the flow's routing state, 0 in a SYN.
	Token uint32
}

// Opens reports whether the segment asks for a new flow.
func (s Segment) Opens() bool { return s.Flags.Has(SYN) && !s.Flags.Has(ACK|RST|FIN) }

// End returns the number behind the last byte of data.
func (s Segment) End() uint32 { return s.Sequence + uint32(s.Length) }

// After reports whether sequence number a lies behind b.
func After(a, b uint32) bool { return int32(a-b) > 0 }

// Package agatestream is one end of a flow between a caller and a backend
// server: a reliable stream of bytes over datagrams. It does no I/O, and all
// times are on one monotonic clock.
package agatestream

import (
	"time"

	"agatereach/core/request/agatesegment"
	"agatereach/core/request/agatetuple"
)

const (
	// maxData is the number of bytes of data in a segment, and window that of
	// segments under way.
	maxData = 1200
	window  = 16
	// ackEvery is the number of segments that are acknowledged at once.
	ackEvery = 2
	// retryMin is the time before the first copy, which doubles up to retryMax.
	retryMin = 200 * time.Millisecond
	retryMax = 1600 * time.Millisecond
)

// Packet is a segment with its data.
type Packet struct {
	Segment agatesegment.Segment
	Data    []byte
}

// Stream is one end of an open flow. It is used by one goroutine.
type Stream struct {
	// flow names the flow as its own segments do.
	flow agatetuple.Tuple
	// token is the last one that came.
	token uint32
	// base is the number of the first byte of out, and sent the number of bytes
	// of out that have been sent at least once.
	base uint32
	out  []byte
	sent int
	// expected is the number of the next byte of the other end, and early holds
	// segments beyond it by number.
	expected uint32
	early    map[uint32][]byte
	in       []byte
	// unacknowledged counts the segments that came since the last acknowledgement.
	unacknowledged int
	// lone is how long a single segment waits for its acknowledgement; 0 for
	// until there is something to send.
	lone    time.Duration
	loneDue time.Duration
	// due is when the oldest bytes are sent again; 0 if nothing is under way.
	due, retry time.Duration
	// finished says that this end has sent its end, and ended that the other has.
	finished, ended bool
}

// New returns an end whose first byte has the number own, and the other end's
// the number other. A lone segment of the other end is acknowledged after lone,
// or with the next data if that is 0.
func New(flow agatetuple.Tuple, token, own, other uint32, lone time.Duration) *Stream {
	return &Stream{flow: flow, token: token, base: own, expected: other, early: make(map[uint32][]byte), lone: lone}
}

// Expected returns the number of the next byte that the other end will send.
func (s *Stream) Expected() uint32 { return s.expected }

// Ended reports whether the other end has closed the flow.
func (s *Stream) Ended() bool { return s.ended }

// Idle reports whether everything sent has been acknowledged.
func (s *Stream) Idle() bool { return len(s.out) == 0 }

// Write adds bytes to be sent and returns what can be sent now.
func (s *Stream) Write(data []byte, now time.Duration) []Packet {
	s.out = append(s.out, data...)
	return s.flush(now)
}

// Read returns the bytes that have come so far, in order.
func (s *Stream) Read() []byte { return s.in }

// Acknowledge returns an acknowledgement of what came since the last one, if
// anything did.
func (s *Stream) Acknowledge() []Packet {
	if s.unacknowledged == 0 {
		return nil
	}
	return []Packet{s.acknowledgement()}
}

// Discard drops bytes that have been read.
func (s *Stream) Discard(count int) { s.in = s.in[count:] }

// Finish returns the segment that closes this end.
func (s *Stream) Finish() Packet {
	s.finished = true
	return s.packet(agatesegment.FIN|agatesegment.ACK, s.base+uint32(len(s.out)), nil)
}

// Receive takes in a segment of the other end and returns what is to be sent.
func (s *Stream) Receive(p Packet, now time.Duration) []Packet {
	if p.Segment.Token != 0 {
		s.token = p.Segment.Token
	}
	if p.Segment.Flags.Has(agatesegment.ACK) {
		s.acknowledged(p.Segment.Acknowledged, now)
	}
	urgent := s.data(p, now)
	if p.Segment.Flags.Has(agatesegment.FIN) {
		s.ended = true
		urgent = true
	}
	packets := s.flush(now)
	if len(packets) == 0 && (urgent || s.unacknowledged >= ackEvery) {
		packets = append(packets, s.acknowledgement())
	}
	return packets
}

// acknowledged drops the bytes that have arrived.
func (s *Stream) acknowledged(number uint32, now time.Duration) {
	count := int(int32(number - s.base))
	if count <= 0 || count > s.sent {
		return
	}
	s.out = s.out[count:]
	s.base = number
	s.sent -= count
	s.retry = retryMin
	s.due = 0
	if s.sent > 0 {
		s.due = now + s.retry
	}
}

// data takes in data and reports whether it must be acknowledged at once: a
// copy, or what came too early.
func (s *Stream) data(p Packet, now time.Duration) bool {
	if len(p.Data) == 0 {
		return false
	}
	if p.Segment.Sequence != s.expected {
		if agatesegment.After(p.Segment.Sequence, s.expected) {
			s.early[p.Segment.Sequence] = p.Data
		}
		return true
	}
	for data := p.Data; len(data) > 0; data = s.early[s.expected] {
		delete(s.early, s.expected)
		s.in = append(s.in, data...)
		s.expected += uint32(len(data))
		s.unacknowledged++
	}
	s.loneDue = now + s.lone
	return false
}

// flush returns the segments that may be sent for the first time.
func (s *Stream) flush(now time.Duration) []Packet {
	var packets []Packet
	for s.sent < len(s.out) && s.sent < window*maxData {
		data := s.out[s.sent:min(s.sent+maxData, len(s.out))]
		packets = append(packets, s.packet(agatesegment.ACK, s.base+uint32(s.sent), data))
		s.sent += len(data)
	}
	if len(packets) > 0 && s.due == 0 {
		s.retry = retryMin
		s.due = now + s.retry
	}
	return packets
}

// Due returns the segments that are to be sent again, and acknowledgements that
// have waited.
func (s *Stream) Due(now time.Duration) []Packet {
	var packets []Packet
	if s.due > 0 && now >= s.due {
		s.retry = min(2*s.retry, retryMax)
		s.due = now + s.retry
		packets = append(packets, s.packet(agatesegment.ACK, s.base, s.out[:min(maxData, s.sent)]))
	}
	if s.unacknowledged > 0 && s.lone > 0 && now >= s.loneDue {
		packets = append(packets, s.acknowledgement())
	}
	return packets
}

// acknowledgement returns a segment without data.
func (s *Stream) acknowledgement() Packet {
	return s.packet(agatesegment.ACK, s.base+uint32(s.sent), nil)
}

// packet returns a segment of this end. Each acknowledges what has come.
func (s *Stream) packet(flags agatesegment.Flags, sequence uint32, data []byte) Packet {
	s.unacknowledged = 0
	return Packet{
		Segment: agatesegment.Segment{
			Flow: s.flow, Sequence: sequence, Acknowledged: s.expected, Length: uint16(len(data)), Flags: flags, Token: s.token,
		},
		Data: data,
	}
}

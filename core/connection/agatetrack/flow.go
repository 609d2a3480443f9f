package agatetrack

import (
	"time"

	"agatereach/core/request/agatesegment"
	"agatereach/core/request/agatetuple"
)

// Phase is the phase that a flow has reached.
type Phase string

// The phases of a flow.
const (
	// Opening is a flow whose handshake isn't known to be answered.
	Opening Phase = "opening"
	// Open is a flow whose server has answered.
	Open Phase = "open"
	// Closed is a flow that its caller has closed.
	Closed Phase = "closed"
)

// Event is what a segment reveals about its flow and its server.
type Event struct {
	// Answered is whether the server has sent something since the last segment.
	Answered bool
	// Opened is whether the segment shows that the handshake was answered.
	Opened bool
	// ExchangeSince is when the SYN or request arrived whose answer the segment
	// shows for the first time; 0 if it shows none or the time isn't known.
	ExchangeSince time.Duration
	// Requested is whether a request has begun, and Responded whether the
	// response to the previous one has begun to arrive. Both may be set.
	Requested, Responded bool
	// ResponseSize is the number of bytes that a segment with Responded
	// acknowledges: the response, or the first part of a long one.
	ResponseSize uint32
	// Retransmitted is whether the segment carries nothing new, and Unanswered
	// whether the server has also had a retransmission timeout to answer the
	// segment before it.
	Retransmitted, Unanswered bool
	// Ended is whether the caller has closed or reset the flow.
	Ended bool
	// UnansweredSince is set with Unanswered: when the newest data, or the
	// previous copy of a SYN, arrived.
	UnansweredSince time.Duration
}

// Flow is what an entry has inferred about a flow from the caller's segments
// alone. S is the type of the state that the table's user keeps with it.
type Flow[S any] struct {
	// Tuple identifies the flow.
	Tuple agatetuple.Tuple
	// State belongs to the table's user.
	State S
	// Phase is the phase that the flow has reached.
	Phase Phase
	// RequestPending is whether a request has no response yet.
	RequestPending bool
	// RequestedAt is when the pending request began.
	RequestedAt time.Duration
	// Requests is the number of requests seen.
	Requests uint32
	// Retransmits is the number of retransmissions since the server's last answer
	// on the flow, without those that came before the timeout of the segment before
	// them: segments that were delayed on their way arrive together.
	Retransmits int
	// SentAt is when the newest data, or the last SYN, arrived, FirstCopyAt when the
	// first of Retransmits did, and NextCopyBy when the caller would have sent the
	// next one, if the last still had no answer.
	SentAt, FirstCopyAt, NextCopyBy time.Duration
	// LastSegmentAt is when the last segment arrived.
	LastSegmentAt time.Duration
	// copiedAt is when the newest data, the last SYN, or the last copy of it that
	// counts arrived.
	copiedAt time.Duration
	// synSequence is the sequence number of the flow's SYN, if this entry has seen
	// it, as synSeen says. synCopied is whether it came several times, so that it
	// isn't known which of them was answered.
	synSequence        uint32
	synSeen, synCopied bool
	// dataEnd is the sequence number after the newest data, and answeredEnd is
	// the value that dataEnd had at the server's last answer.
	dataEnd, answeredEnd uint32
	// lastAck is the newest acknowledgement number.
	lastAck uint32
	// newer and older are the neighbours in the order of LastSegmentAt.
	newer, older *Flow[S]
}

// observe processes a segment of the flow.
func (f *Flow[S]) observe(s agatesegment.Segment, now time.Duration, l *Limits) Event {
	f.LastSegmentAt = now
	if s.Opens() {
		return f.observeSYN(s, now, l)
	}
	var e Event
	f.observeAck(s, &e)
	f.observeData(s, now, l, &e)
	if s.Flags.Has(agatesegment.FIN|agatesegment.RST) && f.Phase != Closed {
		f.Phase = Closed
		e.Ended = true
	}
	f.updateRetransmits(e)
	return e
}

// updateRetransmits updates the state that depends on whether the server has
// answered.
func (f *Flow[S]) updateRetransmits(e Event) {
	if e.Answered {
		f.answeredEnd = f.dataEnd
		f.Retransmits = 0
	}
	if e.Unanswered {
		f.Retransmits++
	}
}

// HasSYN reports whether the segment is the flow's SYN, or a copy of it, and this entry
// has seen it before.
func (f *Flow[S]) HasSYN(s agatesegment.Segment) bool {
	return f.synSeen && s.Opens() && s.Sequence == f.synSequence
}

// observeSYN processes a SYN of a known flow.
func (f *Flow[S]) observeSYN(s agatesegment.Segment, now time.Duration, l *Limits) Event {
	f.synSequence, f.synSeen = s.Sequence, true
	if f.Phase != Opening {
		f.Phase = Opening
		f.RequestPending = false
		f.Retransmits = 0
		f.synCopied = false
		f.SentAt, f.copiedAt = now, now
		return Event{}
	}
	f.synCopied = true
	e := f.observeCopy(now, l)
	f.updateRetransmits(e)
	f.SentAt, f.copiedAt = now, now
	return e
}

// nextCopyFactor is the time until the next copy in minimum timeouts: callers may wait
// for longer, and the copy may be delayed.
const nextCopyFactor = 2

// observeCopy processes a segment that carries nothing new.
func (f *Flow[S]) observeCopy(now time.Duration, l *Limits) Event {
	e := Event{Retransmitted: true}
	if now-f.copiedAt >= l.timeout(f.Retransmits) {
		e.Unanswered, e.UnansweredSince = true, f.SentAt
		f.copiedAt = now
		f.NextCopyBy = now + nextCopyFactor*l.timeout(f.Retransmits+1)
		if f.Retransmits == 0 {
			f.FirstCopyAt = now
		}
	}
	return e
}

// observeAck infers from the acknowledgement what the server has sent.
func (f *Flow[S]) observeAck(s agatesegment.Segment, e *Event) {
	switch {
	case f.Phase == Opening:
		if f.synSeen && !f.synCopied {
			e.ExchangeSince = f.SentAt
		}
		f.Phase = Open
		f.dataEnd, f.answeredEnd = s.Sequence, s.Sequence
		f.lastAck = s.Acknowledged
		e.Opened, e.Answered = true, true
	case s.Flags.Has(agatesegment.ACK) && agatesegment.After(s.Acknowledged, f.lastAck):
		e.Answered = true
		e.Responded = f.RequestPending
		if e.Responded {
			e.ResponseSize = s.Acknowledged - f.lastAck
			e.ExchangeSince = f.RequestedAt
		}
		f.lastAck = s.Acknowledged
		f.RequestPending = false
	}
}

// observeData infers from the data whether a request begins, whether the
// segment is a retransmission, and whether the server has acknowledged earlier
// data.
func (f *Flow[S]) observeData(s agatesegment.Segment, now time.Duration, l *Limits, e *Event) {
	if s.Length == 0 || f.Phase == Closed {
		return
	}
	if !agatesegment.After(s.End(), f.dataEnd) {
		c := f.observeCopy(now, l)
		e.Retransmitted, e.Unanswered, e.UnansweredSince = c.Retransmitted, c.Unanswered, c.UnansweredSince
		return
	}
	f.dataEnd = s.End()
	f.SentAt, f.copiedAt = now, now
	if agatesegment.After(f.dataEnd, f.answeredEnd+l.Window) {
		e.Answered = true
	}
	if !f.RequestPending {
		f.RequestPending = true
		f.RequestedAt = now
		f.Requests++
		e.Requested = true
	}
}

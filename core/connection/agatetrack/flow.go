package agatetrack

import (
	"time"

	"agatereach/core/request/agatesegment"
	"agatereach/core/request/agatetuple"
)

// Phase says how far a flow has come.
type Phase string

// The phases of a flow.
const (
	// Opening is a flow whose handshake is not known to be answered.
	Opening Phase = "opening"
	// Open is a flow whose server has answered.
	Open Phase = "open"
	// Closed is a flow that its caller has closed.
	Closed Phase = "closed"
)

// Event says what a segment tells about its flow and its server.
type Event struct {
	// Answered says that the server has shown life since the last segment.
	Answered bool
	// Opened says that the handshake was found to be answered.
	Opened bool
	// Requested says that a request has begun, and Responded that its answer
	// has begun to arrive. Both may be set, for two requests.
	Requested, Responded bool
	// Size is the number of bytes that the acknowledgement of a Responded
	// covers: the answer, or the beginning of a long one.
	Size uint32
	// Repeated says that the segment was sent before, and not answered since
	// the time Since.
	Repeated bool
	// Ended says that the caller has closed the flow.
	Ended bool
	// Since is when the segment that Repeated speaks of was first sent.
	Since time.Duration
}

// Flow is what an entry has inferred about a flow from the caller's segments
// alone. O is what the flow's owner keeps with it.
type Flow[O any] struct {
	// Tuple identifies the flow.
	Tuple agatetuple.Tuple
	// Owner is kept for whoever uses the table.
	Owner O
	// Phase says how far the flow has come.
	Phase Phase
	// Waiting says that a request has no answer yet.
	Waiting bool
	// Asked is when the request that waits began.
	Asked time.Duration
	// Requests is the number of requests seen.
	Requests uint32
	// Repeats is the number of segments sent again since the server last showed
	// life on the flow.
	Repeats int
	// Seen is when the last segment came.
	Seen time.Duration
	// sent is when the newest data, or the first SYN, came.
	sent time.Duration
	// end is the number behind the newest data, and granted the one that end
	// had when the server last showed life.
	end, granted uint32
	// acknowledged is the newest acknowledgement.
	acknowledged uint32
	// newer and older are the neighbours in the order of Seen.
	newer, older *Flow[O]
}

// observe takes in a segment of the flow and returns what it tells. window is
// the number of bytes that a caller may send ahead of the server's
// acknowledgements.
func (f *Flow[O]) observe(s agatesegment.Segment, now time.Duration, window uint32) Event {
	f.Seen = now
	if s.Opens() {
		return f.reopen(now)
	}
	var e Event
	f.acknowledge(s, &e)
	f.data(s, now, window, &e)
	if s.Flags.Has(agatesegment.FIN|agatesegment.RST) && f.Phase != Closed {
		f.Phase = Closed
		e.Ended = true
	}
	f.repeat(e)
	return e
}

// repeat keeps what depends on whether the server has shown life.
func (f *Flow[O]) repeat(e Event) {
	if e.Answered {
		f.granted = f.end
		f.Repeats = 0
	}
	if e.Repeated {
		f.Repeats++
	}
}

// reopen takes in a SYN of a known flow.
func (f *Flow[O]) reopen(now time.Duration) Event {
	if f.Phase != Opening {
		f.Phase = Opening
		f.Waiting = false
		f.Repeats = 0
		f.sent = now
		return Event{}
	}
	e := Event{Repeated: true, Since: f.sent}
	f.Repeats++
	f.sent = now
	return e
}

// acknowledge infers from the acknowledgement what the server has sent.
func (f *Flow[O]) acknowledge(s agatesegment.Segment, e *Event) {
	switch {
	case f.Phase == Opening:
		f.Phase = Open
		f.end, f.granted = s.Sequence, s.Sequence
		f.acknowledged = s.Acknowledged
		e.Opened, e.Answered = true, true
	case s.Flags.Has(agatesegment.ACK) && agatesegment.After(s.Acknowledged, f.acknowledged):
		e.Answered = true
		e.Responded = f.Waiting
		if e.Responded {
			e.Size = s.Acknowledged - f.acknowledged
		}
		f.acknowledged = s.Acknowledged
		f.Waiting = false
	}
}

// data infers from the data whether a request begins or a server is silent.
func (f *Flow[O]) data(s agatesegment.Segment, now time.Duration, window uint32, e *Event) {
	if s.Length == 0 || f.Phase == Closed {
		return
	}
	if !agatesegment.After(s.End(), f.end) {
		e.Repeated = true
		e.Since = f.sent
		return
	}
	f.end = s.End()
	f.sent = now
	if agatesegment.After(f.end, f.granted+window) {
		e.Answered = true
	}
	if !f.Waiting {
		f.Waiting = true
		f.Asked = now
		f.Requests++
		e.Requested = true
	}
}

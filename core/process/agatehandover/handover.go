// Package agatehandover moves the guard records of a process that stops as
// planned to one successor. The successor acts on them only after the process
// has said, in its last claim, that they are its.
package agatehandover

import (
	"time"

	"agatereach/core/process/agatemessage"
	"agatereach/core/process/agatesend"
	"agatereach/core/process/agatetransfer"
)

const (
	// receiptTimeout is how long a successor has to confirm a part.
	receiptTimeout = 2 * time.Second
	// incomingTimeout is how long records wait for the last claim.
	incomingTimeout = time.Minute
	// maxIncoming bounds the records that wait, in bytes.
	maxIncoming = 64 << 20
)

// Phase says how far a hand-over has come.
type Phase string

// The phases of a hand-over.
const (
	// Idle is before the hand-over.
	Idle Phase = "idle"
	// Sending is while a successor is given the records.
	Sending Phase = "sending"
	// Sent is when a successor holds all records but does not act on them.
	Sent Phase = "sent"
	// Committed is when the successor has received the last claim.
	Committed Phase = "committed"
	// Failed is when no successor has taken the records.
	Failed Phase = "failed"
)

// Handover is a process's part in hand-overs, both ways. It is for one goroutine.
type Handover struct {
	// self is the process's boot id.
	self uint64
	// phase is the phase of the process's own hand-over.
	phase Phase
	// records is what is handed over, cut into parts.
	records [][]byte
	// successors holds the peers to try, the best first; the first one is
	// being tried.
	successors []uint64
	// part is the index of the part that has no receipt yet.
	part int
	// at is when it was sent.
	at time.Time
	// incoming holds what other processes are handing over, by boot id.
	incoming map[uint64]*incoming
	// size is the size of all incoming records in bytes.
	size int
}

// incoming is a hand-over that another process has begun.
type incoming struct {
	records [][]byte
	size    int
	next    int
	// whole says that the last part has come.
	whole bool
	at    time.Time
}

// New returns the hand-overs of the process with the given boot id.
func New(self uint64) *Handover {
	return &Handover{self: self, phase: Idle, incoming: make(map[uint64]*incoming)}
}

// Phase returns how far the process's own hand-over has come.
func (h *Handover) Phase() Phase { return h.phase }

// Successor returns the peer that has been given the records, 0 for none.
func (h *Handover) Successor() uint64 {
	if len(h.successors) == 0 {
		return 0
	}
	return h.successors[0]
}

// Start begins the process's own hand-over to the first of the successors that
// takes the records. Each record has at most agatetransfer.MaxRecord bytes.
func (h *Handover) Start(now time.Time, records [][]byte, successors []uint64) []agatesend.Send {
	h.records, h.successors = records, successors
	h.phase = Sending
	return h.try(now)
}

// try begins anew with the first successor, or fails if there is none.
func (h *Handover) try(now time.Time) []agatesend.Send {
	h.part = 0
	if len(h.successors) == 0 {
		h.phase = Failed
		return nil
	}
	return h.send(now)
}

// parts returns the number of parts, at least 1.
func (h *Handover) parts() int {
	return max((len(h.records)+agatetransfer.MaxRecords-1)/agatetransfer.MaxRecords, 1)
}

// send sends the current part, which has no records when it is the commit.
func (h *Handover) send(now time.Time) []agatesend.Send {
	h.at = now
	first := min(h.part*agatetransfer.MaxRecords, len(h.records))
	last := min(first+agatetransfer.MaxRecords, len(h.records))
	transfer := &agatetransfer.Transfer{
		Boot: h.self, Index: h.part, Last: h.part == h.parts()-1, Records: h.records[first:last],
	}
	message := &agatemessage.Message{Kind: agatemessage.Transfer, Transfer: transfer}
	return []agatesend.Send{{To: h.successors[:1], Message: message}}
}

// Receipt takes a peer's confirmation of a part.
func (h *Handover) Receipt(now time.Time, from uint64, t *agatetransfer.Transfer) []agatesend.Send {
	if from != h.Successor() || t.Boot != h.self || t.Index != h.part {
		return nil
	}
	switch {
	case h.phase == Sent:
		h.phase = Committed
	case h.phase != Sending:
	case t.Refused:
		return h.next(now)
	case h.part == h.parts()-1:
		h.phase = Sent
		h.part++
	default:
		h.part++
		return h.send(now)
	}
	return nil
}

// Commit asks the successor to confirm all messages before this one: the last
// claim must have been sent to it.
func (h *Handover) Commit(now time.Time) []agatesend.Send { return h.send(now) }

// next tries the next successor.
func (h *Handover) next(now time.Time) []agatesend.Send {
	h.successors = h.successors[1:]
	return h.try(now)
}

// Lost says that the link to a peer has ended.
func (h *Handover) Lost(now time.Time, boot uint64) []agatesend.Send {
	if boot != h.Successor() {
		return nil
	}
	switch h.phase {
	case Sending:
		return h.next(now)
	case Sent:
		h.phase = Committed
	}
	return nil
}

// Tick gives up a successor that does not confirm, and records that no last
// claim came for.
func (h *Handover) Tick(now time.Time) []agatesend.Send {
	for boot, in := range h.incoming {
		if now.Sub(in.at) > incomingTimeout {
			h.drop(boot)
		}
	}
	if now.Sub(h.at) < receiptTimeout {
		return nil
	}
	return h.Lost(now, h.Successor())
}

func (h *Handover) drop(boot uint64) {
	if in, found := h.incoming[boot]; found {
		h.size -= in.size
		delete(h.incoming, boot)
	}
}

// Transfer takes a part of another process's records, or its commit, and
// confirms it.
func (h *Handover) Transfer(now time.Time, from uint64, t *agatetransfer.Transfer) []agatesend.Send {
	receipt := &agatetransfer.Transfer{Boot: t.Boot, Index: t.Index, Last: t.Last}
	receipt.Refused = from != t.Boot || h.phase != Idle || !h.take(now, t)
	return []agatesend.Send{{To: []uint64{from}, Message: &agatemessage.Message{Kind: agatemessage.Receipt, Transfer: receipt}}}
}

// take keeps the part's records and reports whether they fit what came before.
func (h *Handover) take(now time.Time, t *agatetransfer.Transfer) bool {
	if t.Index == 0 {
		h.drop(t.Boot)
		h.incoming[t.Boot] = &incoming{}
	}
	in, found := h.incoming[t.Boot]
	if !found || in.whole {
		return len(t.Records) == 0
	}
	size := 0
	for _, r := range t.Records {
		size += len(r)
	}
	if t.Index != in.next || h.size+size > maxIncoming {
		h.drop(t.Boot)
		return false
	}
	in.at = now
	in.next++
	in.whole = t.Last
	in.size += size
	h.size += size
	in.records = append(in.records, t.Records...)
	return true
}

// Claimed returns the records of the process boot, whose last claim names this
// process as its successor, and whether they are here in whole.
func (h *Handover) Claimed(boot uint64) ([][]byte, bool) {
	in, found := h.incoming[boot]
	if !found || !in.whole {
		return nil, false
	}
	h.drop(boot)
	return in.records, true
}

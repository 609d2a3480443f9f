// Package agatebatch defines a run of tickets as the platform publishes it and
// as entries pass it on.
package agatebatch

import (
	"encoding/json"
	"fmt"

	"agatereach/core/request/agatecodec"
	"agatereach/core/version/agaterefusal"
	"agatereach/core/version/agateticket"
)

// SpanError reports a batch whose bounds contradict each other or its tickets.
type SpanError struct {
	// After and Upto are the batch's bounds.
	After, Upto uint64
	// Ticket is a number outside of them or out of order, 0 if the bounds
	// contradict each other.
	Ticket uint64
}

// Error names the bounds and the ticket.
func (e *SpanError) Error() string {
	return fmt.Sprintf("batch after %d up to %d does not fit ticket %d", e.After, e.Upto, e.Ticket)
}

// Batch holds the tickets after one number up to another. A ticket whose every
// object has been set anew by a later one up to Upto may be left out, and so
// may such objects of a ticket.
type Batch struct {
	// Era is the era of the platform, which rises each time the platform has lost
	// tickets that it had accepted; 0 if it is not known.
	Era uint32 `json:"era,omitempty"`
	// After is the number behind which the batch starts.
	After uint64 `json:"after"`
	// Upto is the number of the last ticket that the batch covers, not less
	// than After.
	Upto uint64 `json:"upto"`
	// Head is the number of the newest ticket that the sender knows of, not
	// less than Upto.
	Head uint64 `json:"head"`
	// Tickets holds tickets of rising numbers above After up to Upto.
	Tickets []agateticket.Ticket `json:"tickets,omitempty"`
	// Refused holds tickets that failed their checks at the entry that read
	// them; the platform leaves it empty.
	Refused []agaterefusal.Refusal `json:"refused,omitempty"`
}

// Check returns a *SpanError unless the batch keeps its invariants.
func (b *Batch) Check() error {
	if b.Upto < b.After || b.Head < b.Upto {
		return &SpanError{After: b.After, Upto: b.Upto}
	}
	last := b.After
	for i := range b.Tickets {
		number := b.Tickets[i].Number
		if number <= last || number > b.Upto {
			return &SpanError{After: b.After, Upto: b.Upto, Ticket: number}
		}
		last = number
	}
	return nil
}

// plain has Batch's fields without its decoders.
type plain Batch

// UnmarshalJSON decodes and checks the batch.
func (b *Batch) UnmarshalJSON(text []byte) error {
	if err := json.Unmarshal(text, (*plain)(b)); err != nil {
		return err
	}
	return b.Check()
}

// UnmarshalCBOR decodes and checks the batch.
func (b *Batch) UnmarshalCBOR(item []byte) error {
	if err := (agatecodec.Codec{}).Decode("batch", item, (*plain)(b)); err != nil {
		return err
	}
	return b.Check()
}

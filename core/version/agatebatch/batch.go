// Package agatebatch defines a run of tickets as the platform publishes it and
// as entries pass it on.
package agatebatch

import (
	"encoding/json"
	"fmt"

	"agatereach/core/request/agatecodec"
	"agatereach/core/version/agaterefusal"
	"agatereach/core/version/agateserial"
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
	// Era is the platform's era, which rises each time the platform has lost tickets that
	// it had accepted; 0 counts as 1. Bases holds, for each era from the second on, the
	// number of the last ticket that was kept from the era before. Both are empty in
	// batches between entries, whose numbers are packed serials.
	Era   uint32   `json:"era,omitempty"`
	Bases []uint64 `json:"bases,omitempty"`
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

// EraError reports a batch whose era and bases contradict each other or its numbers.
type EraError struct {
	// Era is the era of the batch, and Bases the number of its bases.
	Era   uint32
	Bases int
}

// Error names both.
func (e *EraError) Error() string {
	return fmt.Sprintf("batch of era %d has %d bases", e.Era, e.Bases)
}

// Serial returns the serial of a number of the platform, which is of the last era whose
// base it is above.
func (b *Batch) Serial(number uint64) agateserial.Serial {
	for era := len(b.Bases); era > 0; era-- {
		if number > b.Bases[era-1] {
			return agateserial.Serial{Era: uint32(era) + 1, Number: number}
		}
	}
	return agateserial.Serial{Era: 1, Number: number}
}

// WithSerials returns a batch of the platform with packed serials in place of its numbers.
// The error is an *EraError.
func (b *Batch) WithSerials() (*Batch, error) {
	if len(b.Bases) != int(max(b.Era, 1))-1 || !(agateserial.Serial{Era: b.Era, Number: b.Head}).Valid() {
		return nil, &EraError{Era: b.Era, Bases: len(b.Bases)}
	}
	pack := func(number uint64) uint64 { return b.Serial(number).Pack() }
	next := &Batch{After: pack(b.After), Upto: pack(b.Upto), Head: pack(b.Head), Tickets: make([]agateticket.Ticket, len(b.Tickets))}
	for i, ticket := range b.Tickets {
		next.Tickets[i] = ticket.WithNumber(pack(ticket.Number))
	}
	for _, refusal := range b.Refused {
		refusal.Ticket = pack(refusal.Ticket)
		next.Refused = append(next.Refused, refusal)
	}
	return next, nil
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

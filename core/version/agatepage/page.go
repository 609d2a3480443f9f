// Package agatepage defines one bounded part of a snapshot that an entry gives
// to another one of its data centre.
package agatepage

import (
	"fmt"

	"agatereach/core/request/agatecodec"
	"agatereach/core/version/agaterefusal"
	"agatereach/core/version/agatesummary"
	"agatereach/core/version/agateticket"
)

// SpanError reports a page whose numbers contradict each other.
type SpanError struct {
	// Upto is the number up to which the snapshot holds every ticket.
	Upto uint64
	// Ticket is a number above it, 0 if the bounds contradict each other.
	Ticket uint64
}

// Error names the numbers.
func (e *SpanError) Error() string {
	return fmt.Sprintf("page of a snapshot up to %d does not fit ticket %d", e.Upto, e.Ticket)
}

// Page holds some of a snapshot's objects, under the numbers of the tickets
// that set them. Objects of one ticket may be spread over several pages.
type Page struct {
	// Index counts the pages of a snapshot from 0.
	Index int `json:"index"`
	// Last says that no page follows.
	Last bool `json:"last,omitempty"`
	// Upto is the number up to which the snapshot holds every ticket.
	Upto uint64 `json:"upto"`
	// Head is the newest ticket number that the sender has heard of.
	Head uint64 `json:"head"`
	// Tickets holds objects in full; no number is above Upto.
	Tickets []agateticket.Ticket `json:"tickets,omitempty"`
	// Summaries holds backend servers of other data centres.
	Summaries []agatesummary.Summary `json:"summaries,omitempty"`
	// Refused holds tickets that failed their checks.
	Refused []agaterefusal.Refusal `json:"refused,omitempty"`
}

// Check returns a *SpanError unless the page keeps its invariants.
func (p *Page) Check() error {
	if p.Index < 0 || p.Head < p.Upto {
		return &SpanError{Upto: p.Upto}
	}
	for i := range p.Tickets {
		if p.Tickets[i].Number > p.Upto {
			return &SpanError{Upto: p.Upto, Ticket: p.Tickets[i].Number}
		}
	}
	for i := range p.Summaries {
		if p.Summaries[i].Ticket > p.Upto {
			return &SpanError{Upto: p.Upto, Ticket: p.Summaries[i].Ticket}
		}
	}
	return nil
}

// plain has Page's fields without its decoder.
type plain Page

// UnmarshalCBOR decodes and checks the page.
func (p *Page) UnmarshalCBOR(b []byte) error {
	if err := (agatecodec.Codec{}).Decode("page", b, (*plain)(p)); err != nil {
		return err
	}
	return p.Check()
}

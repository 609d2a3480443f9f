package agateguard

import (
	"fmt"
	"slices"
	"time"

	"agatereach/core/connection/agatewindow"
	"agatereach/core/request/agatecodec"
	"agatereach/core/request/agateoutcome"
	"agatereach/core/request/agatereason"
)

const (
	// MaxRecord is the size of an exported record when encoded, in bytes.
	MaxRecord = 512
	// recordHead and outcomeHead are the most that a record takes besides its
	// outcomes, and an outcome besides its answer, in bytes.
	recordHead  = 96
	outcomeHead = 40
)

// RecordError reports a record that breaks its invariants.
type RecordError struct {
	// Flow is the number of the record's flow.
	Flow uint64
	// Field names the field as in the wire format.
	Field string
}

// Error names the flow and the field.
func (e *RecordError) Error() string {
	return fmt.Sprintf("guard record of flow %d: field %s is not valid", e.Flow, e.Field)
}

// Key names a flow.
type Key struct {
	// Service is the number of the flow's service.
	Service uint32
	// Flow is the flow's number.
	Flow uint64
}

// Outcome is the recorded end of a request.
type Outcome struct {
	_ struct{} `cbor:",toarray"`
	// Number is the request's number.
	Number uint64
	// Outcome is None if the request was answered.
	Outcome agateoutcome.Outcome
	// Reason says why the request was refused.
	Reason agatereason.Reason
	// Answer is the datagram with the answer; empty unless Outcome is None.
	Answer []byte
}

// size returns the number of bytes that the outcome is counted for.
func (o *Outcome) size() int { return outcomeSize + len(o.Answer) }

// Record is what a guard hands to its successor about one flow. A flow with
// many recorded outcomes takes several records. It is written as a CBOR array in
// the order of its fields.
type Record struct {
	_ struct{} `cbor:",toarray"`
	// Boot is the boot id that the flow's tokens name, not 0.
	Boot uint64
	// Service and Flow name the flow; neither is 0.
	Service uint32
	Flow    uint64
	// Opened is when the record was made, in seconds since 1970.
	Opened int64
	// Passed holds the numbers that have been taken on.
	Passed agatewindow.Window
	// Running holds the numbers of Passed that have not ended.
	Running agatewindow.Window
	// Until is when the last of Running has ended at the latest, in
	// milliseconds since 1970.
	Until int64
	// Outcomes holds the ends of requests, each number at most once.
	Outcomes []Outcome
}

// Check returns a *RecordError unless the record keeps its invariants.
func (r *Record) Check() error {
	switch {
	case r.Boot == 0:
		return &RecordError{Flow: r.Flow, Field: "boot"}
	case r.Service == 0:
		return &RecordError{Flow: r.Flow, Field: "service"}
	case r.Flow == 0:
		return &RecordError{Flow: r.Flow, Field: "flow"}
	case len(r.Outcomes) > agatewindow.Size:
		return &RecordError{Flow: r.Flow, Field: "outcomes"}
	}
	seen := agatewindow.Window{}
	for i := range r.Outcomes {
		number := r.Outcomes[i].Number
		if !r.Passed.Has(number) || seen.Has(number) {
			return &RecordError{Flow: r.Flow, Field: "outcomes"}
		}
		seen = seen.With(number)
	}
	return nil
}

// plain has Record's fields without its decoder.
type plain Record

// UnmarshalCBOR decodes and checks the record.
func (r *Record) UnmarshalCBOR(b []byte) error {
	if err := (agatecodec.Codec{}).Decode("guard record", b, (*plain)(r)); err != nil {
		return err
	}
	return r.Check()
}

// flow is a guarded flow.
type flow struct {
	key  Key
	boot uint64
	// opened is when the record was made, in seconds since 1970.
	opened int64
	// touched is when the flow was used last, in milliseconds since 1970.
	touched int64
	passed  agatewindow.Window
	running agatewindow.Window
	// until is when the last of running has ended, in milliseconds since 1970.
	until int64
	// outcomes holds the recorded ends inside the window; nil for none.
	outcomes []Outcome
	// older and newer are the neighbours in the order of last use.
	older, newer *flow
}

func (f *flow) outcome(number uint64) (Outcome, bool) {
	for i := range f.outcomes {
		if f.outcomes[i].Number == number {
			return f.outcomes[i], true
		}
	}
	return Outcome{}, false
}

// records appends the flow's records, each of which is at most MaxRecord bytes
// when encoded. An answer that fits into none is left out.
func (f *flow) records(list []Record) []Record {
	r := Record{
		Boot: f.boot, Service: f.key.Service, Flow: f.key.Flow, Opened: f.opened,
		Passed: f.passed, Running: f.running, Until: f.until,
	}
	room := MaxRecord - recordHead
	first := 0
	for i := range f.outcomes {
		size := outcomeHead + len(f.outcomes[i].Answer)
		if size > MaxRecord-recordHead {
			r.Outcomes = slices.Clone(f.outcomes[first:i])
			list, first, room = append(list, r), i+1, MaxRecord-recordHead
			continue
		}
		if size > room {
			r.Outcomes = slices.Clone(f.outcomes[first:i])
			list, first, room = append(list, r), i, MaxRecord-recordHead
		}
		room -= size
	}
	r.Outcomes = slices.Clone(f.outcomes[first:])
	return append(list, r)
}

// busy reports whether a request of the flow may still be running.
func (f *flow) busy(now time.Time) bool {
	return !f.running.Empty() && now.UnixMilli() < f.until
}

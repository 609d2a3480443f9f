// Package agateticket defines the change ticket: a numbered document with the
// whole new state of every object that it touches.
package agateticket

import (
	"encoding/json"
	"fmt"

	"agatereach/core/request/agatecodec"
	"agatereach/core/version/agatecentre"
	"agatereach/core/version/agatekeyring"
	"agatereach/core/version/agateruleset"
	"agatereach/core/version/agateserver"
	"agatereach/core/version/agateservice"
	"agatereach/core/version/agateteam"
)

// MaxSize is the longest encoded ticket that is accepted, in bytes.
const MaxSize = 1 << 20

// NumberError reports a ticket without a number.
type NumberError struct{}

// Error says that the number is missing.
func (*NumberError) Error() string { return "ticket has no number" }

// EmptyError reports a ticket that touches nothing.
type EmptyError struct {
	// Ticket is the ticket's number.
	Ticket uint64
}

// Error names the ticket.
func (e *EmptyError) Error() string { return fmt.Sprintf("ticket %d touches no object", e.Ticket) }

// RepeatError reports a ticket that names an object twice.
type RepeatError struct {
	// Ticket is the ticket's number.
	Ticket uint64
	// Object names the object.
	Object string
}

// Error names the ticket and the object.
func (e *RepeatError) Error() string {
	return fmt.Sprintf("ticket %d names %s twice", e.Ticket, e.Object)
}

// ContentError reports a ticket with an object that is not valid.
type ContentError struct {
	// Ticket is the ticket's number.
	Ticket uint64
	// Err is the object's error.
	Err error
}

// Error names the ticket and the object's error.
func (e *ContentError) Error() string { return fmt.Sprintf("ticket %d: %v", e.Ticket, e.Err) }

// Unwrap returns the object's error.
func (e *ContentError) Unwrap() error { return e.Err }

// Ticket is one accepted change. It is immutable.
type Ticket struct {
	// Number orders the tickets; not 0.
	Number uint64 `json:"number"`
	// Accepted is when the platform accepted the ticket, in milliseconds
	// since 1970.
	Accepted int64 `json:"accepted"`
	// Note is for people.
	Note string `json:"note,omitempty"`
	// Centres holds data centres, each at most once.
	Centres []agatecentre.Centre `json:"centres,omitempty"`
	// Services holds services, each at most once.
	Services []agateservice.Service `json:"services,omitempty"`
	// Servers holds backend servers, each at most once.
	Servers []agateserver.Server `json:"servers,omitempty"`
	// Rules holds rule sets, at most one for a service.
	Rules []agateruleset.Ruleset `json:"rules,omitempty"`
	// Teams holds teams, each at most once.
	Teams []agateteam.Team `json:"teams,omitempty"`
	// Ring is the key ring; nil when the ticket does not touch it.
	Ring *agatekeyring.Ring `json:"ring,omitempty"`
}

// WithNumber returns a copy with the given number.
func (t Ticket) WithNumber(number uint64) Ticket {
	t.Number = number
	return t
}

// Objects returns the number of objects that the ticket touches.
func (t *Ticket) Objects() int {
	count := len(t.Centres) + len(t.Services) + len(t.Servers) + len(t.Rules) + len(t.Teams)
	if t.Ring != nil {
		count++
	}
	return count
}

// Check returns a typed error unless the ticket keeps its invariants.
func (t *Ticket) Check() error {
	if t.Number == 0 {
		return &NumberError{}
	}
	if t.Objects() == 0 {
		return &EmptyError{Ticket: t.Number}
	}
	checks := []error{
		checkAll(t.Number, "data centre", t.Centres, agatecentre.Centre.Key, (*agatecentre.Centre).Check),
		checkAll(t.Number, "service", t.Services, agateservice.Service.Key, (*agateservice.Service).Check),
		checkAll(t.Number, "backend server", t.Servers, agateserver.Server.Key, (*agateserver.Server).Check),
		checkAll(t.Number, "rules of service", t.Rules, agateruleset.Ruleset.Key, (*agateruleset.Ruleset).Check),
		checkAll(t.Number, "team", t.Teams, agateteam.Team.Key, (*agateteam.Team).Check),
	}
	for _, err := range checks {
		if err != nil {
			return err
		}
	}
	return t.checkRing()
}

func (t *Ticket) checkRing() error {
	if t.Ring == nil {
		return nil
	}
	if err := t.Ring.Check(); err != nil {
		return &ContentError{Ticket: t.Number, Err: err}
	}
	return nil
}

// checkAll checks each object and that no two share a key.
func checkAll[K comparable, V any](ticket uint64, what string, objects []V, key func(V) K, check func(*V) error) error {
	seen := make(map[K]struct{}, len(objects))
	for i := range objects {
		if err := check(&objects[i]); err != nil {
			return &ContentError{Ticket: ticket, Err: err}
		}
		k := key(objects[i])
		if _, found := seen[k]; found {
			return &RepeatError{Ticket: ticket, Object: fmt.Sprintf("%s %v", what, k)}
		}
		seen[k] = struct{}{}
	}
	return nil
}

// plain has Ticket's fields without its decoders.
type plain Ticket

// UnmarshalJSON decodes and checks the ticket.
func (t *Ticket) UnmarshalJSON(b []byte) error {
	if err := json.Unmarshal(b, (*plain)(t)); err != nil {
		return err
	}
	return t.Check()
}

// UnmarshalCBOR decodes and checks the ticket.
func (t *Ticket) UnmarshalCBOR(b []byte) error {
	if err := (agatecodec.Codec{}).Decode("ticket", b, (*plain)(t)); err != nil {
		return err
	}
	return t.Check()
}

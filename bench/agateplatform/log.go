// Package agateplatform is a stand-in for the platform: a configuration service
// that is only read, and a list of VMs that lags.
package agateplatform

import (
	"encoding/json"
	"fmt"
	"slices"

	"agatereach/core/version/agatebatch"
	"agatereach/core/version/agatecentre"
	"agatereach/core/version/agateruleset"
	"agatereach/core/version/agateserver"
	"agatereach/core/version/agateservice"
	"agatereach/core/version/agateteam"
	"agatereach/core/version/agateticket"
)

// Log holds the accepted tickets. It is not safe for concurrent use.
type Log struct {
	// tickets holds ticket i+1 at place i.
	tickets []agateticket.Ticket
}

// Head returns the number of the newest ticket, 0 for none.
func (l *Log) Head() uint64 { return uint64(len(l.tickets)) }

// Truncate forgets all tickets above the given number.
func (l *Log) Truncate(head uint64) { l.tickets = l.tickets[:min(head, l.Head())] }

// Append accepts the ticket under the next number, which it returns. The
// errors are those of the ticket's check.
func (l *Log) Append(t agateticket.Ticket) (uint64, error) {
	t = t.WithNumber(l.Head() + 1)
	if err := t.Check(); err != nil {
		return 0, err
	}
	l.tickets = append(l.tickets, t)
	return t.Number, nil
}

// key names an object of a ticket.
type key struct {
	kind string
	id   string
}

// Batch returns the tickets above after up to head, without the objects that
// a later one of them sets anew, oldest first and in at most limit encoded
// bytes (but with one ticket at least).
func (l *Log) Batch(after, head uint64, limit int) *agatebatch.Batch {
	head = min(head, l.Head())
	b := &agatebatch.Batch{After: after, Upto: after, Head: max(head, after)}
	if after >= head {
		return b
	}
	newest := l.newest(after, head)
	size := 0
	for _, ticket := range l.tickets[after:head] {
		kept := prune(ticket, newest)
		if kept.Objects() > 0 {
			size += encodedSize(&kept)
			if size > limit && len(b.Tickets) > 0 {
				return b
			}
			b.Tickets = append(b.Tickets, kept)
		}
		b.Upto = ticket.Number
	}
	return b
}

func encodedSize(t *agateticket.Ticket) int {
	text, err := json.Marshal(t)
	if err != nil {
		return 0
	}
	return len(text) + 1
}

// newest returns for each object the number of the last ticket above after up
// to head that sets it.
func (l *Log) newest(after, head uint64) map[key]uint64 {
	newest := make(map[key]uint64)
	for i := range l.tickets[after:head] {
		t := &l.tickets[after:head][i]
		mark(newest, t.Number, "centre", t.Centres, agatecentre.Centre.Key)
		mark(newest, t.Number, "service", t.Services, agateservice.Service.Key)
		mark(newest, t.Number, "server", t.Servers, agateserver.Server.Key)
		mark(newest, t.Number, "rules", t.Rules, agateruleset.Ruleset.Key)
		mark(newest, t.Number, "team", t.Teams, agateteam.Team.Key)
		if t.Ring != nil {
			newest[key{kind: "ring"}] = t.Number
		}
	}
	return newest
}

// mark notes the ticket's number for each of its objects of one kind.
func mark[K comparable, V any](newest map[key]uint64, number uint64, kind string, objects []V, id func(V) K) {
	for _, object := range objects {
		newest[key{kind: kind, id: fmt.Sprint(id(object))}] = number
	}
}

// prune returns the ticket without the objects that a later ticket sets.
func prune(t agateticket.Ticket, newest map[key]uint64) agateticket.Ticket {
	t.Centres = keep(newest, t.Number, "centre", t.Centres, agatecentre.Centre.Key)
	t.Services = keep(newest, t.Number, "service", t.Services, agateservice.Service.Key)
	t.Servers = keep(newest, t.Number, "server", t.Servers, agateserver.Server.Key)
	t.Rules = keep(newest, t.Number, "rules", t.Rules, agateruleset.Ruleset.Key)
	t.Teams = keep(newest, t.Number, "team", t.Teams, agateteam.Team.Key)
	if newest[key{kind: "ring"}] != t.Number {
		t.Ring = nil
	}
	return t
}

// keep returns the objects of one kind whose last ticket has the given number.
func keep[K comparable, V any](newest map[key]uint64, number uint64, kind string, objects []V, id func(V) K) []V {
	return slices.DeleteFunc(slices.Clone(objects), func(object V) bool {
		return newest[key{kind: kind, id: fmt.Sprint(id(object))}] != number
	})
}

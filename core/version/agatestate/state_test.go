package agatestate_test

import (
	"net/netip"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"agatereach/core/version/agatebatch"
	"agatereach/core/version/agatecentre"
	"agatereach/core/version/agatekeyring"
	"agatereach/core/version/agateruleset"
	"agatereach/core/version/agateserver"
	"agatereach/core/version/agateservice"
	"agatereach/core/version/agatestate"
	"agatereach/core/version/agateteam"
	"agatereach/core/version/agateticket"
)

var address = netip.MustParseAddrPort("10.0.0.1:80")

// drawTickets draws tickets 1, 2, ... about a few objects.
func drawTickets(t *rapid.T) []agateticket.Ticket {
	tickets := make([]agateticket.Ticket, rapid.IntRange(1, 30).Draw(t, "tickets"))
	for i := range tickets {
		number := uint64(i + 1)
		id := rapid.Uint32Range(1, 4).Draw(t, "object")
		tickets[i] = agateticket.Ticket{Number: number}
		for _, kind := range rapid.SliceOfNDistinct(rapid.IntRange(0, 5), 1, 6, rapid.ID).Draw(t, "kinds") {
			addObject(&tickets[i], kind, id, number)
		}
	}
	return tickets
}

// addObject adds an object of a kind whose content tells its ticket.
func addObject(t *agateticket.Ticket, kind int, id uint32, number uint64) {
	switch kind {
	case 0:
		t.Centres = []agatecentre.Centre{{ID: uint16(id), Name: "a", Region: "r", Distances: []agatecentre.Distance{{Centre: 9, Micros: uint32(number)}}}}
	case 1:
		t.Services = []agateservice.Service{{ID: id, Name: "s", State: agateservice.Up, Team: "t", Deadline: uint32(number), MaxDeadline: 1000}}
	case 2:
		t.Servers = []agateserver.Server{{
			ID: id, Service: 1, Incarnation: number, Address: address, Health: address,
			Centre: uint16(id%2) + 1, Slots: 1, State: agateserver.Up,
		}}
	case 3:
		t.Rules = []agateruleset.Ruleset{{Service: id, Default: agateruleset.Allow, Rules: []agateruleset.Rule{{Customer: uint32(number), Effect: agateruleset.Deny}}}}
	case 4:
		t.Teams = []agateteam.Team{{Name: string(rune('a' + id)), Share: uint32(number)}}
	case 5:
		t.Ring = &agatekeyring.Ring{Keys: []agatekeyring.Key{{ID: uint8(number)}}, SigningKeyID: uint8(number)}
	}
}

func batchOf(tickets ...agateticket.Ticket) *agatebatch.Batch {
	return &agatebatch.Batch{After: tickets[0].Number - 1, Upto: tickets[len(tickets)-1].Number, Tickets: tickets}
}

// numbers returns the ticket number of every object that is held.
func numbers(s *agatestate.State) map[[2]any]uint64 {
	held := make(map[[2]any]uint64)
	for item := range s.Centres().All() {
		held[[2]any{"centre", item.Key}] = item.Ticket
	}
	for item := range s.Services().All() {
		held[[2]any{"service", item.Key}] = item.Ticket
	}
	for item := range s.Servers().All() {
		held[[2]any{"server", item.Key}] = item.Ticket
	}
	for item := range s.Remotes().All() {
		held[[2]any{"server", item.Key}] = item.Ticket
	}
	for item := range s.Rules().All() {
		held[[2]any{"rules", item.Key}] = item.Ticket
	}
	for item := range s.Teams().All() {
		held[[2]any{"team", item.Key}] = item.Ticket
	}
	if _, number := s.RingTicket(); number != 0 {
		held[[2]any{"ring", 0}] = number
	}
	return held
}

// TestAnyOrderSameState merges tickets in order, and in any other order with
// repetitions; no object may ever go back to an earlier ticket.
func TestAnyOrderSameState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tickets := drawTickets(t)
		want := agatestate.New(1)
		for _, ticket := range tickets {
			want = want.With(batchOf(ticket))
		}
		sequence := rapid.Permutation(append(slices.Clone(tickets), rapid.SliceOfN(rapid.SampledFrom(tickets), 0, 20).Draw(t, "repeated")...)).Draw(t, "order")
		got := agatestate.New(1)
		for _, ticket := range sequence {
			next := got.With(batchOf(ticket))
			held := numbers(next)
			for object, number := range numbers(got) {
				if held[object] < number {
					t.Fatalf("%v went back from ticket %d to %d", object, number, held[object])
				}
			}
			if next.Upto() < got.Upto() || next.Head() < next.Upto() {
				t.Fatalf("upto %d after %d, head %d", next.Upto(), got.Upto(), next.Head())
			}
			got = next
		}
		if got.Digest() != want.Digest() {
			t.Fatalf("digest %x, want %x", got.Digest(), want.Digest())
		}
		for object, number := range numbers(want) {
			if numbers(got)[object] != number {
				t.Fatalf("%v of ticket %d, want %d", object, numbers(got)[object], number)
			}
		}
	})
}

// TestCompactedSameState leaves out objects that later tickets set anew.
func TestCompactedSameState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tickets := drawTickets(t)
		whole := agatestate.New(1).With(batchOf(tickets...))
		last := make(map[uint32]int)
		for i, ticket := range tickets {
			for _, server := range ticket.Servers {
				last[server.ID] = i
			}
		}
		compacted := slices.Clone(tickets)
		for i := range compacted {
			compacted[i].Servers = slices.DeleteFunc(slices.Clone(compacted[i].Servers), func(s agateserver.Server) bool { return last[s.ID] != i })
		}
		if agatestate.New(1).With(batchOf(compacted...)).Digest() != whole.Digest() {
			t.Fatal("compacted tickets lead to another state")
		}
	})
}

// TestDigest compares states of different data centres, and a state with one
// that lacks a ticket.
func TestDigest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tickets := drawTickets(t)
		state := agatestate.New(1).With(batchOf(tickets...))
		if other := agatestate.New(2).With(batchOf(tickets...)); other.Digest() != state.Digest() {
			t.Fatal("the digest depends on the data centre")
		}
		lost := rapid.IntRange(0, len(tickets)-1).Draw(t, "lost")
		rest := agatestate.New(1).With(&agatebatch.Batch{Tickets: slices.Delete(slices.Clone(tickets), lost, lost+1)})
		same := true
		for object, number := range numbers(state) {
			same = same && numbers(rest)[object] == number
		}
		if same != (rest.Digest() == state.Digest()) {
			t.Fatalf("states are equal: %v, digests are equal: %v", same, rest.Digest() == state.Digest())
		}
	})
}

func TestUptoNeedsNoGap(t *testing.T) {
	s := agatestate.New(1).With(&agatebatch.Batch{After: 0, Upto: 3, Head: 7})
	s = s.With(&agatebatch.Batch{After: 4, Upto: 6, Head: 6})
	if s.Upto() != 3 || s.Lag() != 4 {
		t.Errorf("upto %d, lag %d after a gap", s.Upto(), s.Lag())
	}
	s = s.With(&agatebatch.Batch{After: 2, Upto: 6, Head: 6}).WithHead(5)
	if s.Upto() != 6 || s.Lag() != 1 {
		t.Errorf("upto %d, lag %d", s.Upto(), s.Lag())
	}
}

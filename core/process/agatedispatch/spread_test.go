package agatedispatch_test

import (
	"testing"
	"time"

	"agatereach/core/process/agatedispatch"
	"agatereach/core/process/agatepeers"
	"agatereach/core/request/agateclass"
	"agatereach/core/request/agateheader"
	"agatereach/core/request/agatekind"
	"agatereach/core/version/agatecentre"
	"agatereach/core/version/agateserver"
	"agatereach/core/version/agateticket"
)

// TestOpensBalancedToNearCentre gives a near data centre three times the
// servers for the same number of entries and checks that half of the opens that
// arrive here are relayed there.
func TestOpensBalancedToNearCentre(t *testing.T) {
	const neighbour = 2
	tests := []struct {
		name             string
		micros           uint32
		state            agatepeers.State
		minAway, maxAway int
	}{
		{"near", 500, agatepeers.Live, 400, 600},
		{"far", 20_000, agatepeers.Live, 0, 0},
		{"suspected", 500, agatepeers.Suspect, 0, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := newFixture(t)
			own := len(viewOf(baseTicket()).Servers(intake))
			ticket := agateticket.Ticket{Number: 50, Centres: []agatecentre.Centre{
				{ID: centre, Name: "a", Region: "r", Distances: []agatecentre.Distance{{Centre: neighbour, Micros: test.micros}}},
				{ID: neighbour, Name: "b", Region: "r"},
			}}
			for i := range 3 * own {
				s := backend(uint32(100+i), intake, agateserver.Up)
				s.Centre = neighbour
				ticket.Servers = append(ticket.Servers, s)
			}
			other := entry(2, 102)
			other.Centre, other.State = neighbour, test.state
			b.d.SetView(b.now, viewOf(baseTicket(), ticket))
			b.d.SetPeers(b.now, agatepeers.New([]agatepeers.Peer{entry(1, 101), other}, nil))
			away := 0
			for flow := range uint64(1000) {
				b.now = b.now.Add(time.Millisecond)
				out := b.receive(agateheader.Header{Kind: agatekind.Open, Service: intake, Flow: flow + 1, Class: agateclass.Short}, "")
				if out[0].To == agatedispatch.Peer {
					away++
				}
			}
			if away < test.minAway || away > test.maxAway {
				t.Fatalf("%d of 1000 opens were relayed, want %d to %d", away, test.minAway, test.maxAway)
			}
		})
	}
}

package agateexchange_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"agatereach/core/process/agateexchange"
	"agatereach/core/process/agategraph"
	"agatereach/core/process/agatemessage"
	"agatereach/core/process/agatesend"
	"agatereach/core/version/agatebatch"
	"agatereach/core/version/agatestate"
	"agatereach/core/version/agateteam"
	"agatereach/core/version/agateticket"
)

const (
	centres = 20
	degree  = 6
)

var address = netip.MustParseAddrPort("10.0.0.1:80")

// delivery is a message that has been sent and not delivered. Entry i has the
// boot id i+1.
type delivery struct {
	from, to uint64
	message  *agatemessage.Message
}

// linkedExchanges returns an exchange for each entry, with the links that
// agategraph chooses.
func linkedExchanges(entries int) []*agateexchange.Exchange {
	links := agategraph.New(degree)
	nodes := make([]agategraph.Node, entries)
	indexes := make(map[string]int, entries)
	for i := range nodes {
		nodes[i] = agategraph.Node{Name: fmt.Sprintf("vm-%d", i), Centre: uint16(i%centres) + 1}
		indexes[nodes[i].Name] = i
	}
	exchanges := make([]*agateexchange.Exchange, entries)
	for i := range exchanges {
		exchanges[i] = agateexchange.New(agatestate.New(nodes[i].Centre), rand.New(rand.NewPCG(1, uint64(i))))
	}
	for i := range nodes {
		for _, target := range links.Targets(nodes[i], nodes) {
			j := indexes[target.Name]
			exchanges[i].Join(uint64(j)+1, nodes[j].Centre)
			exchanges[j].Join(uint64(i)+1, nodes[i].Centre)
		}
	}
	return exchanges
}

// publishTicket gives the ticket to three entries. It returns the number of
// message rounds until all entries hold it, -1 if some never do, and the number
// of messages sent.
func publishTicket(exchanges []*agateexchange.Exchange, number uint64) (rounds, messages int) {
	now := time.Unix(1, 0)
	team := agateteam.Team{Name: "maps", Share: 1}
	ticket := agateticket.Ticket{Number: number, Teams: []agateteam.Team{team}}
	batch := &agatebatch.Batch{After: number - 1, Upto: number, Head: number, Tickets: []agateticket.Ticket{ticket}}
	var queue []delivery
	enqueue := func(from int, sends []agatesend.Send) {
		for _, s := range sends {
			for _, to := range s.To {
				queue = append(queue, delivery{from: uint64(from) + 1, to: to, message: s.Message})
			}
		}
	}
	for i := range 3 {
		enqueue(i, exchanges[i].Batch(now, 0, batch))
	}
	for missing := len(exchanges); missing > 0; {
		rounds++
		messages += len(queue)
		batch := queue
		queue = nil
		for _, d := range batch {
			if d.message.Kind == agatemessage.Batch {
				enqueue(int(d.to-1), exchanges[d.to-1].Batch(now, d.from, d.message.Batch))
			}
		}
		missing = 0
		for _, x := range exchanges {
			if x.State().Upto() < number {
				missing++
			}
		}
		if missing > 0 && len(queue) == 0 {
			return -1, messages
		}
	}
	return rounds, messages
}

// BenchmarkSpread measures the propagation of a ticket from three entries that
// have read it to all entries of 20 data centres.
func BenchmarkSpread(b *testing.B) {
	for _, entries := range []int{120, 1100, 11000} {
		b.Run(fmt.Sprint(entries), func(b *testing.B) {
			exchanges := linkedExchanges(entries)
			maxRounds, messages := 0, 0
			b.ResetTimer()
			for i := range b.N {
				rounds, sent := publishTicket(exchanges, uint64(i)+1)
				if rounds < 0 {
					b.Fatal("the link graph is not connected")
				}
				maxRounds = max(maxRounds, rounds)
				messages += sent
			}
			b.ReportMetric(float64(maxRounds), "rounds")
			b.ReportMetric(float64(messages)/float64(b.N)/float64(entries), "messages/entry")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(entries), "ns/entry")
		})
	}
}

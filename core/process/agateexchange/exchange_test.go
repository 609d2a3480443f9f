package agateexchange_test

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"agatereach/core/process/agateexchange"
	"agatereach/core/process/agatemessage"
	"agatereach/core/process/agatesend"
	"agatereach/core/version/agatebatch"
	"agatereach/core/version/agateserver"
	"agatereach/core/version/agatestate"
	"agatereach/core/version/agateteam"
	"agatereach/core/version/agateticket"
)

// mesh is a set of exchanges that are all linked to each other. Messages wait in
// queue, from which a test delivers, repeats or loses them in any order.
type mesh struct {
	t         *rapid.T
	now       time.Time
	exchanges []*agateexchange.Exchange
	queue     []delivery
	tickets   []agateticket.Ticket
}

// newMesh returns a mesh of entries in two data centres that hold no tickets.
func newMesh(t *rapid.T, entries int) *mesh {
	m := &mesh{t: t, now: time.Unix(1, 0)}
	for i := range entries {
		x := agateexchange.New(agatestate.New(uint16(i%2)+1), rand.New(rand.NewPCG(1, uint64(i))))
		m.exchanges = append(m.exchanges, x)
		for j := range entries {
			if j != i {
				x.Join(uint64(j)+1, uint16(j%2)+1)
			}
		}
	}
	return m
}

// restart replaces the exchange of one entry by one without tickets and links it
// anew.
func (m *mesh) restart(i int) {
	m.exchanges[i] = agateexchange.New(agatestate.New(uint16(i%2)+1), rand.New(rand.NewPCG(2, uint64(i))))
	for j, x := range m.exchanges {
		if j != i {
			m.enqueue(j, x.Leave(m.now, uint64(i)+1))
			x.Join(uint64(i)+1, uint16(i%2)+1)
			m.exchanges[i].Join(uint64(j)+1, uint16(j%2)+1)
		}
	}
}

// publish appends a ticket about one of a few objects. The log holds only a few
// long tickets, so that requests must be answered with snapshots.
func (m *mesh) publish(long bool) {
	number := uint64(len(m.tickets) + 1)
	id := rapid.Uint32Range(1, 3).Draw(m.t, "object")
	server := agateserver.Server{
		ID: id, Service: 1, Incarnation: number, Address: address, Health: address,
		Centre: uint16(id%2) + 1, Slots: 1, State: agateserver.Up,
	}
	ticket := agateticket.Ticket{
		Number: number, Servers: []agateserver.Server{server},
		Teams: []agateteam.Team{{Name: string(rune('a' + id)), Share: uint32(number)}},
	}
	if long {
		ticket.Note = strings.Repeat("n", 1<<20)
	}
	m.tickets = append(m.tickets, ticket)
}

// read makes an entry read the platform, which serves all tickets but the newest
// lag ones.
func (m *mesh) read(i, lag int) {
	after := m.exchanges[i].State().Upto()
	head := uint64(max(len(m.tickets)-lag, 0))
	batch := &agatebatch.Batch{After: after, Upto: max(after, head), Head: max(after, head)}
	if head > after {
		batch.Tickets = m.tickets[after:head]
	}
	m.enqueue(i, m.exchanges[i].Batch(m.now, 0, batch))
}

// enqueue adds the messages that an entry sends to the queue.
func (m *mesh) enqueue(from int, sends []agatesend.Send) {
	for _, s := range sends {
		for _, to := range s.To {
			m.queue = append(m.queue, delivery{from: uint64(from) + 1, to: to, message: s.Message})
		}
	}
}

// deliver passes one message to its exchange and checks the state after it.
func (m *mesh) deliver(d delivery) {
	x := m.exchanges[d.to-1]
	before := x.State().Upto()
	var sends []agatesend.Send
	switch d.message.Kind {
	case agatemessage.Batch:
		sends = x.Batch(m.now, d.from, d.message.Batch)
	case agatemessage.Digest:
		sends = x.Digest(m.now, d.from, d.message.Digest)
	case agatemessage.Want:
		sends = x.Want(d.from, d.message.After, d.message.Whole)
	case agatemessage.None:
		sends = x.None(m.now, d.from)
	case agatemessage.Page:
		sends = x.Page(m.now, d.from, d.message.Page)
	case agatemessage.More:
		sends = x.More(d.from)
	}
	m.enqueue(int(d.to-1), sends)
	m.check(x, before)
}

// check checks that an exchange's Upto has not decreased, and that its state
// equals one built from the tickets up to that number.
func (m *mesh) check(x *agateexchange.Exchange, before uint64) {
	state := x.State()
	if state.Upto() < before {
		m.t.Fatalf("state decreased from ticket %d to %d", before, state.Upto())
	}
	want := agatestate.New(state.Centre())
	if upto := state.Upto(); upto > 0 {
		want = want.With(&agatebatch.Batch{Upto: upto, Head: upto, Tickets: m.tickets[:upto]})
	}
	if state.Digest() != want.Digest() {
		m.t.Fatalf("state up to ticket %d differs from one built from the same tickets", state.Upto())
	}
}

// runRounds runs the given number of rounds. In each, every entry ticks and sends
// its digest to all others, and all messages are delivered.
func (m *mesh) runRounds(rounds int) {
	for range rounds {
		m.now = m.now.Add(3 * time.Second)
		for i, x := range m.exchanges {
			m.enqueue(i, x.Tick(m.now))
			for j := range m.exchanges {
				if j != i {
					message := &agatemessage.Message{Kind: agatemessage.Digest, Digest: x.Announcement()}
					m.queue = append(m.queue, delivery{from: uint64(i) + 1, to: uint64(j) + 1, message: message})
				}
			}
		}
		for len(m.queue) > 0 {
			d := m.queue[0]
			m.queue = m.queue[1:]
			m.deliver(d)
		}
	}
}

// TestNetworkFaults loses, repeats and reorders messages, restarts entries and
// lets the platform serve old values. It checks that each state always equals one
// built from the tickets up to its number, and that all entries hold all tickets
// in the end.
func TestNetworkFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMesh(t, 4)
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			entry := rapid.IntRange(0, len(m.exchanges)-1).Draw(t, "entry")
			index := 0
			if len(m.queue) > 0 {
				index = rapid.IntRange(0, len(m.queue)-1).Draw(t, "message")
			}
			switch step := rapid.SampledFrom([]string{"publish", "long", "read", "old", "deliver", "deliver", "deliver", "repeat", "lose", "tick", "restart"}).Draw(t, "step"); {
			case step == "publish" || step == "long":
				m.publish(step == "long")
			case step == "read":
				m.read(entry, 0)
			case step == "old":
				m.read(entry, rapid.IntRange(1, 3).Draw(t, "old"))
			case step == "tick":
				m.now = m.now.Add(time.Second)
				m.enqueue(entry, m.exchanges[entry].Tick(m.now))
			case step == "restart":
				m.restart(entry)
			case len(m.queue) == 0:
			case step == "repeat":
				m.deliver(m.queue[index])
			default:
				d := m.queue[index]
				m.queue = append(m.queue[:index], m.queue[index+1:]...)
				if step == "deliver" {
					m.deliver(d)
				}
			}
		}
		m.publish(false)
		// One entry of each data centre reads the platform.
		m.read(0, 0)
		m.read(1, 0)
		m.runRounds(6)
		for i, x := range m.exchanges {
			if x.State().Upto() != uint64(len(m.tickets)) {
				t.Fatalf("entry %d holds tickets up to %d of %d", i, x.State().Upto(), len(m.tickets))
			}
		}
	})
}

// TestRepairsDifferingState gives one entry a state that differs from that of its
// peers at the same ticket number, as a memory error or a fault of an older
// program may cause, and checks that it fetches the right state from a peer.
func TestRepairsDifferingState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMesh(t, 3)
		for range 5 {
			m.publish(false)
		}
		broken := agatestate.New(1).With(&agatebatch.Batch{Upto: 5, Head: 5, Tickets: m.tickets[4:]})
		m.exchanges[0] = agateexchange.New(broken, rand.New(rand.NewPCG(1, 1)))
		m.exchanges[0].Join(2, 2)
		m.exchanges[0].Join(3, 1)
		m.read(1, 0)
		m.read(2, 0)
		for range 4 {
			message := &agatemessage.Message{Kind: agatemessage.Digest, Digest: m.exchanges[2].Announcement()}
			m.enqueue(0, m.exchanges[0].Digest(m.now, 3, message.Digest))
			for len(m.queue) > 0 {
				d := m.queue[0]
				m.queue = m.queue[1:]
				switch d.message.Kind {
				case agatemessage.Want:
					m.enqueue(int(d.to-1), m.exchanges[d.to-1].Want(d.from, d.message.After, d.message.Whole))
				case agatemessage.Page:
					m.enqueue(int(d.to-1), m.exchanges[d.to-1].Page(m.now, d.from, d.message.Page))
				}
			}
		}
		m.check(m.exchanges[0], 5)
	})
}

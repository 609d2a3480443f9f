package agatedispatch_test

import (
	"time"

	"agatereach/core/connection/agateguard"
	"agatereach/core/process/agatedispatch"
	"agatereach/core/process/agatepeers"
	"agatereach/core/request/agateheader"
	"agatereach/core/request/agatekind"
	"agatereach/core/request/agateoutcome"
	"agatereach/core/request/agatereason"
	"agatereach/core/request/agateroute"
	"agatereach/core/request/agateseal"
	"agatereach/core/request/agatetoken"
	"agatereach/core/version/agatekeyring"
	"agatereach/core/version/agateserver"
	"agatereach/core/version/agateticket"

	"pgregory.net/rapid"
)

// packet is a datagram or hand-over in transit.
type packet struct {
	at  time.Time
	out agatedispatch.Output
	// entry is the sender of out, or the receiver of in.
	entry int
	// in or handover is set on the way to an entry.
	in       *agatedispatch.Input
	handover *handover
}

// handover holds the records of a process in transit to its successor.
type handover struct {
	to      *process
	boot    uint64
	records []agateguard.Record
}

// process is one process of an entry.
type process struct {
	d       *agatedispatch.Dispatcher
	self    agatepeers.Peer
	tickets int
	paused  bool
	// stale is whether the process has resumed after a pause and has not
	// been brought up to date yet.
	stale   bool
	stopped bool
}

// callerRequest is a request of a caller and its state.
type callerRequest struct {
	flow, number uint64
	service      uint32
	runs         int
	outcome      agateoutcome.Outcome
	reason       agatereason.Reason
	answered     bool
}

// callerFlow is a flow of a caller.
type callerFlow struct {
	service uint32
	// firstOpen is when the first open was sent.
	firstOpen time.Time
	seal      agateseal.Seal
	token     agatetoken.Token
	// numbers holds the numbers of the requests sent, ascending.
	numbers []uint64
}

// simulation holds entries, servers and callers, and a network that loses,
// duplicates, delays and reorders datagrams.
type simulation struct {
	t               *rapid.T
	now             time.Time
	entries         []*process
	lastBoot        uint64
	tickets         []agateticket.Ticket
	successors      map[uint64]uint64
	packets         []packet
	callerFlows     map[uint64]*callerFlow
	requests        map[[2]uint64]*callerRequest
	handledAttempts map[string]bool
	// faults is whether the network and the servers inject faults.
	faults bool
	// guardFlows is the number of flows that a guard remembers.
	guardFlows int
	// lastRoute is the route of the last request that reached a server.
	lastRoute agateroute.Route
}

func newSimulation(t *rapid.T, faults bool) *simulation {
	w := &simulation{
		t: t, now: epoch, lastBoot: 100, faults: faults, guardFlows: 10,
		tickets:         []agateticket.Ticket{baseTicket()},
		successors:      make(map[uint64]uint64),
		callerFlows:     make(map[uint64]*callerFlow),
		requests:        make(map[[2]uint64]*callerRequest),
		handledAttempts: make(map[string]bool),
	}
	if faults {
		w.guardFlows = rapid.SampledFrom([]int{1, 1, 2, 4}).Draw(t, "flows")
	}
	for i := range 3 {
		w.entries = append(w.entries, nil)
		w.boot(i)
	}
	for i := range w.entries {
		w.gossip(i)
	}
	return w
}

// boot starts a process at the address of entry i.
func (w *simulation) boot(i int) {
	w.lastBoot++
	self := entry(i, w.lastBoot)
	secret := agatekeyring.Key{ID: 1, Secret: agatekeyring.Secret{byte(w.lastBoot), byte(w.lastBoot >> 8)}}
	p := &process{self: self, d: agatedispatch.New(self,
		agatedispatch.WithSeed(w.lastBoot<<32), agatedispatch.WithSecret(&secret),
		agatedispatch.WithGuard(agateguard.WithFlows(w.guardFlows)))}
	w.entries[i] = p
	w.gossip(i)
}

// gossip gives entry i the current peers, successors and tickets.
func (w *simulation) gossip(i int) {
	p := w.entries[i]
	var peers []agatepeers.Peer
	for _, other := range w.entries {
		if other != nil {
			peers = append(peers, other.self)
		}
	}
	successors := make(map[uint64]uint64, len(w.successors))
	for from, to := range w.successors {
		successors[from] = to
	}
	w.emit(i, p, p.d.SetPeers(w.now, agatepeers.New(peers, successors)))
	p.tickets = len(w.tickets)
	w.emit(i, p, p.d.SetView(w.now, viewOf(w.tickets...)))
	p.d.SetStale(false)
	p.stale = false
}

// handOver stops entry i gracefully; its records go to entry j, or are lost if
// entry j cannot take them.
func (w *simulation) handOver(i, j int) {
	p, next := w.entries[i], w.entries[j]
	if p.stopped || p.paused {
		return
	}
	p.stopped = true
	w.emit(i, p, p.d.Stop(w.now))
	records := p.d.Export(w.now)
	if i == j || next.stopped || next.paused {
		return
	}
	w.successors[p.self.Boot] = next.self.Boot
	at := w.now
	if w.faults {
		at = at.Add(time.Duration(rapid.SampledFrom([]int{0, 1, 20, 1000}).Draw(w.t, "records take")) * time.Millisecond)
	}
	w.packets = append(w.packets, packet{at: at, entry: j, handover: &handover{to: next, boot: p.self.Boot, records: records}})
}

// change publishes a ticket that alters one server.
func (w *simulation) change(alter func(*agateserver.Server)) {
	last := &w.tickets[len(w.tickets)-1]
	servers := append([]agateserver.Server(nil), last.Servers...)
	alter(&servers[rapid.IntRange(0, len(servers)-1).Draw(w.t, "server")])
	w.tickets = append(w.tickets, agateticket.Ticket{Number: last.Number + 1, Servers: servers})
}

// emit checks the outputs of a process and sends them over the network.
func (w *simulation) emit(i int, p *process, outputs []agatedispatch.Output) {
	for _, out := range outputs {
		if out.To == agatedispatch.Server {
			w.checkTarget(p, out)
		}
		for range w.copies() {
			w.packets = append(w.packets, packet{at: w.now.Add(w.delay()), out: out, entry: i})
		}
	}
}

// checkTarget checks that the destination is a server of the datagram's service
// in the process's view, and that a request goes only to a server that takes
// work, according to a view that is not stale.
func (w *simulation) checkTarget(p *process, out agatedispatch.Output) {
	h := w.decode(out.Datagram)
	s := viewOf(w.tickets[:p.tickets]...).Server(out.Route.Server)
	if s == nil || s.Service != h.Service || s.Address != out.Address {
		w.t.Fatalf("datagram of service %d sent to a wrong server: %+v", h.Service, s)
	}
	if h.Kind == agatekind.Request && p.stale {
		w.t.Fatalf("request sent to server %d with a stale view", s.ID)
	}
	if h.Kind == agatekind.Request && !s.Takes() {
		w.t.Fatalf("request sent to server %d in state %s", s.ID, s.State)
	}
}

func (w *simulation) copies() int {
	if !w.faults {
		return 1
	}
	return rapid.SampledFrom([]int{1, 1, 1, 1, 1, 1, 0, 2}).Draw(w.t, "copies")
}

func (w *simulation) delay() time.Duration {
	if !w.faults {
		return time.Millisecond
	}
	return time.Duration(rapid.SampledFrom([]int{1, 1, 1, 2, 5, 60, 700}).Draw(w.t, "ms")) * time.Millisecond
}

// advance moves the clock on by d, delivers what arrives and ticks the entries.
func (w *simulation) advance(d time.Duration) {
	end := w.now.Add(d)
	for w.now.Before(end) {
		next := w.now.Add(max(minTickInterval, d/maxTicks))
		if next.After(end) {
			next = end
		}
		w.advanceTo(next)
		for i, p := range w.entries {
			if !p.paused {
				w.emit(i, p, p.d.Tick(w.now))
			}
		}
	}
}

const (
	// minTickInterval is the shortest time between ticks, maxTicks the
	// largest number of ticks in one call of advance.
	minTickInterval = 50 * time.Millisecond
	maxTicks        = 40
)

// advanceTo moves the clock to end and delivers the packets that arrive until
// then, in the order of their arrival.
func (w *simulation) advanceTo(end time.Time) {
	for {
		at := -1
		for i := range w.packets {
			p := &w.packets[i]
			if !p.at.After(end) && (at < 0 || p.at.Before(w.packets[at].at)) && !w.blocked(p) {
				at = i
			}
		}
		if at < 0 {
			w.now = end
			return
		}
		next := w.packets[at]
		w.packets = append(w.packets[:at], w.packets[at+1:]...)
		if next.at.After(w.now) {
			w.now = next.at
		}
		w.deliver(next)
	}
}

// blocked reports whether the packet waits at a paused process.
func (w *simulation) blocked(p *packet) bool {
	return (p.in != nil || p.handover != nil) && w.entries[p.entry].paused
}

func (w *simulation) deliver(p packet) {
	switch {
	case p.handover != nil:
		if to := w.entries[p.entry]; to == p.handover.to && !to.stopped {
			w.emit(p.entry, to, to.d.Adopt(w.now, p.handover.boot, p.handover.records))
		}
	case p.in != nil:
		to := w.entries[p.entry]
		w.emit(p.entry, to, to.d.Handle(w.now, p.in))
	case p.out.To == agatedispatch.Server:
		w.handleAtServer(p)
	case p.out.To == agatedispatch.Caller:
		w.checkReply(p.out)
	case p.out.To == agatedispatch.Peer:
		in := w.input(p.out.Datagram)
		in.Source, in.Frame = agatedispatch.Peer, p.out.Frame
		for i := range w.entries {
			if w.entries[i].self.Relay == p.out.Address {
				w.enqueue(i, in)
			}
		}
	}
}

// enqueue adds an input for immediate delivery to entry i.
func (w *simulation) enqueue(i int, in *agatedispatch.Input) {
	w.packets = append(w.packets, packet{at: w.now, in: in, entry: i})
}

func (w *simulation) decode(datagram []byte) agateheader.Header { return w.input(datagram).Header }

func (w *simulation) input(datagram []byte) *agatedispatch.Input {
	in := &agatedispatch.Input{Datagram: datagram}
	var err error
	if in.Body, err = in.Header.Decode(datagram); err != nil {
		w.t.Fatal(err)
	}
	return in
}

package agatenode_test

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"agatereach/core/process/agateclaim"
	"agatereach/core/process/agatemessage"
	"agatereach/core/process/agatenode"
	"agatereach/core/process/agatepeers"
	"agatereach/core/version/agatebatch"
	"agatereach/core/version/agateserial"
	"agatereach/core/version/agateteam"
	"agatereach/core/version/agateticket"
	"agatereach/core/version/agatevm"
	"agatereach/core/version/agatevmlist"
)

const (
	round      = 10 * time.Millisecond
	tickRounds = 10
)

// place is one VM: its process, or none while it is down.
type place struct {
	vm     agatevm.VM
	node   *agatenode.Node
	boot   uint64
	paused bool
	// cut says that the platform cannot be reached.
	cut bool
	// inbox holds messages under way.
	inbox []envelope
	// upto is the highest number that the process has held.
	upto      uint64
	handovers []agatenode.Handover
	// tickets and vms are the reads of the platform under way.
	tickets, vms held
}

type envelope struct {
	from uint64
	text []byte
}

// fleet runs nodes in virtual time: a message takes one round.
type fleet struct {
	now    time.Time
	places []*place
	boots  map[uint64]*place
	// links holds the pairs of linked boot ids.
	links map[[2]uint64]bool
	// parted holds the pairs of data centres that are cut off.
	parted map[[2]uint16]bool
	// tickets is what the platform serves, listed the VMs of its list.
	tickets []agateticket.Ticket
	// bases holds the numbers of the last tickets that restores of the platform kept.
	bases  []uint64
	listed agatevmlist.List
	down   bool
	// hurried says that the platform holds no reads.
	hurried bool
	// limit is the number of reads that the platform answers in a second, 0
	// for all, and second counts those of the current one.
	limit, second int
	// reads, sent and bytes count.
	reads, sent, bytes int
	lastBoot           uint64
	fail               func(format string, args ...any)
}

func newFleet(centres, entries int, fail func(string, ...any)) *fleet {
	f := &fleet{
		now: time.Unix(1700000000, 0), boots: map[uint64]*place{}, links: map[[2]uint64]bool{},
		parted: map[[2]uint16]bool{}, fail: fail,
	}
	for i := range centres * entries {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(i >> 8), byte(i), 1}), 7001)
		vm := agatevm.VM{ID: fmt.Sprintf("vm-%d", i), Centre: uint16(i%centres) + 1, Link: address, Relay: address, State: agatevm.Live}
		f.places = append(f.places, &place{vm: vm})
		f.listed.VMs = append(f.listed.VMs, vm)
	}
	f.listed.Version = 1
	for _, p := range f.places {
		f.start(p)
	}
	return f
}

// start starts a process on the VM.
func (f *fleet) start(p *place) {
	f.lastBoot++
	p.boot = f.lastBoot << 8
	claim := agateclaim.Claim{
		VM: p.vm.ID, Centre: p.vm.Centre, Link: p.vm.Link, Relay: p.vm.Relay, Boot: p.boot,
		Start: f.now.UnixMilli(), Beat: 1, State: agatepeers.Live,
	}
	p.node = agatenode.New(f.now, claim, agatenode.WithSeed(p.boot))
	p.inbox, p.upto, p.paused, p.handovers = nil, 0, false, nil
	p.tickets, p.vms = held{}, held{}
	f.boots[p.boot] = p
}

// kill ends the process without notice.
func (f *fleet) kill(p *place) {
	f.unlink(func(a, b *place) bool { return a == p || b == p })
	delete(f.boots, p.boot)
	p.node = nil
}

// unlink ends the links that match.
func (f *fleet) unlink(match func(a, b *place) bool) {
	for pair := range f.links {
		a, b := f.boots[pair[0]], f.boots[pair[1]]
		if match(a, b) {
			f.end(pair, false)
		}
	}
}

func (f *fleet) end(pair [2]uint64, planned bool) {
	delete(f.links, pair)
	for i, boot := range pair {
		if p := f.boots[boot]; p != nil && p.node != nil {
			p.node.Close(f.now, pair[1-i], planned)
		}
	}
}

func pairOf(a, b uint64) [2]uint64 { return [2]uint64{min(a, b), max(a, b)} }

func (f *fleet) reachable(a, b *place) bool {
	return !f.parted[[2]uint16{min(a.vm.Centre, b.vm.Centre), max(a.vm.Centre, b.vm.Centre)}]
}

// part cuts two data centres off from each other, or joins them again.
func (f *fleet) part(a, b uint16, cut bool) {
	f.parted[[2]uint16{min(a, b), max(a, b)}] = cut
	if cut {
		f.unlink(func(a, b *place) bool { return !f.reachable(a, b) })
	}
}

// publish accepts a ticket that sets the team of the given name.
func (f *fleet) publish(name string) uint64 {
	number := uint64(len(f.tickets) + 1)
	f.tickets = append(f.tickets, agateticket.Ticket{
		Number: number, Teams: []agateteam.Team{{Name: name, Share: uint32(number)}},
	})
	return number
}

// run lets time pass.
func (f *fleet) run(d time.Duration) {
	for until := f.now.Add(d); f.now.Before(until); {
		f.now = f.now.Add(round)
		if f.now.UnixMilli()%1000 == 0 {
			f.second = 0
		}
		tick := f.now.UnixMilli()/round.Milliseconds()%tickRounds == 0
		for _, p := range f.places {
			if p.node != nil && !p.paused {
				f.step(p, tick)
			}
		}
	}
}

// step lets one process handle what has come and do what is due.
func (f *fleet) step(p *place, tick bool) {
	inbox := p.inbox
	p.inbox = nil
	for _, e := range inbox {
		message := new(agatemessage.Message)
		if err := message.Decode(e.text); err != nil {
			f.fail("decode: %v", err)
		}
		p.node.Handle(f.now, e.from, message)
	}
	f.answer(p)
	if tick {
		p.node.Tick(f.now)
	}
	f.carryOut(p, p.node.Effects())
	upto := p.node.State().Upto()
	if upto < p.upto {
		f.fail("%s went back from ticket %d to %d", p.vm.ID, p.upto, upto)
	}
	p.upto = upto
}

func (f *fleet) carryOut(p *place, effects agatenode.Effects) {
	for _, s := range effects.Sends {
		text, err := s.Message.Encode()
		if err != nil {
			f.fail("encode: %v", err)
		}
		for _, boot := range s.To {
			if peer := f.boots[boot]; peer != nil && f.links[pairOf(p.boot, boot)] {
				peer.inbox = append(peer.inbox, envelope{from: p.boot, text: text})
				f.sent++
				f.bytes += len(text)
			}
		}
	}
	for _, d := range effects.Drops {
		if pair := pairOf(p.boot, d.Boot); f.links[pair] {
			f.end(pair, d.Planned)
		}
	}
	for _, d := range effects.Dials {
		f.dial(p, d)
	}
	f.read(p, effects)
	p.handovers = append(p.handovers, effects.Handovers...)
}

func (f *fleet) dial(p *place, d agatenode.Dial) {
	at := slices.IndexFunc(f.places, func(q *place) bool { return q.vm.Link == d.Address })
	peer := f.places[at]
	if peer.node == nil || peer.paused || !f.reachable(p, peer) {
		p.node.DialFailed(f.now, d.VM)
		return
	}
	pair := pairOf(p.boot, peer.boot)
	if f.links[pair] {
		return
	}
	f.links[pair] = true
	p.node.Join(f.now, peer.node.Self(), true)
	peer.node.Join(f.now, p.node.Self(), false)
}

// held is a read that the platform has not answered yet.
type held struct {
	read  *agatenode.Read
	until time.Time
	// admitted says that the platform has counted the read and not refused it.
	admitted bool
}

// read makes the reads of a process, each replacing the one under way.
func (f *fleet) read(p *place, effects agatenode.Effects) {
	if r := effects.Tickets; r != nil {
		f.reads++
		p.tickets = held{read: r, until: f.now.Add(r.Wait)}
	}
	if r := effects.VMs; r != nil {
		f.reads++
		p.vms = held{read: r, until: f.now.Add(r.Wait)}
	}
}

// refused refuses the reads that the process has just made if the platform is
// at its limit, and reports whether it has.
func (p *place) refused(f *fleet) bool {
	if f.limit == 0 {
		return false
	}
	any := false
	for _, h := range []*held{&p.tickets, &p.vms} {
		if h.read == nil || h.admitted {
			continue
		}
		f.second++
		if f.second <= f.limit {
			h.admitted = true
			continue
		}
		any = true
		read := h.read
		h.read = nil
		if h == &p.tickets {
			p.node.TicketsFailed(f.now, read.ID, time.Second)
		} else {
			p.node.VMsFailed(f.now, read.ID, time.Second)
		}
	}
	return any
}

// answer answers the reads of a process that are due.
func (f *fleet) answer(p *place) {
	unreachable := f.down || p.cut
	if p.refused(f) {
		return
	}
	if r := p.tickets.read; r != nil && (unreachable || f.hurried || r.After < f.head() || !f.now.Before(p.tickets.until)) {
		p.tickets.read = nil
		if unreachable {
			p.node.TicketsFailed(f.now, r.ID, 0)
		} else {
			p.node.TicketsRead(f.now, r.ID, f.batch(r.After))
		}
	}
	if r := p.vms.read; r != nil && (unreachable || f.hurried || r.After < f.listed.Version || !f.now.Before(p.vms.until)) {
		p.vms.read = nil
		if unreachable {
			p.node.VMsFailed(f.now, r.ID, 0)
		} else {
			list := f.listed
			p.node.VMsRead(f.now, r.ID, &list)
		}
	}
}

// batch returns the tickets after a packed serial, as the platform's client does.
func (f *fleet) batch(packed uint64) *agatebatch.Batch {
	batch, err := f.published(packed).WithSerials()
	if err != nil {
		f.fail("batch: %v", err)
	}
	return batch
}

// published returns what the platform answers to a read after a packed serial.
func (f *fleet) published(packed uint64) *agatebatch.Batch {
	serial, head := agateserial.Unpack(packed), uint64(len(f.tickets))
	after := min(serial.Number, head)
	for _, base := range f.bases[min(int(serial.Era)-1, len(f.bases)):] {
		after = min(after, base)
	}
	return &agatebatch.Batch{
		Era: uint32(len(f.bases)) + 1, Bases: f.bases, After: after, Upto: head, Head: head, Tickets: f.tickets[after:],
	}
}

// head returns the packed serial of the platform's newest ticket.
func (f *fleet) head() uint64 { return f.published(0).Serial(uint64(len(f.tickets))).Pack() }

// restore makes the platform come back from a copy with the tickets up to head.
func (f *fleet) restore(head int) {
	f.tickets = slices.Clone(f.tickets[:head])
	f.bases = append(slices.Clone(f.bases), uint64(head))
}

// live returns the places that have a process.
func (f *fleet) live() []*place {
	return slices.DeleteFunc(slices.Clone(f.places), func(p *place) bool { return p.node == nil })
}

// converged says what is missing until every process holds all tickets and
// knows every other one, empty for nothing.
func (f *fleet) converged() string {
	head := f.head()
	for _, p := range f.live() {
		if upto := p.node.State().Upto(); upto != head {
			return fmt.Sprintf("%s holds tickets up to %d, want %d", p.vm.ID, upto, head)
		}
		if digest := f.live()[0].node.State().Digest(); p.node.State().Digest() != digest {
			return fmt.Sprintf("%s holds another state", p.vm.ID)
		}
		if p.node.Stale(f.now) {
			return fmt.Sprintf("%s is stale", p.vm.ID)
		}
		peers := p.node.Peers(f.now)
		for _, q := range f.live() {
			if peer, _ := peers.Boot(q.boot); peer.State != agatepeers.Live {
				return fmt.Sprintf("%s holds %s as %q", p.vm.ID, q.vm.ID, peer.State)
			}
		}
	}
	return ""
}

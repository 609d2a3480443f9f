// Package agateforwarder provides the goroutine that owns the steerer of an
// entry: it takes callers' packets, and sends what the steerer decides.
package agateforwarder

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
	"time"

	"agatereach/core/connection/agatesocket"
	"agatereach/core/process/agatedump"
	"agatereach/core/process/agatering"
	"agatereach/core/process/agatesteer"
	"agatereach/core/request/agateload"
	"agatereach/core/request/agatesegment"
	"agatereach/core/request/agatetuple"
	"agatereach/core/version/agatecatalog"
	"agatereach/entry/process/agatemeter"
	"agatereach/entry/request/agateexplain"
)

const (
	// tick is the time between two looks at what falls due. A silent server
	// shows after 200 ms, the time after which callers repeat themselves.
	tick = 100 * time.Millisecond
	// late is the time between two looks from which on the process lags behind,
	// and crowded the number of packets that wait from which on it does.
	late    = 2 * tick
	crowded = queue / 8
	// queue is the number of packets that wait for the goroutine.
	queue = 512
	// batch is the number of packets sent by one system call.
	batch = 16
	// prefixSize is the room for what a codec puts in front of a packet.
	prefixSize = 16
	// maxPacket is the size of the longest packet that is passed on, in bytes.
	maxPacket = 2048
)

// Codec reads and writes packets in the format of the network.
type Codec interface {
	// Decode reads the head of a caller's packet.
	Decode(packet []byte) (agatesegment.Segment, error)
	// Mark writes the flow token into the packet.
	Mark(packet []byte, token uint32)
	// AppendPrefix appends what goes in front of a packet to the server.
	AppendPrefix(prefix []byte, server uint64) []byte
	// Reset returns a packet that ends the flow towards its caller.
	Reset(flow agatetuple.Tuple, sequence uint32) []byte
	// Caller returns where packets for the caller of a flow are sent.
	Caller(flow agatetuple.Tuple) netip.AddrPort
}

// Update is a newer catalog, or the news that it is still the newest.
type Update struct {
	// Catalog is the newest catalog.
	Catalog *agatecatalog.Catalog
	// Confirmed is when it was known to be the newest of all.
	Confirmed time.Time
}

// Report is what another entry has seen of servers.
type Report struct {
	// From names the other entry's VM.
	From string
	// Loads are the servers. Partial says that others have not changed.
	Loads   []agateload.Load
	Partial bool
}

// dumping asks the goroutine to add to a dump.
type dumping struct {
	dump *agatedump.Dump
	done chan struct{}
}

// packet is the memory of one datagram.
type packet struct {
	size  int
	bytes [maxPacket]byte
}

// Forwarder owns a steerer. It implements the handler of a receiver.
type Forwarder struct {
	steerer *agatesteer.Steerer
	codec   Codec
	outbox  *agatesocket.Outbox
	// arrived holds the packets to handle, and free the memory for others.
	arrived, free *agatering.Ring[*packet]
	updates       *agatering.Ring[Update]
	// reports holds what other entries have seen of servers.
	reports *agatering.Ring[Report]
	// share takes what this entry has seen of servers; urgent says that others
	// should know at once.
	share func(loads []agateload.Load, urgent bool)
	// ready says that there is a catalog to decide by.
	ready bool
	// started is the start of the steerer's clock.
	started time.Time
	// ticked is when it last looked at what falls due.
	ticked time.Duration
	// pending are the packets whose memory is in use until the next flush.
	pending []*packet
	// last is when a caller's packet last came.
	last atomic.Int64
	// malformed counts the packets that could not be read, and told those that
	// were logged.
	malformed, told uint64
	explain         *agateexplain.Explain
	meter           *agatemeter.Meter
	// dumps holds the requests for the state.
	dumps *agatering.Ring[dumping]
	log   *slog.Logger
}

// New returns a forwarder that sends through the socket.
// share takes what the entry has seen of servers, some ten times a second.
func New(policy agatesteer.Policy, centre string, codec Codec, socket *agatesocket.Socket, share func([]agateload.Load, bool), meter *agatemeter.Meter, log *slog.Logger) *Forwarder {
	f := &Forwarder{
		steerer: agatesteer.New(policy, centre, rand.Float64),
		codec:   codec,
		outbox:  agatesocket.NewOutbox(socket, batch, prefixSize),
		arrived: agatering.New[*packet](queue),
		free:    agatering.New[*packet](queue),
		updates: agatering.New[Update](1),
		reports: agatering.New[Report](queue),
		share:   share,
		// The clock starts above 0, which means never.
		started: time.Now().Add(-time.Second),
		explain: agateexplain.New(log, time.Now()),
		meter:   meter,
		dumps:   agatering.New[dumping](1),
		log:     log,
	}
	return f
}

// Updates returns the ring for newer catalogs.
func (f *Forwarder) Updates() *agatering.Ring[Update] { return f.updates }

// Reports returns the ring for what other entries have seen of servers.
func (f *Forwarder) Reports() *agatering.Ring[Report] { return f.reports }

// Dump adds to a dump what the steerer knows. The error is that of the context.
func (f *Forwarder) Dump(ctx context.Context, d *agatedump.Dump) error {
	asked := dumping{dump: d, done: make(chan struct{})}
	if !f.dumps.Wait(ctx.Done(), asked) {
		return ctx.Err()
	}
	select {
	case <-asked.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Idle returns the time since a caller's packet last came.
func (f *Forwarder) Idle() time.Duration {
	return time.Since(f.started) - time.Duration(f.last.Load())
}

// Handle takes a caller's packet. A full ring drops it, as a full socket would.
func (f *Forwarder) Handle(_ time.Time, _ netip.AddrPort, datagram []byte) {
	if len(datagram) > maxPacket {
		f.meter.Lost(agatemeter.Oversized)
		return
	}
	p := f.memory()
	p.size = copy(p.bytes[:], datagram)
	if !f.arrived.Put(p) {
		f.meter.Lost(agatemeter.Packets)
	}
}

// memory returns memory that is not in use.
func (f *Forwarder) memory() *packet {
	select {
	case p := <-f.free.Items():
		return p
	default:
		return new(packet)
	}
}

// Flush ends a batch of packets.
func (f *Forwarder) Flush() {}

// Run handles packets until the context ends. Before the first catalog they
// wait: their callers would repeat them later than that comes.
func (f *Forwarder) Run(ctx context.Context) error {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	var arrived <-chan *packet
	for {
		if f.ready {
			arrived = f.arrived.Items()
		}
		select {
		case <-ctx.Done():
			f.explain.Summary()
			return nil
		case p := <-arrived:
			f.packets(p)
		case u := <-f.updates.Items():
			f.update(u)
		case r := <-f.reports.Items():
			f.steerer.Report(r.From, r.Loads, r.Partial, f.now())
			f.urge()
		case asked := <-f.dumps.Items():
			f.steerer.Dump(asked.dump, f.now())
			close(asked.done)
		case <-ticker.C:
			f.tick()
		}
	}
}

// now returns the time of the steerer's clock.
func (f *Forwarder) now() time.Duration { return time.Since(f.started) }

// packets handles a packet and those that wait behind it.
func (f *Forwarder) packets(p *packet) {
	now := f.now()
	if now-f.ticked > late {
		f.steerer.Lagged(now)
	}
	f.last.Store(int64(now))
	for {
		f.handle(p, now)
		if len(f.pending) == batch {
			break
		}
		select {
		case p = <-f.arrived.Items():
			continue
		default:
		}
		break
	}
	f.flush()
	f.meter.Batch(f.now()-now, f.steerer.Flows())
	f.urge()
}

// urge shares what other entries should know at once.
func (f *Forwarder) urge() {
	if f.steerer.TakeUrgent() {
		f.share(f.steerer.Suspicions(f.now()), true)
	}
}

// flush sends what waits and frees its memory.
func (f *Forwarder) flush() {
	f.outbox.Flush()
	for _, p := range f.pending {
		f.free.Put(p)
	}
	f.pending = f.pending[:0]
}

// handle decides on one packet.
func (f *Forwarder) handle(p *packet, now time.Duration) {
	f.pending = append(f.pending, p)
	datagram := p.bytes[:p.size]
	segment, err := f.codec.Decode(datagram)
	if err != nil {
		f.malformed++
		f.meter.Malformed()
		return
	}
	f.carry(f.steerer.Handle(segment, now), datagram, now)
}

// carry carries out a verdict.
func (f *Forwarder) carry(v agatesteer.Verdict, datagram []byte, now time.Duration) {
	f.meter.Verdict(v.Reason)
	f.explain.Verdict(&v, f.started.Add(now))
	switch v.Action {
	case agatesteer.Forward:
		f.codec.Mark(datagram, v.Token)
		f.outbox.Add(v.Address, f.codec.AppendPrefix(f.outbox.Prefix(), v.Server), datagram)
	case agatesteer.Reset:
		f.outbox.Add(f.codec.Caller(v.Flow), nil, f.codec.Reset(v.Flow, v.Sequence))
	case agatesteer.Drop:
	}
}

// update takes over a newer catalog.
func (f *Forwarder) update(u Update) {
	f.steerer.Update(u.Catalog, f.now())
	if !u.Confirmed.IsZero() {
		f.steerer.Confirm(u.Confirmed.Sub(f.started))
	}
	f.ready = f.ready || u.Catalog.Version() > 0
}

// tick does what falls due with time.
func (f *Forwarder) tick() {
	now := f.now()
	if now-f.ticked > late || f.arrived.Len() > crowded {
		f.steerer.Lagged(now)
	}
	f.ticked = now
	for _, v := range f.steerer.Tick(now) {
		f.carry(v, nil, now)
	}
	f.flush()
	f.share(f.steerer.Loads(now), false)
	for _, o := range f.steerer.Opinions(now) {
		f.explain.Opinion(o, f.started.Add(now))
	}
	f.explain.Tick(f.started.Add(now))
	if f.malformed > f.told {
		f.log.Warn("flow: packets not understood", "packets", f.malformed-f.told)
		f.told = f.malformed
	}
}

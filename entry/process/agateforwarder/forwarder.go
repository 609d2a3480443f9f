// Package agateforwarder provides the goroutine that owns an entry's steerer: it
// receives callers' packets and carries out what the steerer decides.
package agateforwarder

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
	"time"

	"agatereach/core/connection/agatesocket"
	"agatereach/core/process/agatecheck"
	"agatereach/core/process/agatedump"
	"agatereach/core/process/agatering"
	"agatereach/core/process/agatesteer"
	"agatereach/core/request/agateload"
	"agatereach/core/request/agatesegment"
	"agatereach/core/request/agatetuple"
	"agatereach/core/version/agatecatalog"
	"agatereach/entry/process/agatechecker"
	"agatereach/entry/process/agatemeter"
	"agatereach/entry/request/agateexplain"
)

const (
	// tickInterval is the time between two checks of what is due. A server that
	// does not respond is detected after 200 ms, the time after which callers
	// retransmit.
	tickInterval = 100 * time.Millisecond
	// lagThreshold is the time between two ticks above which the process counts as
	// lagging, and lagQueueLength the number of queued packets above which it does.
	lagThreshold   = 2 * tickInterval
	lagQueueLength = queueCapacity / 8
	// queueCapacity is the number of packets that may wait for the goroutine.
	queueCapacity = 512
	// sendBatch is the number of packets sent by one system call.
	sendBatch = 16
	// maxPrefixSize is the space in bytes for what a codec puts in front of a packet.
	maxPrefixSize = 16
	// maxPacketSize is the size in bytes of the longest packet that is forwarded.
	maxPacketSize = 2048
)

// Codec decodes and modifies packets in the format of the network.
type Codec interface {
	// Decode decodes the header of a caller's packet.
	Decode(packet []byte) (agatesegment.Segment, error)
	// SetToken writes the flow token into the packet.
	SetToken(packet []byte, token uint32)
	// AppendPrefix appends what precedes a packet on its way to the server.
	AppendPrefix(prefix []byte, server uint64) []byte
	// Reset returns a packet that ends the flow towards its caller.
	Reset(flow agatetuple.Tuple, sequence uint32) []byte
	// CallerAddress returns the address to which packets for the caller of a flow are sent.
	CallerAddress(flow agatetuple.Tuple) netip.AddrPort
}

// CatalogUpdate is a newer catalog, or a later time at which the catalog was
// current.
type CatalogUpdate struct {
	// Catalog is the newest catalog.
	Catalog *agatecatalog.Catalog
	// ConfirmedAt is the last time at which the catalog was known to be the newest;
	// zero for never.
	ConfirmedAt time.Time
}

// LoadReport holds the loads of backend servers that another entry reports. One without
// loads tells that the entry is there.
type LoadReport struct {
	// From is the name of the other entry's VM, and Centre that of its data centre.
	From, Centre string
	// Loads holds one item per reported server, or none. Partial is whether they add to
	// those of earlier reports instead of replacing them.
	Loads   []agateload.Load
	Partial bool
	// Leaving is whether the other entry announces its end.
	Leaving bool
}

// dumpRequest asks the goroutine to add the steerer's state to dump, and to close
// done afterwards.
type dumpRequest struct {
	dump *agatedump.Dump
	done chan struct{}
}

// packet is a reusable buffer for one packet.
type packet struct {
	size  int
	bytes [maxPacketSize]byte
}

// Forwarder owns a steerer. It implements agatereceiver.Handler.
type Forwarder struct {
	steerer *agatesteer.Steerer
	codec   Codec
	outbox  *agatesocket.Outbox
	// incoming holds the packets to handle, and freePackets buffers for reuse.
	incoming, freePackets *agatering.Ring[*packet]
	catalogUpdates        *agatering.Ring[CatalogUpdate]
	// loadReports holds the reports of other entries.
	loadReports *agatering.Ring[LoadReport]
	// attempts takes the connections to open that check servers, and checkReports holds
	// their outcomes; both nil without checks.
	attempts     *agatering.Ring[agatecheck.Attempt]
	checkReports *agatering.Ring[agatechecker.Report]
	// shareLoads passes on the loads of backend servers that this entry observes.
	// urgent is whether other entries should learn of them at once.
	shareLoads func(loads []agateload.Load, urgent bool)
	// hasCatalog is whether a first catalog has arrived.
	hasCatalog bool
	// clockStart is the zero time of the steerer's clock.
	clockStart time.Time
	// lastTick is the time of the last tick.
	lastTick time.Duration
	// pending holds the packets whose buffers are in use until the next flush.
	pending []*packet
	// lastArrival is when the goroutine last received a caller's packet, in
	// nanoseconds on the steerer's clock.
	lastArrival atomic.Int64
	// malformed counts the packets that could not be decoded, and loggedMalformed
	// those of them that are already logged.
	malformed, loggedMalformed uint64
	// handled counts the packets handled.
	handled    uint64
	verdictLog *agateexplain.Logger
	meter      *agatemeter.Meter
	// dumpRequests holds requests for the steerer's state.
	dumpRequests *agatering.Ring[dumpRequest]
	log          *slog.Logger
}

// Option changes a Forwarder.
type Option func(*Forwarder)

// WithChecks has the forwarder check servers by the connections that a checker opens.
func WithChecks(checker *agatechecker.Checker) Option {
	return func(f *Forwarder) { f.attempts, f.checkReports = checker.Attempts(), checker.Reports() }
}

// New returns a forwarder that sends through the socket. shareLoads is called about
// ten times a second with the loads of backend servers that the entry observes.
func New(policy agatesteer.Policy, centre string, codec Codec, socket *agatesocket.Socket, shareLoads func([]agateload.Load, bool), meter *agatemeter.Meter, log *slog.Logger, options ...Option) *Forwarder {
	f := &Forwarder{
		steerer:        agatesteer.New(policy, centre, rand.Float64),
		codec:          codec,
		outbox:         agatesocket.NewOutbox(socket, sendBatch, maxPrefixSize),
		incoming:       agatering.New[*packet](queueCapacity),
		freePackets:    agatering.New[*packet](queueCapacity),
		catalogUpdates: agatering.New[CatalogUpdate](1),
		loadReports:    agatering.New[LoadReport](queueCapacity),
		shareLoads:     shareLoads,
		// The steerer's clock must start above 0, since 0 stands for "never".
		clockStart:   time.Now().Add(-time.Second),
		verdictLog:   agateexplain.New(log, time.Now()),
		meter:        meter,
		dumpRequests: agatering.New[dumpRequest](1),
		log:          log,
	}
	for _, each := range options {
		each(f)
	}
	return f
}

// CatalogUpdates returns the queue for newer catalogs.
func (f *Forwarder) CatalogUpdates() *agatering.Ring[CatalogUpdate] { return f.catalogUpdates }

// LoadReports returns the queue for the reports of other entries.
func (f *Forwarder) LoadReports() *agatering.Ring[LoadReport] { return f.loadReports }

// Dump adds the steerer's state to a dump. The error is that of the context.
func (f *Forwarder) Dump(ctx context.Context, d *agatedump.Dump) error {
	request := dumpRequest{dump: d, done: make(chan struct{})}
	if !f.dumpRequests.Wait(ctx.Done(), request) {
		return ctx.Err()
	}
	select {
	case <-request.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Idle returns the time since the goroutine last received a caller's packet.
func (f *Forwarder) Idle() time.Duration {
	return time.Since(f.clockStart) - time.Duration(f.lastArrival.Load())
}

// Handle queues a caller's packet. If the queue is full the packet is dropped and
// counted, as it would be if the socket's buffer were full.
func (f *Forwarder) Handle(_ time.Time, _ netip.AddrPort, datagram []byte) {
	if len(datagram) > maxPacketSize {
		f.meter.CountLoss(agatemeter.Oversized)
		return
	}
	p := f.acquirePacket()
	p.size = copy(p.bytes[:], datagram)
	if !f.incoming.Put(p) {
		f.meter.CountLoss(agatemeter.PacketQueue)
	}
}

// acquirePacket returns a buffer that is not in use.
func (f *Forwarder) acquirePacket() *packet {
	select {
	case p := <-f.freePackets.Items():
		return p
	default:
		return new(packet)
	}
}

// Flush does nothing: packets are handled one by one.
func (f *Forwarder) Flush() {}

// Run handles packets until the context ends. Packets that arrive before the first
// catalog wait for it: it comes sooner than their callers would retransmit them.
func (f *Forwarder) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	var incoming <-chan *packet
	var checkReports <-chan agatechecker.Report
	if f.checkReports != nil {
		checkReports = f.checkReports.Items()
	}
	for {
		if f.hasCatalog {
			incoming = f.incoming.Items()
		}
		select {
		case <-ctx.Done():
			f.verdictLog.LogSummary()
			return nil
		case p := <-incoming:
			f.handlePackets(p)
		case u := <-f.catalogUpdates.Items():
			f.updateCatalog(u)
		case r := <-f.loadReports.Items():
			f.handleReport(r)
		case r := <-checkReports:
			f.handleCheckReport(r)
		case request := <-f.dumpRequests.Items():
			f.steerer.Dump(request.dump, f.now())
			close(request.done)
		case <-ticker.C:
			f.tick()
		}
	}
}

// handleReport passes the report of another entry to the steerer.
func (f *Forwarder) handleReport(r LoadReport) {
	now := f.now()
	f.steerer.RecordCentre(r.Centre, now)
	f.steerer.RecordEntry(r.From, r.Centre, r.Leaving, now)
	if len(r.Loads) > 0 {
		f.steerer.Report(r.From, r.Loads, r.Partial, now)
		f.shareUrgent()
	}
}

// handleCheckReport passes the outcome of an attempt to the steerer and resets the flows
// of servers that are confirmed down by it. The packets that wait are handled first: they may
// hold answers of the server.
func (f *Forwarder) handleCheckReport(r agatechecker.Report) {
	f.handleWaiting()
	now := f.now()
	f.recordLag(now)
	report := agatecheck.Report{Number: r.Number, Outcome: r.Outcome, Identity: r.Identity, Began: r.Began.Sub(f.clockStart), Ended: r.Ended.Sub(f.clockStart)}
	for _, v := range f.steerer.RecordAttempt(report, now) {
		f.execute(v, nil, now)
	}
	f.flush()
	f.updateChecks(now)
	f.shareUrgent()
}

// updateChecks hands out the connections to open and logs the checks that have ended. An
// attempt that finds no room is lost, and its check ends without a result.
func (f *Forwarder) updateChecks(now time.Duration) {
	if f.attempts == nil {
		return
	}
	for _, each := range f.steerer.Attempts(now) {
		f.attempts.Put(each)
	}
	for _, each := range f.steerer.TakeChecks() {
		if !each.Reconsidered {
			f.meter.CountCheck(each.Result)
		}
		f.verdictLog.LogCheck(&each, f.clockStart.Add(now))
	}
}

// recordLag tells the steerer if the goroutine hasn't run for too long.
func (f *Forwarder) recordLag(now time.Duration) {
	if now-f.lastTick > lagThreshold {
		f.steerer.RecordLag(now)
	}
}

// now returns the time on the steerer's clock.
func (f *Forwarder) now() time.Duration { return time.Since(f.clockStart) }

// handlePackets handles a packet and those queued behind it, until sendBatch buffers are in
// use.
func (f *Forwarder) handlePackets(p *packet) {
	now := f.now()
	f.recordLag(now)
	f.lastArrival.Store(int64(now))
	for {
		f.handlePacket(p, now)
		if len(f.pending) >= sendBatch {
			break
		}
		select {
		case p = <-f.incoming.Items():
			continue
		default:
		}
		break
	}
	for _, v := range f.steerer.TakeResets(now) {
		f.execute(v, nil, now)
	}
	f.flush()
	f.meter.ObserveBatch(f.now()-now, f.steerer.Flows())
	f.updateChecks(now)
	f.shareUrgent()
}

// handleWaiting handles the packets that wait now, at most queueCapacity.
func (f *Forwarder) handleWaiting() {
	if !f.hasCatalog {
		return
	}
	for last := f.handled + uint64(f.incoming.Len()); f.handled < last; {
		select {
		case p := <-f.incoming.Items():
			f.handlePackets(p)
		default:
			return
		}
	}
}

// shareUrgent shares the loads that other entries should learn of at once, if any.
func (f *Forwarder) shareUrgent() {
	if f.steerer.TakeUrgent() {
		f.shareLoads(f.steerer.Suspicions(f.now()), true)
	}
}

// flush sends the pending packets and releases their buffers.
func (f *Forwarder) flush() {
	f.outbox.Flush()
	for _, p := range f.pending {
		f.freePackets.Put(p)
	}
	f.pending = f.pending[:0]
}

// handlePacket decodes a packet and carries out the steerer's verdict on it.
func (f *Forwarder) handlePacket(p *packet, now time.Duration) {
	f.handled++
	f.pending = append(f.pending, p)
	datagram := p.bytes[:p.size]
	segment, err := f.codec.Decode(datagram)
	if err != nil {
		f.malformed++
		f.meter.CountMalformed()
		return
	}
	f.execute(f.steerer.Handle(segment, now), datagram, now)
}

// execute carries out a verdict, and counts and logs it.
func (f *Forwarder) execute(v agatesteer.Verdict, datagram []byte, now time.Duration) {
	f.meter.CountVerdict(v.Reason)
	if v.Evidence.Cold {
		f.meter.CountColdFlow()
	}
	f.verdictLog.LogVerdict(&v, f.clockStart.Add(now))
	switch v.Action {
	case agatesteer.Forward:
		f.codec.SetToken(datagram, v.Token)
		f.outbox.Add(v.Address, f.codec.AppendPrefix(f.outbox.Prefix(), v.Server), datagram)
		if v.Second != nil {
			f.sendSecond(v.Second, datagram)
		}
	case agatesteer.Reset:
		f.outbox.Add(f.codec.CallerAddress(v.Flow), nil, f.codec.Reset(v.Flow, v.Sequence))
	case agatesteer.Drop:
	}
}

// sendSecond sends a copy of a SYN to a second server. The copy has a buffer of its own,
// since the datagram must not change before the next flush.
func (f *Forwarder) sendSecond(to *agatesteer.Offer, datagram []byte) {
	f.meter.CountHedged(to.Doubt)
	p := f.acquirePacket()
	p.size = copy(p.bytes[:], datagram)
	f.pending = append(f.pending, p)
	f.codec.SetToken(p.bytes[:p.size], to.Token)
	f.outbox.Add(to.Address, f.codec.AppendPrefix(f.outbox.Prefix(), to.Server), p.bytes[:p.size])
}

// updateCatalog passes a newer catalog to the steerer.
func (f *Forwarder) updateCatalog(u CatalogUpdate) {
	f.steerer.Update(u.Catalog, f.now())
	if !u.ConfirmedAt.IsZero() {
		f.steerer.Confirm(u.ConfirmedAt.Sub(f.clockStart))
	}
	f.hasCatalog = f.hasCatalog || u.Catalog.Version() > 0
}

// tick does periodic work: it resets flows, shares loads and logs.
func (f *Forwarder) tick() {
	now := f.now()
	if now-f.lastTick > lagThreshold || f.incoming.Len() > lagQueueLength {
		f.steerer.RecordLag(now)
	}
	f.lastTick = now
	for _, v := range f.steerer.Tick(now) {
		f.execute(v, nil, now)
	}
	f.flush()
	f.updateChecks(now)
	f.shareLoads(f.steerer.Loads(now), false)
	for _, o := range f.steerer.HealthChanges(now) {
		f.verdictLog.LogOpinion(o, f.clockStart.Add(now))
	}
	for _, c := range f.steerer.RoomChanges(now) {
		f.verdictLog.LogRoom(c, f.clockStart.Add(now))
	}
	f.meter.SetShares(f.steerer.Shares())
	f.verdictLog.Tick(f.clockStart.Add(now))
	if f.malformed > f.loggedMalformed {
		f.log.Warn("flow: packets not understood", "packets", f.malformed-f.loggedMalformed)
		f.loggedMalformed = f.malformed
	}
}

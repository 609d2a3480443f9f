// Package agatekeeper provides the goroutine that keeps an entry's catalog in
// step with the store and with the other entries.
package agatekeeper

import (
	"context"
	"log/slog"
	"net/netip"
	"time"

	"agatereach/core/connection/agatesocket"
	"agatereach/core/process/agatedump"
	"agatereach/core/process/agatenotice"
	"agatereach/core/process/agatepause"
	"agatereach/core/process/agatering"
	"agatereach/core/process/agatesync"
	"agatereach/core/request/agateload"
	"agatereach/core/version/agatecatalog"
	"agatereach/entry/process/agatemeter"
	"agatereach/entry/process/agatestorereader"
)

const (
	// tick is the time between two looks at what falls due.
	tick = 100 * time.Millisecond
	// pauseLimit is the longest time between two ticks that is no pause of the
	// process. A slow VM of a twentieth of a core is late by less.
	pauseLimit = time.Second
	// lookInterval is the time between two looks at which entries are there.
	lookInterval = time.Second
	// queue is the number of notices that wait for the goroutine, and batch
	// that of those sent by one system call.
	queue = 256
	batch = 16
)

// View is the newest catalog and when it was known to be the newest.
type View struct {
	Catalog   *agatecatalog.Catalog
	Confirmed time.Time
}

// Handlers take what the keeper learns. They must not block for long.
type Handlers struct {
	// View takes a newer catalog, or the news that it is still the newest.
	View func(View)
	// Loads takes what another entry has seen of servers.
	Loads func(from string, loads []agateload.Load, partial bool)
}

// Keeper owns the sync of an entry.
type Keeper struct {
	sync     *agatesync.Sync
	reader   *agatestorereader.Reader
	outbox   *agatesocket.Outbox
	timing   Timing
	handlers Handlers
	// notices holds what other entries have sent, loads what this one has seen.
	notices *agatering.Ring[received]
	loads   *agatering.Ring[Loads]
	pause   *agatepause.Pause
	// started is the start of the sync's clock.
	started time.Time
	// duty is why the store is read, as last told.
	duty agatesync.Duty
	// reading is the order under way.
	reading reading
	// listed says that all registrations have been read since it last was due.
	listed bool
	// next is when the store is read next, and retry the time after the next
	// failure.
	next  time.Time
	retry time.Duration
	// near are the names of the entries of the data centre at the last look, and
	// looked is when that was.
	near   map[string]bool
	looked time.Time
	// malformed is the number of changes that were told of as unreadable.
	malformed uint64
	// unencoded is the number of changes that were told of as not encoded.
	unencoded uint64
	// lost says that the store was found to be lost.
	lost bool
	// published is the last view that was handed on.
	published View
	leave     chan struct{}
	// dumps holds the requests for the state, seeds newer seeds.
	dumps *agatering.Ring[chan agatedump.Dump]
	seeds *agatering.Ring[[]netip.AddrPort]
	meter *agatemeter.Meter
	log   *slog.Logger
}

// Loads is what this entry has seen of servers.
type Loads struct {
	// List holds the servers.
	List []agateload.Load
	// Urgent says that others should know of these at once.
	Urgent bool
}

// received is a notice and its sender.
type received struct {
	from   netip.AddrPort
	notice agatenotice.Notice
}

// New returns a keeper that sends through the socket of the entry's notices.
func New(sync *agatesync.Sync, started time.Time, reader *agatestorereader.Reader, socket *agatesocket.Socket, timing Timing, handlers Handlers, meter *agatemeter.Meter, log *slog.Logger) *Keeper {
	return &Keeper{
		sync: sync, reader: reader, timing: timing, handlers: handlers, log: log,
		outbox:  agatesocket.NewOutbox(socket, batch, 0),
		notices: agatering.New[received](queue),
		loads:   agatering.New[Loads](2),
		pause:   agatepause.New(pauseLimit),
		started: started, retry: timing.RetryMin,
		leave: make(chan struct{}, 1),
		dumps: agatering.New[chan agatedump.Dump](1),
		seeds: agatering.New[[]netip.AddrPort](1),
		meter: meter,
	}
}

// Handle takes a datagram of another entry.
func (k *Keeper) Handle(_ time.Time, from netip.AddrPort, datagram []byte) {
	notice, err := agatenotice.Decode(datagram)
	if err != nil {
		k.meter.Lost(agatemeter.Unreadable)
		k.log.Debug("link: datagram not understood", "from", from, "error", err)
		return
	}
	if !k.notices.Put(received{from: from, notice: notice}) {
		k.meter.Lost(agatemeter.Notices)
	}
}

// Flush ends a batch of datagrams.
func (k *Keeper) Flush() {}

// Loads returns the ring for what this entry has seen of servers.
func (k *Keeper) Loads() *agatering.Ring[Loads] { return k.loads }

// Leave lets others know that the process is about to end.
func (k *Keeper) Leave() {
	select {
	case k.leave <- struct{}{}:
	default:
	}
}

// Seeds returns the ring for newer addresses of seeds.
func (k *Keeper) Seeds() *agatering.Ring[[]netip.AddrPort] { return k.seeds }

// Dump returns what the keeper knows. The error is that of the context.
func (k *Keeper) Dump(ctx context.Context) (agatedump.Dump, error) {
	answer := make(chan agatedump.Dump, 1)
	if !k.dumps.Wait(ctx.Done(), answer) {
		return agatedump.Dump{}, ctx.Err()
	}
	select {
	case d := <-answer:
		return d, nil
	case <-ctx.Done():
		return agatedump.Dump{}, ctx.Err()
	}
}

// Run keeps the catalog until the context ends.
func (k *Keeper) Run(ctx context.Context) error {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	defer func() { k.stopReading() }()
	k.step(ctx)
	first := time.NewTimer(k.timing.First)
	defer first.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case r := <-k.notices.Items():
			k.receive(r)
		case l := <-k.loads.Items():
			k.takeLoads(l)
		case result := <-k.reader.Results():
			k.result(result)
		case answer := <-k.dumps.Items():
			answer <- k.sync.Dump(k.now())
		case seeds := <-k.seeds.Items():
			k.sync.SetSeeds(seeds)
		case <-k.leave:
			k.send(k.sync.Leave(k.now()))
		case <-first.C:
		case <-ticker.C:
		}
		k.step(ctx)
	}
}

// now returns the time of the sync's clock.
func (k *Keeper) now() time.Duration { return time.Since(k.started) }

// step does what is due after any event.
func (k *Keeper) step(ctx context.Context) {
	if k.pause.Beat(time.Now()) {
		k.log.Warn("entry: the process has been paused")
		k.sync.Paused()
		k.stopReading()
		k.next = time.Time{}
	}
	k.send(k.sync.Tick(k.now()))
	k.read(ctx)
	k.publish()
	k.look()
}

// look tells which entries of the data centre were found or lost, from time to
// time.
func (k *Keeper) look() {
	if time.Since(k.looked) < lookInterval {
		return
	}
	k.looked = time.Now()
	near := make(map[string]bool)
	for _, name := range k.sync.Near() {
		near[name] = true
		if !k.near[name] {
			k.log.Info("link: entry found", "vm", name)
		}
	}
	for name := range k.near {
		if !near[name] {
			k.log.Warn("link: entry lost", "vm", name)
		}
	}
	k.near = near
	if malformed := k.sync.Malformed(); malformed > k.malformed {
		k.log.Warn("link: changes not understood", "changes", malformed-k.malformed)
		k.malformed = malformed
	}
	if unencoded := k.sync.Unencoded(); unencoded > k.unencoded {
		k.log.Error("link: configuration not encoded for others", "changes", unencoded-k.unencoded)
		k.unencoded = unencoded
	}
}

// receive takes in a notice.
func (k *Keeper) receive(r received) {
	sends := k.sync.Receive(r.from, r.notice, k.now())
	k.publish()
	k.send(sends)
	if b := r.notice.Beat; b != nil && len(b.Loads) > 0 {
		k.handlers.Loads(b.Name, b.Loads, b.Partial)
	}
}

// takeLoads takes in what this entry has seen of servers.
func (k *Keeper) takeLoads(l Loads) {
	if l.Urgent {
		k.send(k.sync.Urge(l.List, k.now()))
		return
	}
	k.sync.SetLoads(l.List)
}

// publish hands on what has changed.
func (k *Keeper) publish() {
	view := View{Catalog: k.sync.Catalog()}
	if confirmed := k.sync.Confirmed(); confirmed > 0 {
		view.Confirmed = k.started.Add(confirmed)
	}
	if view == k.published {
		return
	}
	if from := k.version(); view.Catalog.Version() != from {
		k.log.Info("config: in force", "version", view.Catalog.Version(), "from", from)
	}
	k.measure(view)
	k.published = view
	k.handlers.View(view)
}

// measure brings the metrics up to date with a view.
func (k *Keeper) measure(view View) {
	k.meter.Confirmed(view.Confirmed)
	k.meter.Peers(k.sync.Peers())
	if view.Catalog != k.published.Catalog {
		k.meter.Catalog(view.Catalog)
	}
	if k.version() == 0 && view.Catalog.Version() > 0 {
		k.meter.Started(time.Since(k.started))
	}
}

// version returns the version that was last handed on.
func (k *Keeper) version() int64 {
	if k.published.Catalog == nil {
		return 0
	}
	return k.published.Catalog.Version()
}

// send sends notices. Each distinct one is encoded once.
func (k *Keeper) send(sends []agatesync.Send) {
	encoded := make(map[agatenotice.Notice][]byte)
	for _, s := range sends {
		datagram, ok := encoded[s.Notice]
		if !ok {
			var err error
			if datagram, err = s.Notice.Encode(); err != nil {
				k.log.Error("link: notice not encoded", "error", err)
				continue
			}
			encoded[s.Notice] = datagram
		}
		k.outbox.Add(s.To, nil, datagram)
	}
	k.outbox.Flush()
}

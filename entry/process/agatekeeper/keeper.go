// Package agatekeeper provides the goroutine that keeps an entry's catalog
// synchronized with the store and with the other entries.
package agatekeeper

import (
	"context"
	"log/slog"
	"net/netip"
	"strconv"
	"time"

	"agatereach/core/connection/agatesocket"
	"agatereach/core/process/agatedump"
	"agatereach/core/process/agatenotice"
	"agatereach/core/process/agatepause"
	"agatereach/core/process/agatering"
	"agatereach/core/process/agatesync"
	"agatereach/core/request/agateload"
	"agatereach/core/version/agatecatalog"
	"agatereach/core/version/agateevacuation"
	"agatereach/core/version/agateinstance"
	"agatereach/entry/process/agatemeter"
	"agatereach/entry/process/agatestorereader"
)

const (
	// tickInterval is the time between two checks of what is due.
	tickInterval = 100 * time.Millisecond
	// pauseLimit is the longest time between two ticks that does not count as a
	// pause of the process. A slow VM with a twentieth of a core is late by less.
	pauseLimit = time.Second
	// peerCheckInterval is the time between two checks of which entries are known.
	peerCheckInterval = time.Second
	// queueCapacity is the number of received notices that may wait for the
	// goroutine, and sendBatch the number of notices sent by one system call.
	queueCapacity = 256
	sendBatch     = 16
)

// View is the newest known catalog and the last time at which it was known to be
// current.
type View struct {
	Catalog     *agatecatalog.Catalog
	ConfirmedAt time.Time
}

// Handlers are the callbacks for what the keeper learns. They must not block for
// long.
type Handlers struct {
	// View is called with a newer catalog, or with a later time at which the
	// catalog was current.
	View func(View)
	// Heartbeat is called with each heartbeat of another entry.
	Heartbeat func(*agatenotice.Heartbeat)
}

// Keeper owns the synchronization state of an entry.
type Keeper struct {
	sync     *agatesync.Sync
	reader   *agatestorereader.Reader
	outbox   *agatesocket.Outbox
	timing   Timing
	handlers Handlers
	// notices holds the notices received from other entries, and loadUpdates the
	// server loads that this entry has observed.
	notices       *agatering.Ring[receivedNotice]
	loadUpdates   *agatering.Ring[LoadUpdate]
	pauseDetector *agatepause.Pause
	// clockStart is the zero time of the sync's clock.
	clockStart time.Time
	// duty is the last logged reason for reading the store.
	duty agatesync.Duty
	// currentRead is the read that is under way.
	currentRead storeRead
	// nextRead is the earliest time of the next read, and retryDelay the delay
	// after the next failure, before jitter.
	nextRead   time.Time
	retryDelay time.Duration
	// knownPeers holds the names of the data centre's entries that were known at
	// the last check, and lastPeerCheck the time of that check.
	knownPeers    map[string]bool
	lastPeerCheck time.Time
	// loggedMalformed is the number of malformed changes logged so far.
	loggedMalformed uint64
	// loggedUnencoded is the number of logged changes that could not be encoded.
	loggedUnencoded uint64
	// storeEra is the era of the store's last answer.
	storeEra uint32
	// storeFailing is whether a read has failed since the last successful one.
	storeFailing bool
	// publishedView is the view last passed to the handlers.
	publishedView View
	leaveRequests chan struct{}
	// dumpRequests holds requests for the state, and seedUpdates new addresses of
	// the seeds.
	dumpRequests *agatering.Ring[chan agatedump.Dump]
	seedUpdates  *agatering.Ring[[]netip.AddrPort]
	meter        *agatemeter.Meter
	log          *slog.Logger
}

// LoadUpdate holds the loads of backend servers as this entry observes them.
type LoadUpdate struct {
	Loads []agateload.Load
	// Urgent is whether other entries should learn of these loads at once.
	Urgent bool
}

// receivedNotice is a notice and the address of its sender.
type receivedNotice struct {
	from   netip.AddrPort
	notice agatenotice.Notice
}

// New returns a keeper that sends notices through socket. clockStart is the zero
// time of the sync's clock.
func New(sync *agatesync.Sync, clockStart time.Time, reader *agatestorereader.Reader, socket *agatesocket.Socket, timing Timing, handlers Handlers, meter *agatemeter.Meter, log *slog.Logger) *Keeper {
	return &Keeper{
		sync: sync, reader: reader, timing: timing, handlers: handlers, log: log,
		outbox:        agatesocket.NewOutbox(socket, sendBatch, 0),
		notices:       agatering.New[receivedNotice](queueCapacity),
		loadUpdates:   agatering.New[LoadUpdate](2),
		pauseDetector: agatepause.New(pauseLimit),
		clockStart:    clockStart, retryDelay: timing.RetryMin,
		leaveRequests: make(chan struct{}, 1),
		dumpRequests:  agatering.New[chan agatedump.Dump](1),
		seedUpdates:   agatering.New[[]netip.AddrPort](1),
		meter:         meter,
	}
}

// Handle decodes a datagram of another entry and queues it. Datagrams that cannot be
// decoded and those that find the queue full are dropped and counted.
func (k *Keeper) Handle(_ time.Time, from netip.AddrPort, datagram []byte) {
	notice, err := agatenotice.Decode(datagram)
	if err != nil {
		k.meter.CountLoss(agatemeter.Unreadable)
		k.log.Debug("link: datagram not understood", "from", from, "error", err)
		return
	}
	if !k.notices.Put(receivedNotice{from: from, notice: notice}) {
		k.meter.CountLoss(agatemeter.NoticeQueue)
	}
}

// Flush does nothing: datagrams are handled one by one.
func (k *Keeper) Flush() {}

// LoadUpdates returns the queue for the loads that this entry observes.
func (k *Keeper) LoadUpdates() *agatering.Ring[LoadUpdate] { return k.loadUpdates }

// Leave announces to the other entries that the process is about to exit.
func (k *Keeper) Leave() {
	select {
	case k.leaveRequests <- struct{}{}:
	default:
	}
}

// SeedUpdates returns the queue for new addresses of the seeds.
func (k *Keeper) SeedUpdates() *agatering.Ring[[]netip.AddrPort] { return k.seedUpdates }

// Dump returns the keeper's state. The error is that of the context.
func (k *Keeper) Dump(ctx context.Context) (agatedump.Dump, error) {
	reply := make(chan agatedump.Dump, 1)
	if !k.dumpRequests.Wait(ctx.Done(), reply) {
		return agatedump.Dump{}, ctx.Err()
	}
	select {
	case d := <-reply:
		return d, nil
	case <-ctx.Done():
		return agatedump.Dump{}, ctx.Err()
	}
}

// Run synchronizes the catalog until the context ends.
func (k *Keeper) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	defer func() { k.cancelRead() }()
	k.step(ctx)
	startDelay := time.NewTimer(k.timing.StartDelay)
	defer startDelay.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case r := <-k.notices.Items():
			k.handleNotice(r)
		case l := <-k.loadUpdates.Items():
			k.handleLoadUpdate(l)
		case result := <-k.reader.Results():
			k.handleResult(result)
		case reply := <-k.dumpRequests.Items():
			reply <- k.sync.Dump(k.now())
		case seeds := <-k.seedUpdates.Items():
			k.sync.SetSeeds(seeds)
		case <-k.leaveRequests:
			k.send(k.sync.Leave(k.now()))
		case <-startDelay.C:
		case <-ticker.C:
		}
		k.step(ctx)
	}
}

// now returns the time on the sync's clock.
func (k *Keeper) now() time.Duration { return time.Since(k.clockStart) }

// step does what is due. It runs after every event.
func (k *Keeper) step(ctx context.Context) {
	if k.pauseDetector.Beat(time.Now()) {
		k.log.Warn("entry: the process has been paused")
		k.sync.HandlePause()
		k.cancelRead()
		k.nextRead = time.Time{}
	}
	k.send(k.sync.Tick(k.now()))
	k.advanceRead(ctx)
	k.publish("")
	k.logPeerChanges()
}

// logPeerChanges logs which entries of the data centre appeared or disappeared, and
// how many changes could not be decoded or encoded, once per peerCheckInterval.
func (k *Keeper) logPeerChanges() {
	if time.Since(k.lastPeerCheck) < peerCheckInterval {
		return
	}
	k.lastPeerCheck = time.Now()
	peers := make(map[string]bool)
	for _, name := range k.sync.LocalPeers() {
		peers[name] = true
		if !k.knownPeers[name] {
			k.log.Info("link: entry found", "vm", name)
		}
	}
	for name := range k.knownPeers {
		if !peers[name] {
			k.log.Warn("link: entry lost", "vm", name)
		}
	}
	k.knownPeers = peers
	if malformed := k.sync.MalformedChanges(); malformed > k.loggedMalformed {
		k.log.Warn("link: changes not understood", "changes", malformed-k.loggedMalformed)
		k.loggedMalformed = malformed
	}
	if unencoded := k.sync.EncodeFailures(); unencoded > k.loggedUnencoded {
		k.log.Error("link: configuration not encoded for others", "changes", unencoded-k.loggedUnencoded)
		k.loggedUnencoded = unencoded
	}
}

// handleNotice processes a notice of another entry.
func (k *Keeper) handleNotice(r receivedNotice) {
	sends := k.sync.Receive(r.from, r.notice, k.now())
	k.publish(r.from.String())
	k.send(sends)
	if b := r.notice.Heartbeat; b != nil {
		k.handlers.Heartbeat(b)
	}
}

// handleLoadUpdate passes the loads that this entry observes to the sync.
func (k *Keeper) handleLoadUpdate(update LoadUpdate) {
	if update.Urgent {
		k.send(k.sync.SendUrgentLoads(update.Loads, k.now()))
		return
	}
	k.sync.SetLoads(update.Loads)
}

// publish passes the view to the handlers and the metrics if it has changed. source
// names the store or the entry from which the change was learnt.
func (k *Keeper) publish(source string) {
	view := View{Catalog: k.sync.Catalog()}
	if confirmed := k.sync.ConfirmedAt(); confirmed > 0 {
		view.ConfirmedAt = k.clockStart.Add(confirmed)
	}
	if view == k.publishedView {
		return
	}
	k.logChange(view.Catalog, source)
	k.logEvacuations(view, source)
	k.updateMetrics(view)
	k.publishedView = view
	k.handlers.View(view)
}

// logChange logs a configuration that is newly in force, a restore of the store, and
// registrations that contradict each other.
func (k *Keeper) logChange(catalog *agatecatalog.Catalog, source string) {
	before := k.publishedView.Catalog
	if before == nil {
		before = new(agatecatalog.Catalog)
	}
	if written := catalog.Stamp().Written; catalog.Stamp() != before.Stamp() {
		k.log.Info("config: in force", "version", catalog.Version(), "from", before.Version(),
			"era", written.Era, "revision", written.Revision, "source", source)
	}
	if at, was := catalog.Position(), before.Position(); at.Era != was.Era && was.Revision > 0 {
		k.log.Warn("store: restored", "era", at.Era, "revision", at.Revision, "from_era", was.Era, "from_revision", was.Revision,
			"version", catalog.Version(), "carried", countCarried(catalog), "source", source)
	}
	if contradicted := catalog.Contradicted(before); len(contradicted) > 0 {
		first := contradicted[0]
		in, _ := catalog.Newest(first.ID)
		k.log.Warn("store: server registered at two addresses with one start time", "server", strconv.FormatUint(first.ID, 16),
			"address", in.Address, "before", first.Address, "servers", len(contradicted), "source", source)
	}
}

// logEvacuations logs the data centres that are newly evacuated, and those that no longer
// are, with the time since the catalog was known to be the newest; negative if it never was.
func (k *Keeper) logEvacuations(view View, source string) {
	before := k.publishedView.Catalog
	if before == nil {
		before = new(agatecatalog.Catalog)
	}
	if view.Catalog == before {
		return
	}
	var changed []agateevacuation.Evacuation
	for _, record := range view.Catalog.Evacuations() {
		if record.Active != before.Evacuated(record.Centre) {
			changed = append(changed, record)
		}
	}
	for _, record := range before.Evacuations() {
		// A restored store may hold no record.
		if _, held := view.Catalog.Evacuation(record.Centre); !held && record.Active {
			changed = append(changed, record.WithEnd(view.Catalog.Position()))
		}
	}
	age := time.Duration(-1)
	if !view.ConfirmedAt.IsZero() {
		age = time.Since(view.ConfirmedAt)
	}
	for _, record := range changed {
		message := "centre: taken back"
		if record.Active {
			message = "centre: evacuated"
		}
		k.log.Warn(message, "centre", record.Centre, "era", record.Era, "revision", record.Revision,
			"age", age, "servers", countServers(view.Catalog, record.Centre), "source", source)
	}
}

// countServers returns the number of servers of a data centre that are not gone.
func countServers(catalog *agatecatalog.Catalog, centre string) int {
	servers := 0
	for instance := range catalog.All() {
		if instance.Centre == centre && instance.State != agateinstance.Gone {
			servers++
		}
	}
	return servers
}

// countCarried returns the number of incarnations whose state is known from an earlier era.
func countCarried(catalog *agatecatalog.Catalog) int {
	carried := 0
	for instance := range catalog.All() {
		if instance.Carried() {
			carried++
		}
	}
	return carried
}

// updateMetrics sets the metrics that depend on the view.
func (k *Keeper) updateMetrics(view View) {
	k.meter.SetConfirmed(view.ConfirmedAt)
	k.meter.SetPeers(k.sync.PeerCount())
	if view.Catalog != k.publishedView.Catalog {
		k.meter.SetCatalog(view.Catalog)
	}
	if k.publishedVersion() == 0 && view.Catalog.Version() > 0 {
		k.meter.SetStartDuration(time.Since(k.clockStart))
	}
}

// publishedVersion returns the configuration version last passed to the handlers.
func (k *Keeper) publishedVersion() int64 {
	if k.publishedView.Catalog == nil {
		return 0
	}
	return k.publishedView.Catalog.Version()
}

// send sends notices. A notice for several entries is encoded once.
func (k *Keeper) send(sends []agatesync.OutgoingNotice) {
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

// Package agatedirect runs the entry process for direct server return: backend
// servers answer the callers themselves, so that the entry sees only the packets
// that callers send.
package agatedirect

import (
	"cmp"
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"agatereach/core/connection/agatesocket"
	"agatereach/core/process/agatedump"
	"agatereach/core/process/agatemerge"
	"agatereach/core/process/agatenotice"
	"agatereach/core/process/agatepanic"
	"agatereach/core/process/agatesetup"
	"agatereach/core/process/agatesteer"
	"agatereach/core/process/agatesync"
	"agatereach/core/request/agateload"
	"agatereach/entry/connection/agatereceiver"
	"agatereach/entry/process/agatechecker"
	"agatereach/entry/process/agatecollector"
	"agatereach/entry/process/agateendpoint"
	"agatereach/entry/process/agateforwarder"
	"agatereach/entry/process/agateinspect"
	"agatereach/entry/process/agatekeeper"
	"agatereach/entry/process/agatelogsink"
	"agatereach/entry/process/agatemeter"
	"agatereach/entry/process/agatereadiness"
	"agatereach/entry/process/agatestorereader"
)

const (
	// receiveBatch is the maximum number of packets read by one system call.
	receiveBatch = 32
	// quietBeforeStop is how long no packet must have arrived after the stop
	// signal before the process exits. It exceeds the interval between two health
	// checks of the routers.
	quietBeforeStop = 700 * time.Millisecond
	// routerReactionTime is how long routers may keep sending new flows after the
	// stop signal: they check readiness twice a second, and two checks must fail.
	routerReactionTime = 1200 * time.Millisecond
	// graceMargin is how long before the end of the grace period the process
	// exits.
	graceMargin = time.Second
	// stopCheckInterval is the interval at which a stopping process checks whether
	// packets still arrive.
	stopCheckInterval = 100 * time.Millisecond
	// reregistrationTime is how long after an outage of the store a server whose
	// registration expired during it may take to register again. Servers write to
	// the store about once a second.
	reregistrationTime = 2250 * time.Millisecond
	// defaultBeat is the time between two writes of a server to the store if the
	// settings do not name it, and leaseBeats the number of those that a server misses
	// before its registration expires.
	defaultBeat = 1200 * time.Millisecond
	leaseBeats  = 3
	// settingsCheckInterval is the interval at which the settings are read again
	// without a signal. Each check reads one small file.
	settingsCheckInterval = 5 * time.Second
	// flowsPerMB is the number of flows tracked per MB of memory: a quarter of the
	// memory at 256 bytes per flow.
	flowsPerMB = (1 << 20) / 4 / 256
)

// SettingsLoader reads the settings. It is called whenever they may have changed.
type SettingsLoader func() (*agatesetup.Setup, error)

// Direct is an entry process.
type Direct struct {
	// setup holds the settings read at the start. Only the seeds are replaced
	// while the process runs.
	setup        *agatesetup.Setup
	loadSettings SettingsLoader
	codec        agateforwarder.Codec
	source       agatestorereader.Source
	// serverID reads the id of a server from the header of its health endpoint's answer;
	// nil if none is asked.
	serverID  func(http.Header) (uint64, bool)
	readiness agatereadiness.Readiness
	meter     *agatemeter.Meter
	collector *agatecollector.Collector
	stopping  atomic.Bool
	sink      *agatelogsink.Sink
	log       *slog.Logger
}

// Option changes a Direct.
type Option func(*Direct)

// WithServerID has the id of the server that answers at a health endpoint read by a function
// from the header of its answer. Without it, no endpoint is asked.
func WithServerID(serverID func(http.Header) (uint64, bool)) Option {
	return func(d *Direct) { d.serverID = serverID }
}

// New returns a process that decodes packets with codec, reads the store through
// source and logs to log, which must write to sink. loadSettings is called to
// reread the settings while the process runs.
func New(setup *agatesetup.Setup, loadSettings SettingsLoader, codec agateforwarder.Codec, source agatestorereader.Source, sink *agatelogsink.Sink, log *slog.Logger, options ...Option) *Direct {
	d := &Direct{
		setup: setup, loadSettings: loadSettings, codec: codec, source: source,
		meter: agatemeter.New(sink.Dropped), sink: sink, log: log,
	}
	for _, each := range options {
		each(d)
	}
	return d
}

// Run serves until the context ends or a stop signal arrives, and returns once
// all queued log lines are written.
func (d *Direct) Run(ctx context.Context) error {
	logging, stopLogging := context.WithCancel(context.Background())
	var writer errgroup.Group
	writer.Go(func() error { return d.sink.Run(logging) })
	err := d.serve(ctx)
	if err != nil {
		d.log.Error("entry: ended", "error", err)
	} else {
		d.log.Info("entry: stopped")
	}
	stopLogging()
	return errors.Join(err, writer.Wait())
}

// serve runs the goroutines of the process until one of them fails, the context
// ends or a stop signal arrives.
func (d *Direct) serve(ctx context.Context) error {
	collector, cleanupCollector := agatecollector.New(int(d.setup.MemoryMB))
	defer cleanupCollector()
	d.collector = collector
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer signal.Stop(signals)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	socket, cleanup, err := agatesocket.Listen(ctx, d.setup.Packets, false)
	if err != nil {
		return err
	}
	defer cleanup()
	ready, err := agateendpoint.New(ctx, d.setup.Ready, &d.readiness)
	if err != nil {
		return err
	}
	links, cleanupLinks, err := agatesocket.Listen(ctx, d.setup.Links, false)
	if err != nil {
		return err
	}
	defer cleanupLinks()
	p := d.newComponents(ctx, socket, links)
	runInspection, err := d.newInspection(ctx, p)
	if err != nil {
		return err
	}
	group, ctx := errgroup.WithContext(ctx)
	runSignals := func(ctx context.Context) error { return d.handleSignals(ctx, signals, p, cancel) }
	for _, each := range []duty{
		{"packets", agatereceiver.New(socket, p.forwarder, receiveBatch).Run},
		{"notices", agatereceiver.New(links, p.keeper, receiveBatch).Run},
		{"forwarder", p.forwarder.Run},
		{"checker", p.checker.Run},
		{"keeper", p.keeper.Run},
		{"store reader", p.reader.Run},
		{"readiness", ready.Run},
		{"inspection", runInspection},
		{"signals", runSignals},
	} {
		// A panic may leave the goroutine's state inconsistent, so the process logs
		// the cause and exits, to be restarted.
		group.Go(func() error { return agatepanic.Catch(each.name, func() error { return each.run(ctx) }) })
	}
	d.log.Info("entry: started", "vm", d.setup.Name, "centre", d.setup.Centre)
	return group.Wait()
}

// steerPolicy derives the steerer's policy from the settings.
func (d *Direct) steerPolicy() agatesteer.Policy {
	p := agatesteer.DefaultPolicy()
	p.Flows = int(d.setup.MemoryMB * flowsPerMB)
	// Two thirds of the bound leave one third for the transit of the answer.
	p.MaxCatalogAge = d.setup.Bounds.ConfigTime() * 2 / 3
	p.WarmUp.Entry = d.setup.Name
	p.WarmUp.Over, p.WarmUp.Slack = d.setup.Cold.Over, d.setup.Cold.Slack
	p.Hedge.Share = d.setup.Hedge.Share
	return p
}

// readTiming derives the timing of store reads from the settings.
func (d *Direct) readTiming() agatekeeper.Timing {
	bound := d.changeBound()
	return agatekeeper.Timing{
		WatchWait:     bound * 2 / 3,
		AnswerTimeout: bound / 6,
		ListTimeout:   4 * bound,
		StartDelay:    d.syncPolicy().StartupWait,
		WatchPause:    bound / 10,
		RetryMin:      50 * time.Millisecond,
		RetryMax:      bound / 4,
		// The readers of the data centre retry sooner.
		NonReaderDelay: bound,
		// Heartbeats to seeds are repeated after a second, also on links that lose
		// packets.
		SettleDelay:  bound / 3,
		StuckTimeout: bound / 8,
	}
}

// changeBound returns the time within which any change must be in force.
func (d *Direct) changeBound() time.Duration {
	bound := min(d.setup.Bounds.ConfigTime(), d.setup.Bounds.DrainTime())
	if evacuate := d.setup.Bounds.EvacuateTime(); evacuate > 0 {
		bound = min(bound, evacuate)
	}
	return bound
}

// syncPolicy derives the policy for synchronizing with other entries from the
// settings.
func (d *Direct) syncPolicy() agatesync.Policy {
	policy := agatesync.DefaultPolicy(d.changeBound())
	if link := d.setup.LinkBytes(); link > 0 {
		policy = policy.WithLink(link)
	}
	return policy
}

// mergePolicy derives the policy for registrations that disappear from the store.
func (d *Direct) mergePolicy() agatemerge.Policy {
	return agatemerge.Policy{
		RemovalGrace:  d.setup.Bounds.DrainTime() / 3,
		OutageGrace:   reregistrationTime,
		LeaseTime:     leaseBeats*cmp.Or(d.setup.Bounds.BeatTime(), defaultBeat) + reregistrationTime,
		GoneRetention: d.setup.Bounds.LifetimeTime(),
	}
}

// duty is the function of one goroutine, which runs until the context ends. The
// name identifies it in logged panics.
type duty struct {
	name string
	run  func(context.Context) error
}

// components are the parts of the process that have a goroutine of their own.
type components struct {
	forwarder *agateforwarder.Forwarder
	checker   *agatechecker.Checker
	keeper    *agatekeeper.Keeper
	reader    *agatestorereader.Reader
}

// newComponents creates the components and connects them.
func (d *Direct) newComponents(ctx context.Context, socket, links *agatesocket.Socket) components {
	// The sync's clock must start above 0, since 0 stands for "never".
	started := time.Now().Add(-time.Second)
	self := agatesync.Self{Name: d.setup.Name, Centre: d.setup.Centre, Address: d.setup.Links, Boot: rand.Uint64() | 1}
	sync := agatesync.New(self, d.seedAddresses(d.setup), d.syncPolicy(), agatemerge.New(d.mergePolicy()), rand.Float64)
	var p components
	p.reader = agatestorereader.New(d.source)
	share := func(loads []agateload.Load, urgent bool) {
		p.keeper.LoadUpdates().Put(agatekeeper.LoadUpdate{Loads: loads, Urgent: urgent})
	}
	p.checker = agatechecker.New(agatechecker.WithServerID(d.serverID))
	p.forwarder = agateforwarder.New(d.steerPolicy(), d.setup.Centre, d.codec, socket, share, d.meter, d.log, agateforwarder.WithChecks(p.checker))
	p.keeper = agatekeeper.New(sync, started, p.reader, links, d.readTiming(), d.handlers(ctx, p.forwarder), d.meter, d.log)
	return p
}

// newInspection returns a function that serves metrics and the state of the
// process. It does nothing if the settings name no address for that.
func (d *Direct) newInspection(ctx context.Context, p components) (func(context.Context) error, error) {
	if !d.setup.Inspect.IsValid() {
		return func(context.Context) error { return nil }, nil
	}
	dump := func(ctx context.Context) (agatedump.Dump, error) {
		dump, err := p.keeper.Dump(ctx)
		if err != nil {
			return dump, err
		}
		return dump, p.forwarder.Dump(ctx, &dump)
	}
	handler := agateinspect.New(d.meter.Handler(), dump, d.log)
	endpoint, err := agateendpoint.New(ctx, d.setup.Inspect, handler)
	if err != nil {
		return nil, err
	}
	return endpoint.Run, nil
}

// seedAddresses returns the addresses at which the seeds receive notices. All
// entries use the same port for that.
func (d *Direct) seedAddresses(s *agatesetup.Setup) []netip.AddrPort {
	seeds := make([]netip.AddrPort, len(s.Seeds))
	for i, seed := range s.Seeds {
		seeds[i] = netip.AddrPortFrom(seed.Addr(), d.setup.Links.Port())
	}
	return seeds
}

// handlers returns callbacks that pass what the keeper learns to the forwarder.
func (d *Direct) handlers(ctx context.Context, forwarder *agateforwarder.Forwarder) agatekeeper.Handlers {
	return agatekeeper.Handlers{
		View: func(v agatekeeper.View) {
			forwarder.CatalogUpdates().Wait(ctx.Done(), agateforwarder.CatalogUpdate{Catalog: v.Catalog, ConfirmedAt: v.ConfirmedAt})
			if v.Catalog.Version() > 0 && !d.stopping.Load() {
				d.readiness.Set(true)
				d.collector.ScheduleResume()
			}
		},
		Heartbeat: func(b *agatenotice.Heartbeat) {
			forwarder.LoadReports().Put(agateforwarder.LoadReport{
				From: b.Name, Centre: b.Centre, Loads: b.Loads, Partial: b.Partial, Leaving: b.Leaving,
			})
		},
	}
}

// handleSignals reloads the settings on SIGHUP and at intervals, also while the process
// stops. The first other signal begins the stop; cancel is called at its end.
func (d *Direct) handleSignals(ctx context.Context, signals <-chan os.Signal, p components, cancel func()) error {
	settings := time.NewTicker(settingsCheckInterval)
	defer settings.Stop()
	var signalled time.Time
	var stopCheck <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-settings.C:
			d.reload(p, false)
		case s := <-signals:
			switch {
			case s == syscall.SIGHUP:
				d.reload(p, true)
			case signalled.IsZero():
				signalled = time.Now()
				ticker := time.NewTicker(stopCheckInterval)
				defer ticker.Stop()
				stopCheck = ticker.C
				d.beginStop(p)
			}
		case <-stopCheck:
			if d.stopDue(time.Since(signalled), p.forwarder.Idle()) {
				cancel()
				return nil
			}
		}
	}
}

// reload rereads the settings and applies new seeds. Addresses and limits are
// fixed for the life of the process, since a change of them would end it anyway.
// requested is whether a signal asked for the reload.
func (d *Direct) reload(p components, requested bool) {
	next, err := d.loadSettings()
	switch {
	case err != nil:
		d.log.Warn("settings: not taken over", "error", err)
	case !slices.Equal(next.Seeds, d.setup.Seeds):
		d.log.Info("settings: seeds taken over", "seeds", len(next.Seeds))
		p.keeper.SeedUpdates().Put(d.seedAddresses(next))
		d.setup = d.setup.WithSeeds(next.Seeds)
	case requested:
		d.log.Info("settings: read again, nothing to take over")
	}
}

// beginStop reports the process as not ready and announces its end to the other entries.
func (d *Direct) beginStop(p components) {
	d.stopping.Store(true)
	d.readiness.Set(false)
	d.log.Info("entry: stopping")
	p.keeper.Leave()
}

// stopDue reports whether a stop that began the given time ago is over: the routers send
// packets to other entries instead, or the grace period is about to end.
func (d *Direct) stopDue(since, idle time.Duration) bool {
	return since >= d.setup.Bounds.GraceTime()-graceMargin || since >= routerReactionTime && idle >= quietBeforeStop
}

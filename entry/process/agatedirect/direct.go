// Package agatedirect joins the parts of an entry process whose backend servers
// answer the callers themselves.
package agatedirect

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
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
	"agatereach/core/process/agatepanic"
	"agatereach/core/process/agatesetup"
	"agatereach/core/process/agatesteer"
	"agatereach/core/process/agatesync"
	"agatereach/core/request/agateload"
	"agatereach/entry/connection/agatereceiver"
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
	// receiveBatch is the number of packets read by one system call.
	receiveBatch = 32
	// settled is how long no packet must have come after the signal to stop
	// before the process ends: longer than the routers take between two checks.
	settled = 700 * time.Millisecond
	// rotation is how long routers may go on sending new flows after the signal to
	// stop: they look twice a second, and two looks must fail.
	rotation = 1200 * time.Millisecond
	// graceMargin is how long before the end of the grace the process ends.
	graceMargin = time.Second
	// stopCheck is the time between two looks at whether packets still come.
	stopCheck = 100 * time.Millisecond
	// registrationReturn is how long after an outage of the store a registration
	// that lapsed with it may take to come back: servers write about once a second.
	registrationReturn = 2250 * time.Millisecond
	// settingsCheck is the time between two looks at whether the settings have
	// changed without a signal. A look reads one small file.
	settingsCheck = 5 * time.Second
	// flowsPerMB is the number of flows followed for each MB of memory: a
	// quarter of it at 256 bytes a flow.
	flowsPerMB = (1 << 20) / 4 / 256
)

// Load reads the settings, at the start and whenever they may have changed.
type Load func() (*agatesetup.Setup, error)

// Direct is an entry process.
type Direct struct {
	// setup holds the settings of the start, of which only the seeds are
	// replaced while the process runs.
	setup     *agatesetup.Setup
	load      Load
	codec     agateforwarder.Codec
	source    agatestorereader.Source
	readiness agatereadiness.Readiness
	meter     *agatemeter.Meter
	collector *agatecollector.Collector
	stopping  atomic.Bool
	sink      *agatelogsink.Sink
	log       *slog.Logger
}

// New returns a process that reads packets by codec and the store by source, and
// logs to log, which writes to sink. load reads its settings again.
func New(setup *agatesetup.Setup, load Load, codec agateforwarder.Codec, source agatestorereader.Source, sink *agatelogsink.Sink, log *slog.Logger) *Direct {
	return &Direct{
		setup: setup, load: load, codec: codec, source: source,
		meter: agatemeter.New(sink.Dropped), sink: sink, log: log,
	}
}

// Run serves until a signal to stop, and returns once the log is written.
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

// serve runs the duties until a signal to stop.
func (d *Direct) serve(ctx context.Context) error {
	collector, cleanupCollector := agatecollector.New(d.setup.MemoryMB)
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
	p := d.parts(ctx, socket, links)
	inspect, err := d.inspect(ctx, p)
	if err != nil {
		return err
	}
	group, ctx := errgroup.WithContext(ctx)
	watch := func(ctx context.Context) error { return d.watch(ctx, signals, p, cancel) }
	for _, each := range []duty{
		{"packets", agatereceiver.New(socket, p.forwarder, receiveBatch).Run},
		{"notices", agatereceiver.New(links, p.keeper, receiveBatch).Run},
		{"forwarder", p.forwarder.Run},
		{"keeper", p.keeper.Run},
		{"store reader", p.reader.Run},
		{"readiness", ready.Run},
		{"inspection", inspect},
		{"signals", watch},
	} {
		// A duty that panics may leave its state unsound: the process ends with the
		// cause in its log, and is started again.
		group.Go(func() error { return agatepanic.Catch(each.name, func() error { return each.run(ctx) }) })
	}
	d.log.Info("entry: started", "vm", d.setup.Name, "centre", d.setup.Centre)
	return group.Wait()
}

// policy returns the steerer's policy for the settings.
func (d *Direct) policy() agatesteer.Policy {
	p := agatesteer.DefaultPolicy()
	p.Flows = d.setup.MemoryMB * flowsPerMB
	// A view of two thirds of the bound leaves a third for the answer's way.
	p.Fresh = d.setup.Bounds.ConfigTime() * 2 / 3
	return p
}

// timing returns the times of the reads for the settings.
func (d *Direct) timing() agatekeeper.Timing {
	bound := d.bound()
	return agatekeeper.Timing{
		Wait:     bound * 2 / 3,
		Answer:   bound / 6,
		Listing:  4 * bound,
		First:    d.syncing().HeadStart,
		Pause:    bound / 10,
		RetryMin: 50 * time.Millisecond,
		RetryMax: bound / 4,
		// Others of the data centre try meanwhile.
		RetryOthers: bound,
		// Seeds are asked again after a second, on links that lose packets too.
		Settle: bound / 3,
		Stuck:  bound / 8,
	}
}

// bound returns the time in which any change must be in force.
func (d *Direct) bound() time.Duration {
	return min(d.setup.Bounds.ConfigTime(), d.setup.Bounds.DrainTime())
}

// syncing returns the policy for what entries tell each other.
func (d *Direct) syncing() agatesync.Policy {
	policy := agatesync.DefaultPolicy(d.bound())
	if link := d.setup.LinkBytes(); link > 0 {
		policy = policy.WithLink(link)
	}
	return policy
}

// merging returns the policy for registrations that vanish.
func (d *Direct) merging() agatemerge.Policy {
	return agatemerge.Policy{
		Unannounced: d.setup.Bounds.DrainTime() / 3,
		Outage:      registrationReturn,
		Memory:      d.setup.Bounds.LifetimeTime(),
	}
}

// duty is what one goroutine does until the context ends.
type duty struct {
	name string
	run  func(context.Context) error
}

// parts are the duties of the process.
type parts struct {
	forwarder *agateforwarder.Forwarder
	keeper    *agatekeeper.Keeper
	reader    *agatestorereader.Reader
}

// parts makes the duties and joins them.
func (d *Direct) parts(ctx context.Context, socket, links *agatesocket.Socket) parts {
	// The clock starts above 0, which means never.
	started := time.Now().Add(-time.Second)
	self := agatesync.Self{Name: d.setup.Name, Centre: d.setup.Centre, Address: d.setup.Links, Boot: rand.Uint64() | 1}
	sync := agatesync.New(self, d.seeds(d.setup), d.syncing(), agatemerge.New(d.merging()), rand.Float64)
	var p parts
	p.reader = agatestorereader.New(d.source)
	share := func(loads []agateload.Load, urgent bool) {
		p.keeper.Loads().Put(agatekeeper.Loads{List: loads, Urgent: urgent})
	}
	p.forwarder = agateforwarder.New(d.policy(), d.setup.Centre, d.codec, socket, share, d.meter, d.log)
	p.keeper = agatekeeper.New(sync, started, p.reader, links, d.timing(), d.handlers(ctx, p.forwarder), d.meter, d.log)
	return p
}

// inspect returns a function that serves metrics and the state, if the settings
// say where.
func (d *Direct) inspect(ctx context.Context, p parts) (func(context.Context) error, error) {
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

// seeds returns where the seeds take notices: at the port that all entries use.
func (d *Direct) seeds(s *agatesetup.Setup) []netip.AddrPort {
	seeds := make([]netip.AddrPort, len(s.Seeds))
	for i, seed := range s.Seeds {
		seeds[i] = netip.AddrPortFrom(seed.Addr(), d.setup.Links.Port())
	}
	return seeds
}

// handlers returns functions that hand what the keeper learns to the forwarder.
func (d *Direct) handlers(ctx context.Context, forwarder *agateforwarder.Forwarder) agatekeeper.Handlers {
	return agatekeeper.Handlers{
		View: func(v agatekeeper.View) {
			forwarder.Updates().Wait(ctx.Done(), agateforwarder.Update{Catalog: v.Catalog, Confirmed: v.Confirmed})
			if v.Catalog.Version() > 0 && !d.stopping.Load() {
				d.readiness.Set(true)
				d.collector.Serving()
			}
		},
		Loads: func(from string, loads []agateload.Load, partial bool) {
			forwarder.Reports().Put(agateforwarder.Report{From: from, Loads: loads, Partial: partial})
		},
	}
}

// watch handles signals and changed settings, and ends the process once no
// packet comes any more.
func (d *Direct) watch(ctx context.Context, signals <-chan os.Signal, p parts, cancel func()) error {
	ticker := time.NewTicker(settingsCheck)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			d.reload(p, false)
		case s := <-signals:
			if s == syscall.SIGHUP {
				d.reload(p, true)
				continue
			}
			d.stop(ctx, p)
			cancel()
			return nil
		}
	}
}

// reload takes over changed settings. Addresses and limits hold for the life of
// the process, which a change of them would end anyway; seeds are replaced.
func (d *Direct) reload(p parts, asked bool) {
	next, err := d.load()
	switch {
	case err != nil:
		d.log.Warn("settings: not taken over", "error", err)
	case !slices.Equal(next.Seeds, d.setup.Seeds):
		d.log.Info("settings: seeds taken over", "seeds", len(next.Seeds))
		p.keeper.Seeds().Put(d.seeds(next))
		d.setup = d.setup.WithSeeds(next.Seeds)
	case asked:
		d.log.Info("settings: read again, nothing to take over")
	}
}

// stop lets the routers move on to other entries.
func (d *Direct) stop(ctx context.Context, p parts) {
	d.stopping.Store(true)
	d.readiness.Set(false)
	d.log.Info("entry: stopping")
	p.keeper.Leave()
	signalled := time.Now()
	deadline := signalled.Add(d.setup.Bounds.GraceTime() - graceMargin)
	ticker := time.NewTicker(stopCheck)
	defer ticker.Stop()
	for time.Now().Before(deadline) && ctx.Err() == nil {
		if time.Since(signalled) >= rotation && p.forwarder.Idle() >= settled {
			return
		}
		<-ticker.C
	}
}

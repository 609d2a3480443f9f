// Package agatedirect joins the parts of an entry process whose backend servers
// answer the callers themselves.
package agatedirect

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"agatereach/core/connection/agatesocket"
	"agatereach/core/process/agatemerge"
	"agatereach/core/process/agatesetup"
	"agatereach/core/process/agatesteer"
	"agatereach/core/version/agatecatalog"
	"agatereach/entry/connection/agatereceiver"
	"agatereach/entry/process/agatefollower"
	"agatereach/entry/process/agateforwarder"
	"agatereach/entry/process/agatereadiness"
)

const (
	// receiveBatch is the number of packets read by one system call.
	receiveBatch = 32
	// settled is how long no packet must have come after the signal to stop
	// before the process ends: two of the routers' checks, and as much again.
	settled = 2 * time.Second
	// graceMargin is how long before the end of the grace the process ends.
	graceMargin = time.Second
	// stopCheck is the time between two looks at whether packets still come.
	stopCheck = 100 * time.Millisecond
	// flowsPerMB is the number of flows followed for each MB of memory: a
	// quarter of it at 256 bytes a flow.
	flowsPerMB = (1 << 20) / 4 / 256
)

// Direct is an entry process.
type Direct struct {
	setup     *agatesetup.Setup
	codec     agateforwarder.Codec
	source    agatefollower.Source
	readiness agatereadiness.Readiness
	stopping  atomic.Bool
	log       *slog.Logger
}

// New returns a process that reads packets by codec and the store by source.
func New(setup *agatesetup.Setup, codec agateforwarder.Codec, source agatefollower.Source, log *slog.Logger) *Direct {
	return &Direct{setup: setup, codec: codec, source: source, log: log}
}

// Run serves until a signal to stop.
func (d *Direct) Run(ctx context.Context) error {
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
	serve, err := d.readiness.Listen(ctx, d.setup.Ready)
	if err != nil {
		return err
	}
	forwarder := agateforwarder.New(d.policy(), d.setup.Centre, d.codec, socket, d.log)
	follower := agatefollower.New(d.source, d.timing(), d.merging(), d.publisher(ctx, forwarder), d.log)
	receiver := agatereceiver.New(socket, forwarder, receiveBatch)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return receiver.Run(ctx) })
	group.Go(func() error { return forwarder.Run(ctx) })
	group.Go(func() error { return follower.Run(ctx) })
	group.Go(func() error { return serve(ctx) })
	group.Go(func() error { return d.watch(ctx, signals, forwarder, cancel) })
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
func (d *Direct) timing() agatefollower.Timing {
	bound := min(d.setup.Bounds.ConfigTime(), d.setup.Bounds.DrainTime())
	return agatefollower.Timing{
		Wait:     bound / 2,
		Answer:   bound / 4,
		Pause:    bound / 10,
		RetryMin: 50 * time.Millisecond,
		RetryMax: bound / 4,
	}
}

// merging returns the policy for registrations that vanish.
func (d *Direct) merging() agatemerge.Policy {
	return agatemerge.Policy{
		Unannounced: d.setup.Bounds.DrainTime() / 2,
		Outage:      2*d.setup.HeartbeatTime() - d.setup.HeartbeatTime()/8,
		Memory:      d.setup.Bounds.LifetimeTime(),
	}
}

// publisher returns a function that hands catalogs to the forwarder.
func (d *Direct) publisher(ctx context.Context, forwarder *agateforwarder.Forwarder) agatefollower.Publish {
	return func(catalog *agatecatalog.Catalog, confirmed time.Time) {
		forwarder.Updates().Wait(ctx.Done(), agateforwarder.Update{Catalog: catalog, Confirmed: confirmed})
		if catalog.Version() > 0 && !d.stopping.Load() {
			d.readiness.Set(true)
		}
	}
}

// watch handles signals, and ends the process once no packet comes any more.
func (d *Direct) watch(ctx context.Context, signals <-chan os.Signal, forwarder *agateforwarder.Forwarder, cancel func()) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case s := <-signals:
			if s == syscall.SIGHUP {
				d.log.Info("entry: settings are read at start only")
				continue
			}
			d.stop(ctx, forwarder)
			cancel()
			return nil
		}
	}
}

// stop lets the routers move on to other entries.
func (d *Direct) stop(ctx context.Context, forwarder *agateforwarder.Forwarder) {
	d.stopping.Store(true)
	d.readiness.Set(false)
	d.log.Info("entry: stopping")
	deadline := time.Now().Add(d.setup.Bounds.GraceTime() - graceMargin)
	ticker := time.NewTicker(stopCheck)
	defer ticker.Stop()
	for time.Now().Before(deadline) && forwarder.Idle() < settled && ctx.Err() == nil {
		<-ticker.C
	}
}

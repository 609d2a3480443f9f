// Package agateentry joins the parts of an entry process: sockets, packet path,
// dispatcher, fleet and administration.
package agateentry

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"agatereach/core/connection/agatesocket"
	"agatereach/core/process/agatebalance"
	"agatereach/core/process/agatedispatch"
	"agatereach/core/process/agatehealth"
	"agatereach/core/process/agatelimit"
	"agatereach/core/process/agatesettings"
	"agatereach/core/version/agatekeyring"
	"agatereach/core/version/agateservice"
	"agatereach/core/version/agatevm"
	"agatereach/entry/connection/agatereceiver"
	"agatereach/entry/process/agateadmin"
	"agatereach/entry/process/agatecert"
	"agatereach/entry/process/agatefleet"
	"agatereach/entry/process/agatemetric"
	"agatereach/entry/process/agateprobe"
	"agatereach/entry/process/agatequeue"
	"agatereach/entry/process/agateworker"
	"agatereach/entry/request/agatedownward"
	"agatereach/entry/request/agaterefuse"
	"agatereach/entry/request/agateupward"
)

// Entry is the process of one entry VM.
type Entry struct {
	settings *agatesettings.Settings
	log      *slog.Logger
	fleet    *agatefleet.Fleet
	worker   *agateworker.Worker
	probe    *agateprobe.Probe
	admin    *agateadmin.Admin
	metrics  *agatemetric.Metrics
	refuser  *agaterefuse.Refuser
	// queue joins the receivers to the worker.
	queue     *agatequeue.Queue
	sockets   sockets
	receivers []*agatereceiver.Receiver
	// key tags routes; drawn at random and told to nobody.
	key agatekeyring.Key
	// started is when the process was set up.
	started time.Time
	// draining says that a planned stop has begun.
	draining atomic.Bool
	// stop is closed when a planned stop is asked for.
	stop chan struct{}
	// asked guards stop against being closed twice.
	asked atomic.Bool
	// forced is closed once, through force, when the drain is to end at once.
	forced chan struct{}
	force  sync.Once
	// cleanups close what New has opened, last opened first.
	cleanups []func()
}

// New sets a process up and returns a function that closes its sockets. The
// errors are *agatesocket.ListenError, *agateadmin.ListenError and those of
// agatefleet.New.
func New(ctx context.Context, settings *agatesettings.Settings, log *slog.Logger) (*Entry, func(), error) {
	e := &Entry{
		settings: settings,
		log:      log.With("part", "entry"),
		metrics:  agatemetric.New(),
		queue:    agatequeue.New(settings.Packets.Queue),
		started:  time.Now(),
		stop:     make(chan struct{}),
		forced:   make(chan struct{}),
	}
	e.refuser = agaterefuse.New(settings.Packets.Refusals, e.metrics)
	if err := e.setUp(ctx, log); err != nil {
		e.close()
		return nil, nil, err
	}
	return e, e.close, nil
}

func (e *Entry) close() {
	for _, cleanup := range slices.Backward(e.cleanups) {
		cleanup()
	}
}

// setUp opens and joins all parts.
func (e *Entry) setUp(ctx context.Context, log *slog.Logger) error {
	if _, err := rand.Read(e.key.Secret[:]); err != nil {
		return err
	}
	if err := e.open(ctx); err != nil {
		return err
	}
	if err := e.join(log); err != nil {
		return err
	}
	e.addWorker()
	e.addProbe(log)
	e.addReceivers()
	e.addGauges()
	admin, cleanup, err := agateadmin.New(ctx, e.settings.Listen.Admin, e.settings.Token, e, e.metrics.Handler())
	if err != nil {
		return err
	}
	e.admin = admin
	e.cleanups = append(e.cleanups, cleanup)
	return nil
}

// join makes the process part of the fleet.
func (e *Entry) join(log *slog.Logger) error {
	vm := agatevm.VM{
		ID:     e.settings.VM,
		Centre: e.settings.Centre,
		Link:   e.settings.Link,
		Relay:  e.settings.Relay,
		State:  agatevm.Live,
	}
	certificates, err := e.certificates()
	if err != nil {
		return err
	}
	fleet, cleanup, err := agatefleet.New(
		vm,
		agatefleet.WithListen(e.settings.Listen.Link),
		agatefleet.WithSecret(e.settings.Peers.Secret[:]),
		agatefleet.WithCertificates(certificates),
		agatefleet.WithDegree(e.settings.Peers.Degree),
		agatefleet.WithReaders(e.settings.Peers.Readers),
		agatefleet.WithPlatform(e.settings.Platform, float64(e.settings.Budget)),
		agatefleet.WithLocal(e.settings.Listen.Link.Addr()),
		agatefleet.WithLogger(log),
	)
	if err != nil {
		return err
	}
	e.fleet = fleet
	e.cleanups = append(e.cleanups, cleanup)
	return nil
}

// certificates loads the files for TLS, nil without any.
func (e *Entry) certificates() (*agatecert.Files, error) {
	if e.settings.Peers.Cert == "" {
		return nil, nil
	}
	return agatecert.New(e.settings.Peers.Cert, e.settings.Peers.Key, e.settings.Peers.CA)
}

// addWorker sets up the dispatcher and the goroutine that owns it.
func (e *Entry) addWorker() {
	dispatcher := agatedispatch.New(
		e.fleet.Self(),
		agatedispatch.WithSeed(draw()),
		agatedispatch.WithSecret(&e.key),
		agatedispatch.WithBalancer(e.balancer),
		agatedispatch.WithHealth(agatehealth.WithConfirmation()),
		agatedispatch.WithOpeners(agatelimit.NewOpeners(agatelimit.WithKeys(draw(), draw()))),
	)
	e.worker = agateworker.New(agateworker.Parts{
		World:      e.fleet,
		Dispatcher: dispatcher,
		Queue:      e.queue,
		Refuser:    e.refuser,
		Metrics:    e.metrics,
		Servers:    e.serverBox(e.sockets.work),
		Callers:    e.callerBox(e.sockets.lanes[0].callers),
		Peers:      e.peerBox(),
	})
}

// addProbe sets up the probing of backend servers' health endpoints.
func (e *Entry) addProbe(log *slog.Logger) {
	probe, cleanup := agateprobe.New(
		e.fleet.Self(), e.fleet, e.worker.Health(),
		agateprobe.WithLocal(e.settings.Listen.Link.Addr()),
		agateprobe.WithSeed(draw()),
		agateprobe.WithLogger(log),
	)
	e.probe = probe
	e.cleanups = append(e.cleanups, cleanup)
}

// balancer returns the balancer of a service.
func (e *Entry) balancer(*agateservice.Service) agatedispatch.Balancer {
	return agatebalance.New(agatebalance.WithPolicy(e.settings.Policy), agatebalance.WithSeed(draw()))
}

// addReceivers sets up a receiver for each socket.
func (e *Entry) addReceivers() {
	for i := range e.sockets.lanes {
		l := &e.sockets.lanes[i]
		e.receive(l.callers, agateupward.Callers(e.upward(l), l.callers.Address()))
		e.receive(l.servers, agatedownward.New(e.downward(l)))
	}
	first := &e.sockets.lanes[0]
	e.receive(e.sockets.work, agatedownward.New(e.downward(first)))
	e.receive(e.sockets.relay, agateupward.Peers(e.upward(first)))
}

func (e *Entry) receive(socket *agatesocket.Socket, handler agatereceiver.Handler) {
	e.receivers = append(e.receivers, agatereceiver.New(socket, handler, e.settings.Packets.Batch))
}

func (e *Entry) upward(l *lane) agateupward.Parts {
	return agateupward.Parts{
		World:   e.fleet,
		Self:    e.fleet.Self(),
		Key:     &e.key,
		Queue:   e.queue,
		Refuser: e.refuser,
		Metrics: e.metrics,
		Servers: e.serverBox(l.servers),
		Callers: e.callerBox(l.callers),
		Peers:   e.peerBox(),
	}
}

func (e *Entry) downward(l *lane) agatedownward.Parts {
	return agatedownward.Parts{
		View:    e.fleet.View,
		Key:     &e.key,
		Queue:   e.queue,
		Metrics: e.metrics,
		Callers: e.callerBox(l.callers),
	}
}

// Run works until a planned stop is over or the context ends, which is no
// error. The errors are *DrainError and those of the parts.
func (e *Entry) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	for _, receiver := range e.receivers {
		group.Go(func() error { return receiver.Run(ctx) })
	}
	group.Go(func() error { return ended(e.fleet.Run(ctx)) })
	group.Go(func() error { return e.worker.Run(ctx) })
	group.Go(func() error { return ended(e.probe.Run(ctx)) })
	group.Go(func() error { return e.admin.Run(ctx) })
	var drained error
	group.Go(func() error {
		defer cancel()
		drained = e.waitForStop(ctx)
		return nil
	})
	e.log.Info("started", "vm", e.settings.VM, "centre", e.settings.Centre, "boot", e.fleet.Self().Boot,
		"callers", e.sockets.lanes[0].callers.Address(), "admin", e.admin.Address())
	if err := group.Wait(); err != nil {
		return err
	}
	return drained
}

// ended turns the end of the context into no error.
func ended(err error) error {
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// draw returns a random number.
func draw() uint64 {
	var b [8]byte
	// Read never fails.
	_, _ = rand.Read(b[:])
	return binary.BigEndian.Uint64(b[:])
}

// Package agatefleet keeps an entry in step with the platform and with the
// other entries: the tickets in force, the peers, and hand-overs of guards.
package agatefleet

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"log/slog"
	"net"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"agatereach/core/process/agateclaim"
	"agatereach/core/process/agategraph"
	"agatereach/core/process/agatenode"
	"agatereach/core/process/agatepeers"
	"agatereach/core/process/agatering"
	"agatereach/core/version/agatestate"
	"agatereach/core/version/agateview"
	"agatereach/core/version/agatevm"
	"agatereach/entry/process/agatelink"
	"agatereach/entry/process/agatesource"
)

const (
	// resultCapacity is the number of read results and orders that wait for
	// the fleet's loop.
	resultCapacity = 16
	// handoverCapacity is the number of hand-overs that wait for the owner.
	handoverCapacity = 64
	// pauseLimit is how long the loop may stand still before what is held
	// counts as stale.
	pauseLimit = 2 * time.Second
)

// Fleet holds what an entry knows of the tickets and of the other entries. Its
// accessors are safe for concurrent use.
type Fleet struct {
	// vm is this process's VM as it advertises itself.
	vm agatevm.VM
	// claim is what the process says about itself at its start.
	claim agateclaim.Claim
	// self is the newest claim; never nil.
	self atomic.Pointer[agateclaim.Claim]
	// settings holds the options.
	settings settings
	// log carries the fleet's prefix.
	log *slog.Logger
	// source reads the platform.
	source *agatesource.Source
	// hub holds the links.
	hub *agatelink.Hub
	// listener takes links; nil for none.
	listener net.Listener
	// results and orders join the other goroutines to the loop.
	results *agatering.Ring[result]
	orders  *agatering.Ring[order]
	// tickets and vms join the loop to the goroutines that read.
	tickets, vms *agatering.Ring[agatenode.Read]
	// handovers joins the loop to the owner.
	handovers *agatering.Ring[Handover]
	// view is the newest view, peers the newest set of peers and status the
	// newest status; never nil.
	view   atomic.Pointer[agateview.View]
	peers  atomic.Pointer[agatepeers.Peers]
	status atomic.Pointer[Status]
	// beat is when the loop last ran, and stale whether it found what is held
	// to be stale.
	beat  atomic.Pointer[time.Time]
	stale atomic.Bool
	// changed has room for one notice that view or peers has changed.
	changed chan struct{}
}

// New returns a fleet for the process on the given VM, and a function that ends
// its links. The errors are a *agatevm.FieldError for a VM that is not valid, a
// *ListenError, and those of agatesource.New, agatelink.New and agatecert.New.
func New(vm agatevm.VM, options ...Option) (*Fleet, func(), error) {
	if err := vm.Check(); err != nil {
		return nil, nil, err
	}
	f := newFleet(vm, options)
	source, closeSource, err := agatesource.New(f.settings.platform, f.settings.local)
	if err != nil {
		return nil, nil, err
	}
	f.source = source
	hub, closeHub, err := f.newHub()
	if err != nil {
		closeSource()
		return nil, nil, err
	}
	f.hub = hub
	if err := f.listen(); err != nil {
		closeSource()
		return nil, nil, err
	}
	return f, func() { closeHub(); closeSource() }, nil
}

// newFleet returns a fleet that holds nothing.
func newFleet(vm agatevm.VM, options []Option) *Fleet {
	f := &Fleet{vm: vm, settings: defaults(), changed: make(chan struct{}, 1)}
	for _, option := range options {
		option(&f.settings)
	}
	f.log = f.settings.log.With("part", "fleet")
	f.results = agatering.New[result](resultCapacity)
	f.orders = agatering.New[order](resultCapacity)
	f.tickets = agatering.New[agatenode.Read](resultCapacity)
	f.vms = agatering.New[agatenode.Read](resultCapacity)
	f.handovers = agatering.New[Handover](handoverCapacity)
	f.claim = agateclaim.Claim{
		VM: vm.ID, Centre: vm.Centre, Link: vm.Link, Relay: vm.Relay,
		Boot: drawBoot(), Start: time.Now().UnixMilli(), Beat: 1, State: agatepeers.Live,
	}
	f.self.Store(&f.claim)
	f.view.Store(agateview.New(agatestate.New(vm.Centre), nil))
	f.peers.Store(agatepeers.New([]agatepeers.Peer{f.Self()}, nil))
	f.status.Store(&Status{VM: vm.ID, Centre: vm.Centre, Boot: f.claim.Boot, Stale: true})
	f.stale.Store(true)
	f.touch(time.Now())
	return f
}

func (f *Fleet) newHub() (*agatelink.Hub, func(), error) {
	self := func() agateclaim.Claim { return *f.self.Load() }
	return agatelink.New(
		self,
		agatelink.WithSecret(f.settings.secret),
		agatelink.WithLocal(f.settings.local),
		agatelink.WithCertificates(f.settings.certificates),
		agatelink.WithMaxLinks(agategraph.New(f.settings.degree).MaxLinks()),
		agatelink.WithLogger(f.settings.log.With("part", "link")),
	)
}

// listen opens the address that links are taken at.
func (f *Fleet) listen() error {
	listener, err := net.Listen("tcp", f.settings.listen.String())
	if err != nil {
		return &ListenError{Address: f.settings.listen, Err: err}
	}
	f.listener = listener
	return nil
}

// drawBoot returns a random boot id, not 0.
func drawBoot() uint64 {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		panic(err)
	}
	return binary.BigEndian.Uint64(b[:]) | 1
}

// Self returns this process as its peers see it.
func (f *Fleet) Self() agatepeers.Peer {
	c := f.self.Load()
	return agatepeers.Peer{VM: c.VM, Centre: c.Centre, Boot: c.Boot, Relay: c.Relay, State: c.State}
}

// View returns the newest view of the tickets.
func (f *Fleet) View() *agateview.View { return f.view.Load() }

// Peers returns the newest set of entries.
func (f *Fleet) Peers() *agatepeers.Peers { return f.peers.Load() }

// Changed returns a channel that gets a notice after View or Peers has changed.
func (f *Fleet) Changed() <-chan struct{} { return f.changed }

// Records returns the channel of the guard records that this process has taken
// over. It is never closed.
func (f *Fleet) Records() <-chan Handover { return f.handovers.Items() }

// Stale reports whether flows must not be opened by what is held: no tickets
// have been read yet, or the process has just been paused. It finds out about a
// pause itself, so that the first open after one is refused already.
func (f *Fleet) Stale() bool {
	return f.stale.Load() || gap(time.Now(), *f.beat.Load()) > pauseLimit
}

// gap returns the time between two moments by the clock that shows more: the
// monotonic one stands still while a VM is suspended.
func gap(now, last time.Time) time.Duration {
	return max(now.Sub(last), now.Round(0).Sub(last.Round(0)))
}

// touch notes that the loop runs.
func (f *Fleet) touch(now time.Time) { f.beat.Store(&now) }

// Status returns what the process knows about its tickets and its peers.
func (f *Fleet) Status() *Status { return f.status.Load() }

// Run keeps links, reads, merges and publishes until the context ends.
func (f *Fleet) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return f.hub.Serve(ctx, f.listener) })
	group.Go(func() error { return f.readTickets(ctx) })
	group.Go(func() error { return f.readVMs(ctx) })
	group.Go(func() error { return f.loop(ctx) })
	return group.Wait()
}

// notify leaves a notice that something has changed.
func (f *Fleet) notify() {
	select {
	case f.changed <- struct{}{}:
	default:
	}
}

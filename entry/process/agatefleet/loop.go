package agatefleet

import (
	"context"
	"errors"
	"time"

	"agatereach/core/process/agatemessage"
	"agatereach/core/process/agatenode"
	"agatereach/core/version/agatebatch"
	"agatereach/core/version/agateserial"
	"agatereach/core/version/agatestate"
	"agatereach/core/version/agateview"
	"agatereach/core/version/agatevmlist"
	"agatereach/entry/process/agatelink"
)

const (
	// tick is the time between two looks at what is due.
	tick = 100 * time.Millisecond
	// burst is the number of events that are handled before anything is
	// published.
	burst = 64
	// viewShare is the time between two builds of the view over the time that
	// one takes, and maxViewGap the longest such time.
	viewShare  = 50
	maxViewGap = time.Second
	// peersShare, minPeersGap and maxPeersGap are the same for the set of peers.
	peersShare  = 100
	minPeersGap = 50 * time.Millisecond
	maxPeersGap = 2 * time.Second
)

// result is the outcome of a read of the platform. Either batch or list is set,
// or err.
type result struct {
	// id is the read's number.
	id    uint64
	batch *agatebatch.Batch
	list  *agatevmlist.List
	// vms says that the read was of the list of VMs.
	vms bool
	err error
}

// loop is the state of the fleet's loop, used by its goroutine only.
type loop struct {
	*Fleet
	ctx  context.Context
	node *agatenode.Node
	// links holds the numbers of the links that the node knows by boot id.
	links map[uint64]uint64
	// built is the state that the view was made from, and viewAt the earliest
	// time of the next build.
	built  *agatestate.State
	viewAt time.Time
	// took is how long the last build took.
	took time.Duration
	// peersAt is the earliest time of the next set of peers.
	peersAt time.Time
	// leaving is the order to leave; done is nil without one.
	leaving order
}

// loop gives the node what happens and carries out what it decides.
func (f *Fleet) loop(ctx context.Context) error {
	l := &loop{
		Fleet: f, ctx: ctx, links: make(map[uint64]uint64),
		node: agatenode.New(
			time.Now(), f.claim, agatenode.WithDegree(f.settings.degree),
			agatenode.WithReaders(f.settings.readers), agatenode.WithReads(f.settings.reads),
		),
	}
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case e := <-f.hub.Events():
			l.handle(e)
			l.drain()
		case r := <-f.results.Items():
			l.read(r)
		case o := <-f.orders.Items():
			l.obey(o)
		case <-ticker.C:
			l.node.Tick(time.Now())
		}
		l.carryOut()
		l.publish()
	}
	return ctx.Err()
}

// drain handles further events that wait already.
func (l *loop) drain() {
	for range burst {
		select {
		case e := <-l.hub.Events():
			l.handle(e)
		default:
			return
		}
	}
}

// handle takes what a link tells.
func (l *loop) handle(e agatelink.Event) {
	now := time.Now()
	boot := e.Peer.Boot
	switch e.Kind {
	case agatelink.Joined:
		l.node.Close(now, boot, true)
		l.links[boot] = e.Link
		l.node.Join(now, e.Peer, e.Made)
		l.log.Info("peer joined", "vm", e.Peer.VM, "boot", boot, "made", e.Made)
	case agatelink.Received:
		if l.links[boot] == e.Link {
			l.node.Handle(now, boot, e.Message)
		}
	case agatelink.Closed:
		if l.links[boot] == e.Link {
			delete(l.links, boot)
			l.node.Close(now, boot, e.Planned)
			l.log.Info("peer left", "vm", e.Peer.VM, "boot", boot, "planned", e.Planned, "err", e.Err)
		}
	case agatelink.Failed:
		if errors.As(e.Err, new(*agatelink.BusyError)) {
			l.node.DialRefused(now, e.VM)
		} else {
			l.node.DialFailed(now, e.VM)
		}
		l.log.Debug("dial failed", "vm", e.VM, "err", e.Err)
	}
}

// read takes the outcome of a read of the platform.
func (l *loop) read(r result) {
	now := time.Now()
	switch {
	case r.err != nil && r.vms:
		l.node.VMsFailed(now, r.id, askedFor(r.err))
	case r.err != nil:
		l.node.TicketsFailed(now, r.id, askedFor(r.err))
	case r.vms:
		l.node.VMsRead(now, r.id, r.list)
	default:
		for _, refused := range r.batch.Refused {
			l.log.Warn("ticket refused", "ticket", refused.Ticket, "reason", refused.Reason)
		}
		l.node.TicketsRead(now, r.id, r.batch)
	}
}

// obey takes an order of the owner.
func (l *loop) obey(o order) {
	if !o.leave {
		l.node.Leaving()
		return
	}
	if l.leaving.done != nil {
		return
	}
	l.leaving = o
	l.node.Leave(time.Now(), o.records)
}

// carryOut does what the node has decided.
func (l *loop) carryOut() {
	effects := l.node.Effects()
	self := l.node.Self()
	l.self.Store(&self)
	for _, s := range effects.Sends {
		l.send(s.To, s.Message)
	}
	for _, d := range effects.Drops {
		l.hub.Drop(d.Boot, d.Planned)
	}
	for _, d := range effects.Dials {
		l.hub.Dial(l.ctx, d.VM, d.Address)
	}
	if effects.Tickets != nil {
		l.tickets.Put(*effects.Tickets)
	}
	if effects.VMs != nil {
		l.vms.Put(*effects.VMs)
	}
	for _, h := range effects.Handovers {
		l.takeOver(h)
	}
	if successor, ended := l.node.Left(); ended && l.leaving.done != nil {
		l.leaving.done <- successor
		l.leaving.done = nil
	}
}

func (l *loop) send(to []uint64, message *agatemessage.Message) {
	text, err := message.Encode()
	if err != nil {
		l.log.Error("message not sent", "kind", string(message.Kind), "err", err)
		return
	}
	l.hub.Send(to, text)
}

// publish builds what has changed, but not so often that builds take more than
// their share of time.
func (l *loop) publish() {
	now := time.Now()
	l.touch(now)
	state := l.node.State()
	stale := l.node.Stale(now)
	if stale != l.stale.Swap(stale) {
		l.log.Info("staleness changed", "stale", stale, "upto", serial(state.Upto()), "head", serial(state.Head()))
	}
	changed := false
	if l.built == nil || l.newer(state) && !now.Before(l.viewAt) {
		l.view.Store(agateview.New(state, l.view.Load()))
		l.built = state
		l.delayView(time.Since(now))
		changed = true
		l.log.Info("tickets in force", "upto", serial(state.Upto()), "head", serial(state.Head()))
	}
	if l.node.PeersChanged() && !now.Before(l.peersAt) {
		l.peers.Store(l.node.Peers(now))
		done := time.Now()
		l.peersAt = done.Add(min(max(peersShare*done.Sub(now), minPeersGap), maxPeersGap))
		changed = true
	}
	if changed {
		l.notify()
	}
	l.setStatus(now)
}

// serial returns a packed serial as it is written in logs.
func serial(packed uint64) string { return agateserial.Unpack(packed).String() }

// newer reports whether the view of the state would differ from the newest one.
func (l *loop) newer(state *agatestate.State) bool {
	return state.Upto() != l.built.Upto() || state.Digest() != l.built.Digest()
}

// delayView keeps the next build of the view from coming too soon. Of the last
// two builds the shorter one counts: the other may have been interrupted.
func (l *loop) delayView(took time.Duration) {
	gap := min(viewShare*min(took, l.took), maxViewGap)
	l.viewAt = time.Now().Add(gap)
	l.took = took
}

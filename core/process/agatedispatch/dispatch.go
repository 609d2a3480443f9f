// Package agatedispatch decides how an entry process handles each datagram that
// opens a flow or belongs to a request. It performs no I/O and reads no clock.
//
// A non-idempotent request is forwarded to a server only by the flow's guard:
// the process that issued the flow's token, or the one that has adopted its
// records. Only the guard sees every copy of the request, so only the guard
// reports the outcome notrun. An idempotent request is forwarded by whichever
// process receives it. Copies may run elsewhere, so refusals of it report the
// outcome unknown, and it may be retried at once.
package agatedispatch

import (
	"time"

	"agatereach/core/connection/agateguard"
	"agatereach/core/connection/agaterecent"
	"agatereach/core/process/agatehealth"
	"agatereach/core/process/agatepeers"
	"agatereach/core/process/agateschedule"
	"agatereach/core/process/agatespread"
	"agatereach/core/request/agatealarm"
	"agatereach/core/request/agateflight"
	"agatereach/core/request/agateheader"
	"agatereach/core/request/agatekind"
	"agatereach/core/version/agateview"
)

const (
	// maxRecentOpens and openLifetime limit the answers to opens that are
	// kept to answer repeated opens.
	maxRecentOpens = 1 << 15
	openLifetime   = 10 * time.Second
	// lateAnswerTime is how long after the deadline an answer is still
	// accepted.
	lateAnswerTime = 5 * time.Second
	// sweepInterval is the time between two removals of expired records.
	sweepInterval = time.Second
	// pauseThreshold is the time between two calls above which the process
	// is taken to have been paused. assumedStaleTime is how long after a
	// pause the view is assumed to be stale; SetStale is expected to be
	// called within that time.
	pauseThreshold   = 2 * time.Second
	assumedStaleTime = 500 * time.Millisecond
)

// Dispatcher makes the decisions of one process. It is not safe for concurrent
// use.
type Dispatcher struct {
	settings settings
	self     agatepeers.Peer
	// view and peers are the latest ones set, never nil.
	view  *agateview.View
	peers *agatepeers.Peers
	// lastAttempt is the number of the last datagram sent to a server.
	lastAttempt uint64
	// lastWork is the number of the last request accepted.
	lastWork uint64
	guard    *agateguard.Guard
	// adoptedBoots holds the boot ids of the processes whose records the
	// guard has adopted.
	adoptedBoots map[uint64]struct{}
	// recentOpens holds the recently issued tokens.
	recentOpens *agaterecent.Recent[agateguard.Key, openGrant]
	flights     *agateflight.Table
	// relayTimeouts holds relayed requests whose receiver may be gone.
	relayTimeouts *agatealarm.Alarms[agateflight.Key, relayTimeout]
	// pools maps services to their balancers, which are created on first
	// use.
	pools map[uint32]*pool
	// spreadCache holds, for each service, how its work is spread over data
	// centres. It is cleared whenever the view or the peers change.
	spreadCache map[uint32]agatespread.Spread
	// teamShares maps teams to their weights.
	teamShares map[string]uint32
	health     *agatehealth.Health
	// probeShare determines which servers this process probes; probeCache
	// caches its answers.
	probeShare *agateschedule.Share
	probeCache map[uint32]bool
	// lastIssued is the latest issue time of a token; it never decreases.
	lastIssued time.Time
	// lastSweep is when expired records were last removed.
	lastSweep time.Time
	// lastCall is when Handle or Tick was last called. Until
	// assumedStaleUntil the view is assumed to be stale because of a pause.
	lastCall, assumedStaleUntil time.Time
	// serversWithheld is whether the balancers were last given all servers
	// as draining because the view may be stale.
	serversWithheld bool
	// hasKeys is whether the view has keys.
	hasKeys  bool
	stale    bool
	stopped  bool
	exported bool
	// outputs collects the outputs of the current call.
	outputs []Output
	counts  Counts
}

// New returns a dispatcher for the process self.
func New(self agatepeers.Peer, options ...Option) *Dispatcher {
	d := &Dispatcher{
		settings:      defaults(),
		self:          self,
		view:          emptyView(self.Centre),
		peers:         new(agatepeers.Peers),
		adoptedBoots:  make(map[uint64]struct{}),
		recentOpens:   agaterecent.New[agateguard.Key, openGrant](maxRecentOpens, openLifetime),
		flights:       agateflight.New(),
		relayTimeouts: agatealarm.New[agateflight.Key, relayTimeout](maxRelayTimeouts),
		pools:         make(map[uint32]*pool),
		spreadCache:   make(map[uint32]agatespread.Spread),
		probeCache:    make(map[uint32]bool),
	}
	for _, option := range options {
		option(&d.settings)
	}
	d.guard = agateguard.New(self.Boot, d.settings.guard...)
	d.health = agatehealth.New(d.settings.health...)
	d.lastAttempt = d.settings.seed
	d.setProbeShare()
	return d
}

// Handle processes one datagram. The dispatcher owns the memory of in from then
// on. The result is valid until the next method call.
func (d *Dispatcher) Handle(now time.Time, in *Input) []Output {
	d.begin(now)
	d.counts.Handled++
	if in.Source == Server {
		d.handleServer(now, in)
		return d.outputs
	}
	in.setOrigin(d.self.Centre)
	switch in.Header.Kind {
	case agatekind.Open:
		d.open(now, in)
	case agatekind.Request:
		d.request(now, in)
	case agatekind.Cancel:
		d.cancel(now, in)
	default:
		d.counts.Ignored++
	}
	return d.outputs
}

// begin starts a call. A long time since the last call means that the process
// has been paused, so its view may be stale even though SetStale has not been
// called yet.
func (d *Dispatcher) begin(now time.Time) {
	d.outputs = d.outputs[:0]
	if !d.lastCall.IsZero() && now.Sub(d.lastCall) > pauseThreshold {
		d.assumedStaleUntil = now.Add(assumedStaleTime)
		d.counts.Pauses++
	}
	d.lastCall = now
	if stale := d.viewMayBeStale(now); stale != d.serversWithheld {
		d.serversWithheld = stale
		d.refreshServers(now)
	}
}

// viewMayBeStale reports whether the process must refresh its view.
func (d *Dispatcher) viewMayBeStale(now time.Time) bool {
	return d.stale || now.Before(d.assumedStaleUntil)
}

// Tick handles everything that has become due. It is meant to be called about
// every 10 ms.
func (d *Dispatcher) Tick(now time.Time) []Output {
	d.begin(now)
	for _, p := range d.pools {
		d.apply(now, p.balancer.Tick(now))
	}
	for w := d.flights.Due(now); w != nil; w = d.flights.Due(now) {
		d.handleDue(now, w)
	}
	for r, found := d.relayTimeouts.Due(now); found; r, found = d.relayTimeouts.Due(now) {
		d.refuse(r.caller, &r.header, refusalUnknown(r.reason))
	}
	if now.Sub(d.lastSweep) >= sweepInterval {
		d.lastSweep = now
		d.guard.Sweep(now)
		d.recentOpens.Sweep(now)
	}
	if d.health.Tick(now) {
		d.refreshServers(now)
	}
	return d.outputs
}

// SetView replaces the view.
func (d *Dispatcher) SetView(now time.Time, v *agateview.View) []Output {
	d.outputs = d.outputs[:0]
	d.view = v
	clear(d.spreadCache)
	d.hasKeys = len(v.Ring().Keys) > 0
	d.setTeams(now)
	d.refreshServers(now)
	return d.outputs
}

// SetPeers replaces the other processes.
func (d *Dispatcher) SetPeers(now time.Time, p *agatepeers.Peers) []Output {
	d.outputs = d.outputs[:0]
	d.peers = p
	clear(d.spreadCache)
	d.setProbeShare()
	d.setTeams(now)
	return d.outputs
}

// SetHealth adds the results of health probes.
func (d *Dispatcher) SetHealth(now time.Time, reports []agatehealth.Report) []Output {
	d.outputs = d.outputs[:0]
	d.health.Probed(now, reports)
	d.refreshServers(now)
	return d.outputs
}

// SetStale sets whether the process must refresh its view. While it must, it
// opens no flows and sends no requests to servers.
func (d *Dispatcher) SetStale(stale bool) { d.stale = stale }

// Stop makes the dispatcher accept no more opens and requests. Requests already
// accepted continue. The caller should call Export immediately afterwards.
func (d *Dispatcher) Stop(time.Time) []Output {
	d.outputs = d.outputs[:0]
	d.stopped = true
	return d.outputs
}

// Idle reports whether no request is in flight.
func (d *Dispatcher) Idle() bool { return d.flights.Active() == 0 }

// Resting reports whether no request is in flight and no relay timeout is
// pending, so that Tick may be called less often.
func (d *Dispatcher) Resting() bool { return d.Idle() && d.relayTimeouts.Len() == 0 }

// Export returns the guard's records for one successor on the first call after
// Stop, and nil on any other call. Requests still in flight end here: their
// answers go directly to the callers.
func (d *Dispatcher) Export(time.Time) []agateguard.Record {
	if !d.stopped {
		return nil
	}
	d.exported = true
	return d.guard.Export()
}

// Adopt takes over the records of the process boot, which has stopped.
func (d *Dispatcher) Adopt(now time.Time, boot uint64, records []agateguard.Record) []Output {
	d.outputs = d.outputs[:0]
	d.adoptedBoots[boot] = struct{}{}
	for i := range records {
		d.adoptedBoots[records[i].Boot] = struct{}{}
	}
	lost := d.guard.Adopt(now, records)
	d.counts.Adopted += uint64(len(records) - lost)
	return d.outputs
}

// known reports whether the view contains the service and the datagram arrived
// at an address at which the service may be used.
func (d *Dispatcher) known(in *Input, h *agateheader.Header) bool {
	if d.view.Service(h.Service) == nil {
		return false
	}
	if in.Source != Caller || !in.Listen.IsValid() {
		return true
	}
	owner := d.view.Owner(in.Listen)
	return owner == 0 || owner == h.Service
}

// Package agateprobe asks the health endpoints of backend servers who they are
// and how they are.
package agateprobe

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"time"

	"golang.org/x/sync/errgroup"

	"agatereach/core/process/agatehealth"
	"agatereach/core/process/agatepeers"
	"agatereach/core/process/agatering"
	"agatereach/core/process/agateschedule"
	"agatereach/core/version/agateview"
)

const (
	// period is the time between two looks at what is due.
	period = 50 * time.Millisecond
	// timeout bounds one probe.
	timeout = time.Second
	// maxAnswer is the longest answer that is read, in bytes.
	maxAnswer = 4 << 10
	// workers is the number of probes under way at a time.
	workers = 4
	// queue is the number of probes that wait, and of ends that do.
	queue = 64
	// idle is how long a connection to an endpoint is kept; longer than the
	// time between two probes.
	idle = 30 * time.Second
)

// World is what is known of the tickets and the other entries.
type World interface {
	// View returns the newest view, never nil.
	View() *agateview.View
	// Peers returns the newest set of entries, never nil.
	Peers() *agatepeers.Peers
}

// Option sets a property of a Probe.
type Option func(*Probe)

// WithLocal makes connections from the given address.
func WithLocal(address netip.Addr) Option { return func(p *Probe) { p.local = address } }

// WithSeed sets the seed of the times of probes.
func WithSeed(seed uint64) Option { return func(p *Probe) { p.schedule = agateschedule.New(seed) } }

// WithLogger logs to the logger instead of the default one.
func WithLogger(log *slog.Logger) Option { return func(p *Probe) { p.log = log } }

// end is a probe's end.
type end struct {
	target agateschedule.Target
	report agatehealth.Report
}

// Probe asks the endpoints of those servers of its data centre that are its
// share.
type Probe struct {
	self  agatepeers.Peer
	world World
	local netip.Addr
	log   *slog.Logger
	// client bounds each exchange.
	client *http.Client
	// schedule is used by the loop's goroutine only.
	schedule *agateschedule.Schedule
	// view and peers are what the schedule's targets were made from.
	view  *agateview.View
	peers *agatepeers.Peers
	// silent holds the servers whose last probe failed.
	silent map[uint32]bool
	// due joins the loop to the workers, ended the workers to the loop.
	due   *agatering.Ring[agateschedule.Target]
	ended *agatering.Ring[end]
	// reports takes what has been learnt; never nil.
	reports *agatering.Ring[[]agatehealth.Report]
}

// New returns a prober of the process self that puts what it learns into
// reports, and a function that closes its connections.
func New(self agatepeers.Peer, world World, reports *agatering.Ring[[]agatehealth.Report], options ...Option) (*Probe, func()) {
	p := &Probe{
		self:     self,
		world:    world,
		log:      slog.Default(),
		schedule: agateschedule.New(self.Boot),
		silent:   make(map[uint32]bool),
		due:      agatering.New[agateschedule.Target](queue),
		ended:    agatering.New[end](queue),
		reports:  reports,
	}
	for _, option := range options {
		option(p)
	}
	p.log = p.log.With("part", "probe")
	transport := p.transport()
	p.client = &http.Client{Transport: transport, Timeout: timeout, CheckRedirect: stay}
	return p, transport.CloseIdleConnections
}

// stay keeps the client from following a redirect to another server.
func stay(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

func (p *Probe) transport() *http.Transport {
	dialer := &net.Dialer{Timeout: timeout}
	if p.local.IsValid() {
		dialer.LocalAddr = &net.TCPAddr{IP: p.local.AsSlice()}
	}
	return &http.Transport{
		DialContext:            dialer.DialContext,
		MaxIdleConnsPerHost:    1,
		IdleConnTimeout:        idle,
		MaxResponseHeaderBytes: maxAnswer,
		DisableCompression:     true,
	}
}

// Run probes until the context ends, which is no error.
func (p *Probe) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return p.loop(ctx) })
	for range workers {
		group.Go(func() error { return p.work(ctx) })
	}
	return group.Wait()
}

// loop starts what is due and passes on what has been learnt.
func (p *Probe) loop(ctx context.Context) error {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			p.refresh(now)
			p.start(now)
			p.collect(now)
		}
	}
}

// refresh makes the targets anew if view or peers have changed.
func (p *Probe) refresh(now time.Time) {
	view, peers := p.world.View(), p.world.Peers()
	if view == p.view && peers == p.peers {
		return
	}
	p.view, p.peers = view, peers
	p.schedule.Set(now, Targets(p.self, view, peers))
}

// start hands what is due to the workers, as far as there is room.
func (p *Probe) start(now time.Time) {
	for p.due.Len() < p.due.Cap() {
		target, found := p.schedule.Next(now)
		if !found {
			return
		}
		p.due.Put(target)
	}
}

// collect takes the ends of probes.
func (p *Probe) collect(now time.Time) {
	var list []agatehealth.Report
	for range p.ended.Len() {
		e := <-p.ended.Items()
		p.schedule.Done(now, e.target, e.report.Fits())
		p.note(&e.report)
		list = append(list, e.report)
	}
	if len(list) > 0 {
		p.reports.Put(list)
	}
}

// note logs the first of several failures in a row, and their end.
func (p *Probe) note(r *agatehealth.Report) {
	failed := !r.Fits()
	if failed == p.silent[r.Server] {
		return
	}
	if !failed {
		delete(p.silent, r.Server)
		p.log.Info("server confirmed", "server", r.Server, "incarnation", r.Incarnation)
		return
	}
	p.silent[r.Server] = true
	p.log.Warn("server not confirmed", "server", r.Server, "want", r.Expected,
		"named", r.Named, "incarnation", r.Incarnation, "result", r.Result)
}

// work probes what is due.
func (p *Probe) work(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case target := <-p.due.Items():
			p.ended.Put(end{target: target, report: p.probe(ctx, target)})
		}
	}
}

// probe asks one endpoint.
func (p *Probe) probe(ctx context.Context, target agateschedule.Target) agatehealth.Report {
	report := agatehealth.Report{}
	if p.get(ctx, "http://"+target.Health.String()+"/health", &report) {
		report.Result = agatehealth.Answered
	} else {
		report = agatehealth.Report{Result: agatehealth.Silent}
	}
	report.Server, report.Meant, report.Expected = target.Server, target.Service, target.Incarnation
	return report
}

// get reads the answer at url and reports whether it could.
func (p *Probe) get(ctx context.Context, url string, report *agatehealth.Report) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	response, err := p.client.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	if err != nil || response.StatusCode != http.StatusOK {
		return false
	}
	return json.Unmarshal(body, report) == nil
}

// Targets returns the servers that the process self probes: its share of the
// servers of its data centre that are not gone.
func Targets(self agatepeers.Peer, view *agateview.View, peers *agatepeers.Peers) []agateschedule.Target {
	var vms []string
	for _, peer := range peers.Centre(self.Centre) {
		vms = append(vms, peer.VM)
	}
	share := agateschedule.NewShare(self.VM, vms)
	var targets []agateschedule.Target
	for item := range view.State().Servers().All() {
		s := &item.Value
		if s.Serves() && share.Has(s.ID) {
			targets = append(targets, agateschedule.Target{Server: s.ID, Service: s.Service, Incarnation: s.Incarnation, Health: s.Health})
		}
	}
	return targets
}

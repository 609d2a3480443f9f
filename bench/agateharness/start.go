package agateharness

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"agatereach/bench/agatebackend"
	"agatereach/bench/agatebuild"
	"agatereach/bench/agatecaller"
	"agatereach/bench/agatechild"
	"agatereach/bench/agatecontrol"
	"agatereach/bench/agatefabric"
	"agatereach/bench/agateplatform"
	"agatereach/bench/agatescenario"
	"agatereach/bench/agateverdict"
	"agatereach/core/version/agatecentre"
	"agatereach/core/version/agateruleset"
	"agatereach/core/version/agateservice"
	"agatereach/core/version/agateteam"
	"agatereach/core/version/agateticket"
)

// Names of the roles that children are started in.
const (
	RolePlatform = "platform"
	RoleServers  = "servers"
	RoleCallers  = "callers"
	RoleFabric   = "fabric"
)

// What the stand-ins are started with.
const (
	pushEvery = 200 * time.Millisecond
	healthLag = time.Second
	// region is that of all data centres.
	region = "sierra-east"
	// distance is the one-way delay between data centres, in microseconds.
	distance = 500
	// probeName names the service that serves the probes alone.
	probeName = "probe"
)

// start starts the stand-ins and the entries and waits until they are ready.
func (r *runner) start(ctx context.Context) error {
	if r.binary == "" {
		r.progress(ctx, "build")
		path, err := agatebuild.Build(ctx, r.directory, "agatereach/entry")
		if err != nil {
			return err
		}
		r.binary = path
	}
	r.progress(ctx, "start")
	for _, step := range []func(context.Context) error{
		r.startBackend, r.startPlatform, r.startFabric, r.startCallers, r.startEntries,
	} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (r *runner) startBackend(ctx context.Context) error {
	child, _, stop, err := agatechild.Start[[]agatebackend.Spec](RoleServers, agatebackend.Settings{
		Seed: r.options.Seed, Push: pushEvery, HealthLag: healthLag,
	}, r.options.Log)
	if err != nil {
		return err
	}
	r.backend = child
	r.onStop(stop)
	r.change(func() {
		for i := range r.scenario.Services {
			service := &r.scenario.Services[i]
			for place := 1; place <= service.Servers; place++ {
				r.newServer(service, uint32(i+1), r.centreOf(place))
			}
		}
		probe := &agatescenario.Service{Name: probeName, Slots: 1, Connections: 1}
		for _, centre := range r.centres {
			r.newServer(probe, r.probeService(), centre)
		}
	})
	return r.boot(ctx, r.servers)
}

// probeService returns the number of the service that serves the probes.
func (r *runner) probeService() uint32 { return uint32(len(r.scenario.Services) + 1) }

func (r *runner) startPlatform(context.Context) error {
	child, address, stop, err := agatechild.Start[string](RolePlatform, agateplatform.Settings{
		Rate: r.scenario.Platform.Rate, Lag: r.scenario.Platform.Lag.Duration(),
		Tickets: []agateticket.Ticket{r.firstTicket()},
	}, r.options.Log)
	if err != nil {
		return err
	}
	r.platform = child
	r.onStop(stop)
	r.addresses.Platform = map[uint16]netip.AddrPort{0: netip.MustParseAddrPort(address)}
	return nil
}

func (r *runner) startFabric(context.Context) error {
	child, addresses, stop, err := agatechild.Start[agatefabric.Addresses](RoleFabric, agatefabric.Settings{
		Seed: r.options.Seed, Platform: r.addresses.Platform[0], Centres: r.centres,
	}, r.options.Log)
	if err != nil {
		return err
	}
	r.fabric, r.addresses = child, addresses
	r.onStop(stop)
	return nil
}

func (r *runner) startCallers(context.Context) error {
	settings := agatecaller.Settings{
		Seed: r.options.Seed, Fabric: r.addresses.Callers, Ring: r.ring, ProbeService: r.probeService(),
	}
	for i := range r.scenario.Services {
		settings.Loads = append(settings.Loads, loadOf(&r.scenario.Services[i], uint32(i+1)))
	}
	child, _, stop, err := agatechild.Start[agatecontrol.None](RoleCallers, settings, r.options.Log)
	if err != nil {
		return err
	}
	r.callers = child
	r.onStop(stop)
	return nil
}

// loadOf returns the load that callers put on a service at first.
func loadOf(s *agatescenario.Service, id uint32) agatecaller.Load {
	return agatecaller.Load{
		Service: id, Feeds: s.Feeds, Flows: s.Flows, Uses: s.Uses, Rate: s.Rate(s.Load),
		Retry: s.Retry.Duration(), Mix: mixOf(s),
	}
}

func mixOf(s *agatescenario.Service) agatecaller.Mix {
	return agatecaller.Mix{
		Mean: s.Mean.Duration(), Long: s.Long, Factor: s.Factor, Once: s.Once, Cancelled: s.Cancelled,
		Deadline: s.Deadline.Duration(), LongDeadline: s.LongDeadline.Duration(),
	}
}

// startEntries starts the fleet.
func (r *runner) startEntries(ctx context.Context) error {
	for i := range r.scenario.Fleet.Entries {
		e, err := r.newEntry(ctx, r.centres[i%len(r.centres)])
		if err != nil {
			return err
		}
		e.listed, e.sprayed = true, true
		r.entries = append(r.entries, e)
		r.places = append(r.places, e)
	}
	if err := r.spread(ctx); err != nil {
		return err
	}
	pause(ctx, r.scenario.Platform.Lag.Duration())
	for _, e := range r.entries {
		if err := r.launch(e); err != nil {
			return err
		}
	}
	group, waiting := errgroup.WithContext(ctx)
	for _, e := range r.entries {
		group.Go(func() error { return r.await(waiting, e) })
	}
	if err := group.Wait(); err != nil {
		return err
	}
	return r.spread(ctx)
}

// firstTicket describes the whole of the surroundings.
func (r *runner) firstTicket() agateticket.Ticket {
	t := agateticket.Ticket{Number: 1, Note: "start", Ring: &r.ring}
	for _, centre := range r.centres {
		t.Centres = append(t.Centres, r.describeCentre(centre))
	}
	for i := range r.scenario.Services {
		s := &r.scenario.Services[i]
		r.addService(&t, uint32(i+1), s.Name, s.Team, s)
	}
	r.addService(&t, r.probeService(), probeName, probeName, nil)
	for _, s := range r.servers {
		t.Servers = append(t.Servers, s.described())
	}
	return t
}

func (r *runner) describeCentre(centre uint16) agatecentre.Centre {
	c := agatecentre.Centre{ID: centre, Name: fmt.Sprintf("centre-%d", centre), Region: region}
	for _, other := range r.centres {
		if other != centre {
			c.Distances = append(c.Distances, agatecentre.Distance{Centre: other, Micros: distance})
		}
	}
	return c
}

// Deadlines of the probed service, in milliseconds.
const probeDeadline = 1000

// addService adds a service with its team and rules to the ticket.
func (r *runner) addService(t *agateticket.Ticket, id uint32, name, team string, s *agatescenario.Service) {
	service := agateservice.Service{
		ID: id, Name: name, State: agateservice.Up, Team: team, Priority: 1,
		Deadline: probeDeadline, MaxDeadline: probeDeadline,
	}
	if s != nil {
		service.Deadline = uint32(s.Deadline.Duration().Milliseconds())
		service.MaxDeadline = uint32(max(s.Deadline, s.LongDeadline).Duration().Milliseconds())
	}
	t.Services = append(t.Services, service)
	t.Rules = append(t.Rules, agateruleset.Ruleset{Service: id, Default: agateruleset.Allow})
	if s != nil {
		r.facts.Services = append(r.facts.Services, agateverdict.Service{ID: id, Name: name, Team: team})
	}
	known := slices.ContainsFunc(t.Teams, func(t agateteam.Team) bool { return t.Name == team })
	if !known {
		t.Teams = append(t.Teams, agateteam.Team{Name: team, Share: 1})
	}
}

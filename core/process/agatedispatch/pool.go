package agatedispatch

import (
	"time"

	"agatereach/core/process/agatebalance"
	"agatereach/core/process/agatehealth"
	"agatereach/core/process/agateschedule"
	"agatereach/core/version/agateserver"
	"agatereach/core/version/agateservice"
	"agatereach/core/version/agatestate"
	"agatereach/core/version/agateteam"
	"agatereach/core/version/agateview"
)

// pool holds the balancer of one service.
type pool struct {
	balancer Balancer
	// hasUsableServer is whether a local server may take new work.
	hasUsableServer bool
}

// pool returns the pool of a service of the view and creates it on first use.
func (d *Dispatcher) pool(now time.Time, service *agateservice.Service) *pool {
	p := d.pools[service.ID]
	if p == nil {
		p = &pool{balancer: d.settings.balancer(service)}
		d.pools[service.ID] = p
		p.balancer.SetShares(d.teamShares)
		p.balancer.SetPolicy(now, service.Policy)
		d.setServers(now, service.ID, p)
	}
	return p
}

// refreshServers gives every balancer the servers of the view with their
// current standings.
func (d *Dispatcher) refreshServers(now time.Time) {
	d.health.Retain(func(server uint32, incarnation uint64) bool {
		s := d.view.Server(server)
		return s != nil && s.Incarnation == incarnation
	})
	for id, p := range d.pools {
		if service := d.view.Service(id); service != nil {
			d.apply(now, p.balancer.SetPolicy(now, service.Policy))
		}
		d.setServers(now, id, p)
	}
}

func (d *Dispatcher) setServers(now time.Time, service uint32, p *pool) {
	list := d.view.Servers(service)
	standings := d.health.Judge(now, list, d.probesServer)
	servers := make([]agatebalance.Server, len(list))
	p.hasUsableServer = false
	for i, s := range list {
		servers[i] = d.balancerServer(s, standings[i])
		p.hasUsableServer = p.hasUsableServer || s.Takes() && usable(standings[i])
	}
	d.apply(now, p.balancer.SetServers(now, servers))
}

// probesServer reports whether this process probes the server.
func (d *Dispatcher) probesServer(server uint32) bool {
	has, found := d.probeCache[server]
	if !found {
		has = d.probeShare.Has(server)
		d.probeCache[server] = has
	}
	return has
}

// setProbeShare recomputes which servers this process probes.
func (d *Dispatcher) setProbeShare() {
	var vms []string
	for _, peer := range d.peers.Centre(d.self.Centre) {
		vms = append(vms, peer.VM)
	}
	d.probeShare = agateschedule.NewShare(d.self.VM, vms)
	clear(d.probeCache)
}

// usable reports whether a server with the standing may take new work.
func usable(standing agatehealth.Standing) bool {
	return standing == agatehealth.In || standing == agatehealth.Slow
}

// balancerServer returns the server in the state that its balancer should
// assume.
func (d *Dispatcher) balancerServer(s *agateserver.Server, standing agatehealth.Standing) agatebalance.Server {
	state := s.State
	switch {
	case d.serversWithheld, standing == agatehealth.Barred:
		state = agateserver.Draining
	case state == agateserver.Up && standing == agatehealth.Slow:
		state = agateserver.Cold
	}
	return agatebalance.Server{
		ID:          s.ID,
		Incarnation: s.Incarnation,
		Slots:       int(s.Slots),
		Connections: int(s.Connections),
		State:       state,
		Ejected:     standing == agatehealth.Out,
	}
}

// setTeams gives the teams to their limiter and the teams' weights to the
// balancers.
func (d *Dispatcher) setTeams(now time.Time) {
	table := d.view.State().Teams()
	teams := make([]agateteam.Team, 0, table.Len())
	d.teamShares = make(map[string]uint32, table.Len())
	for item := range table.All() {
		teams = append(teams, item.Value)
		d.teamShares[item.Key] = item.Value.Share
	}
	d.settings.teamLimiter.Set(now, teams, max(d.peers.Len(), 1))
	for _, p := range d.pools {
		p.balancer.SetShares(d.teamShares)
	}
}

// emptyView returns a view without tickets.
func emptyView(centre uint16) *agateview.View { return agateview.New(agatestate.New(centre), nil) }

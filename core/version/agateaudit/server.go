package agateaudit

import (
	"cmp"
	"fmt"
	"maps"
	"net/netip"
	"slices"

	"agatereach/core/version/agateserver"
	"agatereach/core/version/agateservice"
)

func (a *audit) checkServers() {
	for i := range a.ticket.Servers {
		a.checkServer(&a.ticket.Servers[i])
	}
	a.checkAddresses()
}

func (a *audit) checkServer(server *agateserver.Server) {
	object := fmt.Sprintf("backend server %d", server.ID)
	if _, known := a.next.Services().Get(server.Service); !known {
		a.add(Fault, object, "service %d is not known", server.Service)
	}
	if _, known := a.next.Centres().Get(server.Centre); !known {
		a.add(Fault, object, "data centre %d is not known", server.Centre)
	}
	old, found := a.before[server.ID]
	if !found {
		return
	}
	if old.Centre != server.Centre {
		a.add(Fault, object, "moves from data centre %d to %d; give it a new number", old.Centre, server.Centre)
	}
	if a.moved(&old, server) && old.Incarnation == server.Incarnation {
		a.add(Fault, object, "changes its service or address and keeps incarnation %d", old.Incarnation)
	}
	if old.State == agateserver.Gone && server.Serves() && old.Incarnation == server.Incarnation {
		a.add(Fault, object, "is gone and returns under the same incarnation")
	}
	if old.State == agateserver.Up && server.State == agateserver.Gone {
		a.add(Warning, object, "goes without draining, which ends the flows that it holds")
	}
}

// moved reports whether the server serves something else or elsewhere.
func (*audit) moved(old, server *agateserver.Server) bool {
	return old.Service != server.Service || old.Address != server.Address
}

// checkAddresses finds addresses that two servers claim.
func (a *audit) checkAddresses() {
	owners := make(map[netip.AddrPort]uint32)
	for _, id := range slices.Sorted(maps.Keys(a.servers)) {
		server := a.servers[id]
		if !server.Serves() {
			continue
		}
		if other, taken := owners[server.Address]; taken {
			a.add(Fault, fmt.Sprintf("backend server %d", id), "address %s is that of backend server %d", server.Address, other)
		}
		owners[server.Address] = id
	}
}

// pool names the servers of one service in one data centre.
type pool struct {
	service uint32
	centre  uint16
}

// checkPools warns of services that lose their last server in a data centre.
func (a *audit) checkPools() {
	before := takers(a.before)
	after := takers(a.servers)
	lost := make([]pool, 0)
	for p := range before {
		service, _ := a.next.Services().Get(p.service)
		if after[p] == 0 && service.Value.State != agateservice.Gone {
			lost = append(lost, p)
		}
	}
	slices.SortFunc(lost, func(p, q pool) int {
		return cmp.Or(cmp.Compare(p.service, q.service), cmp.Compare(p.centre, q.centre))
	})
	for _, p := range lost {
		a.add(Warning, fmt.Sprintf("service %d", p.service), "has no backend server left that takes new work in data centre %d", p.centre)
	}
}

func takers(servers map[uint32]agateserver.Server) map[pool]int {
	counts := make(map[pool]int)
	for _, server := range servers {
		if server.Takes() {
			counts[pool{server.Service, server.Centre}]++
		}
	}
	return counts
}

package agateview

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"

	"agatereach/core/version/agateaccess"
	"agatereach/core/version/agateserver"
	"agatereach/core/version/agateservice"
	"agatereach/core/version/agatestate"
)

// copied returns a copy of a map that is to be written, never nil.
func copied[K comparable, V any](m map[K]V) map[K]V {
	if m == nil {
		return make(map[K]V)
	}
	return maps.Clone(m)
}

// setServices brings the services and the owners of addresses up to date.
func (v *View) setServices(former *View) {
	v.services, v.owners = former.services, former.owners
	first := true
	for old, successor := range v.state.Services().Changes(former.state.Services()) {
		if first {
			v.services = copied(v.services)
			first = false
		}
		if old != nil {
			delete(v.services, old.Key)
		}
		if successor != nil && successor.Value.State != agateservice.Gone {
			v.services[successor.Key] = &successor.Value
		}
	}
	if !first {
		v.setOwners()
	}
}

// setOwners finds the owners of all addresses. Of two services that name one
// address, the one with the lower number owns it.
func (v *View) setOwners() {
	v.owners = make(map[netip.AddrPort]uint32, len(v.services))
	for id, service := range v.services {
		for _, address := range service.Addresses {
			if owner, found := v.owners[address]; !found || id < owner {
				v.owners[address] = id
			}
		}
	}
}

// setServers brings the data centre's servers and the services' pools up to
// date.
func (v *View) setServers(former *View) {
	v.servers, v.pools = former.servers, former.pools
	var touched map[uint32]bool
	for old, successor := range v.state.Servers().Changes(former.state.Servers()) {
		if touched == nil {
			touched = make(map[uint32]bool)
			v.servers, v.pools = copied(v.servers), copied(v.pools)
		}
		if old != nil {
			delete(v.servers, old.Key)
			touched[old.Value.Service] = true
		}
		if successor != nil && successor.Value.Serves() {
			v.servers[successor.Key] = &successor.Value
			touched[successor.Value.Service] = true
		}
	}
	v.refill(touched)
}

// refill makes the pools of the touched services anew.
func (v *View) refill(touched map[uint32]bool) {
	if len(touched) == 0 {
		return
	}
	for service := range touched {
		delete(v.pools, service)
	}
	for id, server := range v.servers {
		if touched[server.Service] {
			v.pools[server.Service] = append(v.pools[server.Service], v.servers[id])
		}
	}
	for service := range touched {
		slices.SortFunc(v.pools[service], func(a, b *agateserver.Server) int { return cmp.Compare(a.ID, b.ID) })
	}
}

// setRemotes brings the counts of other data centres' servers up to date.
func (v *View) setRemotes(former *View) {
	v.remotes = former.remotes
	first := true
	for old, successor := range v.state.Remotes().Changes(former.state.Remotes()) {
		if first {
			v.remotes = copied(v.remotes)
			first = false
		}
		if old != nil {
			v.addRemote(old.Value, -1)
		}
		if successor != nil {
			v.addRemote(successor.Value, 1)
		}
	}
}

// addRemote counts a server of another data centre in or out.
func (v *View) addRemote(remote agatestate.Remote, step int) {
	if !remote.Takes {
		return
	}
	list := slices.Clone(v.remotes[remote.Service])
	place, found := slices.BinarySearchFunc(list, remote.Centre, func(r Remote, centre uint16) int {
		return cmp.Compare(r.Centre, centre)
	})
	if !found {
		list = slices.Insert(list, place, Remote{Centre: remote.Centre})
	}
	list[place].Servers += step
	if list[place].Servers == 0 {
		list = slices.Delete(list, place, place+1)
	}
	v.remotes[remote.Service] = list
	if len(list) == 0 {
		delete(v.remotes, remote.Service)
	}
}

// setRules brings the prepared rules up to date.
func (v *View) setRules(former *View) {
	v.access = former.access
	first := true
	for old, successor := range v.state.Rules().Changes(former.state.Rules()) {
		if first {
			v.access = copied(v.access)
			first = false
		}
		if old != nil {
			delete(v.access, old.Key)
		}
		if successor != nil {
			v.access[successor.Key] = agateaccess.New(successor.Value)
		}
	}
}

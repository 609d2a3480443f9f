// Package agateview prepares a state for the packet path: an immutable view
// that answers every look-up without a lock or an allocation.
package agateview

import (
	"net/netip"

	"agatereach/core/version/agateaccess"
	"agatereach/core/version/agatecentre"
	"agatereach/core/version/agatekeyring"
	"agatereach/core/version/agateserver"
	"agatereach/core/version/agateservice"
	"agatereach/core/version/agatestate"
	"agatereach/core/version/agateteam"
)

// Remote counts the backend servers of one service in another data centre.
type Remote struct {
	// Centre is the number of the data centre.
	Centre uint16
	// Servers is the number of servers there that may be given new work.
	Servers int
}

// View is a state prepared for look-ups by one data centre's entries. It never
// changes and is safe for concurrent use.
type View struct {
	// state is what the view was made from.
	state *agatestate.State
	// ring holds the keys in force.
	ring agatekeyring.Ring
	// region is the region of the state's data centre, empty if not known.
	region string
	// servers holds the data centre's servers that are not gone.
	servers map[uint32]*agateserver.Server
	// pools holds each service's servers of the data centre that are not
	// gone, by rising number.
	pools map[uint32][]*agateserver.Server
	// remotes holds each service's other data centres, by rising number.
	remotes map[uint32][]Remote
	// services holds the services that are not gone.
	services map[uint32]*agateservice.Service
	// access holds each service's rules.
	access map[uint32]*agateaccess.Access
	// owners maps an address to the number of the service that owns it.
	owners map[netip.AddrPort]uint32
}

// New prepares the state. What has not changed is taken from former, the view
// of an earlier state of the same process; it may be nil.
func New(state *agatestate.State, former *View) *View {
	v := &View{state: state, ring: state.Ring()}
	if former == nil || former.state.Centre() != state.Centre() {
		former = &View{state: agatestate.New(state.Centre())}
	}
	if centre, found := state.Centres().Get(state.Centre()); found {
		v.region = centre.Value.Region
	}
	v.setServices(former)
	v.setServers(former)
	v.setRemotes(former)
	v.setRules(former)
	return v
}

// State returns the state that the view was made from.
func (v *View) State() *agatestate.State { return v.state }

// Ring returns the keys in force. They must not be changed.
func (v *View) Ring() *agatekeyring.Ring { return &v.ring }

// Region returns the region of the view's data centre, empty if not known.
func (v *View) Region() string { return v.region }

// RegionOf returns the region of a data centre, empty if not known.
func (v *View) RegionOf(centre uint16) string {
	if centre == v.state.Centre() {
		return v.region
	}
	item, _ := v.state.Centres().Get(centre)
	return item.Value.Region
}

// Service returns the service of the given number, nil if there is none.
func (v *View) Service(id uint32) *agateservice.Service { return v.services[id] }

// Server returns the data centre's server of the given number, nil if there is
// none or it is gone.
func (v *View) Server(id uint32) *agateserver.Server { return v.servers[id] }

// Servers returns the service's servers of the data centre that are not gone,
// by rising number. The slice must not be changed.
func (v *View) Servers(service uint32) []*agateserver.Server { return v.pools[service] }

// Remotes returns the other data centres that serve the service, by rising
// number. The slice must not be changed.
func (v *View) Remotes(service uint32) []Remote { return v.remotes[service] }

// Centre returns a data centre and whether it is known.
func (v *View) Centre(id uint16) (agatecentre.Centre, bool) {
	item, found := v.state.Centres().Get(id)
	return item.Value, found
}

// Team returns a team and whether it is known.
func (v *View) Team(name string) (agateteam.Team, bool) {
	item, found := v.state.Teams().Get(name)
	return item.Value, found
}

// Owner returns the number of the service that owns the address, 0 for none.
func (v *View) Owner(address netip.AddrPort) uint32 { return v.owners[address] }

// Access returns the verdict of the service's rules on a caller whose datagram
// entered at the data centre of the given number. A service without rules
// serves nobody new.
func (v *View) Access(service uint32, caller netip.Addr, customer uint32, centre uint16) agateaccess.Verdict {
	rules := v.access[service]
	if rules == nil {
		return agateaccess.Verdict{}
	}
	return rules.Decide(agateaccess.Caller{Address: caller, Customer: customer, Region: v.RegionOf(centre)})
}

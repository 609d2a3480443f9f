// Package agatereport describes a view of the tickets for operators.
package agatereport

import (
	"cmp"
	"slices"

	"agatereach/core/version/agateruleset"
	"agatereach/core/version/agateserver"
	"agatereach/core/version/agateservice"
	"agatereach/core/version/agateview"
)

// Report describes one view. The key ring's secrets are in none of its parts.
type Report struct {
	view *agateview.View
}

// Service is a service with the servers that serve it.
type Service struct {
	agateservice.Service
	// Ticket is the number of the ticket that set the service.
	Ticket uint64 `json:"ticket"`
	// Servers holds the data centre's own servers, by rising number.
	Servers []*agateserver.Server `json:"servers"`
	// Remotes holds the other data centres that serve the service.
	Remotes []Remote `json:"remotes"`
}

// Remote counts a service's servers in another data centre.
type Remote struct {
	// Centre is the number of the data centre.
	Centre uint16 `json:"centre"`
	// Servers is the number of servers that may be given new work.
	Servers int `json:"servers"`
}

// Ruleset is a service's rules with the number of their ticket.
type Ruleset struct {
	agateruleset.Ruleset
	// Ticket is the number of the ticket that set the rules.
	Ticket uint64 `json:"ticket"`
}

// Size counts what a view holds.
type Size struct {
	// Upto and Head are the ticket in force and the newest heard of.
	Upto uint64 `json:"upto"`
	Head uint64 `json:"head"`
	// Lag is the number of tickets that are missing.
	Lag uint64 `json:"lag"`
	// Digest is a hash of all that is held; equal states of a data centre have
	// equal digests.
	Digest uint64 `json:"digest,string"`
	// Centres, Services, Servers, Remotes, Rules and Teams count the objects.
	Centres  int `json:"centres"`
	Services int `json:"services"`
	Servers  int `json:"servers"`
	Remotes  int `json:"remotes"`
	Rules    int `json:"rules"`
	Teams    int `json:"teams"`
	// Keys holds the numbers of the keys in force, Sign that of the one that
	// signs.
	Keys []int `json:"keys"`
	Sign uint8 `json:"sign"`
}

// New returns a report on the view.
func New(view *agateview.View) *Report { return &Report{view: view} }

// Size returns the counts.
func (r *Report) Size() Size {
	state := r.view.State()
	size := Size{
		Upto:     state.Upto(),
		Head:     state.Head(),
		Lag:      state.Lag(),
		Digest:   state.Digest(),
		Centres:  state.Centres().Len(),
		Services: state.Services().Len(),
		Servers:  state.Servers().Len(),
		Remotes:  state.Remotes().Len(),
		Rules:    state.Rules().Len(),
		Teams:    state.Teams().Len(),
		Keys:     []int{},
		Sign:     r.view.Ring().SigningKeyID,
	}
	for i := range r.view.Ring().Keys {
		size.Keys = append(size.Keys, int(r.view.Ring().Keys[i].ID))
	}
	return size
}

// Services returns the services that are not gone, by rising number.
func (r *Report) Services() []Service {
	list := []Service{}
	for item := range r.view.State().Services().All() {
		if service, found := r.Service(item.Key); found {
			list = append(list, service)
		}
	}
	slices.SortFunc(list, func(a, b Service) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// Service returns the service of the given number and whether it is served.
func (r *Report) Service(id uint32) (Service, bool) {
	service := r.view.Service(id)
	if service == nil {
		return Service{}, false
	}
	item, _ := r.view.State().Services().Get(id)
	report := Service{
		Service: *service,
		Ticket:  item.Ticket,
		Servers: slices.Clone(r.view.Servers(id)),
		Remotes: []Remote{},
	}
	for _, remote := range r.view.Remotes(id) {
		report.Remotes = append(report.Remotes, Remote{Centre: remote.Centre, Servers: remote.Servers})
	}
	return report, true
}

// Rules returns the rule sets by rising number of their service.
func (r *Report) Rules() []Ruleset {
	list := []Ruleset{}
	for item := range r.view.State().Rules().All() {
		list = append(list, Ruleset{Ruleset: item.Value, Ticket: item.Ticket})
	}
	slices.SortFunc(list, func(a, b Ruleset) int { return cmp.Compare(a.Service, b.Service) })
	return list
}

// Ruleset returns the rules of the service of the given number and whether
// there are any.
func (r *Report) Ruleset(service uint32) (Ruleset, bool) {
	item, found := r.view.State().Rules().Get(service)
	return Ruleset{Ruleset: item.Value, Ticket: item.Ticket}, found
}

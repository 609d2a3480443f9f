package agatescenario

import (
	"fmt"
	"slices"
)

// Bounds of a scenario.
const (
	maxCentres = 20
	maxEntries = 300
	maxServers = 120
	maxSlots   = 255
)

// list collects faults.
type list struct {
	faults []Fault
}

// need notes a fault unless the condition holds.
func (l *list) need(holds bool, field, reason string) {
	if !holds {
		l.faults = append(l.faults, Fault{Field: field, Reason: reason})
	}
}

// check returns all faults of the scenario.
func (s *Scenario) check() []Fault {
	l := &list{}
	l.need(s.Name != "", "name", "is missing")
	l.need(s.Length > 0, "length", "must be above 0")
	l.need(s.Quiet >= 0, "quiet", "must not be negative")
	l.need(s.Fleet.Centres >= 1 && s.Fleet.Centres <= maxCentres, "fleet.centres", fmt.Sprintf("must be 1 to %d", maxCentres))
	l.need(s.Fleet.Entries >= 1 && s.Fleet.Entries <= maxEntries, "fleet.entries", fmt.Sprintf("must be 1 to %d", maxEntries))
	l.need(s.Fleet.Degree >= 0, "fleet.degree", "must not be negative")
	l.need(s.Fleet.Readers >= 0, "fleet.readers", "must not be negative")
	l.need(s.Platform.Rate > 0, "platform.rate", "must be above 0")
	l.need(len(s.Services) > 0, "service", "is missing")
	seen := make(map[string]bool)
	for i := range s.Services {
		service := &s.Services[i]
		at := fmt.Sprintf("service %d", i+1)
		l.need(!seen[service.Name], at+": name", "is used twice")
		seen[service.Name] = true
		service.check(l, at)
	}
	for i := range s.Events {
		s.Events[i].check(l, s, fmt.Sprintf("event %d", i+1))
	}
	return l.faults
}

func (s *Service) check(l *list, at string) {
	share := func(value float64, field string) {
		l.need(value >= 0 && value <= 1, at+": "+field, "must be 0 to 1")
	}
	l.need(s.Name != "", at+": name", "is missing")
	l.need(s.Servers >= 1 && s.Servers <= maxServers, at+": servers", fmt.Sprintf("must be 1 to %d", maxServers))
	l.need(s.Slots >= 1 && s.Slots <= maxSlots, at+": slots", fmt.Sprintf("must be 1 to %d", maxSlots))
	l.need(s.Queue >= 0, at+": queue", "must not be negative")
	l.need(s.Feeds >= 0, at+": feeds", "must not be negative")
	l.need(s.Flows >= 0, at+": flows", "must not be negative")
	l.need(s.Load >= 0, at+": load", "must not be negative")
	l.need(s.Mean > 0, at+": mean", "must be above 0")
	l.need(s.Factor >= 1, at+": factor", "must be 1 or more")
	l.need(s.Deadline > 0, at+": deadline", "must be above 0")
	l.need(s.LongDeadline > 0, at+": longdeadline", "must be above 0")
	l.need(s.Retry > 0, at+": retry", "must be above 0")
	share(s.Long, "long")
	share(s.Once, "once")
	share(s.Cancelled, "cancelled")
}

// check notes the event's faults.
func (e *Event) check(l *list, s *Scenario, at string) {
	l.need(e.At >= 0 && e.At <= s.Length, at+": at", "must be within the scenario's length")
	l.need(e.For >= 0, at+": for", "must not be negative")
	l.need(e.Gap >= 0, at+": gap", "must not be negative")
	for _, place := range e.Entries {
		l.need(place >= 1 && place <= s.Fleet.Entries, at+": entries", fmt.Sprintf("there is no entry %d", place))
	}
	e.checkServers(l, s, at)
	for _, centre := range slices.Concat(e.Centres, e.Between, []int{e.Centre}) {
		l.need(centre >= 0 && centre <= s.Fleet.Centres, at, fmt.Sprintf("there is no data centre %d", centre))
	}
	e.checkKind(l, s, at)
}

func (e *Event) checkServers(l *list, s *Scenario, at string) {
	if e.Service == "" {
		l.need(len(e.Servers) == 0, at+": servers", "needs a service")
		return
	}
	number := s.Number(e.Service)
	l.need(number != 0, at+": service", fmt.Sprintf("there is no service %q", e.Service))
	if number == 0 {
		return
	}
	for _, place := range e.Servers {
		holds := place >= 1 && place <= s.Services[number-1].Servers
		l.need(holds, at+": servers", fmt.Sprintf("service %q has no server %d", e.Service, place))
	}
}

// checkKind notes fields that the event's kind needs and lacks.
func (e *Event) checkKind(l *list, s *Scenario, at string) {
	entries := len(e.Entries) > 0 || e.All
	servers := e.Service != "" && len(e.Servers) > 0
	switch e.Kind {
	case AddServer:
		l.need(e.Service != "", at+": service", "is missing")
		l.need(e.Count > 0, at+": count", "must be above 0")
	case Drain:
		l.need(servers, at, "needs service and servers")
	case Reuse:
		l.need(servers, at, "needs service and servers")
		l.need(s.Number(e.To) != 0, at+": to", fmt.Sprintf("there is no service %q", e.To))
	case Kill, Pause, Resume:
		l.need(entries != servers, at, "needs either entries, or service and servers")
	case Restart, Replace:
		l.need(entries, at, "needs entries")
	case Cut:
		l.need(e.Platform == (len(e.Between) == 0), at, "needs either between or platform")
		l.need(e.Platform || len(e.Between) == 2, at+": between", "must name two data centres")
		l.need(!e.Platform || len(e.Centres) > 0, at+": centres", "is missing")
	case Heal, Fresh, Down:
	case Stale, Restore:
		l.need(e.Back >= 0, at+": back", "must not be negative")
	case Loss, Dup, Reorder:
		l.need(e.Share >= 0 && e.Share <= 1, at+": share", "must be 0 to 1")
		e.checkPath(l, at)
	case Delay:
		l.need(e.Delay >= 0 && e.Jitter >= 0, at+": delay", "must not be negative")
		e.checkPath(l, at)
	case Load:
		l.need(e.Load >= 0, at+": load", "must not be negative")
	case Mix:
		l.need(e.Service != "", at+": service", "is missing")
		l.need(e.Share >= 0 && e.Share <= 1, at+": share", "must be 0 to 1")
	case Mislead:
		l.need(servers != (e.Share > 0), at, "needs either service and servers, or share")
		l.need(slices.Contains([]string{"frozen", "inverted", "failing"}, e.How), at+": how", "must be frozen, inverted or failing")
	case Ticket:
		l.need(e.Count > 0, at+": count", "must be above 0")
	default:
		l.need(false, at+": kind", fmt.Sprintf("%q is not known", e.Kind))
	}
}

func (e *Event) checkPath(l *list, at string) {
	l.need(slices.Contains([]Path{"", Callers, Peers, Backends}, e.Path), at+": path", "must be callers, peers or servers")
}

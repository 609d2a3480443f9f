package agateaudit

import (
	"fmt"
	"net/netip"

	"agatereach/core/process/agateplacement"
	"agatereach/core/version/agatebatch"
	"agatereach/core/version/agateserial"
	"agatereach/core/version/agateserver"
	"agatereach/core/version/agateservice"
	"agatereach/core/version/agatestate"
	"agatereach/core/version/agateticket"
)

// audit collects the findings about one ticket.
type audit struct {
	// ticket is what is judged; it has passed its own check.
	ticket *agateticket.Ticket
	// former is the state before the ticket, holding every data centre's
	// servers in servers.
	former *agatestate.State
	// servers holds the backend servers of all data centres after the ticket.
	servers map[uint32]agateserver.Server
	// before holds the backend servers of all data centres before it.
	before map[uint32]agateserver.Server
	// next is the state after the ticket.
	next *agatestate.State
	// findings is what has been found so far.
	findings []Finding
}

// Audit returns what speaks against publishing the ticket after the tickets of
// the batch, which must start at the first ticket. A ticket that fails its own
// check is returned as the error.
func Audit(published *agatebatch.Batch, ticket *agateticket.Ticket) ([]Finding, error) {
	if err := ticket.Check(); err != nil {
		return nil, err
	}
	a := newAudit(published, ticket)
	a.checkNumber()
	a.checkCentres()
	a.checkServices()
	a.checkServers()
	a.checkRules()
	a.checkRing()
	a.checkPools()
	return a.findings, nil
}

func newAudit(published *agatebatch.Batch, ticket *agateticket.Ticket) *audit {
	former := agatestate.New(0).With(published)
	batch := &agatebatch.Batch{
		After:   former.Upto(),
		Upto:    max(former.Upto(), ticket.Number),
		Head:    max(former.Head(), ticket.Number),
		Tickets: []agateticket.Ticket{*ticket},
	}
	a := &audit{
		ticket: ticket,
		former: former,
		next:   former.With(batch),
		before: make(map[uint32]agateserver.Server),
	}
	for i := range published.Tickets {
		for _, server := range published.Tickets[i].Servers {
			a.before[server.ID] = server
		}
	}
	a.servers = make(map[uint32]agateserver.Server, len(a.before))
	for id, server := range a.before {
		a.servers[id] = server
	}
	for _, server := range ticket.Servers {
		a.servers[server.ID] = server
	}
	return a
}

func (a *audit) add(severity Severity, object, format string, values ...any) {
	a.findings = append(a.findings, Finding{Severity: severity, Object: object, Text: fmt.Sprintf(format, values...)})
}

func (a *audit) checkNumber() {
	if a.ticket.Number <= a.former.Head() {
		a.add(Fault, "ticket", "number %s is not above %s, the newest published",
			agateserial.Unpack(a.ticket.Number), agateserial.Unpack(a.former.Head()))
	}
}

func (a *audit) checkCentres() {
	names := make(map[string]uint16)
	for item := range a.next.Centres().All() {
		other, taken := names[item.Value.Name]
		if taken {
			a.add(Fault, fmt.Sprintf("data centre %d", max(item.Key, other)),
				"name %q is that of data centre %d", item.Value.Name, min(item.Key, other))
		}
		names[item.Value.Name] = item.Key
	}
}

func (a *audit) checkServices() {
	for _, service := range a.ticket.Services {
		object := fmt.Sprintf("service %d", service.ID)
		old, found := a.former.Services().Get(service.ID)
		if found && old.Value.State == agateservice.Gone && service.State != agateservice.Gone {
			a.add(Fault, object, "is gone and its number must not be used again")
		}
		if _, known := a.next.Teams().Get(service.Team); !known {
			a.add(Fault, object, "team %q is not known", service.Team)
		}
		if _, err := agateplacement.New(service.Policy); err != nil && service.Policy != "" {
			a.add(Fault, object, "policy %q is not known; the former one would stay", service.Policy)
		}
		if _, ruled := a.next.Rules().Get(service.ID); !ruled && service.State != agateservice.Gone {
			a.add(Warning, object, "has no rules, so that no caller may open a flow")
		}
	}
	a.checkOwners()
}

// checkOwners finds service addresses that two services claim.
func (a *audit) checkOwners() {
	owners := make(map[netip.AddrPort]uint32)
	for item := range a.next.Services().All() {
		if item.Value.State == agateservice.Gone {
			continue
		}
		for _, address := range item.Value.Addresses {
			other, taken := owners[address]
			if taken && other != item.Key {
				a.add(Fault, fmt.Sprintf("service %d", max(other, item.Key)),
					"address %s belongs to service %d", address, min(other, item.Key))
			}
			owners[address] = item.Key
		}
	}
}

func (a *audit) checkRules() {
	for _, set := range a.ticket.Rules {
		object := fmt.Sprintf("rules of service %d", set.Service)
		if _, known := a.next.Services().Get(set.Service); !known {
			a.add(Fault, object, "service is not known")
		}
		for i, rule := range set.Rules {
			for _, centre := range rule.Centres {
				if _, known := a.next.Centres().Get(centre); !known {
					a.add(Fault, object, "rule %d names data centre %d, which is not known", i, centre)
				}
			}
		}
	}
}

// checkRing finds changes of the key ring that would invalidate tokens in use.
func (a *audit) checkRing() {
	if a.ticket.Ring == nil {
		return
	}
	former := a.former.Ring()
	if len(former.Keys) == 0 {
		return
	}
	if _, err := a.ticket.Ring.Key(former.SigningKeyID); err != nil {
		a.add(Fault, "key ring", "key %d signs today and is dropped, which ends every flow that holds its tokens", former.SigningKeyID)
	}
	if _, err := former.Key(a.ticket.Ring.SigningKeyID); err != nil {
		a.add(Warning, "key ring", "key %d signs before every entry is sure to hold it", a.ticket.Ring.SigningKeyID)
	}
	for _, key := range a.ticket.Ring.Keys {
		old, err := former.Key(key.ID)
		if err == nil && old.Secret != key.Secret {
			a.add(Fault, "key ring", "key %d changes its secret", key.ID)
		}
	}
}

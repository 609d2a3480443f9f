package agatestate

import (
	"agatereach/core/version/agatebatch"
	"agatereach/core/version/agatecentre"
	"agatereach/core/version/agatekeyring"
	"agatereach/core/version/agateruleset"
	"agatereach/core/version/agateserver"
	"agatereach/core/version/agateservice"
	"agatereach/core/version/agatesummary"
	"agatereach/core/version/agatetable"
	"agatereach/core/version/agateteam"
	"agatereach/core/version/agateticket"
)

// With returns the state with the batch merged. Every ticket of the batch must
// have passed its checks. Upto advances only if the batch starts at or below it.
func (s *State) With(batch *agatebatch.Batch) *State {
	next := s.WithObjects(batch.Tickets, nil)
	if batch.After <= s.upto {
		next.upto = max(s.upto, batch.Upto)
	}
	next.head = max(s.head, batch.Head, next.upto)
	return next
}

// WithObjects returns the state with a part of the objects of some tickets
// merged, and backend servers of other data centres. Upto stays.
func (s *State) WithObjects(tickets []agateticket.Ticket, summaries []agatesummary.Summary) *State {
	next := *s
	next.centres = mergeTable(&next, kindCentre, next.centres, collectItems(tickets, centresOf, agatecentre.Centre.Key))
	next.services = mergeTable(&next, kindService, next.services, collectItems(tickets, servicesOf, agateservice.Service.Key))
	next.rules = mergeTable(&next, kindRules, next.rules, collectItems(tickets, rulesOf, agateruleset.Ruleset.Key))
	next.teams = mergeTable(&next, kindTeam, next.teams, collectItems(tickets, teamsOf, agateteam.Team.Key))
	next.rings = mergeTable(&next, kindRing, next.rings, collectItems(tickets, ringsOf, ringKey))
	next.mergeServers(tickets, summaries)
	return &next
}

// WithUpto returns a state that holds every ticket up to the given number: the
// caller has merged a whole snapshot of them.
func (s *State) WithUpto(upto uint64) *State {
	next := *s
	next.upto = max(s.upto, upto)
	next.head = max(s.head, next.upto)
	return &next
}

// mergeServers puts each server in the table of its data centre. A server
// number never moves between data centres. Both tables count alike for the
// digest, so that states of different data centres can be compared.
func (s *State) mergeServers(tickets []agateticket.Ticket, summaries []agatesummary.Summary) {
	var local []agatetable.Item[uint32, agateserver.Server]
	var remote []agatetable.Item[uint32, Remote]
	for i := range tickets {
		for _, server := range tickets[i].Servers {
			if server.Centre == s.centre {
				local = append(local, agatetable.Item[uint32, agateserver.Server]{Key: server.ID, Value: server, Ticket: tickets[i].Number})
				continue
			}
			summary := Remote{Service: server.Service, Centre: server.Centre, Takes: server.Takes()}
			remote = append(remote, agatetable.Item[uint32, Remote]{Key: server.ID, Value: summary, Ticket: tickets[i].Number})
		}
	}
	for _, r := range summaries {
		if r.Centre != s.centre {
			summary := Remote{Service: r.Service, Centre: r.Centre, Takes: r.Takes}
			remote = append(remote, agatetable.Item[uint32, Remote]{Key: r.Server, Value: summary, Ticket: r.Ticket})
		}
	}
	s.servers = mergeTable(s, kindServer, s.servers, local)
	s.remotes = mergeTable(s, kindServer, s.remotes, remote)
}

func centresOf(t *agateticket.Ticket) []agatecentre.Centre    { return t.Centres }
func servicesOf(t *agateticket.Ticket) []agateservice.Service { return t.Services }
func rulesOf(t *agateticket.Ticket) []agateruleset.Ruleset    { return t.Rules }
func teamsOf(t *agateticket.Ticket) []agateteam.Team          { return t.Teams }
func ringKey(agatekeyring.Ring) struct{}                      { return struct{}{} }

func ringsOf(t *agateticket.Ticket) []agatekeyring.Ring {
	if t.Ring == nil {
		return nil
	}
	return []agatekeyring.Ring{*t.Ring}
}

// collectItems returns one kind of the tickets' objects as items of a table.
func collectItems[K comparable, V any](tickets []agateticket.Ticket, objects func(*agateticket.Ticket) []V, key func(V) K) []agatetable.Item[K, V] {
	var items []agatetable.Item[K, V]
	for i := range tickets {
		for _, object := range objects(&tickets[i]) {
			items = append(items, agatetable.Item[K, V]{Key: key(object), Value: object, Ticket: tickets[i].Number})
		}
	}
	return items
}

// mergeTable merges one kind of objects and keeps the digest.
func mergeTable[K comparable, V any](s *State, kind byte, table agatetable.Table[K, V], items []agatetable.Item[K, V]) agatetable.Table[K, V] {
	if len(items) == 0 {
		return table
	}
	return table.Merge(items, func(old, successor agatetable.Item[K, V]) {
		if old.Ticket != 0 {
			s.digest ^= hashObject(kind, successor.Key, old.Ticket)
		}
		s.digest ^= hashObject(kind, successor.Key, successor.Ticket)
	})
}

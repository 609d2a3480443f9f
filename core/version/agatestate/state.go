// Package agatestate merges tickets into the state that they describe. For each
// object the value of the highest ticket wins, so that order, loss, repetition
// and late arrival never take a change back.
package agatestate

import (
	"agatereach/core/version/agatecentre"
	"agatereach/core/version/agatekeyring"
	"agatereach/core/version/agateruleset"
	"agatereach/core/version/agateserial"
	"agatereach/core/version/agateserver"
	"agatereach/core/version/agateservice"
	"agatereach/core/version/agatetable"
	"agatereach/core/version/agateteam"
)

// Remote is what is held of a backend server of another data centre.
type Remote struct {
	// Service and Centre are the numbers of the server's service and data centre.
	Service uint32
	Centre  uint16
	// Takes says that the server may be given new work.
	Takes bool
}

// State is the merged content of tickets, scoped to one data centre: it holds
// that data centre's backend servers in full and of the others a summary. The
// zero value is empty and holds every server as remote. A State never changes.
type State struct {
	// centre is the number of the data centre whose servers are held in full.
	centre uint16
	// upto is the packed serial up to which every ticket has been merged.
	upto uint64
	// head is the newest ticket number heard of; not less than upto.
	head uint64
	// digest is the exclusive or of the hashes of all held objects.
	digest uint64

	centres  agatetable.Table[uint16, agatecentre.Centre]
	services agatetable.Table[uint32, agateservice.Service]
	servers  agatetable.Table[uint32, agateserver.Server]
	remotes  agatetable.Table[uint32, Remote]
	rules    agatetable.Table[uint32, agateruleset.Ruleset]
	teams    agatetable.Table[string, agateteam.Team]
	rings    agatetable.Table[struct{}, agatekeyring.Ring]
}

// New returns an empty state scoped to the data centre of the given number.
func New(centre uint16) *State { return &State{centre: centre} }

// Centre returns the number of the data centre that the state is scoped to.
func (s *State) Centre() uint16 { return s.centre }

// Upto returns the number up to which every ticket is in the state.
func (s *State) Upto() uint64 { return s.upto }

// Head returns the newest ticket number heard of.
func (s *State) Head() uint64 { return s.head }

// Lag returns how many ticket numbers the state is behind the newest heard of.
func (s *State) Lag() uint64 { return agateserial.Distance(s.head, s.upto) }

// Digest returns a hash of all held objects and their ticket numbers, whatever
// the data centre. States of one data centre are equal when their digests are.
func (s *State) Digest() uint64 { return s.digest }

// Centres returns the data centres by number.
func (s *State) Centres() agatetable.Table[uint16, agatecentre.Centre] { return s.centres }

// Services returns the services by number.
func (s *State) Services() agatetable.Table[uint32, agateservice.Service] { return s.services }

// Servers returns the backend servers of the state's data centre by number.
func (s *State) Servers() agatetable.Table[uint32, agateserver.Server] { return s.servers }

// Remotes returns the backend servers of other data centres by number.
func (s *State) Remotes() agatetable.Table[uint32, Remote] { return s.remotes }

// Rules returns the rule sets by the number of their service.
func (s *State) Rules() agatetable.Table[uint32, agateruleset.Ruleset] { return s.rules }

// Teams returns the teams by name.
func (s *State) Teams() agatetable.Table[string, agateteam.Team] { return s.teams }

// Ring returns the key ring, without keys if no ticket has set it.
func (s *State) Ring() agatekeyring.Ring {
	item, _ := s.rings.Get(struct{}{})
	return item.Value
}

// RingTicket returns the key ring and the number of the ticket that set it, 0
// if none has.
func (s *State) RingTicket() (agatekeyring.Ring, uint64) {
	item, _ := s.rings.Get(struct{}{})
	return item.Value, item.Ticket
}

// WithHead returns a state that has heard of the ticket of the given number.
func (s *State) WithHead(head uint64) *State {
	if head <= s.head {
		return s
	}
	next := *s
	next.head = head
	return &next
}

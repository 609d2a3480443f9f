package agatesoak

import (
	"net/netip"
	"time"

	"agatereach/bench/agatefault"
	"agatereach/bench/agateground"
	"agatereach/bench/agateplan"
	"agatereach/core/version/agateinstance"
)

const (
	// partLoss is the share of packets that is lost where not all are.
	partLoss = 0.3
	// maxLate is the longest time by which packets to callers are late.
	maxLate = 300 * time.Millisecond
	// callerShare is the share of callers, as one in so many, that a deep step meets.
	callerShare = 3
	// lapses is the number of registrations that a deep step takes away.
	lapses = 3
)

// backFaults are the faults of the way from servers to callers.
var backFaults = []agatefault.Fault{{Loss: 1}, {Loss: partLoss}, {Jitter: maxLate}}

// makeServingStep makes a step that disturbs no server; place is that of the entry
// which it meets.
func (s *soak) makeServingStep(step agateplan.Step, place int) {
	s.record.Harmed(s.now() + step.For)
	switch step.Kind {
	case agateplan.Back:
		s.harmBack(step)
	case agateplan.Outward:
		s.harmOutward(step, place)
	case agateplan.Full:
		s.fill(step)
	case agateplan.Linger:
		s.linger(step)
	case agateplan.Lapse:
		s.lapse(step)
	case agateplan.Claim:
		s.claim(step)
	case agateplan.ZeroID:
		s.registerZeroID(step)
	case agateplan.Slow:
		defer s.crowd.Slow()()
		s.sleep(step.For)
	case agateplan.Late:
		defer s.crowd.Late()()
		s.sleep(step.For)
	}
}

// harmBack harms the packets from servers to callers, of one data centre or of all.
func (s *soak) harmBack(step agateplan.Step) {
	fault := backFaults[int(step.Place>>8)%len(backFaults)]
	count, stride := 1, 1
	if step.Deep {
		count = max(count, s.options.Callers/callerShare)
	}
	if step.Place>>16%2 == 0 {
		stride = centres
	}
	var callers []netip.Addr
	for i := range count {
		place := 1 + (int(step.Place)+i*stride)%s.options.Callers
		callers = append(callers, s.ground.Address(agateground.Caller, place))
	}
	s.harm(step, callers, s.centres(), fault)
}

// harmOutward loses packets from an entry to servers.
func (s *soak) harmOutward(step agateplan.Step, place int) {
	s.disturb(step, place)
	fault := agatefault.Fault{Loss: 1}
	if step.Place>>8%2 == 0 {
		fault.Loss = partLoss
	}
	reached := s.centres()
	if !step.Deep {
		reached = reached[int(step.Place>>16)%len(reached):][:1]
	}
	s.harm(step, []netip.Addr{s.ground.Address(agateground.Entry, place)}, reached, fault)
}

// centres returns the names of the data centres.
func (s *soak) centres() []string {
	var names []string
	for place := range centres {
		names = append(names, s.ground.Centre(place))
	}
	return names
}

// harm puts a fault between the peers and the servers of data centres for a time.
func (s *soak) harm(step agateplan.Step, peers []netip.Addr, reached []string, fault agatefault.Fault) {
	set := func(fault agatefault.Fault) {
		for _, peer := range peers {
			for _, each := range reached {
				s.farm.Path(peer, each).Set(fault)
			}
		}
	}
	set(fault)
	s.sleep(step.For)
	set(agatefault.Fault{})
}

// fill makes a server, or those of a data centre, send nothing to SYNs.
func (s *soak) fill(step agateplan.Step) {
	servers := s.registered()
	if len(servers) == 0 {
		return
	}
	chosen := servers[int(step.Place)%len(servers)]
	for _, each := range servers {
		if each.Key == chosen.Key || step.Deep && each.Centre == chosen.Centre {
			defer s.farm.Fill(each.Key)()
		}
	}
	s.sleep(step.For)
}

// linger starts another server and empties this one, which serves on after its
// registration is gone.
func (s *soak) linger(step agateplan.Step) {
	server, ok := s.take(step.Place)
	if !ok {
		return
	}
	s.empty(server)
	s.sleep(bounds.Drain)
	s.store.Remove(server.ID)
	s.sleep(step.For)
	s.end(server)
}

// claim registers a server at an address that isn't its own, until it registers again.
func (s *soak) claim(step agateplan.Step) {
	server, ok := s.take(step.Place)
	if !ok {
		return
	}
	claimed := server
	if others := s.registered(); len(others) > 0 && !step.Deep {
		other := others[int(step.Place>>8)%len(others)]
		claimed.Address, claimed.Service = other.Address, other.Service
	} else {
		claimed.Address.Port++
	}
	s.store.Register(claimed)
	s.sleep(step.For)
	s.store.Register(server)
	s.give(server)
}

// registerZeroID registers a server's address for another service under the id 0.
func (s *soak) registerZeroID(step agateplan.Step) {
	registered := s.registered()
	if len(registered) == 0 {
		return
	}
	claimed := registered[int(step.Place)%len(registered)]
	claimed.ID = 0
	for _, other := range registered {
		if other.Service != claimed.Service {
			claimed.Service = other.Service
			break
		}
	}
	s.store.Register(claimed)
	s.sleep(step.For)
	s.store.Remove(0)
}

// lapse takes registrations away of servers that serve on, and brings them back.
func (s *soak) lapse(step agateplan.Step) {
	count := 1
	if step.Deep {
		count = lapses
	}
	var lapsed []agateinstance.Instance
	for range count {
		if server, ok := s.take(step.Place); ok {
			s.store.Remove(server.ID)
			lapsed = append(lapsed, server)
		}
	}
	s.sleep(step.For)
	for _, server := range lapsed {
		s.store.Register(server)
		s.give(server)
	}
}

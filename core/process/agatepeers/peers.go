// Package agatepeers provides an immutable set of entry processes, by which the
// packet path relays datagrams.
package agatepeers

import (
	"cmp"
	"net/netip"
	"slices"
)

// State is the state of a peer as this process sees it.
type State string

// The states of a peer.
const (
	// Live is the state of a peer that responds.
	Live State = "live"
	// Suspect is the state of a peer that may have failed or can't be reached.
	Suspect State = "suspect"
	// Leaving is the state of a peer that is shutting down as planned.
	Leaving State = "leaving"
	// Gone is the state of a peer whose process has ended.
	Gone State = "gone"
)

// Peer is one entry process.
type Peer struct {
	// VM is the name of the VM that the process runs on.
	VM string `json:"vm"`
	// Centre is the number of its data centre.
	Centre uint16 `json:"centre"`
	// Boot is the process's boot id, drawn at random at its start; 0 while
	// it is not known.
	Boot uint64 `json:"boot"`
	// Relay is the address at which the process receives relayed datagrams.
	Relay netip.AddrPort `json:"relay"`
	// State is the state of the process as this process sees it.
	State State `json:"state"`
}

// Peers is an immutable set of entry processes. The zero value is empty.
type Peers struct {
	// list holds all peers, sorted by data centre; within one the live peers
	// come first, sorted by the name of their VM.
	list []Peer
	// indexByBoot maps boot ids to indexes in list.
	indexByBoot map[uint64]int32
	// successors maps the boot id of a process that has handed its guard
	// records over to that of the process that took them.
	successors map[uint64]uint64
	// liveByCentre holds the live peers of each data centre, as subslices of
	// list.
	liveByCentre map[uint16][]Peer
}

// New returns a set of peers. successors maps the boot id of each process that
// has handed its guard records over to that of the process that took them; the
// caller must not modify it afterwards.
func New(peers []Peer, successors map[uint64]uint64) *Peers {
	p := &Peers{
		list:         slices.Clone(peers),
		indexByBoot:  make(map[uint64]int32, len(peers)),
		successors:   successors,
		liveByCentre: make(map[uint16][]Peer),
	}
	slices.SortFunc(p.list, func(a, b Peer) int { return comparePeers(&a, &b) })
	first := 0
	for i := range p.list {
		peer := &p.list[i]
		if peer.Boot != 0 {
			p.indexByBoot[peer.Boot] = int32(i)
		}
		if peer.Centre != p.list[first].Centre {
			first = i
		}
		if peer.State == Live {
			p.liveByCentre[peer.Centre] = p.list[first : i+1 : i+1]
		}
	}
	return p
}

// comparePeers orders peers by data centre, live ones first, then by the name of
// the VM and by boot id.
func comparePeers(a, b *Peer) int {
	switch {
	case a.Centre != b.Centre:
		return cmp.Compare(a.Centre, b.Centre)
	case (a.State == Live) != (b.State == Live):
		if a.State == Live {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(a.VM, b.VM), cmp.Compare(a.Boot, b.Boot))
}

// Successor returns the boot id of the process that now holds the guard records
// of the process boot, after any number of hand-overs: boot itself if it has not
// handed them over.
func (p *Peers) Successor(boot uint64) uint64 {
	for range len(p.successors) {
		next, found := p.successors[boot]
		if !found {
			return boot
		}
		boot = next
	}
	return boot
}

// Next returns the boot id of the process to which the process boot itself has
// handed its guard records over, and whether it has.
func (p *Peers) Next(boot uint64) (uint64, bool) {
	next, found := p.successors[boot]
	return next, found
}

// Len returns the number of live peers.
func (p *Peers) Len() int {
	count := 0
	for _, list := range p.liveByCentre {
		count += len(list)
	}
	return count
}

// Boot returns the peer with the given boot id and whether it is in the set.
func (p *Peers) Boot(boot uint64) (Peer, bool) {
	index, found := p.indexByBoot[boot]
	if !found {
		return Peer{}, false
	}
	return p.list[index], true
}

// Centre returns the live peers of the data centre, sorted by the name of their
// VM. The caller must not modify the slice.
func (p *Peers) Centre(centre uint16) []Peer { return p.liveByCentre[centre] }

// Pick selects a live peer of the data centre by hash, and reports whether there
// is one. The same set and hash give the same peer.
func (p *Peers) Pick(centre uint16, hash uint64) (Peer, bool) {
	list := p.liveByCentre[centre]
	if len(list) == 0 {
		return Peer{}, false
	}
	return list[hash%uint64(len(list))], true
}

// All returns a copy of the list of all peers.
func (p *Peers) All() []Peer { return slices.Clone(p.list) }

// Package agatepartition says which parts of a run cannot reach each other.
package agatepartition

import (
	"maps"
	"net/netip"
	"sync"

	"agatereach/bench/agateground"
)

// Partition holds the cuts in force. It is safe for concurrent use.
type Partition struct {
	ground *agateground.Ground
	mutex  sync.RWMutex
	// centres are cut off from each other, the store and the others' servers;
	// entries from other entries, and from servers too if the value is true.
	centres map[string]int
	entries map[int]map[bool]int
}

// New returns a partition without cuts.
func New(ground *agateground.Ground) *Partition {
	return &Partition{ground: ground, centres: make(map[string]int), entries: make(map[int]map[bool]int)}
}

// CutCentre cuts a data centre off until the returned function is called.
func (p *Partition) CutCentre(centre string) func() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.centres[centre]++
	return func() {
		p.mutex.Lock()
		defer p.mutex.Unlock()
		p.centres[centre]--
	}
}

// CutEntry cuts an entry off from the other entries, and from the servers too if
// servers is true, until the returned function is called.
func (p *Partition) CutEntry(place int, servers bool) func() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	cuts := maps.Clone(p.entries[place])
	if cuts == nil {
		cuts = make(map[bool]int)
	}
	cuts[servers]++
	p.entries[place] = cuts
	return func() {
		p.mutex.Lock()
		defer p.mutex.Unlock()
		p.entries[place][servers]--
	}
}

// Cut reports whether two parts cannot reach each other. The store is in no data
// centre.
func (p *Partition) Cut(a, b netip.Addr) bool {
	p.mutex.RLock()
	defer p.mutex.RUnlock()
	first, second := p.centre(a), p.centre(b)
	if first != second && (p.centres[first] > 0 || p.centres[second] > 0) {
		return true
	}
	return p.apart(a, b) || p.apart(b, a)
}

// centre names the data centre of the part at an address, "" for the store.
func (p *Partition) centre(address netip.Addr) string {
	if agateground.KindOf(address) == agateground.Store {
		return ""
	}
	return p.ground.Centre(agateground.Place(address))
}

// apart reports whether a is an entry that is cut off from b.
func (p *Partition) apart(a, b netip.Addr) bool {
	cuts := p.entries[agateground.Place(a)]
	if agateground.KindOf(a) != agateground.Entry || cuts == nil {
		return false
	}
	switch agateground.KindOf(b) {
	case agateground.Entry:
		return cuts[true]+cuts[false] > 0
	case agateground.Server:
		return cuts[true] > 0
	}
	return false
}

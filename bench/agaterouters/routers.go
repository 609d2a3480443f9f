// Package agaterouters chooses the entry for a caller's packet as the routers of
// a data centre do: by a hash of the flow over the entries that are ready.
package agaterouters

import (
	"sync"

	"agatereach/bench/agateground"
	"agatereach/core/request/agatetuple"
)

// Routers is the routers of all data centres. It is safe for concurrent use.
type Routers struct {
	ground *agateground.Ground
	count  int
	mutex  sync.RWMutex
	// ready are the places of the entries in rotation.
	ready map[int]bool
}

// New returns routers for the entries at the places 1 to count, none of them in
// rotation.
func New(ground *agateground.Ground, count int) *Routers {
	return &Routers{ground: ground, count: count, ready: make(map[int]bool)}
}

// Set puts an entry into rotation, or takes it out.
func (r *Routers) Set(place int, ready bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.ready[place] = ready
}

// Ready returns the number of entries in rotation.
func (r *Routers) Ready() int {
	r.mutex.RLock()
	defer r.mutex.RUnlock()
	count := 0
	for _, ready := range r.ready {
		if ready {
			count++
		}
	}
	return count
}

// Entry returns the place of the entry for a packet of the flow that enters at a
// data centre. A data centre of which fewer than half of the entries are in
// rotation uses all of them, and one of which none is those of the others.
func (r *Routers) Entry(flow agatetuple.Tuple, centre string) int {
	r.mutex.RLock()
	defer r.mutex.RUnlock()
	here, elsewhere, all := 0, 0, 0
	for place := 1; place <= r.count; place++ {
		local := r.ground.Centre(place) == centre
		switch {
		case local && r.ready[place]:
			here++
			all++
		case local:
			all++
		case r.ready[place]:
			elsewhere++
		}
	}
	return r.best(flow, func(place int) bool {
		local := r.ground.Centre(place) == centre
		switch {
		case here == 0 && elsewhere > 0:
			return !local && r.ready[place]
		case 2*here < all:
			return local
		}
		return local && r.ready[place]
	})
}

// best returns the eligible place with the highest hash together with the flow,
// so that a change of the rotation moves the flows of one entry only.
func (r *Routers) best(flow agatetuple.Tuple, eligible func(int) bool) int {
	chosen, highest := 0, uint64(0)
	for place := 1; place <= r.count; place++ {
		hash := (flow.Hash() ^ uint64(place)*0x9e3779b97f4a7c15) * 0xd6e8feb86659fd93
		hash ^= hash >> 32
		if eligible(place) && (chosen == 0 || hash > highest) {
			chosen, highest = place, hash
		}
	}
	return chosen
}

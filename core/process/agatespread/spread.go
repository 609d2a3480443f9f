// Package agatespread distributes work among nearby data centres in proportion
// to their servers. The fabric gives every entry an equal share of the traffic,
// so a data centre receives a share proportional to its entries, which may differ
// from its share of the servers. What it receives above its share of the servers
// goes to the data centres that receive less than theirs; everything else stays.
package agatespread

import (
	"cmp"
	"slices"
)

// Centre holds the sizes of a data centre that determine its share of the work.
type Centre struct {
	// ID is its number.
	ID uint16
	// Entries is the number of its live entries.
	Entries int
	// Servers is the number of its servers that take new work of the service.
	Servers int
}

// Spread selects the data centre for work that arrives in one data centre. It is
// immutable. The zero value keeps all work local.
type Spread struct {
	// ranges divides the unit interval of hashes among other data centres, in
	// ascending order; what is not below the last limit stays local.
	ranges []hashRange
}

// hashRange assigns to a data centre the hashes below limit and not below the
// limit of the range before it.
type hashRange struct {
	limit  float64
	centre uint16
}

// New returns the spread for work that arrives in the data centre local, which
// must be one of centres.
func New(local uint16, centres []Centre) Spread {
	var entries, servers int
	for _, c := range centres {
		entries += c.Entries
		servers += c.Servers
	}
	if entries == 0 || servers == 0 {
		return Spread{}
	}
	excess := make(map[uint16]float64, len(centres))
	deficit := 0.0
	for _, c := range centres {
		e := float64(c.Entries)/float64(entries) - float64(c.Servers)/float64(servers)
		excess[c.ID] = e
		deficit += max(-e, 0)
	}
	if excess[local] <= 0 || deficit == 0 {
		return Spread{}
	}
	return distribute(local, centres, excess, deficit, float64(entries))
}

// distribute assigns the excess of local to the data centres with a deficit, in
// proportion to their deficits.
func distribute(local uint16, centres []Centre, excess map[uint16]float64, deficit, entries float64) Spread {
	sorted := slices.SortedFunc(slices.Values(centres), func(a, b Centre) int { return cmp.Compare(a.ID, b.ID) })
	localShare := 0.0
	for _, c := range sorted {
		if c.ID == local {
			localShare = float64(c.Entries) / entries
		}
	}
	var s Spread
	limit := 0.0
	for _, c := range sorted {
		if excess[c.ID] < 0 {
			limit += excess[local] / localShare * -excess[c.ID] / deficit
			s.ranges = append(s.ranges, hashRange{limit: limit, centre: c.ID})
		}
	}
	return s
}

// Away returns the other data centre that the work with the given hash goes to,
// and whether it leaves this one.
func (s Spread) Away(hash uint64) (uint16, bool) {
	fraction := float64(hash>>11) / (1 << 53)
	for _, r := range s.ranges {
		if fraction < r.limit {
			return r.centre, true
		}
	}
	return 0, false
}

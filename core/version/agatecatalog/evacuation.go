package agatecatalog

import (
	"cmp"
	"maps"
	"slices"

	"agatereach/core/version/agateevacuation"
)

// Evacuated reports whether a data centre is evacuated.
func (c *Catalog) Evacuated(centre string) bool { return c.evacuations[centre].Active }

// Evacuation returns the record of a data centre and reports whether there is one.
func (c *Catalog) Evacuation(centre string) (agateevacuation.Evacuation, bool) {
	held, ok := c.evacuations[centre]
	return held, ok
}

// Evacuations returns the records of all data centres, including those of evacuations that
// have ended, in the order of their names.
func (c *Catalog) Evacuations() []agateevacuation.Evacuation {
	return slices.SortedFunc(maps.Values(c.evacuations), func(a, b agateevacuation.Evacuation) int {
		return cmp.Compare(a.Centre, b.Centre)
	})
}

// WithEvacuations returns the catalog with those records that replace its own.
func (c *Catalog) WithEvacuations(records []agateevacuation.Evacuation) *Catalog {
	var next *Catalog
	for _, record := range records {
		held, known := c.evacuations[record.Centre]
		if next != nil {
			held, known = next.evacuations[record.Centre]
		}
		if known && !record.Replaces(held) {
			continue
		}
		if next == nil {
			next = c.withOwnEvacuations()
		}
		next.digest ^= held.Digest() ^ record.Digest()
		next.evacuations[record.Centre] = record
	}
	if next == nil {
		return c
	}
	return next
}

// WithoutEvacuations returns the catalog without the records for which drop returns true.
// The caller raises the floor if entries that are behind would miss the end of an
// evacuation.
func (c *Catalog) WithoutEvacuations(drop func(agateevacuation.Evacuation) bool) *Catalog {
	var next *Catalog
	for centre, held := range c.evacuations {
		if !drop(held) {
			continue
		}
		if next == nil {
			next = c.withOwnEvacuations()
		}
		next.digest ^= held.Digest()
		delete(next.evacuations, centre)
	}
	if next == nil {
		return c
	}
	return next
}

// withOwnEvacuations returns a copy of the catalog whose evacuations may be changed.
func (c *Catalog) withOwnEvacuations() *Catalog {
	next := *c
	next.evacuations = maps.Clone(c.evacuations)
	if next.evacuations == nil {
		next.evacuations = make(map[string]agateevacuation.Evacuation)
	}
	return &next
}

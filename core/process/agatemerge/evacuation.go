package agatemerge

import (
	"time"

	"agatereach/core/version/agatechange"
	"agatereach/core/version/agateevacuation"
	"agatereach/core/version/agateposition"
)

// endedEvacuation is an evacuation that has ended.
type endedEvacuation struct {
	// position is that of the end, and since is when it was first known.
	position agateposition.Position
	since    time.Duration
}

// applyEvacuations applies the evacuations of a delivery.
func (m *Merger) applyEvacuations(c agatechange.Changes) {
	own := m.catalog.Position()
	switch {
	case c.Era > own.Era && own.Revision > 0:
		m.replaceEvacuations(c)
	case !c.Complete && !c.AllEvacuations:
		m.catalog = m.catalog.WithEvacuations(m.withoutForgotten(c.Evacuations))
	default:
		records := m.confirmed(c)
		if own.After(c.Position()) {
			// The evacuation may have ended since, unknown to the entry whose catalog is held.
			records = m.withoutForgotten(records)
		}
		m.catalog = m.catalog.WithEvacuations(m.impliedEnds(c)).WithEvacuations(records)
	}
}

// replaceEvacuations replaces all records by those of a restored store: an operator can
// see and change only these, whatever was known before.
func (m *Merger) replaceEvacuations(c agatechange.Changes) {
	m.catalog = m.catalog.WithoutEvacuations(func(agateevacuation.Evacuation) bool { return true }).WithEvacuations(c.Evacuations)
	clear(m.ended)
}

// withoutForgotten returns the records without those of evacuations whose end the catalog
// includes without a record: a record that is no newer than the catalog and yet not in it.
func (m *Merger) withoutForgotten(records []agateevacuation.Evacuation) []agateevacuation.Evacuation {
	var kept []agateevacuation.Evacuation
	for _, record := range records {
		if _, held := m.catalog.Evacuation(record.Centre); held || record.Position().After(m.catalog.Position()) {
			kept = append(kept, record)
		}
	}
	return kept
}

// impliedEnds returns the ends of those evacuations that a complete listing lacks, as of
// its position. Another entry's listing of the catalog's own position ends none: it would
// hold the record of the end, so one of the two entries has missed the evacuation.
func (m *Merger) impliedEnds(c agatechange.Changes) []agateevacuation.Evacuation {
	if c.Relayed && c.Position() == m.catalog.Position() {
		return nil
	}
	listed := make(map[string]bool, len(c.Evacuations))
	for _, record := range c.Evacuations {
		listed[record.Centre] = true
	}
	var ends []agateevacuation.Evacuation
	for _, held := range m.catalog.Evacuations() {
		if held.Active && !listed[held.Centre] && c.Position().After(held.Position()) {
			ends = append(ends, held.WithEnd(c.Position()))
		}
	}
	return ends
}

// confirmed returns the evacuations of a complete listing. One that the store lists is in
// force, although the catalog holds an end of it from before the listing: that end was
// wrongly concluded. Its record gets the position of the listing, so that it replaces the
// end at other entries too.
func (m *Merger) confirmed(c agatechange.Changes) []agateevacuation.Evacuation {
	if c.Relayed {
		return c.Evacuations
	}
	records := make([]agateevacuation.Evacuation, len(c.Evacuations))
	for i, record := range c.Evacuations {
		held, known := m.catalog.Evacuation(record.Centre)
		if known && record.Active && !held.Active && !held.Position().After(c.Position()) && held.Replaces(record) {
			record = record.WithPosition(c.Position())
		}
		records[i] = record
	}
	return records
}

// forgetEvacuations drops the records of evacuations that have ended and whose retention
// time is over: no entry holds a page from before the end any more. An entry that was cut
// off for longer is behind the floor and gets a complete listing.
func (m *Merger) forgetEvacuations(now time.Duration) {
	floor := m.catalog.Floor()
	m.catalog = m.catalog.WithoutEvacuations(func(e agateevacuation.Evacuation) bool {
		known := m.ended[e.Centre]
		switch {
		case e.Active:
			delete(m.ended, e.Centre)
			return false
		case known.position != e.Position():
			m.ended[e.Centre] = endedEvacuation{position: e.Position(), since: now}
			return false
		case now-known.since <= m.policy.GoneRetention || e.Position().After(m.catalog.Position()):
			return false
		}
		delete(m.ended, e.Centre)
		floor = floor.Max(e.Position())
		return true
	})
	m.catalog = m.catalog.WithFloor(floor)
}

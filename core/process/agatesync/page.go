package agatesync

import (
	"net/netip"
	"time"

	"agatereach/core/process/agatenotice"
	"agatereach/core/version/agatecatalog"
	"agatereach/core/version/agatechange"
	"agatereach/core/version/agateevacuation"
	"agatereach/core/version/agateinstance"
	"agatereach/core/version/agateposition"
)

// instanceSize is the approximate size of an encoded registration without its
// strings, in bytes.
const instanceSize = 64

// evacuationSize is the same for an evacuation.
const evacuationSize = 24

// pageCollection holds the received pages of one reply, by index. Pages from
// different senders cannot be combined, since each sender divides the registrations
// in its own way.
type pageCollection struct {
	sender   netip.AddrPort
	from, to agateposition.Position
	total    int
	pages    map[int]*agatenotice.Page
}

// content is what the pages of one reply hold.
type content struct {
	instances   []agateinstance.Instance
	evacuations []agateevacuation.Evacuation
}

// empty reports whether there is nothing.
func (c content) empty() bool { return len(c.instances) == 0 && len(c.evacuations) == 0 }

// pagesOf returns pages that hold the given content and lead from one position to another.
// Evacuations are on the first pages, together with registrations if these fit.
func (s *Sync) pagesOf(c content, from, to agateposition.Position) []agatenotice.Notice {
	evacuations := split(c.evacuations, s.policy.PageSize, evacuationLength)
	used := 0
	for _, evacuation := range evacuations[len(evacuations)-1] {
		used += evacuationLength(evacuation)
	}
	instances := splitAfter(used, c.instances, s.policy.PageSize, func(i agateinstance.Instance) int {
		return instanceSize + len(i.Service) + len(i.Centre)
	})
	shared := len(evacuations) - 1
	notices := make([]agatenotice.Notice, shared+len(instances))
	for i := range notices {
		page := &agatenotice.Page{From: from.Revision, FromEra: from.Era, To: to.Revision, ToEra: to.Era, Index: i, Total: len(notices)}
		if i <= shared {
			page.Evacuations = evacuations[i]
		}
		if i >= shared {
			page.Instances = instances[i-shared]
		}
		notices[i].Page = page
	}
	return notices
}

// evacuationLength returns the approximate size of an encoded evacuation, in bytes.
func evacuationLength(e agateevacuation.Evacuation) int { return evacuationSize + len(e.Centre) }

// snapshotPages returns pages that together hold all registrations and evacuations of the
// catalog.
func (s *Sync) snapshotPages(catalog *agatecatalog.Catalog) []agatenotice.Notice {
	notices := s.pagesOf(content{catalog.Instances(), catalog.Evacuations()}, agateposition.Position{}, catalog.Position())
	for _, notice := range notices {
		notice.Page.Snapshot = true
	}
	return notices
}

// split divides the items into groups of about limit in total size. It returns at
// least one group, which may be empty.
func split[T any](items []T, limit int, size func(T) int) [][]T {
	return splitAfter(0, items, limit, size)
}

// splitAfter is split with a first group of which some is already used.
func splitAfter[T any](used int, items []T, limit int, size func(T) int) [][]T {
	groups := [][]T{nil}
	for _, item := range items {
		last := len(groups) - 1
		if used > 0 && used+size(item) > limit {
			groups = append(groups, nil)
			last++
			used = 0
		}
		groups[last] = append(groups[last], item)
		used += size(item)
	}
	return groups
}

// receivePage applies a page. The page's target position is adopted once all pages
// that lead to it have arrived and the catalog has reached the position that they
// start from. The merger ignores pages that lead to an earlier era than the catalog's.
func (s *Sync) receivePage(from netip.AddrPort, p *agatenotice.Page, now time.Duration) {
	complete := s.receivedPages.add(from, p)
	own, to := s.Catalog().Position(), p.ToPosition()
	changes := agatechange.Changes{Relayed: true, Era: p.ToEra, Instances: p.Instances, Evacuations: p.Evacuations}
	switch {
	case p.Snapshot && (!complete || own.After(to)):
		return
	case p.Snapshot:
		all := s.receivedPages.content()
		changes = agatechange.Changes{Complete: true, Relayed: true, Era: p.ToEra, Revision: p.To, Instances: all.instances, Evacuations: all.evacuations}
	case to.Era > own.Era:
		if complete && p.FromPosition() == own {
			s.receiveRestore(s.receivedPages.content(), to, now)
		}
		return
	case complete && !p.FromPosition().After(own):
		changes.Revision = p.To
		if p.FromEra < p.ToEra {
			// The pages of a restore hold all evacuations: one that is on none has ended.
			changes.AllEvacuations, changes.Evacuations = true, s.receivedPages.content().evacuations
		}
	}
	s.merger.Apply(changes, now)
}

// receiveRestore applies what changed when the store was restored.
func (s *Sync) receiveRestore(c content, to agateposition.Position, now time.Duration) {
	before := s.Catalog()
	s.merger.EnterEra(c.instances, c.evacuations, to, now)
	s.recordRestore(before)
}

// restore holds what changed in the catalog when the store was last restored, for entries
// that are at the position before.
type restore struct {
	// from and to are the positions before and after it.
	from, to agateposition.Position
	// changed holds the incarnations whose records changed.
	changed []agateinstance.Key
}

// leadsFrom reports whether there was a restore at the given position.
func (r *restore) leadsFrom(position agateposition.Position) bool {
	return r.from.Revision > 0 && r.from == position
}

// recordRestore records the change from an earlier catalog if it is one to another era.
func (s *Sync) recordRestore(before *agatecatalog.Catalog) {
	after := s.Catalog()
	if before.Revision() == 0 || before.Position().Era == after.Position().Era {
		return
	}
	s.restore = restore{from: before.Position(), to: after.Position()}
	for _, record := range restoredRecords(after, before) {
		s.restore.changed = append(s.restore.changed, record.Key)
	}
}

// restoredRecords returns what differs between a catalog and an earlier one of another era:
// records that the restored store has otherwise, and under their earlier era those that it
// lacks.
func restoredRecords(after, before *agatecatalog.Catalog) []agateinstance.Instance {
	var records []agateinstance.Instance
	for instance := range after.All() {
		earlier, ok := before.Instance(instance.Key)
		lacking := instance.State != agateinstance.Gone && instance.Era < after.Position().Era
		if !ok || lacking || !instance.EqualContent(earlier) || earlier.Position().After(before.Position()) {
			records = append(records, instance)
		}
	}
	return records
}

// pagesAfterRestore returns the pages that lead an entry from the position before the
// restore to the catalog's. They hold all evacuations, which replace those from before.
func (s *Sync) pagesAfterRestore() []agatenotice.Notice {
	catalog := s.Catalog()
	records := recordsAfter(catalog, s.restore.to)
	for _, key := range s.restore.changed {
		if record, held := catalog.Instance(key); held && !record.Position().After(s.restore.to) {
			records = append(records, record)
		}
	}
	return s.pagesOf(content{records, catalog.Evacuations()}, s.restore.from, catalog.Position())
}

// add stores a page and reports whether all pages of its reply have arrived.
func (c *pageCollection) add(sender netip.AddrPort, p *agatenotice.Page) bool {
	if c.sender != sender || c.from != p.FromPosition() || c.to != p.ToPosition() || c.total != p.Total {
		*c = pageCollection{sender: sender, from: p.FromPosition(), to: p.ToPosition(), total: p.Total, pages: make(map[int]*agatenotice.Page)}
	}
	c.pages[p.Index] = p
	return len(c.pages) == c.total
}

// content returns what all stored pages hold.
func (c *pageCollection) content() content {
	var all content
	for _, page := range c.pages {
		all.instances = append(all.instances, page.Instances...)
		all.evacuations = append(all.evacuations, page.Evacuations...)
	}
	return all
}

package agatesync

import (
	"net/netip"
	"time"

	"agatereach/core/process/agatenotice"
	"agatereach/core/version/agatecatalog"
	"agatereach/core/version/agatechange"
	"agatereach/core/version/agateinstance"
)

// instanceSize is the approximate size of an encoded registration without its
// strings, in bytes.
const instanceSize = 64

// pageCollection holds the received pages of one reply, by index. Pages from
// different senders cannot be combined, since each sender divides the registrations
// in its own way.
type pageCollection struct {
	sender   netip.AddrPort
	from, to int64
	total    int
	pages    map[int][]agateinstance.Instance
}

// pagesOf returns pages that hold the given registrations and lead from one
// revision to another.
func (s *Sync) pagesOf(records []agateinstance.Instance, from, to int64) []agatenotice.Notice {
	groups := split(records, s.policy.PageSize, func(i agateinstance.Instance) int {
		return instanceSize + len(i.Service) + len(i.Centre)
	})
	notices := make([]agatenotice.Notice, len(groups))
	for i, group := range groups {
		notices[i].Page = &agatenotice.Page{From: from, To: to, Index: i, Total: len(groups), Instances: group}
	}
	return notices
}

// snapshotPages returns pages that together hold all registrations of the catalog.
func (s *Sync) snapshotPages(catalog *agatecatalog.Catalog) []agatenotice.Notice {
	notices := s.pagesOf(catalog.Instances(), 0, catalog.Revision())
	for _, notice := range notices {
		notice.Page.Snapshot = true
	}
	return notices
}

// split divides the items into groups of about limit in total size. It returns at
// least one group, which may be empty.
func split[T any](items []T, limit int, size func(T) int) [][]T {
	groups := [][]T{nil}
	used := 0
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

// receivePage applies a page. The page's target revision is adopted once all pages
// that lead to it have arrived and the catalog has reached the revision that they
// start from.
func (s *Sync) receivePage(from netip.AddrPort, p *agatenotice.Page, now time.Duration) {
	complete := s.receivedPages.add(from, p)
	changes := agatechange.Changes{Instances: p.Instances}
	switch {
	case p.Snapshot && (!complete || p.To < s.Catalog().Revision()):
		return
	case p.Snapshot:
		changes = agatechange.Changes{Complete: true, Revision: p.To, Instances: s.receivedPages.instances()}
	case complete && p.From <= s.Catalog().Revision():
		changes.Revision = p.To
	}
	s.merger.Apply(changes, now)
}

// add stores a page and reports whether all pages of its reply have arrived.
func (c *pageCollection) add(sender netip.AddrPort, p *agatenotice.Page) bool {
	if c.sender != sender || c.from != p.From || c.to != p.To || c.total != p.Total {
		*c = pageCollection{sender: sender, from: p.From, to: p.To, total: p.Total, pages: make(map[int][]agateinstance.Instance)}
	}
	c.pages[p.Index] = p.Instances
	return len(c.pages) == c.total
}

// instances returns the registrations of all stored pages.
func (c *pageCollection) instances() []agateinstance.Instance {
	var all []agateinstance.Instance
	for _, page := range c.pages {
		all = append(all, page...)
	}
	return all
}

package agatesync

import (
	"net/netip"
	"time"

	"agatereach/core/process/agatenotice"
	"agatereach/core/version/agatecatalog"
	"agatereach/core/version/agatechange"
	"agatereach/core/version/agateinstance"
)

// instanceSize is the size of an encoded record in bytes, about, without its texts.
const instanceSize = 64

// collection holds the pages of one answer that have come. Those of two senders
// are cut at other places.
type collection struct {
	sender   netip.AddrPort
	from, to int64
	total    int
	come     map[int][]agateinstance.Instance
}

// pagesOf returns the pages that bring the records and lead from one revision
// to another.
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

// everything returns the pages that bring all registrations.
func (s *Sync) everything(catalog *agatecatalog.Catalog) []agatenotice.Notice {
	notices := s.pagesOf(catalog.Instances(), 0, catalog.Revision())
	for _, notice := range notices {
		notice.Page.Whole = true
	}
	return notices
}

// split cuts items into groups of about the given size; at least one, which may
// be empty.
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

// receivePage takes in a page. The revision is adopted once all pages that lead
// to it have come and none is missing before them.
func (s *Sync) receivePage(from netip.AddrPort, p *agatenotice.Page, now time.Duration) {
	whole := s.pages.add(from, p)
	changes := agatechange.Changes{Instances: p.Instances}
	switch {
	case p.Whole && (!whole || p.To < s.Catalog().Revision()):
		return
	case p.Whole:
		changes = agatechange.Changes{Whole: true, Revision: p.To, Instances: s.pages.instances()}
	case whole && p.From <= s.Catalog().Revision():
		changes.Revision = p.To
	}
	s.merger.Apply(changes, now)
}

// add notes a page and reports whether all of its answer have come.
func (c *collection) add(sender netip.AddrPort, p *agatenotice.Page) bool {
	if c.sender != sender || c.from != p.From || c.to != p.To || c.total != p.Total {
		*c = collection{sender: sender, from: p.From, to: p.To, total: p.Total, come: make(map[int][]agateinstance.Instance)}
	}
	c.come[p.Index] = p.Instances
	return len(c.come) == c.total
}

// instances returns the registrations of all pages that have come.
func (c *collection) instances() []agateinstance.Instance {
	var all []agateinstance.Instance
	for _, each := range c.come {
		all = append(all, each...)
	}
	return all
}

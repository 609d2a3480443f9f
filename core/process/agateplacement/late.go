package agateplacement

import "agatereach/core/process/agatepool"

// overcommit is the number of requests that may wait at a server once no free
// slot can be found, so that no slot stays idle while an answer is on its way.
const overcommit = 1

// late keeps requests in the entry's queue until a server is expected to have a
// free slot.
type late struct{}

// Requeues implements Policy.
func (late) Requeues() bool { return true }

// Pick implements Policy. It prefers a server that has reported a free slot. If
// there is none and the request may still be retried, it tries a server without a
// recent report. Otherwise the least loaded server may queue the request.
//
// A long request waits for a server that still has a free slot after taking it,
// so that short requests always find slots that are freed quickly.
func (late) Pick(p *agatepool.Pool, w Work) (*agatepool.Member, bool, bool) {
	accepts := func(m *agatepool.Member) bool { return hasRoom(m, w) && m.Own() < m.Slots() }
	if w.Long && !w.IgnoreReserve {
		m := p.WithFreeSlot(func(m *agatepool.Member) bool { return accepts(m) && m.Load()+1 < max(m.Slots(), 2) })
		return m, true, m != nil
	}
	if m := p.WithFreeSlot(accepts); m != nil {
		return m, true, true
	}
	if w.MayRetry {
		m := p.WithoutReport(accepts)
		return m, true, m != nil
	}
	m := p.LeastLoad(func(m *agatepool.Member) bool {
		return hasRoom(m, w) && (m.Load() < m.Slots()+overcommit || idleWithoutReport(m))
	})
	return m, false, m != nil
}

// hasRoom reports whether the entry's limits allow the server another request of
// this class and the request need not avoid it.
func hasRoom(m *agatepool.Member, w Work) bool {
	if m == w.Avoid || m.Own() >= m.Limit() {
		return false
	}
	return !w.Long || m.Long() < m.LongCap()
}

// idleWithoutReport reports whether the server has no recent report and no
// request of this entry, so that only a new request can bring a report.
func idleWithoutReport(m *agatepool.Member) bool { return !m.LoadKnown() && m.Own() == 0 }

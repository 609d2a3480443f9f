// Package agatepool tracks a service's backend servers in one data centre and their
// load as one entry sees it: the entry's outstanding requests, the load reports in
// answers, failures and slow start. The cost of a choice among the servers does not
// depend on their number.
package agatepool

import (
	"math/rand/v2"
	"time"

	"agatereach/core/process/agatelimit"
	"agatereach/core/version/agateserver"
)

const (
	// slowStart is the time after which a new or recovered server takes its
	// full share.
	slowStart = 4 * time.Second
	// minWeight is the weight at the beginning of a slow start.
	minWeight = 0.1
	// minReportLifetime and maxReportLifetime bound the time for which a load
	// report is used.
	minReportLifetime = 2 * time.Millisecond
	maxReportLifetime = time.Second
	// limitFactor is the largest number of requests of one entry at a server,
	// as a multiple of its slots.
	limitFactor = 4
)

// The first keys of the groups in Pool.byLoad. Servers with a free slot have the
// keys below unknownKey; then follow servers without a recent report and, from
// fullKey on, full ones.
const (
	unknownKey = 16
	fullKey    = 32
)

// Pool is a set of servers and their state. It is not safe for concurrent use.
type Pool struct {
	random *rand.Rand
	// members holds the members by server number.
	members map[uint32]*Member
	// accepting counts the members whose state allows new work, and
	// ejectedCount those of them that are ejected.
	accepting, ejectedCount int
	// ignoreEjections is whether ejections are ignored because more than half
	// of the servers are ejected.
	ignoreEjections bool
	// usable holds the members that may be given new work, in order of their
	// numbers.
	usable []*Member
	// nextUsable is the index in usable that Next looked at last.
	nextUsable int
	// byOwn indexes the usable members by this entry's own requests, byLoad by
	// load state and load.
	byOwn, byLoad memberIndex
	// shards holds the usable members for the choice of a feed's server.
	shards shards
	// lastDecay is when the feed counts were last reduced.
	lastDecay time.Time
	// loadUpdates holds the reports and sheds in order of arrival.
	loadUpdates fifo
	// slowStarting holds the members in slow start.
	slowStarting []*Member
	// ejectedMembers holds the members that are ejected for failures.
	ejectedMembers []*Member
	// reportLifetime is the time for which a report is used.
	reportLifetime time.Duration
}

// New returns an empty pool with the seed of its random choices.
func New(seed uint64) *Pool {
	return &Pool{
		random:         rand.New(rand.NewPCG(seed, seed)),
		members:        make(map[uint32]*Member),
		byOwn:          memberIndex{id: 0},
		byLoad:         memberIndex{id: 1},
		reportLifetime: 50 * time.Millisecond,
	}
}

// Set replaces the servers. The state of a server that stays with the same
// incarnation is kept, but for its own word that it wants no new work once its drain is
// called off: no answer would come that takes that back. A server begins a slow start if
// it joins a pool that has servers, joins in state Cold, or is no longer ejected.
func (p *Pool) Set(now time.Time, servers []Server) {
	first := len(p.members) == 0
	next := make(map[uint32]*Member, len(servers))
	for _, s := range servers {
		s.Slots = max(s.Slots, 1)
		m := p.members[s.ID]
		if m == nil || m.server.Incarnation != s.Incarnation {
			m = p.newMember(now, s, first && s.State != agateserver.Cold)
		}
		if m.server.Ejected && !s.Ejected {
			p.startSlowly(now, m)
		}
		if m.server.State == agateserver.Draining && s.State != agateserver.Draining {
			m.draining = false
		}
		m.server = s
		next[s.ID] = m
	}
	for id, m := range p.members {
		if next[id] != m {
			m.removed = true
		}
	}
	p.members = next
	p.updateUsable(now)
}

func (p *Pool) newMember(now time.Time, s Server, warm bool) *Member {
	m := &Member{server: s, usableIndex: -1, loadState: loadUnknown, weight: 1}
	m.limit = agatelimit.NewConcurrency(1, 2*s.Slots, limitFactor*s.Slots)
	if !warm {
		p.startSlowly(now, m)
	}
	return m
}

// startSlowly begins a slow start of the member.
func (p *Pool) startSlowly(now time.Time, m *Member) {
	if m.rampStart.IsZero() {
		p.slowStarting = append(p.slowStarting, m)
	}
	m.rampStart = now
	m.weight = minWeight
}

// updateUsable recomputes which members may be given work.
func (p *Pool) updateUsable(now time.Time) {
	p.accepting, p.ejectedCount = 0, 0
	for _, m := range p.members {
		if m.acceptsWork() {
			p.accepting++
			if m.ejected(now) {
				p.ejectedCount++
			}
		}
	}
	p.ignoreEjections = 2*p.ejectedCount > p.accepting
	for _, m := range p.usable {
		m.usableIndex = -1
		p.byOwn.remove(m)
		p.byLoad.remove(m)
	}
	clear(p.usable)
	p.usable = p.usable[:0]
	for _, m := range p.sortedMembers() {
		if m.acceptsWork() && (p.ignoreEjections || !m.ejected(now)) {
			m.usableIndex = len(p.usable)
			p.usable = append(p.usable, m)
			p.reindex(m)
		}
	}
	p.shards.rebuild(p.usable)
}

// reindex updates the member's keys in the indexes from its load.
func (p *Pool) reindex(m *Member) {
	if m.usableIndex < 0 {
		return
	}
	slots := m.Slots()
	p.byOwn.put(m, loadKey(m.own, slots, keyCount))
	load := m.Load()
	switch {
	case m.own >= slots || m.loadState == loadFull || (m.loadState == loadReported && load >= slots):
		p.byLoad.put(m, fullKey+loadKey(load, slots, keyCount-fullKey))
	case m.loadState == loadUnknown:
		p.byLoad.put(m, unknownKey+loadKey(load, slots, fullKey-unknownKey))
	default:
		p.byLoad.put(m, loadKey(load, slots, unknownKey))
	}
}

// SetReportLifetime sets the time for which a load report is used, clamped to the
// range from minReportLifetime to maxReportLifetime.
func (p *Pool) SetReportLifetime(life time.Duration) {
	p.reportLifetime = min(max(life, minReportLifetime), maxReportLifetime)
}

// Tick expires reports, decays feed counts, advances slow starts and ends ejections.
func (p *Pool) Tick(now time.Time) {
	p.ExpireReports(now)
	p.decayFeeds(now)
	p.advanceSlowStarts(now)
	p.endEjections(now)
}

// ExpireReports resets the load state of members whose last report has expired.
func (p *Pool) ExpireReports(now time.Time) {
	for {
		m, learned, found := p.loadUpdates.peek()
		if !found || now.Sub(learned) < p.reportLifetime {
			break
		}
		p.loadUpdates.pop()
		if m.loadTime.Equal(learned) && m.loadState != loadUnknown {
			m.loadState = loadUnknown
			p.reindex(m)
		}
	}
}

func (p *Pool) advanceSlowStarts(now time.Time) {
	kept := p.slowStarting[:0]
	for _, m := range p.slowStarting {
		if m.removed {
			continue
		}
		m.weight = min(minWeight+(1-minWeight)*now.Sub(m.rampStart).Seconds()/slowStart.Seconds(), 1)
		p.reindex(m)
		if m.weight < 1 {
			kept = append(kept, m)
			continue
		}
		m.rampStart = time.Time{}
	}
	clear(p.slowStarting[len(kept):])
	p.slowStarting = kept
}

// Len returns the number of servers that may be given new work.
func (p *Pool) Len() int { return len(p.usable) }

// Member returns the server with the given number, or nil if there is none.
func (p *Pool) Member(id uint32) *Member { return p.members[id] }

// Start records that a request is sent to the server.
func (p *Pool) Start(m *Member, long bool) {
	m.own++
	if long {
		m.long++
	}
	p.reindex(m)
}

// Finish records the end of a request at the server.
func (p *Pool) Finish(now time.Time, m *Member, long bool) {
	m.own--
	if long {
		m.long--
	}
	// A report with the same time came with the answer, so the server had
	// already ended the request when it made the report.
	if m.loadState == loadReported && m.loadTime.Equal(now) && m.ownAtReport > m.own {
		m.ownAtReport = m.own
	}
	p.reindex(m)
}

// Report records the load that a server reports.
func (p *Pool) Report(now time.Time, id uint32, r Report) {
	m := p.members[id]
	if m == nil {
		return
	}
	if m.draining != r.Draining {
		m.draining = r.Draining
		p.updateUsable(now)
	}
	m.load, m.ownAtReport = r.Busy+r.Queued, m.own
	if m.loadState == loadFull && m.loadTime.Equal(now) {
		p.reindex(m)
		return
	}
	p.setLoadState(now, m, loadReported)
}

// RecordShed records that the server has refused a request for lack of a free slot.
func (p *Pool) RecordShed(now time.Time, m *Member) {
	m.load = max(m.Load(), m.Slots())
	m.ownAtReport = m.own
	p.setLoadState(now, m, loadFull)
}

func (p *Pool) setLoadState(now time.Time, m *Member, b loadState) {
	m.loadState = b
	m.loadTime = now
	p.loadUpdates.push(m, now)
	p.reindex(m)
}

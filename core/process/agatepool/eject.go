package agatepool

import (
	"cmp"
	"slices"
	"time"
)

const (
	// failuresToEject is the number of consecutive failed attempts that ejects
	// a server.
	failuresToEject = 5
	// firstEjection is the length of the first ejection. Each further one
	// without an answer in between is twice as long.
	firstEjection = time.Second
	// maxDoublings is the largest number of times that the length of an
	// ejection is doubled.
	maxDoublings = 5
	// ejectableDivisor divides the number of servers that accept work; the
	// result bounds how many failures may eject at a time.
	ejectableDivisor = 3
	// latencyShift is the weight of a new sample in the smoothed latency, as a
	// negative power of two.
	latencyShift = 3
)

// RecordSuccess records an answer and the time it took.
func (p *Pool) RecordSuccess(m *Member, took time.Duration) {
	m.failures, m.ejections = 0, 0
	m.limit.Succeed(m.own)
	if m.latency == 0 {
		m.latency = took
		return
	}
	m.latency += (took - m.latency) >> latencyShift
}

// RecordOverload records a sign that the server is overloaded.
func (p *Pool) RecordOverload(now time.Time, m *Member) { m.limit.Overloaded(now) }

// RecordFailure records a failed attempt. Several in a row eject the server, unless
// more than a third of the servers would then be ejected.
func (p *Pool) RecordFailure(now time.Time, m *Member) {
	m.failures++
	if m.failures < failuresToEject || m.removed || m.ejected(now) {
		return
	}
	if ejectableDivisor*(p.ejectedCount+1) > p.accepting {
		return
	}
	m.failures = 0
	m.ejectedUntil = now.Add(firstEjection << min(m.ejections, maxDoublings))
	m.ejections++
	p.ejectedMembers = append(p.ejectedMembers, m)
	p.updateUsable(now)
}

func (p *Pool) endEjections(now time.Time) {
	before := len(p.ejectedMembers)
	remaining := p.ejectedMembers[:0]
	for _, m := range p.ejectedMembers {
		if now.Before(m.ejectedUntil) && !m.removed {
			remaining = append(remaining, m)
			continue
		}
		p.startSlowly(now, m)
	}
	clear(p.ejectedMembers[len(remaining):])
	p.ejectedMembers = remaining
	if len(remaining) < before {
		p.updateUsable(now)
	}
}

// sortedMembers returns the members in order of their numbers, so that equal pools
// make equal choices.
func (p *Pool) sortedMembers() []*Member {
	list := make([]*Member, 0, len(p.members))
	for _, m := range p.members {
		list = append(list, m)
	}
	slices.SortFunc(list, func(a, b *Member) int { return cmp.Compare(a.server.ID, b.server.ID) })
	return list
}

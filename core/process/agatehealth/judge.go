package agatehealth

import (
	"time"

	"agatereach/core/version/agateserver"
)

// Judge updates the ejections of one service and returns the standing of each server
// in pool. At most the configured share of the servers that accept work is ejected
// for failures. In addition, a server is barred if another one answers at its
// address or, with WithConfirmation, if this process probes it and has not confirmed
// it yet. probed reports whether this process probes a server.
func (h *Health) Judge(now time.Time, pool []*agateserver.Server, probed func(server uint32) bool) []Standing {
	standings := make([]Standing, len(pool))
	remaining := h.ejectionsLeft(now, pool)
	for i := 0; i < len(pool) && remaining < 0; i++ {
		if m := h.member(pool[i].ID, pool[i].Incarnation); acceptsWork(pool[i]) && !m.ejectedAt.IsZero() {
			h.endEjection(now, m)
			remaining++
		}
	}
	barUnconfirmed := h.requireConfirmation && h.enoughConfirmed(pool, probed)
	for i, s := range pool {
		m := h.member(s.ID, s.Incarnation)
		if m.ejectedAt.IsZero() && m.failures >= h.threshold(now, m) && remaining > 0 && acceptsWork(s) {
			h.eject(now, m)
			remaining--
		}
		standings[i] = h.standing(now, m)
		if h.addressReused(now, m) || barUnconfirmed && !m.confirmed && probed(s.ID) {
			standings[i] = Barred
		}
	}
	return standings
}

// ejectionsLeft ends the ejections that have expired and returns how many more of
// the servers may be ejected, negative if too many are.
func (h *Health) ejectionsLeft(now time.Time, pool []*agateserver.Server) int {
	total, ejected := 0, 0
	for _, s := range pool {
		m := h.member(s.ID, s.Incarnation)
		h.expireEjection(now, m)
		if !acceptsWork(s) {
			continue
		}
		total++
		if !m.ejectedAt.IsZero() {
			ejected++
		}
	}
	return int(float64(total)*h.maxEjected) - ejected
}

// enoughConfirmed reports whether at least half of the servers are usable without
// those that this process probes and has not confirmed. If not, the endpoints may be
// unreachable; servers are then used without confirmation, since each server also
// checks the service and incarnation itself.
func (h *Health) enoughConfirmed(pool []*agateserver.Server, probed func(server uint32) bool) bool {
	total, usable := 0, 0
	for _, s := range pool {
		if !acceptsWork(s) {
			continue
		}
		total++
		if h.member(s.ID, s.Incarnation).confirmed || !probed(s.ID) {
			usable++
		}
	}
	return 2*usable >= total
}

func (h *Health) eject(now time.Time, m *member) {
	if !m.readmittedAt.IsZero() && now.Sub(m.readmittedAt) > ejectionMemory {
		m.ejections = 0
	}
	m.ejectedAt = now
	m.ejections++
	h.scheduleChange(m.ejectedAt.Add(m.ejectionLength()))
}

// expireEjection ends the ejection of the server if its time is over. One more
// failure may eject it again.
func (h *Health) expireEjection(now time.Time, m *member) {
	if !m.ejectedAt.IsZero() && now.Sub(m.ejectedAt) >= m.ejectionLength() {
		h.endEjection(now, m)
	}
}

func (h *Health) endEjection(now time.Time, m *member) {
	m.ejectedAt = time.Time{}
	m.readmittedAt = now
	m.failures = max(h.failureLimit-1, 0)
	h.scheduleChange(now.Add(slowStart))
}

// standing returns m's standing by its failures, without regard to its identity.
func (h *Health) standing(now time.Time, m *member) Standing {
	switch {
	case !m.ejectedAt.IsZero():
		return Out
	case !m.readmittedAt.IsZero() && now.Sub(m.readmittedAt) < slowStart:
		return Slow
	}
	return In
}

// ejectionLength returns the length of the current ejection, which doubles each time
// up to maxEjection.
func (m *member) ejectionLength() time.Duration {
	shift := min(max(m.ejections-1, 0), 8)
	return min(minEjection<<shift, maxEjection)
}

// scheduleChange makes Tick report a change at the given time.
func (h *Health) scheduleChange(at time.Time) {
	if h.nextChange.IsZero() || at.Before(h.nextChange) {
		h.nextChange = at
	}
}

package agatesteer

import (
	"time"

	"agatereach/core/version/agatevip"
)

// usageMemory is the share of the smoothed counts of flows and requests that a
// sample keeps: at a sample each 100 ms, half of them are gone after 7 s.
const usageMemory = 0.99

// Tick does what falls due with time and returns the flows that are to be
// reset. It is meant to be called some ten times a second.
func (s *Steerer) Tick(now time.Duration) []Verdict {
	for _, u := range s.usages {
		u.sample()
		u.flows *= usageMemory
		u.requests *= usageMemory
	}
	s.flows.Expire(now - s.idle())
	s.expireStatements(now)
	s.judgeCentres(now)
	var resets []Verdict
	for each := range s.active {
		each.sample()
		each.failing = each.failing.Decay(s.policy.Answers)
		resets = append(resets, s.giveUp(each, now)...)
		if each.quiet() {
			delete(s.active, each)
		}
	}
	return resets
}

// idle returns how long a flow is followed after its last segment.
func (s *Steerer) idle() time.Duration {
	if config := s.catalog.Config(); config != nil && config.IdleTimeout > 0 {
		return config.IdleTimeout
	}
	return s.policy.Idle
}

// giveUp ends the handshakes and requests of a server that are overdue, and the
// idempotent flows of one that is held to be dead.
func (s *Steerer) giveUp(on *server, now time.Duration) []Verdict {
	dead := s.dead(on, now)
	var resets []Verdict
	for f := range on.opening {
		if now-f.Seen > s.policy.Handshake {
			s.flows.Remove(f)
		}
	}
	for f := range on.waiting {
		vip, ok := s.catalog.VIP(f.Tuple.Service())
		switch {
		case dead && waitsInVain(f) && ok && vip.Kind == agatevip.Idempotent:
			v := s.reset(f, Silent)
			s.explain(&v, now)
			resets = append(resets, v)
		case now-f.Asked > s.timeout(vip):
			f.Waiting = false
			s.count(f)
		}
	}
	return resets
}

// timeout returns how long a request counts as under way.
func (s *Steerer) timeout(vip agatevip.VIP) time.Duration {
	if vip.Timeout > 0 {
		return vip.Timeout
	}
	return s.policy.Request
}

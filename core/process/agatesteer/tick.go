package agatesteer

import (
	"time"

	"agatereach/core/version/agatevip"
)

// statsRetention is the share of the decaying counts of flows and requests that
// remains after a sample: with a sample each 100 ms, half is left after 7 s.
const statsRetention = 0.99

// Tick processes timeouts and returns the flows to reset. It should be called
// about ten times per second.
func (s *Steerer) Tick(now time.Duration) []Verdict {
	for _, u := range s.vipStats {
		u.sample()
		u.recentFlows *= statsRetention
		u.recentRequests *= statsRetention
	}
	elapsed := now - s.lastTick
	s.previousTick, s.lastTick = s.lastTick, now
	s.flows.Expire(now - s.flowIdleTimeout())
	s.expirePeerReports(now)
	s.updateCentres(now)
	s.warmup.Tick(now)
	for _, f := range s.checks.Expire(now) {
		s.takeFinding(f, f.Repeated, now)
	}
	resets := s.TakeResets(now)
	s.updateMassSilences(now)
	for each := range s.activeServers {
		each.sample()
		s.trackSilence(each, now)
		s.fadeSpeed(each, elapsed)
		s.recordLost(each, now)
		each.failureEvidence = each.failureEvidence.Decay(s.policy.Answers)
		resets = append(resets, s.expirePending(each, now)...)
		s.updateChecks(each, now)
		if each.inactive() {
			delete(s.activeServers, each)
		}
	}
	s.mergeStaleSpeeds()
	s.updateRoom(now)
	return resets
}

// flowIdleTimeout returns how long a flow is tracked after its last segment.
func (s *Steerer) flowIdleTimeout() time.Duration {
	if config := s.catalog.Config(); config != nil && config.IdleTimeout > 0 {
		return config.IdleTimeout
	}
	return s.policy.FlowIdle
}

// expirePending ends a server's overdue handshakes and requests, and the flows that
// may be reset if the server doesn't answer.
func (s *Steerer) expirePending(srv *server, now time.Duration) []Verdict {
	threshold := s.resetThreshold(srv, now)
	var resets []Verdict
	for f := range srv.handshakes {
		if now-f.LastSegmentAt > s.policy.Handshake {
			s.flows.Remove(f)
		}
	}
	for f := range srv.pendingFlows {
		vip, _ := s.catalog.VIP(f.Tuple.Service())
		switch {
		case unanswered(f, threshold, now) && s.mayReset(f):
			v := s.reset(f, silenceReason(srv))
			s.addEvidence(&v, now)
			resets = append(resets, v)
		case now-f.RequestedAt > s.requestTimeout(vip):
			f.RequestPending = false
			s.updateCounts(f)
		}
	}
	return resets
}

// requestTimeout returns how long a request counts as in progress.
func (s *Steerer) requestTimeout(vip agatevip.VIP) time.Duration {
	if vip.Timeout > 0 {
		return vip.Timeout
	}
	return s.policy.Request
}

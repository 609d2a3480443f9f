package agatesteer

import (
	"iter"
	"time"

	"agatereach/core/process/agatepick"
)

// chooseServer returns the server for a new flow. If there is none, it returns nil and the
// reason to refuse the flow.
func (s *Steerer) chooseServer(f *flow, service string, now time.Duration) (*server, Reason) {
	s.candidates = s.candidates[:0]
	s.candidateServers = s.candidateServers[:0]
	if s.evacuated(service) {
		return nil, Evacuated
	}
	long := f.State.stats.isLong()
	refusal := NoServer
	s.prepareCold(service, now)
	lacksRoom := s.lacksRoom(service, now)
	profile, _ := s.catalog.Profile(service)
	for each := range s.sampleServers(s.readyServers[service], func(each *server) bool {
		reason := s.exclusion(each, now)
		if reason != "" {
			refusal = reason
		}
		return reason == ""
	}) {
		s.candidateServers = append(s.candidateServers, each)
		s.candidates = append(s.candidates, agatepick.Candidate{
			Load:               s.expectedLoad(each, f.State.stats, long),
			Capacity:           each.capacity(&s.policy, now),
			Remote:             each.instance.Centre != s.centre,
			Silent:             s.excludedAsSilent(each, now),
			Full:               each.isFull(profile.Connections),
			PreviousAttempt:    f.State.receivedSYN(each),
			FailureProbability: s.failureProbability(each, lacksRoom),
		})
	}
	index := s.policy.Pick.Pick(s.candidates, s.random)
	if index < 0 {
		return nil, refusal
	}
	return s.candidateServers[index], ""
}

// exclusion returns the reason for which a server gets no new flow even if no other server
// is left, or "" if it may get one.
func (s *Steerer) exclusion(each *server, now time.Duration) Reason {
	if reason := s.unavailable(each, now); reason != "" {
		return reason
	}
	if s.excludedAsCold(each, now) {
		return Cold
	}
	return ""
}

// unavailable returns the reason for which no entry may give a server new flows, or "" if
// there is none.
func (s *Steerer) unavailable(each *server, now time.Duration) Reason {
	switch {
	case each.location.evacuated:
		return Evacuated
	case each.check.down(now):
		return Checked
	}
	return ""
}

// sampleServers returns the eligible servers of a service from a random position on, at
// most policy.MaxCandidates of the entry's own data centre and as many of all
// others. It doesn't look for more of the entry's own data centre if that is evacuated.
func (s *Steerer) sampleServers(all []*server, eligible func(*server) bool) iter.Seq[*server] {
	return func(yield func(*server) bool) {
		local, remote := s.policy.MaxCandidates, s.policy.MaxCandidates
		start := int(s.random() * float64(len(all)))
		ownEvacuated := s.catalog.Evacuated(s.centre)
		for i := range all {
			each := all[(start+i)%len(all)]
			remaining := &local
			if each.instance.Centre != s.centre {
				remaining = &remote
			}
			if *remaining == 0 || !eligible(each) {
				continue
			}
			*remaining--
			if !yield(each) || remote == 0 && (local == 0 || ownEvacuated) {
				return
			}
		}
	}
}

// excludedAsSilent reports whether to exclude a server from new flows because
// it doesn't answer. Of an unreachable data centre only one server at a time
// gets a trial flow, since an interrupted network affects all of its servers.
func (s *Steerer) excludedAsSilent(each *server, now time.Duration) bool {
	if s.centreUnreachable(each) {
		return !s.centreTrialDue(each, now)
	}
	if !s.suspected(each) {
		return false
	}
	if each.instance.Centre != s.centre {
		return !s.centreTrialDue(each, now)
	}
	return !each.silence.TrialDue(s.policy.Silence, len(s.peerReports), now)
}

// recordTrial records that a server which is otherwise excluded got a new flow.
func (s *Steerer) recordTrial(chosen *server, now time.Duration) {
	if !s.centreUnreachable(chosen) && !s.suspected(chosen) && !s.doubtfulRemote(chosen, now) {
		return
	}
	chosen.silence.RecordTrial(now)
	if chosen.instance.Centre != s.centre {
		s.centreOf(chosen).lastTrial = now
	}
}

// expectedLoad returns the number of requests that a server is expected to have
// in progress: currently for a short flow, on average for a long one.
func (s *Steerer) expectedLoad(each *server, u *vipStats, long bool) float64 {
	pending := float64(len(each.pendingFlows) + len(each.handshakes))
	flowLoad := max(u.pendingShare, minFlowLoad)
	if long {
		open := float64(each.openFlows) + each.peerLoad.openFlows
		return currentLoadWeight*(pending+each.peerLoad.pending) + open*flowLoad
	}
	return pending + max(float64(each.openFlows)-pending, 0)*flowLoad + each.peerLoad.pending
}

const (
	// currentLoadWeight is the weight of the current load when a long flow is
	// placed: that load ends long before the flow does.
	currentLoadWeight = 0.3
	// minFlowLoad is the minimum load that an open flow counts for, so that
	// idle flows are spread evenly as well.
	minFlowLoad = 0.05
)

package agatesteer

import (
	"time"

	"agatereach/core/process/agatesilence"
	"agatereach/core/version/agateinstance"
)

// prepareCold determines how cold servers of a service are treated for one SYN.
func (s *Steerer) prepareCold(service string, now time.Duration) {
	profile, _ := s.catalog.Profile(service)
	s.coldRate = profile.ColdRate
	s.warmServerLeft = s.coldRate > 0 && s.hasWarmServer(service, now)
}

// hasWarmServer reports whether a service has a server that may get new flows, is not cold
// and is in no doubt.
func (s *Steerer) hasWarmServer(service string, now time.Duration) bool {
	for _, each := range s.readyServers[service] {
		if s.unavailable(each, now) == "" && !s.silent(each) && !s.isCold(each, now) {
			return true
		}
	}
	return false
}

// silent reports whether a server, or its whole data centre, seems not to answer.
func (s *Steerer) silent(each *server) bool {
	return each.silence.Suspected(s.policy.Silence) || s.centreUnreachable(each)
}

// excludedAsCold reports whether a server of the SYN's service gets no new flow because it
// is cold. A cold server gets none while a warm one is left, unless it is suspected of
// silence: only a new flow can show that it answers again. In both cases only an entry of
// its data centre with an allowance may give it one. Where no warm server is left, an entry
// tries one of another data centre that is in doubt each MaxTrialInterval.
func (s *Steerer) excludedAsCold(each *server, now time.Duration) bool {
	if s.coldRate == 0 || !s.isCold(each, now) {
		return false
	}
	if each.instance.Centre != s.centre {
		return s.warmServerLeft || !s.doubtfulRemote(each, now) || !s.centreTrialDue(each, now)
	}
	if s.warmServerLeft && !s.silent(each) {
		return true
	}
	return !s.warmup.Allows(each.instance.ID, s.coldRate, now)
}

// doubtfulRemote reports whether a server of another data centre and of a service with a limit
// may have restarted, without being known to be cold.
func (s *Steerer) doubtfulRemote(each *server, now time.Duration) bool {
	return s.coldRate > 0 && each.instance.Centre != s.centre && now >= each.limitedUntil && s.isCold(each, now)
}

// useAllowance records that a server got a new flow, and reports whether it is cold.
func (s *Steerer) useAllowance(chosen *server, now time.Duration) bool {
	if s.coldRate == 0 || !s.isCold(chosen, now) {
		return false
	}
	s.warmup.Use(chosen.instance.ID, now)
	return true
}

// isCold reports whether a server of a service with a limit counts as cold: by its
// registration, or since it may have restarted without this entry knowing of the new
// registration yet.
func (s *Steerer) isCold(each *server, now time.Duration) bool {
	if now < each.limitedUntil || s.inDoubt(each.silentSince, now) {
		return true
	}
	if each.instance.Centre == s.centre {
		return false
	}
	centre, mass := s.centreOf(each), s.massSilences[each.instance.Service]
	if !mass.covers(centre.silentSince, s.policy.RestartTime) && s.inDoubt(centre.silentSince, now) {
		return true
	}
	return centre.returnedAt > 0 && now < centre.returnedAt+s.coldTime(each) && !mass.covers(centre.returnedFrom, s.policy.RestartTime)
}

// coldTime returns how long a server is cold after its start.
func (s *Steerer) coldTime(each *server) time.Duration {
	profile, _ := s.catalog.Profile(each.instance.Service)
	if profile.ColdRate == 0 {
		return 0
	}
	return profile.ColdTime
}

// inDoubt reports whether a server that has been silent since the given time may have
// restarted. Had it done so long ago, a catalog that is up to date would show it.
func (s *Steerer) inDoubt(since, now time.Duration) bool {
	if since == 0 || now-since < s.policy.RestartTime {
		return false
	}
	confirmed := s.confirmedAt > 0 && now-s.confirmedAt <= s.policy.MaxCatalogAge
	return !confirmed || now-since < s.policy.RegistrationLag
}

// massSilence is the last time in which more than Pick.MaxSilentShare of a service's servers
// seemed silent at once. The fault is then probably in the entry itself or in its path.
type massSilence struct {
	// since is when it began, and until when it was last seen; 0 for never.
	since, until time.Duration
}

// covers reports whether a silence that began at the given time is part of the mass silence.
// One that began longer before than a server takes to restart has another cause.
func (m massSilence) covers(since, restartTime time.Duration) bool {
	return m.until > 0 && since > m.since-restartTime && since <= m.until
}

// updateMassSilences determines of which services with a limit too many servers seem silent
// at once. The loss of one other data centre is no mass silence, however many servers it
// has: all of them may restart together.
func (s *Steerer) updateMassSilences(now time.Duration) {
	type count struct {
		servers int
		own     bool
		centres map[string]struct{}
	}
	silent := make(map[string]*count)
	add := func(service, centre string, servers int) {
		c := silent[service]
		if c == nil {
			c = &count{centres: make(map[string]struct{})}
			silent[service] = c
		}
		c.servers += servers
		c.own = c.own || centre == s.centre
		c.centres[centre] = struct{}{}
	}
	for each := range s.activeServers {
		if each.instance.State == agateinstance.Ready && !s.centreFirmlySilent(each) && s.firmlySilent(each) {
			add(each.instance.Service, each.instance.Centre, 1)
		}
	}
	for name, centre := range s.centres {
		if centre.silentSince == 0 {
			continue
		}
		for service, counts := range s.readyCounts {
			if servers := counts[s.locations[name]]; servers > 0 {
				add(service, name, servers)
			}
		}
	}
	for service, c := range silent {
		if profile, _ := s.catalog.Profile(service); profile.ColdRate == 0 {
			continue
		}
		mass := s.massSilences[service]
		if !c.own && len(c.centres) == 1 || float64(c.servers) <= s.policy.Pick.MaxSilentShare*float64(len(s.readyServers[service])) {
			continue
		}
		if mass.until == 0 || mass.until < s.previousTick {
			mass.since = now
		}
		mass.until = now
		s.massSilences[service] = mass
	}
}

// requestEvidence returns the firm evidence from open flows, of this and other entries, that
// a server is silent. A full server leaves handshakes unanswered, and a slow one requests
// that were sent again once. Segments sent up to the given time don't count.
func (s *server) requestEvidence(after time.Duration) agatesilence.Evidence {
	after = max(after, s.silence.LastAnswer())
	sum := s.silence.RequestEvidence(after)
	for _, each := range s.suspicions {
		if firm := each.Firm - each.firmHandshakes; firm > 0 && each.Since > after {
			sum = sum.Add(agatesilence.Evidence{Flows: firm, Firm: firm, Since: each.Since})
		}
	}
	return sum
}

// firmlySilent reports whether there is enough evidence that a server is silent and not
// only full or slow.
func (s *Steerer) firmlySilent(each *server) bool {
	return each.silence.Suspected(s.policy.Silence) && each.requestEvidence(0).Firm >= s.policy.Silence.FirmFlows
}

// centreFirmlySilent reports the same of another data centre as a whole.
func (s *Steerer) centreFirmlySilent(each *server) bool {
	return each.instance.Centre != s.centre && s.centreOf(each).silentSince > 0
}

// trackSilence records since when a server has been silent. It is called after
// updateMassSilences.
func (s *Steerer) trackSilence(each *server, now time.Duration) {
	mass := s.massSilences[each.instance.Service]
	withdrawn := each.silence.TotalEvidence().Flows == 0 && now-each.silentSince < s.policy.RestartTime
	if withdrawn || mass.covers(each.silentSince, s.policy.RestartTime) {
		each.silentSince = 0
	}
	if each.silentSince > 0 || now < s.lossyUntil || now < s.ignoreRetransmitsUntil || !s.firmlySilent(each) {
		return
	}
	if since := each.requestEvidence(0).Since; !mass.covers(since, s.policy.RestartTime) {
		each.silentSince = since
	}
}

// endSilence records that a server answered at the given time. If it was silent for long
// enough to restart, it counts as cold from then on.
func (s *Steerer) endSilence(each *server, at time.Duration) {
	if each.silentSince == 0 || at <= each.silentSince {
		return
	}
	if at-each.silentSince >= s.policy.RestartTime {
		s.beginCold(each, at+s.coldTime(each), at)
	}
	each.silentSince = 0
}

// maxCorrections is the number of complete reports that tell of the first answer of a
// server after a suspicion: one of them may be lost.
const maxCorrections = 2

// recordFirstAnswer records the first answer of a server after a suspicion, to be told to
// other entries: the last one, which they would hear of otherwise, comes later than the
// server needs to restart if reports are rare. It is called before the answer is recorded.
func (s *Steerer) recordFirstAnswer(srv *server, at time.Duration) {
	profile, _ := s.catalog.Profile(srv.instance.Service)
	if profile.ColdRate == 0 || srv.silentSince == 0 && srv.silence.TotalEvidence().Firm == 0 {
		return
	}
	srv.firstAnswer, srv.corrections = at, maxCorrections
	srv.wronglySuspected = true
	s.urgentNews = true
}

// correct records that another entry suspects a server since the given time although it
// has answered this one after that.
func (s *Steerer) correct(srv *server, since time.Duration) {
	srv.wronglySuspected = true
	s.urgentNews = true
	profile, _ := s.catalog.Profile(srv.instance.Service)
	if profile.ColdRate == 0 {
		return
	}
	if srv.firstAnswer <= since {
		srv.firstAnswer = srv.silence.LastLocalAnswer()
	}
	srv.corrections = maxCorrections
}

// beginCold records that a server of a service with a limit is cold until the given time.
// A time that is known already isn't shortened: a later record may be one of another
// writer.
func (s *Steerer) beginCold(each *server, until, now time.Duration) {
	if until <= now || until <= each.limitedUntil {
		return
	}
	if now >= each.limitedUntil {
		s.newlyCold = append(s.newlyCold, each)
	}
	each.limitedUntil = until
}

// RecordEntry records that another entry was heard, and whether it announced its end.
func (s *Steerer) RecordEntry(name, centre string, leaving bool, now time.Duration) {
	if centre == s.centre {
		s.warmup.Hear(name, leaving, now)
	}
}

// coldChanges returns the servers of services with a limit that began to count as cold.
func (s *Steerer) coldChanges(now time.Duration) []HealthChange {
	var changed []HealthChange
	for _, each := range s.newlyCold {
		if profile, _ := s.catalog.Profile(each.instance.Service); profile.ColdRate > 0 && now < each.limitedUntil {
			c := s.healthChange(each, HealthCold, now)
			c.ColdFor = each.limitedUntil - now
			changed = append(changed, c)
		}
	}
	s.newlyCold = nil
	return changed
}

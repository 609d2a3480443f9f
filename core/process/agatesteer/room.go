package agatesteer

import (
	"iter"
	"time"

	"agatereach/core/process/agateadmission"
	"agatereach/core/version/agateinstance"
	"agatereach/core/version/agatevip"
)

// service is what the steerer infers of a service whose routes have objectives or
// different priorities.
type service struct {
	admission *agateadmission.Admission
	// servers is the number of active servers at the last tick, and failing that of those
	// that seem to fail.
	servers, failing int
	// pending is the number of this entry's requests in progress at servers in order at
	// the last tick, and pendingUnloaded the number of those at servers that aren't loaded.
	pending, pendingUnloaded int
	// fullUntil is the time until which short answers count as those of full servers.
	fullUntil time.Duration
	// sampleStart is the position from which on the next tick looks at servers.
	sampleStart int
	// failingCounts is whether so many servers seem to fail that their answers count as
	// signs of a lack of room.
	failingCounts bool
	// reportedShort is whether the last RoomChange was RoomShort.
	reportedShort bool
}

// updateServices updates what depends on the configuration: the services with admission
// control, and the limits of virtual addresses.
func (s *Steerer) updateServices() {
	config := s.catalog.Config()
	if config == s.config || config == nil {
		return
	}
	s.config = config
	priorities := make(map[string][]int)
	controlled := make(map[string]bool)
	for _, vip := range config.VIPs {
		s.statsOf(vip).setLimits(vip)
		for _, share := range vip.Shares {
			known := priorities[share.Service]
			controlled[share.Service] = controlled[share.Service] || vip.Objective > 0 || len(known) > 0 && known[0] != vip.Priority
			priorities[share.Service] = append(known, vip.Priority)
		}
	}
	for name := range s.services {
		if !controlled[name] {
			delete(s.services, name)
		}
	}
	for name, all := range priorities {
		known := s.services[name]
		if controlled[name] && (known == nil || !known.admission.HasPriorities(all)) {
			s.services[name] = &service{admission: agateadmission.New(s.policy.Admission, all)}
		}
	}
	for _, each := range s.servers {
		each.service = s.services[each.instance.Service]
	}
}

// setLimits sets the limits of the virtual address.
func (u *vipStats) setLimits(vip agatevip.VIP) {
	u.priority, u.timeout, u.objective = vip.Priority, vip.Timeout, vip.Objective
	if u.objective == 0 {
		u.objective = vip.Timeout
	}
}

// countsForRoom reports whether requests of the server say something about the room of its
// service: what a silent or failing server leaves undone would not be done with more room,
// and one that gets no new flows has no room for them.
func (s *Steerer) countsForRoom(srv *server, now time.Duration) bool {
	if s.unavailable(srv, now) != "" || srv.silence.Suspected(s.policy.Silence) || s.centreUnreachable(srv) {
		return false
	}
	// The machine of a server that is only busy acknowledges requests, so that callers
	// don't send them again.
	if srv.silence.LocalEvidence().Flows > 0 {
		return false
	}
	return srv.service.failingCounts || !srv.totalFailureEvidence().IsFailing(s.policy.Answers)
}

// recordOutcome records an answer as a sample of the service's room. score is that of the
// answer's size. Of answers only refusals count as degraded: a late one is worth more to its
// caller than a refusal, and a service has room while its servers take requests into their
// queues. A request that was lost before its answer has been recorded by then.
func (s *Steerer) recordOutcome(f *flow, u *vipStats, since, now time.Duration, score float64) {
	srv := f.State.server
	if srv.service == nil {
		return
	}
	srv.observeShort(score > 0)
	if f.State.lost || !s.countsForRoom(srv, now) {
		return
	}
	outcome := agateadmission.Served
	switch {
	case score > 0:
		outcome = agateadmission.Degraded
	case u.objective == 0 || now-since <= u.objective:
		u.observeTime(now - since)
	}
	srv.service.admission.Record(u.priority, outcome)
}

// recordLost records the pending requests of a server whose timeout is over.
func (s *Steerer) recordLost(srv *server, now time.Duration) {
	if srv.service == nil || len(srv.pendingFlows) == 0 || !s.countsForRoom(srv, now) {
		return
	}
	for f := range srv.pendingFlows {
		u := f.State.stats
		if u == nil || u.timeout == 0 || f.State.lost || now-f.RequestedAt <= u.timeout {
			continue
		}
		f.State.lost = true
		srv.service.admission.Record(u.priority, agateadmission.Degraded)
		srv.service.admission.Record(u.priority, agateadmission.Lost)
	}
}

// maxRoomSample is the number of a service's servers that a tick looks at to estimate how
// many of them are loaded. It bounds a tick's time at services with thousands of servers.
const maxRoomSample = 256

// updateRoom adapts the admitted shares of all services.
func (s *Steerer) updateRoom(now time.Duration) {
	if len(s.services) == 0 {
		return
	}
	for _, each := range s.services {
		each.servers, each.failing, each.pending, each.pendingUnloaded = 0, 0, 0, 0
	}
	for each := range s.activeServers {
		if known := each.service; known != nil && each.instance.State == agateinstance.Ready {
			known.servers++
			if each.totalFailureEvidence().IsFailing(s.policy.Answers) {
				known.failing++
			}
		}
	}
	for _, known := range s.services {
		known.failingCounts = float64(known.failing) > s.policy.MaxFailingShare*float64(known.servers)
	}
	for each := range s.activeServers {
		known := each.service
		if known == nil || len(each.pendingFlows) == 0 || each.instance.State != agateinstance.Ready || !s.countsForRoom(each, now) {
			continue
		}
		known.pending += len(each.pendingFlows)
		if !each.isLoaded() {
			known.pendingUnloaded += len(each.pendingFlows)
		}
	}
	for name, known := range s.services {
		known.admission.Tick(s.usage(s.readyServers[name], known, now))
		if known.admission.Short() {
			known.fullUntil = now + s.policy.FullGrace
		}
	}
}

// isLoaded reports whether the server has more requests than slots, by what is known of
// this and other entries.
func (s *server) isLoaded() bool {
	return s.meanPending+s.peerLoad.pending > float64(s.instance.Slots)
}

// usage returns the estimated number of requests in progress per slot of a service. The
// requests of the other entries that are heard are estimated from this entry's own, since
// reports are older than a burst. An entry that hears no others underestimates. Servers
// that are loaded don't count while they are a minority: the others may have room.
func (s *Steerer) usage(ready []*server, known *service, now time.Duration) float64 {
	servers, loaded, slots, unloadedSlots := 0, 0, 0, 0
	sample := min(len(ready), maxRoomSample)
	for i := range sample {
		each := ready[(known.sampleStart+i)%len(ready)]
		if !s.countsForRoom(each, now) {
			continue
		}
		servers++
		slots += int(each.instance.Slots)
		if each.isLoaded() {
			loaded++
			continue
		}
		unloadedSlots += int(each.instance.Slots)
	}
	known.sampleStart += sample
	pending := known.pending
	if float64(loaded) <= s.policy.MaxLoadedShare*float64(servers) {
		pending, slots = known.pendingUnloaded, unloadedSlots
	}
	if slots == 0 {
		return 0
	}
	total := float64(slots) * float64(len(ready)) / float64(sample)
	return float64(pending) * float64(len(s.peerReports)+1) / total
}

// lacksRoom reports whether a service is, or was lately, short of room.
func (s *Steerer) lacksRoom(name string, now time.Duration) bool {
	if len(s.services) == 0 {
		return false
	}
	known := s.services[name]
	return known != nil && now < known.fullUntil
}

const (
	// shortWeight is the weight of one answer in the smoothed share of short answers, and
	// maxFullShare the share up to which a server counts as full and not as failing. A server
	// that answers nothing else exceeds it after five answers; of the full ones, which still
	// serve half of what they get, 3% do.
	shortWeight  = 0.3
	maxFullShare = 0.8
)

// observeShort updates the share of short answers.
func (s *server) observeShort(short bool) {
	observed := 0.0
	if short {
		observed = 1
	}
	s.shortShare += (observed - s.shortShare) * shortWeight
}

// failureProbability returns the estimated probability that a server fails a request. While
// its service lacks room, short answers of a server that gives others as well mean
// that it is full: then its load counts, since avoiding all that have refused a request
// leaves servers idle.
func (s *Steerer) failureProbability(srv *server, lacksRoom bool) float64 {
	if lacksRoom && srv.shortShare < maxFullShare {
		return 0
	}
	return srv.totalFailureEvidence().FailureProbability(s.policy.Answers)
}

const (
	// timeGrowth and timeShrinkage are the relative steps by which the usual time follows
	// longer and shorter ones. With a ratio of one to ten it settles where a tenth of the
	// times are shorter, so that it is about that of a request which doesn't wait.
	timeGrowth    = 0.01
	timeShrinkage = 0.1
)

// observeTime updates the usual time of a request that doesn't wait.
func (u *vipStats) observeTime(t time.Duration) {
	switch {
	case u.usualTime == 0:
		u.usualTime = t
	case t > u.usualTime:
		u.usualTime = min(u.usualTime+time.Duration(timeGrowth*float64(u.usualTime)), t)
	default:
		u.usualTime = max(u.usualTime-time.Duration(timeShrinkage*float64(u.usualTime)), t)
	}
}

// refusedForRoom reports whether to refuse a new flow since the service is short of room.
func (s *Steerer) refusedForRoom(f *flow, name string) bool {
	if len(s.services) == 0 {
		return false
	}
	known := s.services[name]
	return known != nil && !known.admission.Admits(f.State.stats.priority, f.Tuple.Source)
}

// hopeless reports whether a new flow's first request would take longer than its timeout
// at the chosen server, the one of the lowest cost. It doesn't wait where a slot is free,
// however slow the server seems to be or how many idle flows it has.
func (s *Steerer) hopeless(f *flow, chosen *server) bool {
	u := f.State.stats
	if chosen.service == nil || u.timeout == 0 || u.usualTime == 0 {
		return false
	}
	pending := float64(len(chosen.pendingFlows)+len(chosen.handshakes)) + chosen.peerLoad.pending
	if pending < float64(chosen.instance.Slots) {
		return false
	}
	for i, each := range s.candidateServers {
		if each == chosen {
			c := &s.candidates[i]
			return !c.Silent && (pending+1)/c.Capacity*float64(u.usualTime) > float64(u.timeout)
		}
	}
	return false
}

// isFull reports whether a server's known open flows reach the given limit; 0 is no limit.
func (s *server) isFull(limit int) bool {
	return limit > 0 && float64(s.openFlows)+s.peerLoad.openFlows >= float64(limit)
}

// Room is whether a service has room, as an entry infers it.
type Room string

// The states that are reported.
const (
	// RoomShort means that not all new flows of the service are admitted any more, and
	// RoomEnough that all are again.
	RoomShort  Room = "short of room"
	RoomEnough Room = "has room"
)

// RoomChange is a change of the state that an entry infers for a service.
type RoomChange struct {
	Service string
	Room    Room
	// Shares holds the admitted shares by priority.
	Shares map[int]float64
	// Samples is the number of requests in the last second, Degraded that of the ones
	// refused or late, and Usage the estimated number of requests in progress per slot.
	Samples, Degraded int
	Usage             float64
	// Reports is the number of other entries whose reports Usage is based on, and Age that
	// of the oldest of those reports.
	Reports int
	Age     time.Duration
}

// RoomChanges returns the changes since the last call.
func (s *Steerer) RoomChanges(now time.Duration) []RoomChange {
	var changed []RoomChange
	for name, known := range s.services {
		short := known.admission.Short()
		if short == known.reportedShort {
			continue
		}
		known.reportedShort = short
		c := RoomChange{Service: name, Room: RoomEnough, Shares: make(map[int]float64), Usage: known.admission.Usage(), Reports: len(s.peerReports)}
		if short {
			c.Room = RoomShort
		}
		for _, report := range s.peerReports {
			c.Age = max(c.Age, now-report.receivedAt)
		}
		c.Samples, c.Degraded = known.admission.Samples()
		for priority, share := range known.admission.Shares() {
			c.Shares[priority] = share
		}
		changed = append(changed, c)
	}
	return changed
}

// Share is the admitted share of the new flows of one priority of a service, from 0 to 1.
type Share struct {
	Service  string
	Priority int
	Share    float64
}

// Shares returns the admitted shares of the services with admission control.
func (s *Steerer) Shares() iter.Seq[Share] {
	return func(yield func(Share) bool) {
		for name, known := range s.services {
			for priority, share := range known.admission.Shares() {
				if !yield(Share{Service: name, Priority: priority, Share: share}) {
					return
				}
			}
		}
	}
}

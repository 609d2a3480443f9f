package agatesync

import (
	"time"

	"agatereach/core/process/agatenotice"
	"agatereach/core/request/agateload"
)

// An outage of the store may cut the reads of some entries only, while registrations lapse
// that all of them read. So entries report when their reads begin and cease to fail, and
// each counts it as an outage. A report is passed on once, within the receiver's data centre:
// passed back and forth, its age would get lower each time. An entry whose reads fail for
// long is turned away by itself and reports nothing more.

// reportOutage returns heartbeats that report that the reads of this entry have begun or
// ceased to fail, to entries of this and of other data centres.
func (s *Sync) reportOutage() []OutgoingNotice {
	peers := append(s.sample(s.localPeers(), s.policy.KeepaliveFanout), s.remoteTargets()...)
	return fanOut(peers, s.partialHeartbeat(nil))
}

// receiveOutage counts an outage that a peer reports, and returns heartbeats that pass it
// on within the data centre if it comes from another one and is a new one.
func (s *Sync) receiveOutage(p *peer, now time.Duration) []OutgoingNotice {
	if p.heartbeat.OutageAge == 0 {
		return nil
	}
	at := now - agateload.DecodeAge(p.heartbeat.OutageAge)
	s.merger.RecordFailure(at)
	if p.centre == s.self.Centre || at <= s.remoteOutage {
		return nil
	}
	// Reports of one outage differ by their transit times.
	isNew := s.remoteOutage == 0 || at-s.remoteOutage > s.policy.RemoteHeartbeatInterval
	s.remoteOutage = at
	if !isNew || now-at >= s.policy.OutageReportTime {
		return nil
	}
	return fanOut(s.sample(s.localPeers(), s.policy.KeepaliveFanout), s.withRemoteOutage(s.partialHeartbeat(nil)))
}

// withRemoteOutage returns a heartbeat for entries of this data centre, which reports the
// outages of others as well.
func (s *Sync) withRemoteOutage(notice agatenotice.Notice) agatenotice.Notice {
	notice.Heartbeat.OutageAge = s.outageAge(max(s.ownOutage, s.remoteOutage))
	return notice
}

// outageAge returns how long ago an outage was, in ms; 0 if it is not to be reported.
func (s *Sync) outageAge(at time.Duration) uint32 {
	if at == 0 || s.now-at >= s.policy.OutageReportTime {
		return 0
	}
	return agateload.EncodeAge(s.now - at)
}

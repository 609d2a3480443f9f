package agatesync

import (
	"net/netip"
	"time"

	"agatereach/core/process/agatenotice"
	"agatereach/core/version/agatecatalog"
)

// lag tracks by how much other entries are ahead of this one's catalog.
type lag struct {
	// version and revision are the newest ones that a peer has reported.
	version, revision int64
	// aheadSince is the time of the first report that was ahead, lastReport that of
	// the latest one, and source the peer that sent the latest.
	aheadSince, lastReport time.Duration
	source                 netip.AddrPort
}

// ahead reports whether the recorded version or revision is newer than the
// catalog's.
func (l *lag) ahead(own *agatecatalog.Catalog) bool {
	return l.version > own.Version() || l.revision > own.Revision()
}

// record stores the heartbeat of a peer that is ahead.
func (l *lag) record(from netip.AddrPort, b *agatenotice.Heartbeat, own *agatecatalog.Catalog, now time.Duration) {
	if !l.ahead(own) {
		*l = lag{aheadSince: now}
	}
	l.version, l.revision = max(l.version, b.Version), max(l.revision, b.Revision)
	l.source, l.lastReport = from, now
}

// due reports whether the missing changes should be queried now. They must have
// been missing for at least delay, since they may still be on their way, unless
// there is no catalog yet; and the latest report must be at most maxAge old, since
// otherwise the peer that sent it has gone or was wrong.
func (l *lag) due(own *agatecatalog.Catalog, delay, maxAge, now time.Duration) bool {
	overdue := own.Revision() == 0 || now-l.aheadSince >= delay
	return l.ahead(own) && overdue && now-l.lastReport <= maxAge
}

// catchUp queries a peer that is ahead. Peers of other data centres are queried
// later, once the local reader should have delivered the changes, since traffic
// between data centres is expensive.
func (s *Sync) catchUp(now time.Duration) []OutgoingNotice {
	own := s.Catalog()
	if now-s.lastQuery < s.policy.QueryInterval {
		return nil
	}
	for _, l := range []struct {
		lag   *lag
		delay time.Duration
	}{{&s.localLag, s.policy.CatchUpDelay}, {&s.remoteLag, s.policy.MismatchDelay}} {
		if l.lag.due(own, l.delay, s.policy.PeerExpiry, now) {
			s.lastQuery = now
			return []OutgoingNotice{{To: l.lag.source, Notice: newQuery(own.Revision(), own.Version())}}
		}
	}
	return nil
}

// announce returns heartbeats to a few peers if the catalog is newer than at the
// last announcement, so that a large data centre learns of a change within a few
// steps. In a small one every round of heartbeats reaches all peers.
func (s *Sync) announce(now time.Duration) []OutgoingNotice {
	own := s.Catalog()
	newer := own.Version() > s.announced.version || own.Revision() > s.announced.revision
	if !newer || now-s.lastAnnouncement < s.policy.HeartbeatInterval/2 || s.localCount <= s.policy.PeersPerRound {
		return nil
	}
	s.announced, s.lastAnnouncement = position{own.Version(), own.Revision()}, now
	return fanOut(s.sample(s.localPeers(), s.policy.AnnounceFanout), s.partialHeartbeat(nil))
}

// position holds the version and the revision of a catalog.
type position struct{ version, revision int64 }

package agatesync

import (
	"net/netip"
	"time"

	"agatereach/core/process/agatenotice"
	"agatereach/core/version/agatecatalog"
	"agatereach/core/version/agateposition"
	"agatereach/core/version/agatestamp"
)

// lag tracks by how much other entries are ahead of this one's catalog.
type lag struct {
	// place holds the newest stamp and position that a peer has reported.
	place
	// aheadSince is the time of the first report that was ahead, lastReport that of
	// the latest one, and source the peer that sent the latest.
	aheadSince, lastReport time.Duration
	source                 netip.AddrPort
}

// ahead reports whether the recorded stamp or position is newer than the catalog's.
func (l *lag) ahead(own *agatecatalog.Catalog) bool { return l.newerThan(placeOf(own)) }

// record stores the heartbeat of a peer that is ahead.
func (l *lag) record(from netip.AddrPort, b *agatenotice.Heartbeat, own *agatecatalog.Catalog, now time.Duration) {
	if !l.ahead(own) {
		*l = lag{aheadSince: now}
	}
	if b.Stamp().After(l.stamp) {
		l.stamp = b.Stamp()
	}
	l.position = l.position.Max(b.Position())
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
			return []OutgoingNotice{{To: l.lag.source, Notice: newQuery(placeOf(own))}}
		}
	}
	return nil
}

// announce returns heartbeats to a few peers if the catalog is newer than at the
// last announcement, so that a large data centre learns of a change within a few
// steps. In a small one every round of heartbeats reaches all peers.
func (s *Sync) announce(now time.Duration) []OutgoingNotice {
	own := s.Catalog()
	if !placeOf(own).newerThan(s.announced) || now-s.lastAnnouncement < s.policy.HeartbeatInterval/2 || s.localCount <= s.policy.PeersPerRound {
		return nil
	}
	s.announced, s.lastAnnouncement = placeOf(own), now
	return fanOut(s.sample(s.localPeers(), s.policy.AnnounceFanout), s.partialHeartbeat(nil))
}

// place holds the stamp and the position of a catalog.
type place struct {
	stamp    agatestamp.Stamp
	position agateposition.Position
}

// placeOf returns the place of a catalog.
func placeOf(c *agatecatalog.Catalog) place { return place{stamp: c.Stamp(), position: c.Position()} }

// newerThan reports whether the stamp or the position is newer.
func (p place) newerThan(o place) bool {
	return p.stamp.After(o.stamp) || p.position.After(o.position)
}

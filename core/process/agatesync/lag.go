package agatesync

import (
	"net/netip"
	"time"

	"agatereach/core/process/agatenotice"
	"agatereach/core/version/agatecatalog"
)

// lag is what others hold beyond the catalog.
type lag struct {
	// version and revision are the newest that a peer has named.
	version, revision int64
	// since is when the first that was ahead said so, heard when the last one did,
	// and from who that was.
	since, heard time.Duration
	from         netip.AddrPort
}

// holds reports whether the catalog still lacks it.
func (l *lag) holds(own *agatecatalog.Catalog) bool {
	return l.version > own.Version() || l.revision > own.Revision()
}

// note takes in the heartbeat of a peer that is ahead.
func (l *lag) note(from netip.AddrPort, b *agatenotice.Beat, own *agatecatalog.Catalog, now time.Duration) {
	if !l.holds(own) {
		*l = lag{since: now}
	}
	l.version, l.revision = max(l.version, b.Version), max(l.revision, b.Revision)
	l.from, l.heard = from, now
}

// due reports whether what others have been ahead by for some time should be asked
// for: it may be on its way. What nobody has said again lately is not asked for, since
// whoever said it has gone or was wrong.
func (l *lag) due(own *agatecatalog.Catalog, patience, lately, now time.Duration) bool {
	waited := own.Revision() == 0 || now-l.since >= patience
	return l.holds(own) && waited && now-l.heard <= lately
}

// catchUp asks for what others are ahead by; those of other data centres, whose
// bytes are dear, once it should have come by the own reader.
func (s *Sync) catchUp(now time.Duration) []Send {
	own := s.Catalog()
	if now-s.asked < s.policy.AskAgain {
		return nil
	}
	for _, l := range []struct {
		lag      *lag
		patience time.Duration
	}{{&s.behind, s.policy.Behind}, {&s.behindFar, s.policy.Differ}} {
		if l.lag.due(own, l.patience, s.policy.Expire, now) {
			s.asked = now
			return []Send{{To: l.lag.from, Notice: ask(own.Revision(), own.Version())}}
		}
	}
	return nil
}

// news returns heartbeats to a few peers once the catalog is newer than the one
// that was last told of, so that a large data centre learns of it within a few steps.
func (s *Sync) news(now time.Duration) []Send {
	own := s.Catalog()
	newer := own.Version() > s.told.version || own.Revision() > s.told.revision
	if !newer || now-s.toldAt < s.policy.Beat/2 || s.nearCount <= s.policy.Round {
		return nil
	}
	s.told, s.toldAt = position{own.Version(), own.Revision()}, now
	return address(s.sample(s.centre(), s.policy.Fanout), s.brief(nil))
}

// position is how far a catalog has come.
type position struct{ version, revision int64 }

package agatesync

import (
	"hash/crc32"
	"net/netip"
	"slices"
	"time"

	"agatereach/core/process/agatenotice"
	"agatereach/core/version/agatecatalog"
	"agatereach/core/version/agatediff"
	"agatereach/core/version/agatestamp"
)

const (
	// maxConfigs is the number of recent configurations that are kept as bases for
	// differences. A peer with an older one gets the whole configuration.
	maxConfigs = 4
	// maxChanges is the number of configuration changes that are assembled from
	// their parts at a time.
	maxChanges = 4
)

// changeKey identifies a configuration change, whichever entry sends it.
type changeKey struct {
	from, to agatestamp.Stamp
	total    int
	checksum uint32
}

// pendingChange is a configuration change of which some parts are still missing.
// The parts are kept by index.
type pendingChange struct {
	key   changeKey
	parts map[int][]byte
}

// bytes returns the encoded change. All parts must have been received.
func (c *pendingChange) bytes() []byte {
	var encoded []byte
	for i := range c.key.total {
		encoded = append(encoded, c.parts[i]...)
	}
	return encoded
}

// rememberConfig keeps the current configuration as a base for later differences.
func (s *Sync) rememberConfig() {
	config := s.Catalog().Config()
	if config == nil || len(s.recentConfigs) > 0 && s.recentConfigs[len(s.recentConfigs)-1] == config {
		return
	}
	s.recentConfigs = append(s.recentConfigs, config)
	if len(s.recentConfigs) > maxConfigs {
		s.recentConfigs = slices.Clone(s.recentConfigs[1:])
	}
	s.encodedParts = nil
}

// configAt returns the configuration with the given stamp, or nil if it is not
// kept.
func (s *Sync) configAt(stamp agatestamp.Stamp) *agatecatalog.Config {
	for _, config := range s.recentConfigs {
		if config.Stamp() == stamp {
			return config
		}
	}
	return nil
}

// partsSince returns the parts of the change from the configuration with the given
// stamp to the newest one, or of the whole configuration if that one is not kept.
func (s *Sync) partsSince(stamp agatestamp.Stamp) []agatenotice.Notice {
	s.rememberConfig()
	newest := s.Catalog().Config()
	if newest == nil || !newest.Stamp().After(stamp) {
		return nil
	}
	base := s.configAt(stamp)
	if base == nil {
		stamp = agatestamp.Stamp{}
	}
	if parts, ok := s.encodedParts[stamp]; ok {
		return parts
	}
	encoded, err := agatediff.New(base, newest).Encode()
	if err != nil {
		// Peers that lack the change then read it from the store.
		s.encodeFailures++
		return nil
	}
	parts := s.partsOf(encoded, stamp, newest.Stamp())
	if s.encodedParts == nil {
		s.encodedParts = make(map[agatestamp.Stamp][]agatenotice.Notice)
	}
	s.encodedParts[stamp] = parts
	return parts
}

// partsOf divides an encoded change into parts of up to PageSize bytes.
func (s *Sync) partsOf(encoded []byte, from, to agatestamp.Stamp) []agatenotice.Notice {
	chunks := slices.Collect(slices.Chunk(encoded, s.policy.PageSize))
	notices := make([]agatenotice.Notice, len(chunks))
	for i, chunk := range chunks {
		notices[i].Part = &agatenotice.Part{
			From: from.Version, FromEra: from.Written.Era, FromRevision: from.Written.Revision,
			Version: to.Version, Era: to.Written.Era, Revision: to.Written.Revision,
			Index: i, Total: len(chunks), Checksum: crc32.ChecksumIEEE(encoded), Data: chunk,
		}
	}
	return notices
}

// pushTargets returns the peers of the data centre that a change is pushed to: up to
// LocalFanout, or fewer if that many notices would exceed the burst. The other peers
// query for the change.
func (s *Sync) pushTargets(notices int) []*peer {
	peers := s.localTargets()
	limit := max(s.policy.ReplyBurst/max(notices*s.policy.PageSize, 1), minPushTargets)
	return s.sample(peers, min(limit, len(peers)))
}

// minPushTargets is the minimum number of peers that a change is pushed to. With
// two, the number of entries that hold it doubles from the first step on.
const minPushTargets = 2

// takeReplyBudget reports whether the reply budget allows a reply of the given
// number of notices now, and deducts it. The budget grows with time, up to the
// burst.
func (s *Sync) takeReplyBudget(notices int) bool {
	refill := int(int64(s.policy.ReplyRate) * int64(s.now-s.lastRefill) / int64(time.Second))
	s.replyBudget = min(s.replyBudget+refill, s.policy.ReplyBurst)
	s.lastRefill = s.now
	if s.replyBudget <= 0 {
		return false
	}
	// The budget may become negative, so that a reply of any size can be sent.
	s.replyBudget -= notices * s.policy.PageSize
	return true
}

// receivePart stores a part and applies the change once all its parts have arrived.
func (s *Sync) receivePart(p *agatenotice.Part) {
	if !p.Stamp().After(s.Catalog().Stamp()) || p.From > 0 && s.configAt(p.Base()) == nil {
		return
	}
	c := s.pendingChange(changeKey{from: p.Base(), to: p.Stamp(), total: p.Total, checksum: p.Checksum})
	c.parts[p.Index] = p.Data
	if len(c.parts) < c.key.total {
		return
	}
	s.pendingChanges = slices.DeleteFunc(s.pendingChanges, func(other *pendingChange) bool { return !other.key.to.After(c.key.to) })
	diff, err := agatediff.Decode(c.bytes())
	if err != nil || diff.Base() != c.key.from || diff.Stamp() != c.key.to {
		s.malformedChanges++
		return
	}
	config, err := diff.Apply(s.configAt(diff.Base()))
	if err != nil {
		s.malformedChanges++
		return
	}
	s.merger.ApplyConfig(config)
	s.rememberConfig()
}

// pendingChange returns the pending change with the given key. If there is none, it
// adds one and drops the oldest if there are too many.
func (s *Sync) pendingChange(key changeKey) *pendingChange {
	for _, c := range s.pendingChanges {
		if c.key == key {
			return c
		}
	}
	c := &pendingChange{key: key, parts: make(map[int][]byte)}
	s.pendingChanges = append(s.pendingChanges, c)
	if len(s.pendingChanges) > maxChanges {
		s.pendingChanges = slices.Clone(s.pendingChanges[1:])
	}
	return c
}

// EncodeFailures returns the number of configuration changes that could not be
// encoded for other entries.
func (s *Sync) EncodeFailures() uint64 { return s.encodeFailures }

// MalformedChanges returns the number of completely received configuration changes
// that could not be decoded or applied.
func (s *Sync) MalformedChanges() uint64 { return s.malformedChanges }

// addressTo addresses each of the notices to one entry.
func addressTo(to netip.AddrPort, notices []agatenotice.Notice) []OutgoingNotice {
	sends := make([]OutgoingNotice, len(notices))
	for i, notice := range notices {
		sends[i] = OutgoingNotice{To: to, Notice: notice}
	}
	return sends
}

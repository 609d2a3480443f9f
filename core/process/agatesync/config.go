package agatesync

import (
	"hash/crc32"
	"net/netip"
	"slices"
	"time"

	"agatereach/core/process/agatenotice"
	"agatereach/core/version/agatecatalog"
	"agatereach/core/version/agatechange"
	"agatereach/core/version/agatediff"
)

const (
	// maxConfigs is the number of configurations that are held so that others can
	// be told what has changed since. Whoever is behind them all gets the whole.
	maxConfigs = 4
	// maxChanges is the number of changes of which parts are gathered at a time.
	maxChanges = 4
)

// changeKey names a change of the configuration, whoever sends it.
type changeKey struct {
	from, version int64
	total         int
	sum           uint32
}

// change is one whose parts are still coming.
type change struct {
	key  changeKey
	come map[int][]byte
}

// bytes returns the whole change.
func (c *change) bytes() []byte {
	var whole []byte
	for i := range c.key.total {
		whole = append(whole, c.come[i]...)
	}
	return whole
}

// remember holds the configuration for later differences.
func (s *Sync) remember() {
	config := s.Catalog().Config()
	if config == nil || len(s.configs) > 0 && s.configs[len(s.configs)-1] == config {
		return
	}
	s.configs = append(s.configs, config)
	if len(s.configs) > maxConfigs {
		s.configs = slices.Clone(s.configs[1:])
	}
	s.encoded = nil
}

// configOf returns the configuration of a version, nil if it is not held.
func (s *Sync) configOf(version int64) *agatecatalog.Config {
	for _, config := range s.configs {
		if config.Version == version {
			return config
		}
	}
	return nil
}

// partsSince returns the parts that lead from a version to the newest one, the
// whole if that version is not held.
func (s *Sync) partsSince(version int64) []agatenotice.Notice {
	s.remember()
	newest := s.Catalog().Config()
	if newest == nil || version >= newest.Version {
		return nil
	}
	before := s.configOf(version)
	if before == nil {
		version = 0
	}
	if known, ok := s.encoded[version]; ok {
		return known
	}
	encoded, err := agatediff.New(before, newest).Encode()
	if err != nil {
		// Others then read the store.
		s.unencoded++
		return nil
	}
	parts := s.cut(encoded, version, newest.Version)
	if s.encoded == nil {
		s.encoded = make(map[int64][]agatenotice.Notice)
	}
	s.encoded[version] = parts
	return parts
}

// cut cuts an encoded change into parts.
func (s *Sync) cut(encoded []byte, from, version int64) []agatenotice.Notice {
	pieces := slices.Collect(slices.Chunk(encoded, s.policy.PageSize))
	notices := make([]agatenotice.Notice, len(pieces))
	for i, piece := range pieces {
		notices[i].Part = &agatenotice.Part{
			From: from, Version: version, Index: i, Total: len(pieces), Sum: crc32.ChecksumIEEE(encoded), Data: piece,
		}
	}
	return notices
}

// pushTo returns the peers that are told of changes at once: all of the data
// centre, or fewer if the notices would fill the link. The others ask.
func (s *Sync) pushTo(notices int) []*peer {
	peers := s.near()
	affordable := max(s.policy.Burst/max(notices*s.policy.PageSize, 1), minPush)
	return s.sample(peers, min(affordable, len(peers)))
}

// minPush is the number of peers that are told of any change at once: with two
// the number of those that hold it doubles from the first step.
const minPush = 2

// afford reports whether the link can bear an answer of a number of notices now,
// and takes it off. What is left grows with time up to the burst.
func (s *Sync) afford(notices int) bool {
	grown := int(int64(s.policy.Link) * int64(s.now-s.refilled) / int64(time.Second))
	s.left = min(s.left+grown, s.policy.Burst)
	s.refilled = s.now
	if s.left <= 0 {
		return false
	}
	// The last answer may take more than is left, so that any size gets through.
	s.left -= notices * s.policy.PageSize
	return true
}

// receivePart takes in a part. The change is adopted once it is whole.
func (s *Sync) receivePart(p *agatenotice.Part, now time.Duration) {
	if p.Version <= s.Catalog().Version() || p.From > 0 && s.configOf(p.From) == nil {
		return
	}
	c := s.changeOf(changeKey{from: p.From, version: p.Version, total: p.Total, sum: p.Sum})
	c.come[p.Index] = p.Data
	if len(c.come) < c.key.total {
		return
	}
	s.changes = slices.DeleteFunc(s.changes, func(o *change) bool { return o.key.version <= c.key.version })
	diff, err := agatediff.Decode(c.bytes())
	if err != nil || diff.From != c.key.from || diff.Version != c.key.version {
		s.malformed++
		return
	}
	config, err := diff.Apply(s.configOf(diff.From))
	if err != nil {
		s.malformed++
		return
	}
	s.merger.Apply(agatechange.Changes{Config: config}, now)
	s.remember()
}

// changeOf returns the change of a key, a new one in place of the oldest version
// if too many are gathered.
func (s *Sync) changeOf(key changeKey) *change {
	for _, c := range s.changes {
		if c.key == key {
			return c
		}
	}
	c := &change{key: key, come: make(map[int][]byte)}
	s.changes = append(s.changes, c)
	if len(s.changes) > maxChanges {
		s.changes = slices.Clone(s.changes[1:])
	}
	return c
}

// Unencoded returns the number of times that a change of the configuration could
// not be encoded for others.
func (s *Sync) Unencoded() uint64 { return s.unencoded }

// Malformed returns the number of changes that came whole and could not be read.
func (s *Sync) Malformed() uint64 { return s.malformed }

// sendAll returns the notices as addressed to one entry.
func sendAll(to netip.AddrPort, notices []agatenotice.Notice) []Send {
	sends := make([]Send, len(notices))
	for i, notice := range notices {
		sends[i] = Send{To: to, Notice: notice}
	}
	return sends
}

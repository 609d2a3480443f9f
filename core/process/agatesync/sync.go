// Package agatesync keeps the catalogs of a deployment's entries in step: few
// entries of each data centre read the store, the others hear of changes by
// datagrams, and one that hears nothing reads by itself. It does no I/O.
package agatesync

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"agatereach/core/process/agatemerge"
	"agatereach/core/process/agatenotice"
	"agatereach/core/request/agateload"
	"agatereach/core/version/agatecatalog"
	"agatereach/core/version/agatechange"
	"agatereach/core/version/agateinstance"
)

// Self says who an entry is.
type Self struct {
	// Name is the name of its VM, and Centre that of its data centre.
	Name, Centre string
	// Address is where it takes notices.
	Address netip.AddrPort
	// Boot names the run of the process; not 0.
	Boot uint64
}

// Send is a notice on its way to an entry.
type Send struct {
	To     netip.AddrPort
	Notice agatenotice.Notice
}

// Sync is the state of one entry. It is used by one goroutine. All times are on
// one monotonic clock that starts above 0.
type Sync struct {
	self   Self
	policy Policy
	merger *agatemerge.Merger
	random func() float64
	// peers are the other entries by the address of their notices.
	peers map[netip.AddrPort]*peer
	// sorted are the peers by address; of another length when it is outdated.
	sorted []*peer
	// seeds are addresses to ask for others.
	seeds  []netip.AddrPort
	sought time.Duration
	// now is the time of the last call, and started that of the first look at
	// whether the store should be read; 0 before it.
	now, started time.Duration
	// confirmed is when the catalog was last known to be the newest.
	confirmed time.Duration
	// loads are this entry's own, for the next heartbeats.
	loads []agateload.Load
	// beaten and beatenFar are when heartbeats were last sent within the data
	// centre and to others, and size that of the last one in bytes.
	beaten, beatenFar time.Duration
	// loadedFar is when loads were last sent to other data centres.
	loadedFar time.Duration
	size      int
	// keptAlive is when this entry last said that it is the reader.
	keptAlive time.Duration
	// nearCount is the number of peers of the data centre at the last round,
	// and turn the place of the next one.
	nearCount, turn int
	// place is the number of entries that should rather read the store, as
	// counted at the time ranked; 0 if it must be counted again. expired is when
	// peers were last looked through.
	place           int
	ranked, expired time.Duration
	// urgent are loads by token that others should know at once, and urged is
	// when such were last sent.
	urgent map[uint32]agateload.Load
	urged  time.Duration
	// failing says that the last read of the store failed.
	failing bool
	// asked is when the last question was sent, and whole when the last one for
	// everything was.
	asked, whole time.Duration
	// behind is what peers of the data centre hold beyond the catalog, and behindFar
	// what those of others do.
	behind, behindFar lag
	// told is how far the catalog had come when a few peers were last told of it, at
	// toldAt.
	told   position
	toldAt time.Duration
	// pages are those that have come of an answer, and changes those changes of
	// the configuration whose parts are coming, oldest first.
	pages   collection
	changes []*change
	// configs are the last configurations, oldest first, and encoded the parts
	// that lead to the newest one by the version that they lead from.
	configs []*agatecatalog.Config
	encoded map[int64][]agatenotice.Notice
	// left is the number of bytes that answers may take, as of refilled.
	left     int
	refilled time.Duration
	// malformed counts changes that came whole and could not be read.
	malformed uint64
	// unencoded counts changes that could not be encoded for others.
	unencoded uint64
	// leaving says that the process is about to end.
	leaving bool
}

// New returns the sync of an entry that holds nothing yet. random returns
// numbers in [0, 1).
func New(self Self, seeds []netip.AddrPort, policy Policy, merger *agatemerge.Merger, random func() float64) *Sync {
	return &Sync{
		self: self, policy: policy, merger: merger, random: random, seeds: seeds,
		peers: make(map[netip.AddrPort]*peer), urgent: make(map[uint32]agateload.Load), sought: -policy.Seek, asked: -policy.AskAgain,
		whole: -policy.Differ, beaten: -policy.Beat, left: policy.Burst,
	}
}

// Catalog returns the newest catalog.
func (s *Sync) Catalog() *agatecatalog.Catalog { return s.merger.Catalog() }

// Confirmed returns when the catalog was last known to be the newest, 0 for
// never.
func (s *Sync) Confirmed() time.Duration { return s.confirmed }

// Peers returns the number of other entries that are known.
func (s *Sync) Peers() int { return len(s.peers) }

// Near returns the names of the other entries of the data centre that are known,
// in the order of their addresses.
func (s *Sync) Near() []string {
	peers := s.centre()
	names := make([]string, len(peers))
	for i, p := range peers {
		names[i] = p.name
	}
	return names
}

// SetLoads takes what the entry has seen of servers.
func (s *Sync) SetLoads(loads []agateload.Load) { s.loads = loads }

// SetSeeds takes other addresses to ask for entries.
func (s *Sync) SetSeeds(seeds []netip.AddrPort) { s.seeds = seeds }

// Leave says that the process is about to end, so that others read in its place.
func (s *Sync) Leave(now time.Duration) []Send {
	s.now = now
	s.leaving = true
	return address(append(s.centre(), s.far()...), s.brief(nil))
}

// Paused forgets what a pause has made uncertain: how new the catalog is.
func (s *Sync) Paused() { s.confirmed = 0 }

// Read takes in what the store answered to a question of the time asked, and
// returns what others are to be told.
func (s *Sync) Read(changes agatechange.Changes, asked, now time.Duration) []Send {
	s.now = now
	before := s.Catalog()
	s.merger.Apply(changes, now)
	s.confirmed = max(s.confirmed, asked)
	s.failing = false
	if before.Revision() == 0 {
		// After a power cut all entries read at once. Those that still hold nothing
		// ask; pages to all would cost each more time than its own read.
		s.remember()
		return address(s.near(), s.brief(nil))
	}
	sends := s.tell(before)
	if len(sends) == 0 && s.nearCount > s.policy.Round {
		// Rounds would tell some peers too late that the catalog is the newest.
		sends = address(s.near(), s.brief(nil))
	}
	return sends
}

// Failed notes that the store could not be read, and returns what others are told
// of it: the next in the order of readers tries at once.
func (s *Sync) Failed(now time.Duration) []Send {
	s.now = now
	first := !s.failing
	s.failing = true
	s.merger.Failed(now)
	if !first {
		return nil
	}
	return address(s.sample(s.centre(), s.policy.Told), s.brief(nil))
}

// tell returns what the peers of the data centre are told of the changes since
// an earlier catalog.
func (s *Sync) tell(before *agatecatalog.Catalog) []Send {
	after := s.Catalog()
	if after == before {
		return nil
	}
	notices := s.pagesSince(after, before)
	if after.Version() != before.Version() {
		notices = append(notices, s.partsSince(before.Version())...)
	}
	var sends []Send
	for _, p := range s.pushTo(len(notices)) {
		sends = append(sends, sendAll(p.address, notices)...)
	}
	return sends
}

// pagesSince returns the pages that lead from an earlier catalog. They hold also
// what that one had beyond its revision, since whoever is at that revision may
// lack it.
func (s *Sync) pagesSince(after, before *agatecatalog.Catalog) []agatenotice.Notice {
	if before.Revision() < after.Floor() {
		return s.everything(after)
	}
	var changed []agateinstance.Instance
	for instance := range after.All() {
		former, ok := before.Instance(instance.Key)
		if !ok || former != instance || instance.Revision > before.Revision() {
			changed = append(changed, instance)
		}
	}
	if len(changed) == 0 && after.Revision() == before.Revision() {
		return nil
	}
	return s.pagesOf(changed, before.Revision(), after.Revision())
}

// Duty says why an entry reads the store.
type Duty string

// The duties.
const (
	// None is no duty: others read.
	None Duty = ""
	// Start is that the entry holds nothing and nobody has told it.
	Start Duty = "start"
	// First is that it is the first of its data centre in the order of readers.
	First Duty = "first"
	// Unconfirmed is that nobody has confirmed the catalog for too long.
	Unconfirmed Duty = "unconfirmed"
)

// Due returns why this entry should read the store: the first in the order of
// readers always, the next ones if nobody has confirmed the catalog lately. One
// that holds nothing lets others tell it first, for a moment.
func (s *Sync) Due(now time.Duration) Duty {
	if s.started == 0 {
		s.started = now
	}
	if s.confirmed == 0 {
		if len(s.seeds) == 0 || now-s.started >= s.headStart() {
			return Start
		}
		return None
	}
	rank := s.rank(now)
	switch {
	case s.leaving:
		return None
	case rank == 0:
		return First
	}
	longest := s.policy.TakeoverMax
	if s.storeFails() {
		longest = s.policy.OutageMax
	}
	wait := s.policy.Takeover + time.Duration(rank-1)*s.policy.Step
	if now-s.confirmed > min(wait, longest) {
		return Unconfirmed
	}
	return None
}

// headStart returns how long an entry that has just started lets others tell it:
// longer once it has heard of one that can.
func (s *Sync) headStart() time.Duration {
	for _, p := range s.peers {
		if p.said.Revision > 0 {
			return s.policy.Snapshot
		}
	}
	return s.policy.HeadStart
}

// Tick does what falls due with time. It returns what is to be sent.
func (s *Sync) Tick(now time.Duration) []Send {
	s.now = now
	before := s.Catalog()
	s.merger.Tick(now)
	sends := s.tell(before)
	s.expire(now)
	if now-s.sought >= s.policy.Seek {
		s.sought = now
		sends = append(sends, s.seek()...)
	}
	sends = append(sends, s.urge(now)...)
	sends = append(sends, s.catchUp(now)...)
	sends = append(sends, s.news(now)...)
	sends = append(sends, s.keepalive(now)...)
	return append(sends, s.beats(now)...)
}

// Urge takes loads that others can use at once, and returns heartbeats with them
// now or, if others went just before, with the next Tick.
func (s *Sync) Urge(loads []agateload.Load, now time.Duration) []Send {
	s.now = now
	for _, load := range loads {
		s.urgent[load.Token] = load
	}
	return s.urge(now)
}

// urge returns heartbeats with the urgent loads.
func (s *Sync) urge(now time.Duration) []Send {
	if len(s.urgent) == 0 || now-s.urged < s.policy.Beat/2 {
		return nil
	}
	s.urged = now
	loads := make([]agateload.Load, 0, len(s.urgent))
	for _, token := range slices.Sorted(maps.Keys(s.urgent)) {
		loads = append(loads, s.urgent[token])
	}
	clear(s.urgent)
	return address(s.near(), s.brief(loads))
}

// Receive takes in a notice and returns what is to be sent.
func (s *Sync) Receive(from netip.AddrPort, n agatenotice.Notice, now time.Duration) []Send {
	s.now = now
	switch {
	case from == s.self.Address:
		return nil
	case n.Beat != nil:
		return s.receiveBeat(from, n.Beat, now)
	case n.Ask != nil:
		return s.answer(from, n.Ask)
	case n.Page != nil:
		s.receivePage(from, n.Page, now)
		s.agree(from)
	case n.Part != nil:
		s.receivePart(n.Part, now)
		s.agree(from)
	}
	return nil
}

// answer returns what another entry lacks.
func (s *Sync) answer(to netip.AddrPort, ask *agatenotice.Ask) []Send {
	catalog := s.Catalog()
	var notices []agatenotice.Notice
	switch {
	case ask.After < catalog.Floor():
		notices = s.everything(catalog)
	case ask.After < catalog.Revision():
		notices = s.pagesOf(newer(catalog, ask.After), ask.After, catalog.Revision())
	}
	notices = append(notices, s.partsSince(ask.Version)...)
	if len(notices) == 0 || !s.afford(len(notices)) {
		return nil
	}
	return sendAll(to, notices)
}

// newer returns the records after a revision, also of those that are gone.
func newer(catalog *agatecatalog.Catalog, after int64) []agateinstance.Instance {
	var found []agateinstance.Instance
	for instance := range catalog.All() {
		if instance.Revision > after {
			found = append(found, instance)
		}
	}
	return found
}

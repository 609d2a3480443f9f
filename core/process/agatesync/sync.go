// Package agatesync keeps the catalogs of a deployment's entries consistent. A few
// entries of each data centre read the store and send changes to the others as
// datagrams. An entry that gets no confirmation of its catalog from others reads
// the store itself. The package does no I/O.
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
	"agatereach/core/version/agateevacuation"
	"agatereach/core/version/agateinstance"
	"agatereach/core/version/agateposition"
	"agatereach/core/version/agatestamp"
)

// Self identifies an entry to the others.
type Self struct {
	// Name is the name of the entry's VM, Centre that of its data centre.
	Name, Centre string
	// Address is where the entry receives notices.
	Address netip.AddrPort
	// Boot identifies this run of the process; not 0.
	Boot uint64
}

// OutgoingNotice is a notice to be sent to an entry.
type OutgoingNotice struct {
	To     netip.AddrPort
	Notice agatenotice.Notice
}

// Sync is the synchronization state of one entry. It must be used by one goroutine
// at a time. All times are durations on one monotonic clock that starts above 0.
type Sync struct {
	self   Self
	policy Policy
	merger *agatemerge.Merger
	random func() float64
	// peers holds the other entries by the address of their notices.
	peers map[netip.AddrPort]*peer
	// peerOrder caches the peers in the order of their addresses. It is outdated if
	// its length differs from that of peers.
	peerOrder []*peer
	// seeds are the configured addresses through which other entries are found.
	seeds           []netip.AddrPort
	lastSeedContact time.Duration
	// now is the time of the latest call. firstDue is the time of the first call of
	// ReadDuty; 0 before it.
	now, firstDue time.Duration
	// confirmedAt is when the catalog was last known to be the newest; 0 if
	// unknown.
	confirmedAt time.Duration
	// loads are the loads that this entry has measured, for its heartbeats.
	loads []agateload.Load
	// lastHeartbeat and lastRemoteHeartbeat are when heartbeats were last sent
	// within the data centre and to others; the latter includes jitter.
	lastHeartbeat, lastRemoteHeartbeat time.Duration
	// lastRemoteLoads is when loads were last sent to other data centres.
	// heartbeatSize is the approximate size of the last heartbeat in bytes.
	lastRemoteLoads time.Duration
	heartbeatSize   int
	// lastKeepalive is when this entry last sent keepalives as the reader.
	lastKeepalive time.Duration
	// localCount is the number of peers of the data centre at the last round of
	// heartbeats, and nextTurn the index of the peer at which the next round
	// starts.
	localCount, nextTurn int
	// cachedRank is this entry's rank in the order of readers, as computed at
	// rankedAt. rankedAt is 0 if the rank must be computed again. lastExpiry is
	// when peers were last checked for expiry.
	cachedRank           int
	rankedAt, lastExpiry time.Duration
	// urgentLoads are loads, by token, that are to be sent to other entries without
	// delay, and lastUrgent is when such loads were last sent.
	urgentLoads map[uint32]agateload.Load
	lastUrgent  time.Duration
	// storeFailing is whether the last read of the store failed.
	storeFailing bool
	// lastQuery is when the last query was sent, and lastFullQuery when the last
	// one for all registrations was.
	lastQuery, lastFullQuery time.Duration
	// localLag is by how much peers of the data centre are ahead of the catalog,
	// and remoteLag the same for peers of other data centres. Without local peers,
	// remote ones count in localLag too.
	localLag, remoteLag lag
	// announced is the position of the catalog at the last announcement to a few
	// peers, at lastAnnouncement.
	announced        place
	lastAnnouncement time.Duration
	// receivedPages holds the pages of the reply that is being received, and
	// pendingChanges the configuration changes that are being assembled, oldest
	// first.
	receivedPages  pageCollection
	pendingChanges []*pendingChange
	// recentConfigs holds the last configurations, oldest first. encodedParts
	// caches the parts that lead to the newest configuration, by the stamp that they
	// start from.
	recentConfigs []*agatecatalog.Config
	encodedParts  map[agatestamp.Stamp][]agatenotice.Notice
	// listed is whether this entry has listed the store in the era listedEra, and
	// restore what changed when the store was last restored.
	listed    bool
	listedEra uint32
	restore   restore
	// replyBudget is the number of bytes that replies may take, as of lastRefill.
	replyBudget int
	lastRefill  time.Duration
	// malformedChanges counts completely received configuration changes that could
	// not be decoded or applied.
	malformedChanges uint64
	// encodeFailures counts configuration changes that could not be encoded.
	encodeFailures uint64
	// leaving is whether the process is about to end.
	leaving bool
}

// New returns the Sync of an entry without a catalog. random must return numbers in
// [0, 1).
func New(self Self, seeds []netip.AddrPort, policy Policy, merger *agatemerge.Merger, random func() float64) *Sync {
	return &Sync{
		self: self, policy: policy, merger: merger, random: random, seeds: seeds,
		peers: make(map[netip.AddrPort]*peer), urgentLoads: make(map[uint32]agateload.Load), lastSeedContact: -policy.SeedInterval, lastQuery: -policy.QueryInterval,
		lastFullQuery: -policy.MismatchDelay, lastHeartbeat: -policy.HeartbeatInterval, replyBudget: policy.ReplyBurst,
	}
}

// Catalog returns the current catalog.
func (s *Sync) Catalog() *agatecatalog.Catalog { return s.merger.Catalog() }

// ConfirmedAt returns when the catalog was last known to be the newest, or 0 if
// that is not known.
func (s *Sync) ConfirmedAt() time.Duration { return s.confirmedAt }

// PeerCount returns the number of known other entries.
func (s *Sync) PeerCount() int { return len(s.peers) }

// LocalPeers returns the names of the live peers of the same data centre, in the
// order of their addresses.
func (s *Sync) LocalPeers() []string {
	peers := s.localPeers()
	names := make([]string, len(peers))
	for i, p := range peers {
		names[i] = p.name
	}
	return names
}

// SetLoads replaces the loads that this entry reports in its heartbeats.
func (s *Sync) SetLoads(loads []agateload.Load) { s.loads = loads }

// SetSeeds replaces the seeds.
func (s *Sync) SetSeeds(seeds []netip.AddrPort) { s.seeds = seeds }

// Leave announces that the process is about to end, so that another entry reads the
// store in its place. The catalog is kept up to date until then, since packets may
// still arrive.
func (s *Sync) Leave(now time.Duration) []OutgoingNotice {
	s.now = now
	s.leaving = true
	s.rankedAt = 0
	return fanOut(append(s.localPeers(), s.remoteTargets()...), s.partialHeartbeat(nil))
}

// HandlePause must be called after a pause of the process. It discards the
// confirmation of the catalog, since others may have changed theirs in the
// meantime.
func (s *Sync) HandlePause() { s.confirmedAt = 0 }

// HandleRead applies the store's response to a read that was sent at the time
// asked, and returns the notices that pass the changes on.
func (s *Sync) HandleRead(changes agatechange.Changes, asked, now time.Duration) []OutgoingNotice {
	s.now = now
	before := s.Catalog()
	if s.storeFailing {
		// The store may have been away until now, and servers have to register again.
		s.merger.RecordFailure(now)
	}
	s.merger.Apply(changes, now)
	s.storeFailing = false
	era := s.Catalog().Position().Era
	if changes.Era > era {
		s.listed = false
	}
	if changes.Era == era {
		s.confirmedAt = max(s.confirmedAt, asked)
		if changes.Complete {
			s.listed, s.listedEra = true, era
		}
	}
	s.recordRestore(before)
	if before.Revision() == 0 {
		// After a power cut all entries read the store at once. Pages sent to all
		// of them would cost each more time than its own read; entries without a
		// catalog query for it.
		s.rememberConfig()
		return fanOut(s.localTargets(), s.partialHeartbeat(nil))
	}
	sends := s.pushSince(before)
	if len(sends) == 0 && s.localCount > s.policy.PeersPerRound {
		// With several rounds of heartbeats to a cycle, some peers would learn too
		// late that their catalog is the newest.
		sends = fanOut(s.localTargets(), s.partialHeartbeat(nil))
	}
	return sends
}

// HandleReadFailure records that the store could not be read. On the first failure
// it returns heartbeats that report it, so that the next entry in the order of
// readers tries at once.
func (s *Sync) HandleReadFailure(now time.Duration) []OutgoingNotice {
	s.now = now
	first := !s.storeFailing
	s.storeFailing = true
	s.merger.RecordFailure(now)
	if !first {
		return nil
	}
	return fanOut(s.sample(s.localPeers(), s.policy.KeepaliveFanout), s.partialHeartbeat(nil))
}

// pushSince returns notices that push the changes since an earlier catalog to peers
// of the data centre.
func (s *Sync) pushSince(before *agatecatalog.Catalog) []OutgoingNotice {
	after := s.Catalog()
	if after == before {
		return nil
	}
	notices := s.pagesSince(after, before)
	if after.Stamp() != before.Stamp() {
		notices = append(notices, s.partsSince(before.Stamp())...)
	}
	var sends []OutgoingNotice
	for _, p := range s.pushTargets(len(notices)) {
		sends = append(sends, addressTo(p.address, notices)...)
	}
	return sends
}

// pagesSince returns the pages that lead from an earlier catalog to a later one.
// They include records that the earlier catalog already held beyond its own
// position, since another entry at that position may lack them.
func (s *Sync) pagesSince(after, before *agatecatalog.Catalog) []agatenotice.Notice {
	restored := before.Revision() > 0 && before.Position().Era != after.Position().Era
	if !restored && after.Floor().After(before.Position()) {
		return s.snapshotPages(after)
	}
	changed := content{changedRecords(after, before), changedEvacuations(after, before)}
	if restored {
		changed = content{restoredRecords(after, before), after.Evacuations()}
	}
	if changed.empty() && after.Position() == before.Position() {
		return nil
	}
	return s.pagesOf(changed, before.Position(), after.Position())
}

// changedRecords returns the records that an entry at the position of an earlier catalog
// may lack.
func changedRecords(after, before *agatecatalog.Catalog) []agateinstance.Instance {
	var changed []agateinstance.Instance
	for instance := range after.All() {
		earlier, ok := before.Instance(instance.Key)
		if !ok || earlier != instance || instance.Position().After(before.Position()) {
			changed = append(changed, instance)
		}
	}
	return changed
}

// changedEvacuations returns the evacuations that an entry at the position of an earlier
// catalog may lack.
func changedEvacuations(after, before *agatecatalog.Catalog) []agateevacuation.Evacuation {
	return slices.DeleteFunc(after.Evacuations(), func(e agateevacuation.Evacuation) bool {
		earlier, _ := before.Evacuation(e.Centre)
		return earlier == e && !e.Position().After(before.Position())
	})
}

// Duty is the reason for which an entry reads the store.
type Duty string

// The duties to read the store.
const (
	// None means that this entry does not read: others do.
	None Duty = ""
	// Start means that the entry has no catalog and no peer has sent it one.
	Start Duty = "start"
	// FirstReader means that the entry is the first of its data centre in the order
	// of readers.
	FirstReader Duty = "first"
	// Unconfirmed means that no peer has confirmed the catalog for too long.
	Unconfirmed Duty = "unconfirmed"
)

// ReadDuty returns why this entry should read the store, or None. The first entry
// in the order of readers always reads; the next ones read if the catalog has not
// been confirmed lately. Entries that are leaving rank after all that stay. An entry
// without a catalog first waits a moment for peers to send it one.
func (s *Sync) ReadDuty(now time.Duration) Duty {
	if s.firstDue == 0 {
		s.firstDue = now
	}
	if s.confirmedAt == 0 {
		if len(s.seeds) == 0 || now-s.firstDue >= s.startupWait() {
			return Start
		}
		return None
	}
	rank := s.rank(now)
	if rank == 0 {
		return FirstReader
	}
	limit := s.policy.MaxTakeoverDelay
	if s.peerStoreFailing() {
		limit = s.policy.MaxOutageDelay
	}
	delay := s.policy.TakeoverDelay + time.Duration(rank-1)*s.policy.TakeoverStep
	if now-s.confirmedAt > min(delay, limit) {
		return Unconfirmed
	}
	return None
}

// ListingDue reports whether the next read of the store should list everything: this entry
// has not done so in the store's era, or states known from an earlier era can be confirmed.
func (s *Sync) ListingDue(now time.Duration) bool {
	return !s.listed || s.listedEra != s.Catalog().Position().Era || s.merger.ListingDue(now)
}

// HandleCompaction records that the store does not have the changes after the catalog's
// position.
func (s *Sync) HandleCompaction() { s.listed = false }

// startupWait returns how long an entry without a catalog waits for its peers
// before it reads the store: longer once a peer has announced a catalog.
func (s *Sync) startupWait() time.Duration {
	for _, p := range s.peers {
		if p.heartbeat.Revision > 0 {
			return s.policy.SnapshotWait
		}
	}
	return s.policy.StartupWait
}

// Tick performs the work that is due by time and returns the notices to send.
func (s *Sync) Tick(now time.Duration) []OutgoingNotice {
	s.now = now
	before := s.Catalog()
	s.merger.Tick(now)
	sends := s.pushSince(before)
	s.expire(now)
	if now-s.lastSeedContact >= s.policy.SeedInterval {
		s.lastSeedContact = now
		sends = append(sends, s.contactSeeds()...)
	}
	sends = append(sends, s.urgentHeartbeats(now)...)
	sends = append(sends, s.catchUp(now)...)
	sends = append(sends, s.announce(now)...)
	sends = append(sends, s.keepalive(now)...)
	return append(sends, s.heartbeats(now)...)
}

// SendUrgentLoads records loads that other entries should learn of without delay.
// It returns heartbeats with them, or leaves them to the next Tick if such
// heartbeats were sent just before.
func (s *Sync) SendUrgentLoads(loads []agateload.Load, now time.Duration) []OutgoingNotice {
	s.now = now
	for _, load := range loads {
		s.urgentLoads[load.Token] = load
	}
	return s.urgentHeartbeats(now)
}

// urgentHeartbeats returns heartbeats with the urgent loads, if they are due.
func (s *Sync) urgentHeartbeats(now time.Duration) []OutgoingNotice {
	if len(s.urgentLoads) == 0 || now-s.lastUrgent < s.policy.HeartbeatInterval/2 {
		return nil
	}
	s.lastUrgent = now
	loads := make([]agateload.Load, 0, len(s.urgentLoads))
	for _, token := range slices.Sorted(maps.Keys(s.urgentLoads)) {
		loads = append(loads, s.urgentLoads[token])
	}
	clear(s.urgentLoads)
	return fanOut(s.localTargets(), s.partialHeartbeat(loads))
}

// Receive processes a notice and returns the notices to send in response.
func (s *Sync) Receive(from netip.AddrPort, n agatenotice.Notice, now time.Duration) []OutgoingNotice {
	s.now = now
	switch {
	case from == s.self.Address:
		return nil
	case n.Heartbeat != nil:
		return s.receiveHeartbeat(from, n.Heartbeat, now)
	case n.Query != nil:
		return s.reply(from, n.Query)
	case n.Page != nil:
		s.receivePage(from, n.Page, now)
		s.adoptConfirmation(from)
	case n.Part != nil:
		s.receivePart(n.Part)
		s.adoptConfirmation(from)
	}
	return nil
}

// reply returns the changes that the sender of a query lacks, or nothing if the
// reply budget is used up.
func (s *Sync) reply(to netip.AddrPort, query *agatenotice.Query) []OutgoingNotice {
	catalog := s.Catalog()
	var notices []agatenotice.Notice
	after := query.Position()
	switch {
	case s.restore.leadsFrom(after):
		notices = s.pagesAfterRestore()
	case catalog.Floor().After(after):
		notices = s.snapshotPages(catalog)
	case catalog.Position().After(after):
		notices = s.pagesOf(content{recordsAfter(catalog, after), evacuationsAfter(catalog, after)}, after, catalog.Position())
	}
	notices = append(notices, s.partsSince(query.Stamp())...)
	if len(notices) == 0 || !s.takeReplyBudget(len(notices)) {
		return nil
	}
	return addressTo(to, notices)
}

// recordsAfter returns the records after a position, including those of servers
// that are gone.
func recordsAfter(catalog *agatecatalog.Catalog, after agateposition.Position) []agateinstance.Instance {
	var records []agateinstance.Instance
	for instance := range catalog.All() {
		if instance.Position().After(after) {
			records = append(records, instance)
		}
	}
	return records
}

// evacuationsAfter returns the evacuations after a position, including those that have
// ended.
func evacuationsAfter(catalog *agatecatalog.Catalog, after agateposition.Position) []agateevacuation.Evacuation {
	return slices.DeleteFunc(catalog.Evacuations(), func(e agateevacuation.Evacuation) bool { return !e.Position().After(after) })
}

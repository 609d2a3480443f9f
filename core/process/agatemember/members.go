// Package agatemember maintains the membership of the fleet: which entry
// processes run, and in which state. It derives both from the claims that the
// processes publish about themselves, from suspicions that other processes
// report, and from the platform's list of VMs, which may be out of date.
package agatemember

import (
	"time"

	"agatereach/core/process/agateclaim"
	"agatereach/core/process/agatemessage"
	"agatereach/core/process/agatepeers"
	"agatereach/core/process/agatesuspicion"
	"agatereach/core/version/agatevm"
	"agatereach/core/version/agatevmlist"
)

// Time limits and size limits of the membership.
const (
	// quorum is the number of witnesses required to remove a process.
	quorum = 2
	// refuteTimeout is how long a process has to refute suspicions about it.
	refuteTimeout = 5 * time.Second
	// contactWindow is how long a message received directly from a process
	// overrides all suspicions about it.
	contactWindow = 5 * time.Second
	// suspicionLifetime is how long a suspicion counts unless it is renewed.
	suspicionLifetime = time.Minute
	// maxListLag is how far the platform's list may be out of date.
	maxListLag = 30 * time.Second
	// startCorrectionPeriod is how long after its start a process may move
	// the start time in its claim past that of a former process of its VM.
	startCorrectionPeriod = 30 * time.Second
	// goneRetention is how long the record of a process that is gone is kept.
	goneRetention = time.Minute
	// maxDropped and maxSuccessors limit the number of processes that are gone
	// whose last sequence number and whose successor are kept.
	maxDropped    = 1 << 16
	maxSuccessors = 1 << 16
)

// Members is the membership of the fleet as one process sees it. It is not safe
// for concurrent use.
type Members struct {
	// self is the current claim of this process.
	self agateclaim.Claim
	// startTime is when this process started, by its own clock.
	startTime time.Time
	// records holds the other processes by boot id.
	records map[uint64]*record
	// newestBoots maps the name of a VM to the boot id of its newest process.
	newestBoots map[string]uint64
	// listedVMs holds the VMs on the platform's list by name.
	listedVMs map[string]listedVM
	// listVersion is the version of that list.
	listVersion uint64
	// listReadAt is when the list was read; zero before the first read.
	listReadAt time.Time
	// unreachableCentres holds the data centres that cannot be reached.
	unreachableCentres map[uint16]bool
	// droppedSequences maps the boot ids of processes whose records were
	// dropped to the sequence numbers of their last claims.
	droppedSequences boundedMap[uint32]
	// successors maps the boot id of a process that has ended to that of the
	// process that took over its guard records.
	successors boundedMap[uint64]
	// bucketHashes holds for each bucket the XOR of the hashes of its claims:
	// those of all processes that are not gone, and that of this process.
	bucketHashes [agatemessage.MaxBuckets]uint64
	// pendingClaims and pendingSuspicions have not been sent to peers yet.
	pendingClaims     []agateclaim.Claim
	pendingSuspicions []agatesuspicion.Suspicion
	// peersChanged is whether the set of peers may have changed since the
	// last call of Peers.
	peersChanged bool
}

// record is the state kept about one other process.
type record struct {
	// claim is its newest claim.
	claim agateclaim.Claim
	// state is derived from the claim, the last direct contact, the
	// suspicions and the platform's list; see deriveState.
	state agatepeers.State
	// stateSince is when state last changed, and firstSeen when the first
	// claim of the process was received.
	stateSince, firstSeen time.Time
	// lastContact is when a message was last received directly from the
	// process; zero if there is none or this process suspects it.
	lastContact time.Time
	// suspicions maps the boot id of each witness to the time of its last
	// suspicion of the claim.
	suspicions map[uint64]time.Time
	// firstSuspicion is when the first of the suspicions was received.
	firstSuspicion time.Time
	// inHashes is whether the claim is included in bucketHashes.
	inHashes bool
}

// listedVM is a VM on the platform's list, and when it was first seen there.
type listedVM struct {
	vm          agatevm.VM
	firstListed time.Time
}

// New returns a membership that holds only this process, whose claim is self.
func New(now time.Time, self agateclaim.Claim) *Members {
	m := &Members{
		self:             self,
		startTime:        now,
		records:          make(map[uint64]*record),
		newestBoots:      map[string]uint64{self.VM: self.Boot},
		listedVMs:        make(map[string]listedVM),
		droppedSequences: newBoundedMap[uint32](maxDropped),
		successors:       newBoundedMap[uint64](maxSuccessors),
		peersChanged:     true,
	}
	m.bucketHashes[bucketOf(self.Boot)] ^= hash(&self)
	m.pendingClaims = append(m.pendingClaims, self)
	return m
}

// Self returns the current claim of this process.
func (m *Members) Self() agateclaim.Claim { return m.self }

// SetSelf replaces the claim of this process and queues it for the peers. The
// claim must be derived from Self by one of the With methods of
// agateclaim.Claim, which give it a higher sequence number.
func (m *Members) SetSelf(claim agateclaim.Claim) {
	m.bucketHashes[bucketOf(m.self.Boot)] ^= hash(&m.self)
	m.self = claim
	m.bucketHashes[bucketOf(m.self.Boot)] ^= hash(&m.self)
	m.pendingClaims = append(m.pendingClaims, claim)
	m.recordSuccessor(&claim)
	m.peersChanged = true
}

// Heard records that a message was received directly from the process boot.
// That proves that the process runs, so suspicions about it are dropped.
func (m *Members) Heard(now time.Time, boot uint64) {
	r, found := m.records[boot]
	if !found {
		return
	}
	r.lastContact = now
	if r.state == agatepeers.Suspect || r.state == agatepeers.Gone {
		r.suspicions, r.firstSuspicion = nil, time.Time{}
		m.updateState(now, r)
	}
}

// Introduce processes the claim that a process has sent over its own link.
func (m *Members) Introduce(now time.Time, claim agateclaim.Claim) {
	m.droppedSequences.remove(claim.Boot)
	m.Hear(now, claim)
	m.Heard(now, claim.Boot)
}

// Hear processes a claim that may have been forwarded by other processes.
func (m *Members) Hear(now time.Time, claim agateclaim.Claim) {
	if claim.Boot == m.self.Boot {
		m.supersede(claim.Beat)
		return
	}
	if sequence, found := m.droppedSequences.get(claim.Boot); found && claim.Beat <= sequence {
		m.pendingSuspicions = append(m.pendingSuspicions, agatesuspicion.Suspicion{Boot: claim.Boot, Beat: claim.Beat, Witness: m.self.Boot})
		return
	}
	r, found := m.records[claim.Boot]
	switch {
	case !found:
		r = &record{firstSeen: now}
		m.records[claim.Boot] = r
	case claim.Beat <= r.claim.Beat:
		return
	}
	m.setInHashes(r, false)
	r.claim = claim
	r.suspicions, r.firstSuspicion = nil, time.Time{}
	m.pendingClaims = append(m.pendingClaims, claim)
	m.recordSuccessor(&claim)
	m.updateNewest(now, r)
	m.updateState(now, r)
}

// supersede publishes a new claim of this process if other processes hold one
// with a sequence number higher than its own.
func (m *Members) supersede(sequence uint32) {
	if sequence > m.self.Beat {
		m.SetSelf(m.self.WithSequenceAbove(sequence))
	}
}

// updateNewest determines which process of the VM is the newest. If the former
// process of this VM claims a later start because its clock was ahead, this
// process moves its own start past it during startCorrectionPeriod.
func (m *Members) updateNewest(now time.Time, r *record) {
	name := r.claim.VM
	if name == m.self.VM {
		if r.claim.Start >= m.self.Start && now.Sub(m.startTime) < startCorrectionPeriod {
			m.SetSelf(m.self.WithStartAfter(r.claim.Start))
		}
		return
	}
	former, found := m.records[m.newestBoots[name]]
	if !found || former == r || startedLater(&r.claim, &former.claim) {
		m.newestBoots[name] = r.claim.Boot
	}
	if found && former != r {
		m.updateState(now, former)
	}
}

// startedLater reports whether the process of a is newer than that of b on the
// same VM; the boot id decides between equal start times.
func startedLater(a, b *agateclaim.Claim) bool {
	if a.Start != b.Start {
		return a.Start > b.Start
	}
	return a.Boot > b.Boot
}

// HearSuspicion processes a suspicion that a witness has reported. A suspicion
// about this process is refuted by a claim with a higher sequence number.
func (m *Members) HearSuspicion(now time.Time, suspicion agatesuspicion.Suspicion) {
	if suspicion.Boot == m.self.Boot {
		if suspicion.Beat >= m.self.Beat {
			m.SetSelf(m.self.WithSequenceAbove(suspicion.Beat))
		}
		return
	}
	r, found := m.records[suspicion.Boot]
	if !found || suspicion.Beat < r.claim.Beat || r.claim.State == agatepeers.Gone {
		return
	}
	if _, known := r.suspicions[suspicion.Witness]; !known {
		m.pendingSuspicions = append(m.pendingSuspicions, suspicion)
	}
	if r.suspicions == nil {
		r.suspicions = make(map[uint64]time.Time, quorum)
		r.firstSuspicion = now
	}
	r.suspicions[suspicion.Witness] = now
	m.updateState(now, r)
}

// Suspect records that this process itself receives no messages from the
// process boot.
func (m *Members) Suspect(now time.Time, boot uint64) {
	if r, found := m.records[boot]; found {
		r.lastContact = time.Time{}
		m.HearSuspicion(now, agatesuspicion.Suspicion{Boot: boot, Beat: r.claim.Beat, Witness: m.self.Boot})
	}
}

// Excuse gives suspected processes the time to refute anew, since this process was paused:
// what they have said meanwhile may not have been read.
func (m *Members) Excuse(now time.Time) {
	for _, r := range m.records {
		if r.state != agatepeers.Gone && len(r.suspicions) > 0 {
			r.firstSuspicion = now
		}
	}
}

// SetList replaces the platform's list of VMs. A list whose version is lower
// than that of the current one is ignored.
func (m *Members) SetList(now time.Time, list *agatevmlist.List) {
	if !m.listReadAt.IsZero() && list.Version < m.listVersion {
		return
	}
	former := m.listedVMs
	m.listedVMs = make(map[string]listedVM, len(list.VMs))
	for _, vm := range list.VMs {
		since := now
		if known, found := former[vm.ID]; found {
			since = known.firstListed
		}
		m.listedVMs[vm.ID] = listedVM{vm: vm, firstListed: since}
	}
	m.listVersion = list.Version
	m.listReadAt = now
	m.peersChanged = true
	m.updateAllStates(now)
}

// SetReach sets the data centres that cannot be reached. Their processes are
// not removed for being silent.
func (m *Members) SetReach(now time.Time, unreachable map[uint16]bool) {
	if equalSets(m.unreachableCentres, unreachable) {
		return
	}
	m.unreachableCentres = unreachable
	m.updateAllStates(now)
}

// equalSets reports whether a and b have the same keys.
func equalSets(a, b map[uint16]bool) bool {
	if len(a) != len(b) {
		return false
	}
	for key := range a {
		if !b[key] {
			return false
		}
	}
	return true
}

// Tick applies time limits: it expires suspicions, removes processes that have
// not refuted theirs and drops old records.
func (m *Members) Tick(now time.Time) {
	for boot, r := range m.records {
		r.expireSuspicions(now)
		m.updateState(now, r)
		if r.state == agatepeers.Gone && now.Sub(r.stateSince) > goneRetention {
			m.drop(boot, r)
		}
	}
}

// expireSuspicions deletes suspicions that were not renewed within
// suspicionLifetime. The suspicions that removed a process are kept.
func (r *record) expireSuspicions(now time.Time) {
	if r.state == agatepeers.Gone {
		return
	}
	for witness, at := range r.suspicions {
		if now.Sub(at) > suspicionLifetime {
			delete(r.suspicions, witness)
		}
	}
	if len(r.suspicions) == 0 {
		r.suspicions, r.firstSuspicion = nil, time.Time{}
	}
}

// drop deletes the record of a process that is gone and keeps only the sequence
// number of its last claim, by which old claims are recognized.
func (m *Members) drop(boot uint64, r *record) {
	m.droppedSequences.put(boot, r.claim.Beat)
	delete(m.records, boot)
	if m.newestBoots[r.claim.VM] == boot {
		delete(m.newestBoots, r.claim.VM)
	}
	m.peersChanged = true
}

// recordSuccessor stores the successor that the claim names, if any.
func (m *Members) recordSuccessor(c *agateclaim.Claim) {
	if c.Successor != 0 {
		m.successors.put(c.Boot, c.Successor)
		m.peersChanged = true
	}
}

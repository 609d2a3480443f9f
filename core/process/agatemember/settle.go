package agatemember

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"agatereach/core/process/agateclaim"
	"agatereach/core/process/agatemessage"
	"agatereach/core/process/agatepeers"
	"agatereach/core/version/agatevm"
)

// updateAllStates derives the states of all records anew.
func (m *Members) updateAllStates(now time.Time) {
	for _, r := range m.records {
		m.updateState(now, r)
	}
}

// updateState derives the record's state anew and updates what depends on it.
func (m *Members) updateState(now time.Time, r *record) {
	state := m.deriveState(now, r)
	if state != r.state {
		r.state = state
		r.stateSince = now
		m.peersChanged = true
	}
	m.setInHashes(r, state != agatepeers.Gone)
}

// deriveState returns the record's state. The end that the process itself
// claims, or a newer process on its VM, takes precedence; then direct contact
// with this process; then the reachability of its data centre; and last the
// suspicions and the platform's list. A process is removed only if it is
// suspected, quorum witnesses agree, where absence from the list counts as a
// witness, and refuteTimeout has passed.
func (m *Members) deriveState(now time.Time, r *record) agatepeers.State {
	switch {
	case r.claim.State == agatepeers.Gone || m.superseded(&r.claim):
		return agatepeers.Gone
	case !r.lastContact.IsZero() && now.Sub(r.lastContact) < contactWindow:
		return r.claim.State
	case m.unreachableCentres[r.claim.Centre]:
		return agatepeers.Suspect
	}
	witnesses := m.countWitnesses(r)
	if m.missingFromList(r) {
		witnesses++
	}
	_, own := r.suspicions[m.self.Boot]
	switch {
	case len(r.suspicions) > 0 && witnesses >= quorum && now.Sub(r.firstSuspicion) >= refuteTimeout:
		return agatepeers.Gone
	case own || witnesses >= quorum:
		return agatepeers.Suspect
	case m.listedVMs[r.claim.VM].vm.State == agatevm.Leaving:
		return agatepeers.Leaving
	}
	return r.claim.State
}

// superseded reports whether a newer process runs on the same VM.
func (m *Members) superseded(c *agateclaim.Claim) bool {
	if c.VM == m.self.VM {
		return startedLater(&m.self, c)
	}
	return m.newestBoots[c.VM] != c.Boot
}

// countWitnesses returns the number of processes that suspect the record's
// process and are not gone themselves. Witnesses that are not known don't count.
func (m *Members) countWitnesses(r *record) int {
	count := 0
	for witness := range r.suspicions {
		w, found := m.records[witness]
		if witness == m.self.Boot || found && w.state != agatepeers.Gone {
			count++
		}
	}
	return count
}

// missingFromList reports whether the record's VM is missing from the
// platform's list although it was known for more than maxListLag when the list
// was read.
func (m *Members) missingFromList(r *record) bool {
	if _, found := m.listedVMs[r.claim.VM]; found {
		return false
	}
	return m.listReadAt.Sub(r.firstSeen) > maxListLag
}

// setInHashes includes the record's claim in bucketHashes or removes it.
func (m *Members) setInHashes(r *record, inHashes bool) {
	if r.inHashes != inHashes {
		r.inHashes = inHashes
		m.bucketHashes[bucketOf(r.claim.Boot)] ^= hash(&r.claim)
	}
}

// Hashes returns the hash of each bucket of claims.
func (m *Members) Hashes() []uint64 {
	hashes := m.bucketHashes
	return hashes[:]
}

// Digest returns one hash over the claims in all buckets.
func (m *Members) Digest() uint64 {
	digest := uint64(0)
	for _, h := range m.bucketHashes {
		digest ^= h
	}
	return digest
}

// bucketOf returns the index of the bucket of a boot id. Boot ids are random, so
// they spread evenly.
func bucketOf(boot uint64) int { return int((boot >> 8) % agatemessage.MaxBuckets) }

// hash returns a hash of the boot id and the sequence number, which identify a
// claim.
func hash(c *agateclaim.Claim) uint64 {
	var b [12]byte
	binary.BigEndian.PutUint64(b[:], c.Boot)
	binary.BigEndian.PutUint32(b[8:], c.Beat)
	return xxhash.Sum64(b[:])
}

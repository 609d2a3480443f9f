package agatemember

import (
	"net/netip"
	"slices"
	"time"

	"agatereach/core/process/agateclaim"
	"agatereach/core/process/agategraph"
	"agatereach/core/process/agatepeers"
	"agatereach/core/process/agatesuspicion"
	"agatereach/core/version/agatevm"
)

// News returns the claims and suspicions that are new since the last call, to be
// sent to the peers.
func (m *Members) News() ([]agateclaim.Claim, []agatesuspicion.Suspicion) {
	claims, suspicions := m.pendingClaims, m.pendingSuspicions
	m.pendingClaims, m.pendingSuspicions = nil, nil
	return claims, suspicions
}

// Known discards pending claims and suspicions that came from other processes,
// because the peers hold them already. Claims of this process stay pending.
func (m *Members) Known() {
	m.pendingClaims = slices.DeleteFunc(m.pendingClaims, func(c agateclaim.Claim) bool { return c.Boot != m.self.Boot })
	m.pendingSuspicions = nil
}

// Changed reports whether the set of peers may have changed since the last call
// of Peers.
func (m *Members) Changed() bool { return m.peersChanged }

// Peers returns the set of entry processes for the packet path, this one
// included.
func (m *Members) Peers(now time.Time) *agatepeers.Peers {
	m.peersChanged = false
	peers := make([]agatepeers.Peer, 0, len(m.records)+len(m.listedVMs)+1)
	peers = append(peers, newPeer(&m.self, m.self.State))
	for _, r := range m.records {
		peers = append(peers, newPeer(&r.claim, r.state))
	}
	for name, l := range m.listedVMs {
		if _, found := m.newestBoots[name]; !found {
			peers = append(peers, m.peerFromList(now, l))
		}
	}
	return agatepeers.New(peers, m.successors.clone())
}

func newPeer(c *agateclaim.Claim, state agatepeers.State) agatepeers.Peer {
	return agatepeers.Peer{VM: c.VM, Centre: c.Centre, Boot: c.Boot, Relay: c.Relay, State: state}
}

// peerFromList returns the peer on a listed VM whose process is not known. It
// is suspect if it is still unknown maxListLag after it was first listed.
func (m *Members) peerFromList(now time.Time, l listedVM) agatepeers.Peer {
	state := agatepeers.Live
	switch {
	case l.vm.State == agatevm.Leaving:
		state = agatepeers.Leaving
	case now.Sub(l.firstListed) > maxListLag:
		state = agatepeers.Suspect
	}
	return agatepeers.Peer{VM: l.vm.ID, Centre: l.vm.Centre, Relay: l.vm.Relay, State: state}
}

// Claims returns the claims in the buckets whose hashes differ from the given
// ones, and the suspicions about their processes.
func (m *Members) Claims(hashes []uint64) ([]agateclaim.Claim, []agatesuspicion.Suspicion) {
	var claims []agateclaim.Claim
	var suspicions []agatesuspicion.Suspicion
	if m.bucketHashes[bucketOf(m.self.Boot)] != hashes[bucketOf(m.self.Boot)] {
		claims = append(claims, m.self)
	}
	for boot, r := range m.records {
		if m.bucketHashes[bucketOf(boot)] == hashes[bucketOf(boot)] {
			continue
		}
		claims = append(claims, r.claim)
		for witness := range r.suspicions {
			suspicions = append(suspicions, agatesuspicion.Suspicion{Boot: boot, Beat: r.claim.Beat, Witness: witness})
		}
	}
	return claims, suspicions
}

// State returns the state of the process boot and whether it is known.
func (m *Members) State(boot uint64) (agatepeers.State, bool) {
	r, found := m.records[boot]
	if !found {
		return "", false
	}
	return r.state, true
}

// Nodes returns the VMs that this process may open links to: those on the
// platform's list and those whose newest process is live or suspect, without
// those that are leaving and its own.
func (m *Members) Nodes() []agategraph.Node {
	nodes := make([]agategraph.Node, 0, len(m.records)+len(m.listedVMs))
	for name, l := range m.listedVMs {
		if m.linkable(name, l.vm.State) {
			nodes = append(nodes, agategraph.Node{Name: name, Centre: l.vm.Centre})
		}
	}
	for name, boot := range m.newestBoots {
		if _, found := m.listedVMs[name]; found || name == m.self.VM {
			continue
		}
		if r := m.records[boot]; r.state == agatepeers.Live || r.state == agatepeers.Suspect {
			nodes = append(nodes, agategraph.Node{Name: name, Centre: r.claim.Centre})
		}
	}
	return nodes
}

// linkable reports whether links may go to the VM, whose state on the platform's
// list is listed.
func (m *Members) linkable(name string, listed agatevm.State) bool {
	if name == m.self.VM || listed == agatevm.Leaving {
		return false
	}
	r, found := m.records[m.newestBoots[name]]
	return !found || r.claim.State != agatepeers.Leaving
}

// Link returns the address at which the newest process of a VM accepts links,
// and whether it is known.
func (m *Members) Link(name string) (netip.AddrPort, bool) {
	if r, found := m.records[m.newestBoots[name]]; found {
		return r.claim.Link, true
	}
	l, found := m.listedVMs[name]
	return l.vm.Link, found
}

// Live returns the names of the VMs of this process's data centre whose process
// is live, and of those that were listed so recently that their process may not
// be known yet.
func (m *Members) Live(now time.Time) []string {
	names := []string{}
	for _, r := range m.records {
		if r.claim.Centre == m.self.Centre && r.state == agatepeers.Live {
			names = append(names, r.claim.VM)
		}
	}
	for name, l := range m.listedVMs {
		_, found := m.newestBoots[name]
		if !found && l.vm.Centre == m.self.Centre && m.peerFromList(now, l).State == agatepeers.Live {
			names = append(names, name)
		}
	}
	return names
}

// Size returns the number of known entries of the fleet and of data centres that
// have entries.
func (m *Members) Size() (entries, centres int) {
	seen := map[uint16]bool{m.self.Centre: true}
	names := map[string]bool{m.self.VM: true}
	for name, l := range m.listedVMs {
		names[name], seen[l.vm.Centre] = true, true
	}
	for _, r := range m.records {
		if r.state != agatepeers.Gone {
			names[r.claim.VM], seen[r.claim.Centre] = true, true
		}
	}
	return len(names), len(seen)
}

// Count returns the number of processes that are known, this one included.
func (m *Members) Count() int { return len(m.records) + 1 }

// Listed returns the number of VMs on the platform's list and its version.
func (m *Members) Listed() (count int, version uint64) { return len(m.listedVMs), m.listVersion }

package agatesync

import (
	"net/netip"
	"time"

	"agatereach/core/process/agatenotice"
	"agatereach/core/request/agateload"
)

// contactSeeds returns heartbeats to the seeds that are not yet live peers.
func (s *Sync) contactSeeds() []OutgoingNotice {
	var sends []OutgoingNotice
	for _, seed := range s.seeds {
		p := s.peers[seed]
		if seed == s.self.Address || p != nil && p.live() {
			continue
		}
		sends = append(sends, OutgoingNotice{To: seed, Notice: s.introduction(true, "")})
	}
	return sends
}

// heartbeatInterval returns the time between two rounds of heartbeats.
func (s *Sync) heartbeatInterval() time.Duration {
	bytes := s.heartbeatSize * min(s.localCount, s.policy.PeersPerRound)
	spread := time.Duration(bytes) * time.Second / time.Duration(s.policy.HeartbeatRate)
	return min(max(s.policy.HeartbeatInterval, spread), s.policy.PeerExpiry/4)
}

// cycleTime returns the approximate time in which the rounds of heartbeats reach
// each peer of the data centre once.
func (s *Sync) cycleTime() time.Duration {
	rounds := (s.localCount + s.policy.PeersPerRound - 1) / s.policy.PeersPerRound
	return s.heartbeatInterval() * time.Duration(max(rounds, 1))
}

// nextRound returns the peers of the data centre that get heartbeats in this round.
// With more than PeersPerRound peers, the rounds reach all of them in turn.
func (s *Sync) nextRound() []*peer {
	peers := s.localPeers()
	s.localCount = len(peers)
	if len(peers) <= s.policy.PeersPerRound {
		return peers
	}
	round := make([]*peer, s.policy.PeersPerRound)
	for i := range round {
		round[i] = peers[(s.nextTurn+i)%len(peers)]
	}
	s.nextTurn = (s.nextTurn + len(round)) % len(peers)
	return round
}

// heartbeats returns the heartbeats that are due.
func (s *Sync) heartbeats(now time.Duration) []OutgoingNotice {
	var sends []OutgoingNotice
	if now-s.lastHeartbeat >= s.heartbeatInterval() {
		s.lastHeartbeat = now
		sends = fanOut(s.nextRound(), s.fullHeartbeat())
	}
	if period := s.remoteHeartbeatInterval(); now-s.lastRemoteHeartbeat >= period {
		// The jitter spreads the heartbeats of entries that were started together.
		s.lastRemoteHeartbeat = now + time.Duration((s.random()-0.5)*float64(period))
		sends = append(sends, s.remoteHeartbeats(now)...)
	}
	return sends
}

// remoteHeartbeatInterval returns the time between two heartbeats to other data
// centres. It grows with the number of entries of the data centre, which share
// these heartbeats.
func (s *Sync) remoteHeartbeatInterval() time.Duration {
	shared := s.policy.RemoteCentreInterval * time.Duration(s.localCount+1)
	return max(s.policy.RemoteHeartbeatInterval, s.heartbeatInterval(), min(shared, s.policy.RemotePeerExpiry/4))
}

// remoteHeartbeats returns heartbeats to other data centres. They carry loads as
// often as RemoteLoadRate allows.
func (s *Sync) remoteHeartbeats(now time.Duration) []OutgoingNotice {
	peers := s.remoteTargets()
	if len(peers) == 0 {
		return nil
	}
	full := s.fullHeartbeat()
	spread := time.Duration(s.heartbeatSize*len(peers)) * time.Second / time.Duration(s.policy.RemoteLoadRate)
	// In a large data centre, the loads seen by one entry say little about the load
	// of a server.
	spread *= time.Duration(max(1, (s.localCount+1)/s.policy.RemoteLoadEntries))
	if now-s.lastRemoteLoads < spread {
		return fanOut(peers, s.partialHeartbeat(nil))
	}
	s.lastRemoteLoads = now
	return fanOut(peers, full)
}

// fanOut addresses one notice to each of the peers.
func fanOut(peers []*peer, notice agatenotice.Notice) []OutgoingNotice {
	sends := make([]OutgoingNotice, len(peers))
	for i, p := range peers {
		sends[i] = OutgoingNotice{To: p.address, Notice: notice}
	}
	return sends
}

// partialHeartbeat returns a heartbeat with only the given loads.
func (s *Sync) partialHeartbeat(loads []agateload.Load) agatenotice.Notice {
	notice := s.fullHeartbeat()
	notice.Heartbeat.Loads, notice.Heartbeat.Partial = loads, true
	return notice
}

// Approximate encoded sizes in bytes, from which heartbeat intervals are computed.
const (
	heartbeatBaseSize = 100
	loadSize          = 12
	// speedSize is the size of a server's speed and its weight in a load.
	speedSize = 6
)

// fullHeartbeat returns a heartbeat with all loads of this entry.
func (s *Sync) fullHeartbeat() agatenotice.Notice {
	catalog := s.Catalog()
	stamp := catalog.Stamp()
	b := &agatenotice.Heartbeat{
		Name: s.self.Name, Centre: s.self.Centre, Boot: s.self.Boot,
		Version: stamp.Version, ConfigEra: stamp.Written.Era, ConfigRevision: stamp.Written.Revision,
		Era: catalog.Position().Era, Revision: catalog.Revision(), Digest: catalog.Digest(),
		ConfirmedAge: s.confirmedAge(), Failing: s.storeFailing, Leaving: s.leaving, Loads: s.loads,
	}
	s.heartbeatSize = heartbeatBaseSize + loadSize*len(s.loads)
	for i := range s.loads {
		if s.loads[i].SpeedWeight > 0 {
			s.heartbeatSize += speedSize
		}
	}
	return agatenotice.Notice{Heartbeat: b}
}

// introduction returns a heartbeat without loads for an entry of the given data
// centre. It names some entries of that data centre and a few of others, or none if
// the data centre is not known. If answer is set, it asks for a heartbeat in
// return.
func (s *Sync) introduction(answer bool, centre string) agatenotice.Notice {
	notice := s.partialHeartbeat(nil)
	notice.Heartbeat.WantReply = answer
	if centre != "" {
		notice.Heartbeat.Peers = s.liveAddresses(introducedPeers, func(p *peer) bool { return p.centre == centre })
		notice.Heartbeat.RemotePeers = s.liveAddresses(introducedRemote, func(p *peer) bool { return p.centre != centre })
	}
	return notice
}

// confirmedAge returns how long ago the catalog was known to be the newest, in ms;
// 0 if it never was.
func (s *Sync) confirmedAge() uint32 {
	if s.confirmedAt == 0 {
		return 0
	}
	return agateload.EncodeAge(s.now - s.confirmedAt)
}

// liveAddresses returns the addresses of up to limit live peers that are not leaving
// and for which fits reports true, starting at a random position.
func (s *Sync) liveAddresses(limit int, fits func(*peer) bool) []netip.AddrPort {
	peers := s.sortedPeers()
	first := int(s.random() * float64(len(peers)))
	addresses := make([]netip.AddrPort, 0, limit)
	for i := range peers {
		p := peers[(first+i)%len(peers)]
		if len(addresses) < limit && p.live() && !p.leaving && fits(p) {
			addresses = append(addresses, p.address)
		}
	}
	return addresses
}

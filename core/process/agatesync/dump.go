package agatesync

import (
	"time"

	"agatereach/core/process/agatedump"
)

// Dump returns the state of the Sync for a dump.
func (s *Sync) Dump(now time.Duration) agatedump.Dump {
	catalog := s.Catalog()
	d := agatedump.Dump{
		VM: s.self.Name, Centre: s.self.Centre, Boot: s.self.Boot,
		Version: catalog.Version(), Revision: catalog.Revision(),
		Age: agatedump.Since(s.confirmedAt, now), Reading: s.Due(now) != None, Failing: s.storeFailing,
		Peers: make([]agatedump.Peer, 0, len(s.peers)),
	}
	for _, p := range s.sortedPeers() {
		d.Peers = append(d.Peers, agatedump.Peer{
			Name: p.name, Centre: p.centre, Address: p.address,
			Heard: agatedump.Since(p.lastHeard, now), Failing: p.storeFailing,
		})
	}
	return d
}

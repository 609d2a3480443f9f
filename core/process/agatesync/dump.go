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
		Version: catalog.Version(), Era: catalog.Position().Era, Revision: catalog.Revision(),
		Age: agatedump.Since(s.confirmedAt, now), ReadsStore: s.ReadDuty(now) != None, StoreFailing: s.storeFailing,
		Peers: make([]agatedump.Peer, 0, len(s.peers)), Evacuated: []agatedump.Evacuation{},
	}
	for _, e := range catalog.Evacuations() {
		if e.Active {
			d.Evacuated = append(d.Evacuated, agatedump.Evacuation{Centre: e.Centre, Era: e.Era, Revision: e.Revision})
		}
	}
	for _, p := range s.sortedPeers() {
		d.Peers = append(d.Peers, agatedump.Peer{
			Name: p.name, Centre: p.centre, Address: p.address,
			SinceHeartbeat: agatedump.Since(p.lastHeard, now), StoreFailing: p.storeFailing, Leaving: p.leaving,
		})
	}
	return d
}

package agatesteer

import (
	"time"

	"agatereach/core/process/agatedump"
)

// Dump adds the steerer's state to a dump.
func (s *Steerer) Dump(d *agatedump.Dump, now time.Duration) {
	d.Flows = s.flows.Len()
	d.Servers = make([]agatedump.Server, 0, len(s.servers))
	for _, instance := range s.catalog.Instances() {
		if known := s.servers[instance.Key]; known != nil {
			d.Servers = append(d.Servers, s.dumpServer(known, now))
		}
	}
}

func (s *Steerer) dumpServer(known *server, now time.Duration) agatedump.Server {
	return agatedump.Server{
		ID: known.instance.ID, StartTime: known.instance.StartTime, Service: known.instance.Service,
		Address: known.instance.Address.AddrPort(), Centre: known.instance.Centre, State: known.instance.State,
		Pending: len(known.pendingFlows) + len(known.handshakes), Open: known.openFlows, OtherRequests: known.peerLoad.pending,
		Silent:       s.centreUnreachable(known) || known.silence.Suspected(s.policy.Silence),
		FailureShare: known.totalFailureEvidence().FailureProbability(s.policy.Answers),
		Speed:        known.speed.factor(), SpeedWeight: known.speed.mergedWeight(),
		UnansweredFlows: known.silence.TotalEvidence().Flows, SinceLastSign: agatedump.Since(known.silence.LastAnswer(), now),
	}
}

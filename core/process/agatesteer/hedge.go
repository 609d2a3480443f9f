package agatesteer

import (
	"slices"
	"time"

	"agatereach/core/process/agatehedge"
	"agatereach/core/request/agatesegment"
)

// maxUnseen is the largest number of bytes between two acknowledgements of one flow that an
// entry sees in turn, in either order. Sequence numbers of two servers are further apart in
// all but one of 2,000 flows.
const maxUnseen = 1 << 20

// sinceFlow returns the time since this entry's last flow at a server that was answered; 0 if
// it has one under way.
func (s *Steerer) sinceFlow(srv *server, now time.Duration) time.Duration {
	if !s.hedge.Enabled() || srv.openFlows > 0 || len(srv.handshakes) > 0 {
		return 0
	}
	return now - srv.exchangeSince
}

// offerSecond returns the second server for a SYN of a repeatable route whose first server
// may not answer soon, or nil if there is none, no doubt, no room, or the limit is used up.
func (s *Steerer) offerSecond(f *flow, chosen *server, sinceFlow time.Duration, isCopy bool, service string, now time.Duration) *Offer {
	if !isCopy {
		s.hedge.Count(now)
	}
	choice := agatehedge.Choice{Suspected: s.silent(chosen), Copied: isCopy, SinceFlow: sinceFlow}
	if !choice.Suspected && !isCopy {
		if sinceFlow <= s.policy.Hedge.MaxAge {
			return nil
		}
		choice.ReportAge = s.oldestReport(now)
	}
	doubt := s.hedge.Doubt(choice, now)
	if doubt == agatehedge.None || s.shortOfRoom(service, now) {
		return nil
	}
	second := s.chooseSecond(chosen, now)
	if second == nil || !f.State.addSYN(second) {
		return nil
	}
	s.hedge.Use(now)
	f.State.offered = true
	s.offer = Offer{Server: second.instance.ID, Address: second.instance.Address.AddrPort(), Token: second.token, Doubt: doubt}
	return &s.offer
}

// shortOfRoom reports whether a service refuses flows for want of room, or did so lately.
func (s *Steerer) shortOfRoom(service string, now time.Duration) bool {
	known := s.services[service]
	return known != nil && (known.admission.Short() || s.lacksRoom(service, now))
}

// chooseSecond returns the second server for the SYN whose candidates chooseServer has just
// gathered, or nil if there is none. It gives no work to servers that are cold, in doubt, or
// have no slot left: that would delay other callers.
func (s *Steerer) chooseSecond(chosen *server, now time.Duration) *server {
	first := slices.Index(s.candidateServers, chosen)
	for i, each := range s.candidateServers {
		c := &s.candidates[i]
		c.Barred = c.Load+1 > c.Capacity || now < each.coldUntil || s.isCold(each, now) || s.silent(each) ||
			each.totalFailureEvidence().IsFailing(s.policy.Answers)
	}
	second := s.policy.Pick.PickSecond(s.candidates, first, s.random)
	if second < 0 {
		return nil
	}
	return s.candidateServers[second]
}

// correctToken decides on a segment of a flow whose SYN was offered to two servers, and
// reports whether it goes to the flow's server although it names another one. The first
// segment after the SYN names the server at which the flow opens. Callers put the last token
// that they received into their segments, so a later one may name the server whose SYN+ACK
// came too late, and that one would reset the flow. Then the segment gets the flow's token.
// That holds too if the named server has restarted and its successor would get the segment.
// A segment that acknowledges something else is that of another flow and stays as it is.
func (s *Steerer) correctToken(f *flow, named, successor *server, segment *agatesegment.Segment) bool {
	o := &f.State
	if o.openToken == 0 || o.server == nil || s.servers[o.named] == nil {
		o.openToken = segment.Token
		return false
	}
	if successor == o.server || !o.receivedSYN(named) || segment.Acknowledged-o.lastAck+maxUnseen > 2*maxUnseen {
		return false
	}
	segment.Token = o.openToken
	return true
}

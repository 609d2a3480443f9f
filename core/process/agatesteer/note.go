package agatesteer

import (
	"time"

	"agatereach/core/connection/agatetrack"
	"agatereach/core/request/agatetuple"
	"agatereach/core/version/agatevip"
)

// note takes what a segment tells into the counts of its flow's server.
func (s *Steerer) note(f *flow, event agatetrack.Event, now time.Duration) {
	on := f.Owner.server
	if on == nil {
		return
	}
	s.active[on] = struct{}{}
	if event.Answered {
		on.silence.Seen(now)
		s.heard(on, now)
	}
	if event.Repeated {
		s.miss(f, event, now)
	}
	s.count(f)
	u := f.Owner.usage
	if u == nil {
		return
	}
	if event.Opened {
		u.flows++
	}
	if event.Requested {
		u.requests++
	}
	if event.Responded {
		s.judge(on, u, event.Size)
	}
}

// judge takes the size of an answer into the evidence on its server. What is usual
// is learnt from servers that are not held to fail.
func (s *Steerer) judge(on *server, u *usage, size uint32) {
	p := s.policy.Answers
	held := on.evidence().Held(p)
	on.failing = on.failing.Add(u.usual.Judge(size, p), p)
	if !held {
		u.usual.Learn(size, p)
	}
}

// firmRepeats is the number of segments of a flow sent again from which on it is
// firm evidence against its server.
const firmRepeats = 2

// miss notes a segment that was sent again. A SYN that went to several servers
// speaks against the last one only. It is no evidence before the server has had
// the time for an answer since the segment was passed on: after a pause copies
// arrive together, and segments may overtake each other.
func (s *Steerer) miss(f *flow, event agatetrack.Event, now time.Duration) {
	if now < s.blind || now-event.Since < s.policy.Repeat {
		f.Repeats = 0
		return
	}
	firm := f.Phase == agatetrack.Opening || f.Repeats >= firmRepeats
	on := f.Owner.server
	before := on.silence.Own()
	on.silence.Missed(f.Tuple.Hash(), event.Since, now, firm)
	after := on.silence.Own()
	s.urgent = s.urgent || after.Flows <= s.policy.Silence.Confirm && (after.Flows > before.Flows || after.Firm > before.Firm)
}

// TakeUrgent reports whether there is news since the last call that other
// entries should know at once: a server that has left a flow without an answer.
func (s *Steerer) TakeUrgent() bool {
	urgent := s.urgent
	s.urgent = false
	return urgent
}

// assign gives a flow to a server, or to none.
func (s *Steerer) assign(f *flow, to *server) {
	s.uncount(f)
	f.Owner.server = to
	if to != nil {
		s.active[to] = struct{}{}
	}
	s.count(f)
}

// heard notes that a server of a data centre has shown life.
func (s *Steerer) heard(on *server, at time.Duration) {
	if on.instance.Centre != s.centre {
		c := s.centreOf(on)
		c.heard = max(c.heard, at)
	}
}

// count brings the counts of a flow's server up to date with the flow.
func (s *Steerer) count(f *flow) {
	on := f.Owner.server
	if on == nil {
		return
	}
	if f.Owner.counted != f.Phase {
		s.leave(f)
		s.enterPhase(f)
	}
	_, counted := on.waiting[f]
	waits := f.Waiting && f.Phase == agatetrack.Open
	if waits == counted {
		return
	}
	if waits {
		on.waiting = with(on.waiting, f)
	} else {
		delete(on.waiting, f)
	}
	s.countUsage(f, 0, delta(waits))
}

// with returns a set with a flow added. Most servers never have one.
func with(set map[*flow]struct{}, f *flow) map[*flow]struct{} {
	if set == nil {
		set = make(map[*flow]struct{})
	}
	set[f] = struct{}{}
	return set
}

// delta returns 1 or -1.
func delta(more bool) int {
	if more {
		return 1
	}
	return -1
}

// countUsage changes the counts of the flow's virtual address.
func (s *Steerer) countUsage(f *flow, open, waiting int) {
	if u := f.Owner.usage; u != nil {
		u.open += open
		u.waiting += waiting
	}
}

// enterPhase counts a flow in its phase.
func (s *Steerer) enterPhase(f *flow) {
	f.Owner.counted = f.Phase
	switch f.Phase {
	case agatetrack.Opening:
		f.Owner.server.opening = with(f.Owner.server.opening, f)
	case agatetrack.Open:
		f.Owner.server.open++
		s.countUsage(f, 1, 0)
	}
}

// leave takes a flow out of the phase that it is counted in.
func (s *Steerer) leave(f *flow) {
	switch f.Owner.counted {
	case agatetrack.Opening:
		delete(f.Owner.server.opening, f)
	case agatetrack.Open:
		f.Owner.server.open--
		s.countUsage(f, -1, 0)
	}
	f.Owner.counted = ""
}

// uncount takes a flow out of all counts.
func (s *Steerer) uncount(f *flow) {
	on := f.Owner.server
	if on == nil {
		return
	}
	if _, counted := on.waiting[f]; counted {
		delete(on.waiting, f)
		s.countUsage(f, 0, -1)
	}
	s.leave(f)
}

// release takes a flow that is no longer followed out of all counts.
func (s *Steerer) release(f *flow) { s.uncount(f) }

// usage returns what was learnt of the virtual address of a flow, nil if the
// configuration does not name it.
func (s *Steerer) usage(flow agatetuple.Tuple) *usage {
	vip, ok := s.catalog.VIP(flow.Service())
	if !ok {
		return nil
	}
	return s.usageOf(vip)
}

// usageOf returns what was learnt of a virtual address.
func (s *Steerer) usageOf(vip agatevip.VIP) *usage {
	known, ok := s.usages[vip.Name]
	if !ok {
		known = &usage{}
		s.usages[vip.Name] = known
	}
	return known
}

// Lagged notes that the entry is late with its packets, so that callers repeat
// themselves for its own fault and signs of life still wait to be read.
func (s *Steerer) Lagged(now time.Duration) { s.blind = now + s.policy.Blind }

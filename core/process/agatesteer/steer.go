// Package agatesteer decides where a caller's segments go when the backend
// servers answer the callers themselves: new flows by load, others by the token
// that they carry. It sees only what callers send, owns all that an entry
// infers from it, and does no I/O.
package agatesteer

import (
	"slices"
	"time"

	"agatereach/core/connection/agatetrack"
	"agatereach/core/process/agatepick"
	"agatereach/core/request/agatesegment"
	"agatereach/core/request/agatetuple"
	"agatereach/core/version/agatecatalog"
	"agatereach/core/version/agateinstance"
	"agatereach/core/version/agatevip"
)

// Steerer decides for one entry. It is used by one goroutine. All times are
// on one monotonic clock that starts above 0.
type Steerer struct {
	policy Policy
	// centre names the entry's data centre.
	centre string
	random func() float64
	// catalog is the newest one, and confirmed when it was last known to be
	// the newest of all.
	catalog   *agatecatalog.Catalog
	confirmed time.Duration
	// flows are the flows seen lately.
	flows *agatetrack.Table[owner]
	// servers are all incarnations of the catalog.
	servers map[agateinstance.Key]*server
	// active are the servers of which there is more to know than their record.
	active map[*server]struct{}
	// services are the servers by service that take new flows.
	services map[string][]*server
	// statements are the last words of other entries, by their names.
	statements map[string]statement
	// centres are the other data centres by name.
	centres map[string]*centreState
	// usages are what was learnt of virtual addresses, by name.
	usages map[string]*usage
	// blind is until when repeated segments are no evidence.
	blind time.Duration
	// urgent says that there is news for other entries.
	urgent bool
	// candidates and offered are reused from choice to choice.
	candidates []agatepick.Candidate
	offered    []*server
}

// New returns a steerer of an entry in the named data centre. random returns
// numbers in [0, 1).
func New(policy Policy, centre string, random func() float64) *Steerer {
	s := &Steerer{
		policy:     policy,
		centre:     centre,
		random:     random,
		catalog:    &agatecatalog.Catalog{},
		servers:    make(map[agateinstance.Key]*server),
		active:     make(map[*server]struct{}),
		services:   make(map[string][]*server),
		usages:     make(map[string]*usage),
		statements: make(map[string]statement),
		centres:    make(map[string]*centreState),
	}
	s.flows = agatetrack.New(policy.Flows, policy.Window, s.release)
	return s
}

// Flows returns the number of flows that are followed.
func (s *Steerer) Flows() int { return s.flows.Len() }

// Update takes over a newer catalog.
func (s *Steerer) Update(catalog *agatecatalog.Catalog, now time.Duration) {
	if catalog == s.catalog {
		return
	}
	changed := catalog.Changed(s.catalog)
	s.catalog = catalog
	for _, key := range changed {
		if instance, held := catalog.Instance(key); held {
			s.enter(instance, now)
			continue
		}
		if each := s.servers[key]; each != nil {
			s.forget(key, each)
		}
	}
}

// Confirm notes that the catalog was the newest at the given time.
func (s *Steerer) Confirm(at time.Duration) { s.confirmed = max(s.confirmed, at) }

// enter takes over the record of an incarnation.
func (s *Steerer) enter(instance agateinstance.Instance, now time.Duration) {
	known, ok := s.servers[instance.Key]
	if !ok {
		known = &server{}
		s.servers[instance.Key] = known
	}
	if instance.Revision != known.instance.Revision {
		known.warm = now + instance.Cold
	}
	s.unlist(known)
	known.instance = instance
	known.token, _ = s.catalog.Token(instance.Key)
	if instance.State == agateinstance.Ready && known.token != 0 {
		s.services[instance.Service] = append(s.services[instance.Service], known)
	}
}

// unlist takes a server off those that its service gives new flows to.
func (s *Steerer) unlist(known *server) {
	service := known.instance.Service
	s.services[service] = slices.DeleteFunc(s.services[service], func(o *server) bool { return o == known })
}

// forget drops a server that the catalog no longer holds.
func (s *Steerer) forget(key agateinstance.Key, gone *server) {
	delete(s.servers, key)
	delete(s.active, gone)
	s.unlist(gone)
	s.flows.Each(func(f *flow) {
		if f.Owner.server == gone {
			s.assign(f, nil)
		}
	})
}

// Handle decides on a segment.
func (s *Steerer) Handle(segment agatesegment.Segment, now time.Duration) Verdict {
	v := s.decide(segment, now)
	v.Flow = segment.Flow
	if v.Reason != Held {
		s.explain(&v, now)
	}
	return v
}

// explain adds to a verdict what it was decided by.
func (s *Steerer) explain(v *Verdict, now time.Duration) {
	e := &v.Evidence
	e.Version, e.Revision = s.catalog.Version(), s.catalog.Revision()
	e.Age = now - s.confirmed
	if v.on == nil {
		return
	}
	v.Server, v.Address = v.on.instance.ID, v.on.instance.Address
	e.Missed = v.on.silence.Missing().Flows
	if heard := v.on.silence.LastHeard(); heard > 0 {
		e.Heard = now - heard
	}
	if v.Reason != Placed && v.Reason != Moved {
		return
	}
	e.Candidates = len(s.candidates)
	for i, c := range s.candidates {
		if c.Silent {
			e.Silent++
		}
		if s.offered[i] == v.on {
			e.Load, e.Capacity = c.Load, c.Capacity
		}
	}
}

func (s *Steerer) decide(segment agatesegment.Segment, now time.Duration) Verdict {
	switch {
	case segment.Opens():
		return s.open(segment, now)
	case segment.Token == 0:
		return Verdict{Action: Drop, Reason: Stray}
	}
	instance, found := s.find(segment)
	switch found {
	case agatecatalog.Unknown:
		return Verdict{Action: Drop, Reason: Foreign}
	case agatecatalog.Ambiguous:
		return Verdict{Action: Drop, Reason: Collision}
	}
	return s.continued(segment, instance, now)
}

// find returns the incarnation that a segment's token names. Where two share
// the token, a flow that is followed tells them apart.
func (s *Steerer) find(segment agatesegment.Segment) (agateinstance.Instance, agatecatalog.Lookup) {
	instance, found := s.catalog.Find(segment.Token)
	if found != agatecatalog.Ambiguous {
		return instance, found
	}
	f := s.flows.Find(segment.Flow)
	if f == nil || f.Owner.server == nil || !f.Owner.server.instance.Has(segment.Token) {
		return instance, found
	}
	return f.Owner.server.instance, agatecatalog.Found
}

// continued decides on a segment of a flow that has its server.
func (s *Steerer) continued(segment agatesegment.Segment, instance agateinstance.Instance, now time.Duration) Verdict {
	known := s.servers[instance.Key]
	if s.stale(segment, known) {
		return Verdict{Action: Drop, Reason: Stale, on: known}
	}
	f, event, _ := s.flows.Observe(segment, now)
	f.Owner.acknowledged = segment.Acknowledged
	if f.Owner.usage == nil {
		f.Owner.usage = s.usage(segment.Flow)
	}
	if f.Owner.server != known {
		s.assign(f, known)
	}
	s.note(f, event, now)
	if instance.State == agateinstance.Gone && s.lost(known, f, event, now) {
		return s.reset(f, Ended)
	}
	if waitsInVain(f) && s.dead(known, now) && s.idempotent(f) {
		return s.reset(f, Silent)
	}
	return s.forward(known, segment.Token, Held)
}

// stale reports whether a segment is a late copy from an earlier flow of the same
// addresses and ports: its server is gone, and this entry has placed the present
// flow at others.
func (s *Steerer) stale(segment agatesegment.Segment, on *server) bool {
	if on.instance.State != agateinstance.Gone {
		return false
	}
	f := s.flows.Find(segment.Flow)
	return f != nil && f.Owner.triedCount > 0 && !f.Owner.hasTried(on) && f.Owner.server != on
}

// waitsInVain reports whether a flow's caller has repeated itself here without an
// answer. Of flows that it has not, this entry may have seen a single segment, and
// what it holds of their server may be another's word alone.
func waitsInVain(f *flow) bool { return f.Waiting && f.Repeats > 0 }

// idempotent reports whether the caller of a flow may send its request again.
func (s *Steerer) idempotent(f *flow) bool {
	vip, ok := s.catalog.VIP(f.Tuple.Service())
	return ok && vip.Kind == agatevip.Idempotent
}

// lost reports whether a server that is no longer registered is dead for sure:
// it has been started anew, another has its address, or it does not answer. One
// segment without an answer may have been lost, and a server may serve its flows
// for a while after its registration is gone.
func (s *Steerer) lost(gone *server, f *flow, event agatetrack.Event, now time.Duration) bool {
	if s.catalog.Replaced(gone.instance) {
		return true
	}
	unanswered := event.Repeated && event.Since > gone.silence.LastHeard() && now >= s.blind
	return unanswered && (f.Repeats >= lostRepeats || gone.silence.Suspected(s.policy.Silence))
}

// lostRepeats is the number of segments of a flow sent again from which on a
// server without registration is held to be dead: a live one acknowledges what
// it gets twice.
const lostRepeats = 2

// reset ends a flow towards its caller.
func (s *Steerer) reset(f *flow, reason Reason) Verdict {
	v := Verdict{Action: Reset, Reason: reason, Flow: f.Tuple, Sequence: f.Owner.acknowledged, on: f.Owner.server}
	v.Evidence.Before = f.Owner.before(f.Owner.server)
	s.flows.Remove(f)
	return v
}

// forward passes a segment on to a server.
func (s *Steerer) forward(to *server, token uint32, reason Reason) Verdict {
	return Verdict{
		Action: Forward, Reason: reason,
		Server: to.instance.ID, Address: to.instance.Address, Token: token, on: to,
	}
}

// open decides on a SYN.
func (s *Steerer) open(segment agatesegment.Segment, now time.Duration) Verdict {
	vip, ok := s.catalog.VIP(segment.Flow.Service())
	if !ok {
		return s.refuse(segment, NoRoute, now)
	}
	f, event, _ := s.flows.Observe(segment, now)
	f.Owner.usage = s.usageOf(vip)
	reason := Placed
	if event.Repeated {
		reason = Moved
		s.note(f, event, now)
	} else {
		// The record may be that of an earlier flow.
		f.Owner.triedCount = 0
	}
	chosen := s.choose(f, s.service(vip, segment.Flow), now)
	if chosen == nil {
		s.flows.Remove(f)
		return s.refuse(segment, NoServer, now)
	}
	s.assign(f, chosen)
	if f.Owner.triedCount < len(f.Owner.tried) && !f.Owner.hasTried(chosen) {
		f.Owner.tried[f.Owner.triedCount] = chosen
		f.Owner.triedCount++
	}
	v := s.forward(chosen, chosen.token, reason)
	v.Evidence.Before = f.Owner.before(chosen)
	return v
}

// refuse answers a SYN that has no server: at once if the view is fresh, since
// its copies would not fare better.
func (s *Steerer) refuse(segment agatesegment.Segment, reason Reason, now time.Duration) Verdict {
	if s.confirmed == 0 || now-s.confirmed > s.policy.Fresh {
		return Verdict{Action: Drop, Reason: OldView}
	}
	return Verdict{Action: Reset, Reason: reason, Sequence: segment.Acknowledged}
}

// service returns the service that a flow to the virtual address goes to. The
// copies of a SYN go to the same.
func (s *Steerer) service(vip agatevip.VIP, flow agatetuple.Tuple) string {
	const fractionBits = 53
	return vip.Service(float64(flow.Hash()>>(64-fractionBits)) / (1 << fractionBits))
}

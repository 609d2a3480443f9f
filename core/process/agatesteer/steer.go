// Package agatesteer selects the backend server of each segment that callers
// send, where the servers answer the callers directly: new flows by load,
// existing flows by the token that their segments carry. It sees only the
// callers' side of a flow, holds everything that an entry infers from it, and
// does no I/O.
package agatesteer

import (
	"slices"
	"time"

	"agatereach/core/connection/agatetrack"
	"agatereach/core/process/agatecheck"
	"agatereach/core/process/agatehedge"
	"agatereach/core/process/agatepick"
	"agatereach/core/process/agatesilence"
	"agatereach/core/process/agatespeed"
	"agatereach/core/process/agateusual"
	"agatereach/core/process/agatewarmup"
	"agatereach/core/request/agateaddress"
	"agatereach/core/request/agatesegment"
	"agatereach/core/request/agatetuple"
	"agatereach/core/version/agatecatalog"
	"agatereach/core/version/agateinstance"
	"agatereach/core/version/agatevip"
)

// Steerer decides on segments for one entry. It must be used by one goroutine
// only. All times are readings of one monotonic clock that starts above 0.
type Steerer struct {
	policy Policy
	// centre is the name of the entry's data centre.
	centre string
	random func() float64
	// catalog is the newest catalog received, and confirmedAt is when it was
	// last known to be the newest one in existence.
	catalog     *agatecatalog.Catalog
	confirmedAt time.Duration
	// flows holds the flows seen recently.
	flows *agatetrack.Table[flowState]
	// servers holds every incarnation in the catalog.
	servers map[agateinstance.Key]*server
	// activeServers are the servers with state beyond their registration.
	activeServers map[*server]struct{}
	// readyServers lists, by service, the servers that accept new flows.
	readyServers map[string][]*server
	// readyCounts holds the number of readyServers, by service and data centre.
	readyCounts map[string]map[*location]int
	// readyAddresses counts the readyServers by address.
	readyAddresses map[agateaddress.Address]uint16
	// peerReports holds the last complete load report of each other entry, by
	// the entry's name.
	peerReports map[string]peerReport
	// lastReports holds when each other entry last sent a complete report, also if that
	// has expired since.
	lastReports map[string]time.Duration
	// centres holds the state of the other data centres, by name.
	centres map[string]*centreState
	// locations holds what the catalog says of the data centres of servers, by name.
	locations map[string]*location
	// anyEvacuated is whether any location is evacuated.
	anyEvacuated bool
	// vipStats holds the traffic statistics of virtual addresses, by name.
	vipStats map[string]*vipStats
	// staleSpeeds holds the servers whose speed is to be merged anew. speeds is scratch
	// space of mergeSpeed, and weights of leastToldWeight.
	staleSpeeds map[*server]struct{}
	speeds      []agatespeed.Speed
	weights     []float64
	// localRoundTrip is the usual time of handshakes with servers of the entry's own
	// data centre.
	localRoundTrip agateusual.Time
	// lastTick is when Tick was last called, and lastReporter is the number of the last
	// new reporter.
	lastTick     time.Duration
	lastReporter uint32
	// unanswered holds the flows with an unanswered request that was sent again, by
	// caller.
	unanswered map[agatesilence.Caller][]*flow
	// config is the configuration that services and the limits in vipStats follow, and
	// services holds the services with admission control, by name.
	config   *agatecatalog.Config
	services map[string]*service
	// ignoreRetransmitsUntil is the time until which retransmitted segments don't
	// count as evidence against a server.
	ignoreRetransmitsUntil time.Duration
	// lossyUntil is the time until which retransmitted segments count as lost on
	// their way, since a server that other callers reach has left some unanswered.
	lossyUntil time.Duration
	// laggedAt is when the entry was last behind with its packets.
	laggedAt time.Duration
	// checks holds the checks under way, endedChecks those that TakeChecks returns next, at
	// most maxLoggedChecks, and downServers the servers whose flows TakeResets returns next.
	checks      *agatecheck.Checks
	endedChecks []Check
	downServers []*server
	// listening holds the services of which a server has accepted a connection, and when one
	// last did.
	listening map[string]time.Duration
	// urgentNews is whether there is evidence to send to other entries at once.
	urgentNews bool
	// candidates and candidateServers are scratch space of chooseServer, index
	// by index.
	candidates       []agatepick.Candidate
	candidateServers []*server
	// warmup decides on new flows of cold servers of services with a limit. coldRate is
	// the rate of such a server of the service that the present SYN is for, 0 for no
	// limit, and warmServerLeft whether that service has a warm server.
	warmup         *agatewarmup.Limiter
	coldRate       float64
	warmServerLeft bool
	// massSilences holds when too many servers of a service last seemed silent at once, by
	// service, and previousTick is when Tick was called before lastTick.
	massSilences map[string]massSilence
	previousTick time.Duration
	// newlyCold holds the servers that began to count as cold since the last call of
	// HealthChanges.
	newlyCold []*server
	// hedge limits the SYNs that are offered to two servers, and offer is the last second
	// offer.
	hedge *agatehedge.Hedge
	offer Offer
}

// New returns a Steerer for an entry in the named data centre. random must
// return numbers in [0, 1).
func New(policy Policy, centre string, random func() float64) *Steerer {
	s := &Steerer{
		policy:         policy,
		centre:         centre,
		random:         random,
		catalog:        &agatecatalog.Catalog{},
		servers:        make(map[agateinstance.Key]*server),
		activeServers:  make(map[*server]struct{}),
		readyServers:   make(map[string][]*server),
		readyCounts:    make(map[string]map[*location]int),
		vipStats:       make(map[string]*vipStats),
		peerReports:    make(map[string]peerReport),
		centres:        make(map[string]*centreState),
		locations:      make(map[string]*location),
		unanswered:     make(map[agatesilence.Caller][]*flow),
		readyAddresses: make(map[agateaddress.Address]uint16),
		checks:         agatecheck.New(policy.Checks),
		listening:      make(map[string]time.Duration),
		warmup:         agatewarmup.New(policy.WarmUp),
		lastReports:    make(map[string]time.Duration),
		staleSpeeds:    make(map[*server]struct{}),
		services:       make(map[string]*service),
		massSilences:   make(map[string]massSilence),
		hedge:          agatehedge.New(policy.Hedge),
	}
	s.flows = agatetrack.New(agatetrack.Limits{Flows: policy.Flows, Window: policy.Window, Timeout: policy.MinRetransmitDelay}, s.release)
	return s
}

// Flows returns the number of flows that are tracked.
func (s *Steerer) Flows() int { return s.flows.Len() }

// Update replaces the catalog by a newer one.
func (s *Steerer) Update(catalog *agatecatalog.Catalog, now time.Duration) {
	if catalog == s.catalog {
		return
	}
	changed := catalog.Changed(s.catalog)
	s.catalog = catalog
	s.anyEvacuated = false
	for centre, each := range s.locations {
		each.evacuated = catalog.Evacuated(centre)
		s.anyEvacuated = s.anyEvacuated || each.evacuated
	}
	for _, key := range changed {
		if instance, held := catalog.Instance(key); held {
			s.updateInstance(instance, now)
			continue
		}
		if each := s.servers[key]; each != nil {
			s.removeServer(key, each)
		}
	}
	s.updateServices()
}

// Confirm records that the catalog was the newest one at the given time.
func (s *Steerer) Confirm(at time.Duration) { s.confirmedAt = max(s.confirmedAt, at) }

// updateInstance stores the record of an incarnation.
func (s *Steerer) updateInstance(instance agateinstance.Instance, now time.Duration) {
	known, ok := s.servers[instance.Key]
	if !ok {
		known = &server{}
		s.servers[instance.Key] = known
	}
	if !instance.EqualContent(known.instance) {
		known.coldUntil = now + instance.WarmUp
		s.beginCold(known, now+instance.WarmUp, now)
	}
	if instance.Position() != known.instance.Position() {
		known.check.recordWrite(now)
	}
	s.removeReady(known)
	known.instance = instance
	known.location = s.locationOf(instance.Centre)
	known.service = s.services[instance.Service]
	known.token, _ = s.catalog.Token(instance.Key)
	if instance.State == agateinstance.Ready && known.token != 0 {
		s.addReady(known)
	}
}

// location is what the catalog says of a data centre. The servers there share it, so that
// a change of a data centre takes no time for each of them, and a choice no lookup.
type location struct {
	// evacuated is whether an operator evacuates the data centre.
	evacuated bool
}

// locationOf returns the location of the named data centre.
func (s *Steerer) locationOf(centre string) *location {
	held := s.locations[centre]
	if held == nil {
		held = &location{evacuated: s.catalog.Evacuated(centre)}
		s.locations[centre] = held
		s.anyEvacuated = s.anyEvacuated || held.evacuated
	}
	return held
}

// addReady adds a server to those that accept new flows of its service.
func (s *Steerer) addReady(known *server) {
	service := known.instance.Service
	s.readyServers[service] = append(s.readyServers[service], known)
	if s.readyCounts[service] == nil {
		s.readyCounts[service] = make(map[*location]int)
	}
	s.readyCounts[service][known.location]++
	s.readyAddresses[known.instance.Address]++
}

// removeReady removes a server from those that accept new flows of its service.
func (s *Steerer) removeReady(known *server) {
	service := known.instance.Service
	former := len(s.readyServers[service])
	s.readyServers[service] = slices.DeleteFunc(s.readyServers[service], func(o *server) bool { return o == known })
	if len(s.readyServers[service]) == former {
		return
	}
	s.readyCounts[service][known.location]--
	address := known.instance.Address
	if s.readyAddresses[address]--; s.readyAddresses[address] == 0 {
		delete(s.readyAddresses, address)
	}
}

// evacuated reports whether a service has servers that accept new flows in evacuated data
// centres only. It looks at data centres rather than at each of their servers, which takes
// 4 ms for 120,000.
func (s *Steerer) evacuated(service string) bool {
	if !s.anyEvacuated || len(s.readyServers[service]) == 0 {
		return false
	}
	for centre, servers := range s.readyCounts[service] {
		if servers > 0 && !centre.evacuated {
			return false
		}
	}
	return true
}

// removeServer removes a server that the catalog no longer holds.
func (s *Steerer) removeServer(key agateinstance.Key, gone *server) {
	delete(s.servers, key)
	delete(s.activeServers, gone)
	delete(s.staleSpeeds, gone)
	s.removeReady(gone)
	s.flows.Each(func(f *flow) {
		if f.State.server == gone {
			s.assign(f, nil)
		}
	})
}

// Handle decides what to do with a segment.
func (s *Steerer) Handle(segment agatesegment.Segment, now time.Duration) Verdict {
	v := s.decide(segment, now)
	v.Flow = segment.Flow
	if v.Reason != Held {
		s.addEvidence(&v, now)
	}
	return v
}

// addEvidence fills in the server and the evidence of a verdict.
func (s *Steerer) addEvidence(v *Verdict, now time.Duration) {
	e := &v.Evidence
	e.Version, e.Position = s.catalog.Version(), s.catalog.Position()
	e.Age = now - s.confirmedAt
	if v.server == nil {
		return
	}
	v.Server, v.Address = v.server.instance.ID, v.server.instance.Address.AddrPort()
	e.UnansweredFlows = v.server.silence.TotalEvidence().Flows
	e.LocalFlows = v.server.silence.LocalEvidence().Flows
	e.Reporters = v.server.reporters()
	e.Witnesses, e.ReliableWitnesses = v.server.silence.CountWitnesses(v.server.silence.LastAnswer(), now)
	e.PeerWitnesses = v.server.peerWitnesses(s.policy.Silence, now)
	e.CentreSilent = s.centreUnreachable(v.server)
	if last := v.server.silence.LastAnswer(); last > 0 {
		e.SinceAnswer = now - last
	}
	if v.Reason != Placed && v.Reason != Moved {
		return
	}
	e.Candidates = len(s.candidates)
	for i, c := range s.candidates {
		if c.Silent {
			e.Silent++
		}
		if s.candidateServers[i] == v.server {
			e.Load, e.Capacity = c.Load, c.Capacity
		}
	}
}

func (s *Steerer) decide(segment agatesegment.Segment, now time.Duration) Verdict {
	switch {
	case segment.Opens():
		return s.decideSYN(segment, now)
	case segment.Token == 0:
		return Verdict{Action: Drop, Reason: MissingToken}
	}
	instance, found := s.find(segment)
	switch found {
	case agatecatalog.Unknown:
		return Verdict{Action: Drop, Reason: UnknownToken}
	case agatecatalog.Ambiguous:
		return Verdict{Action: Drop, Reason: Collision}
	}
	return s.decideEstablished(segment, instance, now)
}

// find returns the incarnation that the segment's token refers to. If several
// incarnations share the token, a flow whose SYN this entry has placed resolves the
// ambiguity: of another one it may have known the wrong incarnation only.
func (s *Steerer) find(segment agatesegment.Segment) (agateinstance.Instance, agatecatalog.Lookup) {
	instance, found := s.catalog.Find(segment.Token)
	if found != agatecatalog.Ambiguous {
		return instance, found
	}
	f := s.flows.Find(segment.Flow)
	if f == nil || !f.State.named.HasToken(segment.Token) || !f.State.receivedSYN(s.servers[f.State.named]) {
		return instance, found
	}
	if named, held := s.catalog.Instance(f.State.named); held {
		return named, agatecatalog.Found
	}
	return instance, found
}

// decideEstablished decides on a segment whose token refers to an incarnation. If
// the server has restarted at the same address, the segment goes to the new
// incarnation: that one may hold the flow, and it resets a flow that it doesn't hold.
func (s *Steerer) decideEstablished(segment agatesegment.Segment, named agateinstance.Instance, now time.Duration) Verdict {
	known := s.servers[s.catalog.Successor(named).Key]
	f, event, _ := s.flows.Observe(segment, now)
	if f.State.offered && s.correctToken(f, s.servers[named.Key], known, &segment) {
		known, named = f.State.server, s.servers[f.State.named].instance
	}
	f.State.lastAck = segment.Acknowledged
	f.State.named = named.Key
	if f.State.stats == nil {
		f.State.stats = s.statsFor(segment.Flow)
	}
	if f.State.server != known {
		s.assign(f, known)
	}
	s.recordEvent(f, event, now)
	if f.Retransmits > 0 {
		if unanswered(f, s.resetThreshold(known, now), now) && s.mayReset(f) {
			return s.reset(f, silenceReason(known))
		}
		if known.check.resets(now) && unanswered(f, 1, now) {
			return s.reset(f, Checked)
		}
	}
	return s.forward(known, segment.Token, Held)
}

// unanswered reports whether the caller has retransmitted a segment through this entry
// at least as often as the threshold without an answer, and still does: if the next copy
// is overdue, the flow has been answered since, or goes through another entry. A threshold
// of 0 is never reached.
func unanswered(f *flow, threshold int, now time.Duration) bool {
	return threshold > 0 && f.RequestPending && f.Retransmits >= threshold && now < f.NextCopyBy
}

// mayReset reports whether a flow may be reset because its server doesn't answer: its
// caller may repeat the request, or the server's registration is gone as well.
func (s *Steerer) mayReset(f *flow) bool {
	if f.State.server.instance.State == agateinstance.Gone {
		return true
	}
	vip, ok := s.catalog.VIP(f.Tuple.Service())
	return ok && vip.Kind == agatevip.Idempotent
}

// silenceReason returns the reason for resets of the flows of a server that doesn't
// answer.
func silenceReason(srv *server) Reason {
	if srv.instance.State == agateinstance.Gone {
		return Ended
	}
	return Silent
}

// reset ends a flow towards its caller.
func (s *Steerer) reset(f *flow, reason Reason) Verdict {
	v := Verdict{Action: Reset, Reason: reason, Flow: f.Tuple, Sequence: f.State.lastAck, server: f.State.server}
	v.Evidence.PreviousServer = f.State.previousServerID(f.State.server)
	v.Evidence.Retransmits = f.Retransmits
	s.flows.Remove(f)
	return v
}

// forward passes a segment on to a server.
func (s *Steerer) forward(to *server, token uint32, reason Reason) Verdict {
	return Verdict{
		Action: Forward, Reason: reason,
		Server: to.instance.ID, Address: to.instance.Address.AddrPort(), Token: token, server: to,
	}
}

// decideSYN decides on a SYN.
func (s *Steerer) decideSYN(segment agatesegment.Segment, now time.Duration) Verdict {
	isCopy := segment.Acknowledged > 0
	if f := s.flows.Find(segment.Flow); f != nil {
		if f.Phase != agatetrack.Opening && f.HasSYN(segment) {
			return Verdict{Action: Drop, Reason: Stale, server: f.State.server}
		}
		// The SYN of a flow that is open here may have gone through another entry.
		isCopy = isCopy || f.HasSYN(segment) || f.Phase == agatetrack.Open
	}
	vip, ok := s.catalog.VIP(segment.Flow.Service())
	if !ok {
		return s.refuseSYN(segment, isCopy, NoRoute, now)
	}
	f, event, _ := s.flows.Observe(segment, now)
	f.State.stats = s.statsOf(vip)
	reason := Placed
	if event.Retransmitted {
		reason = Moved
		s.recordEvent(f, event, now)
	} else {
		// The flow record may be left over from an earlier flow.
		f.State.synServerCount, f.State.offered, f.State.openToken = 0, false, 0
	}
	name := s.selectService(vip, segment.Flow)
	chosen, refusal := s.chooseServer(f, name, now)
	if chosen == nil {
		if !isCopy {
			s.flows.Remove(f)
		}
		return s.refuseSYN(segment, isCopy, refusal, now)
	}
	if !isCopy && (s.refusedForRoom(f, name) || s.hopeless(f, chosen)) {
		s.flows.Remove(f)
		return Verdict{Action: Reset, Reason: Overload, Sequence: segment.Acknowledged}
	}
	s.recordTrial(chosen, now)
	sinceFlow := s.sinceFlow(chosen, now)
	s.assign(f, chosen)
	f.State.named = chosen.instance.Key
	f.State.addSYN(chosen)
	v := s.forward(chosen, chosen.token, reason)
	v.Evidence.Cold = s.useAllowance(chosen, now)
	v.Evidence.PreviousServer = f.State.previousServerID(chosen)
	if s.hedge.Enabled() && vip.Kind == agatevip.Idempotent {
		v.Second = s.offerSecond(f, chosen, sinceFlow, event.Retransmitted || segment.Acknowledged > 0, name, now)
	}
	return v
}

// refuseSYN decides on a SYN for which there is no server. It resets the flow
// at once if the catalog is fresh, since retransmitted SYNs would fail as well,
// and drops the SYN otherwise. A copy is dropped: another entry may have forwarded
// the SYN, and the flow may be open.
func (s *Steerer) refuseSYN(segment agatesegment.Segment, isCopy bool, reason Reason, now time.Duration) Verdict {
	if isCopy {
		return Verdict{Action: Drop, Reason: reason}
	}
	// A flow that only a cold server could take fails as well with a newer catalog here;
	// another entry may have a warm server, so the caller should try again at once.
	if reason != Cold && (s.confirmedAt == 0 || now-s.confirmedAt > s.policy.MaxCatalogAge) {
		return Verdict{Action: Drop, Reason: OutdatedCatalog}
	}
	return Verdict{Action: Reset, Reason: reason, Sequence: segment.Acknowledged}
}

// selectService returns the service for a flow to the virtual address. Every
// copy of a SYN gets the same service.
func (s *Steerer) selectService(vip agatevip.VIP, flow agatetuple.Tuple) string {
	const fractionBits = 53
	return vip.Service(float64(flow.Hash()>>(64-fractionBits)) / (1 << fractionBits))
}

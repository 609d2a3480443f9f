package agatesteer_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"agatereach/core/process/agatesteer"
	"agatereach/core/request/agateaddress"
	"agatereach/core/request/agateload"
	"agatereach/core/version/agateinstance"
	"agatereach/core/version/agatevip"
)

// otherAddress is an address that no server of fixture.server has.
var otherAddress = agateaddress.Address{IP: [4]byte{10, 0, 0, 99}, Port: 80}

// expectForward checks that a segment is passed on to an incarnation.
func expectForward(t testing.TB, v agatesteer.Verdict, to agateinstance.Instance) {
	t.Helper()
	if v.Action != agatesteer.Forward || v.Server != to.ID || v.Address != to.Address.AddrPort() {
		t.Errorf("%s (%s) to %x at %s, want forward to %x at %s", v.Action, v.Reason, v.Server, v.Address, to.ID, to.Address)
	}
}

// exchange sends a request that is answered, and checks where its segments go.
func (c *callerFlow) exchange(t testing.TB, to agateinstance.Instance) {
	t.Helper()
	expectForward(t, c.request(), to)
	expectForward(t, c.receiveResponse(), to)
}

// openedElsewhere returns a flow that was opened with an incarnation through another entry.
func (fx *fixture) openedElsewhere(with agateinstance.Instance) *callerFlow {
	fx.t.Helper()
	c := fx.newFlow(feeds)
	c.sequence, c.acknowledged, c.token = 101, 5000, with.Token(0)
	return c
}

// write registers a changed copy of a record at the next revision.
func (fx *fixture) write(record agateinstance.Instance, change func(*agateinstance.Instance)) agateinstance.Instance {
	fx.revision++
	record.Revision = fx.revision
	change(&record)
	fx.register(record)
	return record
}

// lapse marks a record as gone.
func lapse(i *agateinstance.Instance) { i.State = agateinstance.Gone }

// TestLapsedServerKeepsFlows guards against resets of flows whose server is in order
// while its registration lapses, is forgotten and comes back.
func TestLapsedServerKeepsFlows(t *testing.T) {
	fx := newFixture(t)
	own := fx.server(1, "a", agateinstance.Ready)
	c := fx.newFlow(feeds)
	c.open()
	fx.write(own, lapse)
	for range 4 {
		expectForward(t, c.request(), own)
		fx.run(200 * ms)
		expectForward(t, c.retransmit(), own)
		fx.run(300 * ms)
		expectForward(t, c.receiveResponse(), own)
	}
	fx.catalog = fx.catalog.WithoutGone(func(agateinstance.Instance) bool { return true })
	fx.update()
	if v := c.request(); v.Action != agatesteer.Drop || v.Reason != agatesteer.UnknownToken {
		t.Errorf("record forgotten: %s (%s), want drop (foreign)", v.Action, v.Reason)
	}
	fx.write(own, func(*agateinstance.Instance) {})
	expectForward(t, c.retransmit(), own)
}

// TestLatePredecessorEndsNoFlows guards against resets of a lapsed server's flows because
// the record of a server that had its address before arrives late.
func TestLatePredecessorEndsNoFlows(t *testing.T) {
	fx := newFixture(t)
	fx.revision++
	own := fx.write(fx.server(1, "a", agateinstance.Ready), func(i *agateinstance.Instance) { i.StartTime = 5 })
	predecessor := own
	predecessor.ID, predecessor.StartTime, predecessor.Revision = 2, 4, 1
	c := fx.newFlow(feeds)
	c.open()
	fx.register(predecessor)
	c.exchange(t, own)
	fx.write(own, lapse)
	c.exchange(t, own)
	fx.write(predecessor, lapse)
	c.exchange(t, own)
}

// TestFormerStartOfCopyEndsNoFlows guards against resets of a server's flows because a
// restored store lists its former start, at another address.
func TestFormerStartOfCopyEndsNoFlows(t *testing.T) {
	fx := newFixture(t)
	former := fx.server(1, "a", agateinstance.Ready)
	own := fx.write(former, func(i *agateinstance.Instance) { i.StartTime++; i.Address = otherAddress })
	c := fx.newFlow(feeds)
	c.open()
	former.Era = 1
	fx.register(former)
	c.exchange(t, own)
	fx.write(own, func(i *agateinstance.Instance) { i.Era, i.State = 1, agateinstance.Gone })
	c.exchange(t, own)
}

// TestSlowClockEndsNoFlows guards against resets of a server's flows because its former
// start, at another address, has a later start time.
func TestSlowClockEndsNoFlows(t *testing.T) {
	fx := newFixture(t)
	former := fx.write(fx.server(1, "a", agateinstance.Ready), func(i *agateinstance.Instance) { i.StartTime = 9 })
	own := fx.write(former, func(i *agateinstance.Instance) { i.StartTime, i.Address = 5, otherAddress })
	c := fx.openedElsewhere(own)
	c.exchange(t, own)
	fx.write(former, lapse)
	c.exchange(t, own)
}

// TestLateSYNCopyKeepsServer guards against a late copy of a flow's SYN that changes
// the server of the open flow.
func TestLateSYNCopyKeepsServer(t *testing.T) {
	fx := newFixture(t)
	own := fx.server(1, "a", agateinstance.Ready)
	c := fx.newFlow(feeds)
	c.open()
	fx.write(own, func(i *agateinstance.Instance) { i.State = agateinstance.Draining })
	fx.server(2, "a", agateinstance.Ready)
	for copies := range uint32(3) {
		late := *c
		late.sequence, late.synCopies = 100, copies
		late.syn()
		c.exchange(t, own)
	}
}

// TestReturnedFlowEndsNoFlows guards against resets of a lapsed server's flow that comes
// back to an entry with an older record of it, in which a request has no answer.
func TestReturnedFlowEndsNoFlows(t *testing.T) {
	fx := newFixture(t)
	own := fx.server(1, "a", agateinstance.Ready)
	c := fx.newFlow(feeds)
	c.open()
	c.request()
	fx.run(200 * ms)
	c.retransmit()
	fx.write(own, lapse)
	fx.run(4000 * ms)
	c.acknowledged += 6000
	c.sequence += 2000
	expectForward(t, c.request(), own)
	fx.run(200 * ms)
	expectForward(t, c.retransmit(), own)
	expectForward(t, c.receiveResponse(), own)
}

// TestOddEntryAtAddressEndsNoFlows guards against resets of a lapsed server's flows because
// another writer's entry, of a service that isn't named anywhere, has its address.
func TestOddEntryAtAddressEndsNoFlows(t *testing.T) {
	fx := newFixture(t)
	own := fx.server(1, "a", agateinstance.Ready)
	c := fx.newFlow(feeds)
	c.open()
	fx.write(own, lapse)
	fx.write(own, func(i *agateinstance.Instance) { i.ID, i.StartTime, i.Service = 77, 2, "unnamed" })
	c.exchange(t, own)
}

// TestOddEntryUnderIDEndsNoFlows guards against resets of a server's flows because another
// writer's entry under its id has a later start time and another address.
func TestOddEntryUnderIDEndsNoFlows(t *testing.T) {
	fx := newFixture(t)
	own := fx.server(1, "a", agateinstance.Ready)
	c := fx.newFlow(feeds)
	c.open()
	fx.write(own, func(i *agateinstance.Instance) { i.StartTime, i.Service, i.Address = 2, "unnamed", otherAddress })
	c.exchange(t, own)
	fx.write(own, func(*agateinstance.Instance) {})
	c.exchange(t, own)
}

// TestOddEntryMovesNoFlows guards against segments that go elsewhere because another
// writer's entry under a server's id has its start time and another address.
func TestOddEntryMovesNoFlows(t *testing.T) {
	fx := newFixture(t)
	own := fx.server(1, "a", agateinstance.Ready)
	c := fx.newFlow(feeds)
	c.open()
	fx.write(own, func(i *agateinstance.Instance) { i.Service, i.Address = "unnamed", otherAddress })
	c.exchange(t, own)
}

// TestOddEntryKnownFirstMovesNoFlows guards against segments that go elsewhere at an entry
// that knows a server by another writer's entry only, until the server writes again.
func TestOddEntryKnownFirstMovesNoFlows(t *testing.T) {
	fx := newFixture(t)
	own := agateinstance.Instance{Key: keyOf(1), Service: "map", Centre: "a", Slots: 3, State: agateinstance.Ready}
	fx.write(own, func(i *agateinstance.Instance) { i.Address = otherAddress })
	c := fx.openedElsewhere(own)
	if v := c.request(); v.Action != agatesteer.Drop || v.Reason != agatesteer.UnknownToken {
		t.Errorf("other entry alone known: %s (%s), want drop (foreign)", v.Action, v.Reason)
	}
	fx.write(own, func(*agateinstance.Instance) {})
	expectForward(t, c.retransmit(), own)
}

// TestServerBackAtAddressKeepsFlows guards against resets of a server's flows that it took
// after it had come back to the address of a former start and before it was registered
// there: they name that start, and the entry learns of the one in between, elsewhere.
func TestServerBackAtAddressKeepsFlows(t *testing.T) {
	fx := newFixture(t)
	former := fx.server(1, "a", agateinstance.Ready)
	c := fx.newFlow(feeds)
	c.open()
	between := fx.write(former, func(i *agateinstance.Instance) { i.StartTime, i.Address = 2, otherAddress })
	c.exchange(t, former)
	own := fx.write(between, func(i *agateinstance.Instance) { i.StartTime, i.Address = 3, former.Address })
	c.exchange(t, own)
}

// TestCollidingTokenMovesNoFlows guards against a flow that is sent to another server whose
// token is the same, because this entry knew only that one at first.
func TestCollidingTokenMovesNoFlows(t *testing.T) {
	fx := newFixture(t)
	seen := make(map[uint32]uint64)
	var own agateinstance.Instance
	for id := uint64(1); own.ID == 0; id++ {
		token := keyOf(id).Token(0)
		if other, taken := seen[token]; taken {
			fx.server(other, "a", agateinstance.Ready)
			own.Key = keyOf(id)
		}
		seen[token] = id
	}
	c := fx.openedElsewhere(own)
	c.request()
	own = fx.server(own.ID, "a", agateinstance.Ready)
	if v := c.receiveResponse(); v.Action == agatesteer.Forward && v.Server != own.ID {
		t.Errorf("forwarded to server %x, want %x or none", v.Server, own.ID)
	}
}

// TestLateSYNCopyDropsNoFlow guards against dropping the segments of a lapsed server's
// flow because a copy of its SYN, late or through this entry alone, was placed at another
// server.
func TestLateSYNCopyDropsNoFlow(t *testing.T) {
	for _, late := range []bool{true, false} {
		fx := newFixture(t)
		own := fx.server(1, "a", agateinstance.Ready)
		c := fx.openedElsewhere(own)
		if late {
			c.exchange(t, own)
		}
		fx.write(own, lapse)
		fx.server(2, "a", agateinstance.Ready)
		syn := *c
		syn.sequence = 100
		syn.syn()
		for range 3 {
			c.exchange(t, own)
			fx.run(2000 * ms)
		}
	}
}

// TestSYNCopyIsNotRefused guards against resets of a flow that a server has accepted by its
// first SYN, because a copy finds no route or no server here.
func TestSYNCopyIsNotRefused(t *testing.T) {
	fx := newFixture(t)
	for _, to := range []agatevip.VIP{feeds, vip("elsewhere", 9, agatevip.Idempotent, "map")} {
		c := fx.newFlow(to)
		for c.synCopies = 1; c.synCopies <= 2; {
			if v := c.syn(); v.Action == agatesteer.Reset {
				t.Errorf("copy %d to %s: reset (%s)", c.synCopies-1, to.Name, v.Reason)
			}
		}
	}
}

// TestSYNDuplicateIsNotRefused guards against resets of an open flow because a duplicate of
// its first SYN comes late, when its service has no server for new flows.
func TestSYNDuplicateIsNotRefused(t *testing.T) {
	fx := newFixture(t)
	own := fx.server(1, "a", agateinstance.Ready)
	c := fx.newFlow(feeds)
	c.open()
	c.exchange(t, own)
	fx.server(1, "a", agateinstance.Draining)
	duplicate := *c
	duplicate.sequence, duplicate.synCopies = 100, 0
	if v := duplicate.syn(); v.Action == agatesteer.Reset {
		t.Errorf("duplicate of the SYN: reset (%s)", v.Reason)
	}
	c.exchange(t, own)
}

// TestSlowRequestsOfLapsedServerAreNotReset guards against resets of a lapsed server's
// flows because two requests take long: each is sent again once.
func TestSlowRequestsOfLapsedServerAreNotReset(t *testing.T) {
	fx := newFixture(t)
	own := fx.server(1, "a", agateinstance.Ready)
	calls := []*callerFlow{fx.newFlow(orders), fx.newFlow(orders)}
	for _, c := range calls {
		c.open()
	}
	fx.write(own, lapse)
	fx.run(10 * ms)
	for _, c := range calls {
		expectForward(t, c.request(), own)
	}
	fx.run(200 * ms)
	for _, c := range calls {
		expectForward(t, c.retransmit(), own)
	}
}

// TestPeerSuspicionEndsNoFlowOfLapsedServer guards against resets of a lapsed server's flow
// for one copy of a slow request, because another entry has lost packets of two flows.
func TestPeerSuspicionEndsNoFlowOfLapsedServer(t *testing.T) {
	fx := newFixture(t)
	own := fx.server(1, "a", agateinstance.Ready)
	c := fx.newFlow(orders)
	c.open()
	fx.write(own, lapse)
	fx.run(10 * ms)
	expectForward(t, c.request(), own)
	fx.run(200 * ms)
	fx.steerer.Report("vm-2", []agateload.Load{{Token: c.token, UnansweredFlows: 2, UnansweredFor: 100}}, true, fx.now)
	expectForward(t, c.retransmit(), own)
}

// TestOldCatalogEndsNoFlow guards against resets of a flow by an entry whose catalog is too
// old to refuse a SYN: its server, whose registration had lapsed there, is back.
func TestOldCatalogEndsNoFlow(t *testing.T) {
	fx := newFixture(t)
	own := fx.server(1, "a", agateinstance.Ready)
	c := fx.newFlow(feeds)
	c.open()
	fx.write(own, lapse)
	fx.now += fx.policy.MaxCatalogAge + ms
	expectForward(t, c.request(), own)
	for _, wait := range []time.Duration{200 * ms, 400 * ms} {
		fx.now += wait
		expectForward(t, c.retransmit(), own)
	}
}

// resendRequest sends a request of several segments, and after the retransmission timeout
// all of them again, as a caller does that has missed one acknowledgement.
func (c *callerFlow) resendRequest() []agatesteer.Verdict {
	const segments = 2
	first := c.sequence
	for range segments {
		c.request()
	}
	c.fx.run(200 * ms)
	c.sequence = first
	var verdicts []agatesteer.Verdict
	for range segments {
		verdicts = append(verdicts, c.request())
	}
	return verdicts
}

// TestOneResentRequestEndsNoFlow guards against resets of a lapsed server's flow because a
// request of several segments is sent again once: each segment has one copy.
func TestOneResentRequestEndsNoFlow(t *testing.T) {
	fx := newFixture(t)
	own := fx.server(1, "a", agateinstance.Ready)
	c := fx.newFlow(orders)
	c.open()
	fx.write(own, lapse)
	fx.run(10 * ms)
	for _, v := range c.resendRequest() {
		expectForward(t, v, own)
	}
}

// TestOneResentRequestIsNotFirm guards against firm evidence of silence from a request of
// several segments that is sent again once: each segment has one copy.
func TestOneResentRequestIsNotFirm(t *testing.T) {
	fx := newFixture(t)
	fx.server(1, "a", agateinstance.Ready)
	c := fx.newFlow(orders)
	c.open()
	fx.run(10 * ms)
	c.resendRequest()
	for _, load := range fx.steerer.Suspicions(fx.now) {
		if load.UnansweredFlows != 1 || load.Firm != 0 {
			t.Errorf("%d unanswered flows, %d of them firm, want 1 and 0", load.UnansweredFlows, load.Firm)
		}
	}
}

// TestReusedPortKeepsNoCopies guards against resets of a lapsed server's flow because of
// copies that the caller sent on an earlier flow of the same port, to another server.
func TestReusedPortKeepsNoCopies(t *testing.T) {
	fx := newFixture(t)
	earlier := fx.openedElsewhere(fx.server(2, "a", agateinstance.Ready))
	earlier.sequence = 700000
	earlier.request()
	fx.run(200 * ms)
	earlier.retransmit()
	own := fx.server(1, "a", agateinstance.Ready)
	fx.write(own, lapse)
	c := fx.openedElsewhere(own)
	c.flow, c.acknowledged = earlier.flow, 1000
	for range 3 {
		c.exchange(t, own)
		fx.run(500 * ms)
	}
}

// TestOldEvidenceEndsNoFlow guards against resets of a flow for one copy of a slow request,
// on the evidence of flows that left this entry long before and are open.
func TestOldEvidenceEndsNoFlow(t *testing.T) {
	fx := newFixture(t)
	own := fx.server(1, "a", agateinstance.Ready)
	calls := []*callerFlow{fx.newFlow(orders), fx.newFlow(orders), fx.newFlow(orders)}
	for _, c := range calls {
		c.open()
	}
	fx.run(10 * ms)
	for _, c := range calls {
		c.request()
	}
	for _, wait := range []time.Duration{200 * ms, 400 * ms} {
		fx.run(wait)
		for _, c := range calls {
			c.retransmit()
		}
	}
	fx.run(time.Minute)
	c := fx.openedElsewhere(own)
	expectForward(t, c.request(), own)
	fx.run(200 * ms)
	expectForward(t, c.retransmit(), own)
	if resets := fx.run(100 * ms); len(resets) > 0 {
		t.Errorf("%d flows were reset (%s), want 0", len(resets), resets[0].Reason)
	}
}

// TestReusedPortDropsNoFlow guards against dropping the segments of a lapsed server's flow,
// one after the other, because an earlier flow of its port was opened here.
func TestReusedPortDropsNoFlow(t *testing.T) {
	fx := newFixture(t)
	fx.server(2, "a", agateinstance.Ready)
	earlier := fx.newFlow(feeds)
	earlier.open()
	own := fx.server(1, "a", agateinstance.Ready)
	fx.write(own, lapse)
	c := fx.openedElsewhere(own)
	c.flow, c.sequence = earlier.flow, 70000
	for range 4 {
		c.exchange(t, own)
		fx.run(2 * time.Second)
	}
}

// process is a backend server that runs or has run.
type process struct {
	record agateinstance.Instance
	// registered is whether the record has been written.
	registered, ended bool
	flow              *callerFlow
}

// registry is a platform whose servers are in order: an address has one server at a
// time, and clocks are right. Records reach the entry late and in any order.
type registry struct {
	fx        *fixture
	processes []*process
	written   []agateinstance.Instance
}

// free reports whether no server runs under an id or at an address.
func (r *registry) free(id uint64, address agateaddress.Address) bool {
	for _, p := range r.processes {
		if !p.ended && (p.record.ID == id || p.record.Address == address) {
			return false
		}
	}
	return true
}

// start starts a server. A server under an id that was there before starts at its last
// address, and its flow then names the last start that was registered, unless another
// server has had the address since.
func (r *registry) start(id uint64, address agateaddress.Address) {
	named := agateinstance.Instance{}
	for _, p := range r.processes {
		switch {
		case p.record.ID == id:
			address = p.record.Address
			if p.registered {
				named = p.record
			}
		case p.record.Address == named.Address:
			named = agateinstance.Instance{}
		}
	}
	if !r.free(id, address) {
		return
	}
	record := agateinstance.Instance{
		Key: agateinstance.Key{ID: id, StartTime: int64(len(r.processes) + 1), Address: address}, Service: "map", Centre: "a", Slots: 3,
		State: agateinstance.Ready,
	}
	if named.ID == 0 {
		named = record
	}
	r.processes = append(r.processes, &process{record: record, flow: r.fx.openedElsewhere(named)})
}

// write writes a record of a server, one that says that it is gone if it has lapsed.
func (r *registry) write(p *process, state agateinstance.State) {
	if p.ended && state != agateinstance.Gone {
		return
	}
	p.registered = p.registered || state != agateinstance.Gone
	record := p.record
	record.State, record.Revision = state, int64(len(r.written)+1)
	r.written = append(r.written, record)
}

// TestRegistrationsEndNoFlow guards against resets and moves of flows that servers in
// order answer, whatever the order in which an entry learns of the servers' records.
func TestRegistrationsEndNoFlow(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		r := &registry{fx: newFixture(t)}
		states := []agateinstance.State{agateinstance.Ready, agateinstance.Draining, agateinstance.Gone}
		for range rapid.IntRange(5, 60).Draw(rt, "steps") {
			r.start(rapid.Uint64Range(1, 4).Draw(rt, "id"), agateaddress.Address{IP: [4]byte{10, 0, 0, byte(rapid.IntRange(1, 2).Draw(rt, "address"))}, Port: 80})
			p := rapid.SampledFrom(append(r.processes, &process{ended: true})).Draw(rt, "process")
			switch rapid.IntRange(0, 5).Draw(rt, "event") {
			case 0:
				p.ended = true
			case 1, 2:
				if p.flow != nil {
					r.write(p, rapid.SampledFrom(states).Draw(rt, "state"))
				}
			default:
				if len(r.written) > 0 {
					r.fx.register(rapid.SampledFrom(r.written).Draw(rt, "record"))
				}
			}
			if p.ended {
				continue
			}
			for _, v := range []agatesteer.Verdict{p.flow.request(), p.flow.receiveResponse()} {
				moved := v.Action == agatesteer.Forward && v.Address != p.record.Address.AddrPort()
				if v.Action == agatesteer.Reset || moved {
					rt.Fatalf("%s (%s) to %s, want the flow kept at %s", v.Action, v.Reason, v.Address, p.record.Address)
				}
			}
		}
	})
}

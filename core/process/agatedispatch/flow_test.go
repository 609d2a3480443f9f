package agatedispatch_test

import (
	"net/netip"
	"testing"
	"time"

	"agatereach/core/connection/agateguard"
	"agatereach/core/process/agatedispatch"
	"agatereach/core/process/agatepeers"
	"agatereach/core/request/agateclass"
	"agatereach/core/request/agateheader"
	"agatereach/core/request/agatekind"
	"agatereach/core/request/agateoutcome"
	"agatereach/core/request/agatereason"
	"agatereach/core/version/agatecentre"
	"agatereach/core/version/agateruleset"
	"agatereach/core/version/agateserver"
	"agatereach/core/version/agateservice"
	"agatereach/core/version/agateticket"
)

// mapsAddress is an address that belongs to the maps service.
var mapsAddress = netip.MustParseAddrPort("127.1.0.9:7000")

// applyTicket sets a view with the ticket on top of baseTicket.
func (b *fixture) applyTicket(t agateticket.Ticket) []agatedispatch.Output {
	t.Number = 2
	return b.d.SetView(b.now, viewOf(baseTicket(), t))
}

func remoteServer(id uint32, centre uint16) agateserver.Server {
	s := backend(id, intake, agateserver.Up)
	s.Centre = centre
	return s
}

// TestOpen opens a flow of the intake service under various conditions and
// checks whether the open is granted, relayed or refused.
func TestOpen(t *testing.T) {
	near := agatepeers.Peer{VM: "vm-n", Centre: 2, Boot: 201, Relay: address(21), State: agatepeers.Live}
	far := agatepeers.Peer{VM: "vm-f", Centre: 3, Boot: 301, Relay: address(31), State: agatepeers.Live}
	drained := []agateserver.Server{
		backend(11, intake, agateserver.Draining), backend(12, intake, agateserver.Gone), remoteServer(13, 2), remoteServer(14, 3),
	}
	centres := []agatecentre.Centre{{
		ID: centre, Name: "a", Region: "east",
		Distances: []agatecentre.Distance{{Centre: 2, Micros: 500}, {Centre: 3, Micros: 9000}},
	}}
	tests := map[string]struct {
		prepare func(b *fixture)
		relay   netip.AddrPort
		reason  agatereason.Reason
	}{
		"granted":                 {prepare: func(*fixture) {}},
		"no keys":                 {prepare: func(b *fixture) { b.d.SetView(b.now, viewOf(agateticket.Ticket{Number: 1, Centres: centres})) }, reason: agatereason.Stale},
		"stale":                   {prepare: func(b *fixture) { b.d.SetStale(true) }, reason: agatereason.Stale},
		"after a pause":           {prepare: func(b *fixture) { b.d.Tick(b.now); b.now = b.now.Add(time.Minute) }, reason: agatereason.Stale},
		"stopping":                {prepare: func(b *fixture) { b.d.Stop(b.now) }, relay: address(2)},
		"stopping, alone":         {prepare: func(b *fixture) { b.d.Stop(b.now); b.d.SetPeers(b.now, new(agatepeers.Peers)) }, reason: agatereason.Draining},
		"other service's address": {prepare: func(b *fixture) { b.listen = mapsAddress }, reason: agatereason.Service},
		"guard is full":           {prepare: func(b *fixture) { b.open(intake, 1, agateclass.Short) }, reason: agatereason.Limit},
		"no server":               {prepare: func(b *fixture) { b.applyTicket(agateticket.Ticket{Servers: drained[:2]}) }, reason: agatereason.NoServer},
		"nearest centre":          {prepare: func(b *fixture) { b.applyTicket(agateticket.Ticket{Servers: drained, Centres: centres}) }, relay: near.Relay},
		"allowed centre":          {prepare: func(b *fixture) { b.applyTicket(agateticket.Ticket{Servers: drained, Rules: rulesAllowing(3)}) }, relay: far.Relay},
		"no allowed centre":       {prepare: func(b *fixture) { b.applyTicket(agateticket.Ticket{Servers: drained, Rules: rulesAllowing(4)}) }, reason: agatereason.NoServer},
		"denied":                  {prepare: func(b *fixture) { b.applyTicket(agateticket.Ticket{Rules: rulesDenying(agateruleset.Keep)}) }, reason: agatereason.Denied},
		"service gone":            {prepare: func(b *fixture) { b.applyTicket(agateticket.Ticket{Services: removedService()}) }, reason: agatereason.Service},
		"added remote servers":    {prepare: func(b *fixture) { b.applyTicket(agateticket.Ticket{Servers: drained[2:], Centres: centres}) }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			b := newFixture(t, agatedispatch.WithGuard(agateguard.WithFlows(1)))
			b.d.SetPeers(b.now, agatepeers.New([]agatepeers.Peer{entry(1, 101), entry(2, 102), near, far}, nil))
			test.prepare(b)
			out := b.receive(agateheader.Header{Kind: agatekind.Open, Service: intake, Flow: 7, Class: agateclass.Short}, "")
			if test.relay.IsValid() {
				if sent := b.wantOne(out, agatedispatch.Peer); sent.Address != test.relay || sent.Frame.Boot != 0 {
					t.Fatalf("relayed to %s, want %s", sent.Address, test.relay)
				}
				return
			}
			if h, _ := b.callerOutput(out); h.Reason != test.reason || (h.Kind == agatekind.Opened) != (test.reason == "") {
				t.Fatalf("got %s, reason %q, want %q", h.Kind, h.Reason, test.reason)
			}
		})
	}
}

func rulesAllowing(centre uint16) []agateruleset.Ruleset {
	any := agateruleset.Rule{Effect: agateruleset.Allow, Centres: []uint16{centre}}
	return []agateruleset.Ruleset{{Service: intake, Default: agateruleset.Deny, Rules: []agateruleset.Rule{any}}}
}

func rulesDenying(established agateruleset.Established) []agateruleset.Ruleset {
	return []agateruleset.Ruleset{{Service: intake, Default: agateruleset.Deny, Established: established}}
}

func removedService() []agateservice.Service {
	service := baseTicket().Services[0].WithState(agateservice.Gone)
	return []agateservice.Service{service}
}

// TestRelayToGuard sends a request of a flow that another process guards and
// checks where it is relayed, and whether its caller is refused after the
// deadline because the guard may be gone.
func TestRelayToGuard(t *testing.T) {
	leaving, suspect := entry(2, 102), entry(2, 102)
	leaving.State, suspect.State = agatepeers.Gone, agatepeers.Suspect
	tests := map[string]struct {
		peers      []agatepeers.Peer
		successors map[uint64]uint64
		relay      netip.AddrPort
		boot       uint64
		reason     agatereason.Reason
		deadline   uint32
		timesOut   bool
	}{
		"deadline nearly over":     {peers: []agatepeers.Peer{entry(2, 102)}, relay: address(2), boot: 102, deadline: 1, timesOut: true},
		"guard suspected":          {peers: []agatepeers.Peer{suspect}, relay: address(2), boot: 102, timesOut: true},
		"to the guard":             {peers: []agatepeers.Peer{entry(2, 102)}, relay: address(2), boot: 102},
		"guard not known yet":      {relay: address(2), boot: 102, timesOut: true},
		"guard gone":               {peers: []agatepeers.Peer{leaving}, reason: agatereason.Guard},
		"to the successor":         {peers: []agatepeers.Peer{leaving, entry(3, 103)}, successors: map[uint64]uint64{102: 103}, relay: address(3), boot: 103},
		"successor not known":      {peers: []agatepeers.Peer{leaving}, successors: map[uint64]uint64{102: 103}, reason: agatereason.Guard},
		"records still on the way": {successors: map[uint64]uint64{102: 101}, reason: agatereason.Guard},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			issuer := newFixture(t)
			issuer.d = agatedispatch.New(entry(2, 102))
			issuer.d.SetView(epoch, viewOf(baseTicket()))
			r := request(intake, 5, 1, issuer.open(intake, 5, agateclass.Short))
			r.Deadline = test.deadline
			b := newFixture(t)
			b.open(intake, 5, agateclass.Short)
			b.d.SetPeers(b.now, agatepeers.New(append(test.peers, entry(1, 101)), test.successors))
			out := b.receive(r, "batch")
			if test.reason != "" {
				b.wantRefusal(out, agateoutcome.Unknown, test.reason)
				return
			}
			if sent := b.wantOne(out, agatedispatch.Peer); sent.Address != test.relay || sent.Frame.Boot != test.boot {
				t.Fatalf("relayed to wrong process: %s, boot %d", sent.Address, sent.Frame.Boot)
			}
			b.wantNothing(b.d.Tick(b.now))
			b.now = b.now.Add(1100 * time.Millisecond)
			if out = b.d.Tick(b.now); test.timesOut {
				b.wantRefusal(out, agateoutcome.Unknown, agatereason.Guard)
				return
			}
			b.wantNothing(out)
		})
	}
}

// TestHandOverChain hands records from one process to a second and on to a
// third. It checks that the third accepts a token that the second has renewed,
// although the records name the first.
func TestHandOverChain(t *testing.T) {
	b := newFixture(t)
	r := request(intake, 5, 1, b.open(intake, 5, agateclass.Short))
	successors := make(map[uint64]uint64)
	for boot := uint64(102); boot <= 103; boot++ {
		b.d.Stop(b.now)
		records := b.d.Export(b.now)
		next := agatedispatch.New(entry(int(boot-100), boot))
		next.SetView(b.now, viewOf(baseTicket()))
		next.Adopt(b.now, boot-1, records)
		successors[boot-1] = boot
		next.SetPeers(b.now, agatepeers.New([]agatepeers.Peer{entry(int(boot-100), boot)}, successors))
		b.d = next
		out := b.receive(r, "batch")
		renewed, _ := decode(t, out[0])
		if renewed.Kind != agatekind.Opened || renewed.Reason != agatereason.Guard {
			t.Fatalf("boot %d: got %s, reason %q, want a renewed token", boot, renewed.Kind, renewed.Reason)
		}
		sent := b.wantOne(out[1:], agatedispatch.Server)
		b.wantAnswer(b.answer(sent, "done"), r.Number, "done")
		r.Token = renewed.Token
		r.Number++
	}
}

// TestRulesOnOpenFlow checks requests of an open flow after the rules change
// and after all servers have gone.
func TestRulesOnOpenFlow(t *testing.T) {
	b := newFixture(t)
	r := request(intake, 5, 1, b.open(intake, 5, agateclass.Short))
	b.applyTicket(agateticket.Ticket{Rules: rulesDenying(agateruleset.Keep)})
	b.wantOne(b.receive(r, "batch"), agatedispatch.Server)
	b.applyTicket(agateticket.Ticket{Rules: rulesDenying(agateruleset.Cut)})
	r.Number = 2
	b.wantRefusal(b.receive(r, "batch"), agateoutcome.Unknown, agatereason.Denied)
	b.applyTicket(agateticket.Ticket{Servers: []agateserver.Server{
		backend(11, intake, agateserver.Gone), backend(12, intake, agateserver.Draining),
	}})
	r.Number = 3
	b.wantRefusal(b.receive(r, "batch"), agateoutcome.NotRun, agatereason.NoServer)
}

// TestForgedRoute checks that a server's datagram is dropped if its route was
// not made by this process.
func TestForgedRoute(t *testing.T) {
	b := newFixture(t)
	r := request(intake, 5, 1, b.open(intake, 5, agateclass.Short))
	sent := b.wantOne(b.receive(r, "batch"), agatedispatch.Server)
	forged := sent
	forged.Route.Server++
	if out := b.answer(forged, "done"); len(out) != 0 {
		t.Fatalf("forged route: got %+v, want no outputs", out)
	}
	b.wantAnswer(b.answer(sent, "done"), 1, "done")
}

// TestRemainingDeadline checks that the datagram to a server carries the time
// left until the deadline, not the original deadline.
func TestRemainingDeadline(t *testing.T) {
	b := newFixture(t)
	r := request(intake, 5, 1, b.open(intake, 5, agateclass.Short))
	r.Deadline = 800
	first := b.wantOne(b.receive(r, "batch"), agatedispatch.Server)
	b.now = b.now.Add(300 * time.Millisecond)
	second := b.wantOne(b.shed(first), agatedispatch.Server)
	one, _ := decode(t, first)
	two, body := decode(t, second)
	if one.Deadline != 800 || two.Deadline != 500 || body != "batch" {
		t.Fatalf("got deadlines %d and %d ms, body %q, want 800 and 500 ms, the original body", one.Deadline, two.Deadline, body)
	}
}

// TestFeedOpen checks that opening a feed issues a token and makes no record in
// the guard.
func TestFeedOpen(t *testing.T) {
	b := newFixture(t)
	b.open(maps, 9, agateclass.Feed)
	state, ok := b.d.State().(agatedispatch.State)
	if !ok || state.Guarded != 0 || state.Counts.Opened != 1 {
		t.Fatalf("got %+v, want one token and no record in the guard", state)
	}
}

package agatedispatch_test

import (
	"net/netip"
	"testing"
	"time"

	"agatereach/core/process/agatedispatch"
	"agatereach/core/process/agatepeers"
	"agatereach/core/request/agateclass"
	"agatereach/core/request/agateheader"
	"agatereach/core/request/agatekind"
	"agatereach/core/request/agateoutcome"
	"agatereach/core/request/agatereason"
	"agatereach/core/request/agateseal"
	"agatereach/core/version/agatebatch"
	"agatereach/core/version/agatecentre"
	"agatereach/core/version/agatekeyring"
	"agatereach/core/version/agateruleset"
	"agatereach/core/version/agateserver"
	"agatereach/core/version/agateservice"
	"agatereach/core/version/agatestate"
	"agatereach/core/version/agateteam"
	"agatereach/core/version/agateticket"
	"agatereach/core/version/agateview"
)

// The services of the tests. Requests of intake are not idempotent, those of
// maps are.
const (
	intake = uint32(1)
	maps   = uint32(2)
)

// centre is the data centre of the processes under test.
const centre = uint16(1)

var (
	epoch  = time.Date(2026, 7, 1, 12, 0, 0, 0, time.UTC)
	caller = netip.MustParseAddrPort("127.9.0.1:5000")
)

func address(number int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, 0, byte(number)}), 7002)
}

func entry(number int, boot uint64) agatepeers.Peer {
	return agatepeers.Peer{
		VM: "vm-" + string(rune('a'+number)), Centre: centre, Boot: boot,
		Relay: address(number), State: agatepeers.Live,
	}
}

func backend(id, service uint32, state agateserver.State) agateserver.Server {
	return agateserver.Server{
		ID: id, Service: service, Incarnation: 7, Centre: centre, Slots: 3, Connections: 100, State: state,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, 1, byte(id)}), 9000),
		Health:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, 1, byte(id)}), 9001),
	}
}

func baseTicket() agateticket.Ticket {
	return agateticket.Ticket{
		Number:  1,
		Centres: []agatecentre.Centre{{ID: centre, Name: "a", Region: "east"}, {ID: 2, Name: "b", Region: "east"}},
		Services: []agateservice.Service{
			{ID: intake, Name: "intake", State: agateservice.Up, Team: "survey", Deadline: 1000, MaxDeadline: 10000},
			{ID: maps, Name: "maps", State: agateservice.Up, Team: "survey", Deadline: 900, MaxDeadline: 10000, Idempotent: true, Addresses: []netip.AddrPort{mapsAddress}},
		},
		Servers: []agateserver.Server{
			backend(11, intake, agateserver.Up), backend(12, intake, agateserver.Up),
			backend(21, maps, agateserver.Up), backend(22, maps, agateserver.Up),
		},
		Rules: []agateruleset.Ruleset{
			{Service: intake, Default: agateruleset.Allow}, {Service: maps, Default: agateruleset.Allow},
		},
		Teams: []agateteam.Team{{Name: "survey", Share: 1}},
		Ring:  &agatekeyring.Ring{Keys: []agatekeyring.Key{{ID: 1, Secret: agatekeyring.Secret{1}}}, SigningKeyID: 1},
	}
}

func viewOf(tickets ...agateticket.Ticket) *agateview.View {
	state := agatestate.New(centre)
	for i := range tickets {
		n := tickets[i].Number
		state = state.With(&agatebatch.Batch{After: n - 1, Upto: n, Head: n, Tickets: tickets[i : i+1]})
	}
	return agateview.New(state, nil)
}

// allowAll allows every open.
type allowAll struct{}

// Allow implements agatedispatch.Openers.
func (allowAll) Allow(time.Time, uint32, netip.Addr) bool { return true }

// fixture holds one dispatcher and a clock.
type fixture struct {
	t   testing.TB
	now time.Time
	d   *agatedispatch.Dispatcher
	// listen is the address at which callers' datagrams arrive.
	listen netip.AddrPort
}

func newFixture(t testing.TB, options ...agatedispatch.Option) *fixture {
	b := &fixture{t: t, now: epoch}
	b.d = agatedispatch.New(entry(1, 101), options...)
	b.d.SetView(b.now, viewOf(baseTicket()))
	b.d.SetPeers(b.now, agatepeers.New([]agatepeers.Peer{entry(1, 101), entry(2, 102)}, nil))
	return b
}

func (b *fixture) receive(h agateheader.Header, body string) []agatedispatch.Output {
	b.t.Helper()
	in := input(b.t, h, body)
	in.Listen = b.listen
	return b.d.Handle(b.now, in)
}

func input(t testing.TB, h agateheader.Header, body string) *agatedispatch.Input {
	t.Helper()
	h.Version = agateheader.Version
	datagram, err := h.Append(nil, []byte(body))
	if err != nil {
		t.Fatal(err)
	}
	in := &agatedispatch.Input{Source: agatedispatch.Caller, Caller: caller, Datagram: datagram}
	if in.Body, err = in.Header.Decode(datagram); err != nil {
		t.Fatal(err)
	}
	return in
}

// open opens a flow and returns its token.
func (b *fixture) open(service uint32, flow uint64, class agateclass.Class) agateseal.Seal {
	b.t.Helper()
	out := b.receive(agateheader.Header{Kind: agatekind.Open, Service: service, Flow: flow, Class: class}, "")
	h, _ := b.callerOutput(out)
	if h.Kind != agatekind.Opened {
		b.t.Fatalf("open: got %s, reason %q", h.Kind, h.Reason)
	}
	return h.Token
}

func request(service uint32, flow, number uint64, token agateseal.Seal) agateheader.Header {
	return agateheader.Header{
		Kind: agatekind.Request, Service: service, Flow: flow, Number: number, Token: token, Class: agateclass.Short,
	}
}

// callerOutput returns the header and body of the only output, which must go to
// a caller.
func (b *fixture) callerOutput(out []agatedispatch.Output) (agateheader.Header, string) {
	b.t.Helper()
	return decode(b.t, b.wantOne(out, agatedispatch.Caller))
}

// wantOne returns the only output, which must go to the given kind of process.
func (b *fixture) wantOne(out []agatedispatch.Output, to agatedispatch.Source) agatedispatch.Output {
	b.t.Helper()
	if len(out) != 1 || out[0].To != to {
		b.t.Fatalf("got %d outputs %+v, want one to the %s", len(out), out, to)
	}
	return out[0]
}

func (b *fixture) wantNothing(out []agatedispatch.Output) {
	b.t.Helper()
	if len(out) != 0 {
		b.t.Fatalf("got %d outputs %+v, want none", len(out), out)
	}
}

func decode(t testing.TB, out agatedispatch.Output) (agateheader.Header, string) {
	t.Helper()
	var h agateheader.Header
	body, err := h.Decode(out.Datagram)
	if err != nil {
		t.Fatal(err)
	}
	return h, string(body)
}

// reply passes in a datagram from the server that received sent.
func (b *fixture) reply(sent agatedispatch.Output, kind agatekind.Kind, outcome agateoutcome.Outcome, reason agatereason.Reason, body string) []agatedispatch.Output {
	b.t.Helper()
	h, _ := decode(b.t, sent)
	in := input(b.t, agateheader.Header{
		Kind: kind, Service: h.Service, Flow: h.Flow, Number: h.Number, Outcome: outcome, Reason: reason,
	}, body)
	in.Source, in.Route = agatedispatch.Server, sent.Route
	return b.d.Handle(b.now, in)
}

func (b *fixture) answer(sent agatedispatch.Output, body string) []agatedispatch.Output {
	return b.reply(sent, agatekind.Answer, "", "", body)
}

func (b *fixture) shed(sent agatedispatch.Output) []agatedispatch.Output {
	return b.reply(sent, agatekind.Refuse, agateoutcome.NotRun, agatereason.Overload, "")
}

func (b *fixture) wantRefusal(out []agatedispatch.Output, outcome agateoutcome.Outcome, reason agatereason.Reason) {
	b.t.Helper()
	h, _ := b.callerOutput(out)
	if h.Kind != agatekind.Refuse || h.Outcome != outcome || h.Reason != reason {
		b.t.Fatalf("got %s %q %q, want refuse %q %q", h.Kind, h.Outcome, h.Reason, outcome, reason)
	}
}

func (b *fixture) wantAnswer(out []agatedispatch.Output, number uint64, body string) {
	b.t.Helper()
	h, got := b.callerOutput(out)
	if h.Kind != agatekind.Answer || h.Number != number || got != body {
		b.t.Fatalf("got %s to %d, body %q, want the answer to %d, %q", h.Kind, h.Number, got, number, body)
	}
}

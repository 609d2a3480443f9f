package agateforward_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"agatereach/core/request/agateadmit"
	"agatereach/core/request/agatefault"
	"agatereach/core/request/agateforward"
	"agatereach/core/request/agateheader"
	"agatereach/core/request/agatekind"
	"agatereach/core/request/agatereason"
	"agatereach/core/request/agateroute"
	"agatereach/core/request/agateseal"
	"agatereach/core/request/agatetoken"
	"agatereach/core/version/agatebatch"
	"agatereach/core/version/agatecentre"
	"agatereach/core/version/agatekeyring"
	"agatereach/core/version/agateruleset"
	"agatereach/core/version/agateserver"
	"agatereach/core/version/agateservice"
	"agatereach/core/version/agatestate"
	"agatereach/core/version/agateticket"
	"agatereach/core/version/agateview"
)

var (
	now    = time.Unix(1_800_000_000, 0)
	caller = netip.MustParseAddrPort("127.0.1.9:5000")
	listen = netip.MustParseAddrPort("127.0.0.1:7000")
	other  = netip.MustParseAddrPort("127.0.0.1:7001")
	server = netip.MustParseAddrPort("127.0.2.1:9000")
	secret = agatekeyring.Key{ID: 1, Secret: agatekeyring.Secret{9}}
	ring   = agatekeyring.Ring{Keys: []agatekeyring.Key{{ID: 1, Secret: agatekeyring.Secret{1}}}, SigningKeyID: 1}
)

// view returns a view of one service with one server in data centre 1, and of
// another service that owns the address other; rules are the first service's.
func view(rules ...agateruleset.Rule) *agateview.View {
	service := agateservice.Service{ID: 1, Name: "map", State: agateservice.Up, Team: "map", Deadline: 1, MaxDeadline: 1, Addresses: []netip.AddrPort{listen}}
	second := service
	second.ID, second.Addresses = 2, []netip.AddrPort{other}
	ticket := agateticket.Ticket{
		Number:   5,
		Centres:  []agatecentre.Centre{{ID: 1, Name: "a", Region: "r"}},
		Services: []agateservice.Service{service, second},
		Servers:  []agateserver.Server{{ID: 7, Service: 1, Incarnation: 3, Address: server, Health: server, Centre: 1, Slots: 3, State: agateserver.Up}},
		Rules:    []agateruleset.Ruleset{{Service: 1, Default: agateruleset.Allow, Rules: rules}},
		Ring:     &ring,
	}
	if err := ticket.Check(); err != nil {
		panic(err)
	}
	batch := agatebatch.Batch{Upto: 5, Head: 5, Tickets: []agateticket.Ticket{ticket}}
	return agateview.New(agatestate.New(1).With(&batch), nil)
}

// token returns the token of a flow of the first service.
func token() agatetoken.Token {
	return agatetoken.Token{Service: 1, Centre: 1, Server: 7, Incarnation: 3, Guard: listen, Boot: 4, Ticket: 5, Issued: now, Flow: 11}
}

func seal(t agatetoken.Token, keys agatekeyring.Ring) agateseal.Seal {
	s, err := t.Seal(&keys)
	if err != nil {
		panic(err)
	}
	return s
}

func TestDecide(t *testing.T) {
	cut := agateruleset.Rule{Prefix: netip.MustParsePrefix("127.0.1.0/24"), Effect: agateruleset.Deny, Established: agateruleset.Cut}
	keep := cut
	keep.Established = agateruleset.Keep
	foreign := agatekeyring.Ring{Keys: []agatekeyring.Key{{ID: 1, Secret: agatekeyring.Secret{2}}}, SigningKeyID: 1}
	unknown := agatekeyring.Ring{Keys: []agatekeyring.Key{{ID: 9}}, SigningKeyID: 9}
	tests := []struct {
		name   string
		view   *agateview.View
		kind   agatekind.Kind
		listen netip.AddrPort
		token  func(*agatetoken.Token)
		ring   agatekeyring.Ring
		bare   bool
		action agateforward.Action
		fault  agatefault.Fault
		reason agatereason.Reason
	}{
		{name: "data", action: agateforward.Serve},
		{name: "ping", kind: agatekind.Ping, action: agateforward.Serve},
		{name: "kept by a rule", view: view(keep), action: agateforward.Serve},
		{name: "other centre", token: func(t *agatetoken.Token) { t.Centre = 2 }, action: agateforward.Relay},
		{name: "token is newer", token: func(t *agatetoken.Token) { t.Server, t.Ticket = 8, 6 }, action: agateforward.Guard},
		{name: "ping without server", kind: agatekind.Ping, token: func(t *agatetoken.Token) { t.Server = 0 }, action: agateforward.Reply},
		{name: "data without server", token: func(t *agatetoken.Token) { t.Server = 0 }, fault: agatefault.Kind, reason: agatereason.Malformed},
		{name: "kind", kind: agatekind.Answer, fault: agatefault.Kind, reason: agatereason.Malformed},
		{name: "address", listen: other, fault: agatefault.Address, reason: agatereason.Service},
		{name: "no token", bare: true, fault: agatefault.Missing, reason: agatereason.Token},
		{name: "wrong code", ring: foreign, fault: agatefault.Code, reason: agatereason.Token},
		{name: "unknown key", ring: unknown, fault: agatefault.Key, reason: agatereason.Token},
		{name: "expired", token: func(t *agatetoken.Token) { t.Issued = now.Add(-agatetoken.Lifetime - time.Second) }, fault: agatefault.Expired, reason: agatereason.Expired},
		{name: "other service", token: func(t *agatetoken.Token) { t.Service = 2 }, fault: agatefault.Binding, reason: agatereason.Service},
		{name: "other flow", token: func(t *agatetoken.Token) { t.Flow = 12 }, fault: agatefault.Binding, reason: agatereason.Service},
		{name: "cut by a rule", view: view(cut), fault: agatefault.Denied, reason: agatereason.Denied},
		{name: "cut by a rule, token is newer", view: view(cut), token: func(t *agatetoken.Token) { t.Ticket = 6 }, action: agateforward.Guard},
		{name: "server gone", token: func(t *agatetoken.Token) { t.Server = 8 }, fault: agatefault.Gone, reason: agatereason.Gone},
		{name: "server started anew", token: func(t *agatetoken.Token) { t.Incarnation = 2 }, fault: agatefault.Gone, reason: agatereason.Gone},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			flow := token()
			if test.token != nil {
				test.token(&flow)
			}
			if test.view == nil {
				test.view = view()
			}
			if test.ring.SigningKeyID == 0 {
				test.ring = ring
			}
			h := agateheader.Header{Kind: agatekind.Data, Service: 1, Flow: 11, Token: seal(flow, test.ring)}
			if test.kind != "" {
				h.Kind = test.kind
			}
			if test.bare {
				h.Token = agateseal.Seal{}
			}
			origin := agateforward.Origin{Caller: caller, Listen: listen, Centre: 1}
			if test.listen.IsValid() {
				origin.Listen = test.listen
			}
			var f agateforward.Forward
			err := f.Decide(test.view, &h, &origin, &secret, now)
			if test.fault != "" {
				if err == nil || agatefault.Of(err) != test.fault || agateforward.Reason(err) != test.reason {
					t.Fatalf("error %v: fault %q, reason %q", err, agatefault.Of(err), agateforward.Reason(err))
				}
				return
			}
			if err != nil || f.Action != test.action {
				t.Fatalf("action %q, error %v; want %q", f.Action, err, test.action)
			}
			if f.Action == agateforward.Serve && (f.Address != server || agateforward.CheckReturn(test.view, &f.Route, &secret) != nil) {
				t.Fatalf("address %v, route %+v", f.Address, f.Route)
			}
		})
	}
}

// TestTicketMovesNoFlow guards against segments that go elsewhere because a later ticket
// gives the flow's server another address and keeps its incarnation.
func TestTicketMovesNoFlow(t *testing.T) {
	before := view()
	moved := *before.Server(7)
	moved.Address = other
	batch := agatebatch.Batch{Upto: 6, Head: 6, Tickets: []agateticket.Ticket{{Number: 6, Servers: []agateserver.Server{moved}}}}
	after := agateview.New(before.State().With(&batch), before)
	h := agateheader.Header{Kind: agatekind.Data, Service: 1, Flow: 11, Token: seal(token(), ring)}
	var f agateforward.Forward
	if err := f.Decide(after, &h, &agateforward.Origin{Caller: caller, Listen: listen, Centre: 1}, &secret, now); err == nil && f.Address == other {
		t.Errorf("%s to %s, where the flow's server never was", f.Action, f.Address)
	}
}

func TestCheckReturn(t *testing.T) {
	route := agateroute.Route{Caller: caller, Service: 1, Server: 7, Incarnation: 3, Customer: 4, Centre: 1}
	route.Tag = route.Sum(&secret)
	forged := route
	forged.Caller = listen
	cut := agateruleset.Rule{Customer: 4, Effect: agateruleset.Deny, Established: agateruleset.Cut}
	if err := agateforward.CheckReturn(view(), &forged, &secret); agatefault.Of(err) != agatefault.Tag {
		t.Errorf("forged route: %v", err)
	}
	if err := agateforward.CheckReturn(view(cut), &route, &secret); agatefault.Of(err) != agatefault.Denied {
		t.Errorf("cut flow: %v", err)
	}
}

// rules returns a rule set of the given size, none of which matches.
func rules(count int) []agateruleset.Rule {
	list := make([]agateruleset.Rule, count)
	for i := range list {
		list[i] = agateruleset.Rule{Prefix: netip.MustParsePrefix(fmt.Sprintf("10.%d.0.0/16", i%250)), Effect: agateruleset.Deny}
	}
	return list
}

// steps are the parts of the packet path, each of which must not allocate.
func steps(ruleCount int) map[string]func() {
	v := view(rules(ruleCount)...)
	flow := token()
	h := agateheader.Header{Version: agateheader.Version, Kind: agatekind.Data, Service: 1, Flow: 11, Token: seal(flow, ring)}
	datagram, err := h.Append(nil, make([]byte, 64))
	if err != nil {
		panic(err)
	}
	origin := agateforward.Origin{Caller: caller, Listen: listen, Centre: 1}
	var decoded agateheader.Header
	var admission agateadmit.Admission
	var f agateforward.Forward
	out := make([]byte, 0, agateroute.Size)
	must := func(err error) {
		if err != nil {
			panic(err)
		}
	}
	return map[string]func(){
		"decode": func() {
			_, err := decoded.Decode(datagram)
			must(err)
		},
		"verify": func() { must(admission.Check(v, &h, caller.Addr(), 1, now)) },
		"route": func() {
			must(f.Decide(v, &h, &origin, &secret, now))
			out = f.Route.Append(out[:0])
		},
		"forward": func() {
			_, err := decoded.Decode(datagram)
			must(err)
			must(f.Decide(v, &decoded, &origin, &secret, now))
			out = f.Route.Append(out[:0])
		},
		"return": func() {
			var r agateroute.Route
			_, err := r.Decode(out)
			must(err)
			must(agateforward.CheckReturn(v, &r, &secret))
		},
	}
}

var order = []string{"decode", "verify", "route", "forward", "return"}

func TestNoAllocations(t *testing.T) {
	for _, count := range []int{0, 100} {
		step := steps(count)
		for _, name := range order {
			if allocs := testing.AllocsPerRun(100, step[name]); allocs != 0 {
				t.Errorf("%s with %d rules: %v allocations", name, count, allocs)
			}
		}
	}
}

func BenchmarkPath(b *testing.B) {
	for _, count := range []int{0, 100} {
		step := steps(count)
		for _, name := range order {
			b.Run(fmt.Sprintf("%s/rules=%d", name, count), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					step[name]()
				}
			})
		}
	}
}

package agateaudit

import (
	"errors"
	"net/netip"
	"strings"
	"testing"

	"agatereach/core/version/agatebatch"
	"agatereach/core/version/agatecentre"
	"agatereach/core/version/agatekeyring"
	"agatereach/core/version/agateruleset"
	"agatereach/core/version/agateserver"
	"agatereach/core/version/agateservice"
	"agatereach/core/version/agateteam"
	"agatereach/core/version/agateticket"
)

func server(id uint32, port uint16) agateserver.Server {
	return agateserver.Server{
		ID: id, Service: 1, Incarnation: 1, Centre: 1, Slots: 3, State: agateserver.Up,
		Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port),
		Health:  netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port+1000),
	}
}

func service(id uint32) agateservice.Service {
	return agateservice.Service{
		ID: id, Name: "map", State: agateservice.Up, Team: "maps", Deadline: 1000, MaxDeadline: 5000,
		Addresses: []netip.AddrPort{netip.MustParseAddrPort("127.0.0.9:80")},
	}
}

func published() *agatebatch.Batch {
	ring := &agatekeyring.Ring{Keys: []agatekeyring.Key{{ID: 1}}, SigningKeyID: 1}
	return &agatebatch.Batch{Upto: 5, Head: 5, Tickets: []agateticket.Ticket{{
		Number:   5,
		Centres:  []agatecentre.Centre{{ID: 1, Name: "muc-a", Region: "by-south"}},
		Teams:    []agateteam.Team{{Name: "maps", Share: 1}},
		Services: []agateservice.Service{service(1)},
		Rules:    []agateruleset.Ruleset{{Service: 1, Default: agateruleset.Allow}},
		Servers:  []agateserver.Server{server(1, 1000), server(2, 1001)},
		Ring:     ring,
	}}}
}

func TestAudit(t *testing.T) {
	moved := server(1, 1002)
	taken := server(2, 1000)
	taken.Incarnation = 2
	elsewhere := server(1, 1000)
	elsewhere.Centre = 2
	stray := service(2)
	stray.Team = "nobody"
	unplaced := service(1).WithPolicy("nearest")
	tests := []struct {
		name   string
		ticket agateticket.Ticket
		want   []string
	}{
		{"clean", agateticket.Ticket{Number: 6, Servers: []agateserver.Server{server(3, 1003)}}, nil},
		{"old number", agateticket.Ticket{Number: 5, Servers: []agateserver.Server{server(3, 1003)}}, []string{"fault: ticket: number 5"}},
		{"address change", agateticket.Ticket{Number: 6, Servers: []agateserver.Server{moved}}, []string{"keeps incarnation 1"}},
		{"address taken", agateticket.Ticket{Number: 6, Servers: []agateserver.Server{taken}}, []string{"is that of backend server 1"}},
		{"other data centre", agateticket.Ticket{Number: 6, Servers: []agateserver.Server{elsewhere}}, []string{"data centre 2 is not known", "moves from data centre 1 to 2"}},
		{"last servers", agateticket.Ticket{Number: 6, Servers: []agateserver.Server{
			server(1, 1000).WithState(agateserver.Draining), server(2, 1001).WithState(agateserver.Draining),
		}}, []string{"no backend server left"}},
		{"stray service", agateticket.Ticket{Number: 6, Services: []agateservice.Service{stray}}, []string{"team \"nobody\"", "has no rules", "belongs to service 1"}},
		{"unknown policy", agateticket.Ticket{Number: 6, Services: []agateservice.Service{unplaced}}, []string{"policy \"nearest\" is not known"}},
		{"dropped key", agateticket.Ticket{Number: 6, Ring: &agatekeyring.Ring{Keys: []agatekeyring.Key{{ID: 2}}, SigningKeyID: 2}}, []string{"key 1 signs today", "key 2 signs before"}},
		{"changed secret", agateticket.Ticket{Number: 6, Ring: &agatekeyring.Ring{Keys: []agatekeyring.Key{{ID: 1, Secret: agatekeyring.Secret{9}}}, SigningKeyID: 1}}, []string{"changes its secret"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			findings, err := Audit(published(), &test.ticket)
			if err != nil {
				t.Fatal(err)
			}
			if len(findings) != len(test.want) {
				t.Fatalf("findings %v, want %d", findings, len(test.want))
			}
			for i, want := range test.want {
				if !strings.Contains(findings[i].String(), want) {
					t.Errorf("finding %d is %q, want %q", i, findings[i], want)
				}
			}
		})
	}
}

func TestAuditRefusesInvalidTicket(t *testing.T) {
	var empty *agateticket.EmptyError
	if _, err := Audit(published(), &agateticket.Ticket{Number: 6}); !errors.As(err, &empty) {
		t.Fatalf("error %v, want an EmptyError", err)
	}
}

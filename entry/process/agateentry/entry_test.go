package agateentry_test

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"agatereach/core/process/agatesettings"
	"agatereach/core/request/agateclass"
	"agatereach/core/request/agateheader"
	"agatereach/core/request/agatekind"
	"agatereach/core/request/agatereason"
	"agatereach/core/request/agateroute"
	"agatereach/core/request/agateseal"
	"agatereach/core/version/agatebatch"
	"agatereach/core/version/agatecentre"
	"agatereach/core/version/agatekeyring"
	"agatereach/core/version/agateruleset"
	"agatereach/core/version/agateserver"
	"agatereach/core/version/agateservice"
	"agatereach/core/version/agateteam"
	"agatereach/core/version/agateticket"
	"agatereach/entry/process/agateentry"
	"agatereach/entry/request/agaterefuse"
)

// patience bounds each wait of a test.
const patience = 20 * time.Second

func listen(t *testing.T) *net.UDPConn {
	t.Helper()
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// server echoes: a ping as a pong, a request as its answer, data as data.
func server(t *testing.T) netip.AddrPort {
	conn := listen(t)
	replies := map[agatekind.Kind]agatekind.Kind{
		agatekind.Ping: agatekind.Pong, agatekind.Data: agatekind.Data, agatekind.Request: agatekind.Answer,
	}
	go func() {
		b := make([]byte, 1<<16)
		for {
			n, from, err := conn.ReadFromUDPAddrPort(b)
			if err != nil {
				return
			}
			var route agateroute.Route
			var h agateheader.Header
			rest, err := route.Decode(b[:n])
			if err != nil {
				continue
			}
			body, err := h.Decode(rest)
			if err != nil {
				continue
			}
			h.Kind = replies[h.Kind]
			route.Reported = true
			if reply, err := h.Append(route.Append(nil), body); err == nil {
				_, _ = conn.WriteToUDPAddrPort(reply, from)
			}
		}
	}()
	return conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// platform serves one ticket with one service of one server, and one VM.
func platform(t *testing.T, backend netip.AddrPort) string {
	ticket := agateticket.Ticket{
		Number:   1,
		Centres:  []agatecentre.Centre{{ID: 1, Name: "a", Region: "r"}},
		Teams:    []agateteam.Team{{Name: "map", Share: 1}},
		Services: []agateservice.Service{{ID: 1, Name: "map", State: agateservice.Up, Team: "map", Deadline: 5000, MaxDeadline: 5000}},
		Servers:  []agateserver.Server{{ID: 7, Service: 1, Incarnation: 3, Address: backend, Health: backend, Centre: 1, Slots: 3, Connections: 100, State: agateserver.Up}},
		Rules:    []agateruleset.Ruleset{{Service: 1, Default: agateruleset.Allow}},
		Ring:     &agatekeyring.Ring{Keys: []agatekeyring.Key{{ID: 1}}, SigningKeyID: 1},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/v1/tickets", func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("after") != "0" {
			<-r.Context().Done()
			return
		}
		_ = json.NewEncoder(w).Encode(agatebatch.Batch{Upto: 1, Head: 1, Tickets: []agateticket.Ticket{ticket}})
	})
	mux.HandleFunc("/v1/vms", func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("after") != "0" {
			<-r.Context().Done()
			return
		}
		_, _ = w.Write([]byte(`{"version":1,"vms":[]}`))
	})
	s := httptest.NewServer(mux)
	t.Cleanup(s.CloseClientConnections)
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// free returns an address that was free a moment ago, for UDP and for TCP.
func free(t *testing.T) netip.AddrPort {
	for {
		conn := listen(t)
		address := conn.LocalAddr().(*net.UDPAddr).AddrPort()
		listener, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(address))
		_ = conn.Close()
		if err == nil {
			_ = listener.Close()
			return address
		}
	}
}

// process is an entry under test and a caller.
type process struct {
	settings agatesettings.Settings
	entry    *agateentry.Entry
	caller   *net.UDPConn
	ended    chan error
}

func start(t *testing.T) *process {
	p := startAt(t, platform(t, server(t)))
	wait(t, func() bool { return p.entry.Ready() == nil })
	return p
}

// startAt starts an entry that reads the platform at the address.
func startAt(t *testing.T, platform string) *process {
	local := netip.MustParseAddrPort("127.0.0.1:0")
	callers, relay, link, admin := free(t), free(t), free(t), free(t)
	p := &process{caller: listen(t), ended: make(chan error, 1), settings: agatesettings.Settings{
		VM: "vm-a1", Centre: 1, Link: link, Relay: relay, Budget: 100, Drain: patience,
		Listen:   agatesettings.Listen{Callers: []netip.AddrPort{callers}, Sockets: 2, Servers: local, Relay: relay, Link: link, Admin: admin},
		Platform: []string{platform},
		Packets:  agatesettings.Packets{Batch: 8, Queue: 64, Refusals: 100},
		Peers:    agatesettings.Peers{Degree: 2, Readers: 1},
	}}
	entry, cleanup, err := agateentry.New(t.Context(), &p.settings, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cleanup)
	p.entry = entry
	go func() { p.ended <- entry.Run(context.WithoutCancel(t.Context())) }()
	t.Cleanup(func() { entry.Stop(); entry.Stop() })
	return p
}

func wait(t *testing.T, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("waited too long")
		}
	}
}

// ask sends a datagram until one of the kind comes back.
func (p *process) ask(t *testing.T, h agateheader.Header, body string, kind agatekind.Kind) (agateheader.Header, string) {
	t.Helper()
	h.Version, h.Service = agateheader.Version, 1
	datagram, err := h.Append(nil, []byte(body))
	if err != nil {
		t.Fatal(err)
	}
	b := make([]byte, 1<<16)
	for end := time.Now().Add(patience); time.Now().Before(end); {
		if _, err := p.caller.WriteToUDPAddrPort(datagram, p.settings.Listen.Callers[0]); err != nil {
			t.Fatal(err)
		}
		_ = p.caller.SetReadDeadline(time.Now().Add(time.Second))
		n, err := p.caller.Read(b)
		if err != nil {
			continue
		}
		var reply agateheader.Header
		rest, err := reply.Decode(b[:n])
		if err == nil && reply.Kind == kind && reply.Flow == h.Flow {
			return reply, string(rest)
		}
	}
	t.Fatalf("no %s came", kind)
	return h, ""
}

// metrics returns what the process serves at /metrics.
func (p *process) metrics(t *testing.T) string {
	reply, err := http.Get("http://" + p.settings.Listen.Admin.String() + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = reply.Body.Close() }()
	text, err := io.ReadAll(reply.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

func TestFlows(t *testing.T) {
	p := start(t)
	feed, _ := p.ask(t, agateheader.Header{Kind: agatekind.Open, Flow: 11, Class: agateclass.Feed}, "", agatekind.Opened)
	if _, body := p.ask(t, agateheader.Header{Kind: agatekind.Data, Flow: 11, Token: feed.Token}, "wind", agatekind.Data); body != "wind" {
		t.Errorf("feed sent back %q", body)
	}
	p.ask(t, agateheader.Header{Kind: agatekind.Ping, Flow: 11, Token: feed.Token}, "", agatekind.Pong)
	short, _ := p.ask(t, agateheader.Header{Kind: agatekind.Open, Flow: 12, Class: agateclass.Short}, "", agatekind.Opened)
	request := agateheader.Header{Kind: agatekind.Request, Flow: 12, Number: 1, Class: agateclass.Short, Token: short.Token, Deadline: 3000}
	if answer, body := p.ask(t, request, "reading", agatekind.Answer); answer.Number != 1 || body != "reading" {
		t.Errorf("answer %d %q", answer.Number, body)
	}
	forged := feed.Token
	forged[agateseal.Size-1]++
	if refusal, _ := p.ask(t, agateheader.Header{Kind: agatekind.Data, Flow: 11, Token: forged}, "", agatekind.Refuse); refusal.Reason != agatereason.Token {
		t.Errorf("forged token refused with reason %q", refusal.Reason)
	}
	for _, metric := range []string{`work_total{event="opened"}`, `faults_total{fault="code",from="caller"}`, `ticket_upto`} {
		wait(t, func() bool {
			_, value, found := strings.Cut(p.metrics(t), "\nagatereach_"+metric+" ")
			return found && value[0] != '0'
		})
	}
	p.entry.Stop()
	if err := <-p.ended; err != nil {
		t.Errorf("planned stop: %v", err)
	}
	if p.entry.Draining() != nil {
		t.Error("not draining after a planned stop")
	}
}

func TestGarbage(t *testing.T) {
	p := start(t)
	good, err := (&agateheader.Header{Version: agateheader.Version, Kind: agatekind.Data, Service: 1, Flow: 9}).Append(nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	version := append([]byte(nil), good...)
	version[1] = 9
	for _, b := range [][]byte{{1}, []byte("this is no datagram at all"), good[:len(good)-1], version, append(good, make([]byte, agateheader.MaxDatagram)...)} {
		if _, err := p.caller.WriteToUDPAddrPort(b, p.settings.Listen.Callers[0]); err != nil {
			t.Fatal(err)
		}
		if _, err := p.caller.WriteToUDPAddrPort(b, p.settings.Listen.Relay); err != nil {
			t.Fatal(err)
		}
	}
	want := []string{"caller truncated", "caller malformed", "caller version", "caller oversized", "peer frame"}
	wait(t, func() bool {
		dump, err := p.entry.Dump(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		for _, name := range want {
			if dump.(*agateentry.Dump).Faults[name] == 0 {
				return false
			}
		}
		return true
	})
	if refusal, _ := p.ask(t, agateheader.Header{Kind: agatekind.Data, Flow: 10}, strings.Repeat("x", 100), agatekind.Refuse); refusal.Reason != agatereason.Token {
		t.Errorf("refused with reason %q", refusal.Reason)
	}
}

// TestRefusedOpens floods a process that has no tickets with opens: it must not
// send a refusal for each.
func TestRefusedOpens(t *testing.T) {
	p := startAt(t, free(t).String())
	begun := time.Now()
	refused := 0
	b := make([]byte, 1<<16)
	for flow := range uint64(8 * agaterefuse.Burst) {
		h := agateheader.Header{Version: agateheader.Version, Kind: agatekind.Open, Service: 1, Flow: flow + 1}
		datagram, err := h.Append(nil, nil)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := p.caller.WriteToUDPAddrPort(datagram, p.settings.Listen.Callers[0]); err != nil {
			t.Fatal(err)
		}
		_ = p.caller.SetReadDeadline(time.Now().Add(time.Millisecond))
		if _, err := p.caller.Read(b); err == nil {
			refused++
		}
	}
	limit := agaterefuse.Burst + int(time.Since(begun).Seconds()*float64(p.settings.Packets.Refusals)) + 1
	if refused == 0 || refused > limit {
		t.Errorf("%d refusals, want 1 to %d", refused, limit)
	}
}

func TestListenError(t *testing.T) {
	p := start(t)
	_, _, err := agateentry.New(t.Context(), &p.settings, slog.New(slog.DiscardHandler))
	if err == nil || !strings.Contains(err.Error(), p.settings.Listen.Relay.String()) {
		t.Errorf("second process at the same addresses: %v", err)
	}
	if errors.Is(err, context.Canceled) {
		t.Error(err)
	}
}

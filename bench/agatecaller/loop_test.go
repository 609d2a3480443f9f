package agatecaller_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"testing"
	"time"

	"agatereach/bench/agatebackend"
	"agatereach/bench/agatecaller"
	"agatereach/bench/agatecontrol"
	"agatereach/bench/agatefabric"
	"agatereach/bench/agateledger"
	"agatereach/core/request/agateheader"
	"agatereach/core/request/agatekind"
	"agatereach/core/request/agateroute"
	"agatereach/core/request/agatetoken"
	"agatereach/core/version/agatekeyring"
)

// plainEntry is an entry as simple as can be: every flow goes to one server.
type plainEntry struct {
	callers, servers *net.UDPConn
	ring             agatekeyring.Ring
	server           agatebackend.Spec
}

func newPlainEntry(t *testing.T, ring agatekeyring.Ring, server agatebackend.Spec) *plainEntry {
	t.Helper()
	e := &plainEntry{ring: ring, server: server}
	for _, socket := range []**net.UDPConn{&e.callers, &e.servers} {
		s, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = s.Close() })
		*socket = s
	}
	go e.up()
	go e.down()
	return e
}

func (e *plainEntry) up() {
	buffer := make([]byte, 16<<10)
	for attempt := uint64(1); ; attempt++ {
		count, caller, err := e.callers.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		var h agateheader.Header
		if _, err := h.Decode(buffer[:count]); err != nil {
			continue
		}
		if h.Kind == agatekind.Open {
			e.grant(&h, caller)
			continue
		}
		route := agateroute.Route{
			Caller: caller, Service: h.Service, Server: e.server.ID,
			Incarnation: e.server.Incarnation, Attempt: attempt,
		}
		datagram := append(route.Append(nil), buffer[:count]...)
		_, _ = e.servers.WriteToUDPAddrPort(datagram, e.server.Address)
	}
}

func (e *plainEntry) grant(h *agateheader.Header, caller netip.AddrPort) {
	token := agatetoken.Token{Service: h.Service, Flow: h.Flow, Boot: 1, Issued: time.Now()}
	seal, err := token.Seal(&e.ring)
	if err != nil {
		return
	}
	granted := agateheader.Header{
		Version: agateheader.Version, Kind: agatekind.Opened, Service: h.Service, Flow: h.Flow, Token: seal,
	}
	if datagram, err := granted.Append(nil, nil); err == nil {
		_, _ = e.callers.WriteToUDPAddrPort(datagram, caller)
	}
}

func (e *plainEntry) down() {
	buffer := make([]byte, 16<<10)
	for {
		count, _, err := e.servers.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		var route agateroute.Route
		if rest, err := route.Decode(buffer[:count]); err == nil {
			_, _ = e.callers.WriteToUDPAddrPort(rest, route.Caller)
		}
	}
}

// surroundings starts the stand-ins and returns their control endpoints.
func surroundings(t *testing.T, load agatecaller.Load) (callers, backend *agatecontrol.Mux) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	address := netip.MustParseAddrPort("127.1.1.1:0")
	backend = agatecontrol.NewMux()
	specs, stop, err := agatebackend.Start(ctx, agatebackend.Settings{
		Push: 50 * time.Millisecond, HealthLag: time.Second,
		Servers: []agatebackend.Spec{{
			ID: 1001, Service: 1, Incarnation: 1, Centre: 1, Address: address, Health: address,
			Slots: 3, Queue: 50, Connections: 10,
		}},
	}, backend)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	ring := agatekeyring.Ring{Keys: []agatekeyring.Key{{ID: 1}}, SigningKeyID: 1}
	entry := newPlainEntry(t, ring, specs[0])
	network := agatecontrol.NewMux()
	addresses, stop, err := agatefabric.Start(ctx, agatefabric.Settings{}, network)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	call[agatecontrol.None](t, network, "/targets", []netip.AddrPort{entry.callers.LocalAddr().(*net.UDPAddr).AddrPort()})
	callers = agatecontrol.NewMux()
	_, stop, err = agatecaller.Start(ctx, agatecaller.Settings{
		Seed: 1, Fabric: addresses.Callers, Ring: ring, Loads: []agatecaller.Load{load},
	}, callers)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	return callers, backend
}

func call[Out any](t *testing.T, mux *agatecontrol.Mux, path string, in any) Out {
	t.Helper()
	var out Out
	body, err := json.Marshal(in)
	if err != nil {
		t.Fatal(err)
	}
	recorder := httptest.NewRecorder()
	mux.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, path, bytes.NewReader(body)))
	if recorder.Code != http.StatusOK {
		t.Fatalf("call %s: %s", path, recorder.Body)
	}
	if err := json.NewDecoder(recorder.Body).Decode(&out); err != nil {
		t.Fatal(err)
	}
	return out
}

// TestLoop runs feeds and requests through a plain entry and checks that both
// sides recorded the same.
func TestLoop(t *testing.T) {
	callers, backend := surroundings(t, agatecaller.Load{
		Service: 1, Feeds: 2, Flows: 2, Uses: 20, Rate: 200, Retry: time.Second,
		Mix: agatecaller.Mix{
			Mean: 2 * time.Millisecond, Once: 0.5, Deadline: 20 * time.Second, LongDeadline: 20 * time.Second, Factor: 1,
		},
	})
	call[agatecontrol.None](t, callers, "/begin", agatecontrol.None{})
	for {
		p := call[agatecaller.Progress](t, callers, "/progress", agatecontrol.None{})
		if p.Answered >= 60 && p.Feeds == 2 {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	records := call[agateledger.Callers](t, callers, "/end", agatecontrol.None{})
	served := call[agateledger.Backend](t, backend, "/records", agatecontrol.None{})
	runs := make(map[[2]uint64]bool)
	for _, r := range served.Runs {
		runs[[2]uint64{r.Flow, r.Number}] = true
	}
	for _, r := range records.Requests {
		if r.Result != agateledger.Answered || r.Foreign {
			t.Errorf("request was %s, foreign %v", r.Result, r.Foreign)
		}
		if !slices.ContainsFunc(r.Numbers, func(n uint64) bool { return runs[[2]uint64{r.Flow, n}] }) {
			t.Errorf("request %d of flow %x was answered and never ran", r.Numbers, r.Flow)
		}
	}
	if len(records.Feeds) != 2 {
		t.Fatalf("%d feeds, want 2", len(records.Feeds))
	}
	for _, f := range records.Feeds {
		if f.Established == 0 || f.Server != 1001 || f.Cause != "" || f.Foreign != 0 {
			t.Errorf("feed is %+v", f)
		}
	}
}

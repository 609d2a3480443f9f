package agatebaseline

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"text/template"
	"time"

	"agatereach/bench/agatebuild"
	"agatereach/bench/agatechild"
	"agatereach/bench/agatecontrol"
	"agatereach/bench/agateharness"
	"agatereach/bench/agateplatform"
	"agatereach/core/connection/agatesocket"
	"agatereach/core/process/agatehealth"
	"agatereach/core/request/agateclass"
	"agatereach/core/request/agateheader"
	"agatereach/core/request/agatekind"
	"agatereach/core/request/agateroute"
	"agatereach/core/request/agateseal"
	"agatereach/core/version/agatecentre"
	"agatereach/core/version/agatekeyring"
	"agatereach/core/version/agateruleset"
	"agatereach/core/version/agateserver"
	"agatereach/core/version/agateservice"
	"agatereach/core/version/agateteam"
	"agatereach/core/version/agateticket"
)

const (
	// service, server and incarnation are those of the only server.
	service     = 1
	server      = 7
	incarnation = 3
	// flow is the first flow; the others follow.
	flow = 100
	// reads is the number of reads a second that the platform serves.
	reads = 2000
	// openTimeout bounds the opening of the flows.
	openTimeout = 30 * time.Second
	openPause   = 50 * time.Millisecond
)

// bench holds the relays and the sockets around them.
type bench struct {
	options Options
	entry   *relay
	bare    *relay
	// server is the backend server, callers the callers with a flow each.
	server  *sink
	callers []*sink
	// up and down are the datagrams without a prefix: one a caller upwards,
	// and one for all downwards.
	up   [][]byte
	down []byte
	// cleanups end what has been started.
	cleanups []func()
}

// setUp starts everything and opens the flows. The returned function ends what
// has been started, also after an error.
func setUp(ctx context.Context, directory string, o Options) (*bench, func(), error) {
	b := &bench{options: o}
	stop := func() {
		for i := len(b.cleanups) - 1; i >= 0; i-- {
			b.cleanups[i]()
		}
	}
	for _, step := range []func(context.Context, string) error{b.listen, b.startBare, b.startEntry, b.open} {
		if err := step(ctx, directory); err != nil {
			return nil, stop, err
		}
	}
	return b, stop, nil
}

// listen opens the sockets of the server and the callers.
func (b *bench) listen(ctx context.Context, _ string) error {
	for range 1 + floods {
		local := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 0)
		socket, cleanup, err := agatesocket.Listen(ctx, local, false)
		if err != nil {
			return err
		}
		b.cleanups = append(b.cleanups, cleanup)
		s := &sink{socket: socket}
		go s.run()
		b.callers = append(b.callers, s)
	}
	b.server, b.callers = b.callers[0], b.callers[1:]
	return nil
}

func (b *bench) startBare(context.Context, string) error {
	settings := BareSettings{Server: b.server.socket.Address()}
	child, address, stop, err := agatechild.Start[netip.AddrPort]("bare", settings, os.Stderr)
	if err != nil {
		return err
	}
	b.cleanups = append(b.cleanups, stop)
	b.bare = &relay{name: "bare relay", pid: child.PID(), callers: address}
	return nil
}

// startEntry builds and starts an entry and the platform that it reads.
func (b *bench) startEntry(ctx context.Context, directory string) error {
	health := httptest.NewServer(http.HandlerFunc(answerHealth))
	b.cleanups = append(b.cleanups, health.Close)
	endpoint, err := netip.ParseAddrPort(strings.TrimPrefix(health.URL, "http://"))
	if err != nil {
		return err
	}
	settings := agateplatform.Settings{Rate: reads, Tickets: []agateticket.Ticket{b.ticket(endpoint)}}
	platform, stop, err := agateplatform.Start(ctx, settings, agatecontrol.NewMux())
	if err != nil {
		return err
	}
	b.cleanups = append(b.cleanups, stop)
	path, callers, err := writeSettings(directory, platform)
	if err != nil {
		return err
	}
	binary, err := agatebuild.Build(ctx, directory, "agatereach/entry")
	if err != nil {
		return err
	}
	child, stop, err := agatechild.Exec("entry", binary, os.Stderr, "--config", path)
	if err != nil {
		return err
	}
	b.cleanups = append(b.cleanups, stop)
	b.entry = &relay{name: "entry", pid: child.PID(), callers: callers}
	return nil
}

func answerHealth(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(agatehealth.Report{Service: service, Named: server, Incarnation: incarnation, State: agatehealth.StateUp})
}

// ticket describes the only service and its only server.
func (b *bench) ticket(health netip.AddrPort) agateticket.Ticket {
	return agateticket.Ticket{
		Number:   1,
		Centres:  []agatecentre.Centre{{ID: 1, Name: "a", Region: "r"}},
		Teams:    []agateteam.Team{{Name: "team", Share: 1}},
		Services: []agateservice.Service{{ID: service, Name: "feed", State: agateservice.Up, Team: "team", Deadline: 1000, MaxDeadline: 1000}},
		Servers: []agateserver.Server{{
			ID: server, Service: service, Incarnation: incarnation, Address: b.server.socket.Address(), Health: health,
			Centre: 1, Slots: 3, Connections: 2000, State: agateserver.Up,
		}},
		Rules: []agateruleset.Ruleset{{Service: service, Default: agateruleset.Allow}},
		Ring:  &agatekeyring.Ring{Keys: []agatekeyring.Key{{ID: 1, Secret: agatekeyring.Secret{1}}}, SigningKeyID: 1},
	}
}

var settingsFile = template.Must(template.New("settings").Parse(`
vm = {id = "vm-1", centre = 1}
listen = {callers = ["{{index .Ports 0}}"], servers = "127.0.0.1:0", relay = "{{index .Ports 1}}", link = "{{index .Ports 2}}", admin = "127.0.0.1:0"}
platform = {addresses = ["{{.Platform}}"]}
peers = {secret = "000102030405060708090a0b0c0d0e0f"}
log = {level = "warn"}
stop = {drain = "1s"}
`))

// writeSettings writes the entry's settings and returns their path and the
// callers' address.
func writeSettings(directory, platform string) (string, netip.AddrPort, error) {
	ports, err := agateharness.FreePorts(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 3)
	if err != nil {
		return "", netip.AddrPort{}, err
	}
	path := filepath.Join(directory, "entry.toml")
	file, err := os.Create(path)
	if err != nil {
		return "", netip.AddrPort{}, err
	}
	defer func() { _ = file.Close() }()
	values := struct {
		Ports    []netip.AddrPort
		Platform string
	}{ports, platform}
	return path, ports[0], settingsFile.Execute(file, values)
}

// open opens a flow for each caller through the entry.
func (b *bench) open(ctx context.Context, _ string) error {
	for i, caller := range b.callers {
		token, err := b.openFlow(ctx, caller, flow+uint64(i))
		if err != nil {
			return err
		}
		h := header(agatekind.Data, flow+uint64(i))
		h.Token = token
		datagram, err := h.Append(nil, make([]byte, b.options.Body))
		if err != nil {
			return err
		}
		b.up = append(b.up, datagram)
	}
	h := header(agatekind.Data, flow)
	var err error
	b.down, err = h.Append(nil, make([]byte, b.options.Body))
	return err
}

func header(kind agatekind.Kind, flow uint64) agateheader.Header {
	return agateheader.Header{Version: agateheader.Version, Kind: kind, Service: service, Flow: flow, Class: agateclass.Feed}
}

// openFlow asks for a flow until it is granted.
func (b *bench) openFlow(ctx context.Context, caller *sink, flow uint64) (agateseal.Seal, error) {
	h := header(agatekind.Open, flow)
	datagram, err := h.Append(nil, nil)
	if err != nil {
		return agateseal.Seal{}, err
	}
	outbox := agatesocket.NewOutbox(caller.socket, 1, 0)
	for end := time.Now().Add(openTimeout); time.Now().Before(end) && ctx.Err() == nil; {
		outbox.Add(b.entry.callers, nil, datagram)
		sleep(ctx, openPause)
		newest := caller.newest.Load()
		if newest == nil {
			continue
		}
		var reply agateheader.Header
		if _, err := reply.Decode(newest.datagram); err == nil && reply.Kind == agatekind.Opened {
			return reply.Token, nil
		}
	}
	return agateseal.Seal{}, &OpenError{}
}

// packets returns what is sent in the phase, and where it is counted.
func (b *bench) packets(ctx context.Context, p phase) ([]packet, *sink, error) {
	if p.direction == "up" {
		return b.upward(p.relay), b.server, nil
	}
	first, err := b.prefix(ctx, p.relay)
	if err != nil {
		return nil, nil, err
	}
	list := make([]packet, floods)
	for i := range list {
		list[i] = packet{socket: b.server.socket, to: first.from, datagram: first.datagram}
	}
	return list, b.callers[0], nil
}

func (b *bench) upward(r *relay) []packet {
	list := make([]packet, floods)
	for i := range list {
		list[i] = packet{socket: b.callers[i].socket, to: r.callers, datagram: b.up[i]}
	}
	return list
}

// prefix sends one datagram up through the relay and returns the datagram that
// the server sends back.
func (b *bench) prefix(ctx context.Context, r *relay) (*sample, error) {
	b.server.newest.Store(nil)
	first := b.upward(r)[0]
	outbox := agatesocket.NewOutbox(first.socket, 1, 0)
	size := prefixSize
	if r == b.entry {
		size = agateroute.Size
	}
	for end := time.Now().Add(openTimeout); time.Now().Before(end) && ctx.Err() == nil; {
		outbox.Add(first.to, nil, first.datagram)
		sleep(ctx, openPause)
		if newest := b.server.newest.Load(); newest != nil && len(newest.datagram) == size+len(first.datagram) {
			datagram := append(newest.datagram[:size:size], b.down...)
			return &sample{from: newest.from, datagram: datagram}, nil
		}
	}
	return nil, &CountError{Relay: r.name, Direction: "up"}
}

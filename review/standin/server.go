package main

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Times of the protocol.
const (
	rtoFirst   = 200 * time.Millisecond
	rtoMax     = 1600 * time.Millisecond
	maxResends = 8
	beat       = 1200 * time.Millisecond
)

// run is a request that a server began to work on.
type run struct {
	id      string
	server  string
	service string
	// opened is when the server had the end of the handshake of the flow, synAt when
	// its opening packet arrived.
	synAt, opened, at time.Duration
	key               flowKey
}

// flowKey identifies a flow by both ends: the client's and the route's.
type flowKey struct{ client, vip endpoint }

// serverConfig says what a server is.
type serverConfig struct {
	id      uint64
	service string
	zone    string
	place   byte
	slots   int
	// work is the time that a request takes, if its path doesn't say otherwise.
	work time.Duration
	// register is how long after its start the server first writes to the store.
	register time.Duration
	// clock is added to the time of day.
	clock time.Duration
}

// backend is a stand-in for one boot of a server.
type backend struct {
	serverConfig
	g        *ground
	store    *store
	born     int64
	started  time.Duration
	conn     *net.UDPConn
	health   *http.Server
	slot     chan struct{}
	draining atomic.Bool
	ended    atomic.Bool
	mu       sync.Mutex
	flows    map[flowKey]*serverFlow
	seen     *seen
	sequence int
	stop     chan struct{}
}

// serverFlow is a flow at a server.
type serverFlow struct {
	key        flowKey
	clientISN  uint32
	next       uint32
	isn, end   uint32
	acked      uint32
	echo       uint32
	open       bool
	ended      bool
	synAt      time.Duration
	openedAt   time.Duration
	received   []byte
	unacked    int
	pendingOut []*packet
}

// seen collects what all servers saw.
type seen struct {
	mu    sync.Mutex
	runs  []run
	opens map[flowKey]*backend
	mixed []string
}

// mix notes that an end got what the other end of the flow didn't write.
func (s *seen) mix(what string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mixed = append(s.mixed, "MIXED: "+what)
}

func (s *seen) allMixed() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.mixed...)
}

func (s *seen) allRuns() []run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]run(nil), s.runs...)
}

// list returns a line for each request that a server ran.
func (s *seen) list() []string {
	runs := s.allRuns()
	lines := make([]string, len(runs))
	for i, r := range runs {
		lines[i] = fmt.Sprintf("%8.3f  %s was run by %s of the service %s; the opening packet of its flow %s had arrived at %.3f", r.at.Seconds(), r.id, r.server, r.service, r.key.client, r.synAt.Seconds())
	}
	return lines
}

func (s *seen) owner(k flowKey) *backend {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.opens[k]
}

// text returns the id as it stands in the store.
func (c *serverConfig) text() string { return fmt.Sprintf("i-%x", c.id) }

func (b *backend) addr() netip.AddrPort {
	return netip.AddrPortFrom(b.g.at(kindServer, b.place), b.g.server)
}

// startBackend starts a boot of a server.
func startBackend(g *ground, s *store, o *seen, c serverConfig) (*backend, error) {
	b := &backend{
		serverConfig: c, g: g, store: s, seen: o, flows: make(map[flowKey]*serverFlow), stop: make(chan struct{}),
		born: time.Now().Add(c.clock).UnixMilli(), started: g.since(), slot: make(chan struct{}, c.slots),
	}
	var err error
	if b.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(b.addr())); err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp4", b.addr().String())
	if err != nil {
		_ = b.conn.Close()
		return nil, err
	}
	b.health = &http.Server{Handler: http.HandlerFunc(b.serveHealth), ReadHeaderTimeout: time.Second}
	go func() { _ = b.health.Serve(listener) }()
	g.note("server %s (%s, %s) starts at %s, born %d", b.text(), c.service, c.zone, b.addr(), b.born)
	go b.receive()
	go b.firstWrite()
	return b, nil
}

func (b *backend) serveHealth(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Agatereach-Instance-Id", b.text())
	if b.draining.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// kill ends the server at once.
func (b *backend) kill() {
	if b.ended.Swap(true) {
		return
	}
	close(b.stop)
	_ = b.conn.Close()
	_ = b.health.Close()
	b.g.note("server %s born %d ends", b.text(), b.born)
}

// entry returns what the server says of itself in the store.
func (b *backend) entry() map[string]any {
	state := "ready"
	if b.draining.Load() {
		state = "draining"
	}
	return map[string]any{
		"service": b.service, "addr": b.addr().String(), "zone": b.zone, "version": "v1", "slots": b.slots,
		"state": state, "cold_left_ms": 0, "sequence": b.sequence, "born": b.born,
	}
}

// write writes the entry and returns its revision.
func (b *backend) write() int64 {
	b.mu.Lock()
	b.sequence++
	entry := b.entry()
	b.mu.Unlock()
	return b.store.put("servers/"+b.text(), entry)
}

// firstWrite registers the server. Its entry changes when more than its sequence does, so
// that later beats leave it as it is in the store.
func (b *backend) firstWrite() {
	select {
	case <-time.After(b.register):
	case <-b.stop:
		return
	}
	b.write()
}

// drain reports that the server is leaving, and returns when the store has confirmed it.
func (b *backend) drain() time.Duration {
	b.draining.Store(true)
	b.write()
	return b.g.since()
}

func (b *backend) receive() {
	buffer := make([]byte, maxPacket)
	for {
		n, err := b.conn.Read(buffer)
		if err != nil {
			return
		}
		if n < prefixSize {
			continue
		}
		if id := binary.BigEndian.Uint64(buffer); id != 0 && id != b.id {
			continue
		}
		p, ok := decode(buffer[prefixSize:n])
		if !ok || !sumValid(buffer[prefixSize:n]) {
			b.seen.mix(fmt.Sprintf("server %s got a packet that its sender didn't write so", b.text()))
			continue
		}
		b.mu.Lock()
		b.take(p)
		b.mu.Unlock()
	}
}

// take processes a packet of a client.
func (b *backend) take(p packet) {
	key := flowKey{client: p.src, vip: p.dst}
	f := b.flows[key]
	switch {
	case p.flags&flagRST != 0:
		delete(b.flows, key)
		return
	case p.flags&flagSYN != 0 && p.flags&flagACK == 0:
		b.takeSYN(key, f, p)
		return
	case f == nil || f.ended && len(p.data) > 0:
		b.send(&packet{src: key.vip, dst: key.client, seq: p.ack, ack: p.seq + uint32(len(p.data)), echo: p.echo, flags: flagRST})
		return
	}
	f.echo = p.echo
	b.takeAck(f, p)
	b.takeData(f, p)
}

func (b *backend) takeSYN(key flowKey, f *serverFlow, p packet) {
	if f == nil || f.clientISN != p.seq {
		isn := rand.Uint32()
		f = &serverFlow{key: key, clientISN: p.seq, next: p.seq + 1, isn: isn, end: isn + 1, acked: isn, echo: p.echo, synAt: b.g.since()}
		b.flows[key] = f
	}
	f.echo = p.echo
	if f.open {
		return
	}
	b.send(&packet{src: key.vip, dst: key.client, seq: f.isn, ack: f.next, echo: f.echo, flags: flagSYN | flagACK})
}

// takeAck opens the flow and drops what has arrived at the client.
func (b *backend) takeAck(f *serverFlow, p packet) {
	if !f.open && p.flags&flagACK != 0 && p.ack == f.isn+1 {
		f.open, f.openedAt = true, b.g.since()
		b.seen.mu.Lock()
		b.seen.opens[f.key] = b
		b.seen.mu.Unlock()
	}
	if p.flags&flagACK != 0 && int32(p.ack-f.acked) > 0 {
		f.acked = p.ack
	}
	kept := f.pendingOut[:0]
	for _, out := range f.pendingOut {
		if int32(out.seq+length(out)-f.acked) > 0 {
			kept = append(kept, out)
		}
	}
	f.pendingOut = kept
}

// length returns the sequence numbers that a packet takes.
func length(p *packet) uint32 {
	n := uint32(len(p.data))
	if p.flags&flagFIN != 0 {
		n++
	}
	return n
}

func (b *backend) takeData(f *serverFlow, p packet) {
	n := length(&p)
	if n == 0 {
		return
	}
	if p.seq != f.next {
		b.ack(f)
		return
	}
	f.next += n
	f.received = append(f.received, p.data...)
	f.unacked++
	if p.flags&flagFIN != 0 {
		f.ended = true
		b.ack(f)
		return
	}
	if f.unacked >= 2 {
		b.ack(f)
	}
	b.takeRequest(f)
}

func (b *backend) ack(f *serverFlow) {
	f.unacked = 0
	b.send(&packet{src: f.key.vip, dst: f.key.client, seq: f.end, ack: f.next, echo: f.echo, flags: flagACK})
}

// takeRequest runs a request that has arrived in full.
func (b *backend) takeRequest(f *serverFlow) {
	text := string(f.received)
	end := strings.Index(text, "\r\n\r\n")
	if end < 0 {
		return
	}
	head, body := text[:end], 0
	if _, rest, ok := strings.Cut(head, "Content-Length: "); ok {
		number, _, _ := strings.Cut(rest, "\r\n")
		body, _ = strconv.Atoi(number)
	}
	if len(text) < end+4+body {
		return
	}
	f.received = f.received[end+4+body:]
	_, rest, _ := strings.Cut(head, "Agatereach-Request-Id: ")
	id, _, _ := strings.Cut(rest, "\r\n")
	work := b.work
	if _, query, ok := strings.Cut(head, "?work="); ok {
		number, _, _ := strings.Cut(query, " ")
		if ms, err := strconv.Atoi(number); err == nil {
			work = time.Duration(ms) * time.Millisecond
		}
	}
	go b.run(f, id, work)
}

func (b *backend) run(f *serverFlow, id string, work time.Duration) {
	select {
	case b.slot <- struct{}{}:
	case <-b.stop:
		return
	}
	r := run{id: id, server: b.text(), service: b.service, synAt: f.synAt, opened: f.openedAt, at: b.g.since(), key: f.key}
	b.seen.mu.Lock()
	b.seen.runs = append(b.seen.runs, r)
	b.seen.mu.Unlock()
	select {
	case <-time.After(work):
	case <-b.stop:
		return
	}
	<-b.slot
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.flows[f.key] != f {
		return
	}
	body := "answer to " + id + " by " + b.service
	text := fmt.Sprintf("HTTP/1.1 200 OK\r\nAgatereach-Server-Stamp: %s/%s\r\nAgatereach-Server-Load: %d,0,%d\r\nContent-Length: %d\r\n\r\n%s", b.text(), id, len(b.slot), b.slots, len(body), body)
	out := &packet{src: f.key.vip, dst: f.key.client, seq: f.end, ack: f.next, echo: f.echo, flags: flagACK, data: []byte(text)}
	if b.draining.Load() {
		out.flags |= flagFIN
	}
	f.end += length(out)
	f.unacked = 0
	f.pendingOut = append(f.pendingOut, out)
	b.send(out)
	go b.repeat(f, out)
}

// repeat sends a packet again until it is acknowledged.
func (b *backend) repeat(f *serverFlow, out *packet) {
	wait := rtoFirst
	for range maxResends {
		select {
		case <-time.After(wait):
		case <-b.stop:
			return
		}
		wait = min(2*wait, rtoMax)
		b.mu.Lock()
		missing := b.flows[f.key] == f && int32(out.seq+length(out)-f.acked) > 0
		if missing {
			again := *out
			again.ack, again.echo = f.next, f.echo
			b.send(&again)
		}
		b.mu.Unlock()
		if !missing {
			return
		}
	}
}

// send sends a packet straight to the client.
func (b *backend) send(p *packet) {
	to := netip.AddrPortFrom(netip.AddrFrom4(p.dst.addr), b.g.data)
	_, _ = b.conn.WriteToUDPAddrPort(p.encode(), to)
}

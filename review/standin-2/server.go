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
	"time"
)

// serverEntry is what a server writes of itself.
type serverEntry struct {
	Service  string `json:"service"`
	Addr     string `json:"addr"`
	Zone     string `json:"zone"`
	Version  string `json:"version"`
	Slots    int    `json:"slots"`
	State    string `json:"state"`
	ColdLeft int    `json:"cold_left_ms"`
	Sequence int    `json:"sequence"`
	Born     int64  `json:"born"`
}

const (
	slots      = 3
	queueSlots = 12
	// handshakeTime is how long a half-open flow is kept, and maxCopies the number of times
	// that a server sends something again.
	handshakeTime = 3 * time.Second
	maxCopies     = 8
	retryMin      = 200 * time.Millisecond
	retryMax      = 1600 * time.Millisecond
)

// serverFlow is a flow at a server.
type serverFlow struct {
	own, peer uint32
	echo      uint32
	open      bool
	at        time.Duration
	opening   opening
	working   bool
	// answer is what was answered, sent again at due unless it is acknowledged.
	answer []byte
	due    time.Duration
	retry  time.Duration
	copies int
	closed bool
}

// opening tells of the packet that opened a flow.
type opening struct {
	entry   int
	arrived time.Duration
}

// server is one boot of a server.
type server struct {
	id      uint64
	place   int
	entry   serverEntry
	address netip.AddrPort
	udp     *net.UDPConn
	health  *http.Server
	store   *store
	record  *record
	port    uint16
	mutex   sync.Mutex
	flows   map[flowID]*serverFlow
	busy    chan struct{}
	queued  chan struct{}
	ended   chan struct{}
}

func keyOf(id uint64) string { return fmt.Sprintf("servers/i-%010x", id) }

// startServer starts a server and registers it.
func startServer(g *ground, s *store, r *record, id uint64, place int, service, zone string) (*server, error) {
	a := g.at(serverKind, place, g.service)
	udp, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(a))
	if err != nil {
		return nil, err
	}
	tcp, err := net.Listen("tcp4", a.String())
	if err != nil {
		_ = udp.Close()
		return nil, err
	}
	v := &server{
		id: id, place: place, address: a, udp: udp, store: s, record: r, port: g.data, flows: make(map[flowID]*serverFlow),
		busy: make(chan struct{}, slots), queued: make(chan struct{}, slots+queueSlots), ended: make(chan struct{}),
		entry: serverEntry{Service: service, Addr: a.String(), Zone: zone, Version: "v1", Slots: slots, State: "ready", Born: time.Now().UnixMilli()},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+healthPath, v.probe)
	v.health = &http.Server{Handler: mux}
	go func() { _ = v.health.Serve(tcp) }()
	go v.read()
	go v.due()
	go v.beat()
	return v, nil
}

// probe answers a health probe, which takes a slot.
func (v *server) probe(w http.ResponseWriter, _ *http.Request) {
	v.busy <- struct{}{}
	time.Sleep(time.Millisecond)
	<-v.busy
	w.Header().Set("Agatereach-Instance-Id", fmt.Sprintf("i-%010x", v.id))
	v.mutex.Lock()
	leaving := v.entry.State != "ready"
	v.mutex.Unlock()
	if leaving {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// beat writes to the store until the server ends.
func (v *server) beat() {
	for {
		v.write()
		select {
		case <-v.ended:
			return
		case <-time.After(beat):
		}
	}
}

// write writes once.
func (v *server) write() {
	v.mutex.Lock()
	v.entry.Sequence++
	e := v.entry
	v.mutex.Unlock()
	select {
	case <-v.ended:
		return
	default:
	}
	v.store.beat(keyOf(v.id), e)
}

// drain makes the server say that it is draining.
func (v *server) drain() {
	v.mutex.Lock()
	v.entry.State = "draining"
	v.mutex.Unlock()
	v.write()
	v.record.leaving(v.id)
}

// stop ends the server with all its flows.
func (v *server) stop() {
	close(v.ended)
	_ = v.udp.Close()
	_ = v.health.Close()
}

func (v *server) read() {
	buffer := make([]byte, 4096)
	for {
		n, from, err := v.udp.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		if n < 8 {
			v.record.broke("UNASKED", "server %x got %d bytes", v.id, n)
			continue
		}
		p, ok := decode(buffer[8:n])
		if !ok || !p.valid {
			v.record.broke("UNASKED", "server %x got a packet that no client wrote", v.id)
			continue
		}
		if meant := binary.BigEndian.Uint64(buffer); meant != 0 && meant != v.id {
			continue
		}
		v.take(p, place(from.Addr()))
	}
}

func (v *server) send(p packet) {
	_, _ = v.udp.WriteToUDPAddrPort(p.encode(), netip.AddrPortFrom(address(p.dst), v.port))
}

// take takes in a packet of a client.
func (v *server) take(p packet, entry int) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	id := p.flow()
	f := v.flows[id]
	switch {
	case p.has(bitSYN):
		if f == nil {
			f = &serverFlow{own: rand.Uint32(), peer: p.seq + 1, at: now()}
			v.flows[id] = f
		}
		if f.open || f.peer != p.seq+1 {
			return
		}
		f.echo = p.echo
		f.opening = opening{entry: entry, arrived: now()}
		v.send(id.fromServer(bitSYN|bitACK, f.own, f.peer, f.echo, nil))
		return
	case p.has(bitRST):
		delete(v.flows, id)
		return
	case f == nil, !f.open && p.ack != f.own+1:
		delete(v.flows, id)
		v.send(id.fromServer(bitRST, p.ack, 0, p.echo, nil))
		return
	}
	f.echo = p.echo
	if !f.open {
		f.open = true
		v.record.opened(id, v, f.opening)
	}
	if f.answer != nil && int32(p.ack-(f.own+1)) >= int32(len(f.answer)) {
		f.due = 0
	}
	if len(p.data) > 0 {
		v.data(id, f, p)
	}
	if p.has(bitFIN) {
		v.send(id.fromServer(bitFIN|bitACK, f.own+1+uint32(len(f.answer)), p.seq+uint32(len(p.data))+1, f.echo, nil))
		f.closed = true
		f.at = now()
	}
}

// data takes in a request, which is one packet long, or a copy of it.
func (v *server) data(id flowID, f *serverFlow, p packet) {
	if f.working || f.answer != nil {
		v.send(id.fromServer(bitACK, f.own+1+uint32(len(f.answer)), f.peer+uint32(len(p.data)), f.echo, nil))
		return
	}
	f.working = true
	go v.run(id, f, p, f.opening)
}

// run runs a request and answers it.
func (v *server) run(id flowID, f *serverFlow, p packet, o opening) {
	request, work := parseRequest(p.data)
	status, body := "200 OK", strings.Repeat("a", answerSize)
	select {
	case v.queued <- struct{}{}:
		select {
		case v.busy <- struct{}{}:
		case <-v.ended:
			return
		}
		v.record.ran(request, v, o)
		time.Sleep(work)
		<-v.busy
		<-v.queued
	default:
		status, body = "503 Service Unavailable\r\nAgatereach-Not-Run: 1", ""
	}
	text := fmt.Sprintf("HTTP/1.1 %s\r\nAgatereach-Server-Stamp: i-%010x/%s\r\nContent-Length: %d\r\n\r\n%s", status, v.id, request, len(body), body)
	select {
	case <-v.ended:
		return
	default:
	}
	v.mutex.Lock()
	defer v.mutex.Unlock()
	f.answer = []byte(text)
	f.peer += uint32(len(p.data))
	f.retry = retryMin
	f.due = now() + f.retry
	v.send(id.fromServer(bitACK, f.own+1, f.peer, f.echo, f.answer))
}

// due sends answers again and drops what is over.
func (v *server) due() {
	for {
		select {
		case <-v.ended:
			return
		case <-time.After(20 * time.Millisecond):
		}
		v.mutex.Lock()
		for id, f := range v.flows {
			switch {
			case f.due > 0 && now() >= f.due && f.copies < maxCopies:
				f.copies++
				f.retry = min(2*f.retry, retryMax)
				f.due = now() + f.retry
				v.send(id.fromServer(bitACK, f.own+1, f.peer, f.echo, f.answer))
			case !f.open && now()-f.at > handshakeTime, f.closed && now()-f.at > handshakeTime:
				delete(v.flows, id)
			}
		}
		v.mutex.Unlock()
	}
}

// parseRequest returns the id and the work of a request.
func parseRequest(data []byte) (id string, work time.Duration) {
	for _, line := range strings.Split(string(data), "\r\n") {
		name, value, _ := strings.Cut(line, ": ")
		switch name {
		case "Agatereach-Request-Id":
			id = value
		case "Work-Ms":
			ms, _ := strconv.Atoi(value)
			work = time.Duration(ms) * time.Millisecond
		}
	}
	return id, work
}

const (
	healthPath = "/healthz"
	answerSize = 500
)

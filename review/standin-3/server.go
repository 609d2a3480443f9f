package main

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// server is one boot of a backend server.
type server struct {
	w             *world
	id            uint64
	service, zone string
	address       netip.AddrPort
	slots         int
	work          time.Duration
	born          int64
	socket        *net.UDPConn
	health        *http.Server
	free          chan struct{}
	ended         chan struct{}
	mutex         sync.Mutex
	flows         map[tuple]chan packet
	draining      bool
	state         string
}

// boot starts a server at an address and registers it. born is what it tells of its start.
func (w *world) boot(id uint64, service, zone string, address netip.AddrPort, slots int, work time.Duration, born time.Time) (*server, error) {
	s := &server{
		w: w, id: id, service: service, zone: zone, address: address, slots: slots, work: work, born: born.UnixMilli(),
		free: make(chan struct{}, slots), ended: make(chan struct{}), flows: make(map[tuple]chan packet), state: "ready",
	}
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}
	_ = socket.SetReadBuffer(1 << 20)
	listener, err := net.Listen("tcp4", address.String())
	if err != nil {
		return nil, err
	}
	s.socket = socket
	s.health = &http.Server{Handler: http.HandlerFunc(s.answerHealth)}
	go func() { _ = s.health.Serve(listener) }()
	go s.read()
	w.mutex.Lock()
	w.servers = append(w.servers, s)
	w.mutex.Unlock()
	s.register("ready")
	return s, nil
}

// key is the server's key in the store.
func (s *server) key() string { return fmt.Sprintf("servers/i-%08x", s.id) }

// register writes the server's registration and returns the time of the confirmation.
func (s *server) register(state string) time.Time {
	s.mutex.Lock()
	s.state, s.draining = state, state == "draining"
	s.mutex.Unlock()
	at := s.w.store.putJSON(s.key(), map[string]any{
		"service": s.service, "addr": s.address.String(), "zone": s.zone, "version": "v1", "slots": s.slots, "state": state,
		"cold_left_ms": 0, "sequence": 1, "born": s.born,
	})
	s.w.note("server %08x at %s registers as %s, born %d", s.id, s.address, state, s.born)
	return at
}

func (s *server) answerHealth(w http.ResponseWriter, _ *http.Request) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	w.Header().Set("Agatereach-Instance-Id", fmt.Sprintf("i-%08x", s.id))
	if s.draining {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// stop ends the process: all its flows are gone.
func (s *server) stop() {
	s.w.note("server %08x at %s ends", s.id, s.address)
	close(s.ended)
	_ = s.socket.Close()
	_ = s.health.Close()
}

func (s *server) read() {
	buffer := make([]byte, 4096)
	for {
		n, from, err := s.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		if n < 8 {
			s.w.note("BAD server %08x gets %d bytes", s.id, n)
			continue
		}
		if meant := binary.BigEndian.Uint64(buffer); meant != 0 && meant != s.id {
			continue
		}
		p, ok := decode(buffer[8:n])
		if !ok || !genuine(buffer[8:n]) {
			s.w.note("BAD server %08x gets a packet that no client wrote", s.id)
			continue
		}
		s.take(p, from.Addr().Unmap())
	}
}

// take hands a packet to its flow, or answers that there is none.
func (s *server) take(p packet, from netip.Addr) {
	t := tuple{src: p.src, dst: p.dst, sport: p.sport, dport: p.dport}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	inbox, known := s.flows[t]
	switch {
	case known:
	case p.has(flagSYN):
		inbox = make(chan packet, 256)
		s.flows[t] = inbox
		go s.serve(t, inbox)
	case p.has(flagRST):
		return
	default:
		s.w.note("server %08x resets flow %d of %v, which it does not hold", s.id, t.sport, netip.AddrFrom4(t.src))
		s.send(packet{src: p.dst, dst: p.src, sport: p.dport, dport: p.sport, seq: p.ack, flags: flagRST, echo: p.echo})
		return
	}
	if p.has(flagSYN) {
		s.w.mutex.Lock()
		s.w.openings = append(s.w.openings, opening{flow: t, copy: p.ack, server: s.id, entry: s.w.entryAt(from), arrived: time.Now()})
		s.w.mutex.Unlock()
	}
	select {
	case inbox <- p:
	default:
	}
}

// entryAt returns the name of the entry with an address.
func (w *world) entryAt(ip netip.Addr) string {
	for _, e := range w.entries {
		if e.ip == ip {
			return e.name
		}
	}
	return ip.String()
}

func (s *server) send(p packet) {
	_, _ = s.socket.WriteToUDPAddrPort(p.encode(), netip.AddrPortFrom(netip.AddrFrom4(p.dst), s.w.port.data))
}

// serve serves one flow.
func (s *server) serve(t tuple, inbox chan packet) {
	defer func() {
		s.mutex.Lock()
		delete(s.flows, t)
		s.mutex.Unlock()
	}()
	head := packet{src: t.dst, dst: t.src, sport: t.dport, dport: t.sport}
	own := rand.Uint32()
	var st *stream
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	answers := make(chan []byte, 1)
	working, closing := false, false
	last := time.Now()
	for {
		select {
		case <-s.ended:
			return
		case p := <-inbox:
			last = time.Now()
			switch {
			case p.has(flagRST):
				return
			case p.has(flagSYN):
				reply := head
				reply.seq, reply.ack, reply.flags, reply.echo = own, p.seq+1, flagSYN|flagACK, p.echo
				s.send(reply)
			case st == nil && p.ack == own+1:
				st = newStream(head, own+1, p.seq, p.echo, s.send)
				st.receive(p)
			case st == nil:
				reply := head
				reply.seq, reply.flags, reply.echo = p.ack, flagRST, p.echo
				s.send(reply)
				return
			default:
				st.receive(p)
			}
			if st != nil && p.has(flagFIN) {
				st.finish()
				return
			}
		case answer := <-answers:
			working = false
			s.mutex.Lock()
			closing = s.draining
			s.mutex.Unlock()
			st.write(answer)
		case <-ticker.C:
			if st != nil && st.resend() > 8 {
				return
			}
		}
		if st == nil {
			if time.Since(last) > 3*time.Second {
				return
			}
			continue
		}
		if closing && len(st.flight) == 0 && len(st.queue) == 0 {
			st.finish()
			return
		}
		if time.Since(last) > idleTimeout {
			return
		}
		if !working {
			if id, size, ok := request(st.input); ok {
				st.input = st.input[size:]
				working = true
				go s.execute(id, answers)
			}
		}
	}
}

// request returns the id and the size of the request at the beginning of the bytes.
func request(b []byte) (string, int, bool) {
	text := string(b)
	end := strings.Index(text, "\r\n\r\n")
	if end < 0 {
		return "", 0, false
	}
	id, length := "", 0
	for _, line := range strings.Split(text[:end], "\r\n") {
		if value, ok := strings.CutPrefix(line, "Agatereach-Request-Id: "); ok {
			id = value
		}
		if value, ok := strings.CutPrefix(line, "Content-Length: "); ok {
			_, _ = fmt.Sscan(value, &length)
		}
	}
	size := end + 4 + length
	return id, size, len(b) >= size
}

// execute runs a request once a slot is free.
func (s *server) execute(id string, answers chan<- []byte) {
	select {
	case s.free <- struct{}{}:
	case <-s.ended:
		return
	}
	defer func() { <-s.free }()
	s.w.mutex.Lock()
	index := len(s.w.runs)
	s.w.runs = append(s.w.runs, run{id: id, server: s.id, at: time.Now()})
	s.w.mutex.Unlock()
	select {
	case <-time.After(s.work):
	case <-s.ended:
		return
	}
	s.w.mutex.Lock()
	s.w.runs[index].ended = true
	s.w.mutex.Unlock()
	body := "answer to " + id
	answers <- []byte(fmt.Sprintf("HTTP/1.1 200 OK\r\nAgatereach-Server-Stamp: i-%08x\r\nContent-Length: %d\r\n\r\n%s", s.id, len(body), body))
}

package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// client is a client with an address of its own.
type client struct {
	w      *world
	zone   string
	ip     netip.Addr
	socket *net.UDPConn
	mutex  sync.Mutex
	flows  map[uint16]chan packet
	port   uint16
}

func (w *world) addClient(zone string, number byte) (*client, error) {
	c := &client{w: w, zone: zone, ip: w.at(60, number), flows: make(map[uint16]chan packet), port: 20000}
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(c.ip, w.port.data)))
	if err != nil {
		return nil, err
	}
	_ = socket.SetReadBuffer(1 << 20)
	c.socket = socket
	go c.read()
	return c, nil
}

func (c *client) read() {
	buffer := make([]byte, 4096)
	for {
		n, _, err := c.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		p, ok := decode(buffer[:n])
		if !ok || !genuine(buffer[:n]) && !p.has(flagRST) {
			c.w.note("BAD client %s gets a packet that no server wrote", c.ip)
			continue
		}
		c.mutex.Lock()
		inbox := c.flows[p.dport]
		c.mutex.Unlock()
		select {
		case inbox <- p:
		default:
		}
	}
}

// attempt is one request on a flow of its own.
type attempt struct {
	id      string
	route   string
	flow    tuple
	client  *client
	sent    time.Time
	entry   string
	ended   time.Time
	opened  bool
	outcome string
	server  string
}

// try sends one request on a new flow and waits for the answer until the time budget is over.
func (c *client) try(r route, budget time.Duration) *attempt {
	c.mutex.Lock()
	c.port++
	port := c.port
	inbox := make(chan packet, 256)
	c.flows[port] = inbox
	c.mutex.Unlock()
	a := &attempt{
		id: fmt.Sprintf("%016x", rand.Uint64()), route: r.name, client: c, sent: time.Now(),
		flow: tuple{src: c.ip.As4(), dst: r.address.Addr().As4(), sport: port, dport: r.address.Port()},
	}
	c.w.mutex.Lock()
	c.w.attempts = append(c.w.attempts, a)
	c.w.mutex.Unlock()
	outcome, server, opened := c.converse(a, inbox, budget)
	c.mutex.Lock()
	delete(c.flows, port)
	c.mutex.Unlock()
	c.w.mutex.Lock()
	a.ended, a.outcome, a.server, a.opened = time.Now(), outcome, server, opened
	c.w.mutex.Unlock()
	c.w.note("request %s on %s, sent at %.3f from %s port %d via %s: %s %s", a.id, a.route, c.w.since(a.sent), c.ip, port, a.entry, outcome, server)
	return a
}

func (c *client) send(p packet) *entry {
	e := c.w.route(tuple{src: p.src, dst: p.dst, sport: p.sport, dport: p.dport}, c.zone)
	_, _ = c.socket.WriteToUDPAddrPort(p.encode(), e.address(c.w.port.data))
	return e
}

func (c *client) converse(a *attempt, inbox chan packet, budget time.Duration) (string, string, bool) {
	head := packet{src: a.flow.src, dst: a.flow.dst, sport: a.flow.sport, dport: a.flow.dport}
	first := rand.Uint32()
	syn := head
	syn.seq, syn.flags = first, flagSYN
	a.entry = c.send(syn).name
	copies := []time.Duration{200 * time.Millisecond, 600 * time.Millisecond}
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	var st *stream
	for {
		select {
		case p := <-inbox:
			switch {
			case p.has(flagRST):
				if st == nil {
					return "reset before it opened", "", false
				}
				return "reset with no answer", "", true
			case p.has(flagSYN|flagACK) && p.flags&flagSYN != 0:
				if st == nil && p.ack == first+1 {
					st = newStream(head, first+1, p.seq+1, p.echo, func(p packet) { c.send(p) })
					st.write([]byte("GET /x HTTP/1.1\r\nHost: x\r\nAgatereach-Request-Id: " + a.id + "\r\nContent-Length: 0\r\n\r\n"))
				}
			case st != nil:
				st.receive(p)
				if text := string(st.input); strings.HasSuffix(text, "answer to "+a.id) {
					stamp := ""
					for _, line := range strings.Split(text, "\r\n") {
						if value, ok := strings.CutPrefix(line, "Agatereach-Server-Stamp: "); ok {
							stamp = value
						}
					}
					st.finish()
					return "200", stamp, true
				}
			}
		case <-ticker.C:
			since := time.Since(a.sent)
			if st == nil && len(copies) > 0 && since >= copies[0] {
				copies = copies[1:]
				syn.ack++
				c.send(syn)
			}
			switch {
			case st == nil && since >= 1400*time.Millisecond:
				return "never opened", "", false
			case since >= budget && st != nil:
				st.finish()
				return "no answer within the time budget", "", true
			case st != nil:
				st.resend()
			}
		}
	}
}

package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// route is a route of the config.
type route struct {
	name, kind, service, path string
	vip                       netip.AddrPort
	// work is the work of a request, deadline its time budget, and size the bytes of its body.
	work, deadline time.Duration
	size           int
}

// clients are all clients of a run.
type clients struct {
	ground  *ground
	record  *record
	routers *routers
	ids     atomic.Uint64
	group   sync.WaitGroup
	all     []*client
}

// client is one client's address.
type client struct {
	all   *clients
	udp   *net.UDPConn
	ip    uint32
	mutex sync.Mutex
	port  uint16
	flows map[flowID]chan arrival
}

// arrival is a packet and where it came from.
type arrival struct {
	packet
	from netip.Addr
}

var synTimes = []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}

const openingTime = 1400 * time.Millisecond

func newClients(g *ground, r *record, routers *routers, count int) (*clients, error) {
	c := &clients{ground: g, record: r, routers: routers}
	for p := 1; p <= count; p++ {
		a := g.at(clientKind, p, g.data)
		udp, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(a))
		if err != nil {
			return nil, err
		}
		each := &client{all: c, udp: udp, ip: number(a.Addr()), port: uint16(1024 + rand.IntN(20000)), flows: make(map[flowID]chan arrival)}
		c.all = append(c.all, each)
		go each.read()
	}
	return c, nil
}

// run lets users of every client send requests of the routes until the context ends.
func (c *clients) run(ctx context.Context, routes []route, users int, pause time.Duration) {
	for _, each := range c.all {
		for _, r := range routes {
			for range users {
				c.group.Go(func() {
					for {
						select {
						case <-ctx.Done():
							return
						case <-time.After(time.Duration((0.5 + rand.Float64()) * float64(pause))):
						}
						each.request(r)
					}
				})
			}
		}
	}
}

func (c *client) read() {
	buffer := make([]byte, 4096)
	for {
		n, from, err := c.udp.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		p, ok := decode(buffer[:n])
		reset := p.flags == bitRST && len(p.data) == 0 && p.sum == 0
		if !ok || !p.valid && !reset {
			c.all.record.broke("MIXED", "a client got a packet that no server wrote")
			continue
		}
		c.mutex.Lock()
		inbox := c.flows[flowID{p.dst, p.src, p.dport, p.sport}]
		c.mutex.Unlock()
		select {
		case inbox <- arrival{p, from.Addr().Unmap()}:
		default:
		}
	}
}

// send sends a packet through the entry that the routers choose.
func (c *client) send(p packet) {
	if to, ok := c.all.routers.choose(p.flow()); ok {
		_, _ = c.udp.WriteToUDPAddrPort(p.encode(), to)
	}
}

// request sends a request, again from a new port where its kind allows that.
func (c *client) request(r route) {
	deadline := now() + r.deadline
	for range 3 {
		answer := c.try(r, deadline)
		unopened := strings.HasPrefix(answer, "unopened") || answer == "503"
		if answer == "200" || now() >= deadline || !unopened && r.kind != "idempotent" {
			return
		}
	}
}

// try makes one attempt.
func (c *client) try(r route, deadline time.Duration) string {
	id := fmt.Sprintf("q%06d", c.all.ids.Add(1))
	c.all.record.sent(id, r.path)
	c.mutex.Lock()
	if c.port++; c.port > 60000 {
		c.port = 1024
	}
	flow := flowID{c.ip, number(r.vip.Addr()), c.port, r.vip.Port()}
	inbox := make(chan arrival, 64)
	c.flows[flow] = inbox
	c.mutex.Unlock()
	answer := c.exchange(r, id, flow, inbox, deadline)
	c.mutex.Lock()
	delete(c.flows, flow)
	c.mutex.Unlock()
	c.all.record.answered(id, answer)
	return answer
}

// exchange opens a flow, sends a request and returns its answer's status, or what became of it.
func (c *client) exchange(r route, id string, flow flowID, inbox <-chan arrival, deadline time.Duration) string {
	own := rand.Uint32()
	begun := now()
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	var peer, echo uint32
	for sent, open := 0, false; !open; {
		if sent < len(synTimes) && now()-begun >= synTimes[sent] {
			c.send(flow.fromClient(bitSYN, own, uint32(sent), 0, nil))
			sent++
		}
		select {
		case a := <-inbox:
			switch {
			case a.has(bitRST):
				if a.sum == 0 {
					c.all.record.refused(id, place(a.from))
				}
				return "unopened: reset"
			case a.has(bitSYN) && a.has(bitACK) && a.ack == own+1:
				peer, echo, open = a.seq+1, a.echo, true
			}
		case <-ticker.C:
			if now()-begun >= openingTime || now() >= deadline {
				return "unopened: no answer"
			}
		}
	}
	text := fmt.Sprintf("POST %s HTTP/1.1\r\nAgatereach-Request-Id: %s\r\nWork-Ms: %d\r\nContent-Length: %d\r\n\r\n%s", r.path, id, r.work.Milliseconds(), r.size, strings.Repeat("b", r.size))
	data := flow.fromClient(bitACK, own+1, peer, echo, []byte(text))
	c.send(data)
	retry := retryMin
	due := now() + retry
	for {
		select {
		case a := <-inbox:
			switch {
			case a.has(bitRST):
				return c.reset(flow, a)
			case a.has(bitSYN):
				continue
			}
			echo = a.echo
			if int32(a.ack-(own+1)) >= int32(len(text)) {
				due = deadline + time.Hour
			}
			if len(a.data) > 0 && a.seq == peer {
				c.send(flow.fromClient(bitFIN|bitACK, own+1+uint32(len(text)), peer+uint32(len(a.data)), echo, nil))
				words := strings.Fields(string(a.data[:min(len(a.data), 32)]))
				if len(words) < 2 {
					return "no answer in the protocol"
				}
				return words[1]
			}
		case <-ticker.C:
			if now() >= deadline {
				return "no answer in time"
			}
			if now() >= due {
				retry = min(2*retry, retryMax)
				due = now() + retry
				data.echo = echo
				c.send(data)
			}
		}
	}
}

// reset judges a reset of an open flow.
func (c *client) reset(flow flowID, a arrival) string {
	owner := c.all.record.owner(flow)
	if owner != nil && owner.alive() && a.from != owner.address.Addr() {
		c.all.record.broke("FLOW", "a client got a reset from %s on a flow that is open at server %x, which lives", a.from, owner.id)
	}
	return "reset"
}

func (v *server) alive() bool {
	select {
	case <-v.ended:
		return false
	default:
		return true
	}
}

// service returns the service whose work the server does.
func (v *server) service() string { return v.entry.Service }

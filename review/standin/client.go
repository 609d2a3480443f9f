package main

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// node is an entry machine as the routers know it.
type node struct {
	place byte
	zone  string
	data  netip.AddrPort
	ready netip.AddrPort
	in    atomic.Bool
	miss  int
}

// routers stands in for the platform's routers.
type routers struct {
	g     *ground
	nodes []*node
	stop  chan struct{}
}

func newRouters(g *ground, nodes []*node) *routers {
	r := &routers{g: g, nodes: nodes, stop: make(chan struct{})}
	for _, n := range nodes {
		go r.probe(n)
	}
	return r
}

// probe asks a node twice a second whether it is ready. After two misses it is out.
func (r *routers) probe(n *node) {
	client := &http.Client{Timeout: 450 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		response, err := client.Get("http://" + n.ready.String() + "/readyz")
		ok := err == nil && response.StatusCode == http.StatusOK
		if err == nil {
			_ = response.Body.Close()
		}
		switch {
		case ok:
			n.miss = 0
			if !n.in.Swap(true) {
				r.g.note("routers: entry %d in rotation", n.place)
			}
		default:
			if n.miss++; n.miss >= 2 && n.in.Swap(false) {
				r.g.note("routers: entry %d out of rotation", n.place)
			}
		}
		select {
		case <-time.After(500 * time.Millisecond):
		case <-r.stop:
			return
		}
	}
}

// pick returns the node for a flow of a zone: only the flows of a node that leaves move.
func (r *routers) pick(zone string, k flowKey) *node {
	var zoneNodes, in, anywhere []*node
	for _, n := range r.nodes {
		if n.in.Load() {
			anywhere = append(anywhere, n)
		}
		if n.zone != zone {
			continue
		}
		zoneNodes = append(zoneNodes, n)
		if n.in.Load() {
			in = append(in, n)
		}
	}
	switch {
	case len(in) == 0 && len(anywhere) > 0:
		in = anywhere
	case 2*len(in) < len(zoneNodes):
		in = zoneNodes
	}
	var best *node
	highest := uint64(0)
	for _, n := range in {
		h := fnv.New64a()
		fmt.Fprintf(h, "%v/%d", k, n.place)
		sum := h.Sum64() * 0x9e3779b97f4a7c15
		if best == nil || sum > highest {
			best, highest = n, sum
		}
	}
	return best
}

// client is a machine of clients.
type client struct {
	g       *ground
	routers *routers
	zone    string
	addr    netip.Addr
	conn    *net.UDPConn
	mu      sync.Mutex
	port    uint16
	flows   map[uint16]*clientFlow
	seen    *seen
}

func newClient(g *ground, r *routers, zone string, place byte, o *seen) (*client, error) {
	c := &client{g: g, routers: r, zone: zone, addr: g.at(kindClient, place), port: 1024 + uint16(rand.IntN(1000)), flows: make(map[uint16]*clientFlow), seen: o}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(c.addr, g.data)))
	if err != nil {
		return nil, err
	}
	c.conn = conn
	go c.receive()
	return c, nil
}

func (c *client) receive() {
	buffer := make([]byte, maxPacket)
	for {
		n, err := c.conn.Read(buffer)
		if err != nil {
			return
		}
		p, ok := decode(buffer[:n])
		if !ok {
			continue
		}
		valid := sumValid(buffer[:n])
		c.mu.Lock()
		f := c.flows[p.dst.port]
		c.mu.Unlock()
		if f != nil && f.vip == p.src {
			f.take(p, valid)
		}
	}
}

// clientFlow is a flow at its client.
type clientFlow struct {
	c         *client
	port      uint16
	vip       endpoint
	mu        sync.Mutex
	wake      chan struct{}
	isn, next uint32
	acked     uint32
	serverISN uint32
	expected  uint32
	lastAck   uint32
	echo      uint32
	open      bool
	synSent   time.Duration
	openedAt  time.Duration
	unacked   int
	received  []byte
	// resetAt is when the flow was reset, and bySystem whether the system did it.
	resetAt  time.Duration
	reset    bool
	bySystem bool
	peerEnd  bool
	// via holds the machines through which packets of the flow went.
	via map[byte]bool
}

func (f *clientFlow) key() flowKey {
	return flowKey{client: endpoint{addr: f.c.addr.As4(), port: f.port}, vip: f.vip}
}

// newFlow prepares a flow from a new port.
func (c *client) newFlow(vip endpoint) *clientFlow {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.port++
	f := &clientFlow{c: c, port: c.port, vip: vip, isn: rand.Uint32(), wake: make(chan struct{}, 1)}
	f.next, f.acked = f.isn+1, f.isn
	c.flows[f.port] = f
	return f
}

func (f *clientFlow) send(p packet) {
	k := f.key()
	p.src, p.dst, p.echo = k.client, k.vip, f.echo
	if n := f.c.routers.pick(f.c.zone, k); n != nil {
		if f.via == nil {
			f.via = make(map[byte]bool)
		}
		f.via[n.place] = true
		_, _ = f.c.conn.WriteToUDPAddrPort(p.encode(), n.data)
	}
}

func (f *clientFlow) notify() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// window is how far from the client's last ack the seq of a reset may be.
const window = 76800

// take processes a packet for the client.
func (f *clientFlow) take(p packet, valid bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	defer f.notify()
	if p.flags&flagRST != 0 {
		f.takeReset(p, valid)
		return
	}
	if !valid {
		f.c.seen.mix("a client got a packet that its sender didn't write so")
		return
	}
	if p.flags&flagSYN != 0 {
		if !f.open {
			f.open, f.openedAt = true, f.c.g.since()
			f.serverISN, f.expected, f.acked, f.echo = p.seq, p.seq+1, p.ack, p.echo
		}
		if p.seq == f.serverISN {
			f.sendAck()
		}
		return
	}
	if !f.open {
		return
	}
	f.echo = p.echo
	if int32(p.ack-f.acked) > 0 {
		f.acked = p.ack
	}
	n := length(&p)
	if n == 0 {
		return
	}
	if p.seq != f.expected {
		f.sendAck()
		return
	}
	f.expected += n
	f.received = append(f.received, p.data...)
	f.unacked++
	if p.flags&flagFIN != 0 {
		f.peerEnd = true
	}
	if f.unacked >= 2 || f.peerEnd {
		f.sendAck()
	}
}

func (f *clientFlow) takeReset(p packet, valid bool) {
	system := p.sum == 0 && len(p.data) == 0
	distance := int32(p.seq - f.lastAck)
	if system && f.open && (distance > window || distance < -window) {
		return
	}
	if !system && !valid {
		f.c.seen.mix("a client got a reset that its sender didn't write so")
		return
	}
	if !f.reset {
		f.reset, f.bySystem, f.resetAt = true, system, f.c.g.since()
	}
}

func (f *clientFlow) sendAck() {
	f.unacked, f.lastAck = 0, f.expected
	f.send(packet{seq: f.next, ack: f.expected, flags: flagACK})
}

// connect opens the flow. It returns an empty string or why it failed.
func (f *clientFlow) connect() string {
	f.synSent = f.c.g.since()
	for i, wait := range []time.Duration{200, 400, 800} {
		f.mu.Lock()
		f.send(packet{seq: f.isn, ack: uint32(i), flags: flagSYN})
		f.mu.Unlock()
		if f.await(wait*time.Millisecond, func() bool { return f.open || f.reset }) {
			break
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.open:
		return ""
	case f.reset:
		return "reset"
	}
	return "no answer"
}

// await waits until done reports true, for at most the given time.
func (f *clientFlow) await(limit time.Duration, done func() bool) bool {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for {
		f.mu.Lock()
		ok := done()
		f.mu.Unlock()
		if ok {
			return true
		}
		select {
		case <-f.wake:
		case <-timer.C:
			f.mu.Lock()
			defer f.mu.Unlock()
			return done()
		}
	}
}

var requests atomic.Int64

// request sends a request of one packet and waits for its answer. It returns the id, and
// the body of the answer or why there is none.
func (f *clientFlow) request(method, path string, budget time.Duration) (string, string, bool) {
	id := fmt.Sprintf("q%06d", requests.Add(1))
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: x\r\nAgatereach-Request-Id: %s\r\n\r\n", method, path, id)
	f.mu.Lock()
	p := packet{seq: f.next, ack: f.expected, flags: flagACK, data: []byte(text)}
	f.next += uint32(len(text))
	f.received = nil
	end := f.next
	f.mu.Unlock()
	deadline := time.Now().Add(budget)
	answered := func() bool {
		head, body, ok := strings.Cut(string(f.received), "\r\n\r\n")
		_, size, _ := strings.Cut(head, "Content-Length: ")
		return ok && fmt.Sprint(len(body)) == size
	}
	for wait := rtoFirst; ; wait = min(2*wait, rtoMax) {
		f.mu.Lock()
		if int32(end-f.acked) > 0 && !f.reset {
			p.ack, f.lastAck, f.unacked = f.expected, f.expected, 0
			f.send(p)
		}
		f.mu.Unlock()
		if f.await(min(wait, time.Until(deadline)), func() bool { return f.reset || answered() }) || time.Now().After(deadline) {
			break
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case answered():
		_, body, _ := strings.Cut(string(f.received), "\r\n\r\n")
		if !strings.HasPrefix(body, "answer to "+id+" ") {
			f.c.seen.mix("an answer to another request: " + body)
		}
		return id, body, true
	case f.reset && f.bySystem:
		return id, "reset by the system", false
	case f.reset:
		return id, "reset by the server", false
	}
	return id, "no answer", false
}

// close ends the flow.
func (f *clientFlow) close() {
	f.mu.Lock()
	if f.open && !f.reset {
		f.send(packet{seq: f.next, ack: f.expected, flags: flagACK | flagFIN})
		f.next++
	}
	f.mu.Unlock()
}

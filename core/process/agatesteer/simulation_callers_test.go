package agatesteer_test

import (
	"time"

	"agatereach/core/request/agatesegment"
	"agatereach/core/request/agatetuple"
	"agatereach/core/version/agatevip"
)

// Properties of callers and servers that the protocol specifies, the transit time between
// callers and the data centres, and the longest time by which a caller's path delays a
// packet.
const (
	firstTimeout  = 200 * ms
	longestWait   = 1600 * ms
	maxCopies     = 8
	maxSYNs       = 3
	timeBudget    = 1200 * ms
	maxPacketSize = 1200
	transit       = 3 * ms
	longestDelay  = 300 * ms
)

// packet is a packet between the ends of a flow. last is whether its data completes a
// request or an answer.
type packet struct {
	agatesegment.Segment
	last bool
}

// end returns the sequence number after the packet, where a FIN counts as a byte.
func (p packet) end() uint32 {
	if p.Flags.Has(agatesegment.FIN) {
		return p.End() + 1
	}
	return p.End()
}

// flowEnd is one end of a flow.
type flowEnd struct {
	flow agatetuple.Tuple
	// token is the last one received.
	token uint32
	// transmit passes a packet to the path, and after calls a function later.
	transmit func(packet)
	after    func(time.Duration, func())
	// next and received are the sequence numbers of the next data from here and from
	// the other end, and acknowledged is the newest acknowledgement from there.
	next, received, acknowledged uint32
	// early holds the packets after a missing one, by sequence number.
	early map[uint32]packet
	// owed is the number of packets received since the last acknowledgement.
	owed               int
	acknowledgesCopies bool
	open, closed       bool
	// handled, copies and sent count the packets received, those of them received
	// before, and the packets sent.
	handled, copies, sent int
	lastSent              time.Duration
}

// send sends data in as many packets as it needs.
func (e *flowEnd) send(size int) {
	for ; size > 0; size -= maxPacketSize {
		length := uint16(min(size, maxPacketSize))
		e.push(packet{Segment: agatesegment.Segment{Length: length, Flags: agatesegment.ACK}, last: size <= maxPacketSize})
	}
}

// finish ends the flow at this end.
func (e *flowEnd) finish() {
	e.push(packet{Segment: agatesegment.Segment{Flags: agatesegment.ACK | agatesegment.FIN}})
}

// push sends a packet, and again until it is acknowledged.
func (e *flowEnd) push(p packet) {
	p.Sequence = e.next
	e.next = p.end()
	e.repeat(p, 0)
}

func (e *flowEnd) repeat(p packet, copies int) {
	e.closed = e.closed || copies > maxCopies
	if e.closed || !agatesegment.After(p.end(), e.acknowledged) {
		return
	}
	e.pass(p)
	e.after(min(firstTimeout<<copies, longestWait), func() { e.repeat(p, copies+1) })
}

// pass passes a packet to the path with what is to be acknowledged.
func (e *flowEnd) pass(p packet) {
	p.Flow, p.Token, p.Acknowledged = e.flow, e.token, e.received
	e.owed = 0
	e.sent++
	e.transmit(p)
}

// acknowledge sends an acknowledgement without data.
func (e *flowEnd) acknowledge() {
	e.pass(packet{Segment: agatesegment.Segment{Sequence: e.next, Flags: agatesegment.ACK}})
}

// receive processes a packet. It returns the number of messages that it completes, and
// whether the other end has finished.
func (e *flowEnd) receive(p packet) (messages int, finished bool) {
	e.handled++
	e.token = p.Token
	if agatesegment.After(p.Acknowledged, e.acknowledged) {
		e.acknowledged = p.Acknowledged
	}
	if p.end() == p.Sequence {
		return 0, false
	}
	known := !agatesegment.After(p.end(), e.received)
	if known {
		e.copies++
	} else {
		e.early[p.Sequence] = p
	}
	for next, ok := e.early[e.received]; ok; next, ok = e.early[e.received] {
		delete(e.early, e.received)
		e.received = next.end()
		if next.last {
			messages++
		}
		finished = finished || next.Flags.Has(agatesegment.FIN)
	}
	if e.owed++; e.owed > 1 || known && e.acknowledgesCopies {
		e.acknowledge()
	}
	return messages, finished
}

// modelCaller is a machine with callers, with a source address of its own.
type modelCaller struct {
	callerPlan
	s       *simulation
	address [4]byte
	port    uint16
	flows   map[agatetuple.Tuple]*callerEnd
}

// after calls a function after d, or when the caller runs again if it stands still.
func (c *modelCaller) after(d time.Duration, call func()) {
	c.s.after(d, func() {
		if end := during(c.Pauses, c.s.now); end > 0 {
			c.after(end-c.s.now, call)
			return
		}
		call()
	})
}

// transit passes a packet over one direction of the caller's path.
func (c *modelCaller) transit(deliver func()) {
	r := c.s.random
	pass := func(late bool) {
		d := transit
		if late {
			d += c.s.span(longestDelay)
		}
		if r.Float64() >= c.Loss {
			c.s.after(d, deliver)
		}
	}
	pass(r.Float64() < c.Delayed)
	if r.Float64() < c.Duplicated {
		pass(true)
	}
}

// deliver passes a packet to the caller unless its path is cut.
func (c *modelCaller) deliver(p packet) {
	if during(c.Cuts, c.s.now) == 0 {
		c.transit(func() { c.after(0, func() { c.receive(p) }) })
	}
}

func (c *modelCaller) receive(p packet) {
	f := c.flows[p.Flow]
	switch {
	case f == nil:
	case p.Flags.Has(agatesegment.RST):
		f.close()
		f.user.broken(f)
	case !f.open:
		f.accept(p)
	case !p.Flags.Has(agatesegment.SYN):
		if messages, _ := f.flowEnd.receive(p); messages > 0 {
			f.user.answered(f)
		}
	}
}

// callerEnd is the caller's end of a flow.
type callerEnd struct {
	flowEnd
	c    *modelCaller
	user *modelUser
	syns uint32
}

// connect opens a flow for a user.
func (c *modelCaller) connect(u *modelUser) *callerEnd {
	c.port++
	f := &callerEnd{c: c, user: u, flowEnd: flowEnd{after: c.after, early: make(map[uint32]packet), next: c.s.random.Uint32()}}
	f.flow = agatetuple.Tuple{Source: c.address, Target: u.vip.Address.Addr().As4(), SourcePort: c.port, TargetPort: u.vip.Address.Port()}
	f.transmit = func(p packet) {
		c.transit(func() { c.s.route(p.Flow, c.Centre).receive(p) })
	}
	c.flows[f.flow] = f
	f.sendSYN()
	return f
}

// sendSYN sends the SYN, and copies after 200 and 600 ms.
func (f *callerEnd) sendSYN() {
	if f.open || f.closed || f.syns == maxSYNs {
		return
	}
	f.transmit(packet{Segment: agatesegment.Segment{Flow: f.flow, Sequence: f.next, Acknowledged: f.syns, Flags: agatesegment.SYN}})
	f.after(firstTimeout<<f.syns, f.sendSYN)
	f.syns++
}

// accept completes the handshake, with the first data or before it.
func (f *callerEnd) accept(p packet) {
	f.open, f.token = true, p.Token
	f.next++
	f.acknowledged, f.received = f.next, p.Sequence+1
	if f.c.s.random.Float64() < 0.5 {
		f.acknowledge()
	}
	f.user.request(f)
}

func (f *callerEnd) close() {
	f.closed = true
	delete(f.c.flows, f.flow)
}

// try is a request on an open flow of the server that token names. endedAt and resetAt
// are when it ended, and when it did so by a reset; 0 for not yet.
type try struct {
	kind                     agatevip.Kind
	token                    uint32
	sentAt, endedAt, resetAt time.Duration
}

// modelUser sends one request after the other.
type modelUser struct {
	userPlan
	c    *modelCaller
	vip  agatevip.VIP
	flow *callerEnd
	// requests is the number of requests, and pending whether the last one has no answer
	// yet.
	requests int
	pending  bool
	// try is the current try on an open flow.
	try *try
}

// begin begins the next request.
func (u *modelUser) begin() {
	u.requests++
	u.pending = true
	number := u.requests
	u.c.after(timeBudget, func() {
		if u.pending && u.requests == number {
			u.flow.close()
			u.flow = nil
			u.done()
		}
	})
	u.attempt()
}

// attempt tries the request on the user's flow or on a new one.
func (u *modelUser) attempt() {
	if u.flow == nil || u.flow.closed {
		u.flow = u.c.connect(u)
		return
	}
	u.request(u.flow)
}

// request sends the request on an open flow.
func (u *modelUser) request(f *callerEnd) {
	u.try = &try{token: f.token, kind: u.vip.Kind, sentAt: u.c.s.now}
	u.c.s.tries = append(u.c.s.tries, u.try)
	f.send(u.c.s.size())
}

// answered ends the request with an answer.
func (u *modelUser) answered(f *callerEnd) {
	if !u.pending || u.flow != f {
		return
	}
	if !u.Long {
		f.finish()
		u.flow = nil
	}
	u.done()
}

// done ends the request, and begins the next one after a pause.
func (u *modelUser) done() {
	u.pending = false
	if u.try != nil {
		u.try.endedAt = u.c.s.now
		u.try = nil
	}
	u.c.after(u.Pause/4+u.c.s.span(u.Pause*3/2), u.begin)
}

// broken handles a reset. A request that may have run is tried again only if it is
// idempotent.
func (u *modelUser) broken(f *callerEnd) {
	if u.flow != f {
		return
	}
	u.flow = nil
	sent := u.try != nil
	if sent {
		u.try.resetAt, u.try.endedAt = u.c.s.now, u.c.s.now
	}
	switch {
	case !u.pending:
	case sent && u.vip.Kind == agatevip.Once:
		u.done()
	default:
		u.try = nil
		u.attempt()
	}
}

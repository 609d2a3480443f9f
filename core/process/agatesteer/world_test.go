package agatesteer_test

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"agatereach/core/process/agatesteer"
	"agatereach/core/request/agateaddress"
	"agatereach/core/request/agatesegment"
	"agatereach/core/request/agatetuple"
	"agatereach/core/version/agatecatalog"
	"agatereach/core/version/agateinstance"
	"agatereach/core/version/agatevip"
)

const ms = time.Millisecond

// callers is the number of callers that new flows belong to in turn.
const callers = 8

// fixture drives one steerer in virtual time, with simulated callers and
// servers.
type fixture struct {
	t        testing.TB
	steerer  *agatesteer.Steerer
	policy   agatesteer.Policy
	catalog  *agatecatalog.Catalog
	now      time.Duration
	revision int64
	port     uint16
}

// The virtual addresses that the tests use.
var (
	feeds  = vip("feeds", 443, agatevip.Idempotent, "map")
	orders = vip("orders", 8080, agatevip.Once, "map")
)

func vip(name string, port uint16, kind agatevip.Kind, service string) agatevip.VIP {
	return agatevip.VIP{
		Name: name, Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, 0, 1}), port), Kind: kind,
		Shares: []agatevip.Share{{Service: service, Weight: 1}}, Timeout: time.Second,
	}
}

// newFixture returns a fixture without servers.
func newFixture(t testing.TB) *fixture {
	policy := agatesteer.DefaultPolicy()
	fx := &fixture{t: t, policy: policy, now: time.Second, port: 1000}
	fx.steerer = agatesteer.New(policy, "a", rand.New(rand.NewPCG(1, 2)).Float64)
	fx.catalog, _ = new(agatecatalog.Catalog).WithConfig(&agatecatalog.Config{Version: 1, VIPs: []agatevip.VIP{feeds, orders}})
	fx.update()
	return fx
}

// update passes the catalog to the steerer.
func (fx *fixture) update() {
	fx.steerer.Update(fx.catalog, fx.now)
	fx.steerer.Confirm(fx.now)
}

// keyOf returns the key of the server with an id that fixture.server registers.
func keyOf(id uint64) agateinstance.Key {
	return agateinstance.Key{ID: id, StartTime: 1, Address: agateaddress.Address{IP: [4]byte{10, 0, 0, byte(id)}, Port: 80}}
}

// server registers a server.
func (fx *fixture) server(id uint64, centre string, state agateinstance.State) agateinstance.Instance {
	fx.revision++
	instance := agateinstance.Instance{
		Key: keyOf(id), Revision: fx.revision, Service: "map", Centre: centre, Slots: 3, State: state,
	}
	fx.register(instance)
	return instance
}

// instance returns the registration of a server.
func (fx *fixture) instance(id uint64) agateinstance.Instance {
	instance, ok := fx.catalog.Newest(id)
	if !ok {
		fx.t.Fatalf("server %d is not registered", id)
	}
	return instance
}

func (fx *fixture) register(instance agateinstance.Instance) {
	fx.catalog, _ = fx.catalog.WithInstances([]agateinstance.Instance{instance})
	fx.update()
}

// run advances the time by d, with a tick each 100 ms, and returns the resets.
func (fx *fixture) run(d time.Duration) []agatesteer.Verdict {
	var resets []agatesteer.Verdict
	for end := fx.now + d; fx.now < end; {
		next := min(end, fx.now/(100*ms)*(100*ms)+100*ms)
		fx.now = next
		if fx.now%(100*ms) == 0 {
			fx.steerer.Confirm(fx.now)
			resets = append(resets, fx.steerer.Tick(fx.now)...)
		}
	}
	return resets
}

// callerFlow is the caller's side of a flow.
type callerFlow struct {
	fx    *fixture
	flow  agatetuple.Tuple
	token uint32
	// sequence and acknowledged are the numbers of the next segment.
	sequence, acknowledged uint32
	synCopies              uint32
	last                   agatesegment.Segment
}

// newFlow returns a flow to a virtual address. It isn't open yet.
func (fx *fixture) newFlow(to agatevip.VIP) *callerFlow {
	fx.port++
	return &callerFlow{fx: fx, sequence: 100, flow: agatetuple.Tuple{
		Source: [4]byte{100, 64, 0, byte(fx.port % callers)}, Target: to.Address.Addr().As4(), SourcePort: fx.port, TargetPort: to.Address.Port(),
	}}
}

// send passes a segment to the steerer.
func (c *callerFlow) send(s agatesegment.Segment) agatesteer.Verdict {
	s.Flow = c.flow
	c.last = s
	return c.fx.steerer.Handle(s, c.fx.now)
}

// syn sends a SYN or a copy of it.
func (c *callerFlow) syn() agatesteer.Verdict {
	v := c.send(agatesegment.Segment{Sequence: c.sequence, Acknowledged: c.synCopies, Flags: agatesegment.SYN})
	c.synCopies++
	return v
}

// accept completes the handshake with the verdict's server.
func (c *callerFlow) accept(v agatesteer.Verdict) agatesteer.Verdict {
	c.token = v.Token
	c.sequence++
	c.acknowledged = 5000
	return c.send(agatesegment.Segment{Sequence: c.sequence, Acknowledged: c.acknowledged, Flags: agatesegment.ACK, Token: c.token})
}

// open opens the flow and returns the verdict on its SYN.
func (c *callerFlow) open() agatesteer.Verdict {
	c.fx.t.Helper()
	v := c.syn()
	if v.Action != agatesteer.Forward {
		c.fx.t.Fatalf("SYN: %s, %s", v.Action, v.Reason)
	}
	c.accept(v)
	return v
}

// request sends a request that fits into one segment.
func (c *callerFlow) request() agatesteer.Verdict {
	v := c.send(agatesegment.Segment{Sequence: c.sequence, Acknowledged: c.acknowledged, Length: 200, Flags: agatesegment.ACK, Token: c.token})
	c.sequence += 200
	return v
}

// retransmit sends the last segment again.
func (c *callerFlow) retransmit() agatesteer.Verdict { return c.send(c.last) }

// receiveResponse acknowledges an answer of 600 bytes.
func (c *callerFlow) receiveResponse() agatesteer.Verdict { return c.receiveBytes(600) }

// receiveBytes acknowledges an answer of the given size in bytes.
func (c *callerFlow) receiveBytes(size uint32) agatesteer.Verdict {
	c.acknowledged += size
	return c.send(agatesegment.Segment{Sequence: c.sequence, Acknowledged: c.acknowledged, Flags: agatesegment.ACK, Token: c.token})
}

// finish closes the flow from the caller's side.
func (c *callerFlow) finish() agatesteer.Verdict {
	return c.send(agatesegment.Segment{Sequence: c.sequence, Acknowledged: c.acknowledged, Flags: agatesegment.ACK | agatesegment.FIN, Token: c.token})
}

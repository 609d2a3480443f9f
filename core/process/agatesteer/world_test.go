package agatesteer_test

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"agatereach/core/process/agatesteer"
	"agatereach/core/request/agatesegment"
	"agatereach/core/request/agatetuple"
	"agatereach/core/version/agatecatalog"
	"agatereach/core/version/agateinstance"
	"agatereach/core/version/agatevip"
)

const ms = time.Millisecond

// world plays callers and servers around one steerer, in virtual time.
type world struct {
	t        testing.TB
	steerer  *agatesteer.Steerer
	policy   agatesteer.Policy
	catalog  *agatecatalog.Catalog
	now      time.Duration
	revision int64
	port     uint16
}

// The virtual addresses of the tests.
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

// newWorld returns a world without servers.
func newWorld(t testing.TB) *world {
	policy := agatesteer.DefaultPolicy()
	w := &world{t: t, policy: policy, now: time.Second, port: 1000}
	w.steerer = agatesteer.New(policy, "a", rand.New(rand.NewPCG(1, 2)).Float64)
	w.catalog, _ = new(agatecatalog.Catalog).WithConfig(&agatecatalog.Config{Version: 1, VIPs: []agatevip.VIP{feeds, orders}})
	w.update()
	return w
}

// update hands the catalog to the steerer.
func (w *world) update() {
	w.steerer.Update(w.catalog, w.now)
	w.steerer.Confirm(w.now)
}

// server registers a server of a data centre in a state.
func (w *world) server(id uint64, centre string, state agateinstance.State) agateinstance.Instance {
	w.revision++
	instance := agateinstance.Instance{
		Key: agateinstance.Key{ID: id, Born: 1}, Revision: w.revision, Service: "map", Centre: centre, Slots: 3, State: state,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(id)}), 80),
	}
	w.register(instance)
	return instance
}

func (w *world) register(instance agateinstance.Instance) {
	w.catalog, _ = w.catalog.WithInstances([]agateinstance.Instance{instance})
	w.update()
}

// run lets time pass, with the ticks that fall due, and returns the resets.
func (w *world) run(d time.Duration) []agatesteer.Verdict {
	var resets []agatesteer.Verdict
	for end := w.now + d; w.now < end; {
		next := min(end, w.now/(100*ms)*(100*ms)+100*ms)
		w.now = next
		if w.now%(100*ms) == 0 {
			w.steerer.Confirm(w.now)
			resets = append(resets, w.steerer.Tick(w.now)...)
		}
	}
	return resets
}

// call is a caller's flow.
type call struct {
	w     *world
	flow  agatetuple.Tuple
	token uint32
	// sequence and acknowledged are those of the next segment.
	sequence, acknowledged uint32
	copies                 uint32
	last                   agatesegment.Segment
}

// call returns a flow to a virtual address that is not open yet.
func (w *world) call(to agatevip.VIP) *call {
	w.port++
	return &call{w: w, sequence: 100, flow: agatetuple.Tuple{
		Source: [4]byte{100, 64, 0, 1}, Target: to.Address.Addr().As4(), SourcePort: w.port, TargetPort: to.Address.Port(),
	}}
}

// send hands a segment to the steerer.
func (c *call) send(s agatesegment.Segment) agatesteer.Verdict {
	s.Flow = c.flow
	c.last = s
	return c.w.steerer.Handle(s, c.w.now)
}

// syn sends a SYN or a copy of it.
func (c *call) syn() agatesteer.Verdict {
	v := c.send(agatesegment.Segment{Sequence: c.sequence, Acknowledged: c.copies, Flags: agatesegment.SYN})
	c.copies++
	return v
}

// accept completes the handshake with the server of a verdict.
func (c *call) accept(v agatesteer.Verdict) agatesteer.Verdict {
	c.token = v.Token
	c.sequence++
	c.acknowledged = 5000
	return c.send(agatesegment.Segment{Sequence: c.sequence, Acknowledged: c.acknowledged, Flags: agatesegment.ACK, Token: c.token})
}

// open opens a flow and returns the verdict on its SYN.
func (c *call) open() agatesteer.Verdict {
	c.w.t.Helper()
	v := c.syn()
	if v.Action != agatesteer.Forward {
		c.w.t.Fatalf("SYN: %s, %s", v.Action, v.Reason)
	}
	c.accept(v)
	return v
}

// request sends a request of one segment.
func (c *call) request() agatesteer.Verdict {
	v := c.send(agatesegment.Segment{Sequence: c.sequence, Acknowledged: c.acknowledged, Length: 200, Flags: agatesegment.ACK, Token: c.token})
	c.sequence += 200
	return v
}

// again sends the last segment again.
func (c *call) again() agatesteer.Verdict { return c.send(c.last) }

// response takes in an answer and acknowledges it.
func (c *call) response() agatesteer.Verdict { return c.responseOf(600) }

// responseOf takes in an answer of a size in bytes.
func (c *call) responseOf(size uint32) agatesteer.Verdict {
	c.acknowledged += size
	return c.send(agatesegment.Segment{Sequence: c.sequence, Acknowledged: c.acknowledged, Flags: agatesegment.ACK, Token: c.token})
}

// finish closes the caller's end.
func (c *call) finish() agatesteer.Verdict {
	return c.send(agatesegment.Segment{Sequence: c.sequence, Acknowledged: c.acknowledged, Flags: agatesegment.ACK | agatesegment.FIN, Token: c.token})
}

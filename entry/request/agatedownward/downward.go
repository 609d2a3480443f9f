// Package agatedownward handles the datagrams of backend servers on their way
// to callers.
package agatedownward

import (
	"net/netip"
	"time"

	"agatereach/core/connection/agatesocket"
	"agatereach/core/process/agatedispatch"
	"agatereach/core/request/agatefault"
	"agatereach/core/request/agateforward"
	"agatereach/core/request/agateheader"
	"agatereach/core/request/agatekind"
	"agatereach/core/request/agateroute"
	"agatereach/core/version/agatekeyring"
	"agatereach/core/version/agateview"
	"agatereach/entry/process/agatemetric"
	"agatereach/entry/process/agatequeue"
)

// Parts is what a Downward works with; every field is set.
type Parts struct {
	// View returns the newest view, never nil.
	View func() *agateview.View
	// Key tags routes; the same in the whole process and known to no other.
	Key *agatekeyring.Key
	// Queue leads to the dispatcher.
	Queue *agatequeue.Queue
	// Metrics counts.
	Metrics *agatemetric.Metrics
	// Callers sends.
	Callers *agatesocket.Outbox
}

// Downward handles the datagrams of one socket. It is used by one goroutine.
type Downward struct {
	Parts
	// toCallers counts.
	toCallers *agatemetric.Path
	// The rest is memory that every datagram uses anew.
	route  agateroute.Route
	header agateheader.Header
}

// New returns a handler of backend servers' datagrams.
func New(parts Parts) *Downward {
	return &Downward{Parts: parts, toCallers: parts.Metrics.Path("server", "caller")}
}

// Handle takes one datagram of a backend server. Data and pongs go straight to
// the caller; what belongs to a request goes to the dispatcher.
func (d *Downward) Handle(_ time.Time, _ netip.AddrPort, datagram []byte) {
	inner, err := d.route.Decode(datagram)
	if err != nil {
		d.fault(err)
		return
	}
	kind, err := agateheader.Kind(inner)
	if err != nil {
		d.fault(err)
		return
	}
	switch kind {
	case agatekind.Data, agatekind.Pong:
		d.pass(inner)
	case agatekind.Answer, agatekind.Refuse:
		d.settle(inner)
	default:
		d.fault(&agateforward.KindError{Kind: kind})
	}
}

// pass sends the datagram to the caller that its route names.
func (d *Downward) pass(inner []byte) {
	if err := agateforward.CheckReturn(d.View(), &d.route, d.Key); err != nil {
		d.fault(err)
		return
	}
	d.Callers.Add(d.route.Caller, nil, inner)
}

// settle hands what belongs to a request to the dispatcher; the refusal of a
// feed's datagram goes to the caller.
func (d *Downward) settle(inner []byte) {
	body, err := d.header.Decode(inner)
	if err != nil {
		d.fault(err)
		return
	}
	if d.header.Number == 0 {
		d.pass(inner)
		return
	}
	owned := append([]byte(nil), inner...)
	in := &agatedispatch.Input{
		Source:   agatedispatch.Server,
		Caller:   d.route.Caller,
		Centre:   d.route.Centre,
		Route:    d.route,
		Header:   d.header,
		Datagram: owned,
		Body:     owned[len(owned)-len(body):],
	}
	if !d.Queue.Put(in) {
		d.Metrics.Lost("server", agatemetric.Ring, 1)
	}
}

func (d *Downward) fault(err error) { d.Metrics.Fault("server", agatefault.Of(err)) }

// Flush sends what the batch has led to and counts it.
func (d *Downward) Flush() {
	d.toCallers.Flush(d.Callers)
}

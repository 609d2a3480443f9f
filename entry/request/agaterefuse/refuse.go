// Package agaterefuse tells callers why a datagram is not served, without
// becoming an amplifier for datagrams with a forged sender.
package agaterefuse

import (
	"errors"
	"net/netip"
	"time"

	"golang.org/x/time/rate"

	"agatereach/core/connection/agatesocket"
	"agatereach/core/request/agateadmit"
	"agatereach/core/request/agatefault"
	"agatereach/core/request/agateforward"
	"agatereach/core/request/agateheader"
	"agatereach/core/request/agatekind"
	"agatereach/core/request/agateoutcome"
	"agatereach/core/request/agatereason"
	"agatereach/entry/process/agatemetric"
)

// Burst is the number of refusals that may be sent at once.
const Burst = 256

// Refuser sends refusals. It is safe for concurrent use.
type Refuser struct {
	// limiter bounds the refusals of the whole process.
	limiter *rate.Limiter
	metrics *agatemetric.Metrics
}

// New returns a refuser that sends at most the given number of refusals a
// second.
func New(perSecond int, metrics *agatemetric.Metrics) *Refuser {
	return &Refuser{limiter: rate.NewLimiter(rate.Limit(perSecond), Burst), metrics: metrics}
}

// Refuse counts the fault of a datagram of size bytes from a caller and, if a
// refusal is due, adds it to the outbox. None is due if the datagram names no
// flow or is of a kind that callers do not send, if the refusal would be longer
// than the datagram, or over the limit.
func (r *Refuser) Refuse(now time.Time, to netip.AddrPort, h *agateheader.Header, size int, err error, outbox *agatesocket.Outbox) {
	r.metrics.Fault("caller", agatefault.Of(err))
	if !due(h) {
		return
	}
	refusal := header(h, err)
	datagram, failed := refusal.Append(nil, nil)
	if failed != nil || len(datagram) > size {
		r.metrics.Lost("caller", agatemetric.Limit, 1)
		return
	}
	if !r.Allow(now) {
		return
	}
	r.metrics.Refused(refusal.Reason)
	outbox.Add(to, nil, datagram)
}

// Allow reports whether one more refusal is within the limit, and counts one
// that is not.
func (r *Refuser) Allow(now time.Time) bool {
	if r.limiter.AllowN(now, 1) {
		return true
	}
	r.metrics.Lost("caller", agatemetric.Limit, 1)
	return false
}

// due reports whether a refusal may be sent for a datagram: it names a flow and
// is of a kind that asks for something. A refusal is never refused.
func due(h *agateheader.Header) bool {
	if h.Flow == 0 || h.Service == 0 {
		return false
	}
	switch h.Kind {
	case agatekind.Open, agatekind.Data, agatekind.Ping, agatekind.Request:
		return true
	}
	return false
}

// header returns the refusal of the datagram with the header h for err. Whether
// another copy of a request has run is not known here, unless no process would
// pass one on. A request whose token can't be checked here may be sent again.
func header(h *agateheader.Header, err error) agateheader.Header {
	refusal := agateheader.Header{
		Version: agateheader.Version,
		Kind:    agatekind.Refuse,
		Service: h.Service,
		Flow:    h.Flow,
		Number:  h.Number,
		Class:   h.Class,
		Reason:  agateforward.Reason(err),
	}
	if h.Kind != agatekind.Request {
		return refusal
	}
	var missing *agateadmit.MissingError
	switch {
	case errors.As(err, &missing):
		refusal.Outcome = agateoutcome.NotRun
	case agateadmit.IsUndecided(err):
		refusal.Reason = agatereason.Pending
	default:
		refusal.Outcome = agateoutcome.Unknown
	}
	return refusal
}

package agateupward

import (
	"net/netip"
	"time"

	"agatereach/core/process/agatedispatch"
	"agatereach/core/request/agatefault"
	"agatereach/core/request/agateforward"
	"agatereach/core/request/agateheader"
	"agatereach/core/request/agatekind"
	"agatereach/core/request/agatereason"
	"agatereach/core/request/agateseal"
)

// Relayed handles the datagrams that other entries hand on.
type Relayed struct {
	*Upward
}

// Peers returns a handler of the datagrams that other entries hand on.
func Peers(parts Parts) *Relayed { return &Relayed{Upward: newUpward(parts, "peer")} }

// Handle takes one framed datagram. One whose frame is not authentic is counted
// and dropped: it names no caller that could be told.
func (r *Relayed) Handle(now time.Time, _ netip.AddrPort, datagram []byte) {
	inner, err := r.frame.Decode(datagram, r.World.View().Ring())
	if err != nil {
		r.Metrics.Fault("peer", agatefault.Of(err))
		return
	}
	r.origin = agateforward.Origin{Caller: r.frame.Caller, Centre: r.frame.Centre}
	r.pass(now, agatedispatch.Peer, r.frame.Hops+1, inner)
}

// opened returns the head of a renewal; it says so if the guard has changed.
func opened(sealed agateseal.Seal, moved bool) agateheader.Header {
	h := agateheader.Header{Kind: agatekind.Opened, Token: sealed}
	if moved {
		h.Reason = agatereason.Guard
	}
	return h
}

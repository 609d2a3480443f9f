// Package agatehedge decides which new flows an entry offers to a second server: those of
// repeatable routes whose first server may not answer soon, such as one of several dozen
// servers that went dark a moment ago. Operators limit the extra work by a share of the
// flows.
package agatehedge

import "time"

// Doubt is why a server may not answer a new flow soon.
type Doubt string

// The doubts.
const (
	// None is no doubt.
	None Doubt = ""
	// Suspected is a server that seems not to answer and gets the flow as a trial.
	Suspected Doubt = "suspected"
	// Copied is a SYN that its caller sends again, so that a server left it unanswered.
	Copied Doubt = "copied"
	// Unknown is a server of which only old reports tell the load, and that has got no
	// flow from this entry lately.
	Unknown Doubt = "unknown"
)

// Doubts returns all doubts but None.
func Doubts() []Doubt { return []Doubt{Suspected, Copied, Unknown} }

// Policy limits what a Hedge allows.
type Policy struct {
	// Share is the largest share of the new flows of repeatable routes, from 0 to 1, that
	// is offered to a second server; 0 for none.
	Share float64
	// UnknownShare is the part of Share, from 0 to 1, that Unknown may use, so that
	// callers that already wait find some left.
	UnknownShare float64
	// MaxAge is the age from which on reports of load, and this entry's own flows to a
	// server, are too old to rely on.
	MaxAge time.Duration
}

// DefaultPolicy returns the policy of deployments without settings of their own: no flow is
// offered to a second server.
func DefaultPolicy() Policy { return Policy{UnknownShare: 0.5, MaxAge: 5 * time.Second} }

// Choice is what is known of the first server of a new flow.
type Choice struct {
	// Suspected is whether it seems not to answer, and Copied whether the SYN is a copy.
	Suspected, Copied bool
	// ReportAge is the age of the oldest report that its load is taken from; 0 without
	// any. SinceFlow is the time since this entry's last flow there.
	ReportAge, SinceFlow time.Duration
}

// Doubt returns the reason to offer a flow to a second server as well, or None.
func (p Policy) Doubt(c Choice) Doubt {
	switch {
	case c.Suspected:
		return Suspected
	case c.Copied:
		return Copied
	case c.ReportAge > p.MaxAge && c.SinceFlow > p.MaxAge:
		return Unknown
	}
	return None
}

const (
	// Window is the time over which the share is counted.
	Window = 10 * time.Second
	// slotTime is the time that one slot counts together.
	slotTime = 100 * time.Millisecond
	// windowSlots is the number of slots that begin and end within the window, the current
	// one included. One more overlaps its beginning.
	windowSlots = int64(Window / slotTime)
)

// slot counts the new flows and those offered to a second server in one slotTime.
type slot struct{ flows, offered uint32 }

// Hedge counts flows. Whenever it allows a second offer, at most Share of the flows of the
// Window that ends then, this one included, were offered to a second server. It must be used
// by one goroutine only, with times that never decrease.
type Hedge struct {
	policy Policy
	// slots holds the last windowSlots+1 slots, by number modulo its length, and current is
	// the number of the newest.
	slots   [windowSlots + 1]slot
	current int64
	// flows is the sum over the newest windowSlots slots, offered that over all slots: what
	// may lie outside the window counts against the limit only.
	flows, offered uint64
}

// New returns a Hedge that has counted nothing.
func New(policy Policy) *Hedge { return &Hedge{policy: policy} }

// Enabled reports whether any flow may be offered to a second server.
func (h *Hedge) Enabled() bool { return h.policy.Share > 0 }

// Count counts a new flow of a repeatable route.
func (h *Hedge) Count(now time.Duration) {
	h.advance(now)
	h.at(h.current).flows++
	h.flows++
}

// Doubt returns the reason to offer a flow to a second server as well if the limit allows it
// now, or None.
func (h *Hedge) Doubt(c Choice, now time.Duration) Doubt {
	d := h.policy.Doubt(c)
	if d == None {
		return None
	}
	h.advance(now)
	share := h.policy.Share
	if d == Unknown {
		share *= h.policy.UnknownShare
	}
	if float64(h.offered+1) > share*float64(h.flows) {
		return None
	}
	return d
}

// Use records that a flow is offered to a second server, as Doubt has just allowed.
func (h *Hedge) Use(now time.Duration) {
	h.advance(now)
	h.at(h.current).offered++
	h.offered++
}

// at returns the slot with the given number.
func (h *Hedge) at(number int64) *slot { return &h.slots[number%int64(len(h.slots))] }

// advance makes the slot of the given time the current one.
func (h *Hedge) advance(now time.Duration) {
	number := int64(now / slotTime)
	if number-h.current > windowSlots {
		h.slots, h.flows, h.offered = [windowSlots + 1]slot{}, 0, 0
		h.current = number
	}
	for h.current < number {
		h.current++
		// This slot held the oldest one, whose flows counted no more.
		oldest := h.at(h.current)
		h.offered -= uint64(oldest.offered)
		*oldest = slot{}
		if last := h.current - windowSlots; last >= 0 {
			h.flows -= uint64(h.at(last).flows)
		}
	}
}

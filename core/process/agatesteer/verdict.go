package agatesteer

import (
	"net/netip"
	"time"

	"agatereach/core/request/agatetuple"
)

// Action is what is done with a segment.
type Action string

// The actions.
const (
	// Forward passes the segment on to a server.
	Forward Action = "forward"
	// Reset ends the flow towards the caller.
	Reset Action = "reset"
	// Drop does nothing.
	Drop Action = "drop"
)

// Reason says why.
type Reason string

// The reasons of verdicts.
const (
	// Placed is a new flow that was given to a server.
	Placed Reason = "placed"
	// Moved is a repeated SYN that was given to another server.
	Moved Reason = "moved"
	// Held is a segment of a flow that has its server.
	Held Reason = "held"
	// NoRoute is a new flow to an address that no configuration names.
	NoRoute Reason = "noroute"
	// NoServer is a new flow to a service without any server.
	NoServer Reason = "noserver"
	// OldView is a new flow that could be refused only by a view that may be
	// old.
	OldView Reason = "oldview"
	// Foreign is a segment whose token names no known server.
	Foreign Reason = "foreign"
	// Collision is a segment whose token names more than one server.
	Collision Reason = "collision"
	// Ended is a flow whose server is gone.
	Ended Reason = "ended"
	// Silent is a flow whose server answers nothing.
	Silent Reason = "silent"
	// Stale is a late copy of a segment of an earlier flow from the same address
	// and port.
	Stale Reason = "stale"
	// Stray is a segment that belongs to no flow.
	Stray Reason = "stray"
)

// Reasons returns all reasons.
func Reasons() []Reason {
	return []Reason{Placed, Moved, Held, NoRoute, NoServer, OldView, Foreign, Collision, Ended, Silent, Stale, Stray}
}

// Verdict is what is done with a segment.
type Verdict struct {
	// Action says what is done.
	Action Action
	// Reason says why.
	Reason Reason
	// Flow identifies the flow.
	Flow agatetuple.Tuple
	// Server is the id and Address the address of the server of a Forward.
	Server  uint64
	Address netip.AddrPort
	// Token is the token that the forwarded segment carries.
	Token uint32
	// Sequence is the number that a Reset carries: what the caller expects.
	Sequence uint32
	// Evidence is what decided it, except for Held.
	Evidence Evidence
	// on is the server that it is about; nil for none.
	on *server
}

// Evidence is what a verdict was decided by, for explaining it later.
type Evidence struct {
	// Load is the number of requests expected at the server, and Capacity that
	// of those it serves at full speed.
	Load, Capacity float64
	// Candidates is the number of servers of the service, and Silent that of
	// those left out as silent.
	Candidates, Silent int
	// Before is the id of the server that got the flow's SYN before this one, as
	// far as this entry has seen; 0 for none.
	Before uint64
	// Missed is the number of flows to the server without an answer, and Heard
	// the time since its last sign of life; 0 if it never gave one.
	Missed int
	Heard  time.Duration
	// Version and Revision are those of the catalog, and Age the time since it
	// was known to be the newest.
	Version, Revision int64
	Age               time.Duration
}

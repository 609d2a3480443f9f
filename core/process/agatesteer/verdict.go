package agatesteer

import (
	"net/netip"
	"time"

	"agatereach/core/process/agatehedge"
	"agatereach/core/request/agatetuple"
	"agatereach/core/version/agateposition"
)

// Action is what to do with a segment.
type Action string

// The actions.
const (
	// Forward passes the segment on to a server.
	Forward Action = "forward"
	// Reset ends the flow towards the caller.
	Reset Action = "reset"
	// Drop discards the segment.
	Drop Action = "drop"
)

// Reason is why a verdict was reached.
type Reason string

// The reasons for verdicts.
const (
	// Placed means that a new flow was assigned to a server.
	Placed Reason = "placed"
	// Moved means that a retransmitted SYN was sent to another server.
	Moved Reason = "moved"
	// Held means that the segment belongs to a flow with a server.
	Held Reason = "held"
	// NoRoute means that no virtual address is configured for a new flow.
	NoRoute Reason = "noroute"
	// NoServer means that the service of a new flow has no server.
	NoServer Reason = "noserver"
	// Evacuated means that the service of a new flow has servers in evacuated data
	// centres only.
	Evacuated Reason = "evacuated"
	// Cold means that the service of a new flow has only servers that have just started
	// and that get no more flows from this entry now.
	Cold Reason = "cold"
	// OutdatedCatalog means that a new flow has no virtual address or server in a
	// catalog that may be out of date.
	OutdatedCatalog Reason = "oldview"
	// UnknownToken means that the segment's token refers to no known server.
	UnknownToken Reason = "foreign"
	// Collision means that the segment's token refers to several servers.
	Collision Reason = "collision"
	// Overload means that the service of a new flow is asked for more than its servers
	// can do.
	Overload Reason = "overload"
	// Ended means that the flow's server is gone.
	Ended Reason = "ended"
	// Silent means that the flow's server doesn't answer.
	Silent Reason = "silent"
	// Checked means that the flow's server, or each server for a new flow, is confirmed
	// down by checks.
	Checked Reason = "checked"
	// Stale means that the segment is a delayed copy of the SYN of an open flow.
	Stale Reason = "stale"
	// MissingToken means that a segment other than a SYN carries no token.
	MissingToken Reason = "stray"
)

// Reasons returns all reasons.
func Reasons() []Reason {
	return []Reason{Placed, Moved, Held, NoRoute, NoServer, Evacuated, Cold, OutdatedCatalog, Overload, UnknownToken, Collision, Ended, Silent, Checked, Stale, MissingToken}
}

// Verdict is the decision on a segment.
type Verdict struct {
	// Action is what to do with the segment.
	Action Action
	// Reason is why.
	Reason Reason
	// Flow identifies the flow.
	Flow agatetuple.Tuple
	// Server is the id, and Address the address, of the server that the verdict
	// concerns; zero if there is none.
	Server  uint64
	Address netip.AddrPort
	// Token is the token that the forwarded segment carries.
	Token uint32
	// Sequence is the sequence number of a Reset: the one that the caller
	// expects.
	Sequence uint32
	// Second is the second server that gets a SYN with a token of its own; nil for none.
	// It is valid until the next call of Handle.
	Second *Offer
	// Evidence explains the verdict; it is empty for Held.
	Evidence Evidence
	// server is the server that the verdict concerns; nil for none.
	server *server
}

// Offer is a second server to which a SYN is sent.
type Offer struct {
	// Server is its id and Address its address.
	Server  uint64
	Address netip.AddrPort
	// Token is the token that this copy of the SYN carries.
	Token uint32
	// Doubt is why the first server may not answer soon.
	Doubt agatehedge.Doubt
}

// Evidence is the data that a verdict is based on, for logs.
type Evidence struct {
	// Load is the number of requests expected at the server, and Capacity the
	// number that it can process at once at full speed.
	Load, Capacity float64
	// Candidates is the number of servers compared, and Silent the number of
	// those that don't answer and were excluded.
	Candidates, Silent int
	// PreviousServer is the id of the server that received the flow's SYN before
	// this one, as far as this entry has seen; 0 for none.
	PreviousServer uint64
	// UnansweredFlows is the number of the server's unanswered flows, LocalFlows
	// the number of those that this entry has seen, and Reporters the number of
	// other entries that have reported the rest.
	UnansweredFlows, LocalFlows, Reporters int
	// Witnesses is the number of callers of this entry that are witnesses against the
	// server, ReliableWitnesses the number of the reliable ones, and PeerWitnesses
	// the number of other entries that have reliable ones.
	Witnesses, ReliableWitnesses, PeerWitnesses int
	// SinceAnswer is the time since the server last answered; 0 if it never did.
	SinceAnswer time.Duration
	// Retransmits is the number of the flow's own unanswered retransmissions if it is
	// reset, and CentreSilent is whether the server's data centre counts as
	// unreachable.
	Retransmits  int
	CentreSilent bool
	// Cold is whether the server counts as cold and its service limits the flows of cold
	// servers.
	Cold bool
	// Version and Position are those of the catalog, and Age is the time since
	// it was last known to be the newest.
	Version  int64
	Position agateposition.Position
	Age      time.Duration
}

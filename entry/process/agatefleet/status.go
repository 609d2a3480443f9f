package agatefleet

import (
	"time"

	"agatereach/core/version/agaterefusal"
	"agatereach/core/version/agateserial"
	"agatereach/entry/process/agatelink"
)

// Status is what a process tells about its tickets and its peers.
type Status struct {
	// VM, Centre and Boot name the process.
	VM     string `json:"vm"`
	Centre uint16 `json:"centre"`
	Boot   uint64 `json:"boot"`
	// Upto is the number up to which every ticket is in force.
	Upto uint64 `json:"upto"`
	// Head is the newest ticket number heard of, and Lag what is missing.
	Head uint64 `json:"head"`
	Lag  uint64 `json:"lag"`
	// Digest is the hash of all objects held.
	Digest uint64 `json:"digest"`
	// Stale says that no flows are opened.
	Stale bool `json:"stale"`
	// Age is the time since the platform was read, by this process or by one
	// that it has heard of it from, in milliseconds; -1 for never.
	Age int64 `json:"age"`
	// Reader says that the process watches the platform for others.
	Reader bool `json:"reader"`
	// Reads is the number of calls made to the platform.
	Reads uint64 `json:"reads"`
	// Members is the number of processes that are known, and VMs that of the
	// VMs on the platform's list.
	Members int `json:"members"`
	VMs     int `json:"vms"`
	// Links counts what went over the links.
	Links agatelink.Stats `json:"links"`
	// Dropped is the number of hand-overs refused by a full ring.
	Dropped uint64 `json:"dropped"`
	// Refused holds the newest tickets that failed their checks.
	Refused []agaterefusal.Refusal `json:"refused"`
}

// setStatus publishes the status.
func (l *loop) setStatus(now time.Time) {
	state := l.built
	s := &Status{
		VM: l.claim.VM, Centre: l.claim.Centre, Boot: l.claim.Boot,
		Upto: state.Upto(), Head: l.node.State().Head(), Digest: state.Digest(),
		Stale: l.stale.Load(), Age: l.node.Age(now), Reader: l.node.Elected(),
		Reads: l.source.Reads(), Links: l.hub.Stats(), Dropped: l.handovers.Dropped(),
		Refused: l.node.Refused(),
	}
	s.Lag = agateserial.Distance(s.Head, s.Upto)
	s.Members, s.VMs = l.node.Counts()
	l.status.Store(s)
}

package agatesteer

import (
	"time"

	"agatereach/core/process/agateanswer"
	"agatereach/core/process/agatepick"
	"agatereach/core/process/agatesilence"
)

// Policy holds the limits and weights of a steerer.
type Policy struct {
	// Flows is the number of flows that are followed at most.
	Flows int
	// Window is the number of bytes that a caller may send ahead of the
	// server's acknowledgements.
	Window uint32
	// Repeat is how long ago a segment must have been passed on for its copy to
	// be evidence: nearly the time after which callers repeat first.
	Repeat time.Duration
	// Blind is how long an entry that was late with its packets counts no
	// evidence: longer than callers wait before they repeat.
	Blind time.Duration
	// Idle is how long a flow is followed after its last segment, unless the
	// configuration says otherwise.
	Idle time.Duration
	// Handshake is how long a handshake may take before it counts as failed.
	Handshake time.Duration
	// Request is how long a request counts as under way where its virtual
	// address states no time.
	Request time.Duration
	// Cold is the share of its slots, from 0 to 1, that a server which has just
	// started counts for.
	Cold float64
	// Fresh is how old the view of the configuration may be for a flow without
	// a virtual address to be refused. With an older view it gets no answer.
	Fresh time.Duration
	// Recent is how long what another entry has said of servers counts at least.
	Recent time.Duration
	// Transit is how long what another entry says may be on its way: ages are
	// stated as of when it was written.
	Transit time.Duration
	// Choices is the number of servers of the own data centre, and of all others,
	// that a new flow is weighed for at most.
	Choices int
	// Pick holds the weights of the choice of a server.
	Pick agatepick.Policy
	// Silence holds the thresholds for silent servers, and Answers those for
	// servers that fail while they answer.
	Silence agatesilence.Policy
	Answers agateanswer.Policy
}

// DefaultPolicy returns the policy of deployments that state nothing else.
func DefaultPolicy() Policy {
	return Policy{
		Flows:     1 << 16,
		Window:    16 * 1200,
		Repeat:    170 * time.Millisecond,
		Blind:     500 * time.Millisecond,
		Idle:      15 * time.Second,
		Handshake: 1500 * time.Millisecond,
		Request:   10 * time.Second,
		Cold:      0.6,
		Fresh:     2 * time.Second,
		Recent:    5 * time.Second,
		Transit:   20 * time.Millisecond,
		// The least loaded of so many is nearly the least loaded of all.
		Choices: 64,
		Pick:    agatepick.Policy{Distance: 0.7, Failing: 5, MaxSilent: 0.5},
		Silence: agatesilence.Policy{
			Suspect:  2,
			Confirm:  3,
			Firm:     2,
			Patience: 350 * time.Millisecond,
			Settle:   200 * time.Millisecond,
			Retry:    time.Second,
			RetryMax: 4 * time.Second,
		},
		Answers: agateanswer.Policy{
			// Answers with content vary by less; refusals and errors carry a head only.
			Short:  0.45,
			Failed: 0.5,
			Least:  0.02,
			Limit:  6,
			// A short answer where none was short counts for 3.1.
			Even: 3,
			// At a Decay each 100 ms, half is forgotten in 3.4 s: then the server is
			// tried again.
			Memory: 0.98,
			Told:   2,
		},
	}
}

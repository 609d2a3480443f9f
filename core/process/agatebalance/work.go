package agatebalance

import (
	"net/netip"
	"time"

	"agatereach/core/process/agatepool"
	"agatereach/core/request/agateclass"
	"agatereach/core/request/agatereason"
)

// Work is a request to be assigned to a server.
type Work struct {
	// ID is unique among the requests that have not ended.
	ID uint64
	// Class is the expected duration of the request, short or long.
	Class agateclass.Class
	// Priority orders the requests of a team under overload, highest first.
	Priority uint8
	// Arrived is when the entry received the request.
	Arrived time.Time
	// Deadline is when the answer becomes useless, zero for never.
	Deadline time.Time
	// Team is the team that the request is charged to.
	Team string
	// Customer is the caller's customer number, 0 for none.
	Customer uint32
	// Caller is the caller's address.
	Caller netip.Addr
	// Idempotent is whether the request may run more than once.
	Idempotent bool
}

// Action is what happens to a request.
type Action string

// The actions of a decision.
const (
	// Send sends the request to a server.
	Send Action = "send"
	// Wait keeps the request in the balancer's queue until a later decision.
	Wait Action = "wait"
	// Refuse ends the request, which is at no server.
	Refuse Action = "refuse"
)

// Decision is the balancer's decision on a request.
type Decision struct {
	// ID is the ID of the request.
	ID uint64
	// Action is what happens to the request.
	Action Action
	// Server is the number of the server to send to, 0 unless Action is Send.
	Server uint32
	// Now is whether the server should refuse the request rather than queue
	// it.
	Now bool
	// Reason is why the request is refused, agatereason.None unless Action
	// is Refuse.
	Reason agatereason.Reason
	// Wait is the delay after which the caller may retry, 0 unless Action is
	// Refuse.
	Wait time.Duration
}

// Server describes a backend server to the balancer.
type Server = agatepool.Server

// Report is the load that a server reports with its answers.
type Report = agatepool.Report

// Result is the outcome of an attempt at a server.
type Result string

// The results of an attempt.
const (
	// Answered means that the server ran the request and answered it.
	Answered Result = "answered"
	// Shed means that the server refused the request without running it.
	Shed Result = "shed"
	// Retry means that the attempt failed and the request may run again.
	Retry Result = "retry"
	// Failed means that the attempt failed and the request must not run again.
	Failed Result = "failed"
	// Timeout means that no answer arrived before the deadline.
	Timeout Result = "timeout"
	// Cancelled means that the caller withdrew the request, at a server or in
	// the queue.
	Cancelled Result = "cancelled"
)

// Package agateflight holds the requests that a process has taken on and not
// yet ended, and finds them by number, by attempt and by time.
package agateflight

import (
	"net/netip"
	"time"

	"agatereach/core/request/agateheader"
	"agatereach/core/request/agatereason"
)

// Key names a request.
type Key struct {
	// Service is the number of the request's service.
	Service uint32
	// Flow is the number of its flow.
	Flow uint64
	// Number is the request's number within the flow.
	Number uint64
}

// Attempt is one datagram of a request that left for a backend server.
type Attempt struct {
	// ID is the route's attempt number.
	ID uint64
	// Server and Incarnation name the server.
	Server      uint32
	Incarnation uint64
	// At is when the datagram left.
	At time.Time
	// Closed says that the server has refused it.
	Closed bool
	// Overdue says that it counts as a failure of the server since no answer
	// came in time.
	Overdue bool
	// NotRun says that the server itself said that it did not run it; never
	// set without Closed.
	NotRun bool
}

// Work is a request that has been taken on.
type Work struct {
	// ID names the work to the balancer; unique within the process.
	ID uint64
	// Key names the request.
	Key Key
	// Caller is where the answer goes.
	Caller netip.AddrPort
	// Centre is the number of the data centre that the request entered at.
	Centre uint16
	// Header, Body and Datagram, which holds both, are the request's.
	Header   agateheader.Header
	Body     []byte
	Datagram []byte
	// Arrived is when the request was taken on.
	Arrived time.Time
	// Deadline is when the answer is no longer of use.
	Deadline time.Time
	// Next is when the work needs attention next.
	Next time.Time
	// Guarded says that this process is the flow's guard and that the
	// request must not run twice.
	Guarded bool
	// Cancelled says that the caller has withdrawn the request.
	Cancelled bool
	// Waiting says that the balancer holds the work in its queue.
	Waiting bool
	// Ended says that the caller has been told the end; the work is kept for
	// a late answer only.
	Ended bool
	// Reason is why the last attempt failed.
	Reason agatereason.Reason
	// Attempts holds the datagrams that left for servers, oldest first.
	Attempts []Attempt
	// index is the place in the table's schedule.
	index int
}

// Last returns the newest attempt, nil if there is none.
func (w *Work) Last() *Attempt {
	if len(w.Attempts) == 0 {
		return nil
	}
	return &w.Attempts[len(w.Attempts)-1]
}

// Attempt returns the attempt of the given number, nil if there is none.
func (w *Work) Attempt(id uint64) *Attempt {
	for i := range w.Attempts {
		if w.Attempts[i].ID == id {
			return &w.Attempts[i]
		}
	}
	return nil
}

// NotRun reports whether no copy left for a server, or each server that got
// one said itself that it did not run it.
func (w *Work) NotRun() bool {
	for i := range w.Attempts {
		if !w.Attempts[i].NotRun {
			return false
		}
	}
	return true
}

// Open reports whether a copy left for a server that has not refused it.
func (w *Work) Open() bool {
	for i := range w.Attempts {
		if !w.Attempts[i].Closed {
			return true
		}
	}
	return false
}

// Before implements agateheap.Item.
func (w *Work) Before(other *Work) bool { return w.Next.Before(other.Next) }

// Moved implements agateheap.Item.
func (w *Work) Moved(place int) { w.index = place }

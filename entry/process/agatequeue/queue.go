// Package agatequeue joins the receivers to the dispatcher, so that a flood of
// one kind of datagram does not crowd out the others.
package agatequeue

import (
	"agatereach/core/process/agatedispatch"
	"agatereach/core/process/agatering"
	"agatereach/core/request/agatekind"
)

// Lane names one of the rings.
type Lane string

// The lanes, the most urgent first.
const (
	// Answers holds what backend servers send: it ends work under way.
	Answers Lane = "answers"
	// Requests holds requests and cancels with an authentic token.
	Requests Lane = "requests"
	// Opens holds opens, which anybody can send.
	Opens Lane = "opens"
)

// Lanes returns every lane, the most urgent first.
func Lanes() []Lane { return []Lane{Answers, Requests, Opens} }

// Ring is a bounded ring of datagrams.
type Ring = agatering.Ring[*agatedispatch.Input]

// Queue holds a bounded ring for each lane. A full ring refuses what comes, and
// counts it. It is safe for concurrent use.
type Queue struct {
	answers, requests, opens *Ring
}

// New returns a queue with room for capacity datagrams in each lane.
func New(capacity int) *Queue {
	return &Queue{
		answers:  agatering.New[*agatedispatch.Input](capacity),
		requests: agatering.New[*agatedispatch.Input](capacity),
		opens:    agatering.New[*agatedispatch.Input](capacity),
	}
}

// Ring returns the ring of a lane.
func (q *Queue) Ring(lane Lane) *Ring {
	switch lane {
	case Answers:
		return q.answers
	case Requests:
		return q.requests
	}
	return q.opens
}

// Put appends in to its lane and reports whether there was room.
func (q *Queue) Put(in *agatedispatch.Input) bool {
	switch {
	case in.Source == agatedispatch.Server:
		return q.answers.Put(in)
	case in.Header.Kind == agatekind.Open:
		return q.opens.Put(in)
	}
	return q.requests.Put(in)
}

// Next returns the oldest datagram of the most urgent lane that has one, and
// whether there is one.
func (q *Queue) Next() (*agatedispatch.Input, bool) {
	for _, ring := range []*Ring{q.answers, q.requests, q.opens} {
		select {
		case in := <-ring.Items():
			return in, true
		default:
		}
	}
	return nil, false
}

// Len returns the number of datagrams that wait.
func (q *Queue) Len() int { return q.answers.Len() + q.requests.Len() + q.opens.Len() }

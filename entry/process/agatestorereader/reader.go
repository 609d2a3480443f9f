// Package agatestorereader provides the goroutine that reads the store in which
// registrations and the configuration are published.
package agatestorereader

import (
	"context"
	"time"

	"agatereach/core/process/agatepanic"
	"agatereach/core/process/agatering"
	"agatereach/core/version/agatechange"
)

// Source is a client of the store. Its methods are called by one goroutine.
type Source interface {
	// List returns all registrations and the configuration. It may take several
	// calls, of which each may take as long as answer says.
	List(ctx context.Context, answer time.Duration) (agatechange.Changes, error)
	// Watch returns the changes after a revision, waiting at most the given time
	// for one. The error is an *agatechange.CompactedError if the store no longer
	// holds the history after that revision.
	Watch(ctx context.Context, after int64, wait time.Duration) (agatechange.Changes, error)
	// Reset closes the connections, which may have become unresponsive.
	Reset()
}

// Request describes one read.
type Request struct {
	// Context bounds the read.
	Context context.Context
	// ListAll is whether to list everything instead of watching for changes.
	ListAll bool
	// AnswerTimeout is how long each call of a listing may take.
	AnswerTimeout time.Duration
	// AfterRevision is the revision after which changes are watched for, and Wait
	// how long the store waits for one.
	AfterRevision int64
	Wait          time.Duration
}

// Result is the result of a read.
type Result struct {
	// Request is the read that was requested. StartedAt and FinishedAt are when it
	// began and ended.
	Request               Request
	StartedAt, FinishedAt time.Time
	// Changes is the answer, valid if Err is nil.
	Changes agatechange.Changes
	Err     error
}

// ConfirmedAt returns the latest time at which the result is known to have been
// current: the start of the read or, for a watch that timed out without a change,
// the end of its wait. The store counts the wait from when it receives the request,
// so that the watch had not ended before StartedAt+Wait.
func (r *Result) ConfirmedAt() time.Time {
	if r.Request.ListAll || r.Changes.Revision > r.Request.AfterRevision || r.FinishedAt.Sub(r.StartedAt) < r.Request.Wait {
		return r.StartedAt
	}
	return r.StartedAt.Add(r.Request.Wait)
}

// Reader carries out one request at a time.
type Reader struct {
	source   Source
	requests *agatering.Ring[Request]
	results  *agatering.Ring[Result]
}

// New returns a reader of source.
func New(source Source) *Reader {
	return &Reader{source: source, requests: agatering.New[Request](1), results: agatering.New[Result](1)}
}

// Submit queues a request. It reports whether the queue, which holds one request,
// had room.
func (r *Reader) Submit(request Request) bool { return r.requests.Put(request) }

// Results returns the channel on which results are delivered.
func (r *Reader) Results() <-chan Result { return r.results.Items() }

// Run carries out requests until the context ends.
func (r *Reader) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case request := <-r.requests.Items():
			r.results.Wait(ctx.Done(), r.read(request))
		}
	}
}

// read carries out one request.
func (r *Reader) read(request Request) Result {
	result := Result{Request: request, StartedAt: time.Now()}
	// A panic fails this read only: the entry keeps serving with the catalog it has.
	result.Err = agatepanic.Catch("reading the store", func() (err error) {
		if request.ListAll {
			result.Changes, err = r.source.List(request.Context, request.AnswerTimeout)
		} else {
			result.Changes, err = r.source.Watch(request.Context, request.AfterRevision, request.Wait)
		}
		return err
	})
	result.FinishedAt = time.Now()
	if result.Err != nil {
		r.source.Reset()
	}
	return result
}

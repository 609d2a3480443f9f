// Package agatestorereader provides the goroutine that reads the store in which
// registrations and configuration are published.
package agatestorereader

import (
	"context"
	"time"

	"agatereach/core/process/agatepanic"
	"agatereach/core/process/agatering"
	"agatereach/core/version/agatechange"
)

// Source reads the store. It is used by one goroutine.
type Source interface {
	// List returns all registrations and the configuration, in calls each of which
	// may take as long as answer says.
	List(ctx context.Context, answer time.Duration) (agatechange.Changes, error)
	// Watch waits for changes after a revision, at most the given time. The
	// error is an *agatechange.CompactedError if they are no longer held.
	Watch(ctx context.Context, after int64, wait time.Duration) (agatechange.Changes, error)
	// Reset drops the connections, which may have gone silent.
	Reset()
}

// Order asks for one read.
type Order struct {
	// Context bounds the read.
	Context context.Context
	// Whole asks for everything rather than for the changes after a revision.
	Whole bool
	// Answer is how long each call of a read of everything may take.
	Answer time.Duration
	// After is the revision, and Wait how long to wait for changes after it.
	After int64
	Wait  time.Duration
}

// Result is what a read brought.
type Result struct {
	// Order is what was asked for, Asked when, and Answered when the answer came.
	Order           Order
	Asked, Answered time.Time
	// Changes is the answer, unless there is an error.
	Changes agatechange.Changes
	Err     error
}

// Confirmed returns a time at which what the read brought was the newest: when it
// was asked for or, of a watch that saw no change, when its wait was over. The
// store waits from when it has the question, which is later than it was asked.
func (r *Result) Confirmed() time.Time {
	if r.Order.Whole || r.Changes.Revision > r.Order.After || r.Answered.Sub(r.Asked) < r.Order.Wait {
		return r.Asked
	}
	return r.Asked.Add(r.Order.Wait)
}

// Reader carries out one order at a time.
type Reader struct {
	source  Source
	orders  *agatering.Ring[Order]
	results *agatering.Ring[Result]
}

// New returns a reader of the source.
func New(source Source) *Reader {
	return &Reader{source: source, orders: agatering.New[Order](1), results: agatering.New[Result](1)}
}

// Order asks for a read. It reports false while one is waiting to be begun.
func (r *Reader) Order(o Order) bool { return r.orders.Put(o) }

// Results returns the channel of what reads brought.
func (r *Reader) Results() <-chan Result { return r.results.Items() }

// Run carries out orders until the context ends.
func (r *Reader) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case o := <-r.orders.Items():
			r.results.Wait(ctx.Done(), r.read(o))
		}
	}
}

// read carries out one order.
func (r *Reader) read(o Order) Result {
	result := Result{Order: o, Asked: time.Now()}
	// What cannot be read costs the read only: the entry serves on by what it holds.
	result.Err = agatepanic.Catch("reading the store", func() (err error) {
		if o.Whole {
			result.Changes, err = r.source.List(o.Context, o.Answer)
		} else {
			result.Changes, err = r.source.Watch(o.Context, o.After, o.Wait)
		}
		return err
	})
	result.Answered = time.Now()
	if result.Err != nil {
		r.source.Reset()
	}
	return result
}

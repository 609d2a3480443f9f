// Package agatefollower keeps the catalog of an entry in step with the store
// that registrations and configuration are read from.
package agatefollower

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"time"

	"agatereach/core/process/agatemerge"
	"agatereach/core/version/agatecatalog"
	"agatereach/core/version/agatechange"
)

// Source reads the store.
type Source interface {
	// List returns all registrations and the configuration.
	List(ctx context.Context) (agatechange.Changes, error)
	// Watch waits for changes after a revision, at most the given time. The
	// error is an *agatechange.CompactedError if they are no longer held.
	Watch(ctx context.Context, after int64, wait time.Duration) (agatechange.Changes, error)
	// Reset drops the connections, which may have gone silent.
	Reset()
}

// Timing holds the times of the reads.
type Timing struct {
	// Wait is how long a watch waits for a change. A silent connection is
	// found no sooner than that.
	Wait time.Duration
	// Answer is how long an answer may take beyond that.
	Answer time.Duration
	// Pause is the time between two watches, in which changes gather.
	Pause time.Duration
	// RetryMin and RetryMax bound the time after a failed read, which doubles.
	RetryMin, RetryMax time.Duration
}

// Publish takes a catalog that was known to be the newest at a time.
type Publish func(catalog *agatecatalog.Catalog, confirmed time.Time)

// Follower reads the store.
type Follower struct {
	source  Source
	timing  Timing
	merger  *agatemerge.Merger
	publish Publish
	// started is the start of the merger's clock.
	started time.Time
	// listed says that a whole listing has been merged since it was last due.
	listed bool
	// retry is the time after the next failed read.
	retry time.Duration
	log   *slog.Logger
}

// New returns a follower that gives each newer catalog to publish.
func New(source Source, timing Timing, policy agatemerge.Policy, publish Publish, log *slog.Logger) *Follower {
	return &Follower{
		source: source, timing: timing, merger: agatemerge.New(policy), publish: publish,
		started: time.Now().Add(-time.Second), retry: timing.RetryMin, log: log,
	}
}

// Run reads until the context ends.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		asked := time.Now()
		changes, err := f.read(ctx)
		if ctx.Err() != nil {
			return nil
		}
		pause := f.timing.Pause
		if err != nil {
			pause = f.failed(err)
		} else {
			f.apply(changes, asked)
		}
		f.sleep(ctx, pause)
	}
	return nil
}

// read lists what is registered, or waits for what changes.
func (f *Follower) read(ctx context.Context) (agatechange.Changes, error) {
	if !f.listed {
		ctx, cancel := context.WithTimeout(ctx, f.timing.Answer)
		defer cancel()
		return f.source.List(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, f.timing.Wait+f.timing.Answer)
	defer cancel()
	return f.source.Watch(ctx, f.merger.Catalog().Revision(), f.timing.Wait)
}

// apply merges what was read. An answer tells the state of the store at the
// time when it was asked, or a later one.
func (f *Follower) apply(changes agatechange.Changes, asked time.Time) {
	f.retry = f.timing.RetryMin
	f.listed = true
	if changes.Malformed > 0 {
		f.log.Warn("store: entries could not be read", "entries", changes.Malformed)
	}
	before := f.merger.Catalog()
	f.merger.Apply(changes, f.now())
	if version := f.merger.Catalog().Version(); version != before.Version() {
		f.log.Info("store: configuration taken over", "version", version, "from", before.Version())
	}
	f.publish(f.merger.Catalog(), asked)
}

// failed notes a failed read and returns the time until the next.
func (f *Follower) failed(err error) time.Duration {
	var compacted *agatechange.CompactedError
	if errors.As(err, &compacted) {
		f.log.Info("store: history is gone, read all", "after", compacted.After)
		f.listed = false
		return 0
	}
	f.merger.Failed(f.now())
	f.source.Reset()
	pause := f.retry/2 + rand.N(f.retry)
	f.retry = min(2*f.retry, f.timing.RetryMax)
	f.log.Warn("store: read failed", "error", err, "retry", pause)
	return pause
}

// now returns the time of the merger's clock.
func (f *Follower) now() time.Duration { return time.Since(f.started) }

// sleep waits, and lets lapsed servers go meanwhile.
func (f *Follower) sleep(ctx context.Context, pause time.Duration) {
	if f.merger.Tick(f.now()) {
		f.publish(f.merger.Catalog(), time.Time{})
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

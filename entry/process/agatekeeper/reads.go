package agatekeeper

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"agatereach/core/process/agatesync"
	"agatereach/core/version/agatechange"
	"agatereach/entry/process/agatemeter"
	"agatereach/entry/process/agatestorereader"
)

// Timing holds the times of the reads of the store.
type Timing struct {
	// Wait is how long a watch waits for a change, and Answer how long an
	// answer may take beyond that.
	Wait, Answer time.Duration
	// Listing is how long all calls of a read of everything may take together.
	Listing time.Duration
	// First is the time after the start at which the store may first be read.
	First time.Duration
	// Pause is the time between two watches, in which changes gather.
	Pause time.Duration
	// RetryMin and RetryMax bound the time after a failed read, which doubles.
	RetryMin, RetryMax time.Duration
	// RetryOthers is how much longer an entry waits that is not a reader.
	RetryOthers time.Duration
	// Settle is the time after the first read of a process in which it learns who
	// else is there, rather than watch by itself.
	Settle time.Duration
	// Stuck is how long a watch may go on after another entry has told of a
	// change that it should have returned.
	Stuck time.Duration
}

// reading is a read of the store that is under way.
type reading struct {
	active bool
	order  agatestorereader.Order
	cancel context.CancelFunc
	// version and digest are those of the catalog when it began, and stale is
	// since when the catalog has had others.
	version int64
	digest  uint64
	stale   time.Time
}

// read begins a read of the store if one is due, and ends one that is stuck.
func (k *Keeper) read(ctx context.Context) {
	if k.reading.active {
		k.checkStuck()
		return
	}
	if time.Now().Before(k.next) || !k.due() {
		return
	}
	order := agatestorereader.Order{
		Whole: !k.listed, After: k.sync.Catalog().Revision(), Wait: k.timing.Wait, Answer: k.timing.Answer,
	}
	timeout := k.timing.Answer + order.Wait
	if order.Whole {
		timeout = k.timing.Listing
	}
	var cancel context.CancelFunc
	order.Context, cancel = context.WithTimeout(ctx, timeout)
	k.reading = reading{
		active: true, order: order, cancel: cancel,
		version: k.sync.Catalog().Version(), digest: k.sync.Catalog().Digest(),
	}
	k.reader.Order(order)
}

// due reports whether the store should be read, and tells when that changes.
func (k *Keeper) due() bool {
	duty := k.sync.Due(k.now())
	if duty != k.duty {
		k.log.Info("store: duty to read", "duty", string(duty), "before", string(k.duty), "entries", k.sync.Peers())
		k.duty = duty
	}
	return duty != agatesync.None
}

// checkStuck ends a watch that should have returned what others have told of.
func (k *Keeper) checkStuck() {
	r := &k.reading
	catalog := k.sync.Catalog()
	if r.order.Whole || catalog.Version() == r.version && catalog.Digest() == r.digest {
		return
	}
	if r.stale.IsZero() {
		r.stale = time.Now()
	}
	if time.Since(r.stale) > k.timing.Stuck {
		k.log.Warn("store: watch does not return what others have told of", "after", r.order.After, "revision", catalog.Revision())
		r.cancel()
	}
}

// stopReading ends the read that is under way.
func (k *Keeper) stopReading() {
	if k.reading.active {
		k.reading.cancel()
	}
}

// result takes in what a read brought.
func (k *Keeper) result(r agatestorereader.Result) {
	k.reading.cancel()
	k.reading = reading{}
	k.meter.Read(outcome(r.Err), time.Since(r.Asked))
	if r.Err != nil {
		k.failed(r.Err)
		return
	}
	if k.lost {
		k.lost = false
		k.log.Info("store: read again", "revision", r.Changes.Revision)
	}
	k.retry = k.timing.RetryMin
	k.next = time.Now().Add(k.timing.Pause)
	if !k.listed && k.duty == agatesync.Start {
		k.next = time.Now().Add(k.timing.Settle)
	}
	k.listed = true
	k.doubt(r.Changes)
	if r.Changes.Malformed > 0 {
		k.log.Warn("store: entries not understood", "entries", r.Changes.Malformed)
	}
	sends := k.sync.Read(r.Changes, r.Confirmed().Sub(k.started), k.now())
	// Callers wait for the catalog, other entries can wait.
	k.publish()
	k.send(sends)
}

// doubt tells which virtual addresses of a new configuration were not understood.
func (k *Keeper) doubt(c agatechange.Changes) {
	if c.Config == nil || c.Config.Version <= k.version() {
		return
	}
	for _, d := range c.Doubts {
		k.log.Warn("config: virtual address not understood", "version", c.Config.Version, "name", d.Name, "reason", string(d.Reason))
	}
}

// outcome returns how a read ended, for the metrics.
func outcome(err error) agatemeter.Outcome {
	var compacted *agatechange.CompactedError
	switch {
	case err == nil:
		return agatemeter.OK
	case errors.As(err, &compacted):
		return agatemeter.Compacted
	}
	return agatemeter.Failed
}

// failed plans the next read after one that failed.
func (k *Keeper) failed(err error) {
	var compacted *agatechange.CompactedError
	if errors.As(err, &compacted) {
		k.log.Info("store: history is gone, reading everything", "after", compacted.After)
		k.listed = false
		k.next = time.Time{}
		return
	}
	k.send(k.sync.Failed(k.now()))
	wait := k.retry/2 + rand.N(k.retry)
	k.retry = min(2*k.retry, k.timing.RetryMax)
	if k.duty == agatesync.Unconfirmed {
		// The readers of the data centre try again sooner.
		wait += k.timing.RetryOthers
	}
	k.next = time.Now().Add(wait)
	k.lost = true
	k.log.Warn("store: read failed", "error", err, "retry", wait)
}

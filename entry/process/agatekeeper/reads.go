package agatekeeper

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"agatereach/core/process/agatesync"
	"agatereach/core/version/agatecatalog"
	"agatereach/core/version/agatechange"
	"agatereach/core/version/agateposition"
	"agatereach/core/version/agatestamp"
	"agatereach/entry/process/agatemeter"
	"agatereach/entry/process/agatestorereader"
)

// Timing holds the delays and timeouts of reads of the store.
type Timing struct {
	// WatchWait is how long a watch waits for a change, and AnswerTimeout how long
	// an answer may take on top of that.
	WatchWait, AnswerTimeout time.Duration
	// ListTimeout bounds a full listing, over all its calls.
	ListTimeout time.Duration
	// StartDelay is the time after the start before which the store is not read.
	StartDelay time.Duration
	// WatchPause is the time between two watches, in which changes accumulate.
	WatchPause time.Duration
	// RetryMin and RetryMax bound the delay after a failed read, which doubles with
	// each failure.
	RetryMin, RetryMax time.Duration
	// NonReaderDelay is added to the retry delay of an entry that is not one of its
	// data centre's readers.
	NonReaderDelay time.Duration
	// SettleDelay is the time after the first read of a process in which it learns
	// of the other entries before it starts a watch of its own.
	SettleDelay time.Duration
	// StuckTimeout is how long a watch may go on after another entry has announced
	// a change that the watch should have returned.
	StuckTimeout time.Duration
}

// storeRead is a read of the store that is under way.
type storeRead struct {
	active  bool
	request agatestorereader.Request
	cancel  context.CancelFunc
	// stamp, position and digest are those of the catalog when the read began.
	// staleSince is when the catalog was first seen to differ from them.
	stamp      agatestamp.Stamp
	position   agateposition.Position
	digest     uint64
	staleSince time.Time
}

// advanceRead starts a read of the store if one is due, and cancels a stuck watch.
func (k *Keeper) advanceRead(ctx context.Context) {
	if k.currentRead.active {
		k.cancelStuckWatch()
		return
	}
	if time.Now().Before(k.nextRead) || !k.readDue() {
		return
	}
	request := agatestorereader.Request{
		ListAll: k.sync.ListingDue(k.now()), AfterRevision: k.sync.Catalog().Revision(), Wait: k.timing.WatchWait, AnswerTimeout: k.timing.AnswerTimeout,
	}
	timeout := k.timing.AnswerTimeout + request.Wait
	if request.ListAll {
		timeout = k.timing.ListTimeout
	}
	var cancel context.CancelFunc
	request.Context, cancel = context.WithTimeout(ctx, timeout)
	k.currentRead = storeRead{
		active: true, request: request, cancel: cancel,
		stamp: k.sync.Catalog().Stamp(), position: k.sync.Catalog().Position(), digest: k.sync.Catalog().Digest(),
	}
	k.reader.Submit(request)
}

// readDue reports whether the store should be read, and logs when the reason changes.
func (k *Keeper) readDue() bool {
	duty := k.sync.ReadDuty(k.now())
	if duty != k.duty {
		k.log.Info("store: duty to read", "duty", string(duty), "before", string(k.duty), "entries", k.sync.PeerCount())
		k.duty = duty
	}
	return duty != agatesync.None
}

// cancelStuckWatch cancels a watch that should have returned a change which other
// entries have announced.
func (k *Keeper) cancelStuckWatch() {
	r := &k.currentRead
	catalog := k.sync.Catalog()
	same := catalog.Stamp() == r.stamp && catalog.Digest() == r.digest && catalog.Position().Era == r.position.Era
	if r.request.ListAll || same {
		return
	}
	if r.staleSince.IsZero() {
		r.staleSince = time.Now()
	}
	if time.Since(r.staleSince) > k.timing.StuckTimeout {
		k.log.Warn("store: watch does not return what others have told of", "after", r.request.AfterRevision, "revision", catalog.Revision())
		r.cancel()
	}
}

// cancelRead cancels the read that is under way, if any.
func (k *Keeper) cancelRead() {
	if k.currentRead.active {
		k.currentRead.cancel()
	}
}

// handleResult processes the result of a read and schedules the next one.
func (k *Keeper) handleResult(r agatestorereader.Result) {
	k.currentRead.cancel()
	if at := r.Changes.Position(); r.Err == nil && k.currentRead.position.After(at) {
		r.Err = &agatechange.RegressionError{Position: at, Known: k.currentRead.position}
	}
	k.currentRead = storeRead{}
	k.meter.ObserveRead(readOutcome(r.Err), time.Since(r.StartedAt))
	if r.Err != nil {
		k.handleReadError(r.Err)
		return
	}
	if k.storeFailing {
		k.storeFailing = false
		k.log.Info("store: read again", "revision", r.Changes.Revision)
	}
	k.retryDelay = k.timing.RetryMin
	k.nextRead = time.Now().Add(k.timing.WatchPause)
	before := k.sync.Catalog()
	if before.Revision() == 0 && k.duty == agatesync.Start {
		k.nextRead = time.Now().Add(k.timing.SettleDelay)
	}
	k.logUnreadableAddresses(r.Changes)
	if r.Changes.Malformed > 0 {
		k.log.Warn("store: entries not understood", "entries", r.Changes.Malformed)
	}
	sends := k.sync.HandleRead(r.Changes, r.ConfirmedAt().Sub(k.clockStart), k.now())
	// Callers wait for the new catalog, so it is published before notices are sent.
	k.publish(sourceStore)
	k.logAnswer(&r, before)
	if r.Changes.Era > k.sync.Catalog().Position().Era {
		// A watch was answered by the restored store, which is to be listed first.
		k.nextRead = time.Time{}
	}
	k.send(sends)
}

// sourceStore names the store in log lines.
const sourceStore = "store"

// logAnswer logs an answer of the store that holds more than the confirmation of the
// catalog held before it.
func (k *Keeper) logAnswer(r *agatestorereader.Result, before *agatecatalog.Catalog) {
	c := &r.Changes
	known := c.Era == k.storeEra
	k.storeEra = c.Era
	if known && !c.Complete && c.Config == nil && len(c.Instances) == 0 && len(c.Removals) == 0 && len(c.Evacuations) == 0 {
		return
	}
	version := int64(0)
	if c.Config != nil {
		version = c.Config.Version
	}
	after := k.sync.Catalog()
	k.log.Info("store: answer", "complete", c.Complete, "after", r.Request.AfterRevision, "era", c.Era, "revision", c.Revision,
		"version", version, "servers", len(c.Instances), "removals", len(c.Removals), "evacuations", len(c.Evacuations),
		"held", before.Version(), "at_era", before.Position().Era, "at", before.Revision(), "applied", after != before)
}

// logUnreadableAddresses logs the virtual addresses of a new configuration that could
// not be decoded.
func (k *Keeper) logUnreadableAddresses(c agatechange.Changes) {
	if c.Config == nil || c.Config.Version <= k.publishedVersion() {
		return
	}
	for _, d := range c.VIPIssues {
		k.log.Warn("config: virtual address not understood", "version", c.Config.Version, "name", d.Name, "reason", string(d.Reason))
	}
}

// readOutcome classifies the result of a read for the metrics.
func readOutcome(err error) agatemeter.Outcome {
	var compacted *agatechange.CompactedError
	switch {
	case err == nil:
		return agatemeter.OK
	case errors.As(err, &compacted):
		return agatemeter.Compacted
	}
	return agatemeter.Failed
}

// handleReadError schedules the next read after a failed one.
func (k *Keeper) handleReadError(err error) {
	var compacted *agatechange.CompactedError
	if errors.As(err, &compacted) {
		k.log.Info("store: history is gone, reading everything", "after", compacted.After, "era", compacted.Era)
		k.sync.HandleCompaction()
		k.nextRead = time.Time{}
		return
	}
	k.send(k.sync.HandleReadFailure(k.now()))
	wait := k.retryDelay/2 + rand.N(k.retryDelay)
	k.retryDelay = min(2*k.retryDelay, k.timing.RetryMax)
	if k.duty == agatesync.Unconfirmed {
		// The readers of the data centre retry sooner.
		wait += k.timing.NonReaderDelay
	}
	k.nextRead = time.Now().Add(wait)
	k.storeFailing = true
	k.log.Warn("store: read failed", "error", err, "retry", wait)
}

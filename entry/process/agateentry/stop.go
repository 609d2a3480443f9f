package agateentry

import (
	"context"
	"fmt"
	"time"

	"agatereach/core/process/agatedispatch"
)

const (
	// settle is the time in which datagrams are still carried after the
	// other entries know of the stop: callers of feeds ping each second, and a
	// ping through another entry moves the server's way back.
	settle = 2500 * time.Millisecond
	// poll is the time between two looks at whether requests are under way.
	poll = 20 * time.Millisecond
)

// DrainError reports a planned stop that ended with requests under way.
type DrainError struct {
	// Limit is the time that they were given.
	Limit time.Duration
}

// Error names the limit.
func (e *DrainError) Error() string {
	return fmt.Sprintf("requests were still under way after a drain of %s", e.Limit)
}

// Stop begins a planned stop, after which Run returns. A second call ends the
// drain at once.
func (e *Entry) Stop() {
	if e.asked.CompareAndSwap(false, true) {
		close(e.stop)
		return
	}
	e.force.Do(func() { close(e.forced) })
}

// waitForStop returns after a planned stop, or when the context ends.
func (e *Entry) waitForStop(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case <-e.stop:
	}
	e.draining.Store(true)
	e.log.Info("stopping", "drain", e.settings.Drain)
	ctx, cancel := context.WithTimeout(ctx, e.settings.Drain)
	defer cancel()
	go e.cancelForced(ctx, cancel)
	return e.drain(ctx)
}

// cancelForced ends the drain when a second stop is asked for.
func (e *Entry) cancelForced(ctx context.Context, cancel context.CancelFunc) {
	select {
	case <-e.forced:
		cancel()
	case <-ctx.Done():
	}
}

// drain refuses new flows, hands the guard's records over, waits for the
// requests under way and carries datagrams a while longer.
func (e *Entry) drain(ctx context.Context) error {
	begun := time.Now()
	if err := e.handOver(ctx); err != nil {
		e.log.Warn("guard records not handed over", "err", err)
	}
	for !e.idle(ctx) {
		if !sleep(ctx, poll) {
			e.log.Warn("drain ended with requests under way")
			return &DrainError{Limit: e.settings.Drain}
		}
	}
	e.log.Info("requests ended", "after", time.Since(begun).Round(time.Millisecond))
	sleep(ctx, settle-time.Since(begun))
	e.log.Info("stopped", "after", time.Since(begun).Round(time.Millisecond))
	return nil
}

// idle reports whether no request is under way.
func (e *Entry) idle(ctx context.Context) bool {
	idle := false
	err := e.worker.Do(ctx, func(time.Time) []agatedispatch.Output {
		idle = e.worker.Dispatcher.Idle() && e.queue.Len() == 0
		return nil
	})
	return err == nil && idle
}

// sleep waits and reports whether the context is still going on.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(max(d, 0))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

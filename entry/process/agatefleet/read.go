package agatefleet

import (
	"context"
	"errors"
	"time"

	"agatereach/core/process/agatenode"
	"agatereach/core/process/agatering"
	"agatereach/entry/process/agatesource"
)

// readTickets carries out the reads of the tickets.
func (f *Fleet) readTickets(ctx context.Context) error {
	return f.reads(ctx, f.tickets, func(ctx context.Context, r agatenode.Read) result {
		batch, err := f.source.Tickets(ctx, r.After, r.Wait)
		return result{id: r.ID, batch: batch, err: err}
	})
}

// readVMs carries out the reads of the list of VMs.
func (f *Fleet) readVMs(ctx context.Context) error {
	return f.reads(ctx, f.vms, func(ctx context.Context, r agatenode.Read) result {
		list, err := f.source.VMs(ctx, r.After, r.Wait)
		return result{id: r.ID, list: list, vms: true, err: err}
	})
}

// reads carries out reads of one kind. A new one ends the one under way.
func (f *Fleet) reads(ctx context.Context, reads *agatering.Ring[agatenode.Read], read func(context.Context, agatenode.Read) result) error {
	cancel := func() {}
	defer func() { cancel() }()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case r := <-reads.Items():
			cancel()
			cancel = f.start(ctx, read, r)
		}
	}
}

// start begins one read and returns a function that ends it.
func (f *Fleet) start(ctx context.Context, read func(context.Context, agatenode.Read) result, r agatenode.Read) context.CancelFunc {
	ctx, cancel := context.WithCancel(ctx)
	go f.deliver(ctx, read, r)
	return cancel
}

// deliver makes one read and gives its outcome to the loop.
func (f *Fleet) deliver(ctx context.Context, read func(context.Context, agatenode.Read) result, r agatenode.Read) {
	outcome := read(ctx, r)
	if outcome.err != nil && ctx.Err() == nil {
		f.log.Warn("platform read failed", "err", outcome.err)
	}
	f.results.Wait(ctx.Done(), outcome)
}

// askedFor returns how long the platform asked to wait.
func askedFor(err error) time.Duration {
	if limit := (*agatesource.LimitError)(nil); errors.As(err, &limit) {
		return limit.Wait
	}
	if down := (*agatesource.DownError)(nil); errors.As(err, &down) {
		return down.Wait
	}
	return 0
}

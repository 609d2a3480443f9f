package agateentry

import (
	"context"
	"time"

	"agatereach/core/connection/agateguard"
	"agatereach/core/process/agatedispatch"
)

// handOver tells the peers of the stop, ends the taking on of work and gives
// the guard's records to one successor.
func (e *Entry) handOver(ctx context.Context) error {
	if err := e.fleet.Leaving(); err != nil {
		return err
	}
	var records []agateguard.Record
	err := e.worker.Do(ctx, func(now time.Time) []agatedispatch.Output {
		out := e.worker.Dispatcher.Stop(now)
		records = e.worker.Dispatcher.Export(now)
		return out
	})
	if err != nil {
		return err
	}
	if err := e.fleet.Leave(ctx, records); err != nil {
		return err
	}
	e.log.Info("guard records handed over", "records", len(records))
	return nil
}

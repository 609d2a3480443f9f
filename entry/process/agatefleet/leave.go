package agatefleet

import (
	"context"

	"agatereach/core/connection/agateguard"
	"agatereach/core/process/agatenode"
	"agatereach/core/process/agatetransfer"
	"agatereach/core/request/agatecodec"
)

// Handover is what another process has handed over to this one.
type Handover struct {
	// Boot is the boot id of the process that has ended.
	Boot uint64
	// Records holds its guard records.
	Records []agateguard.Record
}

// order is what the owner asks of the loop.
type order struct {
	// leave asks to hand the records over and to say so; otherwise the order
	// is to tell the peers that the process is about to stop.
	leave   bool
	records [][]byte
	// done gets the successor's boot id, 0 for none. It has room for it.
	done chan uint64
}

// Leaving tells the peers that the process is about to stop, so that they give
// it nothing new. The error is a *BusyError.
func (f *Fleet) Leaving() error {
	if !f.orders.Put(order{done: make(chan uint64, 1)}) {
		return &BusyError{}
	}
	return nil
}

// Leave hands the guard records over to a peer, tells all peers about it and
// returns when the peer has confirmed. The process must no longer act as the
// guard of the records' flows. The errors are *RecordError, *BusyError,
// *SuccessorError, *agatecodec.EncodeError and the context's.
func (f *Fleet) Leave(ctx context.Context, records []agateguard.Record) error {
	items, err := encode(records)
	if err != nil {
		return err
	}
	done := make(chan uint64, 1)
	if !f.orders.Put(order{leave: true, records: items, done: done}) {
		return &BusyError{}
	}
	select {
	case successor := <-done:
		if successor == 0 && len(records) > 0 {
			return &SuccessorError{Records: len(records)}
		}
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// encode returns the records as they travel.
func encode(records []agateguard.Record) ([][]byte, error) {
	items := make([][]byte, 0, len(records))
	for i := range records {
		item, err := agatecodec.Codec{}.Encode("guard record", &records[i])
		if err != nil {
			return nil, err
		}
		if len(item) > agatetransfer.MaxRecord {
			return nil, &RecordError{Have: len(item)}
		}
		items = append(items, item)
	}
	return items, nil
}

// takeOver gives the owner what another process has handed over. A record that
// is not valid is left out: its flow counts as unknown.
func (l *loop) takeOver(h agatenode.Handover) {
	records := make([]agateguard.Record, 0, len(h.Records))
	for _, item := range h.Records {
		var record agateguard.Record
		if err := (agatecodec.Codec{}).Decode("guard record", item, &record); err != nil {
			l.log.Warn("guard record refused", "boot", h.Boot, "err", err)
			continue
		}
		records = append(records, record)
	}
	taken := l.handovers.Put(Handover{Boot: h.Boot, Records: records})
	l.log.Info("guard records taken over", "boot", h.Boot, "records", len(records), "kept", taken)
}

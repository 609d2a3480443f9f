// Package agatelog keeps the newest tickets for entries that are a little
// behind.
package agatelog

import (
	"agatereach/core/version/agatebatch"
)

// Log is a bounded run of batches without a gap. It is for one goroutine.
type Log struct {
	// limit bounds weight, in bytes.
	limit int
	// batches follow each other without a gap, oldest first.
	batches []agatebatch.Batch
	// weights holds the weight of each batch, and weight is their sum.
	weights []int
	weight  int
}

// New returns an empty log of about up to limit bytes; the newest batch is kept
// whatever its size.
func New(limit int) *Log { return &Log{limit: limit} }

// Add appends a batch that starts where the newest one ends. A batch that
// leaves a gap empties the log first.
func (l *Log) Add(batch agatebatch.Batch) {
	if n := len(l.batches); n > 0 && l.batches[n-1].Upto != batch.After {
		l.drop(n)
	}
	weight := 0
	for i := range batch.Tickets {
		weight += batch.Tickets[i].Weight()
	}
	l.batches = append(l.batches, batch)
	l.weights = append(l.weights, weight)
	l.weight += weight
	excess := 0
	for rest := l.weight; rest > l.limit && excess < len(l.batches)-1; excess++ {
		rest -= l.weights[excess]
	}
	l.drop(excess)
}

// drop forgets the oldest batches.
func (l *Log) drop(count int) {
	for _, weight := range l.weights[:count] {
		l.weight -= weight
	}
	clear(l.batches[:count])
	l.batches = l.batches[count:]
	l.weights = l.weights[count:]
}

// After returns the tickets behind the given number, at most about limit bytes
// but at least one batch, and whether the log reaches back that far and has any.
func (l *Log) After(number uint64, limit int) (*agatebatch.Batch, bool) {
	if len(l.batches) == 0 || l.batches[0].After > number {
		return nil, false
	}
	merged := &agatebatch.Batch{After: number, Upto: number}
	weight := 0
	for i := range l.batches {
		if l.batches[i].Upto <= number {
			continue
		}
		weight += l.weights[i]
		if weight > limit && merged.Upto > number {
			break
		}
		appendBatch(merged, &l.batches[i])
	}
	merged.Head = merged.Upto
	return merged, merged.Upto > number
}

// appendBatch adds the tickets behind merged.After to merged.
func appendBatch(merged, batch *agatebatch.Batch) {
	for i := range batch.Tickets {
		if batch.Tickets[i].Number > merged.After {
			merged.Tickets = append(merged.Tickets, batch.Tickets[i])
		}
	}
	merged.Refused = append(merged.Refused, batch.Refused...)
	merged.Upto = batch.Upto
}

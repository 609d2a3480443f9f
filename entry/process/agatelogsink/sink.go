// Package agatelogsink provides an asynchronous log writer that never blocks the
// goroutines that log.
package agatelogsink

import (
	"context"
	"fmt"
	"io"
	"time"

	"agatereach/core/process/agatering"
)

const (
	// queueCapacity is the number of lines that may be queued. At about 200 bytes
	// per line they take about 200 KB.
	queueCapacity = 1 << 10
	// reportInterval is the interval at which dropped lines are reported.
	reportInterval = time.Second
)

// Sink is a writer that queues lines for a goroutine to write. Each call of Write
// must pass whole lines. It is safe for concurrent use.
type Sink struct {
	out  io.Writer
	ring *agatering.Ring[[]byte]
	// reportedDrops is the number of dropped lines reported so far.
	reportedDrops uint64
}

// New returns a sink that writes to out.
func New(out io.Writer) *Sink {
	return &Sink{out: out, ring: agatering.New[[]byte](queueCapacity)}
}

// Write queues a copy of a line. If the queue is full the line is dropped and
// counted. The error is always nil.
func (s *Sink) Write(line []byte) (int, error) {
	s.ring.Put(append([]byte(nil), line...))
	return len(line), nil
}

// Dropped returns the number of lines dropped so far.
func (s *Sink) Dropped() uint64 { return s.ring.Dropped() }

// Run writes lines until the context ends, and then those still queued.
func (s *Sink) Run(ctx context.Context) error {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			s.drain()
			return nil
		case line := <-s.ring.Items():
			s.write(line)
		case <-ticker.C:
			s.reportDrops()
		}
	}
}

// write writes a line. An error is ignored: there is nowhere to report it.
func (s *Sink) write(line []byte) { _, _ = s.out.Write(line) }

// drain writes the queued lines.
func (s *Sink) drain() {
	for {
		select {
		case line := <-s.ring.Items():
			s.write(line)
		default:
			s.reportDrops()
			return
		}
	}
}

// reportDrops writes the number of lines dropped since the last report, if any.
func (s *Sink) reportDrops() {
	dropped := s.ring.Dropped()
	if dropped == s.reportedDrops {
		return
	}
	s.write(fmt.Appendf(nil, "time=%s level=WARN msg=\"log: lines dropped\" lines=%d\n",
		time.Now().UTC().Format(time.RFC3339Nano), dropped-s.reportedDrops))
	s.reportedDrops = dropped
}

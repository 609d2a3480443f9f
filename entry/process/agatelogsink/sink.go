// Package agatelogsink takes log lines without ever blocking who writes them.
package agatelogsink

import (
	"context"
	"fmt"
	"io"
	"time"

	"agatereach/core/process/agatering"
)

const (
	// lines is the number of lines that wait; at some 200 bytes each they take
	// less than 200 KB.
	lines = 1 << 10
	// report is the time between two lines that say how many were dropped.
	report = time.Second
)

// Sink is a writer of whole lines that a goroutine writes on. It is safe for
// concurrent use.
type Sink struct {
	out  io.Writer
	ring *agatering.Ring[[]byte]
	// told is the number of dropped lines that has been said.
	told uint64
}

// New returns a sink that writes to out.
func New(out io.Writer) *Sink {
	return &Sink{out: out, ring: agatering.New[[]byte](lines)}
}

// Write takes a line. If too many wait it is dropped and counted.
func (s *Sink) Write(line []byte) (int, error) {
	s.ring.Put(append([]byte(nil), line...))
	return len(line), nil
}

// Dropped returns the number of lines that were dropped.
func (s *Sink) Dropped() uint64 { return s.ring.Dropped() }

// Run writes lines until the context ends, and then those that wait.
func (s *Sink) Run(ctx context.Context) error {
	ticker := time.NewTicker(report)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			s.rest()
			return nil
		case line := <-s.ring.Items():
			s.write(line)
		case <-ticker.C:
			s.tell()
		}
	}
}

// write writes a line. An error has nowhere to be told.
func (s *Sink) write(line []byte) { _, _ = s.out.Write(line) }

// rest writes the lines that wait.
func (s *Sink) rest() {
	for {
		select {
		case line := <-s.ring.Items():
			s.write(line)
		default:
			s.tell()
			return
		}
	}
}

// tell says how many lines were dropped since it last said so.
func (s *Sink) tell() {
	dropped := s.ring.Dropped()
	if dropped == s.told {
		return
	}
	s.write(fmt.Appendf(nil, "time=%s level=WARN msg=\"log: lines dropped\" lines=%d\n",
		time.Now().UTC().Format(time.RFC3339Nano), dropped-s.told))
	s.told = dropped
}

package agatelogsink_test

import (
	"bytes"
	"context"
	"io"
	"strings"
	"testing"
	"time"

	"agatereach/entry/process/agatelogsink"
)

// TestWriteNeverBlocks writes more lines than the queue holds while the output is
// blocked: no write blocks, and the dropped lines are counted and reported once the
// output is read.
func TestWriteNeverBlocks(t *testing.T) {
	reader, writer := io.Pipe()
	sink := agatelogsink.New(writer)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- sink.Run(ctx) }()
	const lines = 5000
	written := make(chan struct{})
	go func() {
		defer close(written)
		for range lines {
			if n, err := sink.Write([]byte("line\n")); n != 5 || err != nil {
				t.Error(n, err)
			}
		}
	}()
	select {
	case <-written:
	case <-time.After(10 * time.Second):
		t.Fatal("a write blocked")
	}
	if sink.Dropped() == 0 {
		t.Error("no line was dropped")
	}
	cancel()
	text := make(chan string)
	go func() {
		b, err := io.ReadAll(reader)
		if err != nil {
			t.Error(err)
		}
		text <- string(b)
	}()
	if err := <-ended; err != nil {
		t.Error(err)
	}
	if err := writer.Close(); err != nil {
		t.Error(err)
	}
	got := <-text
	if n := strings.Count(got, "line\n"); n+int(sink.Dropped()) != lines {
		t.Errorf("%d lines written and %d dropped, want %d in total", n, sink.Dropped(), lines)
	}
	if !strings.Contains(got, "log: lines dropped") {
		t.Error("the dropped lines were not reported")
	}
}

// TestLinesInOrder checks that lines are written in order, also those still queued
// when the context ends.
func TestLinesInOrder(t *testing.T) {
	var out bytes.Buffer
	sink := agatelogsink.New(&out)
	for _, line := range []string{"a\n", "b\n", "c\n"} {
		if _, err := sink.Write([]byte(line)); err != nil {
			t.Fatal(err)
		}
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := sink.Run(ctx); err != nil || out.String() != "a\nb\nc\n" {
		t.Errorf("wrote %q, error %v", out.String(), err)
	}
}

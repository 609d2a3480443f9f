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

// TestNeverBlocks writes to a reader that never reads: no write waits for it, and
// what is left out is counted and said once it reads.
func TestNeverBlocks(t *testing.T) {
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
		t.Fatal("a write has blocked")
	}
	if sink.Dropped() == 0 {
		t.Error("nothing was dropped")
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
		t.Errorf("%d lines written, %d dropped, of %d", n, sink.Dropped(), lines)
	}
	if !strings.Contains(got, "log: lines dropped") {
		t.Error("the dropped lines were not said")
	}
}

// TestOrder writes lines out in their order, also those that wait at the end.
func TestOrder(t *testing.T) {
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
		t.Errorf("%q, %v", out.String(), err)
	}
}

package agatesocket_test

import (
	"errors"
	"net/netip"
	"os"
	"testing"

	"agatereach/core/connection/agatesocket"
)

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

func listen(t *testing.T) *agatesocket.Socket {
	t.Helper()
	socket, cleanup, err := agatesocket.Listen(t.Context(), loopback, false)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cleanup)
	return socket
}

// TestOutbox checks that an outbox sends more datagrams than it holds, and counts
// and skips one that the kernel refuses because its destination port is 0.
func TestOutbox(t *testing.T) {
	from, to := listen(t), listen(t)
	outbox := agatesocket.NewOutbox(from, 2, 4)
	outbox.Add(to.Address(), append(outbox.Prefix(), "a-"...), []byte("one"))
	outbox.Add(netip.AddrPortFrom(to.Address().Addr(), 0), nil, []byte("lost"))
	outbox.Add(to.Address(), append(outbox.Prefix(), "b-"...), []byte("two"))
	outbox.Flush()
	if sent, failed := outbox.Take(); sent != 2 || failed != 1 {
		t.Errorf("%d sent, %d refused; want 2 and 1", sent, failed)
	}
	if sent, failed := outbox.Take(); sent != 0 || failed != 0 {
		t.Errorf("%d sent, %d refused after Take; want 0 and 0", sent, failed)
	}
	batch := agatesocket.NewBatch(1, 16)
	for _, want := range []string{"a-one", "b-two"} {
		if err := to.Receive(batch); err != nil || batch.Len() != 1 {
			t.Fatalf("%d received, error %v", batch.Len(), err)
		}
		if string(batch.Datagram(0)) != want || batch.From(0) != from.Address() {
			t.Errorf("%q from %s, want %q from %s", batch.Datagram(0), batch.From(0), want, from.Address())
		}
	}
}

// TestInterrupt checks that Interrupt ends a Receive.
func TestInterrupt(t *testing.T) {
	socket := listen(t)
	batch := agatesocket.NewBatch(1, 16)
	ended := make(chan error, 1)
	go func() { ended <- socket.Receive(batch) }()
	socket.Interrupt()
	if err := <-ended; !errors.Is(err, os.ErrDeadlineExceeded) || batch.Len() != 0 {
		t.Errorf("%d received, error %v", batch.Len(), err)
	}
}

// TestListenError checks the error for an address that is in use.
func TestListenError(t *testing.T) {
	listener := listen(t)
	_, _, err := agatesocket.Listen(t.Context(), listener.Address(), false)
	var listenErr *agatesocket.ListenError
	if !errors.As(err, &listenErr) || listenErr.Address != listener.Address() {
		t.Errorf("error %T %v", err, err)
	}
}

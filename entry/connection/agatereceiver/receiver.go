// Package agatereceiver provides the goroutine that reads datagrams from one socket.
package agatereceiver

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"os"
	"time"

	"agatereach/core/connection/agatesocket"
	"agatereach/core/request/agateheader"
	"agatereach/core/request/agateroute"
)

// BufferSize is the size in bytes of the buffer for one datagram: one more than the
// longest datagram accepted, so that a longer one can be recognized.
const BufferSize = agateheader.MaxDatagram + agateroute.Size + 1

// errorRetryDelay is the delay before a socket is read again after a transient error,
// such as a lack of system memory.
const errorRetryDelay = time.Millisecond

// Handler handles the datagrams of a batch one by one.
type Handler interface {
	// Handle handles one datagram, whose memory is valid until Flush returns.
	Handle(now time.Time, from netip.AddrPort, datagram []byte)
	// Flush is called after the last datagram of a batch.
	Flush()
}

// Receiver reads a socket and passes each datagram to a handler.
type Receiver struct {
	socket  *agatesocket.Socket
	handler Handler
	batch   *agatesocket.Batch
}

// New returns a receiver that reads up to capacity datagrams with one system call.
func New(socket *agatesocket.Socket, handler Handler, capacity int) *Receiver {
	return &Receiver{socket: socket, handler: handler, batch: agatesocket.NewBatch(capacity, BufferSize)}
}

// Run reads until the context ends or the socket is closed, and returns nil then. Any
// other error that is not transient ends it as well.
func (r *Receiver) Run(ctx context.Context) error {
	defer context.AfterFunc(ctx, r.socket.Interrupt)()
	for {
		err := r.socket.Receive(r.batch)
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil && !transient(err) {
			return err
		}
		if err != nil {
			time.Sleep(errorRetryDelay)
			continue
		}
		r.handleBatch()
	}
}

func (r *Receiver) handleBatch() {
	now := time.Now()
	for i := range r.batch.Len() {
		r.handler.Handle(now, r.batch.From(i), r.batch.Datagram(i))
	}
	r.handler.Flush()
}

// transient reports whether the socket may be read again after err, which is the case
// for errors of system calls.
func transient(err error) bool {
	var system *os.SyscallError
	return errors.As(err, &system)
}

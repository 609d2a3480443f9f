package agateentry

import (
	"context"
	"net/netip"

	"agatereach/core/connection/agatesocket"
	"agatereach/core/request/agateheader"
	"agatereach/core/request/agaterelay"
	"agatereach/core/request/agateroute"
)

// peerBatch is the number of relayed datagrams sent by one system call.
const peerBatch = 16

// lane is a callers' socket with the backend servers' socket that it sends
// from: what a server sends back leaves by the address that the caller used.
type lane struct {
	callers, servers *agatesocket.Socket
}

// sockets holds the UDP sockets of a process.
type sockets struct {
	lanes []lane
	// work is the dispatcher's own socket to backend servers.
	work *agatesocket.Socket
	// relay is where other entries' datagrams arrive.
	relay *agatesocket.Socket
}

// open opens every socket and notes how to close it. The error is a
// *agatesocket.ListenError.
func (e *Entry) open(ctx context.Context) error {
	listen := &e.settings.Listen
	shared := listen.Servers.Port() != 0
	for _, address := range listen.Callers {
		for range listen.Sockets {
			callers, err := e.listen(ctx, address, true)
			if err != nil {
				return err
			}
			servers, err := e.listen(ctx, listen.Servers, shared)
			if err != nil {
				return err
			}
			e.sockets.lanes = append(e.sockets.lanes, lane{callers: callers, servers: servers})
		}
	}
	var err error
	if e.sockets.work, err = e.listen(ctx, listen.Servers, shared); err != nil {
		return err
	}
	e.sockets.relay, err = e.listen(ctx, listen.Relay, false)
	return err
}

func (e *Entry) listen(ctx context.Context, address netip.AddrPort, shared bool) (*agatesocket.Socket, error) {
	socket, cleanup, err := agatesocket.Listen(ctx, address, shared)
	if err != nil {
		return nil, err
	}
	e.cleanups = append(e.cleanups, cleanup)
	return socket, nil
}

// serverBox returns an outbox for datagrams with a route in front.
func (e *Entry) serverBox(socket *agatesocket.Socket) *agatesocket.Outbox {
	return agatesocket.NewOutbox(socket, e.settings.Packets.Batch, agateroute.Size)
}

// callerBox returns an outbox for datagrams without a prefix.
func (e *Entry) callerBox(socket *agatesocket.Socket) *agatesocket.Outbox {
	return agatesocket.NewOutbox(socket, e.settings.Packets.Batch, 0)
}

// peerBox returns an outbox for datagrams copied behind their frame.
func (e *Entry) peerBox() *agatesocket.Outbox {
	return agatesocket.NewOutbox(e.sockets.relay, peerBatch, agaterelay.Size+agateheader.MaxDatagram)
}

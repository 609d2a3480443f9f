// Package agatesocket provides UDP sockets that receive and send batches of
// datagrams without allocating for each of them.
package agatesocket

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"syscall"
	"time"

	"golang.org/x/net/ipv4"
	"golang.org/x/net/ipv6"
	"golang.org/x/sys/unix"
)

// bufferSize is the size in bytes that is requested for the kernel's receive and
// send buffers.
const bufferSize = 4 << 20

// ListenError reports that a socket can't listen at an address.
type ListenError struct {
	// Address is the address.
	Address netip.AddrPort
	// Err is the error of the operating system.
	Err error
}

// Error names the address and the cause.
func (e *ListenError) Error() string { return fmt.Sprintf("listen at udp %s: %v", e.Address, e.Err) }

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Err }

// batchConn is implemented by the packet connections of the packages ipv4 and ipv6.
type batchConn interface {
	ReadBatch(messages []ipv4.Message, flags int) (int, error)
	WriteBatch(messages []ipv4.Message, flags int) (int, error)
}

// Socket is a UDP socket. It is safe for concurrent use.
type Socket struct {
	udp     *net.UDPConn
	batch   batchConn
	address netip.AddrPort
}

// Listen opens a socket at the address, whose port may be 0, and returns a
// function that closes it. If shared is true, several sockets may listen at the
// address, and the kernel distributes the flows among them. The error is a
// *ListenError.
func Listen(ctx context.Context, address netip.AddrPort, shared bool) (*Socket, func(), error) {
	config := net.ListenConfig{}
	if shared {
		config.Control = reusePort
	}
	packetConn, err := config.ListenPacket(ctx, "udp", address.String())
	if err != nil {
		return nil, nil, &ListenError{Address: address, Err: err}
	}
	udp := packetConn.(*net.UDPConn)
	s := &Socket{udp: udp, address: udp.LocalAddr().(*net.UDPAddr).AddrPort()}
	if address.Addr().Unmap().Is4() {
		s.batch = ipv4.NewPacketConn(udp)
	} else {
		s.batch = ipv6.NewPacketConn(udp)
	}
	// The kernel caps the sizes at its limits; smaller buffers are no error.
	_ = udp.SetReadBuffer(bufferSize)
	_ = udp.SetWriteBuffer(bufferSize)
	return s, func() { _ = udp.Close() }, nil
}

// Address returns the local address, with the actual port.
func (s *Socket) Address() netip.AddrPort { return s.address }

// Interrupt makes a blocked Receive and every later one return at once.
func (s *Socket) Interrupt() { _ = s.udp.SetReadDeadline(time.Unix(1, 0)) }

// Receive blocks until it has received at least one datagram and fills b. The error
// is that of the operating system, or os.ErrDeadlineExceeded after Interrupt.
func (s *Socket) Receive(b *Batch) error {
	n, err := s.batch.ReadBatch(b.messages, 0)
	b.count = max(n, 0)
	return err
}

// reusePort sets SO_REUSEPORT.
func reusePort(_, _ string, raw syscall.RawConn) error {
	var err error
	control := func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	}
	if controlErr := raw.Control(control); controlErr != nil {
		return controlErr
	}
	return err
}

package agatesocket

import (
	"net"
	"net/netip"

	"golang.org/x/net/ipv4"
)

// maxAddress is the length of an IPv6 address, the longest one, in bytes.
const maxAddress = 16

// Outbox collects datagrams and sends them in batches. It is not safe for
// concurrent use; several outboxes may share a socket.
type Outbox struct {
	socket *Socket
	// slots holds the memory of each queued datagram, and messages refers to it.
	slots    []slot
	messages []ipv4.Message
	// count is the number of queued datagrams.
	count int
	// sent and failed are the numbers of datagrams that the kernel accepted and
	// refused since the last Take.
	sent, failed uint64
}

// slot is the memory of one queued datagram.
type slot struct {
	buffers     [2][]byte
	prefix      []byte
	destination net.UDPAddr
	address     [maxAddress]byte
}

// NewOutbox returns an outbox for up to capacity datagrams with prefixes of up to
// size bytes.
func NewOutbox(socket *Socket, capacity, size int) *Outbox {
	o := &Outbox{socket: socket, slots: make([]slot, capacity), messages: make([]ipv4.Message, capacity)}
	for i := range o.slots {
		o.slots[i].prefix = make([]byte, 0, size)
		o.messages[i].Addr = &o.slots[i].destination
	}
	return o
}

// Prefix returns an empty slice to build the prefix of the next Add in, by
// appending.
func (o *Outbox) Prefix() []byte { return o.slots[o.count].prefix }

// Add queues a datagram that consists of the prefix, which may be nil, and the
// rest. The memory of rest must not change before the next Flush. An outbox that
// becomes full is flushed.
func (o *Outbox) Add(to netip.AddrPort, prefix, rest []byte) {
	s := &o.slots[o.count]
	s.setAddress(to)
	buffers := s.buffers[:0]
	if len(prefix) > 0 {
		buffers = append(buffers, prefix)
	}
	o.messages[o.count].Buffers = append(buffers, rest)
	o.count++
	if o.count == len(o.slots) {
		o.Flush()
	}
}

// setAddress sets the destination without allocating.
func (s *slot) setAddress(to netip.AddrPort) {
	address := to.Addr().Unmap()
	s.destination.Port = int(to.Port())
	if address.Is4() {
		ip := address.As4()
		s.destination.IP = s.address[:copy(s.address[:], ip[:])]
		return
	}
	s.address = address.As16()
	s.destination.IP = s.address[:]
}

// Flush sends the queued datagrams. A datagram that the kernel refuses is counted
// and skipped, as if the network had lost it.
func (o *Outbox) Flush() {
	pending := o.messages[:o.count]
	o.count = 0
	for len(pending) > 0 {
		n, err := o.socket.batch.WriteBatch(pending, 0)
		if n > 0 {
			o.sent += uint64(n)
			pending = pending[n:]
			continue
		}
		if err == nil {
			return
		}
		o.failed++
		pending = pending[1:]
	}
}

// Take returns the numbers of datagrams sent and refused since the last Take.
func (o *Outbox) Take() (sent, failed uint64) {
	sent, failed = o.sent, o.failed
	o.sent, o.failed = 0, 0
	return sent, failed
}

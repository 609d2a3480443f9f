package agatesocket

import (
	"net"
	"net/netip"

	"golang.org/x/net/ipv4"
)

// Batch holds the datagrams of one Receive. It is not safe for concurrent use.
type Batch struct {
	// messages holds a buffer for each datagram.
	messages []ipv4.Message
	// count is the number of datagrams received.
	count int
}

// NewBatch returns a batch of up to capacity datagrams of up to size bytes each.
// Longer datagrams are truncated.
func NewBatch(capacity, size int) *Batch {
	b := &Batch{messages: make([]ipv4.Message, capacity)}
	memory := make([]byte, capacity*size)
	for i := range b.messages {
		b.messages[i].Buffers = [][]byte{memory[i*size : (i+1)*size]}
	}
	return b
}

// Len returns the number of datagrams received.
func (b *Batch) Len() int { return b.count }

// Datagram returns datagram i. It is valid until the next Receive.
func (b *Batch) Datagram(i int) []byte { return b.messages[i].Buffers[0][:b.messages[i].N] }

// From returns the sender of datagram i, or the zero value if it is not known.
func (b *Batch) From(i int) netip.AddrPort {
	udp, ok := b.messages[i].Addr.(*net.UDPAddr)
	if !ok {
		return netip.AddrPort{}
	}
	from := udp.AddrPort()
	return netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
}

package main

import (
	"encoding/binary"
	"hash/crc32"
)

// Bits of the flags field, and the size of a packet's head in bytes.
const (
	bitRST   = 1
	bitFIN   = 8
	bitACK   = 16
	bitSYN   = 32
	headSize = 36
)

// sumKey is the key of the sum, which only the ends of a flow know.
const sumKey = "ends of a flow"

// flowID names a flow as its client's packets do. Addresses are numbers, as in the head.
type flowID struct {
	client, vip         uint32
	clientPort, vipPort uint16
}

// packet is a packet of either end.
type packet struct {
	seq, ack, echo uint32
	src, dst       uint32
	sport, dport   uint16
	flags          byte
	data           []byte
	// sum is what the packet carries, and valid whether it is the right one.
	sum   uint32
	valid bool
}

func (p *packet) has(bits byte) bool { return p.flags&bits != 0 }

// encode returns the packet with its sum.
func (p *packet) encode() []byte {
	b := make([]byte, headSize, headSize+len(p.data))
	le := binary.LittleEndian
	le.PutUint32(b[0:], p.seq)
	le.PutUint32(b[4:], p.ack)
	le.PutUint16(b[8:], uint16(len(p.data)))
	le.PutUint32(b[10:], p.echo)
	le.PutUint32(b[14:], p.src)
	le.PutUint16(b[18:], p.sport)
	le.PutUint16(b[20:], p.dport)
	le.PutUint32(b[22:], p.dst)
	b[26] = p.flags
	b = append(b, p.data...)
	le.PutUint32(b[32:], sumOf(b))
	return b
}

// sumOf covers all fields but echo, pad and the sum.
func sumOf(b []byte) uint32 {
	h := crc32.NewIEEE()
	for _, part := range [][]byte{[]byte(sumKey), b[:10], b[14:27], b[headSize:]} {
		_, _ = h.Write(part)
	}
	return max(h.Sum32(), 1)
}

// decode returns the packet in a datagram, and whether it has a head and the length that it says.
func decode(b []byte) (packet, bool) {
	if len(b) < headSize {
		return packet{}, false
	}
	le := binary.LittleEndian
	p := packet{
		seq: le.Uint32(b[0:]), ack: le.Uint32(b[4:]), echo: le.Uint32(b[10:]),
		src: le.Uint32(b[14:]), sport: le.Uint16(b[18:]), dport: le.Uint16(b[20:]), dst: le.Uint32(b[22:]),
		flags: b[26], sum: le.Uint32(b[32:]), data: append([]byte(nil), b[headSize:]...),
	}
	p.valid = p.sum == sumOf(b)
	return p, len(b) == headSize+int(le.Uint16(b[8:]))
}

// flow returns the flow of a packet of the client.
func (p *packet) flow() flowID { return flowID{p.src, p.dst, p.sport, p.dport} }

// fromServer returns a packet of the flow's server.
func (f flowID) fromServer(flags byte, seq, ack, echo uint32, data []byte) packet {
	return packet{seq: seq, ack: ack, echo: echo, src: f.vip, sport: f.vipPort, dst: f.client, dport: f.clientPort, flags: flags, data: data}
}

// fromClient returns a packet of the flow's client.
func (f flowID) fromClient(flags byte, seq, ack, echo uint32, data []byte) packet {
	return packet{seq: seq, ack: ack, echo: echo, src: f.client, sport: f.clientPort, dst: f.vip, dport: f.vipPort, flags: flags, data: data}
}

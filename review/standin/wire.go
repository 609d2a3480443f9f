package main

import (
	"encoding/binary"
	"hash/crc32"
	"net/netip"
)

// Sizes of the packet header and of the server id in front of a packet, in bytes.
const (
	headerSize = 36
	prefixSize = 8
	maxPacket  = 2048
)

// Bits of the flags field.
const (
	flagRST = 1
	flagFIN = 8
	flagACK = 16
	flagSYN = 32
)

// sumKey is the key of the checksum, which only the two ends of a flow know.
const sumKey = 0x5bd1e995

// endpoint is an IPv4 address and a port.
type endpoint struct {
	addr [4]byte
	port uint16
}

func (e endpoint) String() string {
	return netip.AddrPortFrom(netip.AddrFrom4(e.addr), e.port).String()
}

// packet is a decoded packet.
type packet struct {
	seq, ack uint32
	echo     uint32
	src, dst endpoint
	flags    byte
	sum      uint32
	data     []byte
}

// encode returns the packet with a valid checksum.
func (p *packet) encode() []byte {
	b := make([]byte, headerSize, headerSize+len(p.data))
	o := binary.LittleEndian
	o.PutUint32(b[0:], p.seq)
	o.PutUint32(b[4:], p.ack)
	o.PutUint16(b[8:], uint16(len(p.data)))
	o.PutUint32(b[10:], p.echo)
	putAddr(b[14:], p.src.addr)
	o.PutUint16(b[18:], p.src.port)
	o.PutUint16(b[20:], p.dst.port)
	putAddr(b[22:], p.dst.addr)
	b[26] = p.flags
	b = append(b, p.data...)
	o.PutUint32(b[32:], checksum(b))
	return b
}

// decode decodes a packet. It returns false if the length is wrong.
func decode(b []byte) (packet, bool) {
	if len(b) < headerSize {
		return packet{}, false
	}
	o := binary.LittleEndian
	p := packet{
		seq: o.Uint32(b[0:]), ack: o.Uint32(b[4:]), echo: o.Uint32(b[10:]),
		src:   endpoint{addr: getAddr(b[14:]), port: o.Uint16(b[18:])},
		dst:   endpoint{addr: getAddr(b[22:]), port: o.Uint16(b[20:])},
		flags: b[26], sum: o.Uint32(b[32:]),
		data: append([]byte(nil), b[headerSize:]...),
	}
	return p, int(o.Uint16(b[8:])) == len(p.data)
}

// checksum is a keyed sum over all fields except echo, pad and the sum. It is never 0.
func checksum(b []byte) uint32 {
	var key [4]byte
	binary.LittleEndian.PutUint32(key[:], sumKey)
	sum := crc32.ChecksumIEEE(key[:])
	sum = crc32.Update(sum, crc32.IEEETable, b[:10])
	sum = crc32.Update(sum, crc32.IEEETable, b[14:27])
	return max(crc32.Update(sum, crc32.IEEETable, b[headerSize:]), 1)
}

// sumValid reports whether the checksum of an encoded packet is right.
func sumValid(b []byte) bool {
	return len(b) >= headerSize && binary.LittleEndian.Uint32(b[32:]) == checksum(b)
}

func putAddr(b []byte, a [4]byte) { b[0], b[1], b[2], b[3] = a[3], a[2], a[1], a[0] }

func getAddr(b []byte) [4]byte { return [4]byte{b[3], b[2], b[1], b[0]} }

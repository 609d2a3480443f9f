package main

import (
	"encoding/binary"
	"hash/crc32"
)

// Flags of a packet, as PROTOCOL.md says.
const (
	flagRST = 1
	flagFIN = 8
	flagACK = 16
	flagSYN = 32
)

const (
	headSize = 36
	maxData  = 1200
)

// packet is a packet of a flow.
type packet struct {
	seq, ack, echo uint32
	src, dst       [4]byte
	sport, dport   uint16
	flags          byte
	sum            uint32
	data           []byte
}

func (p *packet) has(flags byte) bool { return p.flags&flags != 0 }

func little(a [4]byte) uint32 { return binary.BigEndian.Uint32(a[:]) }

// encode returns the packet's bytes, with a sum over all but echo and pad.
func (p *packet) encode() []byte {
	b := make([]byte, headSize, headSize+len(p.data))
	order := binary.LittleEndian
	order.PutUint32(b[0:], p.seq)
	order.PutUint32(b[4:], p.ack)
	order.PutUint16(b[8:], uint16(len(p.data)))
	order.PutUint32(b[10:], p.echo)
	order.PutUint32(b[14:], little(p.src))
	order.PutUint16(b[18:], p.sport)
	order.PutUint16(b[20:], p.dport)
	order.PutUint32(b[22:], little(p.dst))
	b[26] = p.flags
	b = append(b, p.data...)
	order.PutUint32(b[32:], sumOf(b))
	return b
}

// sumOf is the sum that both ends write; never 0.
func sumOf(b []byte) uint32 {
	crc := crc32.ChecksumIEEE(b[:10])
	crc = crc32.Update(crc, crc32.IEEETable, b[14:27])
	return max(crc32.Update(crc, crc32.IEEETable, b[headSize:]), 1)
}

// decode reads a packet. It reports false if it contradicts itself.
func decode(b []byte) (packet, bool) {
	if len(b) < headSize {
		return packet{}, false
	}
	order := binary.LittleEndian
	p := packet{
		seq: order.Uint32(b[0:]), ack: order.Uint32(b[4:]), echo: order.Uint32(b[10:]),
		sport: order.Uint16(b[18:]), dport: order.Uint16(b[20:]), flags: b[26], sum: order.Uint32(b[32:]),
	}
	binary.BigEndian.PutUint32(p.src[:], order.Uint32(b[14:]))
	binary.BigEndian.PutUint32(p.dst[:], order.Uint32(b[22:]))
	if len(b) != headSize+int(order.Uint16(b[8:])) {
		return packet{}, false
	}
	p.data = append([]byte(nil), b[headSize:]...)
	return p, true
}

// genuine reports whether the sum is that of one of the two ends.
func genuine(b []byte) bool { return binary.LittleEndian.Uint32(b[32:]) == sumOf(b) }

// after reports whether a is later than b on the circle of sequence numbers.
func after(a, b uint32) bool { return int32(a-b) > 0 }

// Package agatetuple defines the addresses and ports that identify a flow.
package agatetuple

import (
	"encoding/binary"
	"log/slog"
	"net/netip"
)

// Tuple identifies a flow over IPv4 by the addresses and ports of both ends. It
// is comparable and contains no pointers, so that the garbage collector doesn't
// scan large maps of flows.
type Tuple struct {
	// Source and Target are the IPv4 addresses of the caller and of the
	// service, in network byte order.
	Source, Target [4]byte
	// SourcePort and TargetPort are the ports of the caller and of the service.
	SourcePort, TargetPort uint16
}

// Caller returns the address and port of the caller.
func (t Tuple) Caller() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(t.Source), t.SourcePort)
}

// Service returns the address and port of the service.
func (t Tuple) Service() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(t.Target), t.TargetPort)
}

// Reverse returns the tuple of the packets in the opposite direction.
func (t Tuple) Reverse() Tuple {
	return Tuple{Source: t.Target, Target: t.Source, SourcePort: t.TargetPort, TargetPort: t.SourcePort}
}

// Hash returns a hash of the tuple that is the same in every process.
func (t Tuple) Hash() uint64 {
	hash := uint64(binary.BigEndian.Uint32(t.Source[:]))<<32 | uint64(binary.BigEndian.Uint32(t.Target[:]))
	hash ^= (uint64(t.SourcePort)<<16 | uint64(t.TargetPort)) * 0x9e3779b97f4a7c15
	hash ^= hash >> 30
	hash *= 0xbf58476d1ce4e5b9
	hash ^= hash >> 27
	hash *= 0x94d049bb133111eb
	return hash ^ hash>>31
}

// LogValue returns the addresses and ports of both ends, as caller>service.
func (t Tuple) LogValue() slog.Value {
	return slog.StringValue(t.Caller().String() + ">" + t.Service().String())
}

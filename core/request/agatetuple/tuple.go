// Package agatetuple defines the addresses and ports that identify a flow.
package agatetuple

import (
	"encoding/binary"
	"log/slog"
	"net/netip"
)

// Tuple identifies a flow by the addresses and ports of its two ends, over
// IPv4. It is comparable and holds no pointer, so that a large map of flows
// costs the garbage collector nothing.
type Tuple struct {
	// Source and Target are the IPv4 addresses of the caller and of the
	// service, in network byte order.
	Source, Target [4]byte
	// SourcePort and TargetPort are the ports of the same ends.
	SourcePort, TargetPort uint16
}

// Caller returns the caller's end.
func (t Tuple) Caller() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(t.Source), t.SourcePort)
}

// Service returns the service's end.
func (t Tuple) Service() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(t.Target), t.TargetPort)
}

// Reverse returns the flow as its other end names it.
func (t Tuple) Reverse() Tuple {
	return Tuple{Source: t.Target, Target: t.Source, SourcePort: t.TargetPort, TargetPort: t.SourcePort}
}

// Hash returns a number that is the same for the flow in every process.
func (t Tuple) Hash() uint64 {
	hash := uint64(binary.BigEndian.Uint32(t.Source[:]))<<32 | uint64(binary.BigEndian.Uint32(t.Target[:]))
	hash ^= (uint64(t.SourcePort)<<16 | uint64(t.TargetPort)) * 0x9e3779b97f4a7c15
	hash ^= hash >> 30
	hash *= 0xbf58476d1ce4e5b9
	hash ^= hash >> 27
	hash *= 0x94d049bb133111eb
	return hash ^ hash>>31
}

// LogValue names both ends.
func (t Tuple) LogValue() slog.Value {
	return slog.StringValue(t.Caller().String() + ">" + t.Service().String())
}

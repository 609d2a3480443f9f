// Package agateground gives each part of a run an address of its own on
// loopback, so that runs beside each other do not meet.
package agateground

import (
	"fmt"
	"net"
	"net/netip"
)

// Blocks of addresses 127.N.0.0/16 that are tried.
const (
	firstBlock = 64
	lastBlock  = 250
	// lockPort is bound for as long as a block is in use.
	lockPort = 7999
)

// Ports, the same on every address.
const (
	PacketPort  = 8172
	ReadyPort   = 8167
	LinkPort    = 7720
	InspectPort = 9108
	StorePort   = 8169
)

// Kind says what an address belongs to; it is the third byte.
type Kind byte

// The kinds of addresses.
const (
	// Entry is an entry's own, and Relay the one by which others know it.
	Entry Kind = 1
	Relay Kind = 2
	// Server is a backend server's.
	Server Kind = 3
	// Valve is the one by which an entry knows the store, and Store the store's.
	Valve Kind = 4
	Store Kind = 5
	// Caller is a caller's.
	Caller Kind = 6
)

// FullError reports that no block is free.
type FullError struct{}

// Error says so.
func (*FullError) Error() string { return "no block of loopback addresses is free" }

// Ground is a block of addresses.
type Ground struct {
	block   byte
	centres int
}

// New takes a free block for parts in a number of data centres. The returned
// function frees it. The error is a *FullError.
func New(centres int) (*Ground, func(), error) {
	for block := firstBlock; block <= lastBlock; block++ {
		g := &Ground{block: byte(block), centres: centres}
		lock, err := net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(netip.AddrPortFrom(g.Address(0, 1), lockPort)))
		if err == nil {
			return g, func() { _ = lock.Close() }, nil
		}
	}
	return nil, nil, &FullError{}
}

// Address returns the address of a part.
func (g *Ground) Address(kind Kind, place int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, g.block, byte(kind), byte(place)})
}

// At returns the address of a part with a port.
func (g *Ground) At(kind Kind, place int, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(g.Address(kind, place), port)
}

// Place returns the place of the part at an address.
func Place(address netip.Addr) int { return int(address.As4()[3]) }

// KindOf returns what an address belongs to.
func KindOf(address netip.Addr) Kind { return Kind(address.As4()[2]) }

// Centre names the data centre of the part at a place.
func (g *Ground) Centre(place int) string { return fmt.Sprintf("centre-%d", place%g.centres) }

// VM names the entry at a place.
func VM(place int) string { return fmt.Sprintf("vm-%d", place) }

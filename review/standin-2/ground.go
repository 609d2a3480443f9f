package main

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"time"
)

// Kinds of addresses, the third octet.
const (
	entryKind  = 1
	serverKind = 2
	clientKind = 3
	storeKind  = 4
	vipKind    = 5
	lockKind   = 6
)

// ground deals out loopback addresses and ports that are free.
type ground struct {
	net                                  byte
	data, ready, control, links, service uint16
	store                                uint16
	// lock is held so that another run takes another part of the range.
	lock net.Listener
}

// newGround finds a part of the loopback range and ports at which nothing listens.
func newGround() (*ground, error) {
	for range 50 {
		g := &ground{net: byte(20 + rand.IntN(200))}
		base := uint16(20000 + rand.IntN(10000))
		g.data, g.ready, g.control, g.links, g.service, g.store = base, base+1, base+2, base+10, base+3, base+4
		var err error
		if g.lock, err = net.Listen("tcp4", g.at(lockKind, 1, metricsPort).String()); err != nil {
			continue
		}
		if g.free() {
			return g, nil
		}
		_ = g.lock.Close()
	}
	return nil, fmt.Errorf("no free loopback addresses")
}

func (g *ground) free() bool {
	for _, probe := range []netip.AddrPort{g.at(entryKind, 1, g.ready), g.at(entryKind, 1, metricsPort), g.at(serverKind, 1, g.service), g.at(storeKind, 1, g.store)} {
		l, err := net.Listen("tcp4", probe.String())
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	for _, probe := range []netip.AddrPort{g.at(entryKind, 1, g.data), g.at(entryKind, 1, g.links), g.at(clientKind, 1, g.data)} {
		l, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(probe))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

// metricsPort is the port of the deploy file's template.
const metricsPort = 9108

// at returns an address. Places count from 1.
func (g *ground) at(kind byte, place int, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, g.net, kind, byte(9 + place)}), port)
}

// place returns the place of an address.
func place(a netip.Addr) int { return int(a.Unmap().As4()[3]) - 9 }

// number returns an address as the number in a packet's head.
func number(a netip.Addr) uint32 {
	b := a.As4()
	return binary.BigEndian.Uint32(b[:])
}

// address returns the address of such a number.
func address(n uint32) netip.Addr {
	var b [4]byte
	binary.BigEndian.PutUint32(b[:], n)
	return netip.AddrFrom4(b)
}

// started is when the program began; all times count from it.
var started = time.Now()

func now() time.Duration { return time.Since(started) }

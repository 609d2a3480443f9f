package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

// ground hands out loopback addresses and free ports, and keeps the record.
type ground struct {
	base  byte
	start time.Time
	// Ports, the same on all machines.
	data, ready, links, inspect, store, server uint16

	mu   sync.Mutex
	line []string
}

// newGround picks a part of the loopback network and ports that are free there.
func newGround() (*ground, error) {
	g := &ground{base: byte(64 + rand.IntN(60)), start: time.Now()}
	for _, port := range []*uint16{&g.data, &g.ready, &g.links, &g.inspect, &g.store, &g.server} {
		free, err := freePort(g.at(1, 1))
		if err != nil {
			return nil, err
		}
		*port = free
	}
	return g, nil
}

// freePort returns a port at which neither TCP nor UDP is in use.
func freePort(addr netip.Addr) (uint16, error) {
	for range 100 {
		tcp, err := net.Listen("tcp4", netip.AddrPortFrom(addr, 0).String())
		if err != nil {
			return 0, err
		}
		port := uint16(tcp.Addr().(*net.TCPAddr).Port)
		udp, err := net.ListenPacket("udp4", netip.AddrPortFrom(addr, port).String())
		_ = tcp.Close()
		if err != nil {
			continue
		}
		_ = udp.Close()
		return port, nil
	}
	return 0, fmt.Errorf("no free port at %s", addr)
}

// at returns an address of the part of the loopback network.
func (g *ground) at(kind, place byte) netip.Addr {
	return netip.AddrFrom4([4]byte{127, g.base, kind, place})
}

// Kinds of addresses.
const (
	kindStore  = 1
	kindEntry  = 10
	kindServer = 20
	kindClient = 30
	kindVIP    = 200
)

// since returns the time since the start of the case.
func (g *ground) since() time.Duration { return time.Since(g.start) }

// note adds a line to the record.
func (g *ground) note(format string, args ...any) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.line = append(g.line, fmt.Sprintf("%8.3f  %s", g.since().Seconds(), fmt.Sprintf(format, args...)))
}

// notes returns a copy of the record.
func (g *ground) notes() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]string(nil), g.line...)
}

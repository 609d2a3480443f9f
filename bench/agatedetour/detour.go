// Package agatedetour carries the datagrams between entries past faults: each
// entry is known to the others by an address of the detour.
package agatedetour

import (
	"net"
	"net/netip"

	"agatereach/bench/agateground"
	"agatereach/bench/agatepartition"
	"agatereach/bench/agatepath"
)

// maxDatagram is the size of the longest datagram that is carried, in bytes.
const maxDatagram = 16 << 10

// Detour is the relay of a run's entries.
type Detour struct {
	ground    *agateground.Ground
	partition *agatepartition.Partition
	// sockets and paths are by the place of the entry that they lead to.
	sockets map[int]*net.UDPConn
	paths   map[int]*agatepath.Path
}

// New starts the relays of the entries at the places 1 to count. The returned
// function ends them.
func New(ground *agateground.Ground, partition *agatepartition.Partition, count int, seed uint64) (*Detour, func(), error) {
	d := &Detour{ground: ground, partition: partition, sockets: make(map[int]*net.UDPConn), paths: make(map[int]*agatepath.Path)}
	for place := 1; place <= count; place++ {
		socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(ground.At(agateground.Relay, place, agateground.LinkPort)))
		if err != nil {
			d.close()
			return nil, nil, err
		}
		d.sockets[place] = socket
		d.paths[place] = agatepath.New(seed, uint64(place))
	}
	for place := range d.sockets {
		go d.carry(place)
	}
	return d, d.close, nil
}

// Path returns the path of the datagrams to the entry at a place.
func (d *Detour) Path(place int) *agatepath.Path { return d.paths[place] }

// carry passes the datagrams for an entry on until its socket is closed.
func (d *Detour) carry(place int) {
	buffer := make([]byte, maxDatagram)
	target := d.ground.At(agateground.Entry, place, agateground.LinkPort)
	for {
		size, from, err := d.sockets[place].ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		sender := from.Addr().Unmap()
		if agateground.Place(sender) == place || d.partition.Cut(sender, target.Addr()) {
			continue
		}
		d.paths[place].Pass(buffer[:size], func(datagram []byte) { d.send(sender, target, datagram) })
	}
}

// send sends a datagram as from the address by which its sender is known. One
// that cannot be sent is lost, as in a network.
func (d *Detour) send(sender netip.Addr, target netip.AddrPort, datagram []byte) {
	if socket, ok := d.sockets[agateground.Place(sender)]; ok {
		_, _ = socket.WriteToUDPAddrPort(datagram, target)
	}
}

func (d *Detour) close() {
	for _, socket := range d.sockets {
		_ = socket.Close()
	}
}

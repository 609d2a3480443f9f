package agatedispatch

import (
	"net/netip"

	"agatereach/core/request/agateheader"
	"agatereach/core/request/agaterelay"
	"agatereach/core/request/agateroute"
)

// Source is the kind of process that sends or receives a datagram.
type Source string

// The kinds of processes.
const (
	// Caller is a program that uses a service.
	Caller Source = "caller"
	// Server is a backend server.
	Server Source = "server"
	// Peer is another entry process.
	Peer Source = "peer"
)

// Input is a received datagram.
type Input struct {
	// Source is the kind of process that sent it.
	Source Source
	// Caller is the address that answers go to; taken from Frame if Source
	// is Peer.
	Caller netip.AddrPort
	// Listen is the local address at which a caller's datagram arrived.
	Listen netip.AddrPort
	// Centre is the number of the data centre at which the caller's
	// datagram arrived, 0 for this process's own; taken from Frame if
	// Source is Peer.
	Centre uint16
	// Route is set if Source is Server.
	Route agateroute.Route
	// Frame is set if Source is Peer.
	Frame agaterelay.Frame
	// Header is the decoded header of Datagram.
	Header agateheader.Header
	// Datagram is the header and body, without route or frame.
	Datagram []byte
	// Body is the part of Datagram after the header.
	Body []byte
}

// setOrigin sets the caller and data centre that the datagram came from.
func (in *Input) setOrigin(centre uint16) {
	if in.Source == Peer {
		in.Caller = in.Frame.Caller
		in.Centre = in.Frame.Centre
	}
	if in.Centre == 0 {
		in.Centre = centre
	}
}

// Output is a datagram to send.
type Output struct {
	// To is the kind of process that receives it.
	To Source
	// Address is its destination.
	Address netip.AddrPort
	// Route precedes the datagram if To is Server.
	Route agateroute.Route
	// Frame precedes the datagram if To is Peer.
	Frame agaterelay.Frame
	// Datagram is the header and body.
	Datagram []byte
}

// Package agateaddress defines the IPv4 address and port of a backend server.
package agateaddress

import (
	"encoding/binary"
	"fmt"
	"net/netip"
)

// Address is an IPv4 address and a port. It is comparable and, unlike netip.AddrPort,
// contains no pointer and takes 6 bytes, so that it can be part of the keys of large maps.
type Address struct {
	// IP is in network byte order.
	IP   [4]byte
	Port uint16
}

// size is the size of an encoded address in bytes.
const size = 6

// FormatError reports an address that isn't an IPv4 address with a port.
type FormatError struct {
	// Value is the address as given.
	Value string
}

// Error returns a message with the address.
func (e *FormatError) Error() string {
	return fmt.Sprintf("address %q is not an IPv4 address with a port", e.Value)
}

// From converts an address. The error is a *FormatError if it isn't an IPv4 address.
func From(address netip.AddrPort) (Address, error) {
	if !address.Addr().Is4() {
		return Address{}, &FormatError{Value: address.String()}
	}
	return Address{IP: address.Addr().As4(), Port: address.Port()}, nil
}

// Parse parses an address in the form ip:port. The error is a *FormatError.
func Parse(text string) (Address, error) {
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		return Address{}, &FormatError{Value: text}
	}
	return From(address)
}

// AddrPort converts the address.
func (a Address) AddrPort() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(a.IP), a.Port)
}

// String returns the address in the form ip:port.
func (a Address) String() string { return a.AddrPort().String() }

// MarshalBinary encodes the address as netip.AddrPort does.
func (a Address) MarshalBinary() ([]byte, error) {
	return binary.LittleEndian.AppendUint16(a.IP[:], a.Port), nil
}

// UnmarshalBinary decodes an address. The error is a *FormatError if the data has another
// size than that of an IPv4 address and a port.
func (a *Address) UnmarshalBinary(data []byte) error {
	if len(data) != size {
		return &FormatError{Value: fmt.Sprintf("%x", data)}
	}
	a.IP = [4]byte(data)
	a.Port = binary.LittleEndian.Uint16(data[len(a.IP):])
	return nil
}

package agateforward

import (
	"errors"
	"fmt"
	"net/netip"

	"agatereach/core/request/agateadmit"
	"agatereach/core/request/agatekind"
	"agatereach/core/request/agatereason"
)

// KindError reports a datagram of a kind that its sender may not send, or that
// its flow does not carry.
type KindError struct {
	// Kind is the datagram's kind.
	Kind agatekind.Kind
}

// Error names the kind.
func (e *KindError) Error() string { return "datagram of kind " + string(e.Kind) + " is out of place" }

// AddressError reports a datagram that entered at the address of another
// service than it names.
type AddressError struct {
	// Listen is the address at which the datagram entered.
	Listen netip.AddrPort
	// Service is the number of the service that the datagram names.
	Service uint32
	// Owner is the number of the service that owns the address.
	Owner uint32
}

// Error names the address and both services.
func (e *AddressError) Error() string {
	return fmt.Sprintf("address %s belongs to service %d, not %d", e.Listen, e.Owner, e.Service)
}

// GoneError reports a flow whose backend server has left or was started anew.
type GoneError struct {
	// Server is the server's number.
	Server uint32
	// Incarnation is the incarnation that the flow's token names.
	Incarnation uint64
}

// Error names the server and incarnation.
func (e *GoneError) Error() string {
	return fmt.Sprintf("backend server %d of incarnation %d has left", e.Server, e.Incarnation)
}

// TagError reports a route that this process did not make.
type TagError struct {
	// Server is the number of the server that the route names.
	Server uint32
}

// Error names the server.
func (e *TagError) Error() string {
	return fmt.Sprintf("route of backend server %d has a wrong tag", e.Server)
}

// Reason returns the reason that a caller is given for an error of this
// package or of agateadmit.
func Reason(err error) agatereason.Reason {
	var address *AddressError
	var gone *GoneError
	switch {
	case errors.As(err, &address):
		return agatereason.Service
	case errors.As(err, &gone):
		return agatereason.Gone
	}
	return agateadmit.Reason(err)
}

// Package agateforward decides where the datagrams of established feeds go:
// the packet path that keeps no state and allocates nothing.
package agateforward

import (
	"errors"
	"net/netip"
	"time"

	"agatereach/core/request/agateadmit"
	"agatereach/core/request/agateheader"
	"agatereach/core/request/agatekind"
	"agatereach/core/request/agateroute"
	"agatereach/core/version/agatekeyring"
	"agatereach/core/version/agateview"
)

// Action says what is to be done with a datagram.
type Action string

// The actions.
const (
	// Serve sends the datagram to a backend server.
	Serve Action = "serve"
	// Relay hands the datagram to an entry of another data centre.
	Relay Action = "relay"
	// Guard hands the datagram to the entry that issued its token, since the
	// view here is older than the token.
	Guard Action = "guard"
	// Reply answers a ping of a flow that has no backend server.
	Reply Action = "reply"
)

// Origin says where a caller's datagram entered.
type Origin struct {
	// Caller is the sender's address.
	Caller netip.AddrPort
	// Listen is the address at which the datagram entered; not valid for a
	// datagram that another entry has handed on.
	Listen netip.AddrPort
	// Centre is the number of the data centre at which it entered.
	Centre uint16
}

// Forward is the decision about one datagram. It may be used again for the next.
type Forward struct {
	// Action says what is to be done.
	Action Action
	// Address is where the backend server takes the datagram; for Serve.
	Address netip.AddrPort
	// Route is the prefix for the backend server, tagged; for Serve.
	Route agateroute.Route
	// Admission holds the flow's token.
	Admission agateadmit.Admission
}

// Decide decides at the time now about a datagram of kind data or ping whose
// header is h. Routes are tagged with key. The errors are those of
// agateadmit.Admission.Check, *KindError, *AddressError and *GoneError.
func (f *Forward) Decide(view *agateview.View, h *agateheader.Header, from *Origin, key *agatekeyring.Key, now time.Time) error {
	if h.Kind != agatekind.Data && h.Kind != agatekind.Ping {
		return &KindError{Kind: h.Kind}
	}
	if err := CheckAddress(view, h.Service, from.Listen); err != nil {
		return err
	}
	token := &f.Admission.Token
	if err := f.Admission.Check(view, h, from.Caller.Addr(), from.Centre, now); err != nil {
		var denied *agateadmit.DeniedError
		if errors.As(err, &denied) && view.State().Upto() < token.Ticket {
			f.Action = Guard
			return nil
		}
		return err
	}
	if token.Centre != view.State().Centre() {
		f.Action = Relay
		return nil
	}
	if token.Server == 0 {
		return f.reply(h.Kind)
	}
	return f.serve(view, from, key)
}

// reply answers a ping of a flow that carries requests only.
func (f *Forward) reply(kind agatekind.Kind) error {
	if kind != agatekind.Ping {
		return &KindError{Kind: kind}
	}
	f.Action = Reply
	return nil
}

// serve finds the flow's backend server.
func (f *Forward) serve(view *agateview.View, from *Origin, key *agatekeyring.Key) error {
	token := &f.Admission.Token
	server := view.Server(token.Server)
	if server == nil || server.Incarnation != token.Incarnation || server.Service != token.Service {
		if view.State().Upto() < token.Ticket {
			f.Action = Guard
			return nil
		}
		return &GoneError{Server: token.Server, Incarnation: token.Incarnation}
	}
	f.Action = Serve
	f.Address = server.Address
	f.Route = agateroute.Route{
		Caller:      from.Caller,
		Service:     token.Service,
		Server:      token.Server,
		Incarnation: token.Incarnation,
		Customer:    token.Customer,
		Centre:      from.Centre,
	}
	f.Route.Tag = f.Route.Sum(key)
	return nil
}

// CheckAddress returns an *AddressError if the address at which a datagram
// entered belongs to another service than the datagram names.
func CheckAddress(view *agateview.View, service uint32, listen netip.AddrPort) error {
	owner := view.Owner(listen)
	if owner == 0 || owner == service {
		return nil
	}
	return &AddressError{Listen: listen, Service: service, Owner: owner}
}

// CheckReturn decides whether a backend server's datagram may go to the caller
// that its route names: the route must carry the tag of key, and the rules must
// not cut the flow. The errors are *TagError and *agateadmit.DeniedError.
func CheckReturn(view *agateview.View, r *agateroute.Route, key *agatekeyring.Key) error {
	if r.Sum(key) != r.Tag {
		return &TagError{Server: r.Server}
	}
	if view.Access(r.Service, r.Caller.Addr(), r.Customer, r.Centre).Cut {
		return &agateadmit.DeniedError{Service: r.Service}
	}
	return nil
}

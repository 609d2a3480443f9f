// Package agateupward handles the datagrams of callers on their way to backend
// servers, straight from the caller or handed on by another entry.
package agateupward

import (
	"errors"
	"net/netip"
	"time"

	"agatereach/core/connection/agatesocket"
	"agatereach/core/process/agatedispatch"
	"agatereach/core/process/agatepeers"
	"agatereach/core/request/agateadmit"
	"agatereach/core/request/agatefault"
	"agatereach/core/request/agateforward"
	"agatereach/core/request/agateheader"
	"agatereach/core/request/agatekind"
	"agatereach/core/request/agaterelay"
	"agatereach/core/version/agatekeyring"
	"agatereach/core/version/agateview"
	"agatereach/entry/process/agatemetric"
	"agatereach/entry/process/agatequeue"
	"agatereach/entry/request/agaterefuse"
)

// World is what is known of the tickets and the other entries.
type World interface {
	// View returns the newest view, never nil.
	View() *agateview.View
	// Peers returns the newest set of entries, never nil.
	Peers() *agatepeers.Peers
}

// Parts is what an Upward works with; every field is set.
type Parts struct {
	// World is asked once for each datagram.
	World World
	// Self is this process.
	Self agatepeers.Peer
	// Key tags routes; the same in the whole process and known to no other.
	Key *agatekeyring.Key
	// Queue leads to the dispatcher.
	Queue *agatequeue.Queue
	// Refuser tells callers why they are not served.
	Refuser *agaterefuse.Refuser
	// Metrics counts.
	Metrics *agatemetric.Metrics
	// Servers, Callers and Peers send.
	Servers, Callers, Peers *agatesocket.Outbox
}

// Upward handles the datagrams of one socket. It is used by one goroutine.
type Upward struct {
	Parts
	// listen is the address of the callers' socket; not valid for that of
	// the other entries.
	listen netip.AddrPort
	// toServers, toCallers and toPeers count.
	toServers, toCallers, toPeers *agatemetric.Path
	// The rest is memory that every datagram uses anew.
	header  agateheader.Header
	frame   agaterelay.Frame
	origin  agateforward.Origin
	forward agateforward.Forward
}

// Callers returns a handler of the datagrams that callers send to the address
// listen.
func Callers(parts Parts, listen netip.AddrPort) *Upward {
	u := newUpward(parts, "caller")
	u.listen = listen
	return u
}

// newUpward returns a handler that counts datagrams as those of from.
func newUpward(parts Parts, from string) *Upward {
	return &Upward{
		Parts:     parts,
		toServers: parts.Metrics.Path(from, "server"),
		toCallers: parts.Metrics.Path(from, "caller"),
		toPeers:   parts.Metrics.Path(from, "peer"),
	}
}

// Handle takes one datagram of a caller.
func (u *Upward) Handle(now time.Time, from netip.AddrPort, datagram []byte) {
	u.origin = agateforward.Origin{Caller: from, Listen: u.listen, Centre: u.Self.Centre}
	u.pass(now, agatedispatch.Caller, 0, datagram)
}

// pass handles a caller's datagram that has been handed on hops times.
func (u *Upward) pass(now time.Time, source agatedispatch.Source, hops uint8, datagram []byte) {
	u.header = agateheader.Header{}
	body, err := u.header.Decode(datagram)
	if err != nil {
		u.refuse(now, len(datagram), err)
		return
	}
	view := u.World.View()
	switch u.header.Kind {
	case agatekind.Open:
		u.dispatch(source, datagram, len(body))
		return
	case agatekind.Request, agatekind.Cancel:
		if err := u.authenticate(view, now); err != nil {
			u.reject(view, now, hops, datagram, err)
			return
		}
		u.dispatch(source, datagram, len(body))
		return
	}
	if err := u.forward.Decide(view, &u.header, &u.origin, u.Key, now); err != nil {
		u.reject(view, now, hops, datagram, err)
		return
	}
	u.act(view, hops, datagram)
	if u.header.Kind == agatekind.Ping {
		u.renew(view, now)
	}
}

// authenticate keeps what carries no authentic token away from the dispatcher.
// Without keys nothing can be told apart; the dispatcher then asks the caller to
// come back.
func (u *Upward) authenticate(view *agateview.View, now time.Time) error {
	if len(view.Ring().Keys) == 0 {
		return nil
	}
	return u.forward.Admission.Authenticate(view, &u.header, now)
}

// reject refuses the datagram, unless its token is signed with a key that is
// not known here: the view may lag behind a new key, so the entry that the token
// names as its guard decides, if it is a known one. If not, a token that claims to be newer
// than the view is not called invalid, which would end its flow.
func (u *Upward) reject(view *agateview.View, now time.Time, hops uint8, datagram []byte, err error) {
	var key *agatekeyring.KeyError
	token := &u.forward.Admission.Token
	if errors.As(err, &key) && token.Read(&u.header.Token) == nil {
		if peer, found := u.guard(); found && hops < agaterelay.MaxHops {
			u.relay(view, peer, found, hops, agatemetric.Behind, datagram)
			return
		}
		if view.State().Upto() < token.Ticket {
			err = &agateadmit.KeylessError{}
		}
	}
	u.refuse(now, len(datagram), err)
}

// act does what has been decided about a feed's datagram.
func (u *Upward) act(view *agateview.View, hops uint8, datagram []byte) {
	switch u.forward.Action {
	case agateforward.Serve:
		prefix := u.forward.Route.Append(u.Servers.Prefix())
		u.Servers.Add(u.forward.Address, prefix, datagram)
	case agateforward.Relay:
		peer, found := u.pick(u.forward.Admission.Token.Centre)
		u.relay(view, peer, found, hops, agatemetric.Unreachable, datagram)
	case agateforward.Guard:
		peer, found := u.guard()
		u.relay(view, peer, found, hops, agatemetric.Behind, datagram)
	case agateforward.Reply:
		u.reply(agateheader.Header{Kind: agatekind.Pong, Token: u.header.Token})
	}
}

// pick returns a live entry of the data centre that serves the flow.
func (u *Upward) pick(centre uint16) (agatepeers.Peer, bool) {
	return u.World.Peers().Pick(centre, u.header.Flow)
}

// guard returns the entry that issued the flow's token, or its successor.
func (u *Upward) guard() (agatepeers.Peer, bool) {
	peers := u.World.Peers()
	peer, found := peers.Boot(peers.Successor(u.forward.Admission.Token.Boot))
	return peer, found && peer.Boot != u.Self.Boot
}

// relay hands the datagram to another entry.
func (u *Upward) relay(view *agateview.View, peer agatepeers.Peer, found bool, hops uint8, loss agatemetric.Loss, datagram []byte) {
	if !found {
		u.Metrics.Lost("caller", loss, 1)
		return
	}
	if hops >= agaterelay.MaxHops {
		u.Metrics.Fault("peer", agatefault.Hops)
		return
	}
	u.frame = agaterelay.Frame{Caller: u.origin.Caller, Centre: u.origin.Centre, Hops: hops, Sender: u.Self.Boot}
	framed, err := u.frame.Append(u.Peers.Prefix(), datagram, view.Ring())
	if err != nil {
		u.Metrics.Fault("caller", agatefault.Of(err))
		return
	}
	u.Peers.Add(peer.Relay, nil, framed)
}

// dispatch hands a copy of the datagram to the dispatcher.
func (u *Upward) dispatch(source agatedispatch.Source, datagram []byte, body int) {
	owned := append([]byte(nil), datagram...)
	in := &agatedispatch.Input{
		Source:   source,
		Caller:   u.origin.Caller,
		Listen:   u.origin.Listen,
		Centre:   u.origin.Centre,
		Header:   u.header,
		Datagram: owned,
		Body:     owned[len(owned)-body:],
	}
	if source == agatedispatch.Peer {
		in.Frame = u.frame
	}
	if !u.Queue.Put(in) {
		u.Metrics.Lost("caller", agatemetric.Ring, 1)
	}
}

// refuse tells the caller of the datagram at hand why it is not served.
func (u *Upward) refuse(now time.Time, size int, err error) {
	u.Refuser.Refuse(now, u.origin.Caller, &u.header, size, err, u.Callers)
}

// renew gives the caller a new token if its own is old, is signed with a key
// that is being replaced, or names a guard that has handed over.
func (u *Upward) renew(view *agateview.View, now time.Time) {
	admission := &u.forward.Admission
	peers := u.World.Peers()
	guard, found := peers.Boot(peers.Successor(admission.Token.Boot))
	moved := found && guard.Boot != admission.Token.Boot
	if !admission.Renew && !moved {
		return
	}
	token := admission.Token.WithIssued(now)
	if moved {
		token = token.WithGuard(guard.Relay, guard.Boot)
	}
	sealed, err := token.Seal(view.Ring())
	if err != nil {
		u.Metrics.Fault("caller", agatefault.Of(err))
		return
	}
	u.Metrics.Renewed()
	u.reply(opened(sealed, moved))
}

// reply sends the caller a datagram without a body about the flow at hand.
func (u *Upward) reply(h agateheader.Header) {
	h.Version = agateheader.Version
	h.Service = u.header.Service
	h.Flow = u.header.Flow
	h.Class = u.header.Class
	datagram, err := h.Append(nil, nil)
	if err != nil {
		u.Metrics.Fault("caller", agatefault.Of(err))
		return
	}
	u.Callers.Add(u.origin.Caller, nil, datagram)
}

// Flush sends what the batch has led to and counts it.
func (u *Upward) Flush() {
	u.toServers.Flush(u.Servers)
	u.toCallers.Flush(u.Callers)
	u.toPeers.Flush(u.Peers)
}

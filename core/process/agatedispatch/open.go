package agatedispatch

import (
	"time"

	"agatereach/core/connection/agateguard"
	"agatereach/core/request/agateclass"
	"agatereach/core/request/agateheader"
	"agatereach/core/request/agatekind"
	"agatereach/core/request/agatereason"
	"agatereach/core/request/agateseal"
	"agatereach/core/request/agatetoken"
	"agatereach/core/version/agateaccess"
	"agatereach/core/version/agateserver"
	"agatereach/core/version/agateservice"
)

// openGrant is a successful answer to an open.
type openGrant struct {
	seal  agateseal.Seal
	class agateclass.Class
}

// open handles a request for a new flow.
func (d *Dispatcher) open(now time.Time, in *Input) {
	h := &in.Header
	verdict, refused, ok := d.admitOpen(now, in)
	if !ok {
		d.refuse(in.Caller, h, refused)
		return
	}
	key := agateguard.Key{Service: h.Service, Flow: h.Flow}
	if earlier, found := d.recentOpens.Get(now, key); found {
		d.grant(in, earlier)
		return
	}
	if d.stopped {
		d.relayOpen(in)
		return
	}
	service := d.view.Service(h.Service)
	if refused, ok := d.limitOpen(now, in, service); !ok {
		d.refuse(in.Caller, h, refused)
		return
	}
	d.placeOpen(now, in, service, verdict)
}

// admitOpen checks the open against the state of the process and the access
// rules.
func (d *Dispatcher) admitOpen(now time.Time, in *Input) (agateaccess.Verdict, refusal, bool) {
	var none agateaccess.Verdict
	if d.viewMayBeStale(now) || !d.hasKeys {
		return none, refusal{reason: agatereason.Stale, wait: waitRefused}, false
	}
	if !d.known(in, &in.Header) {
		return none, refusal{reason: agatereason.Service}, false
	}
	verdict := d.view.Access(in.Header.Service, in.Caller.Addr(), in.Header.Customer, in.Centre)
	if !verdict.Allow {
		return none, refusal{reason: agatereason.Denied}, false
	}
	return verdict, refusal{}, true
}

// limitOpen checks the limits of the caller and of the service's team. Only the
// entry that received the datagram from the caller checks them.
func (d *Dispatcher) limitOpen(now time.Time, in *Input, service *agateservice.Service) (refusal, bool) {
	if in.Source != Caller {
		return refusal{}, true
	}
	if !d.settings.openLimiter.Allow(now, service.ID, in.Caller.Addr()) {
		return refusal{reason: agatereason.Limit, wait: waitRefused}, false
	}
	if !d.settings.teamLimiter.Allow(now, service.Team) {
		return refusal{reason: agatereason.Limit, wait: d.settings.teamLimiter.Wait(now, service.Team)}, false
	}
	return refusal{}, true
}

// relayOpen relays an open to another process of the data centre.
func (d *Dispatcher) relayOpen(in *Input) {
	peer, found := d.pick(d.self.Centre, in.Header.Flow)
	if !found || !d.relay(in, peer, 0) {
		d.refuse(in.Caller, &in.Header, refusal{reason: agatereason.Draining, wait: waitRefused})
	}
}

// placeOpen opens the flow locally or relays the open to another data centre.
func (d *Dispatcher) placeOpen(now time.Time, in *Input, service *agateservice.Service, verdict agateaccess.Verdict) {
	p := d.pool(now, service)
	local := allows(verdict, d.self.Centre) && p.hasUsableServer
	if local && d.relayToNear(now, in, verdict) {
		return
	}
	if local && (in.Source == Peer || !p.balancer.Hot()) && d.openLocally(now, in, p) {
		return
	}
	if d.spill(in, verdict) {
		return
	}
	if local && d.openLocally(now, in, p) {
		return
	}
	d.refuse(in.Caller, &in.Header, refusal{reason: agatereason.NoServer, wait: waitRefused})
}

// openLocally opens the flow in this data centre and reports whether it has
// answered the open; it has not if there is no server for a feed.
func (d *Dispatcher) openLocally(now time.Time, in *Input, p *pool) bool {
	h := &in.Header
	var server agateserver.Server
	if h.Class == agateclass.Feed {
		id, found := p.balancer.Open(now, h.Flow)
		if !found || d.view.Server(id) == nil {
			return false
		}
		server = *d.view.Server(id)
	}
	if d.needsRecord(h) && !d.guard.Open(now, agateguard.Key{Service: h.Service, Flow: h.Flow}) {
		d.counts.Full++
		d.refuse(in.Caller, h, refusal{reason: agatereason.Limit, wait: waitRefused})
		return true
	}
	d.issueToken(now, in, &server)
	return true
}

// needsRecord reports whether the guard needs a record of the flow: feeds and
// flows of idempotent services need none.
func (d *Dispatcher) needsRecord(h *agateheader.Header) bool {
	return h.Class != agateclass.Feed && !d.view.Service(h.Service).Idempotent
}

// issueToken creates the flow's token and grants the open.
func (d *Dispatcher) issueToken(now time.Time, in *Input, server *agateserver.Server) {
	h := &in.Header
	token := agatetoken.Token{
		Service:     h.Service,
		Centre:      d.self.Centre,
		Server:      server.ID,
		Incarnation: server.Incarnation,
		Guard:       d.self.Relay,
		Boot:        d.self.Boot,
		Ticket:      d.view.State().Upto(),
		Issued:      d.issueTime(now),
		Customer:    h.Customer,
		Flow:        h.Flow,
	}
	seal, err := token.Seal(d.view.Ring())
	if err != nil {
		d.refuse(in.Caller, h, refusal{reason: agatereason.Stale, wait: waitRefused})
		return
	}
	granted := openGrant{seal: seal, class: h.Class}
	d.recentOpens.Put(now, agateguard.Key{Service: h.Service, Flow: h.Flow}, granted)
	d.counts.Opened++
	d.grant(in, granted)
}

// issueTime returns the issue time of a new token: now, but never earlier than
// the issue time of a previous token.
func (d *Dispatcher) issueTime(now time.Time) time.Time {
	if now.After(d.lastIssued) {
		d.lastIssued = now
	}
	return d.lastIssued
}

// grant sends a successful answer to an open.
func (d *Dispatcher) grant(in *Input, o openGrant) {
	reply := agateheader.Header{
		Version:  agateheader.Version,
		Kind:     agatekind.Opened,
		Service:  in.Header.Service,
		Flow:     in.Header.Flow,
		Token:    o.seal,
		Customer: in.Header.Customer,
		Class:    o.class,
	}
	d.reply(in.Caller, &reply)
}

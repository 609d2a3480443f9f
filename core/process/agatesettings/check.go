package agatesettings

import (
	"fmt"
	"net/netip"
	"time"
)

// Defaults of the settings that may be left out.
const (
	defaultSockets  = 1
	defaultBudget   = 2000
	defaultDegree   = 6
	defaultReaders  = 3
	defaultBatch    = 64
	defaultQueue    = 8192
	defaultRefusals = 1000
	defaultDrain    = 10 * time.Second
	defaultDumpFD   = -1
)

// Limits of the settings.
const (
	maxID       = 64
	maxCentre   = 1<<16 - 1
	maxSockets  = 64
	maxBudget   = 1 << 20
	maxDegree   = 64
	maxReaders  = 64
	maxBatch    = 1024
	maxQueue    = 1 << 20
	maxRefusals = 1 << 20
	maxDrain    = 10 * time.Minute
	maxFD       = 1 << 10
	minToken    = 16
)

// settings takes every value from d and notes every fault.
func (c *checker) settings(d *document) *Settings {
	s := &Settings{
		VM:        c.name("vm.id", d.VM.ID),
		Centre:    uint16(c.number("vm.centre", d.VM.Centre, 0, 1, maxCentre)),
		Listen:    c.listen(d),
		Platform:  c.platform(d),
		Budget:    c.number("platform.budget", d.Platform.Budget, defaultBudget, 1, maxBudget),
		Peers:     c.peers(d),
		Token:     c.text("admin.token", d.Admin.Token, ""),
		LogFormat: c.format(d.Log.Format),
		LogLevel:  c.level(d.Log.Level),
		Policy:    c.policy(d.Balance.Policy),
		Packets: Packets{
			Batch:    c.number("packets.batch", d.Packets.Batch, defaultBatch, 1, maxBatch),
			Queue:    c.number("packets.queue", d.Packets.Queue, defaultQueue, 1, maxQueue),
			Refusals: c.number("packets.refusals", d.Packets.Refusals, defaultRefusals, 0, maxRefusals),
		},
		Drain:  c.duration("stop.drain", d.Stop.Drain, defaultDrain, maxDrain),
		DumpFD: c.number("dump.fd", d.Dump.FD, defaultDumpFD, -1, maxFD),
	}
	s.Link = c.advertised("advertise.link", d.Advertise.Link, s.Listen.Link)
	s.Relay = c.advertised("advertise.relay", d.Advertise.Relay, s.Listen.Relay)
	c.admin(s)
	c.distinct(s)
	return s
}

func (c *checker) listen(d *document) Listen {
	l := Listen{
		Sockets: c.number("listen.sockets", d.Listen.Sockets, defaultSockets, 1, maxSockets),
		Servers: c.address("listen.servers", d.Listen.Servers),
		Relay:   c.address("listen.relay", d.Listen.Relay),
		Link:    c.address("listen.link", d.Listen.Link),
		Admin:   c.address("listen.admin", d.Listen.Admin),
	}
	for i, text := range c.texts("listen.callers", d.Listen.Callers) {
		key := fmt.Sprintf("listen.callers[%d]", i)
		l.Callers = append(l.Callers, c.port(key, c.address(key, text)))
	}
	c.port("listen.relay", l.Relay)
	c.port("listen.link", l.Link)
	return l
}

func (c *checker) platform(d *document) []string {
	list := c.texts("platform.addresses", d.Platform.Addresses)
	for i, address := range list {
		key := fmt.Sprintf("platform.addresses[%d]", i)
		c.port(key, c.address(key, address))
	}
	return list
}

func (c *checker) peers(d *document) Peers {
	p := Peers{
		Cert:    c.text("peers.cert", d.Peers.Cert, ""),
		Key:     c.text("peers.key", d.Peers.Key, ""),
		CA:      c.text("peers.ca", d.Peers.CA, ""),
		Degree:  c.number("peers.degree", d.Peers.Degree, defaultDegree, 1, maxDegree),
		Readers: c.number("peers.readers", d.Peers.Readers, defaultReaders, 1, maxReaders),
	}
	secret := c.text("peers.secret", d.Peers.Secret, "")
	if err := p.Secret.UnmarshalText([]byte(secret)); err != nil {
		c.fault("peers.secret", "must have 32 hexadecimal digits")
	}
	if set := p.Cert != ""; set != (p.Key != "") || set != (p.CA != "") {
		c.fault("peers.cert", "must be set together with peers.key and peers.ca")
	}
	return p
}

// advertised returns the address that stands for own, own if none is set.
func (c *checker) advertised(key string, v any, own netip.AddrPort) netip.AddrPort {
	if v == nil {
		return own
	}
	return c.port(key, c.address(key, v))
}

// admin checks that an API which others can reach asks for a token.
func (c *checker) admin(s *Settings) {
	address := s.Listen.Admin
	if address.IsValid() && !address.Addr().IsLoopback() && s.Token == "" {
		c.fault("admin.token", "must be set, since listen.admin is not a loopback address")
	}
	if s.Token != "" && len(s.Token) < minToken {
		c.fault("admin.token", fmt.Sprintf("must have at least %d characters", minToken))
	}
}

// distinct checks that no two sockets of a kind share an address.
func (c *checker) distinct(s *Settings) {
	udp := map[netip.AddrPort]string{}
	for i, address := range s.Listen.Callers {
		c.taken(udp, fmt.Sprintf("listen.callers[%d]", i), address)
	}
	c.taken(udp, "listen.servers", s.Listen.Servers)
	c.taken(udp, "listen.relay", s.Listen.Relay)
	tcp := map[netip.AddrPort]string{}
	c.taken(tcp, "listen.link", s.Listen.Link)
	c.taken(tcp, "listen.admin", s.Listen.Admin)
}

func (c *checker) taken(seen map[netip.AddrPort]string, key string, address netip.AddrPort) {
	if address.Port() == 0 {
		return
	}
	if other, found := seen[address]; found {
		c.fault(key, fmt.Sprintf("is the address of %s too", other))
		return
	}
	seen[address] = key
}

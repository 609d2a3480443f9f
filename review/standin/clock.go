package main

import (
	"fmt"
	"time"
)

// playClock: a server starts twice under its id, once while the time of day of its machine
// is ahead, and once after that. Much later it drains.
func playClock(trouble bool, v *verdict) (*fleet, error) {
	f, err := newFleet(zones, even(zones, 2), small)
	if err != nil {
		return f, err
	}
	g := f.g
	vip := newVIP(g, 1)
	f.store.put("op/config", config(2, []route{{name: "r-query", vip: vip, kind: "idempotent", service: "mapserve"}}, "mapserve"))
	if err := f.startServers(0x7f3a0300, 6, "mapserve"); err != nil {
		return f, err
	}
	if err := f.startAll(); err != nil {
		return f, err
	}
	time.Sleep(2 * time.Second)
	const (
		// ahead is the x of clock_step, and stepped its for_s.
		ahead   = 2400 * time.Millisecond
		stepped = 6 * time.Second
		down    = 400 * time.Millisecond
		calm    = 6 * time.Second
		stay    = 8 * time.Second
	)
	// The server goes down and up twice, as with srv_flap: a second before the time of day
	// is right again, and shortly after.
	begin, last := g.since(), f.servers[0]
	if trouble {
		g.note("the time of day of the server's machine jumps ahead by %v, for %v", ahead, stepped)
	}
	for _, at := range []time.Duration{stepped - time.Second, stepped + 300*time.Millisecond} {
		g.sleepUntil(begin + at - down)
		last.kill()
		g.sleepUntil(begin + at)
		c := last.serverConfig
		c.register, c.clock = 100*time.Millisecond, 0
		if trouble && at < stepped {
			c.clock = ahead
		}
		if last, err = f.server(c); err != nil {
			return f, err
		}
	}
	time.Sleep(calm)
	confirmed := last.drain()
	limit := confirmed + time.Duration(small.drainMS)*time.Millisecond
	all := f.traffic(vip, 30*time.Millisecond, confirmed+stay)
	v.record(all, "request")
	for _, late := range f.lateRuns(last.text(), all, limit, confirmed+stay) {
		v.broken = append(v.broken, fmt.Sprintf("DRAIN: %s; it is draining since %.3f", late.line, confirmed.Seconds()))
	}
	return f, nil
}

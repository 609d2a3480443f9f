package main

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"
)

// grown holds the bounds of the site wbl-muc-grown.
var grown = bounds{configMS: 5000, drainMS: 5000, graceS: 6, lifetimeS: 60, beatMS: 1200}

// grownZones holds the data centres of that site.
var grownZones = []string{"muc-a", "muc-b", "ros-c", "ing-d"}

// playStorm: the config has grown by many routes and changes in quick succession. The last
// change removes a route that clients use.
func playStorm(trouble bool, v *verdict) (*fleet, error) {
	f, err := newFleet(grownZones, even(grownZones, 2), grown)
	if err != nil {
		return f, err
	}
	g := f.g
	const (
		// idleRoutes and bigConfig are the figures of wbl-muc-grown: 240 routes without
		// traffic, and two times 1,480 more.
		idleRoutes = 240
		bigConfig  = 2 * 1480
		stormGap   = 60 * time.Millisecond
		stormTime  = 1500 * time.Millisecond
		probeEvery = 100 * time.Millisecond
		watched    = 25 * time.Second
	)
	kept, dropped := newVIP(g, 1), newVIP(g, 2)
	used := []route{{name: "r-kept", vip: kept, kind: "idempotent", service: "booking"}, {name: "r-dropped", vip: dropped, kind: "idempotent", service: "booking"}}
	var idle []route
	for i := range idleRoutes + bigConfig {
		idle = append(idle, route{name: fmt.Sprintf("r-idle%05d", i), vip: endpoint{addr: g.at(kindVIP, byte(3+i%200)).As4(), port: uint16(9000 + i/200)}, kind: "idempotent", service: "booking"})
	}
	version := 5
	write := func(routes []route) time.Duration {
		version += 2
		f.store.put("op/config", config(version, routes, "booking"))
		return g.since()
	}
	write(append(used[:2:2], idle...))
	if err := f.startServers(0x7f3a0200, 8, "booking"); err != nil {
		return f, err
	}
	if err := f.startAll(); err != nil {
		return f, err
	}
	time.Sleep(3 * time.Second)
	begin := g.since()
	var (
		wait        sync.WaitGroup
		mu          sync.Mutex
		sent        = map[string]time.Duration{}
		confirmedAt time.Duration
	)
	wait.Go(func() {
		g.sleepUntil(begin + 2*time.Second)
		if trouble {
			for i := range int(stormTime / stormGap) {
				g.sleepUntil(begin + 2*time.Second + time.Duration(i)*stormGap)
				// Each change takes one idle route away or brings it back.
				n := len(idle) - i%2
				write(append(used[:2:2], idle[:n]...))
			}
			time.Sleep(stormGap)
		}
		at := write(append(used[:1:1], idle...))
		mu.Lock()
		confirmedAt = at
		mu.Unlock()
		g.note("operator: version %d without the route r-dropped is confirmed", version)
	})
	for i := range int(watched / probeEvery) {
		g.sleepUntil(begin + time.Duration(i)*probeEvery)
		wait.Go(func() {
			flow := f.clients[i%len(f.clients)].newFlow(dropped)
			why := flow.connect()
			if why == "" {
				id, answer, ok := flow.request("GET", "/feed", 1500*time.Millisecond)
				mu.Lock()
				sent[id] = flow.synSent
				mu.Unlock()
				why = fmt.Sprintf("%s %v: %s", id, ok, answer)
				flow.close()
			}
			mu.Lock()
			v.notes = append(v.notes, fmt.Sprintf("%8.3f  request to the route r-dropped from %s: %s", flow.synSent.Seconds(), flow.c.zone, why))
			mu.Unlock()
		})
	}
	wait.Wait()
	text, _ := json.Marshal(config(version, append(used[:2:2], idle...), "booking"))
	v.notes = append(v.notes, fmt.Sprintf("the config has %d routes and %d bytes", len(idle)+2, len(text)))
	for _, r := range f.seen.allRuns() {
		at, ours := sent[r.id]
		if ours && at > confirmedAt+time.Duration(grown.configMS)*time.Millisecond {
			v.broken = append(v.broken, fmt.Sprintf("CONFIG: request %s, opened at %.3f, %.3f s after the route was dropped, was run by %s", r.id, at.Seconds(), (at-confirmedAt).Seconds(), r.server))
		}
	}
	v.notes = append(v.notes, f.logs(12, "read failed")...)
	return f, nil
}

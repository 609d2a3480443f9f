package main

import (
	"fmt"
	"sync"
	"time"
)

// playStop: of a zone's three machines one is lost, and another one is stopped by SIGTERM.
// The routers then use all of the zone's machines. Meanwhile a route is removed.
func playStop(trouble bool, v *verdict) (*fleet, error) {
	f, err := newFleet(zones, []int{3, 2, 2}, small)
	if err != nil {
		return f, err
	}
	g := f.g
	kept, dropped := newVIP(g, 1), newVIP(g, 2)
	routes := []route{{name: "r-kept", vip: kept, kind: "idempotent", service: "mapserve"}, {name: "r-dropped", vip: dropped, kind: "idempotent", service: "mapserve"}}
	f.store.put("op/config", config(2, routes, "mapserve"))
	if err := f.startServers(0x7f3a0600, 6, "mapserve"); err != nil {
		return f, err
	}
	if err := f.startAll(); err != nil {
		return f, err
	}
	time.Sleep(6 * time.Second)
	const (
		// dark is the default of for_s.
		dark        = 5 * time.Second
		termAfter   = 200 * time.Millisecond
		changeAfter = termAfter + 1200*time.Millisecond
		played      = termAfter + 7*time.Second
	)
	lost, stopped := f.entries[0], f.entries[1]
	begin := g.since()
	var (
		wait                     sync.WaitGroup
		termAt, endAt, confirmed time.Duration
		used                     []*tried
	)
	if trouble {
		f.kill(lost)
		time.AfterFunc(dark, func() {
			if err := f.start(lost); err != nil {
				g.note("%v", err)
			}
		})
		wait.Go(func() {
			g.sleepUntil(begin + termAfter)
			termAt = g.since()
			f.terminate(stopped, time.Duration(small.graceS)*time.Second)
			endAt = g.since()
		})
	}
	wait.Go(func() {
		g.sleepUntil(begin + changeAfter)
		f.store.put("op/config", config(4, routes[:1], "mapserve"))
		confirmed = g.since()
	})
	wait.Go(func() { used = f.traffic(kept, 30*time.Millisecond, begin+played) })
	all := f.traffic(dropped, 10*time.Millisecond, begin+played)
	wait.Wait()
	v.record(used, "request to r-kept")
	v.record(all, "request to r-dropped")
	v.notes = append(v.notes, fmt.Sprintf("SIGTERM at %.3f, end at %.3f; the route is dropped since %.3f", termAt.Seconds(), endAt.Seconds(), confirmed.Seconds()))
	limit := confirmed + time.Duration(small.configMS)*time.Millisecond
	if trouble {
		// The machine with the SIGTERM is in touch again when that is older than the window.
		limit = max(limit, termAt+stableWindow)
	}
	calm := map[byte]bool{}
	for _, e := range f.entries {
		calm[e.place] = e != lost
	}
	ran := map[string]run{}
	for _, r := range f.seen.allRuns() {
		ran[r.id] = r
	}
	for _, t := range all {
		if r, ok := ran[t.id]; ok && t.synAt > limit && t.only(calm) {
			v.broken = append(v.broken, fmt.Sprintf("CONFIG: request %s, opened at %.3f through %v, %.3f s after the route was dropped, was run by %s",
				t.id, t.synAt.Seconds(), t.via, (t.synAt-confirmed).Seconds(), r.server))
		}
	}
	v.notes = append(v.notes, f.logs(30, "config: in force")...)
	return f, nil
}

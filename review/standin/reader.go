package main

import (
	"fmt"
	"strings"
	"time"
)

// playReader: a server loses its path to the store, and its entry is removed. Half of the
// machines, those that have read so among them, lose power within a second of it.
func playReader(trouble bool, v *verdict) (*fleet, error) {
	f, err := newFleet(zones, even(zones, 2), small)
	if err != nil {
		return f, err
	}
	g := f.g
	vip := newVIP(g, 1)
	f.store.put("op/config", config(2, []route{{name: "r-query", vip: vip, kind: "idempotent", service: "mapserve"}}, "mapserve"))
	if err := f.startServers(0x7f3a0500, 6, "mapserve"); err != nil {
		return f, err
	}
	if err := f.startAll(); err != nil {
		return f, err
	}
	time.Sleep(6 * time.Second)
	silent := f.servers[0]
	f.store.remove("servers/" + silent.text())
	confirmed := g.since()
	calm := map[byte]bool{}
	const (
		killAfter = 700 * time.Millisecond
		dark      = 2 * time.Second
		stay      = 9 * time.Second
	)
	time.Sleep(killAfter)
	for _, e := range f.entries {
		read := strings.Contains(e.output.String(), "removals=1")
		calm[e.place] = !trouble || !read
		if trouble && read {
			f.kill(e)
			time.AfterFunc(dark, func() {
				if err := f.start(e); err != nil {
					g.note("%v", err)
				}
			})
		}
	}
	limit := confirmed + time.Duration(small.drainMS)*time.Millisecond
	all := f.traffic(vip, 10*time.Millisecond, confirmed+stay)
	v.record(all, "request")
	through := map[string]*tried{}
	for _, t := range all {
		through[t.id] = t
	}
	for _, late := range f.lateRuns(silent.text(), all, limit, confirmed+stay) {
		if through[late.id].only(calm) {
			v.broken = append(v.broken, fmt.Sprintf("DRAIN: %s through %v; its entry is gone since %.3f", late.line, through[late.id].via, confirmed.Seconds()))
		}
	}
	return f, nil
}

package main

import (
	"fmt"
	"time"
)

// playWriter: another writer puts an entry under the key of a server of the service ingest.
// Fields are missing in it, and it names the service mapserve. The server itself writes
// again at its next beat.
func playWriter(trouble bool, v *verdict) (*fleet, error) {
	f, err := newFleet(zones, even(zones, 2), small)
	if err != nil {
		return f, err
	}
	g := f.g
	query, batch := newVIP(g, 1), newVIP(g, 2)
	f.store.put("op/config", config(2, []route{
		{name: "r-query", vip: query, kind: "idempotent", service: "mapserve"},
		{name: "r-batch", vip: batch, kind: "upload", service: "ingest"},
	}, "mapserve", "ingest"))
	if err := f.startServers(0x7f3a0400, 6, "mapserve"); err != nil {
		return f, err
	}
	if err := f.startServers(0x7f3a0450, 3, "ingest"); err != nil {
		return f, err
	}
	if err := f.startAll(); err != nil {
		return f, err
	}
	time.Sleep(2 * time.Second)
	begin := g.since()
	const (
		writeAfter = 2 * time.Second
		stay       = 6 * time.Second
	)
	server := f.servers[6]
	if trouble {
		time.AfterFunc(writeAfter, func() {
			server.mu.Lock()
			entry := server.entry()
			server.mu.Unlock()
			// The other writer doesn't know these fields.
			for _, field := range []string{"version", "cold_left_ms", "sequence"} {
				delete(entry, field)
			}
			entry["service"] = "mapserve"
			g.note("another writer:")
			f.store.put("servers/"+server.text(), entry)
			time.AfterFunc(beat, func() { server.write() })
		})
	}
	all := f.traffic(query, 20*time.Millisecond, begin+stay)
	v.record(all, "request to r-query")
	sent := map[string]*tried{}
	for _, t := range all {
		sent[t.id] = t
	}
	for _, r := range f.seen.allRuns() {
		if t := sent[r.id]; t != nil && r.service != "mapserve" {
			v.broken = append(v.broken, fmt.Sprintf("ROUTE: request %s to the route r-query, opened at %.3f, was run at %.3f by %s of the service %s; its client got: %s",
				r.id, t.synAt.Seconds(), r.at.Seconds(), r.server, r.service, t.line))
		}
	}
	return f, nil
}

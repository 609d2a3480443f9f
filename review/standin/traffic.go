package main

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"
)

// tried is a request of the traffic with a flow of its own.
type tried struct {
	id, zone, line string
	synAt          time.Duration
	ok             bool
	// via holds the machines through which the flow went.
	via []byte
}

// only reports whether the flow went through machines of the set alone.
func (t *tried) only(machines map[byte]bool) bool {
	for _, place := range t.via {
		if !machines[place] {
			return false
		}
	}
	return true
}

// traffic opens a flow with one request each time that the interval has passed, from all
// zones in turn, until a time since the start of the case.
func (f *fleet) traffic(vip endpoint, every, until time.Duration) []*tried {
	var wait sync.WaitGroup
	var all []*tried
	begin := f.g.since()
	for i := 0; f.g.since() < until; i++ {
		f.g.sleepUntil(begin + time.Duration(i)*every)
		c := f.clients[i%len(f.clients)]
		t := &tried{zone: c.zone}
		all = append(all, t)
		wait.Go(func() {
			flow := c.newFlow(vip)
			defer func() {
				flow.mu.Lock()
				t.via = slices.Sorted(maps.Keys(flow.via))
				flow.mu.Unlock()
			}()
			why := flow.connect()
			t.synAt = flow.synSent
			if why != "" {
				t.line = "not opened: " + why
				return
			}
			t.id, t.line, t.ok = flow.request("GET", "/map", 1200*time.Millisecond)
			flow.close()
		})
	}
	wait.Wait()
	return all
}

// record adds the requests to the record.
func (v *verdict) record(all []*tried, what string) {
	for _, t := range all {
		v.notes = append(v.notes, fmt.Sprintf("%8.3f  %s %s from %s through %v: %v, %s", t.synAt.Seconds(), what, t.id, t.zone, t.via, t.ok, t.line))
	}
}

// lateRun is a request that a server ran too late.
type lateRun struct{ id, line string }

// lateRuns returns the requests that a server ran though they were opened, and their
// opening packet reached it, in the given time.
func (f *fleet) lateRuns(server string, all []*tried, after, before time.Duration) []lateRun {
	sent := map[string]*tried{}
	for _, t := range all {
		sent[t.id] = t
	}
	var late []lateRun
	for _, r := range f.seen.allRuns() {
		t := sent[r.id]
		if t != nil && r.server == server && t.synAt > after && r.synAt > after && r.synAt < before {
			late = append(late, lateRun{r.id, fmt.Sprintf("request %s from %s, opened at %.3f, reached %s at %.3f", r.id, t.zone, t.synAt.Seconds(), r.server, r.synAt.Seconds())})
		}
	}
	return late
}

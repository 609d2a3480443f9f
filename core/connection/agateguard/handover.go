package agateguard

import "time"

// Export returns the records for one successor, the first time that it is
// called, and nothing after that. From then on the guard takes nothing on.
func (g *Guard) Export() []Record {
	if g.exported {
		return nil
	}
	g.exported = true
	records := make([]Record, 0, len(g.flows))
	for f := g.newest; f != nil; f = f.older {
		records = f.records(records)
	}
	return records
}

// Adopt continues the records of a process that has stopped and returns how
// many there was no room for. Records must have passed their check. A flow that
// this guard knows already keeps what either has seen.
func (g *Guard) Adopt(now time.Time, records []Record) int {
	lost := 0
	for i := range records {
		if g.exported || !g.adopt(now, &records[i]) {
			lost++
		}
	}
	g.shrink(now)
	return lost
}

func (g *Guard) adopt(now time.Time, r *Record) bool {
	key := Key{Service: r.Service, Flow: r.Flow}
	f := g.flows[key]
	if f == nil {
		if !g.room(now) {
			return false
		}
		f = &flow{key: key, boot: r.Boot, opened: r.Opened}
		g.add(now, f)
	}
	g.touch(now, f)
	f.opened = min(f.opened, r.Opened)
	f.passed = f.passed.Union(r.Passed)
	f.running = f.running.Union(r.Running)
	f.until = max(f.until, r.Until)
	for _, outcome := range r.Outcomes {
		g.record(now, f, outcome)
	}
	g.trim(f)
	return true
}

// record adds the outcome unless one is known or its number has left the window.
func (g *Guard) record(now time.Time, f *flow, outcome Outcome) {
	if _, known := f.outcome(outcome.Number); known || !f.passed.Has(outcome.Number) {
		return
	}
	f.outcomes = append(f.outcomes, outcome)
	g.bytes += outcome.size()
	g.ends.push(end{key: f.key, number: outcome.Number, at: now})
}

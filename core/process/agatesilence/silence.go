// Package agatesilence finds out which backend servers answer nothing, from
// segments that callers had to send again. It needs several flows for a
// suspicion and takes one sign of life to drop it.
package agatesilence

import "time"

// Policy holds the thresholds.
type Policy struct {
	// Suspect is the number of flows without an answer from which on a server
	// takes no new flow; at least 2, since one flow may have lost its packets.
	Suspect int
	// Confirm is the number of flows from which on open flows are given up; at
	// least Suspect. Firm is how many of them must be firm evidence: a live
	// server that is busy leaves a lone segment unacknowledged until its answer,
	// but answers handshakes and acknowledges what it gets twice.
	Confirm, Firm int
	// Patience is how long a server must have been silent to be confirmed, and
	// Settle how long the evidence must have been enough: in that time an entry
	// that has seen the server live can say so.
	Patience, Settle time.Duration
	// Retry is the time between two trials of a silent server, by all entries
	// together, and RetryMax the longest that one entry waits.
	Retry, RetryMax time.Duration
}

// maxFlows bounds the flows that are told apart.
const maxFlows = 8

// witness is a flow without an answer.
type witness struct {
	flow  uint64
	since time.Duration
	firm  bool
}

// Evidence sums up flows without an answer.
type Evidence struct {
	// Flows is their number, and Firm that of those that are firm evidence.
	Flows, Firm int
	// Since is since when the first of them has had no answer.
	Since time.Duration
}

// Add returns the sum of two.
func (e Evidence) Add(o Evidence) Evidence {
	switch {
	case e.Flows == 0:
		return o
	case o.Flows == 0:
		return e
	}
	return Evidence{Flows: e.Flows + o.Flows, Firm: e.Firm + o.Firm, Since: min(e.Since, o.Since)}
}

// Watch is what is known of one server's silence. The zero value is a server
// about which nothing is known.
type Watch struct {
	// heard is the time of the last sign of life, and seen that of the last one
	// that was seen here; at most heard.
	heard, seen time.Duration
	// witnesses are the flows without an answer since then, maxFlows at most; each
	// is another.
	witnesses []witness
	// others is what other entries report.
	others Evidence
	// enough is since when the evidence has been enough to confirm it; 0 if it is
	// not.
	enough time.Duration
	// missed is when an answer was last missed or a new flow given as a trial.
	missed time.Duration
}

// Seen notes a sign of life that was seen here.
func (w *Watch) Seen(at time.Duration) {
	w.seen = max(w.seen, at)
	w.Heard(at)
}

// Heard notes a sign of life that was seen here or that another entry has seen.
// It drops what is known of flows that were sent before.
func (w *Watch) Heard(at time.Duration) {
	if at <= w.heard {
		return
	}
	w.heard = at
	w.enough = 0
	kept := 0
	for _, each := range w.witnesses {
		if each.since > at {
			w.witnesses[kept] = each
			kept++
		}
	}
	w.witnesses = w.witnesses[:kept]
	if w.others.Since <= at {
		w.others = Evidence{}
	}
}

// LastSeen returns the time of the last sign of life that was seen here. Only
// that is passed on: what went to and fro would grow younger each time.
func (w *Watch) LastSeen() time.Duration { return w.seen }

// LastHeard returns the time of the last sign of life.
func (w *Watch) LastHeard() time.Duration { return w.heard }

// Missed notes at the time now that a flow has had no answer since the given
// time, and whether that is firm evidence.
func (w *Watch) Missed(flow uint64, since, now time.Duration, firm bool) {
	if since <= w.heard {
		return
	}
	w.missed = now
	for i := range w.witnesses {
		if known := &w.witnesses[i]; known.flow == flow {
			known.since = min(known.since, since)
			known.firm = known.firm || firm
			return
		}
	}
	if len(w.witnesses) < maxFlows {
		w.witnesses = append(w.witnesses, witness{flow: flow, since: since, firm: firm})
	}
}

// Report notes what other entries know of, in place of what they knew before.
func (w *Watch) Report(others Evidence) {
	if others.Since <= w.heard {
		others = Evidence{}
	}
	w.others = others
}

// Own returns the flows without an answer that were seen here.
func (w *Watch) Own() Evidence {
	var sum Evidence
	for _, each := range w.witnesses {
		one := Evidence{Flows: 1, Since: each.since}
		if each.firm {
			one.Firm = 1
		}
		sum = sum.Add(one)
	}
	return sum
}

// Missing returns the flows without an answer that are known of.
func (w *Watch) Missing() Evidence { return w.Own().Add(w.others) }

// Suspected reports whether the server should take no new flow.
func (w *Watch) Suspected(p Policy) bool { return len(w.witnesses)+w.others.Flows >= p.Suspect }

// Confirmed reports whether the server's open flows should be given up. It is
// meant to be asked some ten times a second.
func (w *Watch) Confirmed(p Policy, now time.Duration) bool {
	known := w.Missing()
	if known.Flows < p.Confirm || known.Firm < p.Firm {
		w.enough = 0
		return false
	}
	if w.enough == 0 {
		w.enough = now
	}
	return now-w.enough >= p.Settle && now-w.heard >= p.Patience
}

// Due reports whether a suspected server may be given a new flow as a trial, by
// an entry that shares its knowledge with a number of others. Each trial costs a
// caller the time after which it repeats itself.
func (w *Watch) Due(p Policy, others int, now time.Duration) bool {
	return now-w.missed >= p.interval(others)
}

// interval returns the time between two trials by one of several entries.
func (p Policy) interval(others int) time.Duration {
	return min(p.Retry*time.Duration(others+1), max(p.RetryMax, p.Retry))
}

// Tried notes that a new flow was given as a trial.
func (w *Watch) Tried(now time.Duration) { w.missed = now }

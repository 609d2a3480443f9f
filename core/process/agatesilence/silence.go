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
	// least Suspect.
	Confirm int
	// Patience is how long a server must have been silent to be confirmed.
	Patience time.Duration
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
}

// Watch is what is known of one server's silence. The zero value is a server
// about which nothing is known.
type Watch struct {
	// heard is the time of the last sign of life, and seen that of the last one
	// that was seen here; at most heard.
	heard, seen time.Duration
	// witnesses are the flows without an answer since then; each is another.
	witnesses [maxFlows]witness
	count     int
	// others is the number of flows that other entries report, and othersSince
	// the time from which on they had no answer.
	others      int
	othersSince time.Duration
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
	kept := 0
	for _, each := range w.witnesses[:w.count] {
		if each.since > at {
			w.witnesses[kept] = each
			kept++
		}
	}
	w.count = kept
	if w.othersSince <= at {
		w.others = 0
	}
}

// LastSeen returns the time of the last sign of life that was seen here. Only
// that is passed on: what went to and fro would grow younger each time.
func (w *Watch) LastSeen() time.Duration { return w.seen }

// LastHeard returns the time of the last sign of life.
func (w *Watch) LastHeard() time.Duration { return w.heard }

// Missed notes at the time now that a flow has had no answer since the given
// time.
func (w *Watch) Missed(flow uint64, since, now time.Duration) {
	if since <= w.heard {
		return
	}
	w.missed = now
	for i := range w.witnesses[:w.count] {
		if w.witnesses[i].flow == flow {
			w.witnesses[i].since = min(w.witnesses[i].since, since)
			return
		}
	}
	if w.count < maxFlows {
		w.witnesses[w.count] = witness{flow: flow, since: since}
		w.count++
	}
}

// Report notes that other entries know of a number of flows without an answer
// since the given time.
func (w *Watch) Report(flows int, since time.Duration) {
	if since <= w.heard {
		flows = 0
	}
	w.others = flows
	w.othersSince = since
}

// Own returns the number of flows without an answer that were seen here, and
// since when the first of them has had none.
func (w *Watch) Own() (flows int, since time.Duration) {
	for i, each := range w.witnesses[:w.count] {
		if i == 0 || each.since < since {
			since = each.since
		}
	}
	return w.count, since
}

// Missing returns the number of flows without an answer that are known of, and
// since when the first of them has had none.
func (w *Watch) Missing() (flows int, since time.Duration) {
	flows, since = w.Own()
	if w.others > 0 && (flows == 0 || w.othersSince < since) {
		since = w.othersSince
	}
	return flows + w.others, since
}

// flows returns the number of flows without an answer.
func (w *Watch) flows() int { return w.count + w.others }

// Suspected reports whether the server should take no new flow.
func (w *Watch) Suspected(p Policy) bool { return w.flows() >= p.Suspect }

// Confirmed reports whether the server's open flows should be given up.
func (w *Watch) Confirmed(p Policy, now time.Duration) bool {
	return w.flows() >= p.Confirm && now-w.heard >= p.Patience
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

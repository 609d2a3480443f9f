package main

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"
)

// record holds what was sent, opened, run and answered, and judges the rules.
type record struct {
	mutex sync.Mutex
	lines []string
	// requests holds all requests by id.
	requests map[string]*request
	// owners holds the server at which each flow is open.
	owners map[flowID]*server
	// gone holds when the store confirmed that a server is draining or gone, by key.
	gone map[string]time.Duration
	// touchless holds spans in which an entry isn't in touch, by its place.
	touchless map[int][]span
	// allowed holds the services that some config ever gave to a path.
	allowed map[string][]string
	// routedAt holds when the store confirmed the first config with a path.
	routedAt map[string]time.Duration
	// droppedAt holds when the store confirmed a config without a path.
	droppedAt map[string]time.Duration
	broken    map[string][]string
	drain     time.Duration
}

// span is a span of time.
type span struct{ from, to time.Duration }

// request is one client attempt.
type request struct {
	id, path   string
	sent       time.Duration
	ran        []string
	answer     string
	answeredAt time.Duration
}

func newRecord() *record {
	return &record{
		requests: make(map[string]*request), owners: make(map[flowID]*server), gone: make(map[string]time.Duration),
		touchless: make(map[int][]span), allowed: make(map[string][]string), broken: make(map[string][]string), drain: drainTime,
		routedAt: make(map[string]time.Duration), droppedAt: make(map[string]time.Duration),
	}
}

// line notes an event.
func (r *record) line(format string, values ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.note(format, values...)
}

func (r *record) note(format string, values ...any) {
	r.lines = append(r.lines, fmt.Sprintf("%8.3f %s", now().Seconds(), fmt.Sprintf(format, values...)))
}

// broke notes that a rule is broken.
func (r *record) broke(rule, format string, values ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.breaks(rule, format, values...)
}

func (r *record) breaks(rule, format string, values ...any) {
	text := fmt.Sprintf(format, values...)
	r.broken[rule] = append(r.broken[rule], text)
	r.note("BROKEN %s: %s", rule, text)
}

// allow notes that a config gives a path to a service.
func (r *record) allow(path, service string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.allowed[path] = append(r.allowed[path], service)
}

// outOfTouch notes that an entry isn't in touch from one time to another.
func (r *record) outOfTouch(entry int, from, to time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.touchless[entry] = append(r.touchless[entry], span{from, to})
}

func (r *record) inTouch(entry int, at time.Duration) bool {
	return !slices.ContainsFunc(r.touchless[entry], func(s span) bool { return at >= s.from && at <= s.to })
}

// removed notes that the store has removed a server's entry.
func (r *record) removed(key string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if _, known := r.gone[key]; !known {
		r.gone[key] = now()
	}
}

// leaving notes that the store has confirmed that a server is draining.
func (r *record) leaving(id uint64) { r.removed(keyOf(id)) }

// dropped notes that the store has confirmed a config without a path.
func (r *record) dropped(path string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.droppedAt[path] = now()
}

// routed notes that the store has confirmed a config with a path.
func (r *record) routed(path string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if _, known := r.routedAt[path]; !known {
		r.routedAt[path] = now()
	}
}

// refused notes that an entry has reset a flow that was not open, and judges CONFIG.
func (r *record) refused(id string, entry int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	q := r.requests[id]
	_, dropped := r.droppedAt[q.path]
	if at := r.routedAt[q.path]; !dropped && q.sent > at+configTime && r.inTouch(entry, now()) {
		r.breaks("CONFIG", "request %s of %s was refused by entry %d, %.0f ms after the store's confirmation of a config with that route", id, q.path, entry, float64((q.sent - at).Milliseconds()))
	}
}

func (r *record) sent(id, path string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.requests[id] = &request{id: id, path: path, sent: now()}
}

// opened notes that a flow is open at a server, and judges DRAIN by the packet that opened it.
func (r *record) opened(id flowID, v *server, o opening) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.owners[id] = v
	at, left := r.gone[keyOf(v.id)]
	if left && o.arrived > at+r.drain && r.inTouch(o.entry, o.arrived) {
		r.breaks("DRAIN", "server %x got the opening packet of a flow through entry %d %.0f ms after the store's confirmation that it is draining or gone", v.id, o.entry, float64((o.arrived - at).Milliseconds()))
	}
}

// owner returns the server at which a flow is open, nil for none.
func (r *record) owner(id flowID) *server {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.owners[id]
}

// ran notes that a server began to work on a request, and judges ROUTE, and CONFIG by the packet
// that opened the flow.
func (r *record) ran(id string, v *server, o opening) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	q := r.requests[id]
	if q == nil {
		r.breaks("UNASKED", "server %x ran request %q, which no client sent", v.id, id)
		return
	}
	q.ran = append(q.ran, fmt.Sprintf("%x (%s) at %.3f", v.id, v.service(), now().Seconds()))
	if len(q.ran) > 1 {
		r.breaks("TWICE", "request %s ran %d times", id, len(q.ran))
	}
	if at, dropped := r.droppedAt[q.path]; dropped && q.sent > at+configTime && r.inTouch(o.entry, o.arrived) {
		r.breaks("CONFIG", "request %s of %s ran at server %x, sent through entry %d %.0f ms after the store's confirmation of a config without that route", id, q.path, v.id, o.entry, float64((q.sent - at).Milliseconds()))
	}
	if allowed := r.allowed[q.path]; !slices.Contains(allowed, v.service()) {
		r.breaks("ROUTE", "request %s of %s, which configs give to %s, ran at server %x of service %s", id, q.path, strings.Join(allowed, ", "), v.id, v.service())
	}
}

func (r *record) answered(id, answer string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	q := r.requests[id]
	q.answer, q.answeredAt = answer, now()
}

// served returns the number of requests sent in a span and of those that were served.
func (r *record) served(from, to time.Duration) (sent, served int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, q := range r.requests {
		if q.sent >= from && q.sent < to {
			sent++
			if q.answer == "200" {
				served++
			}
		}
	}
	return sent, served
}

// finish writes the record to a folder and returns the exit code.
func (r *record) finish(folder, rule string, err error) int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	code := 0
	switch {
	case err != nil:
		code = 2
	case len(r.broken[rule]) > 0:
		code = 1
	}
	var b strings.Builder
	fmt.Fprintf(&b, "rule %s: broken %d times; exit code %d\n", rule, len(r.broken[rule]), code)
	if err != nil {
		fmt.Fprintf(&b, "the case could not run: %v\n", err)
	}
	for _, other := range sortedKeys(r.broken) {
		if other != rule {
			fmt.Fprintf(&b, "besides, rule %s: %d times (not judged here)\n", other, len(r.broken[other]))
		}
	}
	fmt.Fprintf(&b, "\nevents, by seconds from the start\n%s\n\nrequests: sent, id, path, where the work ran, answer\n", strings.Join(r.lines, "\n"))
	all := make([]*request, 0, len(r.requests))
	for _, q := range r.requests {
		all = append(all, q)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].sent < all[j].sent })
	for _, q := range all {
		fmt.Fprintf(&b, "%8.3f %s %s | ran: %s | %s at %.3f\n", q.sent.Seconds(), q.id, q.path, strings.Join(q.ran, "; "), q.answer, q.answeredAt.Seconds())
	}
	file, failed := os.Create(filepath.Join(folder, "record.txt"))
	if failed != nil {
		return 2
	}
	w := bufio.NewWriter(file)
	_, _ = w.WriteString(b.String())
	if w.Flush() != nil || file.Close() != nil {
		return 2
	}
	fmt.Print(strings.SplitAfterN(b.String(), "\n", 2)[0])
	return code
}

func sortedKeys(m map[string][]string) []string {
	var keys []string
	for key := range m {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}

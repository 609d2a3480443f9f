// Package agatecheck decides which backend servers an entry checks by opening a bare TCP
// connection, and what the results prove. It opens none itself: it hands out attempts and
// takes their reports.
//
// It answers servers that crash, or whose machine stops answering, without notice. Under
// a storm of hints it bounds the checks under way and those in a second; if a whole data
// centre can't be reached, its control connections fail as well and nothing is proven.
package agatecheck

import (
	"cmp"
	"slices"
	"time"

	"agatereach/core/version/agateinstance"
)

// Outcome is what came of one connection attempt.
type Outcome string

// The outcomes of an attempt.
const (
	// Accepted means that the connection was opened.
	Accepted Outcome = "accepted"
	// Refused means that the address answered by a reset.
	Refused Outcome = "refused"
	// Unanswered means that nothing came within the attempt's timeout.
	Unanswered Outcome = "unanswered"
	// Failed means that the attempt says nothing, because of a local fault.
	Failed Outcome = "failed"
)

// Result is what a check proves.
type Result string

// The results of a check.
const (
	// Alive means that the address accepted a connection.
	Alive Result = "alive"
	// Closed means that the address refused twice: no process listens.
	Closed Result = "closed"
	// Dark means that two attempts were unanswered while a control connection to another
	// server of the data centre, at another machine, was answered during each.
	Dark Result = "dark"
	// Replaced means that another server answers at the address: the process that
	// listened there before has ended.
	Replaced Result = "replaced"
	// None means that nothing is proven.
	None Result = "none"
)

// Results returns all results.
func Results() []Result { return []Result{Alive, Closed, Dark, Replaced, None} }

// Attempt asks for one connection.
type Attempt struct {
	// Number identifies the attempt.
	Number uint64
	// Server is whose address is connected to.
	Server agateinstance.Key
	// Delay is how long to wait before the attempt begins, and Timeout how long it may
	// take.
	Delay, Timeout time.Duration
	// HealthPath is the path of the health endpoint that is asked who listens once the
	// connection is open; empty to ask nothing.
	HealthPath string
}

// Report is the outcome of an attempt.
type Report struct {
	// Number is that of the attempt.
	Number  uint64
	Outcome Outcome
	// Identity is the id of the server that listens; 0 if it isn't known.
	Identity uint64
	// Began and Ended are when the attempt began and ended.
	Began, Ended time.Duration
}

// Finding is the result of a check.
type Finding struct {
	Server agateinstance.Key
	Result Result
	// HintAt is when the first hint came that asked for the check.
	HintAt time.Duration
	// Began is when the first attempt began, and Ended when the last one ended; 0 if none
	// was reported.
	Began, Ended time.Duration
	// RefusedAt is when the first attempt ended that was refused; 0 if none was.
	RefusedAt time.Duration
	// Repeated is whether a check that Repeat asked for has led to the result.
	Repeated bool
	// Attempts is the number of attempts reported.
	Attempts int
	// Identity is the id of the server that listens; 0 if it isn't known.
	Identity uint64
	// Control is the server of the last control connection, zero for none, and
	// ControlAccepted whether it accepted.
	Control         agateinstance.Key
	ControlAccepted bool
}

// Policy holds the bounds of Checks.
type Policy struct {
	// Running is the maximum number of checks under way, and PerSecond the maximum number
	// that begin in any second.
	Running, PerSecond int
	// Interval is the minimum time between two checks of a server.
	Interval time.Duration
	// Timeout is how long an attempt may take.
	Timeout time.Duration
	// RefusalDelay is the minimum time between two refusals that count.
	RefusalDelay time.Duration
	// Overrun is by how much an unanswered attempt may exceed its timeout and still count:
	// a process that stood still may have missed the answer.
	Overrun time.Duration
	// ReportTime is how long after an attempt was handed out its report counts as lost.
	ReportTime time.Duration
	// Queue is the maximum number of servers that wait for a check, and HintTime how long
	// one waits after its last hint.
	Queue    int
	HintTime time.Duration
}

// DefaultPolicy returns the bounds of the design.
func DefaultPolicy() Policy {
	return Policy{
		Running:      8,
		PerSecond:    20,
		Interval:     250 * time.Millisecond,
		Timeout:      150 * time.Millisecond,
		RefusalDelay: 50 * time.Millisecond,
		Overrun:      50 * time.Millisecond,
		ReportTime:   time.Second,
		Queue:        256,
		// At 20 checks a second, 100 servers that fall silent together are all checked.
		HintTime: 5 * time.Second,
	}
}

// maxAttempts is the number of attempts of a check: two that agree, and one more if the
// first two differ.
const maxAttempts = 3

// hint is a server that waits for a check.
type hint struct {
	server agateinstance.Key
	// at is when the first hint came, and lastAt when the last one did.
	at, lastAt time.Duration
	// waiting is the number of open flows that wait for the server.
	waiting int
}

// pending is an attempt without a report: that of one probe, or a control connection for
// several, which all begin at the same time.
type pending struct {
	checks  []*check
	probes  []*probe
	control bool
	at      time.Duration
}

// probe is the connection attempt of a check and the control connection beside it.
type probe struct {
	server, control Report
	// controlAsked is whether there is a control connection, and sameMachine whether it is to
	// the machine of the server itself.
	controlAsked, sameMachine bool
}

// done reports whether nothing of the probe is under way.
func (p *probe) done() bool {
	return p.server.Outcome != "" && (p.server.Outcome != Unanswered || !p.controlAsked || p.control.Outcome != "")
}

// controlled reports whether the control connection was answered during the attempt by another
// machine. An answer of the server's own machine shows that it is up.
func (p *probe) controlled() bool {
	answered := p.control.Outcome == Accepted || p.control.Outcome == Refused
	return answered && !p.sameMachine && p.control.Ended >= p.server.Began && p.control.Began <= p.server.Ended
}

// check is a check under way.
type check struct {
	hint
	probes  []*probe
	control agateinstance.Key
	// ready is whether the next probe may be handed out, and delay how much later it
	// is to begin.
	ready bool
	delay time.Duration
	// earlier is the finding that a single attempt is to repeat; its Result is empty if there
	// is none.
	earlier Finding
}

// Checks holds the checks of an entry. It must be used by one goroutine only.
type Checks struct {
	policy Policy
	number uint64
	// waiting holds the hints that wait, at most policy.Queue, one for each server.
	waiting []hint
	// running holds the checks under way, at most policy.Running and one for each server,
	// the earliest first.
	running []*check
	pending map[uint64]*pending
	// begun holds when the last checks began, at most policy.PerSecond, the oldest first.
	begun []time.Duration
	// lastBegun holds when each server was last checked, for policy.Interval at least.
	lastBegun map[agateinstance.Key]time.Duration
}

// New returns Checks without hints.
func New(policy Policy) *Checks {
	return &Checks{
		policy: policy, pending: make(map[uint64]*pending), lastBegun: make(map[agateinstance.Key]time.Duration),
	}
}

// Hint asks for a check of a server that may be down, for which the given number of open
// flows wait. If too many servers wait, the least urgent one is left out.
func (c *Checks) Hint(server agateinstance.Key, waiting int, now time.Duration) {
	if slices.ContainsFunc(c.running, func(k *check) bool { return k.server == server }) {
		return
	}
	if i := slices.IndexFunc(c.waiting, func(h hint) bool { return h.server == server }); i >= 0 {
		c.waiting[i].waiting, c.waiting[i].lastAt = max(c.waiting[i].waiting, waiting), now
		return
	}
	c.waiting = append(c.waiting, hint{server: server, at: now, lastAt: now, waiting: waiting})
	if len(c.waiting) > c.policy.Queue {
		least := slices.MaxFunc(c.waiting, compareUrgency)
		c.waiting = slices.DeleteFunc(c.waiting, func(h hint) bool { return h == least })
	}
}

// compareUrgency orders hints: a server with waiting flows first, then the earlier hint.
func compareUrgency(a, b hint) int {
	return cmp.Or(cmp.Compare(min(b.waiting, 1), min(a.waiting, 1)), cmp.Compare(a.at, b.at), a.server.Compare(b.server))
}

// Repeat has a check that has found a server closed go on with one more attempt, which begins
// at the given time or later. It counts as the same check.
func (c *Checks) Repeat(f Finding, at, now time.Duration) {
	if slices.ContainsFunc(c.running, func(k *check) bool { return k.server == f.Server }) {
		return
	}
	c.waiting = slices.DeleteFunc(c.waiting, func(h hint) bool { return h.server == f.Server })
	c.running = append(c.running, &check{
		hint:  hint{server: f.Server, at: f.HintAt, lastAt: now},
		ready: true, delay: max(at-now, 0), earlier: f,
	})
}

// Idle reports whether there is neither a hint nor a check under way.
func (c *Checks) Idle() bool { return len(c.waiting) == 0 && len(c.running) == 0 }

// Next returns the attempts to begin now, control connections first. control returns
// another server of a server's data centre to which a control connection can be opened,
// and false if there is none.
func (c *Checks) Next(now time.Duration, control func(agateinstance.Key) (agateinstance.Key, bool)) []Attempt {
	if c.Idle() {
		return nil
	}
	c.begin(now)
	var controls, attempts []Attempt
	shared := make(map[agateinstance.Key]*pending)
	for _, each := range c.running {
		if !each.ready {
			continue
		}
		each.ready = false
		p := &probe{}
		afterRefusal := each.earlier.Result == Closed || len(each.probes) > 0 && each.probes[len(each.probes)-1].server.Outcome == Refused
		each.probes = append(each.probes, p)
		attempts = append(attempts, c.attempt(each.server, &pending{checks: []*check{each}, probes: []*probe{p}, at: now}, each.delay))
		key, ok := control(each.server)
		if afterRefusal || !ok || key == each.server {
			continue
		}
		each.control, p.controlAsked = key, true
		p.sameMachine = key.Address.IP == each.server.Address.IP
		if shared[key] == nil {
			shared[key] = &pending{control: true, at: now}
			controls = append(controls, c.attempt(key, shared[key], each.delay))
		}
		shared[key].checks, shared[key].probes = append(shared[key].checks, each), append(shared[key].probes, p)
	}
	return append(controls, attempts...)
}

// attempt returns a new attempt for what is pending.
func (c *Checks) attempt(server agateinstance.Key, p *pending, delay time.Duration) Attempt {
	c.number++
	c.pending[c.number] = p
	return Attempt{Number: c.number, Server: server, Delay: delay, Timeout: c.policy.Timeout}
}

// begin turns hints into checks, the most urgent first, as far as the bounds allow.
func (c *Checks) begin(now time.Duration) {
	c.begun = slices.DeleteFunc(c.begun, func(at time.Duration) bool { return now-at >= time.Second })
	for key, at := range c.lastBegun {
		if now-at >= c.policy.Interval {
			delete(c.lastBegun, key)
		}
	}
	c.waiting = slices.DeleteFunc(c.waiting, func(h hint) bool { return now-h.lastAt >= c.policy.HintTime })
	if len(c.running) >= c.policy.Running || len(c.begun) >= c.policy.PerSecond {
		// Next is called after each batch of packets: ordering a full queue takes longer
		// than most batches.
		return
	}
	slices.SortFunc(c.waiting, compareUrgency)
	kept := c.waiting[:0]
	for _, each := range c.waiting {
		_, recent := c.lastBegun[each.server]
		if recent || len(c.running) >= c.policy.Running || len(c.begun) >= c.policy.PerSecond {
			kept = append(kept, each)
			continue
		}
		c.begun = append(c.begun, now)
		c.lastBegun[each.server] = now
		c.running = append(c.running, &check{hint: each, ready: true})
	}
	c.waiting = kept
}

// Report takes the report of an attempt and returns the findings of the checks that have
// ended by it. Reports of attempts that aren't under way are ignored.
func (c *Checks) Report(r Report) []Finding {
	p, ok := c.pending[r.Number]
	if !ok {
		return nil
	}
	delete(c.pending, r.Number)
	if r.Outcome == Unanswered && r.Ended-r.Began > c.policy.Timeout+c.policy.Overrun {
		r.Outcome = Failed
	}
	var found []Finding
	for i, each := range p.probes {
		if p.control {
			each.control = r
		} else {
			each.server = r
		}
		if !slices.Contains(c.running, p.checks[i]) {
			continue
		}
		if f, ended := c.conclude(p.checks[i]); ended {
			found = append(found, f)
		}
	}
	return found
}

// conclude returns the finding of a check whose last probe has ended, or prepares the next
// probe.
func (c *Checks) conclude(k *check) (Finding, bool) {
	last := k.probes[len(k.probes)-1]
	if !last.done() || k.ready {
		return Finding{}, false
	}
	switch last.server.Outcome {
	case Accepted:
		return c.end(k, k.accepted(last.server.Identity)), true
	case Failed:
		return c.end(k, None), true
	}
	if k.earlier.Result != "" {
		if last.server.Outcome == Refused {
			return c.end(k, Closed), true
		}
		return c.end(k, None), true
	}
	if len(k.probes) > 1 && k.probes[len(k.probes)-2].server.Outcome == last.server.Outcome {
		return c.end(k, k.agreed(c.policy)), true
	}
	if len(k.probes) == maxAttempts {
		return c.end(k, None), true
	}
	k.ready, k.delay = true, 0
	if last.server.Outcome == Refused {
		k.delay = c.policy.RefusalDelay
	}
	return Finding{}, false
}

// accepted returns the result of a check whose last attempt was accepted by the server with
// the given id, or 0 if that isn't known.
func (k *check) accepted(identity uint64) Result {
	if identity != 0 && identity != k.server.ID {
		return Replaced
	}
	return Alive
}

// agreed returns the result of a check whose last two attempts have the same outcome.
func (k *check) agreed(policy Policy) Result {
	former, last := k.probes[len(k.probes)-2], k.probes[len(k.probes)-1]
	switch {
	case last.server.Outcome == Refused && last.server.Began-former.server.Ended >= policy.RefusalDelay:
		return Closed
	case last.server.Outcome == Unanswered && former.controlled() && last.controlled():
		return Dark
	}
	return None
}

// end removes a check and returns its finding.
func (c *Checks) end(k *check, result Result) Finding {
	c.running = slices.DeleteFunc(c.running, func(o *check) bool { return o == k })
	f := Finding{Server: k.server, Result: result, HintAt: k.at, Control: k.control}
	for _, each := range k.probes {
		if each.server.Outcome != "" {
			f.Attempts++
			f.Ended = max(f.Ended, each.server.Ended)
		}
		f.Identity = each.server.Identity
		if each.server.Outcome == Refused && f.RefusedAt == 0 {
			f.RefusedAt = each.server.Ended
		}
		if each.controlAsked {
			f.ControlAccepted = each.control.Outcome == Accepted
		}
	}
	f.Began = k.probes[0].server.Began
	if k.earlier.Result != "" {
		f.Repeated = true
		f.Began, f.RefusedAt, f.Attempts = k.earlier.Began, k.earlier.RefusedAt, f.Attempts+k.earlier.Attempts
		f.Control, f.ControlAccepted = k.earlier.Control, k.earlier.ControlAccepted
	}
	return f
}

// Expire ends the checks with an attempt whose report is lost, and returns their findings.
func (c *Checks) Expire(now time.Duration) []Finding {
	var ended []Finding
	for number, each := range c.pending {
		if now-each.at < c.policy.ReportTime {
			continue
		}
		delete(c.pending, number)
		for i, k := range each.checks {
			lost := !each.control || !each.probes[i].done()
			if lost && slices.Contains(c.running, k) {
				ended = append(ended, c.end(k, None))
			}
		}
	}
	return ended
}

// Discard ends all checks under way without a result, since the entry stood still or was
// behind: their attempts may have been answered unnoticed. It returns the servers of these
// checks.
func (c *Checks) Discard() []agateinstance.Key {
	var servers []agateinstance.Key
	for _, each := range c.running {
		servers = append(servers, each.server)
	}
	c.running = c.running[:0]
	clear(c.pending)
	return servers
}

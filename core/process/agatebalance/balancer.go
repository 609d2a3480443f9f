package agatebalance

import (
	"math/rand/v2"
	"time"

	"agatereach/core/process/agatelatency"
	"agatereach/core/process/agateplacement"
	"agatereach/core/process/agatepool"
	"agatereach/core/process/agatequeue"
	"agatereach/core/process/agateretry"
	"agatereach/core/request/agateclass"
	"agatereach/core/request/agatereason"
)

// maxTries is the number of attempts after which a request is no longer sent to
// servers without a recent load report, nor retried unless the policy requeues
// refused work.
const maxTries = 4

// maxFreeJobs is the largest number of jobs kept for reuse.
const maxFreeJobs = 1024

// job is a request that waits in the queue or runs at a server.
type job struct {
	Work
	// member is the server that the request was sent to, nil while it waits.
	member *agatepool.Member
	// queueEntry is the request's entry in the queue, nil while it is at a
	// server.
	queueEntry *agatequeue.Entry[*job]
	// sentAt is the time of the last attempt.
	sentAt time.Time
	// tries is the number of attempts so far.
	tries int
	// avoid is the server at which the last attempt ended, nil if there was
	// none or the request has been queued again since.
	avoid *agatepool.Member
	// noQueue is whether the last attempt asked the server to refuse the
	// request rather than queue it.
	noQueue bool
}

func (w *Work) long() bool { return w.Class == agateclass.Long }

// Balancer assigns the requests of one service to backend servers. It is not
// safe for concurrent use.
//
// A request that Submit does not refuse either waits in the queue or is at a
// server. It ends exactly once: with the result of its last attempt, with a
// decision to refuse it, or when Done withdraws it.
type Balancer struct {
	// initialPolicy is the name given to New, empty for the default policy;
	// policyName is the name of the policy in use.
	initialPolicy string
	policyName    agateplacement.Name
	policy        agateplacement.PoolPolicy
	pool          *agatepool.Pool
	queue         *agatequeue.Queue[*job]
	budget        *agateretry.Budget
	random        *rand.Rand
	// jobs maps the IDs of the requests that have not ended to their jobs.
	jobs map[uint64]*job
	// freeJobs holds the jobs of ended requests for reuse.
	freeJobs []*job
	// inflight is the number of jobs at servers.
	inflight int
	// latencies holds the response times of short and of long requests.
	latencies [2]agatelatency.Latency
	// deferred holds refusals of other requests made during Submit, which
	// returns only one decision. The next call that returns decisions delivers
	// them.
	deferred []Decision
	// spilling is the last result of Hot.
	spilling bool
}

// New returns a Balancer without servers.
func New(options ...Option) *Balancer {
	s := &settings{seed: 1, queueCapacity: defaultQueueCapacity}
	for _, option := range options {
		option(s)
	}
	b := &Balancer{
		initialPolicy: s.policy,
		pool:          agatepool.New(s.seed),
		queue:         agatequeue.New[*job](s.queueCapacity),
		budget:        agateretry.New(s.budgetOptions...),
		random:        rand.New(rand.NewPCG(s.seed, ^s.seed)),
		jobs:          make(map[uint64]*job),
	}
	b.applyPolicy(s.policy)
	return b
}

// SetPolicy replaces the placement policy for all later choices. An empty name
// restores the policy given to New. An unknown name changes nothing.
func (b *Balancer) SetPolicy(now time.Time, name string) []Decision {
	if name == "" {
		name = b.initialPolicy
	}
	if agateplacement.Name(name) == b.policyName {
		return nil
	}
	b.applyPolicy(name)
	return b.placeWaiting(now, nil)
}

// applyPolicy switches to the named policy. An empty name selects the default,
// as does an unknown name if no policy is set yet.
func (b *Balancer) applyPolicy(name string) {
	policy, err := agateplacement.New(name)
	switch {
	case err == nil && name != "":
		b.policyName, b.policy = agateplacement.Name(name), policy
	case b.policy == nil || name == "":
		b.policyName = agateplacement.Default
		b.policy, _ = agateplacement.New(string(agateplacement.Default))
	}
}

// SetServers replaces the servers. The state of a server that stays with the
// same incarnation is kept.
func (b *Balancer) SetServers(now time.Time, servers []Server) []Decision {
	b.pool.Set(now, servers)
	return b.placeWaiting(now, nil)
}

// SetShares replaces the weights by which the queue divides service among
// teams.
func (b *Balancer) SetShares(shares map[string]uint32) { b.queue.SetShares(shares) }

// Submit returns the decision on a new request. It looks for a server only
// if no other request of the same class waits.
func (b *Balancer) Submit(now time.Time, w Work) Decision {
	b.pool.ExpireReports(now)
	switch {
	case b.jobs[w.ID] != nil:
		return b.refusal(w.ID, agatereason.Pending)
	case b.pool.Len() == 0:
		return b.refusal(w.ID, agatereason.NoServer)
	case b.missesDeadline(now, &w):
		return b.refusal(w.ID, agatereason.Deadline)
	}
	b.budget.Request(b.lowBacklog())
	j := b.addJob(w)
	if b.queue.Head(true, j.long()) == nil {
		if d, sent := b.trySend(now, j); sent {
			return d
		}
	}
	if b.queueTooLong(now, j) {
		return b.refuse(j, agatereason.Overload)
	}
	dropped := b.enqueue(j)
	if dropped == j {
		return b.refuse(j, agatereason.Overload)
	}
	if dropped != nil {
		b.deferred = append(b.deferred, b.refuse(dropped, agatereason.Overload))
	}
	return Decision{ID: w.ID, Action: Wait}
}

// addJob starts tracking the request.
func (b *Balancer) addJob(w Work) *job {
	var j *job
	if last := len(b.freeJobs) - 1; last >= 0 {
		j, b.freeJobs = b.freeJobs[last], b.freeJobs[:last]
	} else {
		j = &job{}
	}
	*j = job{Work: w}
	b.jobs[w.ID] = j
	return j
}

// removeJob stops tracking the request. The next Submit may reuse the job.
func (b *Balancer) removeJob(j *job) {
	delete(b.jobs, j.ID)
	if len(b.freeJobs) < maxFreeJobs {
		b.freeJobs = append(b.freeJobs, j)
	}
}

// Done ends the attempt of a request, or withdraws a request that waits. After
// Shed or Retry the request is sent to another server, queued or refused. The
// decisions on waiting requests follow. An unknown ID is ignored.
func (b *Balancer) Done(now time.Time, id uint64, r Result) []Decision {
	b.pool.ExpireReports(now)
	j := b.jobs[id]
	if j == nil {
		return nil
	}
	if j.member == nil {
		b.queue.Take(j.queueEntry)
		b.removeJob(j)
		return b.placeWaiting(now, nil)
	}
	m := j.member
	j.member, j.avoid = nil, m
	b.inflight--
	b.pool.Finish(now, m, j.long())
	b.recordResult(now, j, m, r)
	var decisions []Decision
	switch r {
	case Shed, Retry:
		decisions = b.retryOrRefuse(now, j, r)
	default:
		b.removeJob(j)
	}
	return b.placeWaiting(now, decisions)
}

// recordResult updates the state of the server from the result of an attempt.
func (b *Balancer) recordResult(now time.Time, j *job, m *agatepool.Member, r Result) {
	switch r {
	case Answered:
		took := now.Sub(j.sentAt)
		b.pool.RecordSuccess(m, took)
		b.latency(j.long()).Add(took)
		b.pool.SetReportLifetime(b.latency(false).Mean())
	case Shed:
		b.pool.RecordShed(now, m)
		if !j.noQueue {
			b.pool.RecordOverload(now, m)
		}
	case Timeout:
		b.pool.RecordOverload(now, m)
		b.pool.RecordFailure(now, m)
	case Failed, Retry:
		b.pool.RecordFailure(now, m)
	case Cancelled:
	}
}

// retryOrRefuse decides on a request that the server has not run or that may
// run again.
func (b *Balancer) retryOrRefuse(now time.Time, j *job, r Result) []Decision {
	if b.missesDeadline(now, &j.Work) {
		return []Decision{b.refuse(j, agatereason.Deadline)}
	}
	holds := r == Shed && b.policy.Requeues()
	if (holds || j.tries < maxTries) && b.retriable(now, j) {
		if d, sent := b.trySend(now, j); sent {
			b.budget.Spend()
			return []Decision{d}
		}
		return b.requeueRefused(j)
	}
	switch {
	case holds:
		return b.requeueRefused(j)
	case r == Retry:
		return []Decision{b.refuse(j, agatereason.Failed)}
	}
	return []Decision{b.refuse(j, agatereason.Overload)}
}

// retriable reports whether the budget and the deadline allow another attempt.
func (b *Balancer) retriable(now time.Time, j *job) bool {
	return b.budget.Left(now, j.Deadline, b.latency(j.long()).Mean())
}

// requeueRefused queues the request again. The pool has recorded the refusal, so
// the request need not avoid that server any longer.
func (b *Balancer) requeueRefused(j *job) []Decision {
	j.avoid = nil
	if dropped := b.enqueue(j); dropped != nil {
		return []Decision{b.refuse(dropped, agatereason.Overload)}
	}
	return nil
}

// Report records the load that a server reports.
func (b *Balancer) Report(now time.Time, server uint32, r Report) []Decision {
	b.pool.ExpireReports(now)
	b.pool.Report(now, server, r)
	return b.placeWaiting(now, nil)
}

// Tick refuses waiting requests that have expired and sends those for which a
// server is available. Call it about every 10 ms.
func (b *Balancer) Tick(now time.Time) []Decision {
	b.pool.Tick(now)
	var decisions []Decision
	for _, e := range b.queue.Expired(now) {
		decisions = append(decisions, b.refuse(e.Value, agatereason.Deadline))
	}
	return b.placeWaiting(now, decisions)
}

// Open chooses the server of a new feed. The flow's number determines the
// candidates, so that entries which see the same open mostly choose the same
// server. It reports whether a server has room.
func (b *Balancer) Open(now time.Time, flow uint64) (server uint32, ok bool) {
	b.pool.ExpireReports(now)
	m := b.pool.OpenFeed(flow)
	if m == nil {
		return 0, false
	}
	return m.Server().ID, true
}

// Closed records that a feed at the server has ended.
func (b *Balancer) Closed(_ time.Time, server uint32) { b.pool.FeedClosed(server) }

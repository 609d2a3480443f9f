package agatebalance

import (
	"time"

	"agatereach/core/process/agatelatency"
	"agatereach/core/process/agateplacement"
	"agatereach/core/process/agatequeue"
	"agatereach/core/request/agatereason"
)

const (
	// defaultSlotTime is the expected slot time of a class until one of its
	// requests has been answered.
	defaultSlotTime = 10 * time.Millisecond
	// minRetryHint is the shortest delay after which a refused caller is told
	// to try again, before random spread.
	minRetryHint = 50 * time.Millisecond
	// queueDivisor divides the time to spare before the deadline; the result
	// bounds the time that the queue ahead may take.
	queueDivisor = 2
	// waitDivisor divides the time until the deadline; the result is how long
	// a request may always wait.
	waitDivisor = 4
	// maxLongWait is the longest time for which a long request waits for a
	// server that keeps a slot free for short requests.
	maxLongWait = 3 * time.Second
)

// placeWaiting sends waiting requests as long as servers are available, and
// refuses those that would miss their deadline.
func (b *Balancer) placeWaiting(now time.Time, decisions []Decision) []Decision {
	if len(b.deferred) > 0 {
		decisions = append(decisions, b.deferred...)
		b.deferred = nil
	}
	short, long := true, true
	for short || long {
		e := b.queue.Head(short, long)
		if e == nil {
			break
		}
		j := e.Value
		if b.missesDeadline(now, &j.Work) {
			b.queue.Take(e)
			decisions = append(decisions, b.refuse(j, agatereason.Deadline))
			continue
		}
		d, sent := b.trySend(now, j)
		switch {
		case sent:
			decisions = append(decisions, b.dequeue(j, d))
		case j.long():
			long = false
		default:
			short = false
		}
	}
	return decisions
}

// dequeue takes a request out of the queue after trySend has found a server for
// it. A retry that exceeds the budget is undone and refused instead.
func (b *Balancer) dequeue(j *job, d Decision) Decision {
	b.queue.Serve(j.queueEntry)
	j.queueEntry = nil
	if j.tries > 1 && !b.budget.Spend() {
		b.undoSend(j)
		return b.refuse(j, agatereason.Overload)
	}
	return d
}

// trySend sends the request if the policy finds a server.
func (b *Balancer) trySend(now time.Time, j *job) (Decision, bool) {
	m, noQueue, found := b.policy.Pick(b.pool, agateplacement.Work{
		Long:          j.long(),
		IgnoreReserve: now.Sub(j.Arrived) >= b.longWait(j),
		Avoid:         j.avoid,
		MayRetry:      j.tries < maxTries && (b.lowBacklog() && b.retriable(now, j) || b.inflight == 0),
	})
	if !found {
		return Decision{}, false
	}
	j.member, j.sentAt, j.noQueue = m, now, noQueue
	j.tries++
	b.inflight++
	b.pool.Start(m, j.long())
	return Decision{ID: j.ID, Action: Send, Server: m.Server().ID, Now: noQueue}, true
}

// longWait returns how long a long request waits for a server that keeps a slot
// free for short requests.
func (b *Balancer) longWait(j *job) time.Duration {
	if j.Deadline.IsZero() {
		return maxLongWait
	}
	return min(j.Deadline.Sub(j.Arrived)/waitDivisor, maxLongWait)
}

// undoSend reverts an attempt whose decision has not been returned.
func (b *Balancer) undoSend(j *job) {
	b.inflight--
	b.pool.Finish(j.sentAt, j.member, j.long())
	j.member = nil
}

// enqueue queues the request and returns the one that the full queue dropped in
// exchange, possibly j itself, or nil.
func (b *Balancer) enqueue(j *job) (dropped *job) {
	added, evicted := b.queue.Push(j, agatequeue.Key{
		Team:     j.Team,
		Priority: j.Priority,
		Deadline: j.Deadline,
		Long:     j.long(),
		Cost:     b.slotTime(j.long()),
	})
	j.queueEntry = added
	if evicted == nil {
		return nil
	}
	return evicted.Value
}

// refuse ends a request that is at no server and not in the queue.
func (b *Balancer) refuse(j *job, reason agatereason.Reason) Decision {
	b.removeJob(j)
	return b.refusal(j.ID, reason)
}

// refusal returns a decision to refuse. Its retry hint is randomized so that
// callers do not all retry at the same moment.
func (b *Balancer) refusal(id uint64, reason agatereason.Reason) Decision {
	wait := max(b.backlog(), minRetryHint)
	wait += time.Duration(b.random.Int64N(int64(wait)))
	return Decision{ID: id, Action: Refuse, Reason: reason, Wait: wait}
}

// missesDeadline reports whether the request would miss its deadline even if it
// started now.
func (b *Balancer) missesDeadline(now time.Time, w *Work) bool {
	if w.Deadline.IsZero() {
		return false
	}
	left := w.Deadline.Sub(now)
	return left <= 0 || left < b.latency(w.long()).Mean()
}

// queueTooLong reports whether the queue ahead of the request takes more than
// half of its time to spare, which is the time until its deadline less the
// class's 0.99 quantile of response times. A longer queue would not serve more
// requests, only serve them later. A request may wait a quarter of the time until
// its deadline in any case, so that one whose deadline is near that quantile can
// be queued at all.
func (b *Balancer) queueTooLong(now time.Time, j *job) bool {
	if j.Deadline.IsZero() {
		return false
	}
	left := j.Deadline.Sub(now)
	ahead := b.queue.Ahead(j.Team, j.long()) / time.Duration(max(b.inflight, 1))
	return ahead > max((left-b.latency(j.long()).P99())/queueDivisor, left/waitDivisor)
}

// backlog returns the time that the slots in use by this entry need to drain the
// queue.
func (b *Balancer) backlog() time.Duration {
	return b.queue.Cost() / time.Duration(max(b.inflight, 1))
}

func (b *Balancer) latency(long bool) *agatelatency.Latency {
	if long {
		return &b.latencies[1]
	}
	return &b.latencies[0]
}

// slotTime returns how long a request is expected to occupy a slot.
func (b *Balancer) slotTime(long bool) time.Duration {
	if mean := b.latency(long).Mean(); mean > 0 {
		return mean
	}
	return defaultSlotTime
}

// lowBacklog reports whether the backlog is too short to indicate overload.
func (b *Balancer) lowBacklog() bool { return b.backlog() < overloadFactor*b.slotTime(false) }

// Hot reports whether new requests should be served in another data centre. It
// turns true when the backlog reaches half the slot time of a short request and
// false when it falls below an eighth, so that only the excess over the capacity
// of the local servers is sent away.
func (b *Balancer) Hot() bool {
	limit := b.slotTime(false) / spillDivisor
	if b.spilling {
		limit = b.slotTime(false) / unspillDivisor
	}
	b.spilling = b.backlog() >= limit
	return b.spilling
}

const (
	// overloadFactor is the backlog that indicates overload, as a multiple of
	// the slot time of a short request.
	overloadFactor = 2
	// spillDivisor and unspillDivisor divide the slot time of a short request;
	// the results are the backlogs at which spilling to other data centres
	// starts and stops.
	spillDivisor   = 2
	unspillDivisor = 8
)

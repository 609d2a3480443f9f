// Package agatequeue provides a bounded priority queue for work that waits for
// a slot, fair between teams.
package agatequeue

import (
	"slices"
	"time"
)

// maxCredit is the largest virtual time that a team can save up by using less
// than its share, in seconds of slot time at a share of 1.
const maxCredit = 1.0

// Key determines the position of an entry in a queue.
type Key struct {
	// Team is the team that is charged for the entry.
	Team string
	// Priority orders the entries of a team, the highest first.
	Priority uint8
	// Deadline orders the entries of equal priority, the earliest first and
	// zero last.
	Deadline time.Time
	// Long is whether the entry is long work.
	Long bool
	// Cost is the time for which the entry is expected to occupy a slot,
	// above 0.
	Cost time.Duration
}

// Entry is a queued value.
type Entry[T any] struct {
	Key
	// Value is the queued value.
	Value T
	// serial orders entries that are otherwise equal; it increases with
	// each Push.
	serial uint64
	// owner is the team's queue that holds the entry, nil if none does.
	owner *teamQueue[T]
	// heapIndex is the entry's index in its heap.
	heapIndex int
}

// Queue holds a bounded number of entries.
//
// Teams are served in the order of start-time fair queueing by their shares
// (Goyal, Vin and Cheng, SIGCOMM 1996), so that the priorities and deadlines of
// one team never take slots from another. A team that uses less than its share
// saves up a bounded credit. Within a team the highest priority goes first, and
// among equal priorities the earliest deadline. When the queue is full, the
// team with the most entries in relation to its share loses its entry of the
// lowest priority and latest deadline. A Queue is not safe for concurrent use.
type Queue[T any] struct {
	// capacity is the largest number of entries, at least 0.
	capacity int
	// shares maps teams to their weights; a missing team has weight 1.
	shares map[string]uint32
	// teams holds the teams that have entries or have recently used more
	// than their share.
	teams map[string]*teamQueue[T]
	// size is the number of entries.
	size int
	// virtualTime is the virtual start time of the last entry served.
	virtualTime float64
	// lastSerial is the serial of the last entry pushed.
	lastSerial uint64
}

// New returns an empty queue for up to capacity entries.
func New[T any](capacity int) *Queue[T] {
	return &Queue[T]{capacity: max(capacity, 0), teams: make(map[string]*teamQueue[T])}
}

// SetShares replaces the weights of the teams.
func (q *Queue[T]) SetShares(shares map[string]uint32) { q.shares = shares }

// Len returns the number of entries.
func (q *Queue[T]) Len() int { return q.size }

// Cap returns the largest number of entries.
func (q *Queue[T]) Cap() int { return q.capacity }

// Push adds the value and returns its entry, and the entry removed to make room
// for it, nil if none. The two may be the same.
func (q *Queue[T]) Push(value T, key Key) (added, dropped *Entry[T]) {
	q.lastSerial++
	added = &Entry[T]{Key: key, Value: value, serial: q.lastSerial}
	q.teamQueue(key.Team).push(added)
	q.size++
	if q.size > q.capacity {
		dropped = q.victim()
		q.Take(dropped)
	}
	return added, dropped
}

// Head returns the entry to serve first, nil if there is none. It considers
// short work only if short is set and long work only if long is set.
func (q *Queue[T]) Head(short, long bool) *Entry[T] {
	var first *Entry[T]
	for _, l := range q.teams {
		e := l.head(short, long)
		if e == nil {
			continue
		}
		if first == nil || l.virtualStart < first.owner.virtualStart || (l.virtualStart == first.owner.virtualStart && e.serial < first.serial) {
			first = e
		}
	}
	return first
}

// Take removes an entry without charging its team.
func (q *Queue[T]) Take(e *Entry[T]) {
	if e.owner == nil {
		return
	}
	l := e.owner
	l.remove(e)
	q.size--
	if l.empty() && l.virtualStart <= q.virtualTime-maxCredit {
		delete(q.teams, e.Team)
	}
}

// Serve removes an entry that is served and charges its team for the entry's
// cost.
func (q *Queue[T]) Serve(e *Entry[T]) {
	if e.owner == nil {
		return
	}
	q.virtualTime = max(q.virtualTime, e.owner.virtualStart)
	e.owner.virtualStart += e.Cost.Seconds() / float64(q.share(e.Team))
	q.Take(e)
	for team, l := range q.teams {
		if l.empty() && l.virtualStart <= q.virtualTime-maxCredit {
			delete(q.teams, team)
		}
	}
}

// Expired removes the entries whose deadline has passed and returns them in the
// order in which they were pushed.
func (q *Queue[T]) Expired(now time.Time) []*Entry[T] {
	var expired []*Entry[T]
	for _, l := range q.teams {
		expired = l.appendExpired(now, expired)
	}
	for _, e := range expired {
		q.Take(e)
	}
	slices.SortFunc(expired, func(a, b *Entry[T]) int { return int(a.serial) - int(b.serial) })
	return expired
}

// Ahead returns the slot time that is served before a new entry of the team and
// class if all teams that have entries keep having entries.
func (q *Queue[T]) Ahead(team string, long bool) time.Duration {
	l := q.teams[team]
	if l == nil {
		return 0
	}
	var all uint32
	for name, other := range q.teams {
		if !other.empty() {
			all += q.share(name)
		}
	}
	ahead := l.cost[0]
	if long {
		ahead += l.cost[1]
	}
	return time.Duration(float64(ahead) * float64(all) / float64(q.share(team)))
}

// Cost returns the total cost of all entries.
func (q *Queue[T]) Cost() time.Duration {
	var cost time.Duration
	for _, l := range q.teams {
		cost += l.cost[0] + l.cost[1]
	}
	return cost
}

func (q *Queue[T]) share(team string) uint32 { return max(q.shares[team], 1) }

// teamQueue returns the team's queue. A team without entries resumes at most
// maxCredit behind the queue's virtual time, so that a team which uses less
// than its share goes first and idle time earns only a bounded burst.
func (q *Queue[T]) teamQueue(team string) *teamQueue[T] {
	l := q.teams[team]
	if l == nil {
		l = &teamQueue[T]{virtualStart: q.virtualTime - maxCredit}
		q.teams[team] = l
	}
	if l.empty() {
		l.virtualStart = max(l.virtualStart, q.virtualTime-maxCredit)
	}
	return l
}

// victim returns the entry to remove from a full queue.
func (q *Queue[T]) victim() *Entry[T] {
	var heaviest *teamQueue[T]
	var weight float64
	for team, l := range q.teams {
		held := float64(l.len()) / float64(q.share(team))
		if heaviest == nil || held > weight || (held == weight && l.newestSerial() > heaviest.newestSerial()) {
			heaviest, weight = l, held
		}
	}
	return heaviest.last()
}

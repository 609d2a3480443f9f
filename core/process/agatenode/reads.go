package agatenode

import (
	"time"

	"agatereach/core/process/agatebudget"
	"agatereach/core/version/agatebatch"
	"agatereach/core/version/agatevmlist"
)

// Times of reads.
const (
	// watchTime is how long the platform holds a reader's watch.
	watchTime = 10 * time.Second
	// silence is how long an entry that is no reader goes without news of the
	// platform.
	silence = 30 * time.Second
	// peerTime is how long the peers have to give a new entry the tickets.
	peerTime = 1500 * time.Millisecond
	// aloneTime is how long an entry without links waits before it reads the
	// list of VMs anew.
	aloneTime = 10 * time.Second
)

// reading is one kind of read of the platform.
type reading struct {
	// running says that a read is under way, and id is its number.
	running bool
	id      uint64
	// started is when the newest read began, and wait how long it is held.
	started time.Time
	wait    time.Duration
	// next is the earliest time of the next read.
	next time.Time
	// own is when an entry that is no reader reads for itself; zero while it
	// has no reason to.
	own time.Time
	// failures counts the failed reads in a row.
	failures int
	// done says that a read has succeeded.
	done bool
}

// start marks a read as under way if one is due.
func (r *reading) start(now time.Time) bool {
	if r.running || now.Before(r.next) {
		return false
	}
	r.running, r.started = true, now
	r.id++
	return true
}

// tickReads starts the reads that are due.
func (n *Node) tickReads(now time.Time) {
	if n.wantsVMs(now) && n.vms.start(now) {
		_, version := n.members.Listed()
		n.vms.wait = n.hold(&n.vms)
		n.effects.VMs = &Read{ID: n.vms.id, After: version, Wait: n.vms.wait}
	}
	if n.wantsTickets(now) && n.tickets.start(now) {
		state := n.State()
		n.tickets.wait = n.hold(&n.tickets)
		if state.Lag() > 0 || n.refresh.waking {
			n.tickets.wait = 0
		}
		n.effects.Tickets = &Read{ID: n.tickets.id, After: state.Upto(), Wait: n.tickets.wait}
	}
}

// hold returns how long a read is held: a reader's first one not at all.
func (n *Node) hold(r *reading) time.Duration {
	if n.elected && r.done {
		return watchTime
	}
	return 0
}

// wantsVMs reports whether the list of VMs is to be read: by everyone once, by
// readers all the time, and by who has no link.
func (n *Node) wantsVMs(now time.Time) bool {
	if !n.vms.done || n.elected {
		return true
	}
	return n.due(now, &n.vms, len(n.links) == 0, aloneTime)
}

// wantsTickets reports whether the tickets are to be read: by readers all the
// time, by others when no peer has brought any or the platform has not been
// heard of for a while. Before the list of VMs is there, or could not be read,
// nobody knows whether it is a reader.
func (n *Node) wantsTickets(now time.Time) bool {
	if !n.vms.done && n.vms.failures == 0 {
		return false
	}
	if n.elected {
		return true
	}
	if n.State().Upto() == 0 {
		return n.due(now, &n.tickets, true, peerTime)
	}
	lacking := n.State().Lag() > 0 && !n.exchange.Wanting() && !n.exchange.Behind()
	return n.due(now, &n.tickets, lacking || n.refresh.waking || now.Sub(n.platform) > silence, 0)
}

// due reports whether an entry that is no reader shall read for itself now: a
// while after it first had a reason to, so that entries with the same reason
// spread over the time in which the platform can answer all of them.
func (n *Node) due(now time.Time, r *reading, reason bool, delay time.Duration) bool {
	if !reason {
		r.own = time.Time{}
		return false
	}
	if r.own.IsZero() {
		r.own = now.Add(delay + n.budget.Start(n.random.Float64()))
	}
	return !now.Before(r.own)
}

// hurried reports whether a read that was to be held came back early without
// anything new, as from a platform that serves old values.
func (r *reading) hurried(now time.Time, progress bool) bool {
	return !progress && now.Sub(r.started) < r.wait/2
}

// finish notes the end of a read.
func (n *Node) finish(now time.Time, r *reading, failed bool, asked time.Duration) {
	r.running = false
	r.own = time.Time{}
	if failed {
		r.failures++
		r.next = now.Add(n.share().Backoff(r.failures, asked, n.random.Float64()))
		return
	}
	r.failures = 0
	r.done = true
	r.next = now.Add(n.budget.Gap())
	if !n.elected && n.State().Lag() == 0 && n.State().Upto() > 0 {
		r.next = now.Add(n.budget.Interval(n.random.Float64()))
	}
}

// share returns the budget of those that read like this process: the readers,
// or all entries.
func (n *Node) share() agatebudget.Budget {
	if n.elected {
		return n.budget.WithEntries(min(n.budget.Entries, n.budget.Readers), n.budget.Readers)
	}
	return n.budget
}

// TicketsRead takes what the platform has answered to the read of the given
// number.
func (n *Node) TicketsRead(now time.Time, id uint64, batch *agatebatch.Batch) {
	if id != n.tickets.id || !n.tickets.running {
		return
	}
	n.readBy(now)
	former := n.State().Upto()
	n.send(n.exchange.Batch(now, 0, batch))
	n.finish(now, &n.tickets, false, 0)
	if n.tickets.hurried(now, n.State().Upto() > former) {
		n.tickets.next = now.Add(n.budget.Interval(n.random.Float64()))
	}
	n.readFresh()
}

// VMsRead takes what the platform has answered to the read of the given number.
func (n *Node) VMsRead(now time.Time, id uint64, list *agatevmlist.List) {
	if id != n.vms.id || !n.vms.running {
		return
	}
	_, former := n.members.Listed()
	n.members.SetList(now, list)
	n.finish(now, &n.vms, false, 0)
	if n.vms.hurried(now, list.Version > former) {
		n.vms.next = now.Add(n.budget.Interval(n.random.Float64()))
	}
	n.membersAt = now
}

// TicketsFailed says that the read of the given number has failed, and how long
// the platform asks to wait.
func (n *Node) TicketsFailed(now time.Time, id uint64, asked time.Duration) {
	if id == n.tickets.id && n.tickets.running {
		n.finish(now, &n.tickets, true, asked)
	}
}

// VMsFailed is for the list of VMs what TicketsFailed is for tickets.
func (n *Node) VMsFailed(now time.Time, id uint64, asked time.Duration) {
	if id == n.vms.id && n.vms.running {
		n.finish(now, &n.vms, true, asked)
	}
}

// readBy notes that the platform was read at the given time.
func (n *Node) readBy(at time.Time) {
	if at.After(n.platform) {
		n.platform = at
	}
}

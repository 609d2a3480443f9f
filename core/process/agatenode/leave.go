package agatenode

import (
	"time"

	"agatereach/core/process/agatehandover"
	"agatereach/core/process/agatepeers"
)

// Leaving tells the peers that the process is about to stop.
func (n *Node) Leaving() {
	if n.members.Self().State == agatepeers.Live {
		n.members.SetSelf(n.members.Self().WithState(agatepeers.Leaving))
	}
}

// Leave hands the guard records over to a linked peer and says so in the
// process's last claim. Each record has at most agatetransfer.MaxRecord bytes.
func (n *Node) Leave(now time.Time, records [][]byte) {
	n.Leaving()
	n.send(n.handover.Start(now, records, n.successors()))
	n.tickHandover(now)
}

// Left reports whether the hand-over has ended, and the boot id of the process
// that took the records, 0 for none.
func (n *Node) Left() (successor uint64, ended bool) {
	switch n.handover.Phase() {
	case agatehandover.Committed:
		return n.handover.Successor(), true
	case agatehandover.Failed:
		return 0, true
	}
	return 0, false
}

// successors returns the linked peers that may take the records, those of this
// data centre first, otherwise in random order.
func (n *Node) successors() []uint64 {
	var local, remote []uint64
	for _, boot := range n.linked() {
		state, _ := n.members.State(boot)
		switch {
		case state != agatepeers.Live:
		case n.links[boot].claim.Centre == n.members.Self().Centre:
			local = append(local, boot)
		default:
			remote = append(remote, boot)
		}
	}
	for _, list := range [][]uint64{local, remote} {
		n.random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	}
	return append(local, remote...)
}

// tickHandover makes the last claim when the records have been handed over, or
// could not be.
func (n *Node) tickHandover(now time.Time) {
	if n.announced {
		return
	}
	switch n.handover.Phase() {
	case agatehandover.Sent:
		n.announced = true
		n.members.SetSelf(n.members.Self().WithSuccessor(n.handover.Successor()))
		n.flush(0)
		n.send(n.handover.Commit(now))
	case agatehandover.Failed:
		n.announced = true
		n.members.SetSelf(n.members.Self().WithState(agatepeers.Gone))
	}
}

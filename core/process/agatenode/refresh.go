package agatenode

import "time"

// refreshTimeout is how long an entry that reaches neither a peer nor the
// platform waits until it serves by what it holds.
const refreshTimeout = 10 * time.Second

// refresh is what must happen before flows may be opened.
type refresh struct {
	// starting says that the process has just started, and waking that it was
	// paused.
	starting, waking bool
	// since is when that was found out.
	since time.Time
	// ask is the number that peers return in their answers; 0 for none.
	ask uint64
	// answered says that a peer has returned it, and upto is the highest
	// number that any of them held.
	answered bool
	upto     uint64
}

// Stale reports whether flows must not be opened by what is held.
func (n *Node) Stale(now time.Time) bool {
	return n.refresh.starting || n.refresh.waking || n.pause.Since(now)
}

// wake begins a refresh: what is held is as old as the pause was long.
func (n *Node) wake(now time.Time) {
	n.refresh = refresh{waking: true, since: now, ask: n.random.Uint64() | 1, starting: n.refresh.starting}
	n.tickets.running, n.tickets.next = false, now
	n.excuse(now)
	for _, boot := range n.linked() {
		n.sendDigest(now, boot, 0, n.refresh.ask)
	}
}

// excuse gives the peers anew the time in which they must be heard: the silence of a pause is
// the process's own, and what they sent meanwhile waits unread.
func (n *Node) excuse(now time.Time) {
	n.awake = now
	n.members.Excuse(now)
	for _, l := range n.links {
		l.heard = now
	}
	for _, l := range n.lost {
		l.failed, l.at = false, now.Add(suspectAfter)
	}
}

// refreshed takes a peer's answer to the question asked after a pause.
func (n *Node) refreshed(reply, upto uint64) {
	if reply != n.refresh.ask {
		return
	}
	n.refresh.upto = max(n.refresh.upto, upto)
	n.refresh.answered = true
}

// readFresh takes a read of the platform: it began after the pause, since a
// pause abandons the read that is under way.
func (n *Node) readFresh() {
	if n.State().Lag() == 0 {
		n.refresh.waking = false
	}
}

// tickRefresh ends the refresh when what is held is as new as what the peers
// or the platform have, or when nobody can be asked.
func (n *Node) tickRefresh(now time.Time) {
	state := n.State()
	late := now.Sub(n.refresh.since) > refreshTimeout
	if n.refresh.starting && state.Upto() > 0 && (state.Lag() == 0 || late) {
		n.refresh.starting = false
	}
	if n.refresh.waking && (n.refresh.answered && state.Upto() >= n.refresh.upto || late && len(n.links) == 0) {
		n.refresh.waking = false
	}
}

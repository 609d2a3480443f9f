package agatenode

import (
	"time"

	"agatereach/core/process/agategraph"
	"agatereach/core/process/agatepeers"
)

// Times of links.
const (
	// suspectAfter is how long a broken link may be down before the peer is
	// suspected, and suspectAgain the time until it is suspected once more.
	suspectAfter = time.Second
	suspectAgain = 30 * time.Second
	// dialTimeout is how long a dial may take before another one is made.
	dialTimeout = 5 * time.Second
	// minRedial and maxRedial bound the wait after a failed dial.
	minRedial = 250 * time.Millisecond
	maxRedial = 8 * time.Second
	// replaceAfter is the number of failed dials after which another VM takes
	// the place of the target.
	replaceAfter = 3
	// settleTime is how long a link that is no longer needed is kept.
	settleTime = 30 * time.Second
)

// target is a VM that a link is made to.
type target struct {
	// dialAt is when the next dial is due.
	dialAt time.Time
	// failures counts the failed dials in a row.
	failures int
	// wanted says that the VM is among the graph's targets.
	wanted bool
}

// retarget brings the targets up to date with the members. VMs that cannot be
// reached are replaced by others, and still dialled now and then.
func (n *Node) retarget(now time.Time) {
	self := n.members.Self()
	nodes := n.members.Nodes()
	reachable := make([]agategraph.Node, 0, len(nodes))
	known := make(map[string]bool, len(nodes))
	for _, node := range nodes {
		known[node.Name] = true
		if t, found := n.targets[node.Name]; !found || t.failures < replaceAfter {
			reachable = append(reachable, node)
		}
	}
	for name, t := range n.targets {
		t.wanted = false
		if !known[name] {
			delete(n.targets, name)
		}
	}
	for _, node := range n.graph.Targets(agategraph.Node{Name: self.VM, Centre: self.Centre}, reachable) {
		t, found := n.targets[node.Name]
		if !found {
			t = &target{dialAt: now}
			n.targets[node.Name] = t
		}
		t.wanted = true
	}
	n.prune(now)
}

// prune ends one link that this process has made and no longer needs.
func (n *Node) prune(now time.Time) {
	for boot, l := range n.links {
		t, found := n.targets[l.claim.VM]
		if l.made && !(found && t.wanted) && now.Sub(l.since) > settleTime {
			n.effects.Drops = append(n.effects.Drops, Drop{Boot: boot, Planned: true})
			return
		}
	}
}

// tickLinks drops silent links and dials the targets that have none.
func (n *Node) tickLinks(now time.Time) {
	linked := make(map[string]bool, len(n.links))
	for boot, l := range n.links {
		linked[l.claim.VM] = true
		if now.Sub(l.heard) > linkTimeout {
			n.effects.Drops = append(n.effects.Drops, Drop{Boot: boot})
		}
	}
	if n.members.Self().State != agatepeers.Live {
		return
	}
	for name, t := range n.targets {
		due := !linked[name] && !now.Before(t.dialAt) && (t.wanted || t.failures > 0)
		if address, found := n.members.Link(name); due && found {
			t.dialAt = now.Add(dialTimeout)
			n.effects.Dials = append(n.effects.Dials, Dial{VM: name, Address: address})
		}
	}
}

// DialFailed says that a link could not be made.
func (n *Node) DialFailed(now time.Time, name string) {
	if _, found := n.targets[name]; !found {
		return
	}
	for _, l := range n.lost {
		l.failed = l.failed || l.vm == name
	}
	n.DialRefused(now, name)
}

// DialRefused says that the process of a VM takes no link now. It runs, so it is not
// suspected.
func (n *Node) DialRefused(now time.Time, name string) {
	t, found := n.targets[name]
	if !found {
		return
	}
	t.failures++
	wait := min(minRedial<<min(t.failures, 6), maxRedial)
	t.dialAt = now.Add(n.jitter(wait))
}

// lost is a peer whose link broke.
type lost struct {
	// vm is the name of the peer's VM.
	vm string
	// at is the time from which the peer may be suspected.
	at time.Time
	// failed says that a link could not be made since the last suspicion.
	failed bool
}

// lose notes that the link to a peer broke, and tries to make another one.
func (n *Node) lose(now time.Time, boot uint64, vm string) {
	n.lost[boot] = &lost{vm: vm, at: now.Add(suspectAfter)}
	t, found := n.targets[vm]
	if !found {
		t = &target{}
		n.targets[vm] = t
	}
	t.dialAt = now
	t.failures = max(t.failures, 1)
}

// found forgets the lost processes of a VM that has a link again.
func (n *Node) found(vm string) {
	for boot, l := range n.lost {
		if l.vm == vm {
			delete(n.lost, boot)
		}
	}
}

// suspectLost suspects the peers whose links broke and could not be made again.
func (n *Node) suspectLost(now time.Time) {
	for boot, l := range n.lost {
		state, known := n.members.State(boot)
		if !known || state == agatepeers.Gone || state == agatepeers.Leaving {
			delete(n.lost, boot)
			continue
		}
		if l.failed && !now.Before(l.at) {
			l.failed = false
			l.at = now.Add(suspectAgain)
			n.members.Suspect(now, boot)
		}
	}
}

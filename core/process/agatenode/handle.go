package agatenode

import (
	"time"

	"agatereach/core/process/agatemessage"
	"agatereach/core/process/agatesend"
	"agatereach/core/version/agatedigest"
)

const (
	// compareAfter is the number of digests in a row with another membership
	// before hashes are compared, and compareInterval the shortest time
	// between two comparisons.
	compareAfter    = 2
	compareInterval = 5 * time.Second
	// youth is how long a process after its start does not pass on what it
	// is told about the others: they know it already.
	youth = 10 * time.Second
	// forgetReach is how long the news of a data centre is passed on.
	forgetReach = time.Minute
)

// Handle takes a message of a linked peer.
func (n *Node) Handle(now time.Time, from uint64, m *agatemessage.Message) {
	l, found := n.links[from]
	if !found {
		return
	}
	l.heard = now
	n.reach[l.claim.Centre] = now
	n.members.Heard(now, from)
	switch m.Kind {
	case agatemessage.Digest:
		n.handleDigest(now, from, m.Digest)
	case agatemessage.Batch:
		n.send(n.exchange.Batch(now, from, m.Batch))
	case agatemessage.Want:
		n.send(n.exchange.Want(from, m.After, m.Whole))
	case agatemessage.None:
		n.send(n.exchange.None(now, from))
	case agatemessage.Page:
		n.send(n.exchange.Page(now, from, m.Page))
	case agatemessage.More:
		n.send(n.exchange.More(from))
	case agatemessage.Members:
		n.flush(0)
		n.handleMembers(now, m)
		if m.Sync && now.Sub(n.born) < youth {
			n.members.Known()
		}
		n.flush(from)
	case agatemessage.Buckets:
		n.handleBuckets(from, m)
	case agatemessage.Transfer:
		n.send(n.handover.Transfer(now, from, m.Transfer))
	case agatemessage.Receipt:
		n.send(n.handover.Receipt(now, from, m.Transfer))
		n.tickHandover(now)
	}
}

// handleDigest compares what the peer holds with what is held here.
func (n *Node) handleDigest(now time.Time, from uint64, d *agatedigest.Digest) {
	if d.Age >= 0 {
		n.readBy(now.Add(-time.Duration(d.Age) * time.Millisecond))
	}
	if n.links[from].claim.Centre == n.members.Self().Centre {
		n.noteReaches(now, d.Reaches)
	}
	n.send(n.exchange.Digest(now, from, d))
	if d.Ask != 0 {
		n.sendDigest(now, from, d.Ask, 0)
	}
	if d.Reply != 0 {
		n.refreshed(d.Reply, d.Upto)
	}
	n.compareMembers(now, from, d.Members)
}

// noteReaches takes which data centres other entries of this one have heard.
// What entries elsewhere have heard does not count: relayed datagrams go
// straight from one data centre to another.
func (n *Node) noteReaches(now time.Time, reaches []agatedigest.Reach) {
	for _, r := range reaches {
		heard := now.Add(-time.Duration(r.Age) * time.Millisecond)
		if heard.After(n.reach[r.Centre]) {
			n.reach[r.Centre] = heard
		}
	}
}

// compareMembers sends the hashes of the membership when the peer's has
// differed for a while.
func (n *Node) compareMembers(now time.Time, from, digest uint64) {
	l := n.links[from]
	switch {
	case digest == 0:
		return
	case digest == n.members.Digest():
		l.differing = 0
		return
	}
	l.differing++
	if l.differing >= compareAfter && now.Sub(l.compared) >= compareInterval {
		n.compare(now, from)
	}
}

// compare asks the peer for the claims that it holds and this process lacks.
func (n *Node) compare(now time.Time, to uint64) {
	n.links[to].compared = now
	n.links[to].differing = 0
	n.sendOne(to, &agatemessage.Message{Kind: agatemessage.Buckets, Hashes: n.members.Hashes()})
}

func (n *Node) handleBuckets(from uint64, m *agatemessage.Message) {
	claims, suspicions := n.members.Claims(m.Hashes)
	for len(claims)+len(suspicions) > 0 {
		message := &agatemessage.Message{Kind: agatemessage.Members, Sync: true}
		message.Claims, claims = cut(claims)
		message.Suspicions, suspicions = cut(suspicions)
		n.sendOne(from, message)
	}
}

// handleMembers takes claims and suspicions, and records handed over by a process
// whose last claim names this one.
func (n *Node) handleMembers(now time.Time, m *agatemessage.Message) {
	for _, claim := range m.Claims {
		n.members.Hear(now, claim)
		if claim.Successor == n.members.Self().Boot {
			n.adopt(claim.Boot)
		}
		if l, found := n.links[claim.Boot]; found && claim.Beat > l.claim.Beat {
			l.claim = claim
		}
	}
	for _, suspicion := range m.Suspicions {
		n.members.HearSuspicion(now, suspicion)
	}
}

func (n *Node) adopt(boot uint64) {
	if records, whole := n.handover.Claimed(boot); whole {
		n.effects.Handovers = append(n.effects.Handovers, Handover{Boot: boot, Records: records})
	}
}

// sendDigests sends a digest to every peer.
func (n *Node) sendDigests(now time.Time) {
	if len(n.links) == 0 {
		return
	}
	message := &agatemessage.Message{Kind: agatemessage.Digest, Digest: n.digest(now)}
	n.send([]agatesend.Send{{To: n.linked(), Message: message}})
}

// sendDigest sends a digest that answers or asks a question.
func (n *Node) sendDigest(now time.Time, to, reply, ask uint64) {
	digest := n.digest(now)
	digest.Reply, digest.Ask = reply, ask
	n.sendOne(to, &agatemessage.Message{Kind: agatemessage.Digest, Digest: digest})
}

// digest sums up what is held here.
func (n *Node) digest(now time.Time) *agatedigest.Digest {
	d := n.exchange.Announcement()
	d.Members = n.members.Digest()
	d.Age = n.Age(now)
	for centre, heard := range n.reach {
		age := max(now.Sub(heard), 0)
		if centre != n.members.Self().Centre && age < forgetReach {
			d.Reaches = append(d.Reaches, agatedigest.Reach{Centre: centre, Age: age.Milliseconds()})
		}
	}
	return d
}

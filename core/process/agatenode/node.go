// Package agatenode joins the decisions that an entry takes about the other
// entries: which links to keep, what to tell the peers, when to read the
// platform, and whether what is held may be stale. It does no I/O: whoever owns
// it carries out its Effects.
package agatenode

import (
	"math/rand/v2"
	"time"

	"agatereach/core/process/agatebudget"
	"agatereach/core/process/agateclaim"
	"agatereach/core/process/agateexchange"
	"agatereach/core/process/agategraph"
	"agatereach/core/process/agatehandover"
	"agatereach/core/process/agatemember"
	"agatereach/core/process/agatemessage"
	"agatereach/core/process/agatepause"
	"agatereach/core/process/agatepeers"
	"agatereach/core/process/agatereader"
	"agatereach/core/process/agatesend"
	"agatereach/core/version/agatedigest"
	"agatereach/core/version/agaterefusal"
	"agatereach/core/version/agatestate"
)

// Times of the node.
const (
	// digestInterval is the mean time between two digests to a peer.
	digestInterval = time.Second
	// linkTimeout is how long a link may be silent.
	linkTimeout = 4 * digestInterval
	// memberInterval is the shortest time between two looks at the whole
	// membership, and memberShare the time that is left for each member.
	memberInterval = time.Second
	memberShare    = 500 * time.Microsecond
	// reachTimeout is how long a data centre may be silent.
	reachTimeout = 6 * time.Second
	// pauseLimit is the longest gap between two ticks that is not a pause.
	pauseLimit = 2 * time.Second
)

// Node is what one entry process knows about the fleet. It is for one
// goroutine.
type Node struct {
	members  *agatemember.Members
	exchange *agateexchange.Exchange
	handover *agatehandover.Handover
	graph    agategraph.Graph
	reader   agatereader.Reader
	budget   agatebudget.Budget
	pause    *agatepause.Pause
	// random draws jitter, asked peers and numbers of questions.
	random *rand.Rand
	// born is when the process started, and awake when it started or last went on
	// after a pause.
	born, awake time.Time
	// links holds the linked peers by boot id.
	links map[uint64]*link
	// lost holds the peers whose link broke, by boot id.
	lost map[uint64]*lost
	// targets holds the VMs that links are made to, by name.
	targets map[string]*target
	// digestAt and membersAt are when the next digest is due and when the
	// membership is looked at next.
	digestAt, membersAt time.Time
	// reach holds when each other data centre was last heard.
	reach map[uint16]time.Time
	// platform is when the platform was last read by anyone that this process
	// has heard of; zero for never.
	platform time.Time
	// tickets and vms are the reads of the platform.
	tickets, vms reading
	// elected says that this process is a reader.
	elected bool
	// refresh is what must happen before flows may be opened.
	refresh refresh
	// announced says that the last claim has been sent.
	announced bool
	// effects is what has been decided since the last call of Effects.
	effects Effects
}

// link is a linked peer.
type link struct {
	claim agateclaim.Claim
	// made says that this process has made the link.
	made bool
	// heard is when the last message came, and since when the link came up.
	heard, since time.Time
	// differing counts the digests in a row with another membership.
	differing int
	// compared is when the hashes of the memberships were last sent.
	compared time.Time
}

// New returns the node of the process that makes the claim about itself.
func New(now time.Time, self agateclaim.Claim, options ...Option) *Node {
	s := settings{degree: defaultDegree, readers: defaultReaders, reads: defaultReads, seed: self.Boot}
	for _, option := range options {
		option(&s)
	}
	random := rand.New(rand.NewPCG(s.seed, self.Boot))
	return &Node{
		members:  agatemember.New(now, self),
		exchange: agateexchange.New(agatestate.New(self.Centre), random),
		handover: agatehandover.New(self.Boot),
		graph:    agategraph.New(s.degree),
		reader:   agatereader.New(s.readers),
		budget:   agatebudget.Budget{Reads: s.reads, Entries: 1, Readers: s.readers},
		pause:    agatepause.New(pauseLimit),
		random:   random,
		born:     now,
		awake:    now,
		links:    make(map[uint64]*link),
		lost:     make(map[uint64]*lost),
		targets:  make(map[string]*target),
		reach:    make(map[uint16]time.Time),
		refresh:  refresh{since: now, starting: true},
	}
}

// State returns the tickets in force.
func (n *Node) State() *agatestate.State { return n.exchange.State() }

// PeersChanged reports whether Peers would return something new.
func (n *Node) PeersChanged() bool { return n.members.Changed() }

// Peers returns the set of peers for the packet path.
func (n *Node) Peers(now time.Time) *agatepeers.Peers { return n.members.Peers(now) }

// Self returns what the process says about itself.
func (n *Node) Self() agateclaim.Claim { return n.members.Self() }

// Join adds a link over which the peer has made the given claim.
func (n *Node) Join(now time.Time, claim agateclaim.Claim, made bool) {
	n.links[claim.Boot] = &link{claim: claim, made: made, heard: now, since: now}
	n.found(claim.VM)
	n.members.Introduce(now, claim)
	n.exchange.Join(claim.Boot, claim.Centre)
	n.reach[claim.Centre] = now
	if t, found := n.targets[claim.VM]; found {
		t.failures = 0
	}
	n.sendDigest(now, claim.Boot, 0, n.refresh.ask)
	if count, _ := n.members.Listed(); n.members.Count() < max(count/2, len(n.links)+1) {
		n.compare(now, claim.Boot)
	}
}

// Close removes a link. A planned end is no reason to suspect the peer.
func (n *Node) Close(now time.Time, boot uint64, planned bool) {
	l, found := n.links[boot]
	if !found {
		return
	}
	delete(n.links, boot)
	n.send(n.exchange.Leave(now, boot))
	n.send(n.handover.Lost(now, boot))
	if !planned && l.claim.State == agatepeers.Live {
		n.lose(now, boot, l.claim.VM)
	}
}

// Tick lets time pass. It is to be called several times a second; a longer gap
// is taken as a pause of the process.
func (n *Node) Tick(now time.Time) {
	if n.pause.Beat(now) {
		n.wake(now)
	}
	if !now.Before(n.membersAt) {
		n.membersAt = now.Add(max(memberInterval, time.Duration(n.members.Count())*memberShare))
		n.tickMembers(now)
	}
	n.send(n.exchange.Tick(now))
	n.send(n.handover.Tick(now))
	n.tickHandover(now)
	if !now.Before(n.digestAt) {
		n.digestAt = now.Add(n.jitter(digestInterval))
		n.sendDigests(now)
	}
	n.suspectLost(now)
	n.tickLinks(now)
	n.tickReads(now)
	n.tickRefresh(now)
}

// tickMembers lets time pass for the membership and what follows from it.
func (n *Node) tickMembers(now time.Time) {
	n.members.SetReach(now, n.unreachable(now))
	n.members.Tick(now)
	live := n.members.Live(now)
	n.elected = n.reader.Elected(n.members.Self().VM, live)
	entries, centres := n.members.Size()
	n.budget = n.budget.WithEntries(entries, centres*n.reader.Count())
	n.retarget(now)
}

// unreachable returns the data centres that have not been heard for too long.
func (n *Node) unreachable(now time.Time) map[uint16]bool {
	silent := make(map[uint16]bool)
	for _, node := range n.members.Nodes() {
		if node.Centre == n.members.Self().Centre {
			continue
		}
		heard := n.reach[node.Centre]
		if heard.Before(n.awake) {
			heard = n.awake
		}
		if now.Sub(heard) > reachTimeout {
			silent[node.Centre] = true
		}
	}
	return silent
}

// jitter returns a random time around the mean, between half and one and a
// half of it.
func (n *Node) jitter(mean time.Duration) time.Duration {
	return time.Duration((0.5 + n.random.Float64()) * float64(mean))
}

func (n *Node) send(sends []agatesend.Send) {
	n.effects.Sends = append(n.effects.Sends, sends...)
}

func (n *Node) sendOne(to uint64, message *agatemessage.Message) {
	n.send([]agatesend.Send{{To: []uint64{to}, Message: message}})
}

// Elected reports whether the process watches the platform for others.
func (n *Node) Elected() bool { return n.elected }

// Age returns the time since the platform was read by anyone that this process
// has heard of, in milliseconds; -1 for never.
func (n *Node) Age(now time.Time) int64 {
	if n.platform.IsZero() {
		return agatedigest.Never
	}
	return max(now.Sub(n.platform).Milliseconds(), 0)
}

// Refused returns the newest tickets that failed their checks.
func (n *Node) Refused() []agaterefusal.Refusal { return n.exchange.Refused() }

// Counts returns the number of processes that are known, and of VMs on the
// platform's list.
func (n *Node) Counts() (members, vms int) {
	vms, _ = n.members.Listed()
	return n.members.Count(), vms
}

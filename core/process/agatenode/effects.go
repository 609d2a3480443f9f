package agatenode

import (
	"net/netip"
	"slices"
	"time"

	"agatereach/core/process/agatemessage"
	"agatereach/core/process/agatesend"
)

// Effects is what the owner of a node has to do.
type Effects struct {
	// Sends holds the messages to send, in their order.
	Sends []agatesend.Send
	// Dials holds the links to make.
	Dials []Dial
	// Drops holds the boot ids of the peers whose links must end: silent
	// ones, and those that are no longer needed.
	Drops []Drop
	// Tickets and VMs are reads of the platform to start; nil for none. Their
	// results go to TicketsRead and VMsRead. A new read replaces one of its
	// kind that is under way.
	Tickets, VMs *Read
	// Handovers holds guard records that this process has taken over.
	Handovers []Handover
}

// Dial is a link to make.
type Dial struct {
	// VM is the name of the VM.
	VM string
	// Address is where its process takes links.
	Address netip.AddrPort
}

// Drop is a link to end.
type Drop struct {
	// Boot is the boot id of the peer.
	Boot uint64
	// Planned says that the peer did nothing wrong.
	Planned bool
}

// Read is a read of the platform.
type Read struct {
	// ID numbers the reads of a kind.
	ID uint64
	// After is the ticket number or list version to read behind.
	After uint64
	// Wait is how long the platform shall hold the read.
	Wait time.Duration
}

// Handover is what a process has handed over.
type Handover struct {
	// Boot is the boot id of the process that has ended.
	Boot uint64
	// Records holds its guard records.
	Records [][]byte
}

// Effects returns what has been decided since the last call.
func (n *Node) Effects() Effects {
	n.flush(0)
	effects := n.effects
	n.effects = Effects{}
	return effects
}

// flush tells all linked peers what is new about the members, but for the one
// that it comes from; 0 for none.
func (n *Node) flush(from uint64) {
	claims, suspicions := n.members.News()
	if len(claims)+len(suspicions) == 0 {
		return
	}
	to := slices.DeleteFunc(n.linked(), func(boot uint64) bool { return boot == from })
	for len(to) > 0 && len(claims)+len(suspicions) > 0 {
		message := &agatemessage.Message{Kind: agatemessage.Members}
		message.Claims, claims = cut(claims)
		message.Suspicions, suspicions = cut(suspicions)
		n.send([]agatesend.Send{{To: to, Message: message}})
	}
}

// cut returns what fits into one message, and the rest.
func cut[T any](items []T) (first, rest []T) {
	count := min(len(items), agatemessage.MaxClaims)
	return items[:count:count], items[count:]
}

// linked returns the boot ids of the linked peers in rising order.
func (n *Node) linked() []uint64 {
	to := make([]uint64, 0, len(n.links))
	for boot := range n.links {
		to = append(to, boot)
	}
	slices.Sort(to)
	return to
}

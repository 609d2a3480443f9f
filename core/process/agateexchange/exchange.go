// Package agateexchange synchronizes the tickets of an entry with those of its
// linked peers. New tickets are pushed at once; digests reveal missing ones.
package agateexchange

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"agatereach/core/process/agatemessage"
	"agatereach/core/process/agatesend"
	"agatereach/core/version/agatebatch"
	"agatereach/core/version/agatedigest"
	"agatereach/core/version/agatelog"
	"agatereach/core/version/agatepager"
	"agatereach/core/version/agaterefusal"
	"agatereach/core/version/agatestate"
)

// Limits and thresholds.
const (
	// maxLogBytes limits the log of recent tickets.
	maxLogBytes = 2 << 20
	// maxPushBytes is the size of the largest batch that is pushed without a
	// request. A larger one is announced, so that each peer fetches it only
	// once.
	maxPushBytes = 8 << 10
	// maxReplyBytes limits a reply from the log.
	maxReplyBytes = 256 << 10
	// maxPageBytes limits a page of a snapshot.
	maxPageBytes = 64 << 10
	// maxPagers limits the number of peers that fetch a snapshot at a time.
	maxPagers = 16
	// maxRefused is the number of refused tickets that are kept.
	maxRefused = 32
	// repairThreshold is the number of consecutive digests that must differ
	// at the same ticket number before the whole state is fetched.
	repairThreshold = 2
)

// requestTimeout is how long a peer has to answer a request for tickets.
const requestTimeout = 2 * time.Second

// Exchange holds an entry's tickets and what is known of its peers' tickets. It
// is not safe for concurrent use.
type Exchange struct {
	// state reflects every ticket up to its Upto and no other.
	state *agatestate.State
	// log holds the newest tickets; it ends at the state's Upto.
	log *agatelog.Log
	// peers holds the linked peers by boot id.
	peers map[uint64]*peer
	// refused holds the newest tickets that failed their checks.
	refused []agaterefusal.Refusal
	// pending is the request for tickets that is not answered in full yet.
	pending pendingRequest
	// random selects the peer that a request goes to.
	random *rand.Rand
}

// peer is the state kept about one linked peer.
type peer struct {
	centre uint16
	// upto and head are the highest ticket numbers that the peer has
	// reported. upto includes numbers that were sent to it, and is the number
	// up to which it is assumed to hold tickets.
	upto, head uint64
	// failedUpto is the Upto of state when the peer last failed to deliver
	// the requested tickets.
	failedUpto uint64
	// unavailable is whether failedUpto is valid. The peer's next digest
	// resets it.
	unavailable bool
	// differingDigests is the number of consecutive digests of the peer that
	// differed from state at the same Upto.
	differingDigests int
	// pager divides the snapshot that the peer is fetching into pages; nil if
	// there is none.
	pager *agatepager.Pager
}

// pendingRequest is a request for tickets that a peer is answering.
type pendingRequest struct {
	// boot is the boot id of the peer that was asked; 0 for none.
	boot uint64
	// lastActivity is when the request was sent or the last page received.
	lastActivity time.Time
	// partial is the state with the pages received so far; nil before the
	// first one.
	partial *agatestate.State
	// nextPage is the index of the next page.
	nextPage int
	// upto is the number of the last ticket in the snapshot.
	upto uint64
}

// New returns an exchange with the given initial state and no peers.
func New(state *agatestate.State, random *rand.Rand) *Exchange {
	return &Exchange{state: state, log: agatelog.New(maxLogBytes), peers: make(map[uint64]*peer), random: random}
}

// State returns the state that follows from the tickets held.
func (x *Exchange) State() *agatestate.State { return x.state }

// Refused returns the newest tickets that failed their checks. The caller must
// not modify the slice.
func (x *Exchange) Refused() []agaterefusal.Refusal { return x.refused }

// Wanting reports whether a request for tickets is pending.
func (x *Exchange) Wanting() bool { return x.pending.boot != 0 }

// Behind reports whether a peer that can be asked holds tickets that are missing
// here.
func (x *Exchange) Behind() bool { return x.chooseSource() != 0 }

// Join adds a linked peer.
func (x *Exchange) Join(boot uint64, centre uint16) { x.peers[boot] = &peer{centre: centre} }

// Leave removes a peer whose link has ended. A request that it has not answered
// goes to another peer.
func (x *Exchange) Leave(now time.Time, boot uint64) []agatesend.Send {
	delete(x.peers, boot)
	if x.pending.boot != boot {
		return nil
	}
	x.pending = pendingRequest{}
	return x.requestMissing(now)
}

// Batch processes tickets from the peer from, or from the platform if from is 0.
func (x *Exchange) Batch(now time.Time, from uint64, batch *agatebatch.Batch) []agatesend.Send {
	x.recordPeerNumbers(from, batch.Upto, batch.Head)
	sends := x.merge(from, batch)
	if from != 0 && from == x.pending.boot && x.pending.partial == nil {
		x.pending = pendingRequest{}
	}
	return append(sends, x.requestMissing(now)...)
}

// merge applies the tickets of the batch that follow the state and forwards
// them. A batch that leaves a gap or holds nothing new is ignored.
func (x *Exchange) merge(from uint64, batch *agatebatch.Batch) []agatesend.Send {
	x.recordRefused(batch.Refused)
	x.state = x.state.WithHead(batch.Head)
	if batch.After > x.state.Upto() || batch.Upto <= x.state.Upto() {
		return nil
	}
	rest := batchAfter(batch, x.state.Upto())
	x.state = x.state.With(&rest)
	x.log.Add(rest)
	if x.pending.partial != nil {
		x.pending.partial = x.pending.partial.WithObjects(rest.Tickets, nil)
	}
	return x.push(from, &rest)
}

// batchAfter returns the batch without the tickets up to the given number.
func batchAfter(batch *agatebatch.Batch, number uint64) agatebatch.Batch {
	rest := *batch
	rest.After = number
	first := 0
	for first < len(rest.Tickets) && rest.Tickets[first].Number <= number {
		first++
	}
	rest.Tickets = rest.Tickets[first:]
	return rest
}

// push sends a batch of up to maxPushBytes to every peer that may lack it, but
// for the one that it came from, and announces a larger one.
func (x *Exchange) push(from uint64, batch *agatebatch.Batch) []agatesend.Send {
	size := 0
	for i := range batch.Tickets {
		size += batch.Tickets[i].Weight()
	}
	recipients := []uint64{}
	for boot, p := range x.peers {
		if boot != from && p.upto < batch.Upto {
			recipients = append(recipients, boot)
			if size <= maxPushBytes {
				p.upto = batch.Upto
			}
		}
	}
	if len(recipients) == 0 {
		return nil
	}
	slices.Sort(recipients)
	message := &agatemessage.Message{Kind: agatemessage.Batch, Batch: batch}
	if size > maxPushBytes {
		message = &agatemessage.Message{Kind: agatemessage.Digest, Digest: x.Announcement()}
	}
	return []agatesend.Send{{To: recipients, Message: message}}
}

// Announcement returns a digest that describes the tickets only.
func (x *Exchange) Announcement() *agatedigest.Digest {
	return &agatedigest.Digest{
		Upto: x.state.Upto(), Head: x.state.Head(), State: x.state.Digest(), Age: agatedigest.Never,
	}
}

// recordRefused adds refused tickets, each once, and keeps the newest.
func (x *Exchange) recordRefused(refused []agaterefusal.Refusal) {
	for _, r := range refused {
		if !slices.ContainsFunc(x.refused, func(k agaterefusal.Refusal) bool { return k.Ticket == r.Ticket }) {
			x.refused = append(x.refused, r)
		}
	}
	x.refused = slices.Clone(x.refused[max(len(x.refused)-maxRefused, 0):])
}

// recordPeerNumbers raises the ticket numbers known of a peer to those that it
// has reported.
func (x *Exchange) recordPeerNumbers(boot, upto, head uint64) {
	if p, found := x.peers[boot]; found {
		p.upto = max(p.upto, upto)
		p.head = max(p.head, head)
	}
}

// Digest processes a peer's digest. It requests tickets that are missing here,
// or the whole state if the states have differed at the same ticket number for
// repairThreshold digests and the peer is in the same data centre.
func (x *Exchange) Digest(now time.Time, from uint64, d *agatedigest.Digest) []agatesend.Send {
	p, found := x.peers[from]
	if !found {
		return nil
	}
	p.unavailable = false
	x.recordPeerNumbers(from, d.Upto, d.Head)
	x.state = x.state.WithHead(d.Head)
	if d.Upto != x.state.Upto() || d.State == x.state.Digest() {
		p.differingDigests = 0
		return x.requestMissing(now)
	}
	p.differingDigests++
	if p.differingDigests >= repairThreshold && p.centre == x.state.Centre() && x.pending.boot == 0 {
		p.differingDigests = 0
		return x.sendRequest(now, from, true)
	}
	return nil
}

// requestMissing requests missing tickets from a peer that holds them, unless a
// request is pending.
func (x *Exchange) requestMissing(now time.Time) []agatesend.Send {
	if x.pending.boot != 0 {
		return nil
	}
	if boot := x.chooseSource(); boot != 0 {
		return x.sendRequest(now, boot, false)
	}
	return nil
}

// chooseSource returns the boot id of a random peer that holds more tickets, of
// this data centre if there is one, or 0 if there is none. Peers that have failed
// to deliver the tickets after the current Upto are left out.
func (x *Exchange) chooseSource() uint64 {
	var local, remote []uint64
	for boot, p := range x.peers {
		switch {
		case p.upto <= x.state.Upto(), p.unavailable && p.failedUpto == x.state.Upto():
		case p.centre == x.state.Centre():
			local = append(local, boot)
		default:
			remote = append(remote, boot)
		}
	}
	candidates := local
	if len(candidates) == 0 {
		candidates = remote
	}
	if len(candidates) == 0 {
		return 0
	}
	slices.SortFunc(candidates, cmp.Compare)
	return candidates[x.random.IntN(len(candidates))]
}

// sendRequest requests from the peer the tickets after the current Upto, or a
// snapshot of the whole state.
func (x *Exchange) sendRequest(now time.Time, boot uint64, whole bool) []agatesend.Send {
	x.pending = pendingRequest{boot: boot, lastActivity: now}
	message := &agatemessage.Message{Kind: agatemessage.Want, After: x.state.Upto(), Whole: whole}
	return []agatesend.Send{{To: []uint64{boot}, Message: message}}
}

// Tick sends a request if one is due. A pending request that has timed out is
// given up and sent to another peer.
func (x *Exchange) Tick(now time.Time) []agatesend.Send {
	if x.pending.boot == 0 || now.Sub(x.pending.lastActivity) < requestTimeout {
		return x.requestMissing(now)
	}
	return x.None(now, x.pending.boot)
}

// None processes a peer's reply that it cannot deliver the requested tickets, and
// asks another peer.
func (x *Exchange) None(now time.Time, from uint64) []agatesend.Send {
	if from != x.pending.boot {
		return nil
	}
	if p, found := x.peers[from]; found {
		p.failedUpto, p.unavailable = x.state.Upto(), true
	}
	x.pending = pendingRequest{}
	return x.requestMissing(now)
}

package agateexchange

import (
	"time"

	"agatereach/core/process/agatemessage"
	"agatereach/core/process/agatesend"
	"agatereach/core/version/agatebatch"
	"agatereach/core/version/agatepage"
	"agatereach/core/version/agatepager"
)

// Want answers a peer's request for the tickets after a number: from the log if
// that reaches back far enough, or with the first page of a snapshot. Only a peer
// of the same data centre gets a snapshot.
func (x *Exchange) Want(from, after uint64, whole bool) []agatesend.Send {
	p, found := x.peers[from]
	if !found {
		return nil
	}
	p.pager = nil
	if batch, covered := x.log.After(after, maxReplyBytes); covered && !whole {
		batch.Head = max(batch.Head, x.state.Head())
		p.upto = max(p.upto, batch.Upto)
		return reply(from, &agatemessage.Message{Kind: agatemessage.Batch, Batch: batch})
	}
	hasNewer := x.state.Upto() > after || whole && x.state.Upto() > 0
	if !hasNewer || p.centre != x.state.Centre() || x.countPagers() >= maxPagers {
		return reply(from, &agatemessage.Message{Kind: agatemessage.None})
	}
	p.pager = agatepager.New(x.state)
	return x.More(from)
}

// countPagers returns the number of peers that are fetching a snapshot.
func (x *Exchange) countPagers() int {
	count := 0
	for _, p := range x.peers {
		if p.pager != nil {
			count++
		}
	}
	return count
}

// More answers a peer's request for the next page of its snapshot.
func (x *Exchange) More(from uint64) []agatesend.Send {
	p, found := x.peers[from]
	if !found || p.pager == nil {
		return reply(from, &agatemessage.Message{Kind: agatemessage.None})
	}
	page := p.pager.Next(maxPageBytes)
	if page.Index == 0 {
		page.Refused = x.refused
	}
	if page.Last {
		p.pager = nil
	}
	return reply(from, &agatemessage.Message{Kind: agatemessage.Page, Page: page})
}

// Page processes a page of a snapshot. The state does not change before the last
// page. Pages that are out of order or of another snapshot are ignored.
func (x *Exchange) Page(now time.Time, from uint64, page *agatepage.Page) []agatesend.Send {
	if from != x.pending.boot || page.Index != x.pending.nextPage || page.Index > 0 && page.Upto != x.pending.upto {
		return nil
	}
	if page.Index == 0 {
		x.pending.partial = x.state
		x.pending.upto = page.Upto
	}
	x.recordRefused(page.Refused)
	x.pending.lastActivity = now
	x.pending.nextPage++
	x.pending.partial = x.pending.partial.WithObjects(page.Tickets, page.Summaries)
	if !page.Last {
		return reply(from, &agatemessage.Message{Kind: agatemessage.More})
	}
	return x.installSnapshot(now, page)
}

// installSnapshot replaces the state by the complete snapshot, whose last page is
// page, and announces it.
func (x *Exchange) installSnapshot(now time.Time, page *agatepage.Page) []agatesend.Send {
	previous := x.state.Upto()
	x.state = x.pending.partial.WithUpto(max(previous, page.Upto)).WithHead(max(page.Head, x.state.Head()))
	x.pending = pendingRequest{}
	if x.state.Upto() == previous {
		return x.requestMissing(now)
	}
	x.log.Add(agatebatch.Batch{After: x.state.Upto(), Upto: x.state.Upto(), Head: x.state.Upto()})
	sends := x.announce()
	return append(sends, x.requestMissing(now)...)
}

// announce sends a digest to every peer that may lack tickets held here.
func (x *Exchange) announce() []agatesend.Send {
	recipients := []uint64{}
	for boot, p := range x.peers {
		if p.upto < x.state.Upto() {
			recipients = append(recipients, boot)
		}
	}
	if len(recipients) == 0 {
		return nil
	}
	message := &agatemessage.Message{Kind: agatemessage.Digest, Digest: x.Announcement()}
	return []agatesend.Send{{To: recipients, Message: message}}
}

// reply returns a message to a single peer.
func reply(to uint64, message *agatemessage.Message) []agatesend.Send {
	return []agatesend.Send{{To: []uint64{to}, Message: message}}
}

package agatelink

import (
	"context"
	"sync"

	"github.com/coder/websocket"

	"agatereach/core/process/agatemessage"
	"agatereach/core/process/agatering"
)

// link is one proved connection.
type link struct {
	// number is unique among the links of this process.
	number uint64
	// session is used by the reader for what comes and by the writer for what
	// goes; they share none of its fields that change.
	session *session
	conn    *websocket.Conn
	// made says that this process has made the connection.
	made bool
	// out joins the owner to the writer.
	out *agatering.Ring[[]byte]
	// done is closed when the link is to end.
	done chan struct{}
	once sync.Once
	// planned and reason say why it ends; set before done is closed.
	planned bool
	reason  error
}

// end lets the link end; only the first call counts.
func (l *link) end(planned bool, reason error) {
	l.once.Do(func() {
		l.planned, l.reason = planned, reason
		close(l.done)
	})
}

// register adds the link to the hub. Of two links to one peer, both ends keep
// the same one: the newer one made by the same end, else the one made by the
// process with the lower boot id.
func (h *Hub) register(l *link) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	boot := l.session.peer.Boot
	former, found := h.links[boot]
	if found {
		preferred := l.made == (h.self().Boot < boot)
		if former.made != l.made && !preferred {
			return &DuplicateError{Boot: boot}
		}
		former.end(true, &DuplicateError{Boot: boot})
	} else if len(h.links) >= h.settings.maxLinks {
		return &FullError{Limit: h.settings.maxLinks}
	}
	h.last++
	l.number = h.last
	h.links[boot] = l
	return nil
}

func (h *Hub) unregister(l *link) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if boot := l.session.peer.Boot; h.links[boot] == l {
		delete(h.links, boot)
	}
}

// Send gives the encoded message to each of the peers that is linked. A peer
// whose ring is full is dropped.
func (h *Hub) Send(to []uint64, message []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, boot := range to {
		l, found := h.links[boot]
		if found && !l.out.Put(message) {
			h.slow.Add(1)
			l.end(false, &SlowError{Boot: boot})
		}
	}
}

// Drop ends the link to the peer, if there is one.
func (h *Hub) Drop(boot uint64, planned bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if l, found := h.links[boot]; found {
		l.end(planned, &SlowError{Boot: boot})
	}
}

func (h *Hub) closeAll() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, l := range h.links {
		l.end(true, nil)
	}
	h.client.CloseIdleConnections()
}

// run reads and writes the link until it ends, and tells the owner.
func (h *Hub) run(ctx context.Context, l *link) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	h.events.Wait(ctx.Done(), Event{Kind: Joined, Link: l.number, Peer: l.session.peer, Made: l.made})
	go h.read(ctx, l)
	h.write(ctx, l)
	h.unregister(l)
	if l.planned {
		_ = l.conn.Close(websocket.StatusNormalClosure, "")
	}
	_ = l.conn.CloseNow()
	h.events.Wait(ctx.Done(), Event{Kind: Closed, Link: l.number, Peer: l.session.peer, Planned: l.planned, Err: l.reason})
}

// read gives what comes to the owner until the link ends.
func (h *Hub) read(ctx context.Context, l *link) {
	for {
		message, err := h.next(ctx, l)
		if err != nil {
			l.end(websocket.CloseStatus(err) == websocket.StatusNormalClosure, err)
			return
		}
		h.events.Wait(ctx.Done(), Event{Kind: Received, Link: l.number, Peer: l.session.peer, Message: message})
	}
}

func (h *Hub) next(ctx context.Context, l *link) (*agatemessage.Message, error) {
	sealed, err := receive(ctx, l.conn)
	if err != nil {
		return nil, err
	}
	h.received.Add(uint64(len(sealed)))
	text, err := l.session.open(sealed)
	if err != nil {
		return nil, err
	}
	message := new(agatemessage.Message)
	if err := message.Decode(text); err != nil {
		return nil, err
	}
	return message, nil
}

// write sends what waits until the link ends.
func (h *Hub) write(ctx context.Context, l *link) {
	for {
		select {
		case <-ctx.Done():
			l.end(true, ctx.Err())
			return
		case <-l.done:
			h.drain(ctx, l)
			return
		case message := <-l.out.Items():
			if err := h.writeOne(ctx, l, message); err != nil {
				l.end(false, err)
				return
			}
		}
	}
}

// drain sends what still waits when the link ends on purpose.
func (h *Hub) drain(ctx context.Context, l *link) {
	for l.planned && l.out.Len() > 0 {
		if h.writeOne(ctx, l, <-l.out.Items()) != nil {
			return
		}
	}
}

func (h *Hub) writeOne(ctx context.Context, l *link, message []byte) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	sealed := l.session.seal(message)
	h.sent.Add(uint64(len(sealed)))
	return l.conn.Write(ctx, websocket.MessageBinary, sealed)
}

// Package agatelink holds the links to other entries: WebSocket connections
// whose ends have proved to each other that they know the shared secret.
package agatelink

import (
	"context"
	"crypto/tls"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"

	"agatereach/core/process/agateclaim"
	"agatereach/core/process/agatemessage"
	"agatereach/core/process/agatering"
)

const (
	// shakeTimeout bounds the time from the connection to the proof.
	shakeTimeout = 3 * time.Second
	// writeTimeout bounds the time to write one message.
	writeTimeout = 5 * time.Second
	// outCapacity is the number of messages that wait for one peer.
	outCapacity = 256
	// eventCapacity is the number of events that wait for the owner.
	eventCapacity = 1024
	// maxShaking bounds the connections that are not proved yet.
	maxShaking = 64
	// path is where links are taken.
	path = "/v1/link"
)

// Kind says what an Event tells.
type Kind string

// The kinds of events.
const (
	// Joined tells that a link is up.
	Joined Kind = "joined"
	// Received brings a message.
	Received Kind = "received"
	// Closed tells that a link has ended.
	Closed Kind = "closed"
	// Failed tells that a dial has not led to a link.
	Failed Kind = "failed"
)

// Event is what a Hub tells its owner.
type Event struct {
	// Kind says what the event tells.
	Kind Kind
	// Link numbers the links of this process.
	Link uint64
	// Peer is what the peer says about itself; the zero value in Failed.
	Peer agateclaim.Claim
	// Made, in Joined, says that this process has made the link.
	Made bool
	// Message is set in Received.
	Message *agatemessage.Message
	// Planned, in Closed, says that an end has ended the link on purpose.
	Planned bool
	// VM, in Failed, is the name of the VM that was dialled.
	VM string
	// Err is the reason in Closed and Failed.
	Err error
}

// Stats counts what a Hub has done.
type Stats struct {
	// Links is the number of links that are up.
	Links int `json:"links"`
	// Sent and Received are the bytes of messages.
	Sent     uint64 `json:"sent"`
	Received uint64 `json:"received"`
	// Slow is the number of peers that were dropped because they did not
	// keep up, and Refused the number that were not let in.
	Slow    uint64 `json:"slow"`
	Refused uint64 `json:"refused"`
}

// Hub holds a process's links. It is safe for concurrent use.
type Hub struct {
	// self returns what this process says about itself now.
	self func() agateclaim.Claim
	// settings holds the options.
	settings settings
	// events joins the links to the owner.
	events *agatering.Ring[Event]
	// client makes connections.
	client *http.Client
	// shaking holds a token for each connection that is not proved.
	shaking chan struct{}

	mu sync.Mutex
	// links holds the links that are up by the peer's boot id.
	links map[uint64]*link
	// last is the number of the newest link.
	last uint64

	sent, received, slow, refused atomic.Uint64
}

// New returns a hub without links, and a function that ends all of them. The
// error is a *SecretError.
func New(self func() agateclaim.Claim, options ...Option) (*Hub, func(), error) {
	h := &Hub{
		self:     self,
		settings: settings{log: slog.Default(), maxLinks: defaultMaxLinks},
		events:   agatering.New[Event](eventCapacity),
		shaking:  make(chan struct{}, maxShaking),
		links:    make(map[uint64]*link),
	}
	for _, option := range options {
		option(&h.settings)
	}
	if len(h.settings.secret) < minSecret {
		return nil, nil, &SecretError{Have: len(h.settings.secret)}
	}
	transport := &http.Transport{DialContext: h.dialer().DialContext, DisableKeepAlives: true}
	if h.settings.certificates != nil {
		transport.TLSClientConfig = h.settings.certificates.Client()
	}
	h.client = &http.Client{Transport: transport}
	return h, h.closeAll, nil
}

func (h *Hub) dialer() *net.Dialer {
	dialer := &net.Dialer{Timeout: shakeTimeout}
	if h.settings.local.IsValid() {
		dialer.LocalAddr = &net.TCPAddr{IP: h.settings.local.AsSlice()}
	}
	return dialer
}

// Events returns the channel of what happens. It is never closed.
func (h *Hub) Events() <-chan Event { return h.events.Items() }

// Stats returns the counts.
func (h *Hub) Stats() Stats {
	h.mu.Lock()
	defer h.mu.Unlock()
	return Stats{
		Links: len(h.links), Sent: h.sent.Load(), Received: h.received.Load(),
		Slow: h.slow.Load(), Refused: h.refused.Load(),
	}
}

// Serve takes links at the listener until the context ends.
func (h *Hub) Serve(ctx context.Context, listener net.Listener) error {
	if h.settings.certificates != nil {
		listener = tls.NewListener(listener, h.settings.certificates.Server())
	}
	mux := http.NewServeMux()
	mux.HandleFunc(path, func(w http.ResponseWriter, r *http.Request) { h.take(ctx, w, r) })
	server := &http.Server{
		Handler: mux, ReadHeaderTimeout: shakeTimeout,
		ErrorLog: slog.NewLogLogger(h.settings.log.Handler(), slog.LevelDebug),
	}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return ctx.Err()
}

// take makes a link of an incoming connection.
func (h *Hub) take(ctx context.Context, w http.ResponseWriter, r *http.Request) {
	select {
	case h.shaking <- struct{}{}:
	default:
		h.refused.Add(1)
		http.Error(w, "too many connections", http.StatusServiceUnavailable)
		return
	}
	conn, err := websocket.Accept(w, r, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		<-h.shaking
		return
	}
	l, err := h.introduce(ctx, conn, taker)
	<-h.shaking
	if err != nil {
		h.refused.Add(1)
		h.settings.log.Warn("link refused", "from", r.RemoteAddr, "err", err)
		return
	}
	h.run(ctx, l)
}

// Dial makes a link to the process at the address. It returns at once; the
// outcome is an event.
func (h *Hub) Dial(ctx context.Context, vm string, address netip.AddrPort) {
	go func() {
		l, err := h.connect(ctx, address)
		if err != nil {
			h.events.Wait(ctx.Done(), Event{Kind: Failed, VM: vm, Err: err})
			return
		}
		h.run(ctx, l)
	}()
}

func (h *Hub) connect(ctx context.Context, address netip.AddrPort) (*link, error) {
	scheme := "ws"
	if h.settings.certificates != nil {
		scheme = "wss"
	}
	timed, cancel := context.WithTimeout(ctx, shakeTimeout)
	defer cancel()
	conn, response, err := websocket.Dial(timed, scheme+"://"+address.String()+path, &websocket.DialOptions{
		HTTPClient: h.client, CompressionMode: websocket.CompressionDisabled,
	})
	switch {
	case err != nil && response != nil && response.StatusCode == http.StatusServiceUnavailable:
		return nil, &BusyError{}
	case err != nil:
		return nil, err
	}
	return h.introduce(ctx, conn, dialler)
}

// introduce proves a connection and makes a link of it. It closes the
// connection when it fails.
func (h *Hub) introduce(ctx context.Context, conn *websocket.Conn, end role) (*link, error) {
	timed, cancel := context.WithTimeout(ctx, shakeTimeout)
	defer cancel()
	s, err := shake(timed, conn, h.settings.secret, h.self(), end)
	if err != nil {
		_ = conn.CloseNow()
		return nil, err
	}
	conn.SetReadLimit(agatemessage.MaxSize + tagSize)
	l := &link{
		session: s, conn: conn, made: end == dialler,
		out:  agatering.New[[]byte](outCapacity),
		done: make(chan struct{}),
	}
	if err := h.register(l); err != nil {
		_ = conn.CloseNow()
		return nil, err
	}
	return l, nil
}

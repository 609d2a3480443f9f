// Package agatevalve is a proxy between an entry and the store that fails as
// networks and overloaded stores do.
package agatevalve

import (
	"context"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"
)

// Mode says what the proxy does with calls.
type Mode string

// The modes.
const (
	// Open passes everything on.
	Open Mode = "open"
	// Slow holds each answer back for a while.
	Slow Mode = "slow"
	// Busy and Limited answer that the store does not serve now.
	Busy    Mode = "busy"
	Limited Mode = "limited"
	// Abort resets connections.
	Abort Mode = "abort"
	// Mute passes calls on and drops their answers.
	Mute Mode = "mute"
	// Silent drops everything.
	Silent Mode = "silent"
)

// Modes are those that fail.
var Modes = []Mode{Slow, Busy, Limited, Abort, Mute, Silent}

// refusals are the answers that the proxy gives in the store's place.
var refusals = map[Mode]string{
	Busy:    "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
	Limited: "HTTP/1.1 429 Too Many Requests\r\nContent-Length: 0\r\n\r\n",
}

const (
	// slowness is how long an answer is held back.
	slowness    = 400 * time.Millisecond
	dialTimeout = time.Second
	bufferSize  = 64 << 10
)

// Valve is a proxy. It is safe for concurrent use.
type Valve struct {
	listener net.Listener
	target   netip.AddrPort
	// cut reports whether the two ends cannot reach each other.
	cut   func() bool
	mutex sync.Mutex
	mode  Mode
	// conns are the connections that are open.
	conns map[*joint]struct{}
}

// joint is one connection with its far end.
type joint struct {
	near, far net.Conn
	// silent says that bytes were dropped, so that nothing more may pass.
	silent bool
}

// New starts a proxy at an address. The returned function ends it.
func New(at, target netip.AddrPort, cut func() bool) (*Valve, func(), error) {
	listener, err := net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(at))
	if err != nil {
		return nil, nil, err
	}
	v := &Valve{listener: listener, target: target, cut: cut, mode: Open, conns: make(map[*joint]struct{})}
	ctx, cancel := context.WithCancel(context.Background())
	go v.accept(ctx)
	return v, func() {
		cancel()
		_ = listener.Close()
		v.each(func(j *joint) { j.close() })
	}, nil
}

// Set changes the mode. Abort resets the connections that there are.
func (v *Valve) Set(mode Mode) {
	v.mutex.Lock()
	v.mode = mode
	v.mutex.Unlock()
	if mode == Abort {
		v.each(func(j *joint) { j.abort() })
	}
}

// Mode returns the mode in force.
func (v *Valve) Mode() Mode {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return v.mode
}

func (v *Valve) each(do func(*joint)) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	for j := range v.conns {
		do(j)
	}
}

func (v *Valve) accept(ctx context.Context) {
	for {
		conn, err := v.listener.Accept()
		if err != nil {
			return
		}
		go v.join(ctx, conn)
	}
}

// join joins a connection to the target until either end closes it.
func (v *Valve) join(ctx context.Context, near net.Conn) {
	far, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp4", v.target.String())
	if err != nil {
		_ = near.Close()
		return
	}
	j := &joint{near: near, far: far}
	v.mutex.Lock()
	v.conns[j] = struct{}{}
	v.mutex.Unlock()
	if v.Mode() == Abort {
		j.abort()
	}
	done := make(chan struct{}, 2)
	go v.pump(j, far, near, v.call, done)
	go v.pump(j, near, far, v.answer, done)
	<-done
	j.close()
	<-done
	v.mutex.Lock()
	delete(v.conns, j)
	v.mutex.Unlock()
}

// pump copies one way; pass says whether bytes are passed on.
func (v *Valve) pump(j *joint, to io.Writer, from io.Reader, pass func(*joint) bool, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buffer := make([]byte, bufferSize)
	for {
		size, err := from.Read(buffer)
		if size > 0 && pass(j) {
			if _, err := to.Write(buffer[:size]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// call decides on the bytes of a call.
func (v *Valve) call(j *joint) bool {
	mode := v.Mode()
	if refusal, ok := refusals[mode]; ok {
		_, _ = io.WriteString(j.near, refusal)
		return false
	}
	return v.passes(j, mode != Silent)
}

// answer decides on the bytes of an answer.
func (v *Valve) answer(j *joint) bool {
	mode := v.Mode()
	if mode == Slow {
		time.Sleep(slowness)
	}
	return v.passes(j, mode != Silent && mode != Mute)
}

// passes reports whether bytes pass. A connection that has dropped some passes
// nothing more.
func (v *Valve) passes(j *joint, open bool) bool {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	j.silent = j.silent || !open || v.cut()
	return !j.silent
}

func (j *joint) close() {
	_ = j.near.Close()
	_ = j.far.Close()
}

// abort closes both ends with a reset.
func (j *joint) abort() {
	for _, conn := range []net.Conn{j.near, j.far} {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	j.close()
}

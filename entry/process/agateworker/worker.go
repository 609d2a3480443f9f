// Package agateworker provides the goroutine that owns the dispatcher.
package agateworker

import (
	"context"
	"sync/atomic"
	"time"

	"agatereach/core/connection/agatesocket"
	"agatereach/core/process/agatedispatch"
	"agatereach/core/process/agatehealth"
	"agatereach/core/process/agatepeers"
	"agatereach/core/process/agatering"
	"agatereach/core/request/agateheader"
	"agatereach/core/request/agatekind"
	"agatereach/core/version/agateview"
	"agatereach/entry/process/agatefleet"
	"agatereach/entry/process/agatemetric"
	"agatereach/entry/process/agatequeue"
	"agatereach/entry/request/agaterefuse"
)

const (
	// tick is the time between two looks at what is due.
	tick = 10 * time.Millisecond
	// restTick is the same while the dispatcher waits for nothing.
	restTick = 100 * time.Millisecond
	// burst is the number of datagrams handled between two flushes.
	burst = 64
	// reports is the number of lists of health reports that wait.
	reports = 16
	// publishEvery is the time between two publications of the dispatcher's
	// state.
	publishEvery = time.Second
	// stuckAfter is the age of the last look from which the goroutine counts
	// as stuck.
	stuckAfter = 2 * time.Second
)

// World is what is known of the tickets and the other entries.
type World interface {
	// View returns the newest view, never nil.
	View() *agateview.View
	// Peers returns the newest set of entries, never nil.
	Peers() *agatepeers.Peers
	// Changed gets a notice after View or Peers has changed.
	Changed() <-chan struct{}
	// Stale reports that no flows must be opened.
	Stale() bool
	// Records brings the guard records of processes that have stopped.
	Records() <-chan agatefleet.Handover
}

// Parts is what a Worker works with; every field is set.
type Parts struct {
	// World is asked for changes.
	World World
	// Dispatcher is used by the worker's goroutine only.
	Dispatcher *agatedispatch.Dispatcher
	// Queue brings datagrams.
	Queue *agatequeue.Queue
	// Refuser bounds the refusals of opens, whose senders may be forged.
	Refuser *agaterefuse.Refuser
	// Metrics counts.
	Metrics *agatemetric.Metrics
	// Servers, Callers and Peers send.
	Servers, Callers, Peers *agatesocket.Outbox
}

// Worker feeds a dispatcher and sends what it puts out.
type Worker struct {
	Parts
	// toServers, toCallers and toPeers count.
	toServers, toCallers, toPeers *agatemetric.Path
	// tasks holds what is to be done in the worker's goroutine.
	tasks chan func(now time.Time) []agatedispatch.Output
	// health brings lists of health reports.
	health *agatering.Ring[[]agatehealth.Report]
	// seen is when the goroutine last looked at what is due, in nanoseconds
	// since 1970.
	seen atomic.Int64
	// state is the dispatcher's state a short while ago; never nil.
	state atomic.Pointer[agatedispatch.State]
	// published is when state was last stored.
	published time.Time
}

// New returns a worker; nothing happens before Run.
func New(parts Parts) *Worker {
	w := &Worker{
		Parts:     parts,
		toServers: parts.Metrics.Path("dispatcher", "server"),
		toCallers: parts.Metrics.Path("dispatcher", "caller"),
		toPeers:   parts.Metrics.Path("dispatcher", "peer"),
		tasks:     make(chan func(time.Time) []agatedispatch.Output),
		health:    agatering.New[[]agatehealth.Report](reports),
	}
	w.state.Store(new(agatedispatch.State))
	return w
}

// Health returns the ring that takes lists of health reports.
func (w *Worker) Health() *agatering.Ring[[]agatehealth.Report] { return w.health }

// Stuck reports whether the goroutine has not looked at its work for long.
func (w *Worker) Stuck(now time.Time) bool {
	return now.Sub(time.Unix(0, w.seen.Load())) > stuckAfter
}

// State returns the dispatcher's state as it was up to a second ago. It does
// not wait for the goroutine.
func (w *Worker) State() *agatedispatch.State { return w.state.Load() }

// Do runs task in the worker's goroutine, sends what it puts out and returns
// when it has run. The error is the context's.
func (w *Worker) Do(ctx context.Context, task func(now time.Time) []agatedispatch.Output) error {
	done := make(chan struct{})
	wrapped := func(now time.Time) []agatedispatch.Output {
		defer close(done)
		return task(now)
	}
	select {
	case w.tasks <- wrapped:
	case <-ctx.Done():
		return ctx.Err()
	}
	<-done
	return nil
}

// Run works until the context ends, which is no error.
func (w *Worker) Run(ctx context.Context) error {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	pace := tick
	w.refresh()
	for {
		select {
		case <-ctx.Done():
			return nil
		case in := <-w.Queue.Ring(agatequeue.Answers).Items():
			w.drain(in)
		case in := <-w.Queue.Ring(agatequeue.Requests).Items():
			w.drain(in)
		case in := <-w.Queue.Ring(agatequeue.Opens).Items():
			w.drain(in)
		case <-w.World.Changed():
			w.refresh()
		case h := <-w.World.Records():
			w.adopt(h)
		case list := <-w.health.Items():
			w.send(w.Dispatcher.SetHealth(time.Now(), list))
		case task := <-w.tasks:
			w.send(task(time.Now()))
		case <-ticker.C:
			w.look()
		}
		w.flush()
		if next := w.pace(); next != pace {
			pace = next
			ticker.Reset(pace)
		}
	}
}

// pace returns the time until the next look at what is due.
func (w *Worker) pace() time.Duration {
	if w.Dispatcher.Resting() {
		return restTick
	}
	return tick
}

// drain handles in and what waits behind it, up to a burst.
func (w *Worker) drain(in *agatedispatch.Input) {
	now := time.Now()
	w.Dispatcher.SetStale(w.World.Stale())
	w.handle(now, in)
	for range burst - 1 {
		in, found := w.Queue.Next()
		if !found {
			return
		}
		w.handle(now, in)
	}
}

// handle hands a datagram to the dispatcher and sends what it puts out. An open
// may be refused without a word, since anybody can send one in another's name.
func (w *Worker) handle(now time.Time, in *agatedispatch.Input) {
	open := in.Header.Kind == agatekind.Open
	outputs := w.Dispatcher.Handle(now, in)
	if open && len(outputs) == 1 && refuses(&outputs[0]) && !w.Refuser.Allow(now) {
		return
	}
	w.send(outputs)
}

// refuses reports whether the output is a refusal to a caller.
func refuses(out *agatedispatch.Output) bool {
	if out.To != agatedispatch.Caller {
		return false
	}
	kind, err := agateheader.Kind(out.Datagram)
	return err == nil && kind == agatekind.Refuse
}

// adopt takes over the guard records of a process that has stopped.
func (w *Worker) adopt(h agatefleet.Handover) {
	w.send(w.Dispatcher.Adopt(time.Now(), h.Boot, h.Records))
}

// adoptWaiting takes over the guard records that wait.
func (w *Worker) adoptWaiting() {
	for {
		select {
		case h := <-w.World.Records():
			w.adopt(h)
		default:
			return
		}
	}
}

// refresh hands the newest view and peers to the dispatcher, and before them the records of
// all flows whose guard this process is by these peers.
func (w *Worker) refresh() {
	now := time.Now()
	w.seen.Store(now.UnixNano())
	w.Dispatcher.SetStale(w.World.Stale())
	peers := w.World.Peers()
	w.adoptWaiting()
	w.send(w.Dispatcher.SetPeers(now, peers))
	w.send(w.Dispatcher.SetView(now, w.World.View()))
}

// look lets the dispatcher do what is due.
func (w *Worker) look() {
	now := time.Now()
	w.seen.Store(now.UnixNano())
	w.Dispatcher.SetStale(w.World.Stale())
	w.send(w.Dispatcher.Tick(now))
	w.publish(now)
}

// publish stores the dispatcher's state for whoever must not wait for it.
func (w *Worker) publish(now time.Time) {
	if now.Sub(w.published) < publishEvery {
		return
	}
	w.published = now
	if state, ok := w.Dispatcher.State().(agatedispatch.State); ok {
		w.state.Store(&state)
	}
}

// send adds the outputs to the outboxes.
func (w *Worker) send(outputs []agatedispatch.Output) {
	for i := range outputs {
		switch out := &outputs[i]; out.To {
		case agatedispatch.Server:
			w.Servers.Add(out.Address, out.Route.Append(w.Servers.Prefix()), out.Datagram)
		case agatedispatch.Caller:
			w.Callers.Add(out.Address, nil, out.Datagram)
		case agatedispatch.Peer:
			w.relay(out)
		}
	}
}

// relay frames an output for another entry.
func (w *Worker) relay(out *agatedispatch.Output) {
	framed, err := out.Frame.Append(w.Peers.Prefix(), out.Datagram, w.World.View().Ring())
	if err != nil {
		w.Metrics.Lost("dispatcher", agatemetric.Unreachable, 1)
		return
	}
	w.Peers.Add(out.Address, nil, framed)
}

// flush sends what waits and counts it.
func (w *Worker) flush() {
	w.toServers.Flush(w.Servers)
	w.toCallers.Flush(w.Callers)
	w.toPeers.Flush(w.Peers)
}

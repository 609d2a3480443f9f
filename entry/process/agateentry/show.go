package agateentry

import (
	"context"
	"runtime"
	"time"

	"agatereach/core/process/agatedispatch"
	"agatereach/core/version/agateview"
	"agatereach/entry/process/agateadmin"
	"agatereach/entry/process/agatefleet"
	"agatereach/entry/process/agatequeue"
	"agatereach/entry/version/agatereport"
)

// Summary describes a process and the sizes of its state.
type Summary struct {
	// VM, Centre and Boot name the process.
	VM     string `json:"vm"`
	Centre uint16 `json:"centre"`
	Boot   uint64 `json:"boot"`
	// Uptime is the time since the start in seconds.
	Uptime float64 `json:"uptime"`
	// Live, Ready and Draining are the health states.
	Live     bool `json:"live"`
	Ready    bool `json:"ready"`
	Draining bool `json:"draining"`
	// Stale says that no flows are opened.
	Stale bool `json:"stale"`
	// State counts what the tickets in force have set.
	State agatereport.Size `json:"state"`
}

// Dump is all of a process's state that may be shown; it holds no secrets.
type Dump struct {
	Summary
	// Fleet is what is known of tickets and peers.
	Fleet *agatefleet.Status `json:"fleet"`
	// Peers holds the other entries.
	Peers any `json:"peers"`
	// Dispatcher is the state of opens and requests.
	Dispatcher any `json:"dispatcher"`
	// Queue holds the rings from the receivers to the dispatcher.
	Queue map[agatequeue.Lane]Ring `json:"queue"`
	// Sockets holds the addresses that datagrams arrive at.
	Sockets []string `json:"sockets"`
	// Faults counts datagrams not served, by sender and fault.
	Faults map[string]float64 `json:"faults"`
	// Services and Rules are the newest held.
	Services []agatereport.Service `json:"services"`
	Rules    []agatereport.Ruleset `json:"rules"`
	// Goroutines and Heap are those of the Go runtime; Heap in bytes.
	Goroutines int    `json:"goroutines"`
	Heap       uint64 `json:"heap"`
}

// Ring describes a bounded ring.
type Ring struct {
	// Length and Capacity count items.
	Length   int `json:"length"`
	Capacity int `json:"capacity"`
	// Dropped counts items refused since the start.
	Dropped uint64 `json:"dropped"`
}

// View implements agateadmin.Process.
func (e *Entry) View() *agateview.View { return e.fleet.View() }

// Tickets implements agateadmin.Process.
func (e *Entry) Tickets() any { return e.fleet.Status() }

// Live implements agateadmin.Process.
func (e *Entry) Live() error {
	if e.worker.Stuck(time.Now()) {
		return &agateadmin.StateError{State: "live", Reason: "the dispatcher does not answer"}
	}
	return nil
}

// Ready implements agateadmin.Process.
func (e *Entry) Ready() error {
	reason := ""
	switch {
	case e.draining.Load():
		reason = "draining"
	case e.View().State().Upto() == 0:
		reason = "no tickets have been read"
	case len(e.View().Ring().Keys) == 0:
		reason = "no ticket has set a key ring"
	case e.fleet.Stale():
		reason = "the tickets held are stale"
	default:
		return e.Live()
	}
	return &agateadmin.StateError{State: "ready", Reason: reason}
}

// Draining implements agateadmin.Process.
func (e *Entry) Draining() error {
	if !e.draining.Load() {
		return &agateadmin.StateError{State: "draining", Reason: "no planned stop has begun"}
	}
	return nil
}

// Summary implements agateadmin.Process.
func (e *Entry) Summary() any { return e.summary() }

func (e *Entry) summary() Summary {
	self := e.fleet.Self()
	return Summary{
		VM:       self.VM,
		Centre:   self.Centre,
		Boot:     self.Boot,
		Uptime:   time.Since(e.started).Seconds(),
		Live:     e.Live() == nil,
		Ready:    e.Ready() == nil,
		Draining: e.draining.Load(),
		Stale:    e.fleet.Stale(),
		State:    agatereport.New(e.View()).Size(),
	}
}

// Peers implements agateadmin.Process.
func (e *Entry) Peers() any { return e.fleet.Peers().All() }

// Flows implements agateadmin.Process.
func (e *Entry) Flows(ctx context.Context) (any, error) {
	var state any
	err := e.worker.Do(ctx, func(time.Time) []agatedispatch.Output {
		state = e.worker.Dispatcher.State()
		return nil
	})
	return state, err
}

// Dump implements agateadmin.Process.
func (e *Entry) Dump(ctx context.Context) (any, error) {
	dispatcher, err := e.Flows(ctx)
	if err != nil {
		return nil, err
	}
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	report := agatereport.New(e.View())
	return &Dump{
		Summary:    e.summary(),
		Fleet:      e.fleet.Status(),
		Peers:      e.Peers(),
		Dispatcher: dispatcher,
		Queue:      e.rings(),
		Sockets:    e.sockets.addresses(),
		Faults:     e.metrics.Faults(),
		Services:   report.Services(),
		Rules:      report.Rules(),
		Goroutines: runtime.NumGoroutine(),
		Heap:       memory.HeapInuse,
	}, nil
}

// rings describes the rings to the dispatcher.
func (e *Entry) rings() map[agatequeue.Lane]Ring {
	rings := make(map[agatequeue.Lane]Ring)
	for _, lane := range agatequeue.Lanes() {
		r := e.queue.Ring(lane)
		rings[lane] = Ring{Length: r.Len(), Capacity: r.Cap(), Dropped: r.Dropped()}
	}
	return rings
}

// addresses returns where datagrams arrive.
func (s *sockets) addresses() []string {
	list := []string{"relay " + s.relay.Address().String(), "work " + s.work.Address().String()}
	for i := range s.lanes {
		list = append(list, "callers "+s.lanes[i].callers.Address().String(), "servers "+s.lanes[i].servers.Address().String())
	}
	return list
}

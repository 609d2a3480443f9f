package agateplatform

import (
	"context"
	"encoding/json"
	"math"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"agatereach/bench/agatecontrol"
	"agatereach/core/version/agateticket"
	"agatereach/core/version/agatevm"
	"agatereach/core/version/agatevmlist"
)

// Limits of the service that the stand-in takes the place of.
const (
	// maxBody bounds a batch, in bytes, with room for its own fields.
	maxBody = 1<<20 - 1<<10
	// maxWait bounds a waiting read.
	maxWait = 30 * time.Second
	// readBurst is the number of reads that are let through at once.
	readBurst = 200
)

// Settings are what the stand-in is started with.
type Settings struct {
	// Address is where it listens; empty for any free port of 127.0.0.1.
	Address string `json:"address"`
	// Rate is the number of reads a second that are served.
	Rate int `json:"rate"`
	// Lag is how long the list of VMs trails behind its changes.
	Lag time.Duration `json:"lag"`
	// Tickets are the first tickets, and VMs the first list.
	Tickets []agateticket.Ticket `json:"tickets"`
	VMs     []agatevm.VM         `json:"vms"`
}

// Mode says how the stand-in misbehaves.
type Mode struct {
	// Down makes it refuse every read.
	Down bool `json:"down"`
	// Stale makes it serve the state that it had when it became stale, less
	// the newest Back tickets.
	Stale bool   `json:"stale"`
	Back  uint64 `json:"back"`
}

// Restore makes the stand-in come back from a copy that lacks the newest Back tickets.
// Their numbers are given out again, in the next era.
type Restore struct {
	Back uint64 `json:"back"`
}

// Accepted says under which number a ticket was accepted, and when.
type Accepted struct {
	Number uint64 `json:"number"`
	// At is in microseconds since 1970.
	At int64 `json:"at"`
}

// Counts tells what was read.
type Counts struct {
	// Reads counts the calls, Refused those over the limit or while down.
	Reads   int `json:"reads"`
	Refused int `json:"refused"`
	// Peak is the largest number of reads in a second.
	Peak int `json:"peak"`
}

// Platform is the stand-in.
type Platform struct {
	limiter *rate.Limiter
	lag     time.Duration

	mu sync.Mutex
	// log, vms and mode are what is served.
	log  Log
	vms  agatevmlist.List
	mode Mode
	// bases holds the number of the last ticket kept by each restore.
	bases []uint64
	// ceiling is the newest ticket that is shown.
	ceiling uint64
	// changed is closed and replaced at each change.
	changed chan struct{}
	counts  Counts
	// second and inSecond count the reads of the running second.
	second   int64
	inSecond int
}

// Start starts the stand-in and its control calls. It returns its address.
func Start(_ context.Context, s Settings, mux *agatecontrol.Mux) (string, func(), error) {
	p := &Platform{
		limiter: rate.NewLimiter(rate.Limit(s.Rate), readBurst),
		lag:     s.Lag,
		vms:     agatevmlist.List{Version: 1, VMs: s.VMs},
		ceiling: math.MaxUint64,
		changed: make(chan struct{}),
	}
	for _, ticket := range s.Tickets {
		ticket.Accepted = time.Now().UnixMilli()
		if _, err := p.log.Append(ticket); err != nil {
			return "", nil, err
		}
	}
	agatecontrol.Handle(mux, "/publish", p.publish)
	agatecontrol.Handle(mux, "/vms", p.setVMs)
	agatecontrol.Handle(mux, "/mode", p.setMode)
	agatecontrol.Handle(mux, "/restore", p.restore)
	agatecontrol.Handle(mux, "/counts", p.getCounts)
	return p.listen(s.Address)
}

func (p *Platform) listen(address string) (string, func(), error) {
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return "", nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/tickets", p.serve(p.tickets))
	mux.HandleFunc("GET /v1/vms", p.serve(p.list))
	server := &http.Server{Handler: mux}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), func() { _ = server.Close() }, nil
}

func (p *Platform) publish(t agateticket.Ticket) (Accepted, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	t.Accepted = now.UnixMilli()
	number, err := p.log.Append(t)
	if err != nil {
		return Accepted{}, err
	}
	p.wake()
	return Accepted{Number: number, At: now.UnixMicro()}, nil
}

// setVMs changes the list after the lag.
func (p *Platform) setVMs(vms []agatevm.VM) (agatecontrol.None, error) {
	time.AfterFunc(p.lag, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.vms = agatevmlist.List{Version: p.vms.Version + 1, VMs: vms}
		p.wake()
	})
	return agatecontrol.None{}, nil
}

func (p *Platform) setMode(m Mode) (agatecontrol.None, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	p.ceiling = math.MaxUint64
	if m.Stale {
		p.ceiling = p.log.Head() - min(m.Back, p.log.Head())
	}
	p.wake()
	return agatecontrol.None{}, nil
}

// restore restores the copy and returns the number of its last ticket.
func (p *Platform) restore(r Restore) (uint64, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.log.Truncate(p.log.Head() - min(r.Back, p.log.Head()))
	p.bases = append(p.bases, p.log.Head())
	p.vms.Version -= min(r.Back, p.vms.Version-1)
	p.wake()
	return p.log.Head(), nil
}

func (p *Platform) getCounts(agatecontrol.None) (Counts, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts, nil
}

// wake wakes the waiting reads; p.mu is held.
func (p *Platform) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// admit counts a read and reports whether it may be served.
func (p *Platform) admit(now time.Time) (served, down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.Reads++
	if second := now.Unix(); second != p.second {
		p.second, p.inSecond = second, 0
	}
	p.inSecond++
	p.counts.Peak = max(p.counts.Peak, p.inSecond)
	served = !p.mode.Down && p.limiter.AllowN(now, 1)
	if !served {
		p.counts.Refused++
	}
	return served, p.mode.Down
}

// serve wraps a read: it counts it, refuses it or lets it wait for a change.
func (p *Platform) serve(read func(q query) (any, bool)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		served, down := p.admit(time.Now())
		if down {
			http.Error(w, "service is down", http.StatusServiceUnavailable)
			return
		}
		if !served {
			w.Header().Set("Retry-After", "1")
			http.Error(w, "too many reads", http.StatusTooManyRequests)
			return
		}
		q, err := parameters(r)
		if err != nil {
			http.Error(w, "after, era and wait must be numbers", http.StatusBadRequest)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(p.await(r.Context(), q, read))
	}
}

// await calls read until it has news or the wait is over.
func (p *Platform) await(ctx context.Context, q query, read func(query) (any, bool)) any {
	timer := time.NewTimer(q.wait)
	defer timer.Stop()
	for {
		p.mu.Lock()
		result, news := read(q)
		changed := p.changed
		p.mu.Unlock()
		if news {
			return result
		}
		select {
		case <-changed:
		case <-timer.C:
			return result
		case <-ctx.Done():
			return result
		}
	}
}

// era returns the number of restores plus 1; p.mu is held.
func (p *Platform) era() uint32 { return uint32(len(p.bases)) + 1 }

// tickets returns the batch behind the number that was asked for. Of an earlier era, only
// tickets up to the bases of the later ones are still there; p.mu is held.
func (p *Platform) tickets(q query) (any, bool) {
	after := q.after
	for era := max(q.era, 1); era < p.era(); era++ {
		after = min(after, p.bases[era-1])
	}
	batch := p.log.Batch(after, p.ceiling, maxBody)
	batch.Era, batch.Bases = p.era(), slices.Clone(p.bases)
	return batch, batch.Upto > after
}

// list returns the list of VMs; p.mu is held.
func (p *Platform) list(q query) (any, bool) {
	list := p.vms
	list.Era = p.era()
	return list, list.Version > q.after || max(q.era, 1) < list.Era
}

// query is what a read asks for.
type query struct {
	after uint64
	// era is that of after; 0 for the first.
	era  uint32
	wait time.Duration
}

// parameters decodes the query of a read.
func parameters(r *http.Request) (query, error) {
	var q query
	var seconds uint64
	for name, set := range map[string]func(uint64){
		"after": func(n uint64) { q.after = n },
		"era":   func(n uint64) { q.era = uint32(n) },
		"wait":  func(n uint64) { seconds = n },
	} {
		text := r.URL.Query().Get(name)
		if text == "" {
			continue
		}
		bits := 32
		if name == "after" {
			bits = 64
		}
		number, err := strconv.ParseUint(text, 10, bits)
		if err != nil {
			return q, err
		}
		set(number)
	}
	q.wait = min(time.Duration(seconds)*time.Second, maxWait)
	return q, nil
}

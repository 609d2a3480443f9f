package agatebalance

import (
	"fmt"
	"testing"
	"time"

	"agatereach/core/process/agateplacement"
	"agatereach/core/process/agateretry"
	"agatereach/core/request/agateclass"
	"agatereach/core/version/agateserver"

	"pgregory.net/rapid"
)

// model drives a balancer with random operations and tracks the expected state of
// every request.
type model struct {
	b   *Balancer
	now time.Time
	// serverOf maps the requests that are at a server to its number.
	serverOf map[uint64]uint32
	// waiting holds the requests that wait for a decision.
	waiting map[uint64]bool
	// classOf maps the requests to their classes.
	classOf map[uint64]agateclass.Class
	// servers holds the current servers by number.
	servers map[uint32]Server
	// draining holds the servers that reported that they are draining.
	draining map[uint32]bool
	// firstSends and sends count the first attempts and all attempts.
	firstSends, sends int
	// hasBeenSent holds the requests that were sent at least once.
	hasBeenSent map[uint64]bool
	// lastID is the ID of the newest request.
	lastID uint64
}

const retryReserve = 5

func newModel(t *rapid.T) *model {
	policy := rapid.SampledFrom(agateplacement.Names()).Draw(t, "policy")
	return &model{
		b: New(
			WithSeed(rapid.Uint64().Draw(t, "seed")),
			WithPolicy(string(policy)),
			WithQueue(rapid.IntRange(0, 8).Draw(t, "queue")),
			WithBudget(agateretry.WithShare(0.1), agateretry.WithCalm(0.1), agateretry.WithReserve(retryReserve)),
		),
		now: time.Unix(1000, 0), serverOf: map[uint64]uint32{}, waiting: map[uint64]bool{},
		classOf: map[uint64]agateclass.Class{}, servers: map[uint32]Server{}, draining: map[uint32]bool{},
		hasBeenSent: map[uint64]bool{},
	}
}

func (w *model) setServers(t *rapid.T) {
	var list []Server
	previous := w.servers
	w.servers = map[uint32]Server{}
	for id := uint32(1); id <= 5; id++ {
		if rapid.IntRange(0, 4).Draw(t, "present") == 0 {
			continue
		}
		s := Server{
			ID:          id,
			Incarnation: rapid.Uint64Range(1, 2).Draw(t, "incarnation"),
			Slots:       1 + int(id)%4,
			Connections: 10,
			State:       rapid.SampledFrom([]agateserver.State{agateserver.Up, agateserver.Up, agateserver.Cold, agateserver.Draining}).Draw(t, "state"),
			Ejected:     rapid.IntRange(0, 5).Draw(t, "ejected") == 0,
		}
		if previous[id].Incarnation != s.Incarnation {
			delete(w.draining, id)
		}
		list = append(list, s)
		w.servers[id] = s
	}
	w.apply(t, w.b.SetServers(w.now, list))
}

// apply checks the decisions and updates the model with them.
func (w *model) apply(t *rapid.T, decisions []Decision) {
	for _, d := range decisions {
		if !w.waiting[d.ID] {
			t.Fatalf("decision on a request that does not wait: %+v", d)
		}
		delete(w.waiting, d.ID)
		switch d.Action {
		case Send:
			w.checkServer(t, d)
			w.serverOf[d.ID] = d.Server
			w.sends++
			if !w.hasBeenSent[d.ID] {
				w.firstSends++
				w.hasBeenSent[d.ID] = true
			}
		case Wait:
			w.waiting[d.ID] = true
		case Refuse:
			if d.Reason == "" || d.Wait <= 0 {
				t.Fatalf("refusal without reason or hint: %+v", d)
			}
		default:
			t.Fatalf("unknown action: %+v", d)
		}
	}
}

func (w *model) checkServer(t *rapid.T, d Decision) {
	s, found := w.servers[d.Server]
	takers, ejected := 0, 0
	for id, o := range w.servers {
		if (o.State == agateserver.Up || o.State == agateserver.Cold) && !w.draining[id] {
			takers++
			if o.Ejected {
				ejected++
			}
		}
	}
	switch {
	case !found:
		t.Fatalf("sent to server %d that is not in the set", d.Server)
	case s.State == agateserver.Draining || w.draining[d.Server]:
		t.Fatalf("sent to server %d that is draining", d.Server)
	case s.Ejected && 2*ejected <= takers:
		t.Fatalf("sent to server %d that is ejected", d.Server)
	}
}

// check compares the balancer with the model.
func (w *model) check(t *rapid.T) {
	own, long := map[uint32]int{}, map[uint32]int{}
	total := 0
	for id, server := range w.serverOf {
		if m := w.b.jobs[id].member; !m.Removed() {
			own[server]++
			if w.classOf[id] == agateclass.Long {
				long[server]++
			}
		}
		total++
	}
	for id := range w.servers {
		m := w.b.pool.Member(id)
		if m.Own() != own[id] || m.Long() != long[id] {
			t.Fatalf("server %d: own %d long %d, want %d and %d", id, m.Own(), m.Long(), own[id], long[id])
		}
		if w.b.policy.Requeues() && (m.Long() > m.LongCap() || m.Own() > m.Server().Slots+1) {
			t.Fatalf("server %d exceeds its limits: own %d long %d of %d slots", id, m.Own(), m.Long(), m.Server().Slots)
		}
	}
	if w.b.inflight != total || w.b.queue.Len()+len(w.b.deferred) != len(w.waiting) {
		t.Fatalf("in flight %d, waiting %d, want %d and %d", w.b.inflight, w.b.queue.Len(), total, len(w.waiting))
	}
	if most := 0.1*float64(w.lastID) + 2*retryReserve; float64(w.sends-w.firstSends) > most {
		t.Fatalf("%d retries for %d requests", w.sends-w.firstSends, w.lastID)
	}
}

func (w *model) submit(t *rapid.T) {
	w.lastID++
	work := Work{
		ID:      w.lastID,
		Class:   rapid.SampledFrom([]agateclass.Class{agateclass.Short, agateclass.Long}).Draw(t, "class"),
		Arrived: w.now,
		Team:    rapid.SampledFrom([]string{"a", "b"}).Draw(t, "team"),
	}
	if left := rapid.IntRange(0, 200).Draw(t, "left"); left > 0 {
		work.Deadline = w.now.Add(time.Duration(left) * time.Millisecond)
	}
	w.classOf[work.ID] = work.Class
	w.waiting[work.ID] = true
	w.apply(t, []Decision{w.b.Submit(w.now, work)})
	if w.waiting[work.ID] || w.serverOf[work.ID] != 0 {
		if d := w.b.Submit(w.now, work); d.Action != Refuse {
			t.Fatalf("a request with a pending ID is not refused: %+v", d)
		}
	}
}

func (w *model) finishOne(t *rapid.T) {
	if len(w.serverOf) == 0 {
		return
	}
	id := pick(t, w.serverOf)
	r := rapid.SampledFrom([]Result{Answered, Shed, Shed, Retry, Failed, Timeout, Cancelled}).Draw(t, "result")
	delete(w.serverOf, id)
	if r == Shed || r == Retry {
		w.waiting[id] = true
	}
	w.apply(t, w.b.Done(w.now, id, r))
}

func (w *model) reportLoad(t *rapid.T) {
	id := rapid.Uint32Range(1, 6).Draw(t, "server")
	r := Report{
		Busy:     rapid.IntRange(0, 4).Draw(t, "busy"),
		Queued:   rapid.IntRange(0, 2).Draw(t, "queued"),
		Draining: rapid.IntRange(0, 9).Draw(t, "draining") == 0,
	}
	if _, found := w.servers[id]; found {
		w.draining[id] = r.Draining
	}
	w.apply(t, w.b.Report(w.now, id, r))
}

func pick(t *rapid.T, set map[uint64]uint32) uint64 {
	at := rapid.IntRange(0, len(set)-1).Draw(t, "which")
	for id := uint64(1); ; id++ {
		if _, found := set[id]; !found {
			continue
		}
		if at == 0 {
			return id
		}
		at--
	}
}

// TestConservation checks that every request is decided on exactly once, that
// the counts of every server match the model, and that requests are sent only to
// servers that accept work.
func TestConservation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newModel(t)
		w.setServers(t)
		w.check(t)
		steps := rapid.SliceOfN(rapid.IntRange(0, 9), 1, 120).Draw(t, "steps")
		for _, step := range steps {
			w.now = w.now.Add(time.Duration(rapid.IntRange(0, 10).Draw(t, "pause")) * time.Millisecond)
			switch step {
			case 0, 1, 2, 3:
				w.submit(t)
			case 4, 5, 6:
				w.finishOne(t)
			case 7:
				w.reportLoad(t)
			case 8:
				w.apply(t, w.b.Tick(w.now))
			case 9:
				if rapid.IntRange(0, 5).Draw(t, "change") == 0 {
					w.setServers(t)
				}
			}
			w.check(t)
		}
		w.drain(t)
	})
}

// drain ends all attempts and withdraws all waiting requests, one per step, and
// checks that none is left.
func (w *model) drain(t *rapid.T) {
	for range len(w.serverOf) + len(w.waiting) {
		w.now = w.now.Add(100 * time.Millisecond)
		w.apply(t, w.b.Tick(w.now))
		if len(w.serverOf) > 0 {
			id := pick(t, w.serverOf)
			delete(w.serverOf, id)
			w.apply(t, w.b.Done(w.now, id, Answered))
			continue
		}
		for id := range w.waiting {
			delete(w.waiting, id)
			w.apply(t, w.b.Done(w.now, id, Cancelled))
			break
		}
	}
	w.check(t)
	if len(w.b.jobs) != 0 || w.b.inflight != 0 || w.b.queue.Len() != 0 || w.b.queue.Cost() != 0 {
		t.Fatal(fmt.Sprint("left over: ", len(w.b.jobs), w.b.inflight, w.b.queue.Len(), w.b.queue.Cost()))
	}
}

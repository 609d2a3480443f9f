package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// beat is the time between two writes of a server, and beatsToLive the number of them
	// that it may miss.
	beat        = 1200 * time.Millisecond
	beatsToLive = 3
	// answerTime is how long the store takes for an answer.
	answerTime = 4 * time.Millisecond
	// pageItems and pageBytes bound an answer.
	pageItems = 500
	pageBytes = 1 << 20
)

// storeItem is an item, or its tombstone.
type storeItem struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Rev       int64  `json:"rev"`
	CreateRev int64  `json:"create_rev,omitempty"`
	Lease     int64  `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// store is the platform's metadata store.
type store struct {
	mutex   sync.Mutex
	rev     int64
	items   map[string]storeItem
	events  []storeItem
	beats   map[string]time.Duration
	changed chan struct{}
	record  *record
}

// newStore returns a store that listens at one address for each entry, so that it can tell
// them apart; places is the number of entries.
func newStore(g *ground, places int, r *record) (*store, error) {
	s := &store{
		items: make(map[string]storeItem), beats: make(map[string]time.Duration), changed: make(chan struct{}),
		record: r, rev: 1,
	}
	for p := 1; p <= places; p++ {
		l, err := net.Listen("tcp4", g.at(storeKind, p, g.store).String())
		if err != nil {
			return nil, err
		}
		go func() { _ = http.Serve(l, s.handler(p)) }()
	}
	go s.expire()
	return s, nil
}

// expire removes the entries of servers that are silent.
func (s *store) expire() {
	for range time.Tick(20 * time.Millisecond) {
		s.mutex.Lock()
		for key, at := range s.beats {
			if now()-at > beatsToLive*beat {
				delete(s.beats, key)
				s.remove(key)
			}
		}
		s.mutex.Unlock()
	}
}

// put writes an item and returns its revision.
func (s *store) put(key string, value []byte) int64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.write(key, value)
}

func (s *store) write(key string, value []byte) int64 {
	s.rev++
	i := storeItem{Key: key, Value: value, Rev: s.rev, CreateRev: s.rev}
	if known, ok := s.items[key]; ok {
		i.CreateRev = known.CreateRev
	}
	s.items[key] = i
	s.publish(i)
	return s.rev
}

// remove drops an item; the mutex is held.
func (s *store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.rev++
	delete(s.items, key)
	s.publish(storeItem{Key: key, Rev: s.rev, Tombstone: true})
	s.record.line("store: %s removed at revision %d", key, s.rev)
	s.record.removed(key)
}

func (s *store) publish(i storeItem) {
	s.events = append(s.events, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

// beat takes a server's write. The entry changes when more than its sequence does.
func (s *store) beat(key string, e serverEntry) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.beats[key] = now()
	var held serverEntry
	known, ok := s.items[key]
	if ok && json.Unmarshal(known.Value, &held) == nil {
		held.Sequence = e.Sequence
		if held == e {
			return
		}
	}
	value, _ := json.Marshal(e)
	s.write(key, value)
	s.record.line("store: %s is %s of %s at revision %d", key, e.State, e.Service, s.rev)
}

// leave removes the entry of a server that has left.
func (s *store) leave(key string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.beats, key)
	s.remove(key)
}

func (s *store) handler(entry int) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-range", func(w http.ResponseWriter, r *http.Request) { s.list(w, r, entry) })
	mux.HandleFunc("GET /kv-watch", s.watch)
	return mux
}

func answer(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) list(w http.ResponseWriter, r *http.Request, entry int) {
	time.Sleep(answerTime)
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mutex.Lock()
	if after == "" {
		s.record.line("store: entry %d lists at revision %d", entry, s.rev)
	}
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	items := []storeItem{}
	size := 0
	for _, key := range keys {
		if len(items) == pageItems || len(items) > 0 && size+len(s.items[key].Value) > pageBytes {
			break
		}
		size += len(s.items[key].Value)
		items = append(items, s.items[key])
	}
	body := map[string]any{"items": items, "has_more": len(items) < len(keys), "store_revision": s.rev}
	s.mutex.Unlock()
	answer(w, body)
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerTime)
	prefix := r.URL.Query().Get("prefix")
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(r.URL.Query().Get("wait_ms"), 10, 64)
	timeout := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timeout.Stop()
	for {
		s.mutex.Lock()
		events := []storeItem{}
		size, upTo := 0, s.rev
		for _, e := range s.events {
			if e.Rev <= after || !strings.HasPrefix(e.Key, prefix) {
				continue
			}
			if len(events) > 0 && size+len(e.Value) > pageBytes {
				upTo = events[len(events)-1].Rev
				break
			}
			size += len(e.Value)
			events = append(events, e)
		}
		changed := s.changed
		s.mutex.Unlock()
		if len(events) > 0 {
			answer(w, map[string]any{"events": events, "store_revision": upTo})
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			answer(w, map[string]any{"events": []storeItem{}, "store_revision": max(after, upTo)})
			return
		case <-r.Context().Done():
			return
		}
	}
}

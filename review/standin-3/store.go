package main

import (
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// pageItems and pageBytes bound a page of a listing, as PROTOCOL.md says: about 500 items or
// 1 MB.
const (
	pageItems = 500
	pageBytes = 1 << 20
)

// item is a record of the store or a tombstone.
type item struct {
	key       string
	value     []byte
	rev, born int64
	tombstone bool
	at        time.Time
}

// store is a stand-in of the platform's metadata store, read over HTTP. It keeps every write
// for history, so that a watch returns each item as it was written.
type store struct {
	history time.Duration
	mutex   sync.Mutex
	rev     int64
	items   map[string]item
	events  []item
	// dropped is the revision up to which the history is gone.
	dropped int64
	changed chan struct{}
	// cutWithin is the time within which a watch that waits is cut; 0 for no cuts.
	cutWithin time.Duration
}

func newStore(history time.Duration) *store {
	return &store{history: history, rev: 100, items: make(map[string]item), changed: make(chan struct{})}
}

// cutWatches has each watch that waits cut at a random time within the given one.
func (s *store) cutWatches(within time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.cutWithin = within
}

// put writes a value and returns the time of the confirmation.
func (s *store) put(key string, value []byte) time.Time {
	return s.write(item{key: key, value: value})
}

// putJSON writes a value as JSON.
func (s *store) putJSON(key string, value any) time.Time {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return s.put(key, text)
}

// remove deletes a key.
func (s *store) remove(key string) time.Time { return s.write(item{key: key, tombstone: true}) }

func (s *store) write(i item) time.Time {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.rev++
	i.rev, i.born, i.at = s.rev, s.rev, time.Now()
	if held, ok := s.items[i.key]; ok {
		i.born = held.born
	}
	if i.tombstone {
		delete(s.items, i.key)
	} else {
		s.items[i.key] = i
	}
	s.events = append(s.events, i)
	close(s.changed)
	s.changed = make(chan struct{})
	return i.at
}

// trim drops the history that is older than its time. The caller holds the mutex.
func (s *store) trim() {
	for len(s.events) > 0 && time.Since(s.events[0].at) > s.history {
		s.dropped = s.events[0].rev
		s.events = s.events[1:]
	}
}

// serve answers at an address until the returned function is called.
func (s *store) serve(address netip.AddrPort) (func(), error) {
	listener, err := net.Listen("tcp4", address.String())
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.key)
	mux.HandleFunc("GET /kv-range", s.list)
	mux.HandleFunc("GET /kv-watch", s.watch)
	server := &http.Server{Handler: mux}
	go func() { _ = server.Serve(listener) }()
	return func() { _ = server.Close() }, nil
}

// body converts an item to its form on the wire.
func (i item) body() map[string]any {
	if i.tombstone {
		return map[string]any{"key": i.key, "rev": i.rev, "tombstone": true}
	}
	return map[string]any{"key": i.key, "value": i.value, "rev": i.rev, "create_rev": i.born, "lease": 0}
}

func (s *store) key(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	held, ok := s.items[r.URL.Query().Get("key")]
	rev := s.rev
	s.mutex.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	body := held.body()
	body["store_revision"] = rev
	answer(w, body)
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	s.mutex.Lock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, query.Get("prefix")) && key > query.Get("after") {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	items, size, more := []map[string]any{}, 0, false
	for _, key := range keys {
		if len(items) == pageItems || len(items) > 0 && size+len(s.items[key].value) > pageBytes {
			more = true
			break
		}
		size += len(s.items[key].value)
		items = append(items, s.items[key].body())
	}
	rev := s.rev
	s.mutex.Unlock()
	answer(w, map[string]any{"items": items, "has_more": more, "store_revision": rev})
}

// watch answers as soon as there is an event after a revision, or after wait_ms.
func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, waitErr := strconv.Atoi(query.Get("wait_ms"))
	if err != nil || waitErr != nil || wait < 0 || wait > 30000 {
		http.Error(w, "bad query", http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	s.mutex.Lock()
	within := s.cutWithin
	s.mutex.Unlock()
	var cuts <-chan time.Time
	if within > 0 {
		cuts = time.After(rand.N(within))
	}
	for over := false; ; {
		s.mutex.Lock()
		s.trim()
		if after < s.dropped {
			s.mutex.Unlock()
			http.Error(w, "history is gone", http.StatusGone)
			return
		}
		events := []map[string]any{}
		for _, i := range s.events {
			if i.rev > after && strings.HasPrefix(i.key, query.Get("prefix")) {
				events = append(events, i.body())
			}
		}
		rev, changed := s.rev, s.changed
		s.mutex.Unlock()
		if len(events) > 0 || over {
			answer(w, map[string]any{"events": events, "store_revision": rev})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			over = true
		case <-cuts:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		}
	}
}

func answer(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

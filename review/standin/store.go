package main

import (
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the store, as the pages give them.
const (
	pageItems  = 500
	pageBytes  = 1 << 20
	valueBytes = 1 << 20
	maxWait    = 30 * time.Second
	history    = 20 * time.Second
	answerTime = 4 * time.Millisecond
)

// storeItem is an item of the store, or the tombstone of one.
type storeItem struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Rev       int64  `json:"rev"`
	CreateRev int64  `json:"create_rev,omitempty"`
	Lease     int64  `json:"lease"`
	at        time.Time
}

// tombstone is the event of a removed item.
type tombstone struct {
	Key       string `json:"key"`
	Rev       int64  `json:"rev"`
	Tombstone bool   `json:"tombstone"`
}

// store is a stand-in for the platform's metadata store.
type store struct {
	g      *ground
	server *http.Server
	mu     sync.Mutex
	rev    int64
	items  map[string]storeItem
	// events holds the changes of the last seconds, oldest first, and dropped the
	// revision of the newest one that was discarded. removed marks tombstones.
	events  []storeItem
	removed map[int64]bool
	dropped int64
	changed chan struct{}
	// watchers holds when each machine last asked.
	lastRead map[netip.Addr]time.Time
	watching map[netip.Addr]int
}

func newStore(g *ground) (*store, error) {
	s := &store{g: g, items: make(map[string]storeItem), removed: make(map[int64]bool), changed: make(chan struct{}), lastRead: make(map[netip.Addr]time.Time), watching: make(map[netip.Addr]int), rev: 10}
	listener, err := net.Listen("tcp4", s.address().String())
	if err != nil {
		return nil, err
	}
	s.server = &http.Server{Handler: s, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

func (s *store) address() netip.AddrPort { return netip.AddrPortFrom(s.g.at(kindStore, 1), s.g.store) }

// put writes an item and returns its revision. The return is the confirmation.
func (s *store) put(key string, value any) int64 {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	if len(text) > valueBytes {
		panic("value too large: " + strconv.Itoa(len(text)))
	}
	s.mu.Lock()
	s.rev++
	item := storeItem{Key: key, Value: text, Rev: s.rev, CreateRev: s.rev, at: time.Now()}
	if known, held := s.items[key]; held {
		item.CreateRev = known.CreateRev
	}
	s.items[key] = item
	s.add(item)
	rev := s.rev
	s.mu.Unlock()
	shown := string(text)
	if len(shown) > 400 {
		shown = shown[:200] + " .. " + strconv.Itoa(len(text)) + " bytes"
	}
	s.g.note("store: put %s rev %d %s", key, rev, shown)
	return rev
}

// remove deletes an item.
func (s *store) remove(key string) {
	s.mu.Lock()
	s.rev++
	delete(s.items, key)
	s.removed[s.rev] = true
	s.add(storeItem{Key: key, Rev: s.rev, at: time.Now()})
	rev := s.rev
	s.mu.Unlock()
	s.g.note("store: removed %s rev %d", key, rev)
}

// add appends an event, discards old history and wakes the watches. The lock is held.
func (s *store) add(item storeItem) {
	s.events = append(s.events, item)
	for len(s.events) > 0 && time.Since(s.events[0].at) > history {
		s.dropped = s.events[0].Rev
		s.events = s.events[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// readers returns the machines that have a watch waiting.
func (s *store) readers() []netip.Addr {
	s.mu.Lock()
	defer s.mu.Unlock()
	var readers []netip.Addr
	for machine, n := range s.watching {
		if n > 0 {
			readers = append(readers, machine)
		}
	}
	slices.SortFunc(readers, netip.Addr.Compare)
	return readers
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerTime)
	switch r.URL.Path {
	case "/kv-key":
		s.serveKey(w, r)
	case "/kv-range":
		s.serveRange(w, r)
	case "/kv-watch":
		s.serveWatch(w, r)
	default:
		http.NotFound(w, r)
	}
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	item, held := s.items[r.URL.Query().Get("key")]
	rev := s.rev
	s.mu.Unlock()
	if !held {
		http.NotFound(w, r)
		return
	}
	writeJSON(w, struct {
		storeItem
		At int64 `json:"store_revision"`
	}{item, rev})
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, q.Get("prefix")) && key > q.Get("after") {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	items, size, more := []storeItem{}, 0, false
	for _, key := range keys {
		if len(items) == pageItems || size > 0 && size+len(s.items[key].Value) > pageBytes {
			more = true
			break
		}
		items = append(items, s.items[key])
		size += len(s.items[key].Value)
	}
	rev := s.rev
	s.mu.Unlock()
	s.g.note("store: list by %s, %d items, more %v, revision %d", r.RemoteAddr, len(items), more, rev)
	writeJSON(w, map[string]any{"items": items, "has_more": more, "store_revision": rev})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, waitErr := strconv.Atoi(q.Get("wait_ms"))
	if err != nil || waitErr != nil {
		http.Error(w, "bad query", http.StatusBadRequest)
		return
	}
	machine := netip.MustParseAddrPort(r.RemoteAddr).Addr()
	s.mu.Lock()
	s.watching[machine]++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.watching[machine]--
		s.mu.Unlock()
	}()
	timer := time.NewTimer(min(time.Duration(wait)*time.Millisecond, maxWait))
	defer timer.Stop()
	for ended := false; ; {
		s.mu.Lock()
		for len(s.events) > 0 && time.Since(s.events[0].at) > history {
			s.dropped = s.events[0].Rev
			s.events = s.events[1:]
		}
		gone, events, bytes := after < s.dropped, []any{}, 0
		for _, e := range s.events {
			if e.Rev <= after || !strings.HasPrefix(e.Key, q.Get("prefix")) {
				continue
			}
			bytes += len(e.Value)
			if s.removed[e.Rev] {
				events = append(events, tombstone{Key: e.Key, Rev: e.Rev, Tombstone: true})
			} else {
				events = append(events, e)
			}
		}
		rev, changed := s.rev, s.changed
		s.mu.Unlock()
		if gone {
			s.g.note("store: watch by %s after %d: 410, the history begins after %d", r.RemoteAddr, after, s.dropped)
			http.Error(w, "gone", http.StatusGone)
			return
		}
		if len(events) > 0 || ended {
			if len(events) > 0 {
				s.g.note("store: watch by %s after %d: %d events with %d bytes of values, revision %d", r.RemoteAddr, after, len(events), bytes, rev)
			}
			writeJSON(w, map[string]any{"events": events, "store_revision": rev})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			ended = true
		case <-r.Context().Done():
			return
		}
	}
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

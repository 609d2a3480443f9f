// Package agatehistory keeps keyed items under rising revisions and the history of
// their changes, as a store does that is listed and watched. Stand-ins of such stores
// are built on it.
package agatehistory

import (
	"slices"
	"strings"
	"sync"
)

// Item is a record, and also an event of the history.
type Item struct {
	Key   string
	Value []byte
	// Revision is the revision of the change; above 0.
	Revision int64
	// Tombstone is whether the change deleted the record.
	Tombstone bool
}

// History holds the records and their history. It is safe for concurrent use.
type History struct {
	mutex sync.Mutex
	// items are sorted by key, events by revision.
	items, events []Item
	// revision is that of the newest change; events up to compacted were dropped.
	revision, compacted int64
	// changed is closed and replaced on every change.
	changed chan struct{}
}

// New returns a history without records at revision 1.
func New() *History { return &History{revision: 1, changed: make(chan struct{})} }

// Put stores a value under a key.
func (h *History) Put(key string, value []byte) { h.apply(Item{Key: key, Value: value}) }

// Delete deletes the record of a key.
func (h *History) Delete(key string) { h.apply(Item{Key: key, Tombstone: true}) }

// apply stores a change under the next revision.
func (h *History) apply(change Item) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.revision++
	change.Revision = h.revision
	index, exists := slices.BinarySearchFunc(h.items, change, func(a, b Item) int { return strings.Compare(a.Key, b.Key) })
	switch {
	case exists && change.Tombstone:
		h.items = slices.Delete(h.items, index, index+1)
	case exists:
		h.items[index] = change
	case !change.Tombstone:
		h.items = slices.Insert(h.items, index, change)
	}
	h.events = append(h.events, change)
	h.notify()
}

// Compact drops the events, so that a watch from an earlier revision fails.
func (h *History) Compact() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.events = nil
	h.compacted = h.revision
	h.notify()
}

// notify wakes all pending watches. The caller holds the mutex.
func (h *History) notify() {
	close(h.changed)
	h.changed = make(chan struct{})
}

// List returns up to limit records whose keys have the prefix and are above after, in
// the order of their keys, and whether there are more. The revision is that of the
// newest change.
func (h *History) List(prefix, after string, limit int) (items []Item, more bool, revision int64) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for _, candidate := range h.items {
		if !strings.HasPrefix(candidate.Key, prefix) || candidate.Key <= after {
			continue
		}
		if len(items) == limit {
			return items, true, h.revision
		}
		items = append(items, candidate)
	}
	return items, false, h.revision
}

// Events is what a watch finds.
type Events struct {
	// Items holds the events after the watched revision, and Revision is that of the
	// newest change.
	Items    []Item
	Revision int64
	// Missing is whether the history after the watched revision is not held.
	Missing bool
	// Changed is closed on the next change.
	Changed <-chan struct{}
}

// After returns the events after a revision.
func (h *History) After(revision int64) Events {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	first, _ := slices.BinarySearchFunc(h.events, revision+1, func(e Item, r int64) int { return int(e.Revision - r) })
	return Events{
		Items: slices.Clone(h.events[first:]), Revision: h.revision, Missing: revision < h.compacted, Changed: h.changed,
	}
}

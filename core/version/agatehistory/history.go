// Package agatehistory keeps keyed items under rising revisions and the history of
// their changes, as a store does that is listed and watched. Stand-ins of such stores
// are built on it.
package agatehistory

import (
	"bytes"
	"maps"
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
	state
	// era rises by one with each restore. requested holds the last change of each key,
	// whether a restore has lost it or not.
	era       uint32
	requested map[string]Item
	// changed is closed and replaced on every change.
	changed chan struct{}
}

// state is what a copy holds.
type state struct {
	// items are sorted by key, events by revision.
	items, events []Item
	// revision is that of the newest change; events up to compacted were dropped.
	revision, compacted int64
}

// New returns a history without records, in era 1 at revision 1.
func New() *History {
	return &History{state: state{revision: 1}, era: 1, requested: make(map[string]Item), changed: make(chan struct{})}
}

// Copy is the content of a history at one moment. It is immutable.
type Copy struct{ state }

// Copy returns a copy of the history.
func (h *History) Copy() *Copy {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	c := &Copy{h.state}
	c.items, c.events = slices.Clone(h.items), slices.Clone(h.events)
	return c
}

// Restore replaces the content by that of an earlier copy. Revisions after that of the
// copy are given out again. It returns the last change of each key that was lost, in the
// order of the keys.
func (h *History) Restore(c *Copy) []Item {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.state = c.state
	h.items, h.events = slices.Clone(c.items), slices.Clone(c.events)
	h.era++
	h.notify()
	var lost []Item
	for _, key := range slices.Sorted(maps.Keys(h.requested)) {
		if h.lacks(h.requested[key]) {
			lost = append(lost, h.requested[key])
		}
	}
	return lost
}

// Repeat applies the last change of a key again if it was lost.
func (h *History) Repeat(key string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if change, found := h.requested[key]; found && h.lacks(change) {
		h.apply(change)
	}
}

// lacks reports whether the records differ from what a change has led to.
func (h *History) lacks(change Item) bool {
	index, exists := h.find(change.Key)
	if change.Tombstone {
		return exists
	}
	return !exists || !bytes.Equal(h.items[index].Value, change.Value)
}

// find returns the index of a key among the items, or where it would be inserted, and
// reports whether it is there.
func (h *History) find(key string) (int, bool) {
	return slices.BinarySearchFunc(h.items, key, func(i Item, key string) int { return strings.Compare(i.Key, key) })
}

// Put stores a value under a key.
func (h *History) Put(key string, value []byte) { h.change(Item{Key: key, Value: value}) }

// Delete deletes the record of a key.
func (h *History) Delete(key string) { h.change(Item{Key: key, Tombstone: true}) }

func (h *History) change(change Item) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.requested[change.Key] = change
	h.apply(change)
}

// apply stores a change under the next revision. The caller holds the mutex.
func (h *History) apply(change Item) {
	h.revision++
	change.Revision = h.revision
	index, exists := h.find(change.Key)
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

// Listing is a page of the records.
type Listing struct {
	// Items are in the order of their keys, and More is whether there are more.
	Items []Item
	More  bool
	// Era and Revision are those of the newest change.
	Era      uint32
	Revision int64
}

// List returns up to limit records whose keys have the prefix and are above after.
func (h *History) List(prefix, after string, limit int) Listing {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	l := Listing{Era: h.era, Revision: h.revision}
	for _, candidate := range h.items {
		if !strings.HasPrefix(candidate.Key, prefix) || candidate.Key <= after {
			continue
		}
		if len(l.Items) == limit {
			l.More = true
			break
		}
		l.Items = append(l.Items, candidate)
	}
	return l
}

// Events is what a watch finds.
type Events struct {
	// Items holds the events after the watched revision. Era and Revision are those of
	// the newest change.
	Items    []Item
	Era      uint32
	Revision int64
	// Missing is whether the history after the watched revision is not held: it was
	// dropped, or the revision has not been given out in this era.
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
		Items: slices.Clone(h.events[first:]), Era: h.era, Revision: h.revision,
		Missing: revision < h.compacted || revision > h.revision, Changed: h.changed,
	}
}

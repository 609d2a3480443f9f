package agatehistory_test

import (
	"testing"

	"agatereach/core/version/agatehistory"
)

// TestRestoreReusesRevisions checks that a restore takes the revisions back, that they
// are given out again, and that lost changes can be repeated.
func TestRestoreReusesRevisions(t *testing.T) {
	h := agatehistory.New()
	h.Put("a", []byte("1"))
	c := h.Copy()
	h.Put("a", []byte("2"))
	h.Put("b", []byte("1"))
	h.Delete("a")
	before := h.After(0).Revision
	lost := h.Restore(c)
	if len(lost) != 2 || lost[0].Key != "a" || !lost[0].Tombstone || lost[1].Key != "b" {
		t.Fatalf("lost %+v", lost)
	}
	if l := h.List("", "", 9); l.Era != 2 || l.Revision != 2 || len(l.Items) != 1 || string(l.Items[0].Value) != "1" {
		t.Errorf("restored to %+v", l)
	}
	if !h.After(before).Missing {
		t.Errorf("a watch from revision %d is not refused", before)
	}
	h.Put("b", []byte("new"))
	for _, item := range lost {
		h.Repeat(item.Key)
	}
	if l := h.List("", "", 9); l.Revision != 4 || len(l.Items) != 1 || string(l.Items[0].Value) != "new" {
		t.Errorf("after the repeats: %+v", l)
	}
}

// TestWatch checks that a watch sees the events after its revision until they are
// compacted, and is woken by a change.
func TestWatch(t *testing.T) {
	h := agatehistory.New()
	h.Put("a", nil)
	found := h.After(1)
	if found.Missing || len(found.Items) != 1 || found.Revision != 2 {
		t.Fatalf("%+v", found)
	}
	h.Delete("a")
	select {
	case <-found.Changed:
	default:
		t.Error("not woken by a change")
	}
	h.Compact()
	if !h.After(2).Missing || h.After(3).Missing {
		t.Error("compacted up to a wrong revision")
	}
}

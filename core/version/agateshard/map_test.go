package agateshard_test

import (
	"maps"
	"testing"

	"pgregory.net/rapid"

	"agatereach/core/process/agateseed"
	"agatereach/core/version/agateshard"
)

func TestMain(m *testing.M) { agateseed.Main(m) }

func equal(a, b int) bool { return a == b }

// TestMapMatchesBuiltin makes random edits and checks that each map has the same
// content as a built-in map, also after later edits, and that Changes finds the
// keys that differ between any two maps.
func TestMapMatchesBuiltin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		versions := []agateshard.Map[int, int]{{}}
		want := []map[int]int{{}}
		key := rapid.IntRange(0, 600)
		for range rapid.IntRange(1, 12).Draw(t, "edits") {
			from := rapid.IntRange(0, len(versions)-1).Draw(t, "from")
			editor, plain := versions[from].Edit(), maps.Clone(want[from])
			for range rapid.IntRange(0, 20).Draw(t, "changes") {
				k := key.Draw(t, "key")
				if rapid.Bool().Draw(t, "delete") {
					editor.Delete(k)
					delete(plain, k)
					continue
				}
				v := rapid.IntRange(0, 3).Draw(t, "value")
				editor.Set(k, v)
				plain[k] = v
			}
			versions, want = append(versions, editor.Close()), append(want, plain)
		}
		for i, m := range versions {
			if got := maps.Collect(m.All()); !maps.Equal(got, want[i]) {
				t.Fatalf("map %d holds %v, want %v", i, got, want[i])
			}
		}
		a, b := rapid.IntRange(0, len(versions)-1).Draw(t, "a"), rapid.IntRange(0, len(versions)-1).Draw(t, "b")
		changed := make(map[int]bool)
		for k := range versions[a].Changes(versions[b], equal) {
			changed[k] = true
		}
		for k := range 601 {
			x, inX := want[a][k]
			y, inY := want[b][k]
			if changed[k] != (inX != inY || x != y) {
				t.Fatalf("key %d: changed %t, %d %t and %d %t", k, changed[k], x, inX, y, inY)
			}
		}
	})
}

// BenchmarkSet changes one key of a map of 120,000.
func BenchmarkSet(b *testing.B) {
	editor := agateshard.Map[int, int]{}.Edit()
	for i := range 120000 {
		editor.Set(i, i)
	}
	m := editor.Close()
	b.ReportAllocs()
	for b.Loop() {
		e := m.Edit()
		e.Set(77, 1)
		m = e.Close()
	}
}

// BenchmarkGet looks up one key of a map of 120,000.
func BenchmarkGet(b *testing.B) {
	editor := agateshard.Map[uint32, int]{}.Edit()
	for i := range uint32(120000) {
		editor.Set(i, 1)
	}
	m := editor.Close()
	b.ReportAllocs()
	for b.Loop() {
		m.Get(77)
	}
}

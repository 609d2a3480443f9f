package agatecatalog_test

import (
	"fmt"
	"net/netip"
	"runtime"
	"testing"

	"pgregory.net/rapid"

	"agatereach/core/version/agatecatalog"
	"agatereach/core/version/agateinstance"
	"agatereach/core/version/agatevip"
)

func instance(id uint64, born, revision int64) agateinstance.Instance {
	return agateinstance.Instance{
		Key: agateinstance.Key{ID: id, Born: born}, Revision: revision, Service: "map", Centre: "a", Slots: 3, State: agateinstance.Ready,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(id >> 16), byte(id >> 8), byte(id)}), 80),
	}
}

func with(c *agatecatalog.Catalog, records ...agateinstance.Instance) *agatecatalog.Catalog {
	next, _ := c.WithInstances(records)
	return next
}

// collide returns two keys that share the token of the given salt of the first.
func collide(t *testing.T) (a, b agateinstance.Key) {
	t.Helper()
	seen := make(map[uint32]agateinstance.Key)
	for id := uint64(1); id < 1<<20; id++ {
		key := agateinstance.Key{ID: id, Born: 1}
		if other, ok := seen[key.Token(0)]; ok {
			return other, key
		}
		seen[key.Token(0)] = key
	}
	t.Fatal("no collision among a million ids")
	return a, b
}

// TestCollision holds two servers that share a token: it names neither, and both
// get another one that names them alone.
func TestCollision(t *testing.T) {
	first, second := collide(t)
	c := with(new(agatecatalog.Catalog), instance(first.ID, 1, 1))
	shared, _ := c.Token(first)
	if got, found := c.Find(shared); found != agatecatalog.Found || got.Key != first {
		t.Errorf("alone: %s", found)
	}
	c = with(c, instance(second.ID, 1, 2))
	if _, found := c.Find(shared); found != agatecatalog.Ambiguous {
		t.Errorf("shared: %s", found)
	}
	for _, key := range []agateinstance.Key{first, second} {
		token, ok := c.Token(key)
		got, found := c.Find(token)
		if !ok || token == shared || found != agatecatalog.Found || got.Key != key {
			t.Errorf("server %x: token %x, %s", key.ID, token, found)
		}
	}
}

// TestTokens draws servers, restarts and removals: each token of a server leads
// to that incarnation and to no other.
func TestTokens(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := new(agatecatalog.Catalog)
		for i := range rapid.IntRange(1, 50).Draw(t, "records") {
			record := instance(rapid.Uint64Range(1, 20).Draw(t, "id"), rapid.Int64Range(1, 3).Draw(t, "born"), int64(i+1))
			if rapid.IntRange(0, 3).Draw(t, "gone") == 0 {
				record.State = agateinstance.Gone
			}
			c = with(c, record)
		}
		if rapid.Bool().Draw(t, "forget") {
			c = c.Without(func(agateinstance.Instance) bool { return true })
		}
		for _, held := range c.Instances() {
			token, ok := c.Token(held.Key)
			got, found := c.Find(token)
			if !ok || found != agatecatalog.Found || got != held || token == 0 {
				t.Fatalf("token %x of server %x: %s %x", token, held.ID, found, got.ID)
			}
			newest, _ := c.Newest(held.ID)
			if held.Born < newest.Born && held.State != agateinstance.Gone {
				t.Fatalf("server %x has two incarnations", held.ID)
			}
		}
	})
}

// TestOrder takes in the same records in two orders: the catalogs are the same.
func TestOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var records []agateinstance.Instance
		for i := range rapid.IntRange(1, 12).Draw(t, "records") {
			record := instance(rapid.Uint64Range(1, 4).Draw(t, "id"), 1, int64(i+1))
			if rapid.Bool().Draw(t, "draining") {
				record.State = agateinstance.Draining
			}
			records = append(records, record)
		}
		one := with(new(agatecatalog.Catalog), records...)
		other := new(agatecatalog.Catalog)
		for _, record := range rapid.Permutation(records).Draw(t, "order") {
			other = with(other, record)
		}
		if one.Digest() != other.Digest() || len(one.Instances()) != len(other.Instances()) {
			t.Fatal("two orders give two catalogs")
		}
		for i, held := range one.Instances() {
			if held != other.Instances()[i] {
				t.Fatalf("%+v and %+v", held, other.Instances()[i])
			}
		}
	})
}

// TestConfigIsMonotone keeps an older configuration out.
func TestConfigIsMonotone(t *testing.T) {
	vip := agatevip.VIP{
		Name: "feeds", Address: netip.MustParseAddrPort("198.18.0.1:443"), Kind: agatevip.Once,
		Shares: []agatevip.Share{{Service: "map", Weight: 1}},
	}
	c, _ := new(agatecatalog.Catalog).WithConfig(&agatecatalog.Config{Version: 5, VIPs: []agatevip.VIP{vip}})
	if _, changed := c.WithConfig(&agatecatalog.Config{Version: 5}); changed {
		t.Error("the same version was taken")
	}
	next, changed := c.WithConfig(&agatecatalog.Config{Version: 7})
	if _, found := next.VIP(vip.Address); !changed || found {
		t.Error("the newer version is not in force")
	}
	if _, found := c.VIP(vip.Address); !found {
		t.Error("the older catalog has changed")
	}
}

// TestReplaced tells whether an incarnation has ended by what came after it.
func TestReplaced(t *testing.T) {
	former := instance(1, 1, 1)
	c := with(new(agatecatalog.Catalog), former)
	if c.Replaced(former) {
		t.Error("replaced by itself")
	}
	heir := instance(2, 1, 2)
	heir.Address = former.Address
	if !with(c, heir).Replaced(former) {
		t.Error("not replaced by another server at its address")
	}
	if !with(c, instance(1, 2, 2)).Replaced(former) {
		t.Error("not replaced by its next start")
	}
}

// BenchmarkUpdate changes one server of a data centre, and of all, at the design
// size, and reports the memory that a catalog holds for a server.
func BenchmarkUpdate(b *testing.B) {
	for _, size := range []int{150, 6000, 120000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			var records []agateinstance.Instance
			for id := range uint64(size) {
				records = append(records, instance(id+1, 1, 1))
			}
			c := with(new(agatecatalog.Catalog), records...)
			records = nil
			runtime.GC()
			runtime.ReadMemStats(&after)
			perServer := float64(after.HeapAlloc-before.HeapAlloc) / float64(size)
			for i := 0; b.Loop(); i++ {
				c = with(c, instance(uint64(i%size)+1, 1, int64(i+2)))
			}
			b.ReportMetric(perServer, "B/server")
		})
	}
}

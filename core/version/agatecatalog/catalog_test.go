package agatecatalog_test

import (
	"fmt"
	"net/netip"
	"runtime"
	"testing"

	"pgregory.net/rapid"

	"agatereach/core/request/agateaddress"
	"agatereach/core/version/agatecatalog"
	"agatereach/core/version/agateinstance"
	"agatereach/core/version/agatevip"
)

func newInstance(id uint64, born, revision int64) agateinstance.Instance {
	return agateinstance.Instance{
		Key: agateinstance.Key{ID: id, StartTime: born, Address: agateaddress.Address{IP: [4]byte{10, byte(id >> 16), byte(id >> 8), byte(id)}, Port: 80}}, Revision: revision, Service: "map", Centre: "a", Slots: 3, State: agateinstance.Ready,
	}
}

func withInstances(c *agatecatalog.Catalog, records ...agateinstance.Instance) *agatecatalog.Catalog {
	next, _ := c.WithInstances(records)
	return next
}

// collidingKeys returns two keys whose tokens with salt 0 are equal.
func collidingKeys(t *testing.T) (a, b agateinstance.Key) {
	t.Helper()
	seen := make(map[uint32]agateinstance.Key)
	for id := uint64(1); id < 1<<20; id++ {
		key := newInstance(id, 1, 1).Key
		if other, ok := seen[key.Token(0)]; ok {
			return other, key
		}
		seen[key.Token(0)] = key
	}
	t.Fatal("no token collision among the first million ids")
	return a, b
}

// TestTokenCollision checks that a token shared by two servers is ambiguous, and
// that each of the two gets another token that is its own.
func TestTokenCollision(t *testing.T) {
	first, second := collidingKeys(t)
	c := withInstances(new(agatecatalog.Catalog), newInstance(first.ID, 1, 1))
	shared, _ := c.Token(first)
	if got, found := c.Find(shared); found != agatecatalog.Found || got.Key != first {
		t.Errorf("token of one server: lookup %s, want found", found)
	}
	c = withInstances(c, newInstance(second.ID, 1, 2))
	if _, found := c.Find(shared); found != agatecatalog.Ambiguous {
		t.Errorf("token of two servers: lookup %s, want ambiguous", found)
	}
	for _, key := range []agateinstance.Key{first, second} {
		token, ok := c.Token(key)
		got, found := c.Find(token)
		if !ok || token == shared || found != agatecatalog.Found || got.Key != key {
			t.Errorf("server %x: token %x, lookup %s", key.ID, token, found)
		}
	}
}

// TestTokens adds random servers, restarts and removals, and checks that the token
// of each incarnation finds that incarnation and that only the newest incarnation
// of a server is not gone.
func TestTokens(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := new(agatecatalog.Catalog)
		for i := range rapid.IntRange(1, 50).Draw(t, "records") {
			record := newInstance(rapid.Uint64Range(1, 20).Draw(t, "id"), rapid.Int64Range(1, 3).Draw(t, "born"), int64(i+1))
			if rapid.IntRange(0, 3).Draw(t, "gone") == 0 {
				record.State = agateinstance.Gone
			}
			c = withInstances(c, record)
		}
		if rapid.Bool().Draw(t, "forget") {
			c = c.WithoutGone(func(agateinstance.Instance) bool { return true })
		}
		for _, held := range c.Instances() {
			token, ok := c.Token(held.Key)
			got, found := c.Find(token)
			if !ok || found != agatecatalog.Found || got != held || token == 0 {
				t.Fatalf("token %x of server %x: lookup %s, server %x", token, held.ID, found, got.ID)
			}
			newest, _ := c.Newest(held.ID)
			if held.StartTime < newest.StartTime && held.State != agateinstance.Gone {
				t.Fatalf("server %x has an older incarnation that is not gone", held.ID)
			}
		}
	})
}

// TestRecordOrder checks that the order in which records are added doesn't change
// the resulting catalog.
func TestRecordOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var records []agateinstance.Instance
		for i := range rapid.IntRange(1, 12).Draw(t, "records") {
			record := newInstance(rapid.Uint64Range(1, 4).Draw(t, "id"), 1, int64(i+1))
			if rapid.Bool().Draw(t, "draining") {
				record.State = agateinstance.Draining
			}
			records = append(records, record)
		}
		sequential := withInstances(new(agatecatalog.Catalog), records...)
		permuted := new(agatecatalog.Catalog)
		for _, record := range rapid.Permutation(records).Draw(t, "order") {
			permuted = withInstances(permuted, record)
		}
		if sequential.Digest() != permuted.Digest() || len(sequential.Instances()) != len(permuted.Instances()) {
			t.Fatal("digests or numbers of instances differ between two orders")
		}
		for i, held := range sequential.Instances() {
			if held != permuted.Instances()[i] {
				t.Fatalf("instances differ between two orders: %+v and %+v", held, permuted.Instances()[i])
			}
		}
	})
}

// TestContradictingRecords adds records of one server with one start time and several
// addresses in random orders, and checks that the one written last is in force and that the
// others keep their addresses and tokens.
func TestContradictingRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var records []agateinstance.Instance
		for i := range rapid.IntRange(1, 8).Draw(t, "records") {
			record := newInstance(1, 1, int64(i+1))
			record.Address.IP[3] = byte(rapid.IntRange(1, 3).Draw(t, "address"))
			records = append(records, record)
		}
		last := records[len(records)-1]
		sequential := withInstances(new(agatecatalog.Catalog), records...)
		permuted := new(agatecatalog.Catalog)
		for _, record := range rapid.Permutation(records).Draw(t, "order") {
			permuted = withInstances(permuted, record)
		}
		if sequential.Digest() != permuted.Digest() {
			t.Fatal("digests differ between two orders")
		}
		for _, c := range []*agatecatalog.Catalog{sequential, permuted} {
			if got, _ := c.Newest(1); got != last {
				t.Fatalf("newest is %+v, want %+v", got, last)
			}
			for _, record := range records {
				held, _ := c.Instance(record.Key)
				if record.Key != last.Key && held.State != agateinstance.Gone {
					t.Fatalf("%+v is in force beside %+v", held, last)
				}
				if found, lookup := c.Find(record.Token(0)); lookup != agatecatalog.Found || found.Address != record.Address {
					t.Fatalf("token of %s: lookup %s, address %s", record.Address, lookup, found.Address)
				}
			}
		}
	})
}

// withChange returns the catalog with a record, or with the removal of what it holds of
// the record's server.
func withChange(c *agatecatalog.Catalog, record agateinstance.Instance, removed bool) *agatecatalog.Catalog {
	if !removed {
		return withInstances(c, record)
	}
	newest, held := c.Newest(record.ID)
	if !held {
		return c
	}
	return withInstances(c, newest.WithState(agateinstance.Gone, record.Position()))
}

// TestContradictingRecordsSpread lets two catalogs take over each other's records of a
// server with one start time and several addresses, of whose writes and removals each has
// missed some, and checks that both then hold what the last of them says.
func TestContradictingRecordsSpread(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var catalogs [2]*agatecatalog.Catalog
		var last agateinstance.Instance
		for i := range catalogs {
			catalogs[i] = new(agatecatalog.Catalog)
		}
		for i := range rapid.IntRange(1, 8).Draw(t, "changes") {
			record := newInstance(1, 1, int64(i+1))
			record.Address.IP[3] = byte(rapid.IntRange(1, 3).Draw(t, "address"))
			removed := rapid.IntRange(0, 3).Draw(t, "change") == 0
			for j := range catalogs {
				if !rapid.Bool().Draw(t, "seen") {
					continue
				}
				if next := withChange(catalogs[j], record, removed); next != catalogs[j] {
					catalogs[j], last = next, record
					if removed {
						last.State = agateinstance.Gone
					}
				}
			}
		}
		for range 2 {
			for j := range catalogs {
				for _, record := range rapid.Permutation(catalogs[1-j].Instances()).Draw(t, "order") {
					catalogs[j] = withInstances(catalogs[j], record)
				}
			}
		}
		if catalogs[0].Digest() != catalogs[1].Digest() {
			t.Fatalf("digests differ: %+v, %+v", catalogs[0].Instances(), catalogs[1].Instances())
		}
		got, held := catalogs[0].Newest(1)
		if inForce := held && got.State != agateinstance.Gone; inForce != (last.State == agateinstance.Ready) || inForce && got != last {
			t.Fatalf("newest is %+v, the last change %+v", got, last)
		}
	})
}

// TestContradicted checks that a registration at another address with the same start time
// is reported once, and a restart isn't.
func TestContradicted(t *testing.T) {
	own := newInstance(1, 1, 1)
	odd, restarted := newInstance(1, 1, 2), newInstance(1, 2, 3)
	odd.Address.Port++
	c := new(agatecatalog.Catalog)
	for i, want := range []int{0, 1, 0} {
		next := withInstances(c, []agateinstance.Instance{own, odd, restarted}[i])
		if got := next.Contradicted(c); len(got) != want || want == 1 && got[0].Key != own.Key {
			t.Errorf("record %d: %+v, want %d", i+1, got, want)
		}
		c = next
	}
}

// TestOlderConfigIgnored checks that only a configuration with a higher version
// is applied, and that the previous catalog stays as it was.
func TestOlderConfigIgnored(t *testing.T) {
	vip := agatevip.VIP{
		Name: "feeds", Address: netip.MustParseAddrPort("198.18.0.1:443"), Kind: agatevip.Once,
		Shares: []agatevip.Share{{Service: "map", Weight: 1}},
	}
	c, _ := new(agatecatalog.Catalog).WithConfig(&agatecatalog.Config{Version: 5, VIPs: []agatevip.VIP{vip}})
	if _, changed := c.WithConfig(&agatecatalog.Config{Version: 5}); changed {
		t.Error("configuration with the same version was applied")
	}
	next, changed := c.WithConfig(&agatecatalog.Config{Version: 7})
	if _, found := next.VIP(vip.Address); !changed || found {
		t.Error("newer configuration was not applied")
	}
	if _, found := c.VIP(vip.Address); !found {
		t.Error("previous catalog has changed")
	}
}

// TestSuccessor checks which incarnation receives what is sent to a former one.
func TestSuccessor(t *testing.T) {
	former := newInstance(1, 5, 1)
	again := newInstance(1, 6, 2)
	elsewhere := newInstance(1, 7, 3)
	elsewhere.Address = agateaddress.Address{IP: [4]byte{10, 9, 9, 9}, Port: 80}
	c := withInstances(new(agatecatalog.Catalog), former)
	for _, step := range []struct{ added, want agateinstance.Key }{
		{former.Key, former.Key}, {again.Key, again.Key}, {elsewhere.Key, former.Key},
	} {
		for _, record := range []agateinstance.Instance{former, again, elsewhere} {
			if record.Key == step.added {
				c = withInstances(c, record)
			}
		}
		held, _ := c.Instance(former.Key)
		if got := c.Successor(held); got.Key != step.want {
			t.Errorf("after %+v: successor %+v, want %+v", step.added, got.Key, step.want)
		}
	}
}

// BenchmarkUpdate changes one server in catalogs of several sizes, up to the
// 120,000 servers of the largest supported deployment, and reports the memory per
// server.
func BenchmarkUpdate(b *testing.B) {
	for _, size := range []int{150, 6000, 120000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			var records []agateinstance.Instance
			for id := range uint64(size) {
				records = append(records, newInstance(id+1, 1, 1))
			}
			c := withInstances(new(agatecatalog.Catalog), records...)
			records = nil
			runtime.GC()
			runtime.ReadMemStats(&after)
			perServer := float64(after.HeapAlloc-before.HeapAlloc) / float64(size)
			for i := 0; b.Loop(); i++ {
				c = withInstances(c, newInstance(uint64(i%size)+1, 1, int64(i+2)))
			}
			b.ReportMetric(perServer, "B/server")
		})
	}
}

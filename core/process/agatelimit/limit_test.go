package agatelimit_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"agatereach/core/process/agatelimit"
	"agatereach/core/version/agateteam"

	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

// TestOpenersBound checks that a prefix gets no more opens than its rate and
// burst allow, and that none within the burst is refused if no other prefix
// opens.
func TestOpenersBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const rate, burst = 100, 20
		o := agatelimit.NewOpeners(agatelimit.WithOpens(rate, burst), agatelimit.WithKeys(1, 2))
		now, allowed, asked := start, 0, 0
		for range rapid.IntRange(1, 200).Draw(t, "opens") {
			now = now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "pause")) * time.Millisecond)
			host := byte(rapid.IntRange(0, 255).Draw(t, "host"))
			asked++
			if o.Allow(now, 1, netip.AddrFrom4([4]byte{10, 1, 2, host})) {
				allowed++
			}
		}
		most := burst + rate*now.Sub(start).Seconds()
		if float64(allowed) > most+1e-6 {
			t.Fatalf("allowed %d, at most %.2f", allowed, most)
		}
		if asked <= burst && allowed != asked {
			t.Fatalf("allowed %d of %d within the burst", allowed, asked)
		}
	})
}

// TestOpenersIsolatePrefixes checks that a flood from one prefix is refused
// without refusing any other prefix.
func TestOpenersIsolatePrefixes(t *testing.T) {
	o := agatelimit.NewOpeners(agatelimit.WithOpens(10, 10), agatelimit.WithKeys(3, 4))
	for range 100000 {
		o.Allow(start, 1, netip.MustParseAddr("192.0.2.7"))
	}
	refused := 0
	for i := range 1000 {
		if !o.Allow(start, 1, netip.AddrFrom4([4]byte{10, byte(i >> 8), byte(i), 1})) {
			refused++
		}
	}
	if refused > 0 {
		t.Errorf("a flood from one prefix caused %d of 1000 other prefixes to be refused", refused)
	}
	if o.Allow(start, 1, netip.MustParseAddr("192.0.2.99")) {
		t.Error("an open from another host of the flooding prefix was allowed")
	}
}

func TestTeams(t *testing.T) {
	teams := agatelimit.NewTeams()
	teams.Set(start, []agateteam.Team{{Name: "map", Share: 1, Rate: 120}, {Name: "free", Share: 1}}, 6)
	count := func(now time.Time, team string) (allowed int) {
		for range 1000 {
			if teams.Allow(now, team) {
				allowed++
			}
		}
		return allowed
	}
	steps := []struct {
		after time.Duration
		team  string
		want  int
	}{
		{0, "map", 20},
		{0, "map", 0},
		{0, "free", 1000},
		{500 * time.Millisecond, "map", 10},
		{time.Hour, "map", 20},
	}
	now := start
	for i, s := range steps {
		now = now.Add(s.after)
		if got := count(now, s.team); got != s.want {
			t.Errorf("step %d: %d allowed, want %d", i, got, s.want)
		}
	}
	if got := teams.Wait(now, "map"); got != 50*time.Millisecond {
		t.Errorf("wait %v, want 50ms", got)
	}
}

func ExampleConcurrency() {
	c := agatelimit.NewConcurrency(1, 10, 20)
	c.Overloaded(start)
	c.Overloaded(start.Add(time.Millisecond))
	fmt.Println(c.Limit())
	for range 8 {
		c.Succeed(7)
	}
	fmt.Println(c.Limit())
	// Output:
	// 7
	// 8
}

func BenchmarkOpeners(b *testing.B) {
	o := agatelimit.NewOpeners()
	caller := netip.MustParseAddr("10.1.2.3")
	b.ReportAllocs()
	for i := range b.N {
		o.Allow(start.Add(time.Duration(i)), 1, caller)
	}
}

package agatesteer_test

import (
	"testing"
	"time"

	"agatereach/core/process/agatesteer"

	"agatereach/core/request/agateload"
	"agatereach/core/version/agateinstance"
)

// TestContradicted lets several entries suspect a server that this one has seen
// live since: it says so at once, and resets nothing.
func TestContradicted(t *testing.T) {
	w := newWorld(t)
	instance := w.server(1, "a", agateinstance.Ready)
	c := w.call(feeds)
	c.open()
	c.request()
	token, _ := w.catalog.Token(instance.Key)
	w.run(100 * ms)
	c.response()
	c.request()
	for _, from := range []string{"vm-2", "vm-3", "vm-4"} {
		w.steerer.Report(from, []agateload.Load{{Token: token, Missed: 1, Firm: 1, Since: 150}}, true, w.now)
	}
	if !w.steerer.TakeUrgent() {
		t.Error("nothing is said")
	}
	said := w.steerer.Suspicions(w.now)
	if len(said) != 1 || said[0].Token != token || said[0].Heard == 0 || said[0].Missed != 0 {
		t.Errorf("%+v", said)
	}
	if resets := w.run(600 * ms); len(resets) > 0 {
		t.Errorf("%d flows reset", len(resets))
	}
}

// TestOthersKnow lets several entries report a server that misses answers: its
// flows here are reset once nobody has contradicted them and their callers have
// repeated themselves here.
func TestOthersKnow(t *testing.T) {
	w := newWorld(t)
	instance := w.server(1, "a", agateinstance.Ready)
	w.server(2, "a", agateinstance.Ready)
	var c *call
	for c == nil || c.token == 0 {
		c = w.call(feeds)
		if v := c.open(); v.Server != 1 {
			c = nil
		}
	}
	w.run(400 * ms)
	c.request()
	token, _ := w.catalog.Token(instance.Key)
	report := func() {
		for _, from := range []string{"vm-2", "vm-3", "vm-4"} {
			w.steerer.Report(from, []agateload.Load{{Token: token, Missed: 1, Firm: 1, Since: 200}}, true, w.now)
		}
	}
	report()
	if resets := w.run(100 * ms); len(resets) > 0 {
		t.Error("a flow was reset before others could contradict")
	}
	w.steerer.Report("vm-5", []agateload.Load{{Token: token, Heard: 1}}, true, w.now)
	if resets := w.run(300 * ms); len(resets) > 0 {
		t.Error("a flow was reset though an entry has heard the server")
	}
	c.response()
	w.run(500 * ms)
	c.request()
	report()
	if resets := w.run(500 * ms); len(resets) > 0 {
		t.Error("a flow was reset whose caller has not repeated itself")
	}
	if v := c.again(); v.Action != agatesteer.Reset || v.Reason != agatesteer.Silent {
		t.Errorf("%s, %s for a flow that repeats itself, want a reset", v.Action, v.Reason)
	}
}

// TestOpinions tells once that a server is held silent, and once that it is back.
func TestOpinions(t *testing.T) {
	w := newWorld(t)
	for id := range uint64(4) {
		w.server(id+1, "a", agateinstance.Ready)
	}
	dead, calls := w.silence(16, orders)
	for _, c := range calls {
		c.again()
	}
	for _, want := range []struct{ changes int }{{1}, {0}} {
		got := w.steerer.Opinions(w.now)
		if len(got) != want.changes || want.changes == 1 && (got[0].Server != dead || got[0].Belief != agatesteer.HeldSilent || got[0].Missed < 2) {
			t.Errorf("%+v", got)
		}
	}
	calls[0].response()
	if got := w.steerer.Opinions(w.now); len(got) != 1 || got[0].Server != dead || got[0].Belief != agatesteer.TakenBack {
		t.Errorf("%+v", got)
	}
}

// TestBefore moves a flow whose server answers no SYN: the verdict names the server
// that it had before.
func TestBefore(t *testing.T) {
	w := newWorld(t)
	w.server(1, "a", agateinstance.Ready)
	w.server(2, "a", agateinstance.Ready)
	c := w.call(feeds)
	first := c.syn()
	w.run(200 * ms)
	moved := c.syn()
	if moved.Reason != agatesteer.Moved || moved.Server == first.Server || moved.Evidence.Before != first.Server || first.Evidence.Before != 0 {
		t.Errorf("%+v after %+v", moved, first)
	}
}

// TestRareStatements hears of the load of a server from an entry of a large data
// centre, which speaks each 4.5 s: its word counts until the next one, though one is
// lost, and not for ever.
func TestRareStatements(t *testing.T) {
	const interval = 4500 * ms
	w := newWorld(t)
	busy := w.server(1, "a", agateinstance.Ready)
	w.server(2, "a", agateinstance.Ready)
	token, _ := w.catalog.Token(busy.Key)
	for range 2 {
		w.run(interval)
		w.steerer.Report("vm-2", []agateload.Load{{Token: token, Waiting: 20 * agateload.Unit}}, false, w.now)
	}
	chosen := func() int {
		count := 0
		for range 4 {
			if w.call(orders).open().Server == 1 {
				count++
			}
		}
		return count
	}
	w.run(2*interval - ms)
	if got := chosen(); got > 0 {
		t.Errorf("%d flows went to the busy server before the next word", got)
	}
	w.run(30 * time.Second)
	if got := chosen(); got == 0 {
		t.Error("no flow goes to a server of which nobody speaks any more")
	}
}

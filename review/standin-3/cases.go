package main

import (
	"crypto/rand"
	"fmt"
	"net/netip"
	"sync"
	"syscall"
	"time"
)

// Another writer leaves foreignEntries entries at a time, foreignTurns times, foreignPause apart.
const (
	foreignEntries = 6
	foreignTurns   = 3
	foreignPause   = 5 * time.Second
)

// largeForeignEntries: another writer leaves some entries of value_bytes in the store. Then the
// operator drops a route and adds one, and a server drains.
func largeForeignEntries(w *world, trouble bool) (int, error) {
	kept, dropped, added := w.newRoute("kept", 1), w.newRoute("dropped", 2), w.newRoute("added", 3)
	clients, err := w.fleet([]route{kept, dropped})
	if err != nil {
		return 0, err
	}
	stop, group := make(chan struct{}), &sync.WaitGroup{}
	w.load(clients, kept, 150*time.Millisecond, stop, group)
	w.load(clients, dropped, 600*time.Millisecond, stop, group)
	w.load(clients, added, 600*time.Millisecond, stop, group)
	time.Sleep(2 * time.Second)
	for turn := range foreignTurns {
		if turn > 0 {
			time.Sleep(foreignPause)
		}
		for i := range foreignEntries {
			if !trouble {
				break
			}
			value := make([]byte, valueBytes)
			_, _ = rand.Read(value)
			key := fmt.Sprintf("servers/i-5a%04x%02x", turn, i)
			w.store.put(key, value)
			w.note("another writer leaves %d bytes that can't be read under %s", len(value), key)
		}
	}
	time.Sleep(2 * time.Second)
	changed := w.configure([]route{kept, added}, "booking")
	leaving := w.servers[0]
	draining := leaving.register("draining")
	time.Sleep(drainTime + 5*time.Second)
	leaving.stop()
	w.store.remove(leaving.key())
	// The store keeps the events for history_s.
	time.Sleep(historyTime - 5*time.Second)
	close(stop)
	group.Wait()
	if !w.running() {
		return 0, fmt.Errorf("an entry has ended")
	}
	return w.judgeDrain(leaving, draining) + w.judgeConfig(changed, dropped, added), nil
}

// judgeConfig counts the requests that were sent later than config_ms after the confirmation of
// a config and handled as only the version before allows.
func (w *world) judgeConfig(confirmed time.Time, dropped, added route) int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	ran := make(map[string]bool)
	for _, r := range w.runs {
		ran[r.id] = true
	}
	old, refused, served := 0, 0, 0
	var last time.Time
	for _, a := range w.attempts {
		switch {
		case !a.sent.After(confirmed.Add(configTime)):
		case a.route == dropped.name && ran[a.id]:
			old++
			last = a.sent
		case a.route == added.name && !a.opened:
			refused++
			last = a.sent
		case a.route == added.name:
			served++
		}
	}
	w.mutex.Unlock()
	w.report("CONFIG: of the requests sent later than %s after the confirmation at %.3f, %d were run on the dropped route, and %d on the added route were refused, %d served",
		configTime, w.since(confirmed), old, refused, served)
	if old+refused > 0 {
		w.report("the last of those that broke the rule was sent %.3f s after the confirmation", last.Sub(confirmed).Seconds())
	}
	w.mutex.Lock()
	return old + refused
}

// earlierBorn: a server starts while the time of day of its machine is ahead, crashes, and
// starts again under its id once the time of day has jumped back. Later it drains.
func earlierBorn(w *world, trouble bool) (int, error) {
	kept := w.newRoute("kept", 1)
	clients, err := w.fleet([]route{kept})
	if err != nil {
		return 0, err
	}
	stop, group := make(chan struct{}), &sync.WaitGroup{}
	w.load(clients, kept, 100*time.Millisecond, stop, group)
	time.Sleep(time.Second)
	ahead := time.Duration(0)
	if trouble {
		ahead = 2400 * time.Millisecond
		w.note("the time of day of a server's machine is %s ahead", ahead)
	}
	address := netipAt(w, 40, 9)
	first, err := w.boot(0x7f0000aa, "booking", w.zones[0], address, 3, 47*time.Millisecond, time.Now().Add(ahead))
	if err != nil {
		return 0, err
	}
	time.Sleep(1200 * time.Millisecond)
	first.stop()
	w.note("the time of day of that machine is right again")
	time.Sleep(300 * time.Millisecond)
	again, err := w.boot(0x7f0000aa, "booking", w.zones[0], address, 3, 47*time.Millisecond, time.Now())
	if err != nil {
		return 0, err
	}
	time.Sleep(touchTime + 2*time.Second)
	draining := again.register("draining")
	time.Sleep(drainTime + 5*time.Second)
	again.stop()
	w.store.remove(again.key())
	time.Sleep(3 * time.Second)
	close(stop)
	group.Wait()
	if !w.running() {
		return 0, fmt.Errorf("an entry has ended")
	}
	return w.judgeDrain(again, draining), nil
}

// readerKilled: a server is cut off from the store, which removes its entry. Within a second the
// entry process that reads the store for its zone loses power.
func readerKilled(w *world, trouble bool) (int, error) {
	kept := w.newRoute("kept", 1)
	clients, err := w.fleet([]route{kept})
	if err != nil {
		return 0, err
	}
	stop, group := make(chan struct{}), &sync.WaitGroup{}
	w.load(clients, kept, 100*time.Millisecond, stop, group)
	time.Sleep(2 * time.Second)
	silent := w.servers[0]
	w.note("server %08x no longer reaches the store", silent.id)
	time.Sleep(3 * beatTime)
	removed := w.store.remove(silent.key())
	w.note("the store removes the entry of server %08x after three intervals of silence", silent.id)
	time.Sleep(600 * time.Millisecond)
	var reader *entry
	readers := w.store.readers()
	for _, e := range w.entries {
		for _, name := range readers {
			if e.name == name && e.zone == silent.zone {
				reader = e
			}
		}
	}
	w.note("readers: %v", readers)
	if reader == nil {
		return 0, fmt.Errorf("no reader found in the zone")
	}
	if trouble {
		w.note("entry %s loses power", reader.name)
		reader.signal(syscall.SIGKILL)
		time.Sleep(3500 * time.Millisecond)
		if err := reader.start(); err != nil {
			return 0, err
		}
	} else {
		time.Sleep(3500 * time.Millisecond)
	}
	time.Sleep(6 * time.Second)
	close(stop)
	group.Wait()
	return w.judgeDrain(silent, removed), nil
}

// netipAt returns an address for a server.
func netipAt(w *world, group, number byte) netip.AddrPort {
	return netip.AddrPortFrom(w.at(group, number), w.port.server)
}

package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// storeMoved: the store gets another address. The settings files name it, and half of the entry
// processes get SIGHUP. Later the operator drops a route and adds one, and a server drains.
func storeMoved(w *world, trouble bool) (int, error) {
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
	for _, e := range w.entries {
		if trouble {
			if err := e.reachStore(w.port.moved); err != nil {
				return 0, err
			}
		}
		if err := e.writeSettings(); err != nil {
			return 0, err
		}
		w.note("the settings of %s name the store at %s", e.name, e.storeAddress())
	}
	for i, e := range w.entries {
		if i%2 == 0 {
			w.note("entry %s gets SIGHUP", e.name)
			e.signal(syscall.SIGHUP)
		}
	}
	time.Sleep(settleTime)
	changed := w.configure([]route{kept, added}, "booking")
	leaving := w.servers[0]
	draining := leaving.register("draining")
	time.Sleep(drainTime + 5*time.Second)
	leaving.stop()
	w.store.remove(leaving.key())
	time.Sleep(5 * time.Second)
	close(stop)
	group.Wait()
	if !w.running() {
		return 0, fmt.Errorf("an entry has ended")
	}
	return w.judgeDrain(leaving, draining) + w.judgeConfig(changed, dropped, added), nil
}

// settleTime is the time between a change of the settings and the next changes in the store.
const settleTime = 15 * time.Second

// Watches that wait are cut within cutTime. A server loses its path to the store for absences
// times, each for three intervals until its entry is removed and absenceTime beyond.
const (
	cutTime     = 900 * time.Millisecond
	absences    = 9
	absenceTime = 5 * time.Second
)

// watchesCut: the store cuts each watch within a while. A server falls silent towards the store,
// which removes its entry as the operator changes the config, and later registers again, several
// times.
func watchesCut(w *world, trouble bool) (int, error) {
	kept, other := w.newRoute("kept", 1), w.newRoute("other", 2)
	clients, err := w.fleet([]route{kept})
	if err != nil {
		return 0, err
	}
	stop, group := make(chan struct{}), &sync.WaitGroup{}
	w.load(clients, kept, 60*time.Millisecond, stop, group)
	if trouble {
		w.note("from now on the store cuts each watch within %s", cutTime)
		w.store.cutWatches(cutTime)
	}
	silent, late := w.servers[0], 0
	for i := range absences {
		time.Sleep(3 * beatTime)
		routes := []route{kept, other}
		w.configure(routes[:1+i%2], "booking")
		removed := w.store.remove(silent.key())
		w.note("the store removes the entry of server %08x after three intervals of silence", silent.id)
		time.Sleep(absenceTime)
		late += w.judgeDrain(silent, removed)
		silent.register("ready")
	}
	close(stop)
	group.Wait()
	if !w.running() {
		return 0, fmt.Errorf("an entry has ended")
	}
	return late, nil
}

// restartDelay is the time after which the platform starts a process again that has ended.
const restartDelay = time.Second

// longLifetime: flow_ttl_s changes in the settings of half of the machines, which get SIGHUP. Then
// all machines are stopped and started in turn.
func longLifetime(w *world, trouble bool) (int, error) {
	kept := w.newRoute("kept", 1)
	clients, err := w.fleet([]route{kept})
	if err != nil {
		return 0, err
	}
	stop, group := make(chan struct{}), &sync.WaitGroup{}
	w.load(clients, kept, 300*time.Millisecond, stop, group)
	for i, e := range w.entries {
		if i%2 > 0 {
			continue
		}
		if trouble {
			e.lifetime = 2 * time.Hour
		}
		if err := e.writeSettings(); err != nil {
			return 0, err
		}
		w.note("flow_ttl_s of %s is %.0f, it gets SIGHUP", e.name, e.lifetime.Seconds())
		e.signal(syscall.SIGHUP)
	}
	time.Sleep(touchTime + time.Second)
	if !w.running() {
		return 0, fmt.Errorf("an entry has ended")
	}
	ends := make([]int, len(w.entries))
	var watchers sync.WaitGroup
	watching := make(chan struct{})
	for i, e := range w.entries {
		w.note("entry %s gets SIGTERM", e.name)
		e.signal(syscall.SIGTERM)
		for begun := time.Now(); !e.ended(); time.Sleep(10 * time.Millisecond) {
			if time.Since(begun) > graceTime {
				e.kill()
			}
		}
		time.Sleep(restartDelay)
		if err := e.start(); err != nil {
			return 0, err
		}
		watchers.Go(func() { ends[i] = e.keepRunning(watching) })
		time.Sleep(2 * time.Second)
	}
	time.Sleep(touchTime + 4*restartDelay)
	close(watching)
	watchers.Wait()
	close(stop)
	group.Wait()
	machines := 0
	for i, e := range w.entries {
		w.report("%s: flow_ttl_s %.0f, its process ended by itself %d times after the start", e.name, e.lifetime.Seconds(), ends[i])
		if ends[i] >= 3 {
			machines++
		}
	}
	if machines >= 2 {
		return machines, nil
	}
	return 0, nil
}

// keepRunning starts the process again whenever it has ended, until stop is closed, and returns
// how often it has.
func (e *entry) keepRunning(stop <-chan struct{}) int {
	ends := 0
	for {
		select {
		case <-stop:
			return ends
		case <-time.After(10 * time.Millisecond):
		}
		if !e.ended() {
			continue
		}
		ends++
		time.Sleep(restartDelay)
		if err := e.start(); err != nil {
			e.w.note("entry %s: %v", e.name, err)
		}
	}
}

// judgeConfig counts the requests that were sent later than config_ms after the confirmation of
// a config and handled as only the version before allows.
func (w *world) judgeConfig(confirmed time.Time, dropped, added route) int {
	old, refused, served, last := w.handledByOld(confirmed.Add(configTime), dropped, added)
	w.report("CONFIG: of the requests sent later than %s after the confirmation at %.3f, %d were run on the dropped route, and %d on the added route were refused, %d served",
		configTime, w.since(confirmed), old, refused, served)
	if old+refused > 0 {
		w.report("the last of those that broke the rule was sent %.3f s after the confirmation", last.Sub(confirmed).Seconds())
	}
	return old + refused
}

// handledByOld counts the requests sent after a time that were run on the dropped route, and
// those on the added route that were refused and served. last is when the last one was sent that
// only the version before allows.
func (w *world) handledByOld(after time.Time, dropped, added route) (old, refused, served int, last time.Time) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	ran := make(map[string]bool)
	for _, r := range w.runs {
		ran[r.id] = true
	}
	for _, a := range w.attempts {
		switch {
		case !a.sent.After(after):
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
	return old, refused, served, last
}

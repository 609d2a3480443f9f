// Command standin-3 runs the cases of a review against the project's entry processes. The
// store, the servers, the routers and the clients are stand-ins that follow the users' pages.
package main

import (
	"fmt"
	"net/netip"
	"os"
	"os/signal"
	"runtime"
	"sync"
	"syscall"
	"time"
)

// Exit codes.
const (
	held   = 0
	broken = 1
	notRun = 2
)

// timeLimit is the longest time of a case.
const timeLimit = 115 * time.Second

// cases are the cases by name. Each returns how often the rule was broken. trouble is whether
// the disruption is made.
var cases = map[string]func(w *world, trouble bool) (int, error){
	"long-lifetime": longLifetime,
	"watches-cut":   watchesCut,
	"store-moved":   storeMoved,
}

func main() {
	// The entries are started by this thread and end with it.
	runtime.LockOSThread()
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-3 CASE FOLDER, in the repository")
		os.Exit(notRun)
	}
	w, err := newWorld(os.Args[2], "zone-a", "zone-b", "zone-c")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(notRun)
	}
	var once sync.Once
	finish := func(code int) {
		once.Do(func() {
			w.note("exit code %d", code)
			w.end()
			os.Exit(code)
		})
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-signals:
			finish(notRun)
		case <-time.After(timeLimit):
			w.note("the case takes too long")
			finish(notRun)
		}
	}()
	count, err := cases[os.Args[1]](w, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		w.note("could not run: %v", err)
		finish(notRun)
	case count > 0:
		finish(broken)
	}
	finish(held)
}

// report writes a line to the record and to standard output.
func (w *world) report(format string, values ...any) {
	w.note(format, values...)
	fmt.Printf(format+"\n", values...)
}

// fleet starts a small deployment: two entries and two servers of one service in each zone, and
// two clients there. The routes are those of the first config.
func (w *world) fleet(routes []route) ([]*client, error) {
	w.configure(routes, "booking")
	for zone := range w.zones {
		for number := 1; number <= 2; number++ {
			address := netip.AddrPortFrom(w.at(byte(40+zone), byte(number)), w.port.server)
			if _, err := w.boot(uint64(0x7f000000+zone*256+number), "booking", w.zones[zone], address, 3, 47*time.Millisecond, time.Now()); err != nil {
				return nil, err
			}
			if _, err := w.addEntry(zone, number); err != nil {
				return nil, err
			}
		}
	}
	if err := w.startEntries(); err != nil {
		return nil, err
	}
	var clients []*client
	for i := range 6 {
		c, err := w.addClient(w.zones[i/2], byte(i+1))
		if err != nil {
			return nil, err
		}
		clients = append(clients, c)
	}
	// All machines are in touch from here on.
	time.Sleep(touchTime + time.Second)
	return clients, nil
}

// newRoute returns a route of the service to an address of the platform.
func (w *world) newRoute(name string, number byte) route {
	return route{name: name, kind: "non_idempotent", service: "booking", address: netip.AddrPortFrom(w.at(90, number), 8443), timeout: 2 * time.Second}
}

// load has the clients send a request each interval on a route until stop is closed.
func (w *world) load(clients []*client, r route, interval time.Duration, stop <-chan struct{}, group *sync.WaitGroup) {
	for i, c := range clients {
		group.Go(func() {
			time.Sleep(interval * time.Duration(i) / time.Duration(len(clients)))
			ticker := time.NewTicker(interval)
			defer ticker.Stop()
			for {
				select {
				case <-stop:
					return
				case <-ticker.C:
					group.Go(func() { c.try(r, 2*time.Second) })
				}
			}
		})
	}
}

// late returns the attempts that were sent after a time and whose request a server ran that the
// opening packet reached, by the server's id.
func (w *world) late(after time.Time, server uint64) []*attempt {
	ran := make(map[string]bool)
	for _, r := range w.runs {
		ran[r.id] = ran[r.id] || r.server == server
	}
	var found []*attempt
	for _, a := range w.attempts {
		if a.sent.After(after) && ran[a.id] {
			found = append(found, a)
		}
	}
	return found
}

// judgeDrain counts the requests that were sent later than drain_ms after the store confirmed
// that a server drains, and that the server ran.
func (w *world) judgeDrain(s *server, confirmed time.Time) int {
	w.mutex.Lock()
	late := w.late(confirmed.Add(drainTime), s.id)
	w.mutex.Unlock()
	lost := 0
	entries := make(map[string]int)
	for _, a := range late {
		entries[a.entry]++
		if a.outcome != "200" {
			lost++
			w.note("sent at %.3f and run by the leaving server, but never answered: request %s: %s", w.since(a.sent), a.id, a.outcome)
		}
	}
	w.report("DRAIN: %d requests were sent later than %s after the confirmation at %.3f and run by server %08x, through %v; %d of them were not answered",
		len(late), drainTime, w.since(confirmed), s.id, entries, lost)
	if len(late) > 0 {
		first, last := late[0], late[len(late)-1]
		w.report("the first of them was sent %.3f s after the confirmation, the last %.3f s", first.sent.Sub(confirmed).Seconds(), last.sent.Sub(confirmed).Seconds())
	}
	return len(late)
}

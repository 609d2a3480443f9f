package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"syscall"
	"time"
)

// twoServices lays out a small deployment: two services, entries in three zones.
func (w *world) twoServices(zones []string) error {
	if err := w.build(zones); err != nil {
		return err
	}
	w.route("query", "idempotent", "maps", 30*time.Millisecond, 1200*time.Millisecond, 0)
	w.route("batch", "upload", "intake", 10*time.Millisecond, 3*time.Second, 800)
	for i := range 4 {
		if err := w.serve(0x51aa000001+uint64(i)<<20, 1+i, "maps", zones[i%len(zones)]); err != nil {
			return err
		}
	}
	for i := range 3 {
		if err := w.serve(0x72bb000001+uint64(i)<<20, 11+i, "intake", zones[i%len(zones)]); err != nil {
			return err
		}
	}
	time.Sleep(100 * time.Millisecond)
	w.configure(3)
	return nil
}

// entryOfIDZero lets another writer leave an entry under an id of 0 that lacks a field and has
// the address of a living server of another service.
func entryOfIDZero(w *world) error {
	if err := w.twoServices([]string{"zone-a", "zone-b", "zone-c"}); err != nil {
		return err
	}
	if err := w.open(2, 300*time.Millisecond); err != nil {
		return err
	}
	time.Sleep(6 * time.Second)
	if w.trouble {
		target := w.servers[0x51aa000001]
		value, _ := json.Marshal(map[string]any{
			"service": "intake", "addr": target.entry.Addr, "zone": target.entry.Zone, "slots": slots, "state": "ready", "cold_left_ms": 0, "sequence": 1, "born": time.Now().UnixMilli(),
		})
		w.record.line("another writer leaves at %s: %s, at revision %d", keyOf(0), value, w.store.put(keyOf(0), value))
	}
	time.Sleep(12 * time.Second)
	return nil
}

// otherSpelling lets another writer leave entries that can't be read, at keys that spell the
// numbers of all servers of a service in another way than the servers' own keys.
func otherSpelling(w *world) error {
	if err := w.twoServices([]string{"zone-a", "zone-b", "zone-c"}); err != nil {
		return err
	}
	if err := w.open(2, 300*time.Millisecond); err != nil {
		return err
	}
	time.Sleep(6 * time.Second)
	if w.trouble {
		for id, v := range w.servers {
			if v.entry.Service != "maps" {
				continue
			}
			key := fmt.Sprintf("servers/%X", id)
			w.record.line("another writer leaves at %s, where the server's own key is %s, what can't be read, at revision %d", key, keyOf(id), w.store.put(key, []byte("{\"service\":")))
		}
	}
	time.Sleep(14 * time.Second)
	return nil
}

// drainedServer lets another writer leave an entry under a server's id that lacks a field and has
// a start time of its own. The server writes its own again, and drains later on.
func drainedServer(w *world) error {
	if err := w.twoServices([]string{"zone-a", "zone-b", "zone-c"}); err != nil {
		return err
	}
	if err := w.open(2, 300*time.Millisecond); err != nil {
		return err
	}
	time.Sleep(6 * time.Second)
	target := w.servers[0x72bb000001]
	if w.trouble {
		e := target.entry
		value, _ := json.Marshal(map[string]any{
			"service": e.Service, "addr": e.Addr, "zone": e.Zone, "slots": e.Slots, "state": e.State, "cold_left_ms": 0, "sequence": 1, "born": time.Now().UnixMilli(),
		})
		w.record.line("another writer leaves at %s: %s, at revision %d", keyOf(target.id), value, w.store.put(keyOf(target.id), value))
	}
	time.Sleep(6 * time.Second)
	// Another server takes its place.
	if err := w.serve(0x72bb900001, 21, "intake", "zone-a"); err != nil {
		return err
	}
	time.Sleep(time.Second)
	target.drain()
	time.Sleep(drainTime + 6*time.Second)
	w.record.line("server %x ends", target.id)
	target.stop()
	w.store.leave(keyOf(target.id))
	time.Sleep(3 * time.Second)
	return nil
}

// darkTime is how long a lost machine has no power, the default of the bench.
const darkTime = 5 * time.Second

// stoppedEntry has a machine lost and another one of its zone stopped, while a config drops a
// route.
func stoppedEntry(w *world) error {
	zones := []string{"zone-a", "zone-a", "zone-a", "zone-b", "zone-c"}
	if err := w.twoServices(zones); err != nil {
		return err
	}
	w.route("dropped", "idempotent", "maps", 10*time.Millisecond, 1200*time.Millisecond, 0)
	w.configure(5)
	// The clients are those of the first zone.
	w.routers.zone = "zone-a"
	if err := w.open(3, 200*time.Millisecond); err != nil {
		return err
	}
	time.Sleep(6 * time.Second)
	lost, stopped := w.fleet.entries[0], w.fleet.entries[1]
	if w.trouble {
		w.record.line("entry %d loses power", lost.place)
		w.record.outOfTouch(lost.place, now(), now()+darkTime+2*stableWindow)
		lost.cutPower()
		time.AfterFunc(darkTime, func() {
			if err := lost.power(); err != nil {
				w.record.line("entry %d: %v", lost.place, err)
			}
		})
		time.Sleep(200 * time.Millisecond)
	}
	w.record.line("entry %d gets SIGTERM", stopped.place)
	from := now()
	w.record.outOfTouch(stopped.place, from, from+stableWindow)
	ended := make(chan error, 1)
	go func() { ended <- stopped.restart() }()
	time.Sleep(1200 * time.Millisecond)
	w.drop("dropped", 9)
	err := <-ended
	w.record.outOfTouch(stopped.place, now(), now()+stableWindow)
	time.Sleep(6 * time.Second)
	return err
}

// settingsChanged has the settings of some machines change, before all are stopped and started
// in turn.
func settingsChanged(w *world) error {
	if err := w.twoServices([]string{"zone-a", "zone-a", "zone-a", "zone-b", "zone-b", "zone-c", "zone-c"}); err != nil {
		return err
	}
	if err := w.open(2, 300*time.Millisecond); err != nil {
		return err
	}
	time.Sleep(6 * time.Second)
	// 4 of 7 machines.
	for _, e := range w.fleet.entries[3:] {
		if w.trouble {
			e.changed = map[string]any{"grace_s": json.Number("6.5")}
		}
		if err := e.writeSettings(); err != nil {
			return err
		}
		w.record.line("entry %d: settings written, changed fields: %v", e.place, e.changed)
		e.signal(syscall.SIGHUP)
		time.Sleep(500 * time.Millisecond)
	}
	time.Sleep(2 * time.Second)
	for _, e := range w.fleet.entries {
		w.record.line("entry %d is stopped and started again", e.place)
		if err := e.restart(); err != nil {
			return err
		}
		time.Sleep(2 * time.Second)
	}
	from := now()
	time.Sleep(10 * time.Second)
	sent, served := w.record.served(from, from+8*time.Second)
	w.record.line("after that, %d of %d requests served, %d of %d machines in rotation", served, sent, w.routers.ready(), len(w.fleet.entries))
	var ends []string
	for _, e := range w.fleet.entries {
		if exits := e.ownEnds(); len(exits) >= 3 {
			ends = append(ends, fmt.Sprintf("entry %d %d times", e.place, len(exits)))
		}
	}
	if len(ends) >= 2 {
		w.record.broke("Fault", "the program doesn't start: it ended by itself at %s", strings.Join(ends, ", "))
	}
	return nil
}

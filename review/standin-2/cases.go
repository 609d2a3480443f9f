package main

import (
	"encoding/json"
	"fmt"
	"slices"
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

// oddEntry lets another writer leave entries under a server's id in which a field is missing or
// of another type. The server writes its own again at its next beat.
func oddEntry(w *world) error {
	if err := w.twoServices([]string{"zone-a", "zone-b", "zone-c"}); err != nil {
		return err
	}
	if err := w.open(2, 300*time.Millisecond); err != nil {
		return err
	}
	time.Sleep(6 * time.Second)
	target := w.servers[0x51aa000001]
	for _, change := range []func(fields map[string]any){
		func(fields map[string]any) { delete(fields, "version") },
		func(fields map[string]any) { delete(fields, "sequence") },
		func(fields map[string]any) { fields["version"] = 7 },
		// With a time of its own, the entry outlasts the server's next beat.
		func(fields map[string]any) {
			delete(fields, "version")
			fields["born"] = time.Now().UnixMilli()
		},
	} {
		if w.trouble {
			target.mutex.Lock()
			e := target.entry
			target.mutex.Unlock()
			fields := map[string]any{
				"service": "intake", "addr": e.Addr, "zone": e.Zone, "version": e.Version, "slots": e.Slots, "state": e.State, "cold_left_ms": 0, "sequence": e.Sequence, "born": e.Born,
			}
			change(fields)
			value, _ := json.Marshal(fields)
			w.record.line("another writer leaves at %s: %s, at revision %d", keyOf(target.id), value, w.store.put(keyOf(target.id), value))
		}
		time.Sleep(4 * time.Second)
	}
	time.Sleep(8 * time.Second)
	return nil
}

// readersLost has the entries that read the store lose power just after a server's entry lapses.
func readersLost(w *world) error {
	zones := []string{"zone-a", "zone-a", "zone-a", "zone-b", "zone-b", "zone-c", "zone-c"}
	if err := w.twoServices(zones); err != nil {
		return err
	}
	if err := w.open(5, 200*time.Millisecond); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	if err := w.restartReaders(zones); err != nil {
		return err
	}
	target := w.servers[0x51aa000001]
	w.record.line("server %x: its writes reach the store no longer", target.id)
	target.mute(true)
	for w.store.holds(keyOf(target.id)) {
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(killDelay)
	if w.trouble {
		lost := w.readers(zones)
		from := now()
		for _, each := range lost {
			w.record.line("entry %d, which reads the store for %s, loses power", each.place, each.zone)
			each.cutPower()
		}
		time.Sleep(darkTime)
		for _, each := range lost {
			w.record.line("entry %d has power again", each.place)
			if err := each.power(); err != nil {
				return err
			}
			w.record.outOfTouch(each.place, from, now()+stableWindow)
		}
	}
	time.Sleep(12 * time.Second)
	return nil
}

// readers returns the entry of each zone that reads the store.
func (w *world) readers(zones []string) []*entry {
	var all []*entry
	for _, zone := range slices.Compact(slices.Clone(zones)) {
		place := w.store.reader(func(p int) bool { return zones[p-1] == zone })
		all = append(all, w.fleet.entries[place-1])
	}
	return all
}

// restartReaders stops the entries that read the store and starts them again, one after the
// other, as planned work does.
func (w *world) restartReaders(zones []string) error {
	for _, each := range w.readers(zones) {
		from := now()
		w.record.line("entry %d is stopped and started again", each.place)
		if err := each.restart(); err != nil {
			return err
		}
		w.record.outOfTouch(each.place, from, now()+stableWindow)
	}
	if err := w.routers.waitReady(); err != nil {
		return err
	}
	time.Sleep(stableWindow)
	return nil
}

const (
	// killDelay is the time from a removal to the loss of power, and darkTime how long that lasts.
	killDelay = 800 * time.Millisecond
	darkTime  = 2 * time.Second
)

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
		w.record.broke("FAULT", "the program doesn't start: it ended by itself at %s", strings.Join(ends, ", "))
	}
	return nil
}

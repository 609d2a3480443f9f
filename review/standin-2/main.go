// Command standin2 plays the cases of the second review: servers, clients, routers and the
// platform's store, as the users' pages describe them, around the project's own program.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"slices"
	"syscall"
	"time"
)

// cases are the cases by name, each with the rule that it judges.
var cases = map[string]struct {
	rule string
	play func(*world) error
}{
	"id-zero":  {"ROUTE", entryOfIDZero},
	"spelling": {"CONFIG", otherSpelling},
	"drained":  {"DRAIN", drainedServer},
	"stopped":  {"CONFIG", stoppedEntry},
	"settings": {"Fault", settingsChanged},
}

// world is what a case plays in.
type world struct {
	ground  *ground
	record  *record
	store   *store
	fleet   *fleet
	routers *routers
	clients *clients
	servers map[uint64]*server
	routes  []route
	trouble bool
	stop    func()
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]].play == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE FOLDER, in the root of the repository")
		return 2
	}
	chosen := cases[os.Args[1]]
	r := newRecord()
	w := &world{record: r, servers: make(map[uint64]*server), trouble: os.Getenv("TROUBLE") != "0", stop: func() {}}
	done := make(chan error, 1)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() { done <- chosen.play(w) }()
	var err error
	select {
	case err = <-done:
	case s := <-signals:
		err = fmt.Errorf("ended by %v", s)
	case <-time.After(110 * time.Second):
		err = fmt.Errorf("not finished in time")
	}
	w.stop()
	if w.fleet != nil {
		w.fleet.close()
	}
	return r.finish(os.Args[2], chosen.rule, err)
}

// build lays out a deployment with an entry in each of the given zones.
func (w *world) build(zones []string) error {
	var err error
	if w.ground, err = newGround(); err != nil {
		return err
	}
	if w.store, err = newStore(w.ground, len(zones), w.record); err != nil {
		return err
	}
	if w.fleet, err = newFleet(w.ground, w.record, zones); err != nil {
		return err
	}
	w.routers = newRouters(w.fleet)
	w.clients, err = newClients(w.ground, w.record, w.routers, 6)
	return err
}

// serve starts a server.
func (w *world) serve(id uint64, place int, service, zone string) error {
	v, err := startServer(w.ground, w.store, w.record, id, place, service, zone)
	if err == nil {
		w.servers[id] = v
	}
	return err
}

// route adds a route that gives a virtual address to a service.
func (w *world) route(name, kind, service string, work, deadline time.Duration, size int) {
	r := route{name: name, kind: kind, service: service, path: "/" + name, vip: w.ground.at(vipKind, len(w.routes)+1, 8443), work: work, deadline: deadline, size: size}
	w.routes = append(w.routes, r)
	w.record.allow(r.path, service)
}

// configure writes the config.
func (w *world) configure(version int) {
	type object = map[string]any
	var routes, services []object
	seen := make(map[string]bool)
	for _, r := range w.routes {
		routes = append(routes, object{
			"name": r.name, "host": r.vip.Addr().String(), "prefix": fmt.Sprintf("/%d/", r.vip.Port()), "type": r.kind, "timeout_ms": r.deadline.Milliseconds(),
			"slo_ms": 250, "priority": 2, "service": r.service, "max_tries": 2,
		})
		if !seen[r.service] {
			seen[r.service] = true
			services = append(services, object{"name": r.service, "health_path": healthPath, "max_conns": 2000, "protocol": "h1", "tls": false})
		}
	}
	value, _ := json.Marshal(object{"version": version, "routes": routes, "services": services, "limits": object{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})
	w.record.line("store: config %d at revision %d", version, w.store.put("op/config", value))
	for _, r := range w.routes {
		w.record.routed(r.path)
	}
}

// drop writes a config without a route.
func (w *world) drop(name string, version int) {
	w.routes = slices.DeleteFunc(slices.Clone(w.routes), func(r route) bool { return r.name == name })
	w.configure(version)
	w.record.dropped("/" + name)
}

// open starts the entries at once, and the clients once all are in rotation.
func (w *world) open(users int, pause time.Duration) error {
	for _, e := range w.fleet.entries {
		if err := e.power(); err != nil {
			return err
		}
	}
	if err := w.routers.waitReady(); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	w.clients.run(ctx, w.routes, users, pause)
	w.stop = func() { cancel(); w.clients.group.Wait() }
	return nil
}

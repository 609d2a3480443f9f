package main

import (
	"bytes"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// bounds are the figures of the settings.
type bounds struct {
	configMS, drainMS, graceS, lifetimeS, beatMS int
}

// entry is a machine of the system with its process.
type entry struct {
	name    string
	zone    string
	place   byte
	node    *node
	mu      sync.Mutex
	command *exec.Cmd
	done    chan struct{}
	killed  bool
	output  logBuffer
}

// logBuffer holds the log of a process. It is safe for concurrent use.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// fleet is the system with its surroundings.
type fleet struct {
	g       *ground
	store   *store
	seen    *seen
	zones   []string
	entries []*entry
	routers *routers
	clients []*client
	dir     string
	mu      sync.Mutex
	servers []*backend
}

// program and directory of the system's process, as in the deploy file.
const program = "target/agatereach"

// even returns the same number of machines for each zone.
func even(zones []string, machines int) []int {
	counts := make([]int, len(zones))
	for i := range counts {
		counts[i] = machines
	}
	return counts
}

// newFleet prepares a system of so many machines in each zone, without starting it.
func newFleet(zones []string, counts []int, b bounds) (*fleet, error) {
	if _, err := os.Stat(program); err != nil {
		return nil, err
	}
	g, err := newGround()
	if err != nil {
		return nil, err
	}
	f := &fleet{g: g, zones: zones, seen: &seen{opens: make(map[flowKey]*backend)}}
	if f.dir, err = os.MkdirTemp("", "agatereach-review-"); err != nil {
		return nil, err
	}
	if f.store, err = newStore(g); err != nil {
		return nil, err
	}
	var nodes []*node
	for z, count := range counts {
		for i := range count {
			place := byte(len(nodes) + 1)
			address := g.at(kindEntry, place)
			n := &node{place: place, zone: zones[z], data: netip.AddrPortFrom(address, g.data), ready: netip.AddrPortFrom(address, g.ready)}
			nodes = append(nodes, n)
			f.entries = append(f.entries, &entry{name: fmt.Sprintf("front-%s-%d", n.zone, i+1), zone: n.zone, place: place, node: n})
		}
	}
	for _, e := range f.entries {
		if err := f.writeSettings(e, b); err != nil {
			return nil, err
		}
	}
	f.routers = newRouters(g, nodes)
	for i, zone := range zones {
		c, err := newClient(g, f.routers, zone, byte(i+1), f.seen)
		if err != nil {
			return nil, err
		}
		f.clients = append(f.clients, c)
	}
	return f, nil
}

// writeSettings fills in the template of the deploy file.
func (f *fleet) writeSettings(e *entry, b bounds) error {
	g := f.g
	address := g.at(kindEntry, e.place)
	var seeds []string
	for i := range min(3, len(f.entries)) {
		seeds = append(seeds, fmt.Sprintf("%q", netip.AddrPortFrom(g.at(kindEntry, f.entries[i*len(f.entries)/3].place), g.links).String()))
	}
	text := fmt.Sprintf(`name = %q
centre = %q
packets = "%s:%d"
ready = "%s:%d"
links = "%s:%d"
inspect = "%s:%d"
seeds = [%s]
store = %q
memory = 284
link = 1000.0

[bounds]
config = %d
drain = %d
grace = %d
lifetime = %d
beat = %d
`, e.name, e.zone, address, g.data, address, g.ready, address, g.links, address, g.inspect,
		strings.Join(seeds, ","), f.store.address().String(), b.configMS, b.drainMS, b.graceS, b.lifetimeS, b.beatMS)
	return os.WriteFile(f.settings(e), []byte(text), 0o600)
}

func (f *fleet) settings(e *entry) string { return filepath.Join(f.dir, e.name+".toml") }

// start starts the process of a machine.
func (f *fleet) start(e *entry) error {
	command := exec.Command(program)
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "AGATEREACH_BOOT=" + f.settings(e)}
	command.Stdout, command.Stderr = &e.output, &e.output
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	e.mu.Lock()
	e.command, e.done, e.killed = command, done, false
	e.mu.Unlock()
	f.g.note("entry %d (%s) starts", e.place, e.name)
	go func() {
		err := command.Wait()
		e.mu.Lock()
		if !e.killed {
			f.g.note("entry %d ended by itself: %v", e.place, err)
		}
		e.mu.Unlock()
		close(done)
	}()
	return nil
}

// kill ends the process of a machine with SIGKILL.
func (f *fleet) kill(e *entry) {
	f.g.note("entry %d (%s) is killed", e.place, e.name)
	e.end(syscall.SIGKILL)
}

// end sends a signal that ends the process and waits for its end.
func (e *entry) end(s syscall.Signal) {
	e.mu.Lock()
	command, done := e.command, e.done
	e.killed = true
	e.mu.Unlock()
	if command == nil {
		return
	}
	_ = command.Process.Signal(s)
	<-done
}

// terminate sends SIGTERM, and SIGKILL after the grace period. It returns at the end of
// the process.
func (f *fleet) terminate(e *entry, grace time.Duration) {
	f.g.note("entry %d (%s) gets SIGTERM", e.place, e.name)
	timer := time.AfterFunc(grace, func() { f.kill(e) })
	e.end(syscall.SIGTERM)
	timer.Stop()
	f.g.note("entry %d (%s) has ended", e.place, e.name)
}

// startAll starts all processes, and returns when all are in rotation.
func (f *fleet) startAll() error {
	for _, e := range f.entries {
		if err := f.start(e); err != nil {
			return err
		}
	}
	return f.awaitReady()
}

// readyLimit is how long machines may take to be ready.
const readyLimit = 15 * time.Second

func (f *fleet) awaitReady() error {
	for deadline := time.Now().Add(readyLimit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, e := range f.entries {
			if e.node.in.Load() {
				ready++
			}
		}
		if ready == len(f.entries) {
			return nil
		}
	}
	return fmt.Errorf("the machines didn't become ready")
}

// server starts a server.
func (f *fleet) server(c serverConfig) (*backend, error) {
	b, err := startBackend(f.g, f.store, f.seen, c)
	if err == nil {
		f.mu.Lock()
		f.servers = append(f.servers, b)
		f.mu.Unlock()
	}
	return b, err
}

// workTime is how long a request takes at a server, and slots how many it runs at once.
const (
	workTime = 30 * time.Millisecond
	slots    = 3
)

// startServers starts servers of a service, as many in each zone.
func (f *fleet) startServers(firstID uint64, count int, service string) error {
	for i := range count {
		zone := f.zones[i*len(f.zones)/count]
		c := serverConfig{id: firstID + uint64(i), service: service, zone: zone, place: byte(len(f.servers) + 1), slots: slots, work: workTime}
		if _, err := f.server(c); err != nil {
			return err
		}
	}
	return nil
}

// close ends everything that was started.
func (f *fleet) close() {
	for _, e := range f.entries {
		e.end(syscall.SIGKILL)
	}
	for _, b := range f.servers {
		b.kill()
	}
	for _, c := range f.clients {
		_ = c.conn.Close()
	}
	close(f.routers.stop)
	_ = f.store.server.Close()
	_ = os.RemoveAll(f.dir)
}

// logs returns the lines of the entries' logs that hold one of the words.
func (f *fleet) logs(limit int, words ...string) []string {
	var lines []string
	for _, e := range f.entries {
		for _, line := range strings.Split(e.output.String(), "\n") {
			for _, word := range words {
				if strings.Contains(line, word) && len(lines) < limit {
					if len(line) > 400 {
						line = line[:400]
					}
					lines = append(lines, fmt.Sprintf("          log of entry %d: %s", e.place, line))
					break
				}
			}
		}
	}
	return lines
}

// route is a route of the config.
type route struct {
	name    string
	vip     endpoint
	kind    string
	service string
}

// config returns a config as the operator writes it.
func config(version int, routes []route, services ...string) map[string]any {
	var list, named []map[string]any
	for _, r := range routes {
		list = append(list, map[string]any{
			"name": r.name, "host": netip.AddrFrom4(r.vip.addr).String(), "prefix": fmt.Sprintf("/%d/", r.vip.port),
			"type": r.kind, "timeout_ms": 1500, "slo_ms": 250, "priority": 2, "service": r.service, "max_tries": 2,
		})
	}
	for _, service := range services {
		named = append(named, map[string]any{"name": service, "health_path": "/healthz", "max_conns": 2000, "protocol": "h1", "tls": false})
	}
	return map[string]any{
		"version": version, "routes": list, "services": named,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

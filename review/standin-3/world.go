package main

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds and limits of a small deployment: those of the pages' smaller sites.
const (
	drainTime   = 3 * time.Second
	configTime  = 3 * time.Second
	touchTime   = 4 * time.Second
	historyTime = 20 * time.Second
	beatTime    = 1200 * time.Millisecond
	graceTime   = 6 * time.Second
	flowTTL     = 60 * time.Second
	idleTimeout = 15 * time.Second
	memoryMB    = 284
	linkMbps    = 1000
)

// world is a small deployment on loopback addresses: the project's entries as processes, and
// stand-ins of the store, the servers, the routers and the clients.
type world struct {
	root, temp string
	base       byte
	began      time.Time
	store      *store
	port       struct{ data, ready, control, links, server, store, moved uint16 }
	entries    []*entry
	zones      []string

	mutex    sync.Mutex
	log      *os.File
	openings []opening
	runs     []run
	attempts []*attempt
	servers  []*server
	nextPort uint16
	nextRow  int
	config   map[string]any
	version  int
}

// opening is a SYN that a server took.
type opening struct {
	flow    tuple
	copy    uint32
	server  uint64
	entry   string
	arrived time.Time
}

// run is a request that a server began to work on.
type run struct {
	id     string
	server uint64
	at     time.Time
	ended  bool
}

// tuple identifies a flow by the client's end and the route's address.
type tuple struct {
	src, dst     [4]byte
	sport, dport uint16
}

func newWorld(folder string, zones ...string) (*world, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	temp, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	w := &world{
		root: root, temp: temp, base: byte(20 + rand.IntN(200)), began: time.Now(), store: newStore(historyTime), log: log, zones: zones,
		nextPort: 20000, version: 1,
	}
	for _, port := range []*uint16{&w.port.data, &w.port.ready, &w.port.control, &w.port.links, &w.port.server, &w.port.store, &w.port.moved} {
		if *port, err = w.freePort(); err != nil {
			return nil, err
		}
	}
	return w, nil
}

// freePort returns a port that is free for TCP and UDP at all addresses.
func (w *world) freePort() (uint16, error) {
	for range 100 {
		tcp, err := net.Listen("tcp4", "0.0.0.0:0")
		if err != nil {
			return 0, err
		}
		port := uint16(tcp.Addr().(*net.TCPAddr).Port)
		udp, err := net.ListenPacket("udp4", fmt.Sprintf("0.0.0.0:%d", port))
		_ = tcp.Close()
		if err != nil {
			continue
		}
		_ = udp.Close()
		return port, nil
	}
	return 0, fmt.Errorf("no free port")
}

// at returns a loopback address of the world.
func (w *world) at(group, number byte) netip.Addr {
	return netip.AddrFrom4([4]byte{127, w.base, group, number})
}

// note writes a line to the record.
func (w *world) note(format string, values ...any) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	fmt.Fprintf(w.log, "%8.3f  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, values...))
}

// since returns a time as in the record.
func (w *world) since(t time.Time) float64 { return t.Sub(w.began).Seconds() }

// entry is a process of the project.
type entry struct {
	w          *world
	name, zone string
	ip         netip.Addr
	settings   string
	storePort  uint16
	// lifetime is flow_ttl_s of its settings.
	lifetime   time.Duration
	leaveStore func()
	process    *exec.Cmd
	mutex      sync.Mutex
	misses     int
	inRotation bool
	down       bool
}

// addEntry adds an entry VM and writes its settings.
func (w *world) addEntry(zone int, number int) (*entry, error) {
	e := &entry{w: w, lifetime: flowTTL, zone: w.zones[zone], name: fmt.Sprintf("front-%s-%d", w.zones[zone], number), ip: w.at(byte(10+zone), byte(number))}
	w.entries = append(w.entries, e)
	e.settings = filepath.Join(w.temp, e.name+".toml")
	return e, e.reachStore(w.port.store)
}

// reachStore has the store answer the entry at a port, and no longer at the one before.
func (e *entry) reachStore(port uint16) error {
	if e.leaveStore != nil {
		e.leaveStore()
	}
	e.storePort = port
	var err error
	e.leaveStore, err = e.w.store.serve(e.storeAddress())
	return err
}

// storeAddress is the address at which the entry reaches the store. Each entry has one of its
// own, as through a forwarder on its machine.
func (e *entry) storeAddress() netip.AddrPort {
	ip := e.ip.As4()
	return netip.AddrPortFrom(e.w.at(ip[2]-8, ip[3]), e.storePort)
}

// address returns an address of the entry.
func (e *entry) address(port uint16) netip.AddrPort { return netip.AddrPortFrom(e.ip, port) }

var (
	section     = regexp.MustCompile(`\{\{#([a-z_.]+)\}\}(.*?)\{\{/[a-z_.]+\}\}`)
	placeholder = regexp.MustCompile(`\{\{([a-z_.0-9]+)(\|json)?\}\}`)
)

// writeSettings fills in the deploy file's template of the settings.
func (e *entry) writeSettings() error {
	w := e.w
	template, err := os.ReadFile(filepath.Join(w.root, "deploy/settings.toml"))
	if err != nil {
		return err
	}
	var seeds []string
	for i, each := range w.entries {
		if i == 0 || each.zone != w.entries[i-1].zone {
			seeds = append(seeds, each.address(w.port.control).String())
		}
	}
	values := map[string]any{
		"node": e.name, "zone": e.zone, "ip": e.ip.String(), "listen.data_addr": e.address(w.port.data).String(),
		"listen.ready": e.address(w.port.ready).String(), "port_range.0": w.port.links, "seeds": seeds,
		"platform.addr": e.storeAddress().String(),
		"limits.ram_mb": memoryMB, "limits.link_mbps": linkMbps, "beat_ms": beatTime.Milliseconds(),
		"bounds.config_ms": configTime.Milliseconds(), "bounds.drain_ms": drainTime.Milliseconds(),
		"bounds.grace_s": int(graceTime.Seconds()), "bounds.flow_ttl_s": int(e.lifetime.Seconds()),
	}
	text := section.ReplaceAllStringFunc(string(template), func(part string) string {
		match := section.FindStringSubmatch(part)
		value, ok := values[match[1]]
		if !ok {
			return ""
		}
		return strings.ReplaceAll(match[2], "{{.}}", fmt.Sprint(value))
	})
	var missing error
	text = placeholder.ReplaceAllStringFunc(text, func(part string) string {
		match := placeholder.FindStringSubmatch(part)
		value, ok := values[match[1]]
		if !ok {
			missing = fmt.Errorf("the template asks for %s", match[1])
		}
		if match[2] == "" {
			return fmt.Sprint(value)
		}
		encoded, _ := json.Marshal(value)
		return string(encoded)
	})
	if missing != nil {
		return missing
	}
	if err := os.WriteFile(e.settings+".next", []byte(text), 0o600); err != nil {
		return err
	}
	return os.Rename(e.settings+".next", e.settings)
}

var runLine = regexp.MustCompile(`(?m)^run = "(.*)"$`)

// start starts the entry's process with the command of the deploy file.
func (e *entry) start() error {
	if err := e.writeSettings(); err != nil {
		return err
	}
	text, err := os.ReadFile(filepath.Join(e.w.root, "deploy/system.toml"))
	if err != nil {
		return err
	}
	match := runLine.FindSubmatch(text)
	if match == nil {
		return fmt.Errorf("the deploy file has no command")
	}
	words := strings.Fields(string(match[1]))
	output, err := os.OpenFile(filepath.Join(e.w.temp, e.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = output.Close() }()
	command := exec.Command(filepath.Join(e.w.root, words[0]), words[1:]...)
	command.Dir = e.w.root
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + e.w.temp, "LANG=C", "AGATEREACH_BOOT=" + e.settings}
	command.Stdout, command.Stderr = output, output
	// The process ends with the case, also if that is killed.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	e.mutex.Lock()
	e.process, e.down = command, false
	e.mutex.Unlock()
	go func() {
		err := command.Wait()
		e.mutex.Lock()
		e.down = e.process == command
		e.mutex.Unlock()
		e.w.note("entry %s has ended: %v", e.name, err)
	}()
	e.w.note("entry %s started, process %d", e.name, command.Process.Pid)
	return nil
}

// signal sends a signal to the entry's process.
func (e *entry) signal(s syscall.Signal) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.process != nil && !e.down {
		_ = e.process.Process.Signal(s)
	}
}

// ended reports whether the process has ended.
func (e *entry) ended() bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.down
}

// kill ends the process without notice.
func (e *entry) kill() { e.signal(syscall.SIGKILL) }

// watchReadiness asks the entry twice a second, as the platform's routers do: two misses take
// it out of rotation until it answers again.
func (e *entry) watchReadiness() {
	client := &http.Client{Timeout: 450 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		response, err := client.Get("http://" + e.address(e.w.port.ready).String() + "/readyz")
		ready := err == nil && response.StatusCode == http.StatusOK
		if err == nil {
			_ = response.Body.Close()
		}
		e.mutex.Lock()
		was := e.inRotation
		if ready {
			e.misses, e.inRotation = 0, true
		} else if e.misses++; e.misses >= 2 {
			e.inRotation = false
		}
		changed := was != e.inRotation
		e.mutex.Unlock()
		if changed {
			e.w.note("entry %s in rotation: %t", e.name, !was)
		}
		time.Sleep(500 * time.Millisecond)
	}
}

func (e *entry) ready() bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.inRotation
}

// route returns the entry that a packet of a flow goes to: by a hash, so that a change of the
// rotation moves only the flows of the entry concerned.
func (w *world) route(t tuple, zone string) *entry {
	var all, ready []*entry
	for _, e := range w.entries {
		if e.zone == zone {
			all = append(all, e)
			if e.ready() {
				ready = append(ready, e)
			}
		}
	}
	switch {
	case len(ready) == 0:
		for _, e := range w.entries {
			if e.ready() {
				ready = append(ready, e)
			}
		}
		if len(ready) == 0 {
			ready = all
		}
	case 2*len(ready) < len(all):
		ready = all
	}
	var best *entry
	var most uint64
	for _, e := range ready {
		hash := fnv.New64a()
		fmt.Fprint(hash, t, e.name)
		// The last bytes hardly reach the high bits of this hash.
		score := hash.Sum64() * 0x9e3779b97f4a7c15
		if best == nil || score > most {
			best, most = e, score
		}
	}
	return best
}

// startEntries starts all entries and waits until they are in rotation.
func (w *world) startEntries() error {
	for _, e := range w.entries {
		if err := e.start(); err != nil {
			return err
		}
		go e.watchReadiness()
	}
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, e := range w.entries {
			if e.ready() {
				ready++
			}
		}
		if ready == len(w.entries) {
			return nil
		}
	}
	return fmt.Errorf("the entries are not in rotation after 10 s")
}

// running reports whether all entries run.
func (w *world) running() bool {
	for _, e := range w.entries {
		if e.ended() {
			return false
		}
	}
	return true
}

// end ends all processes and removes the temporary folder.
func (w *world) end() {
	for _, e := range w.entries {
		e.kill()
	}
	if keep := os.Getenv("KEEP"); keep != "" {
		_ = os.Rename(w.temp, keep)
	}
	_ = os.RemoveAll(w.temp)
	_ = w.log.Close()
}

// configure writes the next version of the config.
func (w *world) configure(routes []route, services ...string) time.Time {
	w.version += 3
	var list, all []map[string]any
	for _, r := range routes {
		list = append(list, map[string]any{
			"name": r.name, "host": r.address.Addr().String(), "prefix": fmt.Sprintf("/%d/", r.address.Port()), "type": r.kind,
			"timeout_ms": r.timeout.Milliseconds(), "slo_ms": 250, "priority": 1, "service": r.service, "max_tries": 2,
		})
	}
	for _, name := range services {
		all = append(all, map[string]any{"name": name, "health_path": "/healthz", "max_conns": 2000, "protocol": "h1", "tls": false})
	}
	at := w.store.putJSON("op/config", map[string]any{
		"version": w.version, "routes": list, "services": all,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": idleTimeout.Milliseconds()},
	})
	w.note("config version %d confirmed, %d routes", w.version, len(routes))
	return at
}

// route is a route of the config.
type route struct {
	name, kind, service string
	address             netip.AddrPort
	timeout             time.Duration
}

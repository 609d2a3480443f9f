package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"maps"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of a small deployment.
const (
	drainTime    = 3 * time.Second
	stableWindow = 4 * time.Second
	restartDelay = 500 * time.Millisecond
	graceTime    = 6 * time.Second
	configTime   = 3 * time.Second
)

// fleet is the entries of a run.
type fleet struct {
	ground  *ground
	root    string
	folder  string
	run     []string
	layout  string
	zones   []string
	record  *record
	entries []*entry
}

// entry is the machine of an entry process.
type entry struct {
	fleet   *fleet
	place   int
	zone    string
	path    string
	mutex   sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
	// dark is whether the machine has no power, and stopped whether nothing is started again.
	dark, stopped bool
	// changed holds the bounds that have changed.
	changed map[string]any
	// starts counts starts, and exits holds the codes of the processes that ended by themselves.
	starts int
	exits  []int
}

var runLine = regexp.MustCompile(`(?m)^run = "(.*)"$`)

// newFleet prepares a fleet: an entry in each of the zones, in order.
func newFleet(g *ground, r *record, zones []string) (*fleet, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	deploy, err := os.ReadFile(filepath.Join(root, "deploy", "system.toml"))
	if err != nil {
		return nil, err
	}
	layout, err := os.ReadFile(filepath.Join(root, "deploy", "settings.toml"))
	if err != nil {
		return nil, err
	}
	found := runLine.FindSubmatch(deploy)
	if found == nil {
		return nil, errors.New("the deploy file names no program")
	}
	folder, err := os.MkdirTemp("", "review-standin-2-")
	if err != nil {
		return nil, err
	}
	f := &fleet{ground: g, root: root, folder: folder, run: strings.Fields(string(found[1])), layout: string(layout), zones: zones, record: r}
	for i, zone := range zones {
		f.entries = append(f.entries, &entry{fleet: f, place: i + 1, zone: zone, path: filepath.Join(folder, fmt.Sprintf("settings-%d.toml", i+1))})
	}
	return f, nil
}

// smallBounds are the bounds of the small deployments.
func smallBounds() map[string]any {
	var bounds map[string]any
	decoder := json.NewDecoder(strings.NewReader(`{"seed_lag_s":3,"reuse_s":2,"stable_window_ms":4000,"ack_ms":5000,"catchup_s":4,"drain_ms":3000,
		"grace_s":6,"loss_slack_ms":200,"config_ms":3000,"rollback_slack_ms":250,"skew_ms":12000,"recover_s":12,"flow_ms":2000,"flow_ttl_s":60}`))
	decoder.UseNumber()
	if decoder.Decode(&bounds) != nil {
		panic("bounds")
	}
	return bounds
}

// bounds returns the bounds in the settings of a machine.
func (e *entry) bounds() map[string]any {
	bounds := smallBounds()
	maps.Copy(bounds, e.changed)
	return bounds
}

// ownEnds returns the exit codes of the processes that ended by themselves.
func (e *entry) ownEnds() []int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return slices.Clone(e.exits)
}

// fields returns the fields of an entry's settings.
func (f *fleet) fields(e *entry) map[string]any {
	g := f.ground
	ip := g.at(entryKind, e.place, 0).Addr()
	zones := make(map[string]any)
	for _, zone := range f.zones {
		zones[zone] = "region-1"
	}
	var seeds []any
	// The first machine of each zone.
	for i, zone := range f.zones {
		if slices.Index(f.zones, zone) == i && len(seeds) < 3 {
			seeds = append(seeds, g.at(entryKind, i+1, g.control).String())
		}
	}
	whole := func(n int) json.Number { return json.Number(fmt.Sprint(n)) }
	return map[string]any{
		"node": fmt.Sprintf("front-%s-%d", e.zone, e.place), "role": "entry", "class": "front", "serves": []any{"front", "control"},
		"ip": ip.String(), "zone": e.zone, "region": "region-1", "zones": zones,
		"listen": map[string]any{
			"data_addr": netip.AddrPortFrom(ip, g.data).String(), "ready": netip.AddrPortFrom(ip, g.ready).String(), "control": netip.AddrPortFrom(ip, g.control).String(),
		},
		"port_range": []any{whole(int(g.links)), whole(int(g.links) + 15)},
		"seeds":      seeds, "bootstrap": e.starts == 0, "count_loss": false,
		"limits":    map[string]any{"cpu_share": json.Number("0.4"), "cores": whole(1), "ram_mb": whole(284), "max_fds": whole(4100), "link_mbps": json.Number("1000.0"), "disk_mb": whole(0)},
		"discovery": "platform", "entry": "announce", "beat_ms": whole(int(beat.Milliseconds())),
		"tolerate": map[string]any{"machines": whole(1), "zones": whole(1), "regions": whole(0)},
		"bounds":   e.bounds(), "hash": "steady", "encap": "echo",
		"platform": map[string]any{"addr": g.at(storeKind, e.place, g.store).String(), "encap": "read", "writes_per_s": whole(400), "reads_per_s": whole(2000), "history_s": whole(20), "value_bytes": whole(1048576), "ttl_min_ms": whole(1000)},
	}
}

// writeSettings fills in the template and places the result.
func (e *entry) writeSettings() error {
	text := render(e.fleet.layout, e.fleet.fields(e))
	next := e.path + ".next"
	if err := os.WriteFile(next, []byte(text), 0o600); err != nil {
		return err
	}
	return os.Rename(next, e.path)
}

// power starts the process and starts it again whenever it ends, while there is power.
func (e *entry) power() error {
	e.mutex.Lock()
	e.dark = false
	e.mutex.Unlock()
	return e.start()
}

func (e *entry) start() error {
	if err := e.writeSettings(); err != nil {
		return err
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.dark || e.stopped {
		return nil
	}
	out, err := os.OpenFile(filepath.Join(e.fleet.folder, fmt.Sprintf("entry-%d.log", e.place)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	words := e.fleet.run
	c := exec.Command(filepath.Join(e.fleet.root, words[0]), words[1:]...)
	c.Dir, c.Stdout, c.Stderr = e.fleet.root, out, out
	c.Env = []string{"AGATEREACH_BOOT=" + e.path}
	for _, name := range []string{"PATH", "HOME", "LANG"} {
		c.Env = append(c.Env, name+"="+os.Getenv(name))
	}
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	e.process, e.ended = c, make(chan struct{})
	e.starts++
	ended := e.ended
	e.fleet.record.line("entry %d started", e.place)
	go func() {
		_ = c.Wait()
		_ = out.Close()
		close(ended)
		e.mutex.Lock()
		if c.ProcessState.ExitCode() > 0 {
			e.exits = append(e.exits, c.ProcessState.ExitCode())
		}
		again := !e.dark && !e.stopped
		e.mutex.Unlock()
		e.fleet.record.line("entry %d ended: %s", e.place, c.ProcessState)
		if again {
			time.Sleep(restartDelay)
			_ = e.start()
		}
	}()
	return nil
}

// signal sends the process a signal.
func (e *entry) signal(s syscall.Signal) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.process != nil {
		_ = e.process.Process.Signal(s)
	}
}

// cutPower takes the machine's power away.
func (e *entry) cutPower() {
	e.mutex.Lock()
	e.dark = true
	ended := e.ended
	e.mutex.Unlock()
	e.signal(syscall.SIGKILL)
	<-ended
}

// restart sends the stop signal, waits for the end of the process, and starts it again.
func (e *entry) restart() error {
	e.mutex.Lock()
	e.dark = true
	ended := e.ended
	e.mutex.Unlock()
	e.signal(syscall.SIGTERM)
	select {
	case <-ended:
	case <-time.After(graceTime):
		e.signal(syscall.SIGKILL)
		<-ended
	}
	return e.power()
}

// close ends all processes.
func (f *fleet) close() {
	for _, e := range f.entries {
		e.mutex.Lock()
		e.stopped = true
		ended := e.ended
		e.mutex.Unlock()
		e.signal(syscall.SIGKILL)
		if ended != nil {
			<-ended
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.folder)
	}
}

// routers choose the entry of a client's packet.
type routers struct {
	fleet *fleet
	mutex sync.Mutex
	// zone is the zone of the clients, empty for all.
	zone string
	// misses counts the probes in turn that an entry has missed.
	misses []int
}

// newRouters returns routers that ask each entry twice a second whether it is ready.
func newRouters(f *fleet) *routers {
	r := &routers{fleet: f, misses: make([]int, len(f.entries))}
	for i, e := range f.entries {
		r.misses[i] = 2
		go func() {
			client := http.Client{Timeout: 400 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
			for range time.Tick(500 * time.Millisecond) {
				ready := false
				if response, err := client.Get("http://" + f.ground.at(entryKind, e.place, f.ground.ready).String() + "/readyz"); err == nil {
					ready = response.StatusCode == http.StatusOK
					_ = response.Body.Close()
				}
				r.mutex.Lock()
				if r.misses[i]++; ready {
					r.misses[i] = 0
				}
				r.mutex.Unlock()
			}
		}()
	}
	return r
}

// ready returns the number of entries in rotation.
func (r *routers) ready() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	count := 0
	for _, m := range r.misses {
		if m < 2 {
			count++
		}
	}
	return count
}

// choose returns the entry for a flow's packet: the first in the flow's order of those of the
// clients' zone that are in rotation, or of all of that zone if fewer than half are.
func (r *routers) choose(flow flowID) (netip.AddrPort, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var own, ready []int
	for i, e := range r.fleet.entries {
		if r.zone != "" && e.zone != r.zone {
			continue
		}
		own = append(own, i)
		if r.misses[i] < 2 {
			ready = append(ready, i)
		}
	}
	if 2*len(ready) < len(own) && len(ready) > 0 {
		ready = own
	}
	best, highest := -1, uint64(0)
	for _, i := range ready {
		h := fnv.New64a()
		fmt.Fprint(h, flow, i)
		if score := h.Sum64() * 0x9e3779b97f4a7c15; best < 0 || score > highest {
			best, highest = i, score
		}
	}
	if best < 0 {
		return netip.AddrPort{}, false
	}
	return r.fleet.ground.at(entryKind, best+1, r.fleet.ground.data), true
}

// waitReady waits until all entries are in rotation.
func (r *routers) waitReady() error {
	for range 100 {
		if r.ready() == len(r.misses) {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return errors.New("not all entries became ready")
}

var placeholder = regexp.MustCompile(`\{\{[^}]*\}\}`)

// render fills in a template of the deploy file.
func render(text string, value any) string {
	for {
		open := regexp.MustCompile(`\{\{([#^])([^}]*)\}\}`).FindStringSubmatchIndex(text)
		if open == nil {
			break
		}
		name := text[open[4]:open[5]]
		end := "{{/" + name + "}}"
		size := strings.Index(text[open[1]:], end)
		if size < 0 {
			break
		}
		inner := text[open[1] : open[1]+size]
		v, held := look(value, name)
		filled := ""
		present := held && v != nil && v != false
		if negated := text[open[2]] == '^'; negated != present {
			filled = inner
			if present {
				filled = strings.ReplaceAll(inner, "{{.}}", plain(v))
			}
		}
		text = text[:open[0]] + filled + text[open[1]+size+len(end):]
	}
	return placeholder.ReplaceAllStringFunc(text, func(word string) string {
		name, form, _ := strings.Cut(strings.Trim(word, "{}"), "|")
		v, held := look(value, name)
		switch {
		case !held || v == nil:
			return ""
		case form == "json":
			encoded, _ := json.Marshal(v)
			return string(encoded)
		}
		return plain(v)
	})
}

func look(value any, name string) (any, bool) {
	for _, part := range strings.Split(name, ".") {
		switch held := value.(type) {
		case map[string]any:
			next, ok := held[part]
			if !ok {
				return nil, false
			}
			value = next
		case []any:
			index := 0
			if _, err := fmt.Sscan(part, &index); err != nil || index >= len(held) {
				return nil, false
			}
			value = held[index]
		default:
			return nil, false
		}
	}
	return value, true
}

func plain(v any) string {
	var b bytes.Buffer
	fmt.Fprint(&b, v)
	return b.String()
}

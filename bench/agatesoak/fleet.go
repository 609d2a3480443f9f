package agatesoak

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pelletier/go-toml/v2"

	"agatereach/bench/agatechild"
	"agatereach/bench/agateground"
	"agatereach/bench/agatepromise"
	"agatereach/core/process/agatedump"
	"agatereach/core/process/agatesetup"
)

const (
	// probeInterval is the time between two readiness checks of the routers, and
	// misses the number of them after which an entry is out of rotation.
	probeInterval = 500 * time.Millisecond
	misses        = 2
	callTimeout   = 400 * time.Millisecond
	// memory is the memory that a process may use, in MB: that of the smallest
	// VMs that users have told of.
	memory = 104
	// stateTimeout bounds the request for a dump.
	stateTimeout = 3 * time.Second
)

// entry is one entry VM with its process.
type entry struct {
	place    int
	settings string
	log      *os.File
	mutex    sync.Mutex
	// child is the process; nil while there is none. leaving is one that was
	// asked to stop and has not yet; no other is started before it has.
	child, leaving *agatechild.Child
	// paused counts the pauses under way.
	paused int
}

// prepare writes the entry's settings and opens its log.
func (s *soak) prepare(place int) (*entry, error) {
	e := &entry{place: place, settings: filepath.Join(s.directory, agateground.VM(place)+".toml")}
	if err := s.configure(e, 0); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(s.directory, agateground.VM(place)+".log"))
	e.log = log
	return e, err
}

// configure writes the entry's settings file; turn chooses the seeds.
func (s *soak) configure(e *entry, turn int) error {
	setup := agatesetup.Setup{
		Name: agateground.VM(e.place), Centre: s.ground.Centre(e.place),
		Packets: s.ground.At(agateground.Entry, e.place, agateground.PacketPort),
		Ready:   s.ground.At(agateground.Entry, e.place, agateground.ReadyPort),
		Links:   s.ground.At(agateground.Entry, e.place, agateground.LinkPort),
		Inspect: s.ground.At(agateground.Entry, e.place, agateground.InspectPort),
		Seeds:   s.seeds(turn),
		Store:   s.ground.At(agateground.Valve, e.place, agateground.StorePort),
		// The bounds of the runs' record.
		MemoryMB: memory,
		Cold:     agatesetup.Cold{Over: coldOver, Slack: coldSlack},
		Bounds: agatesetup.Bounds{
			Config: milliseconds(bounds.Config), Drain: milliseconds(bounds.Drain), Evacuate: milliseconds(bounds.Evacuate),
			Grace: grace.Seconds(), Lifetime: bounds.Lifetime.Seconds(),
		},
	}
	text, err := toml.Marshal(setup)
	if err != nil {
		return err
	}
	return os.WriteFile(e.settings, text, 0o600)
}

// milliseconds returns a duration as a number of ms.
func milliseconds(d time.Duration) float64 { return d.Seconds() * 1000 }

// seeds returns three entries' addresses, others for each turn.
func (s *soak) seeds(turn int) []netip.AddrPort {
	const count = 3
	var seeds []netip.AddrPort
	for i := range count {
		place := 1 + (turn+i)%s.options.Entries
		seeds = append(seeds, s.ground.At(agateground.Relay, place, agateground.ReadyPort))
	}
	return seeds
}

// start starts the entry's process, unless it runs or the run is over.
func (s *soak) start(e *entry) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.child != nil || e.leaving != nil || s.ctx.Err() != nil {
		return
	}
	child, _, err := agatechild.Exec(agateground.VM(e.place), s.binary, e.log, "--config", e.settings)
	if err != nil {
		s.fail(err)
		return
	}
	e.child = child
	s.record.Started(agateground.VM(e.place), s.now())
	go s.guard(e, child)
}

// guard notes a process that ends though nobody has ended it.
func (s *soak) guard(e *entry, child *agatechild.Child) {
	for !child.Wait(time.Second) {
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.child == child {
		e.child = nil
		s.record.Broke(agatepromise.Process, s.now(), "the process of %s ended by itself", agateground.VM(e.place))
	}
}

// kill ends the entry's processes at once.
func (e *entry) kill() {
	e.mutex.Lock()
	ending := []*agatechild.Child{e.child, e.leaving}
	e.child = nil
	e.mutex.Unlock()
	for _, child := range ending {
		if child != nil {
			child.Kill()
		}
	}
}

// leave asks the entry's process to stop and returns it, nil if there is none.
func (e *entry) leave() *agatechild.Child {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	child := e.child
	if child == nil || child.Signal(syscall.SIGTERM) != nil {
		return nil
	}
	e.child, e.leaving = nil, child
	return child
}

// left notes that the process which was asked to stop has.
func (e *entry) left() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.leaving = nil
}

// signal sends the entry's process a signal, if there is one.
func (e *entry) signal(signal syscall.Signal) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.child != nil {
		_ = e.child.Signal(signal)
	}
}

// pause stops the process or, with -1, lets it go on once nobody wants it stopped.
func (e *entry) pause(change int) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.paused += change
	signal := syscall.SIGCONT
	if e.paused > 0 {
		signal = syscall.SIGSTOP
	}
	for _, child := range []*agatechild.Child{e.child, e.leaving} {
		if child != nil {
			_ = child.Signal(signal)
		}
	}
}

// probe checks the readiness of an entry as routers do, until the run ends.
func (s *soak) probe(e *entry) {
	client := &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	url := "http://" + s.ground.At(agateground.Entry, e.place, agateground.ReadyPort).String() + "/readyz"
	for missed := 0; ; {
		response, err := client.Get(url)
		ok := err == nil && response.StatusCode == http.StatusOK
		if err == nil {
			_ = response.Body.Close()
		}
		missed++
		if ok {
			missed = 0
			s.routers.Set(e.place, true)
		}
		if missed >= misses {
			s.routers.Set(e.place, false)
		}
		select {
		case <-s.ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// state returns the dump of the entry's process.
func (s *soak) state(e *entry) (agatedump.Dump, error) {
	ctx, cancel := context.WithTimeout(s.ctx, stateTimeout)
	defer cancel()
	var dump agatedump.Dump
	url := "http://" + s.ground.At(agateground.Entry, e.place, agateground.InspectPort).String() + "/state"
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return dump, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return dump, err
	}
	err = json.NewDecoder(response.Body).Decode(&dump)
	return dump, errors.Join(err, response.Body.Close())
}

// peak returns the most memory that a process has used, in MB.
func peak(pid int) (int, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for _, line := range bytes.Split(text, []byte("\n")) {
		if rest, found := strings.CutPrefix(string(line), "VmHWM:"); found {
			kilobytes, err := strconv.Atoi(strings.Fields(rest)[0])
			return kilobytes >> 10, err
		}
	}
	return 0, nil
}

// Package agatesetup reads and checks the settings of an entry process whose
// backend servers answer the callers themselves.
package agatesetup

import (
	"bytes"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// Limits on the values of settings.
const (
	maxMemoryMB = 1 << 20
	maxDuration = time.Hour
	// maxLink is the fastest link that is believed, in Mbit/s.
	maxLink = 1e6
)

// Setup holds the settings of a process.
type Setup struct {
	// Name is the name of the VM.
	Name string `toml:"name"`
	// Centre names the data centre.
	Centre string `toml:"centre"`
	// Packets is where callers' packets arrive, over UDP.
	Packets netip.AddrPort `toml:"packets"`
	// Ready is where the readiness endpoint is served, over HTTP.
	Ready netip.AddrPort `toml:"ready"`
	// Links is where other entries' datagrams arrive, over UDP. It has the same
	// port on every VM.
	Links netip.AddrPort `toml:"links"`
	// Inspect is where metrics and the state are served, over HTTP; invalid for
	// nowhere.
	Inspect netip.AddrPort `toml:"inspect"`
	// Seeds are entries that a process asks for others. Only their IP
	// addresses count; some may be wrong or down.
	Seeds []netip.AddrPort `toml:"seeds"`
	// Store is where registrations and configuration are read.
	Store netip.AddrPort `toml:"store"`
	// MemoryMB is the memory that the process may use, in MB.
	MemoryMB int `toml:"memory"`
	// Link is what the VM's link bears, in Mbit/s; 0 if it is not known.
	Link float64 `toml:"link"`
	// Bounds are the promised times.
	Bounds Bounds `toml:"bounds"`
}

// Bounds are the times that the deployment promises.
type Bounds struct {
	// Config is the time until a configuration is in force, in ms.
	Config int `toml:"config"`
	// Drain is the time until a server that leaves gets nothing new, in ms.
	Drain int `toml:"drain"`
	// Grace is the time between the signal to stop and the kill, in s.
	Grace int `toml:"grace"`
	// Lifetime is the time that a flow may last, in s.
	Lifetime int `toml:"lifetime"`
}

// ReadError reports a settings file that cannot be read.
type ReadError struct {
	// Path is the file.
	Path string
	// Err is the system's error.
	Err error
}

// Error names the file and the cause.
func (e *ReadError) Error() string { return fmt.Sprintf("read settings %s: %v", e.Path, e.Err) }

// Unwrap returns the cause.
func (e *ReadError) Unwrap() error { return e.Err }

// SyntaxError reports a settings file that is not TOML of the expected form.
type SyntaxError struct {
	// Path is the file, and Row the line, 0 if it is not known.
	Path string
	Row  int
	// Err is the decoder's error.
	Err error
}

// Error names the file and the place.
func (e *SyntaxError) Error() string {
	return fmt.Sprintf("settings %s, line %d: %v", e.Path, e.Row, e.Err)
}

// Unwrap returns the decoder's error.
func (e *SyntaxError) Unwrap() error { return e.Err }

// FaultsError reports all settings that are not valid.
type FaultsError struct {
	// Path is the file.
	Path string
	// Faults say what is wrong, each with its key.
	Faults []string
}

// Error lists the faults.
func (e *FaultsError) Error() string {
	return fmt.Sprintf("settings %s: %s", e.Path, strings.Join(e.Faults, "; "))
}

// Load reads and checks the file. The errors are *ReadError, *SyntaxError and
// *FaultsError.
func Load(path string) (*Setup, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, &ReadError{Path: path, Err: err}
	}
	return Parse(path, text)
}

// Parse reads and checks the text of the file that path names. Keys that it
// does not know are ignored, since new ones may come with the deployment.
func Parse(path string, text []byte) (*Setup, error) {
	var s Setup
	if err := toml.NewDecoder(bytes.NewReader(text)).Decode(&s); err != nil {
		row := 0
		var place *toml.DecodeError
		if errors.As(err, &place) {
			row, _ = place.Position()
		}
		return nil, &SyntaxError{Path: path, Row: row, Err: err}
	}
	if faults := s.faults(); len(faults) > 0 {
		return nil, &FaultsError{Path: path, Faults: faults}
	}
	return &s, nil
}

// faults returns what is wrong, all at once.
func (s *Setup) faults() []string {
	var faults []string
	fault := func(wrong bool, key, reason string) {
		if wrong {
			faults = append(faults, key+" "+reason)
		}
	}
	fault(s.Name == "", "name", "must be set")
	fault(s.Centre == "", "centre", "must be set")
	for key, address := range map[string]netip.AddrPort{
		"packets": s.Packets, "ready": s.Ready, "links": s.Links, "store": s.Store,
	} {
		fault(!address.IsValid() || !address.Addr().Is4() || address.Port() == 0, key, "must be an IPv4 address with a port")
	}
	fault(!(s.Link >= 0) || s.Link > maxLink, "link", "must be a number of Mbit/s, or left out")
	fault(s.MemoryMB < 1 || s.MemoryMB > maxMemoryMB, "memory", "must be a number of MB")
	for key, value := range map[string]time.Duration{
		"bounds.config":   s.Bounds.ConfigTime(),
		"bounds.drain":    s.Bounds.DrainTime(),
		"bounds.grace":    s.Bounds.GraceTime(),
		"bounds.lifetime": s.Bounds.LifetimeTime(),
	} {
		fault(value <= 0 || value > maxDuration, key, "must be a positive time of at most an hour")
	}
	return faults
}

// WithSeeds returns the settings with other seeds.
func (s *Setup) WithSeeds(seeds []netip.AddrPort) *Setup {
	next := *s
	next.Seeds = seeds
	return &next
}

// LinkBytes returns what the link bears in bytes a second, 0 if it is not known.
func (s *Setup) LinkBytes() int { return int(s.Link * 1e6 / 8) }

// ConfigTime returns the time until a configuration is in force.
func (b Bounds) ConfigTime() time.Duration { return time.Duration(b.Config) * time.Millisecond }

// DrainTime returns the time until a server that leaves gets nothing new.
func (b Bounds) DrainTime() time.Duration { return time.Duration(b.Drain) * time.Millisecond }

// GraceTime returns the time between the signal to stop and the kill.
func (b Bounds) GraceTime() time.Duration { return time.Duration(b.Grace) * time.Second }

// LifetimeTime returns the time that a flow may last.
func (b Bounds) LifetimeTime() time.Duration { return time.Duration(b.Lifetime) * time.Second }

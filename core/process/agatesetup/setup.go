// Package agatesetup reads and checks the settings of an entry process that uses
// direct server return: its backend servers answer the callers directly.
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
	// minDuration and maxDuration limit all times.
	minDuration = time.Millisecond
	maxDuration = time.Hour
	// maxLinkMbps is the fastest link that is accepted, in Mbit/s.
	maxLinkMbps = 1e6
	// maxColdOver and maxColdSlack are the largest factor and number of flows by which
	// the rate of a cold server may be exceeded.
	maxColdOver  = 100
	maxColdSlack = 1e6
	// maxHedgeShare is the largest share of flows that may be offered to two servers:
	// beyond a tenth, the extra flows would themselves be a load.
	maxHedgeShare = 0.1
)

// Setup holds the settings of an entry process. Any figure may be a fraction.
type Setup struct {
	// Name is the name of the VM.
	Name string `toml:"name"`
	// Centre is the name of the data centre.
	Centre string `toml:"centre"`
	// Packets is the UDP address that receives the callers' packets.
	Packets netip.AddrPort `toml:"packets"`
	// Ready is the HTTP address of the readiness endpoint.
	Ready netip.AddrPort `toml:"ready"`
	// Links is the UDP address that receives the datagrams of other entries. Its
	// port is the same on every VM.
	Links netip.AddrPort `toml:"links"`
	// Inspect is the HTTP address of the metrics and the state; the zero value if
	// they are not served.
	Inspect netip.AddrPort `toml:"inspect"`
	// Seeds holds the entries through which a process finds the others. Only their
	// IP addresses are used; some may be wrong or down.
	Seeds []netip.AddrPort `toml:"seeds"`
	// Store is the address of the store of registrations and configuration.
	Store netip.AddrPort `toml:"store"`
	// MemoryMB is the memory limit of the process in MB, 1 to maxMemoryMB.
	MemoryMB float64 `toml:"memory"`
	// Link is the bandwidth of the VM's link in Mbit/s; 0 if it is not known.
	Link float64 `toml:"link"`
	// Bounds holds the guaranteed times.
	Bounds Bounds `toml:"bounds"`
	// Cold limits the flows to servers that have just started.
	Cold Cold `toml:"cold"`
	// Hedge limits the flows that are offered to two servers.
	Hedge Hedge `toml:"hedge"`
}

// Cold holds how far the flows to a cold server may exceed the rate of its service, all
// entries together: in any second, the rate times Over plus Slack.
type Cold struct {
	// Over is a factor, 1 or higher; 0 if it is not set.
	Over float64 `toml:"over"`
	// Slack is a number of flows.
	Slack float64 `toml:"slack"`
}

// Hedge limits the flows that are offered to two servers.
type Hedge struct {
	// Share is the maximum share, from 0 to 0.1, of the new flows whose requests may be
	// repeated; 0 turns hedging off.
	Share float64 `toml:"share"`
}

// Bounds holds the times that the deployment guarantees, each minDuration to maxDuration.
type Bounds struct {
	// Config is the maximum time until a configuration is applied, in ms.
	Config float64 `toml:"config"`
	// Drain is the maximum time until a draining server gets no new flows, in ms.
	Drain float64 `toml:"drain"`
	// Grace is the time between the stop signal and the kill, in s.
	Grace float64 `toml:"grace"`
	// Lifetime is the maximum duration of a flow, in s.
	Lifetime float64 `toml:"lifetime"`
	// Beat is the time between two writes of a server to the store, in ms; 0 if it is
	// not known.
	Beat float64 `toml:"beat,omitempty"`
	// Evacuate is the maximum time until an evacuated data centre gets no new flows, in
	// ms; 0 if it is not known.
	Evacuate float64 `toml:"evacuate,omitempty"`
}

// ReadError reports a settings file that cannot be read.
type ReadError struct {
	// Path is the path of the file.
	Path string
	// Err is the error of the operating system.
	Err error
}

// Error names the file and the cause.
func (e *ReadError) Error() string { return fmt.Sprintf("read settings %s: %v", e.Path, e.Err) }

// Unwrap returns the cause.
func (e *ReadError) Unwrap() error { return e.Err }

// SyntaxError reports a settings file that can't be decoded as TOML.
type SyntaxError struct {
	// Path is the path of the file, and Row the line, 0 if it is not known.
	Path string
	Row  int
	// Err is the decoder's error.
	Err error
}

// Error names the file, the line and the cause.
func (e *SyntaxError) Error() string {
	return fmt.Sprintf("settings %s, line %d: %v", e.Path, e.Row, e.Err)
}

// Unwrap returns the decoder's error.
func (e *SyntaxError) Unwrap() error { return e.Err }

// FaultsError reports all settings whose values are not valid.
type FaultsError struct {
	// Path is the path of the file.
	Path string
	// Faults describes each fault, beginning with the key of the setting.
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

// Parse decodes and checks the text of a settings file; path is used in errors
// only. Unknown keys are ignored, so that a deployment may add new ones.
func Parse(path string, text []byte) (*Setup, error) {
	var s Setup
	if err := toml.NewDecoder(bytes.NewReader(text)).Decode(&s); err != nil {
		row := 0
		var decodeErr *toml.DecodeError
		if errors.As(err, &decodeErr) {
			row, _ = decodeErr.Position()
		}
		return nil, &SyntaxError{Path: path, Row: row, Err: err}
	}
	if faults := s.faults(); len(faults) > 0 {
		return nil, &FaultsError{Path: path, Faults: faults}
	}
	return &s, nil
}

// faults returns a description of each setting that is not valid.
func (s *Setup) faults() []string {
	var faults []string
	check := func(invalid bool, key, reason string) {
		if invalid {
			faults = append(faults, key+" "+reason)
		}
	}
	check(s.Name == "", "name", "must be set")
	check(s.Centre == "", "centre", "must be set")
	for key, address := range map[string]netip.AddrPort{
		"packets": s.Packets, "ready": s.Ready, "links": s.Links, "store": s.Store,
	} {
		check(!address.IsValid() || !address.Addr().Is4() || address.Port() == 0, key, "must be an IPv4 address with a port")
	}
	check(!(s.Link >= 0) || s.Link > maxLinkMbps, "link", "must be a number of Mbit/s, or left out")
	check(!(s.MemoryMB >= 1 && s.MemoryMB <= maxMemoryMB), "memory", "must be a number of MB")
	check(s.Cold.Over != 0 && !(s.Cold.Over >= 1 && s.Cold.Over <= maxColdOver), "cold.over", "must be a factor of 1 to 100, or left out")
	check(!(s.Cold.Slack >= 0 && s.Cold.Slack <= maxColdSlack), "cold.slack", "must be a number of flows, or left out")
	check(!(s.Hedge.Share >= 0 && s.Hedge.Share <= maxHedgeShare), "hedge.share", "must be 0 to 0.1, or left out")
	for key, value := range map[string]struct {
		figure   float64
		unit     time.Duration
		optional bool
	}{
		"bounds.config":   {s.Bounds.Config, time.Millisecond, false},
		"bounds.drain":    {s.Bounds.Drain, time.Millisecond, false},
		"bounds.grace":    {s.Bounds.Grace, time.Second, false},
		"bounds.lifetime": {s.Bounds.Lifetime, time.Second, false},
		"bounds.beat":     {s.Bounds.Beat, time.Millisecond, true},
		"bounds.evacuate": {s.Bounds.Evacuate, time.Millisecond, true},
	} {
		if value.optional && value.figure == 0 {
			continue
		}
		check(!isTime(value.figure, value.unit), key, "must be a time of 1 ms to an hour")
	}
	return faults
}

// isTime reports whether a figure is a time from minDuration to maxDuration. NaN is not.
func isTime(figure float64, unit time.Duration) bool {
	nanoseconds := figure * float64(unit)
	return nanoseconds >= float64(minDuration) && nanoseconds <= float64(maxDuration)
}

// timeOf returns the duration of a figure for which isTime holds, or of 0.
func timeOf(figure float64, unit time.Duration) time.Duration {
	return time.Duration(figure * float64(unit))
}

// WithSeeds returns the settings with other seeds.
func (s *Setup) WithSeeds(seeds []netip.AddrPort) *Setup {
	next := *s
	next.Seeds = seeds
	return &next
}

// LinkBytes returns the bandwidth of the link in bytes per second, 0 if it is not
// known.
func (s *Setup) LinkBytes() int { return int(s.Link * 1e6 / 8) }

// ConfigTime returns the maximum time until a configuration is applied.
func (b Bounds) ConfigTime() time.Duration { return timeOf(b.Config, time.Millisecond) }

// DrainTime returns the maximum time until a draining server gets no new flows.
func (b Bounds) DrainTime() time.Duration { return timeOf(b.Drain, time.Millisecond) }

// GraceTime returns the time between the stop signal and the kill.
func (b Bounds) GraceTime() time.Duration { return timeOf(b.Grace, time.Second) }

// BeatTime returns the time between two writes of a server to the store, 0 if it is not
// known.
func (b Bounds) BeatTime() time.Duration { return timeOf(b.Beat, time.Millisecond) }

// LifetimeTime returns the maximum duration of a flow.
func (b Bounds) LifetimeTime() time.Duration { return timeOf(b.Lifetime, time.Second) }

// EvacuateTime returns the maximum time until an evacuated data centre gets no new flows,
// 0 if it is not known.
func (b Bounds) EvacuateTime() time.Duration { return timeOf(b.Evacuate, time.Millisecond) }

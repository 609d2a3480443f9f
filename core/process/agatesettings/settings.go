// Package agatesettings reads and checks the settings of an entry process.
package agatesettings

import (
	"bytes"
	"errors"
	"log/slog"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"

	"agatereach/core/version/agatekeyring"
)

// Format is the form of the log.
type Format string

// The forms of the log.
const (
	// Text writes key=value lines.
	Text Format = "text"
	// JSON writes an object a line.
	JSON Format = "json"
)

// Settings holds the checked settings of a process. It is immutable.
type Settings struct {
	// VM is the name of the VM, not empty.
	VM string
	// Centre is the number of the data centre, not 0.
	Centre uint16
	// Listen holds the addresses to listen at.
	Listen Listen
	// Link and Relay are the addresses that other entries reach the process
	// at; those of Listen unless something stands in front.
	Link, Relay netip.AddrPort
	// Platform holds the platform's addresses, host:port, at least one.
	Platform []string
	// Budget is the number of reads a second that the whole fleet may make.
	Budget int
	// Peers says how the process talks to other entries.
	Peers Peers
	// Token is the bearer token of the administration API; empty for none,
	// which needs a loopback address.
	Token string
	// LogFormat and LogLevel set up the log.
	LogFormat Format
	LogLevel  slog.Level
	// Policy names the placement policy; empty for the default.
	Policy string
	// Packets bounds what the packet path holds.
	Packets Packets
	// Drain is the longest time that a planned stop waits for requests.
	Drain time.Duration
	// DumpFD is the file descriptor that a dump asked for by signal is
	// written to; negative for the log.
	DumpFD int
}

// Listen holds the addresses that a process listens at.
type Listen struct {
	// Callers holds the addresses for callers, at least one.
	Callers []netip.AddrPort
	// Sockets is the number of sockets for each callers' address.
	Sockets int
	// Servers is where backend servers' datagrams arrive; port 0 lets the
	// system choose.
	Servers netip.AddrPort
	// Relay and Link are where other entries' datagrams and links arrive.
	Relay, Link netip.AddrPort
	// Admin is where the administration API is served.
	Admin netip.AddrPort
}

// Peers says how a process talks to other entries.
type Peers struct {
	// Secret authenticates the links.
	Secret agatekeyring.Secret
	// Cert, Key and CA name PEM files for TLS; all set or none.
	Cert, Key, CA string
	// Degree is the number of links that a process keeps.
	Degree int
	// Readers is the number of a data centre's processes that watch the
	// platform.
	Readers int
}

// Packets bounds what the packet path holds.
type Packets struct {
	// Batch is the number of datagrams received or sent by one system call.
	Batch int
	// Queue is the number of datagrams that wait for the dispatcher.
	Queue int
	// Refusals is the number of refusals a second that answer datagrams
	// which are not authentic.
	Refusals int
}

// Load reads and checks the file. The errors are *ReadError, *SyntaxError and
// *FaultsError.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, &ReadError{Path: path, Err: err}
	}
	return Parse(path, text)
}

// Parse reads and checks the text of the file that path names. The errors are
// *SyntaxError and *FaultsError.
func Parse(path string, text []byte) (*Settings, error) {
	var d document
	var c checker
	err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(&d)
	var unknown *toml.StrictMissingError
	var syntax *toml.DecodeError
	switch {
	case errors.As(err, &unknown):
		for i := range unknown.Errors {
			c.fault(strings.Join(unknown.Errors[i].Key(), "."), "is not a setting")
		}
	case errors.As(err, &syntax):
		row, column := syntax.Position()
		return nil, &SyntaxError{Path: path, Row: row, Column: column, Err: err}
	case err != nil:
		return nil, &SyntaxError{Path: path, Err: err}
	}
	s := c.settings(&d)
	if len(c.faults) > 0 {
		return nil, &FaultsError{Path: path, Faults: c.faults}
	}
	return s, nil
}

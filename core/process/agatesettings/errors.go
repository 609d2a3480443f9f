package agatesettings

import (
	"fmt"
	"strings"
)

// Fault is one thing that is wrong with a settings file.
type Fault struct {
	// Key is the dotted name of the setting.
	Key string `json:"key"`
	// Reason says what is wrong with it.
	Reason string `json:"reason"`
}

// String returns the key and the reason.
func (f Fault) String() string { return f.Key + ": " + f.Reason }

// FaultsError reports everything that is wrong with a settings file.
type FaultsError struct {
	// Path names the file.
	Path string
	// Faults holds at least one fault.
	Faults []Fault
}

// Error lists the faults, one a line.
func (e *FaultsError) Error() string {
	lines := []string{fmt.Sprintf("settings %s: %d faults", e.Path, len(e.Faults))}
	for _, fault := range e.Faults {
		lines = append(lines, "  "+fault.String())
	}
	return strings.Join(lines, "\n")
}

// ReadError reports a settings file that cannot be read.
type ReadError struct {
	// Path names the file.
	Path string
	// Err is the cause.
	Err error
}

// Error names the file and the cause.
func (e *ReadError) Error() string { return fmt.Sprintf("read settings %s: %v", e.Path, e.Err) }

// Unwrap returns the cause.
func (e *ReadError) Unwrap() error { return e.Err }

// SyntaxError reports a settings file that is not TOML.
type SyntaxError struct {
	// Path names the file.
	Path string
	// Row and Column are where reading ended, counted from 1.
	Row, Column int
	// Err is the decoder's error.
	Err error
}

// Error names the file, the place and the cause.
func (e *SyntaxError) Error() string {
	return fmt.Sprintf("settings %s: line %d, column %d: %v", e.Path, e.Row, e.Column, e.Err)
}

// Unwrap returns the decoder's error.
func (e *SyntaxError) Unwrap() error { return e.Err }

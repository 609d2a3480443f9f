// Package agatepanic converts a panic in a unit of work into an error. It is meant
// for units that can't corrupt state that outlives them, and for processes that
// must shut down in order and log the cause.
package agatepanic

import (
	"fmt"
	"runtime/debug"
)

// Panic reports that a unit of work has panicked.
type Panic struct {
	// Unit names the unit of work.
	Unit string
	// Value is the value passed to panic, and Stack the stack trace.
	Value any
	Stack []byte
}

// Error names the unit and the value, followed by the stack trace.
func (p *Panic) Error() string { return fmt.Sprintf("panic in %s: %v\n%s", p.Unit, p.Value, p.Stack) }

// Catch runs a unit of work and returns its error, or a *Panic if it panics.
func Catch(unit string, run func() error) (err error) {
	defer func() {
		if value := recover(); value != nil {
			err = &Panic{Unit: unit, Value: value, Stack: debug.Stack()}
		}
	}()
	return run()
}

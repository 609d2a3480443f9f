// Package agatepanic turns a panic of one unit of work into an error, where the
// state that outlives the unit stays sound, or where the process is to end in order
// with the cause in its log.
package agatepanic

import (
	"fmt"
	"runtime/debug"
)

// Panic reports that a unit of work has panicked.
type Panic struct {
	// Unit names the unit of work.
	Unit string
	// Value is what it panicked with, and Stack where.
	Value any
	Stack []byte
}

// Error names the unit and the value, and where it happened.
func (p *Panic) Error() string { return fmt.Sprintf("panic in %s: %v\n%s", p.Unit, p.Value, p.Stack) }

// Catch runs a unit of work. The error is that of the unit, or a *Panic.
func Catch(unit string, run func() error) (err error) {
	defer func() {
		if value := recover(); value != nil {
			err = &Panic{Unit: unit, Value: value, Stack: debug.Stack()}
		}
	}()
	return run()
}

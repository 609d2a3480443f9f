// Package agateseed makes the property tests of a package draw the same inputs
// in every run, so that a run has one verdict.
package agateseed

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

const (
	// name is the flag of the property tests' library that sets the seed.
	name = "rapid.seed"
	// fixed is the seed of runs that name none.
	fixed = "1"
)

// Main runs the tests of a package with the seed that -rapid.seed names, or else
// with a fixed one, and ends the process. It is meant to be all of a TestMain.
func Main(m *testing.M) {
	flag.Parse()
	f := flag.Lookup(name)
	if f == nil {
		os.Exit(m.Run())
	}
	if f.Value.String() == f.DefValue {
		if err := f.Value.Set(fixed); err != nil {
			fmt.Fprintln(os.Stderr, "seed:", err)
			os.Exit(2)
		}
	}
	if testing.Verbose() {
		fmt.Println("seed:", f.Value)
	}
	os.Exit(m.Run())
}

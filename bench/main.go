// Command bench runs agatereach against stand-ins of its surroundings, as real
// processes on loopback.
//
// It exits with 0 when every promise was kept, 1 when one broke, 2 for a wrong
// command line or scenario file, 3 when the run itself failed, 4 when no promise broke
// and one was not judged, and 130 when it was interrupted.
package main

import (
	"os"

	"agatereach/bench/agatecommand"
)

func main() {
	os.Exit(agatecommand.Main(os.Args[1:]))
}

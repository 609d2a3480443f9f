// Command standin plays the cases of the review: it stands in for the platform, the
// servers and the clients, and starts the project's program as the deploy file says.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// playLimit is how long a case may take.
const playLimit = 115 * time.Second

// verdict is the result of a case.
type verdict struct {
	broken []string
	notes  []string
}

// cases holds the cases by name. trouble is whether the disruption takes place.
var cases = map[string]func(trouble bool, v *verdict) (*fleet, error){
	"restart": playRestart,
	"storm":   playStorm,
	"stop":    playStop,
	"zone":    playZone,
	"clock":   playClock,
	"writer":  playWriter,
	"reader":  playReader,
}

func main() { os.Exit(play()) }

// play plays a case and returns the exit code.
func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "standin CASE RECORD")
		return exitFailed
	}
	trouble := os.Getenv("TROUBLE") != "0"
	type outcome struct {
		f   *fleet
		err error
	}
	v := &verdict{}
	ended := make(chan outcome, 1)
	go func() {
		f, err := cases[os.Args[1]](trouble, v)
		ended <- outcome{f, err}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case o := <-ended:
		return report(os.Args[2], trouble, v, o.f, o.err)
	case <-time.After(playLimit):
		fmt.Println("the case took too long")
	case s := <-signals:
		fmt.Println("ended by", s)
	}
	// The processes end with this one: they were started with a death signal.
	return exitFailed
}

// report writes the record and returns the exit code.
func report(path string, trouble bool, v *verdict, f *fleet, err error) int {
	lines := []string{fmt.Sprintf("case %s, disruption %v", os.Args[1], trouble)}
	if f != nil {
		for _, e := range f.entries {
			e.mu.Lock()
			if e.command != nil && !e.killed {
				select {
				case <-e.done:
					v.notes = append(v.notes, fmt.Sprintf("entry %d has ended by itself", e.place))
				default:
				}
			}
			e.mu.Unlock()
		}
		f.close()
		lines = append(lines, f.g.notes()...)
		v.broken = append(v.broken, f.seen.allMixed()...)
	}
	lines = append(lines, v.notes...)
	if f != nil {
		lines = append(lines, f.seen.list()...)
	}
	code := exitHeld
	switch {
	case err != nil:
		lines = append(lines, "the case couldn't run: "+err.Error())
		code = exitFailed
	case len(v.broken) > 0:
		lines = append(lines, v.broken...)
		lines = append(lines, fmt.Sprintf("the rule was broken %d times", len(v.broken)))
		code = exitBroken
	default:
		lines = append(lines, "the rule held")
	}
	if err := os.WriteFile(path, []byte(strings.Join(lines, "\n")+"\n"), 0o644); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	for _, line := range lines[max(0, len(lines)-8):] {
		fmt.Println(line)
	}
	return code
}

// small holds the bounds of the sites hv-smokemap and wbl-muc.
var small = bounds{configMS: 3000, drainMS: 3000, graceS: 6, lifetimeS: 60, beatMS: 1200}

// stableWindow is the stable_window_ms of these sites.
const stableWindow = 4 * time.Second

// zones holds the names of the data centres.
var zones = []string{"sierra-east-a", "sierra-east-b", "sierra-east-c"}

// newVIP returns the address of a route.
func newVIP(g *ground, n byte) endpoint { return endpoint{addr: g.at(kindVIP, n).As4(), port: 8443} }

// sleepUntil waits until a time since the start of the case.
func (g *ground) sleepUntil(at time.Duration) { time.Sleep(at - g.since()) }

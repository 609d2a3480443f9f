// Package agatecommand is the command line of bench.
package agatecommand

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"

	"agatereach/bench/agatescenario"
	"agatereach/core/process/agateplacement"
)

// Exit codes.
const (
	codeKept   = 0
	codeBroken = 1
	codeUsage  = 2
	codeFailed = 3
	// codeNotJudged is that of runs in which no promise broke, and one was not judged.
	codeNotJudged = 4
	// codeInterrupted is that of a command that a signal ends, as shells give it.
	codeInterrupted = 130
)

// BrokenError reports a run in which a promise broke.
type BrokenError struct {
	// Scenario names the scenario and Seed its seed.
	Scenario string
	Seed     uint64
}

// Error names the scenario and the seed.
func (e *BrokenError) Error() string {
	return fmt.Sprintf("a promise broke in scenario %s with seed %d", e.Scenario, e.Seed)
}

// NotJudgedError reports a run in which no promise broke, and one was not judged.
type NotJudgedError struct {
	// Scenario names the scenario and Seed its seed.
	Scenario string
	Seed     uint64
}

// Error names the scenario and the seed.
func (e *NotJudgedError) Error() string {
	return fmt.Sprintf("a promise was not judged in scenario %s with seed %d", e.Scenario, e.Seed)
}

// FileError reports a scenario file that cannot be read.
type FileError struct {
	// Path names the file.
	Path string
	// Err is the reason.
	Err error
}

// Error names the file and the reason.
func (e *FileError) Error() string { return fmt.Sprintf("%s: %v", e.Path, e.Err) }

// Unwrap returns the reason.
func (e *FileError) Unwrap() error { return e.Err }

// Main runs the command line and returns the exit code.
func Main(arguments []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	parser := flags.NewNamedParser("bench", flags.HelpFlag|flags.PassDoubleDash)
	if err := addAll(ctx, parser); err != nil {
		return report(err)
	}
	_, err := parser.ParseArgs(arguments)
	return report(err)
}

// addAll adds all commands.
func addAll(ctx context.Context, parser *flags.Parser) error {
	commands := []struct {
		name, short string
		command     any
		hidden      bool
	}{
		{"demo", "Run the demonstration", &demo{ctx: ctx}, false},
		{"run", "Run a scenario", &run{ctx: ctx}, false},
		{"compare", "Compare policies by a scenario", &compare{ctx: ctx}, false},
		{"policies", "Compare policies in virtual time", &policies{}, false},
		{"soak", "Run the entry program of the users' platform under faults", &soak{ctx: ctx}, false},
		{"relay", "Measure the packet path against a bare relay", &relay{ctx: ctx}, false},
		{"bare", "Take a bare relay's place", &bareRole{}, true},
		{"platform", "Take the platform's place", &platformRole{}, true},
		{"servers", "Take the backend servers' place", &serversRole{}, true},
		{"callers", "Take the callers' place", &callersRole{}, true},
		{"fabric", "Take the network's place", &fabricRole{}, true},
	}
	for _, c := range commands {
		added, err := parser.AddCommand(c.name, c.short, "", c.command)
		if err != nil {
			return err
		}
		added.Hidden = c.hidden
	}
	return nil
}

// report prints an error and returns its exit code.
func report(err error) int {
	if err == nil {
		return codeKept
	}
	var usage *flags.Error
	if errors.As(err, &usage) && usage.Type == flags.ErrHelp {
		fmt.Println(usage.Message)
		return codeKept
	}
	if errors.Is(err, context.Canceled) {
		fmt.Fprintln(os.Stderr, "bench: interrupted; every process that was started has ended")
		return codeInterrupted
	}
	fmt.Fprintf(os.Stderr, "bench: %v\n", err)
	var broken *BrokenError
	var unjudged *NotJudgedError
	switch {
	case errors.As(err, &broken):
		return codeBroken
	case errors.As(err, &unjudged):
		return codeNotJudged
	case usage != nil, isUsage(err):
		return codeUsage
	}
	return codeFailed
}

// isUsage reports whether the error lies in what the user gave.
func isUsage(err error) bool {
	var file *FileError
	var syntax *agatescenario.SyntaxError
	var faults *agatescenario.FaultsError
	var seed *SeedError
	var name *agateplacement.NameError
	return errors.As(err, &seed) || errors.As(err, &name) || errors.As(err, &file) || errors.As(err, &syntax) || errors.As(err, &faults)
}

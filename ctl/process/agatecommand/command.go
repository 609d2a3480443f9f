// Package agatecommand defines the commands of agatectl.
package agatecommand

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"

	"agatereach/ctl/process/agateoutput"
	"agatereach/ctl/request/agateclient"
)

// Exit codes of agatectl.
const (
	// ExitOK says that everything asked for was done and found in order.
	ExitOK = 0
	// ExitFinding says that the command worked and found a fault: a ticket or
	// settings file that must not be used, or an entry that is behind.
	ExitFinding = 1
	// ExitUsage says that the command line is wrong.
	ExitUsage = 2
	// ExitUnreachable says that a process gave no answer.
	ExitUnreachable = 3
	// ExitDenied says that the bearer token is missing or wrong.
	ExitDenied = 4
	// ExitInput says that a file or an argument could not be read.
	ExitInput = 5
	// ExitInternal says that something else failed.
	ExitInternal = 6
)

// FindingError reports that a command worked and found a fault.
type FindingError struct {
	// Text says what was found.
	Text string
}

// Error returns what was found.
func (e *FindingError) Error() string { return e.Text }

// InputError reports a file or an argument that cannot be read.
type InputError struct {
	// Name names the file or argument.
	Name string
	// Err is the reason.
	Err error
}

// Error names the input and the reason.
func (e *InputError) Error() string { return fmt.Sprintf("%s: %v", e.Name, e.Err) }

// Unwrap returns the reason.
func (e *InputError) Unwrap() error { return e.Err }

// Common holds the options that all commands share.
type Common struct {
	// JSON chooses JSON over tables.
	JSON bool `long:"json" description:"print JSON instead of a table"`
	// Token is the bearer token of the administration API.
	Token string `long:"token" env:"AGATECTL_TOKEN" description:"bearer token of the administration API"`
}

// Command is agatectl's command line. The zero value is ready for use.
type Command struct {
	// Common holds the options before or behind a command's name.
	Common Common `group:"common options"`
	// ctx ends the requests of the command that runs.
	ctx context.Context
	// out is where the results go.
	out io.Writer
}

// Run parses the arguments, runs the command and returns the exit code.
// Results go to out, messages to errOut.
func (c *Command) Run(ctx context.Context, arguments []string, out, errOut io.Writer) int {
	c.ctx = ctx
	c.out = out
	parser := flags.NewNamedParser("agatectl", flags.HelpFlag|flags.PassDoubleDash)
	if err := c.register(parser); err != nil {
		fmt.Fprintln(errOut, "agatectl:", err)
		return ExitInternal
	}
	_, err := parser.ParseArgs(arguments)
	if err == nil {
		return ExitOK
	}
	var usage *flags.Error
	if errors.As(err, &usage) && usage.Type == flags.ErrHelp {
		fmt.Fprintln(out, usage.Message)
		return ExitOK
	}
	fmt.Fprintln(errOut, "agatectl:", err)
	return exitCode(err)
}

// register adds the common options and the commands to the parser.
func (c *Command) register(parser *flags.Parser) error {
	if _, err := parser.AddGroup("common options", "", &c.Common); err != nil {
		return err
	}
	commands := []struct {
		name, short string
		data        any
	}{
		{"status", "show the ticket in force on each entry and which entry is behind", &status{command: c}},
		{"fleet", "show what each entry holds when servers answer callers themselves", &fleet{command: c}},
		{"dump", "print the state of an entry", &dump{command: c}},
		{"token", "decode a route token", &token{command: c}},
		{"check-ticket", "check a ticket before it is published", &checkTicket{command: c}},
		{"check-settings", "check an entry's settings file", &checkSettings{command: c}},
	}
	for _, k := range commands {
		if _, err := parser.AddCommand(k.name, k.short, "", k.data); err != nil {
			return err
		}
	}
	return nil
}

func (c *Command) client() (*agateclient.Client, func()) {
	return agateclient.New(agateclient.WithToken(c.Common.Token))
}

func (c *Command) output() *agateoutput.Output {
	return &agateoutput.Output{W: c.out, JSON: c.Common.JSON}
}

// exitCode returns the exit code that stands for the error.
func exitCode(err error) int {
	var usage *flags.Error
	var finding *FindingError
	var input *InputError
	var unreachable *agateclient.UnreachableError
	var status *agateclient.StatusError
	switch {
	case errors.As(err, &usage):
		return ExitUsage
	case errors.As(err, &finding):
		return ExitFinding
	case errors.As(err, &input):
		return ExitInput
	case errors.As(err, &unreachable):
		return ExitUnreachable
	case errors.As(err, &status) && status.Denied():
		return ExitDenied
	}
	return ExitInternal
}

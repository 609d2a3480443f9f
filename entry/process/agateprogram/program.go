// Package agateprogram is the command line of the program agatereach.
package agateprogram

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"agatereach/core/connection/agatesocket"
	"agatereach/core/process/agatesettings"
	"agatereach/entry/process/agateadmin"
	"agatereach/entry/process/agateentry"
)

// Exit codes of the program.
const (
	// ExitDone follows a planned stop, --check without faults, --version and
	// --help.
	ExitDone = 0
	// ExitFailed follows a failure while the process ran.
	ExitFailed = 1
	// ExitUsage follows a wrong command line or faulty settings.
	ExitUsage = 2
	// ExitListen follows an address that cannot be listened at.
	ExitListen = 3
	// ExitDrain follows a planned stop that ended with requests under way.
	ExitDrain = 4
)

// Version is the program's version.
const Version = "0.1.0"

// dumpTimeout bounds the making of a dump.
const dumpTimeout = 5 * time.Second

// Program runs the command line.
type Program struct {
	out, err io.Writer
}

// New returns a program that writes to out and err.
func New(out, err io.Writer) *Program { return &Program{out: out, err: err} }

// options is the command line.
type options struct {
	Config  string `long:"config" value-name:"FILE" description:"settings file, in TOML"`
	Check   bool   `long:"check" description:"check the settings and exit"`
	Version bool   `long:"version" description:"print the version and exit"`
}

// Run runs the program with the arguments and returns its exit code.
func (p *Program) Run(args []string) int {
	var o options
	parser := flags.NewParser(&o, flags.HelpFlag|flags.PassDoubleDash)
	parser.Name = "agatereach"
	rest, err := parser.ParseArgs(args)
	var usage *flags.Error
	switch {
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		p.print(p.out, err)
		return ExitDone
	case err != nil:
		p.print(p.err, err)
		return ExitUsage
	case len(rest) > 0:
		p.print(p.err, "unexpected argument "+rest[0])
		return ExitUsage
	case o.Version:
		p.print(p.out, version())
		return ExitDone
	case o.Config == "":
		p.print(p.err, "--config is missing; --help lists the options")
		return ExitUsage
	}
	return p.load(&o)
}

// load reads the settings and runs the process unless they are only checked.
func (p *Program) load(o *options) int {
	settings, err := agatesettings.Load(o.Config)
	if err != nil {
		p.print(p.err, err)
		return ExitUsage
	}
	if o.Check {
		p.print(p.out, o.Config+": no faults")
		return ExitDone
	}
	return p.serve(settings)
}

// serve runs the process until it is told to stop.
func (p *Program) serve(settings *agatesettings.Settings) int {
	log := p.logger(settings)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1)
	defer signal.Stop(signals)
	entry, cleanup, err := agateentry.New(ctx, settings, log)
	if err != nil {
		return p.ended(log, err)
	}
	defer cleanup()
	go p.watch(ctx, signals, entry, settings, log)
	return p.ended(log, entry.Run(ctx))
}

// watch does what signals ask for until the context ends.
func (p *Program) watch(ctx context.Context, signals <-chan os.Signal, entry *agateentry.Entry, settings *agatesettings.Settings, log *slog.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-signals:
			if s == syscall.SIGUSR1 {
				dump(ctx, entry, settings.DumpFD, log)
				continue
			}
			entry.Stop()
		}
	}
}

// dump writes the process's state to the file descriptor, or to the log if
// it is negative.
func dump(ctx context.Context, entry *agateentry.Entry, fd int, log *slog.Logger) {
	ctx, cancel := context.WithTimeout(ctx, dumpTimeout)
	defer cancel()
	document, err := entry.Dump(ctx)
	if err != nil {
		log.Error("dump failed", "part", "dump", "err", err)
		return
	}
	text, err := json.Marshal(document)
	if err != nil {
		log.Error("dump failed", "part", "dump", "err", err)
		return
	}
	if fd < 0 {
		log.Info("dump", "part", "dump", "state", json.RawMessage(text))
		return
	}
	// The file is not closed: the descriptor belongs to whoever passed it on.
	file, err := os.OpenFile(fmt.Sprintf("/proc/self/fd/%d", fd), os.O_WRONLY|os.O_APPEND, 0)
	if err == nil {
		defer func() { _ = file.Close() }()
		_, err = file.Write(append(text, '\n'))
	}
	if err != nil {
		log.Error("dump not written", "part", "dump", "fd", fd, "err", err)
	}
}

// ended logs how the process ended and returns the exit code.
func (p *Program) ended(log *slog.Logger, err error) int {
	if err == nil {
		return ExitDone
	}
	log.Error("ended", "part", "entry", "err", err)
	var udp *agatesocket.ListenError
	var tcp *agateadmin.ListenError
	var drain *agateentry.DrainError
	switch {
	case errors.As(err, &udp), errors.As(err, &tcp):
		return ExitListen
	case errors.As(err, &drain):
		return ExitDrain
	}
	return ExitFailed
}

// logger returns the log that the settings ask for.
func (p *Program) logger(settings *agatesettings.Settings) *slog.Logger {
	options := &slog.HandlerOptions{Level: settings.LogLevel}
	if settings.LogFormat == agatesettings.JSON {
		return slog.New(slog.NewJSONHandler(p.err, options)).With("vm", settings.VM)
	}
	return slog.New(slog.NewTextHandler(p.err, options)).With("vm", settings.VM)
}

// version returns the program's version with that of Go.
func version() string {
	text := "agatereach " + Version
	if info, found := debug.ReadBuildInfo(); found {
		text += " " + info.GoVersion
	}
	return text
}

// print writes a line. A failed write leaves nobody to tell.
func (p *Program) print(w io.Writer, line any) { _, _ = fmt.Fprintln(w, line) }

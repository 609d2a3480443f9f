// Command ctl is agatectl, the command of the operators: it shows which ticket
// is in force on which entry, prints an entry's state, decodes route tokens and
// checks tickets and settings before they are used.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"agatereach/ctl/process/agatecommand"
)

func main() {
	os.Exit(run())
}

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	command := new(agatecommand.Command)
	return command.Run(ctx, os.Args[1:], os.Stdout, os.Stderr)
}

// Command standin runs one of the programs that simulate an outside system for tests:
// the log, a worker or a target.
package main

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"
)

func main() {
	commander := subcommands.NewCommander(flag.CommandLine, "standin")
	commander.Register(commander.HelpCommand(), "")
	commander.Register(&logCommand{}, "")
	commander.Register(&workerCommand{}, "")
	commander.Register(&targetCommand{}, "")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	os.Exit(int(commander.Execute(ctx)))
}

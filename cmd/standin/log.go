package main

import (
	"context"
	"flag"

	"github.com/google/subcommands"
	"github.com/jonboulle/clockwork"

	"apricotwinch/standin/logserver"
)

// logCommand runs a simulated append-only log.
type logCommand struct {
	address string
	config  logserver.Config
	faults  logserver.Faults
}

// Name returns the name of the command.
func (*logCommand) Name() string { return "log" }

// Synopsis returns a one-line description of the command.
func (*logCommand) Synopsis() string { return "run the append-only log" }

// Usage returns the help text of the command.
func (*logCommand) Usage() string {
	return "standin log -listen 127.0.0.1:0 [-appends-per-second 500]\n"
}

// SetFlags sets the flags of the command.
func (c *logCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&c.address, "listen", "127.0.0.1:0", "address to listen on")
	flags.IntVar(&c.config.ReadRecords, "read-records", logserver.DefaultReadRecords, "maximum number of records returned by one read")
	flags.Float64Var(&c.faults.AppendsPerSecond, "appends-per-second", 0, "limit on appends per second, 0 for none")
	flags.IntVar(&c.faults.RetainRecords, "retain-records", 0, "records kept in each stream, 0 for all")
	flags.IntVar(&c.faults.RetainMillis, "retain-millis", 0, "age at which records expire in milliseconds, 0 for never")
}

// Execute runs the log until ctx ends.
func (c *logCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	listener, err := listen(ctx, c.address)
	if err != nil {
		return exitStatus(err)
	}
	log := logserver.New(c.config, clockwork.NewRealClock())
	log.SetFaults(c.faults)
	return exitStatus(serve(ctx, listener, log))
}

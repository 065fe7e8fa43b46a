package main

import (
	"context"
	"flag"

	"github.com/google/subcommands"
	"github.com/jonboulle/clockwork"

	"apricotwinch"
	"apricotwinch/standin/runner"
)

// Capacity of a worker when no flag sets it.
const (
	defaultProcessorMillis = 16 * apricotwinch.MillisPerProcessor
	defaultMemoryBytes     = 62 << 30
)

// workerCommand runs a simulated worker.
type workerCommand struct {
	address         string
	journal         string
	config          runner.Config
	processorMillis int64
	memoryBytes     int64
	accelerators    int64
}

// Name returns the name of the command.
func (*workerCommand) Name() string { return "worker" }

// Synopsis returns a one-line description of the command.
func (*workerCommand) Synopsis() string { return "run the worker of one host" }

// Usage returns the help text of the command.
func (*workerCommand) Usage() string {
	return "standin worker -listen 127.0.0.1:0 -host h1 -data-centre kopli [-journal h1.jsonl]\n"
}

// SetFlags sets the flags of the command.
func (c *workerCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&c.address, "listen", "127.0.0.1:0", "address to listen on")
	flags.StringVar(&c.journal, "journal", "", "file to append the journal to")
	flags.StringVar(&c.config.Host, "host", "", "name of the host")
	flags.StringVar(&c.config.DataCentre, "data-centre", "", "data centre of the host")
	flags.Int64Var(&c.processorMillis, "processor-millis", defaultProcessorMillis, "processors of the host, in thousandths")
	flags.Int64Var(&c.memoryBytes, "memory-bytes", defaultMemoryBytes, "memory of the host, in bytes")
	flags.Int64Var(&c.accelerators, "accelerators", 0, "accelerators")
	flags.DurationVar(&c.config.UsageLag, "usage-lag", 0, "age of the usage that the worker reports")
	flags.DurationVar(&c.config.CheckpointEvery, "checkpoint-every", runner.DefaultCheckpointEvery, "time between checkpoints of a task")
	flags.DurationVar(&c.config.StopTime, "stop-time", 0, "how long a task takes to stop")
}

// Execute runs the worker until ctx ends.
func (c *workerCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	journal, closeJournal, err := openJournal(c.journal)
	if err != nil {
		return exitStatus(err)
	}
	defer closeJournal()
	listener, err := listen(ctx, c.address)
	if err != nil {
		return exitStatus(err)
	}
	c.config.Capacity = apricotwinch.NewResources(c.processorMillis, c.memoryBytes, c.accelerators)
	worker := runner.New(c.config, clockwork.NewRealClock(), journal)
	defer worker.Close()
	return exitStatus(serve(ctx, listener, worker))
}

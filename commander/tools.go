package commander

import (
	"context"
	"flag"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/google/subcommands"
	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"apricotwinch"
	"apricotwinch/assembler"
	"apricotwinch/generator"
	"apricotwinch/messenger"
	"apricotwinch/requester"
)

func init() {
	register(groupTools, loadCommand)
	register(groupTools, localCommand)
	register(groupTools, versionCommand)
}

// maxInFlight bounds the requests that the load tool has in flight.
const maxInFlight = 2000

func versionCommand(c *console) subcommands.Command {
	return &command{
		name:     "version",
		synopsis: "print the version",
		usage:    "version",
		run: func(context.Context, []string) subcommands.ExitStatus {
			fmt.Fprintln(c.out, apricotwinch.Version)
			return subcommands.ExitSuccess
		},
	}
}

// loadFlags is the flags of the load command.
type loadFlags struct {
	rate     float64
	duration time.Duration
	keyed    bool
	timeout  time.Duration
	bytes    int
}

func loadCommand(c *console) subcommands.Command {
	t, f := &target{}, &loadFlags{}
	return &command{
		name:     "load",
		synopsis: "send requests to a service at a steady rate",
		usage: `load [-rate N] [-duration D] [-keyed] [-bytes N] [-json] SERVICE

Requests go out on time whether or not earlier ones were answered; latency counts
from when a request was due. When none is answered the exit code is that of the
most frequent failure.

  apricotwinch load -rate 200 -duration 30s quote-engine
`,
		setFlags: func(flags *flag.FlagSet) {
			t.setFlags(flags)
			flags.Float64Var(&f.rate, "rate", 10, "requests a second")
			flags.DurationVar(&f.duration, "duration", 10*time.Second, "how long to send")
			flags.BoolVar(&f.keyed, "keyed", false, "send an idempotency key with each request")
			flags.DurationVar(&f.timeout, "timeout", 0, "time until the deadline; 0 takes the service's")
			flags.IntVar(&f.bytes, "bytes", 64, "bytes of each body")
		},
		run: func(ctx context.Context, args []string) subcommands.ExitStatus {
			if len(args) != 1 || f.rate <= 0 || f.duration <= 0 || f.bytes < 0 {
				return c.usage("load takes one service, and a positive rate and duration")
			}
			summary := generator.NewForService(f.plan(t, args[0]), clockwork.NewRealClock(), t.requester()).Run(ctx)
			if !t.json {
				fmt.Fprintln(c.out, summary)
			} else if status := c.printJSON(summary); status != subcommands.ExitSuccess {
				return status
			}
			return loadStatus(summary)
		},
	}
}

// loadStatus returns the exit code of the most frequent failure when nothing was
// answered.
func loadStatus(summary generator.Summary) subcommands.ExitStatus {
	if summary.Answered > 0 || len(summary.Failures) == 0 {
		return subcommands.ExitSuccess
	}
	worst := ""
	for _, kind := range slices.Sorted(maps.Keys(summary.Failures)) {
		if summary.Failures[kind] > summary.Failures[worst] {
			worst = kind
		}
	}
	return subcommands.ExitStatus(apricotwinch.Kind(worst).Answer().ExitCode())
}

func (f *loadFlags) plan(t *target, service string) generator.Plan {
	run := time.Now().UnixNano()
	return generator.Plan{
		Service:     service,
		PerSecond:   f.rate,
		Duration:    f.duration,
		MaxInFlight: maxInFlight,
		Body:        func(int) []byte { return []byte(strings.Repeat("x", f.bytes)) },
		Options: func(n int) requester.Options {
			options := requester.Options{Team: t.team, Timeout: f.timeout, Idempotent: !f.keyed}
			if f.keyed {
				options.Key = fmt.Sprintf("load-%d-%d", run, n)
			}
			return options
		},
	}
}

// localFlags is the flags of the local command.
type localFlags struct {
	deployment string
	duration   time.Duration
	verbose    bool
}

func localCommand(c *console) subcommands.Command {
	f := &localFlags{}
	return &command{
		name:     "local",
		synopsis: "run a whole deployment in one process and show work done",
		usage: `local [-deployment NAME|FILE] [-duration D] [-verbose]

Starts the log, workers and targets as stand-ins, and entries and agents as they
are; sends requests, runs a batch job and keeps watch services running.

  apricotwinch local
  apricotwinch local -deployment jua-paa -duration 20s
`,
		setFlags: func(flags *flag.FlagSet) {
			flags.StringVar(&f.deployment, "deployment", "all",
				"all, a settings file, or one of "+strings.Join(assembler.Ready(), ", "))
			flags.DurationVar(&f.duration, "duration", 10*time.Second, "how long requests are sent")
			flags.BoolVar(&f.verbose, "verbose", false, "log changes of state to standard error")
		},
		run: func(ctx context.Context, _ []string) subcommands.ExitStatus {
			names := []string{f.deployment}
			if f.deployment == "all" {
				names = assembler.Ready()
			}
			for _, name := range names {
				if err := c.runLocal(ctx, f, name); err != nil {
					return c.fail(err)
				}
			}
			return subcommands.ExitSuccess
		},
	}
}

// runLocal runs one deployment and prints what it did.
func (c *console) runLocal(ctx context.Context, f *localFlags, name string) error {
	deployment, err := assembler.Load(name)
	if err != nil {
		return err
	}
	logger := hclog.New(&hclog.LoggerOptions{Name: "local", Level: hclog.Warn, Output: io.Discard})
	if f.verbose {
		logger = hclog.New(&hclog.LoggerOptions{Name: "local", Level: hclog.Info, Output: os.Stderr})
	}
	fmt.Fprintf(c.out, "%s: starting %d hosts in %s and %d entries\n",
		deployment.Name, deployment.Workers, strings.Join(deployment.DataCentres, ", "), deployment.Entries)
	assembly, err := assembler.Start(deployment, logger)
	if err != nil {
		return err
	}
	defer assembly.Stop()
	if err := assembly.Configure(ctx); err != nil {
		return err
	}
	fmt.Fprintf(c.out, "%s: ready; operators and callers reach %s\n", deployment.Name, assembly.URL(0))
	report, err := assembly.Exercise(ctx, f.duration)
	if err != nil {
		return err
	}
	return c.printReport(deployment, report)
}

func (c *console) printReport(d assembler.Deployment, report assembler.Report) error {
	fmt.Fprintf(c.out, "%s: %s requests to %s: %s\n", d.Name, d.Requests.Label, d.Service.Name, report.Requests())
	rows := make([]string, 0, len(report.Jobs()))
	for _, state := range report.Jobs() {
		rows = append(rows, d.Name+":\t"+summary(state))
	}
	c.printTable(rows...)
	return unfinished(report.Jobs())
}

// unfinished returns an error when a batch job has not completed.
func unfinished(jobs []messenger.JobState) error {
	for _, job := range jobs {
		for i, task := range job.Tasks {
			if job.Spec.Kind == messenger.JobBatch && task.Phase != messenger.TaskCompleted {
				return apricotwinch.Errorf(apricotwinch.Internal, "task %d of job %s is %s", i, job.Job, task.Phase)
			}
		}
	}
	return nil
}

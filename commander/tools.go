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

// maxInFlight bounds the requests in flight of the load command; it skips requests
// over the bound.
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

// loadFlags holds the flags of the load command.
type loadFlags struct {
	rate     float64
	duration time.Duration
	keyed    bool
	timeout  time.Duration
	bytes    int
}

func loadCommand(c *console) subcommands.Command {
	client, f := &clientFlags{}, &loadFlags{}
	return &command{
		name:     "load",
		synopsis: "send requests to a service at a constant rate",
		usage: `load [-rate N] [-duration D] [-keyed] [-bytes N] [-json] SERVICE

Requests are sent on schedule whether or not earlier ones were answered; latency
is measured from a request's scheduled time. If no request is answered, the exit
code is that of the most frequent failure.

  apricotwinch load -rate 200 -duration 30s quote-engine
`,
		setFlags: func(flags *flag.FlagSet) {
			client.setFlags(flags)
			flags.Float64Var(&f.rate, "rate", 10, "requests per second")
			flags.DurationVar(&f.duration, "duration", 10*time.Second, "how long to send requests")
			flags.BoolVar(&f.keyed, "keyed", false, "send an idempotency key with each request")
			flags.DurationVar(&f.timeout, "timeout", 0, "timeout of each request; 0 uses the service's timeout")
			flags.IntVar(&f.bytes, "bytes", 64, "size of each request body in bytes")
		},
		run: func(ctx context.Context, args []string) subcommands.ExitStatus {
			if len(args) != 1 || f.rate <= 0 || f.duration <= 0 || f.bytes < 0 {
				return c.usageError("load takes one service, and a positive rate and duration")
			}
			summary := generator.NewForService(f.plan(client, args[0]), clockwork.NewRealClock(), client.requester()).Run(ctx)
			if !client.json {
				fmt.Fprintln(c.out, summary)
			} else if status := c.printJSON(summary); status != subcommands.ExitSuccess {
				return status
			}
			return loadExitStatus(summary)
		},
	}
}

// loadExitStatus returns the exit code of the most frequent failure when no request was
// answered, and success otherwise.
func loadExitStatus(summary generator.Summary) subcommands.ExitStatus {
	if summary.Answered > 0 || len(summary.Failures) == 0 {
		return subcommands.ExitSuccess
	}
	mostFrequent := ""
	for _, kind := range slices.Sorted(maps.Keys(summary.Failures)) {
		if summary.Failures[kind] > summary.Failures[mostFrequent] {
			mostFrequent = kind
		}
	}
	return subcommands.ExitStatus(apricotwinch.Kind(mostFrequent).ErrorResponse().ExitCode())
}

func (f *loadFlags) plan(client *clientFlags, service string) generator.Plan {
	runID := time.Now().UnixNano()
	return generator.Plan{
		Service:     service,
		PerSecond:   f.rate,
		Duration:    f.duration,
		MaxInFlight: maxInFlight,
		Body:        func(int) []byte { return []byte(strings.Repeat("x", f.bytes)) },
		Options: func(n int) requester.Options {
			options := requester.Options{Team: client.team, Timeout: f.timeout, Idempotent: !f.keyed}
			if f.keyed {
				options.Key = fmt.Sprintf("load-%d-%d", runID, n)
			}
			return options
		},
	}
}

// localFlags holds the flags of the local command.
type localFlags struct {
	deployment string
	duration   time.Duration
	verbose    bool
}

func localCommand(c *console) subcommands.Command {
	f := &localFlags{}
	return &command{
		name:     "local",
		synopsis: "run a whole deployment in one process and print the work it did",
		usage: `local [-deployment NAME|FILE] [-duration D] [-verbose]

Starts real entries and agents against a simulated log, workers and targets; sends
requests, runs a batch job and keeps watch services running.

  apricotwinch local
  apricotwinch local -deployment jua-paa -duration 20s
`,
		setFlags: func(flags *flag.FlagSet) {
			flags.StringVar(&f.deployment, "deployment", "all",
				"all, a settings file, or one of "+strings.Join(assembler.BundledNames(), ", "))
			flags.DurationVar(&f.duration, "duration", 10*time.Second, "how long requests are sent")
			flags.BoolVar(&f.verbose, "verbose", false, "log changes of state to standard error")
		},
		run: func(ctx context.Context, _ []string) subcommands.ExitStatus {
			names := []string{f.deployment}
			if f.deployment == "all" {
				names = assembler.BundledNames()
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

// runLocal runs one deployment and prints the work it did.
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
	fmt.Fprintf(c.out, "%s: ready; operators and callers connect to %s\n", deployment.Name, assembly.URL(0))
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
		rows = append(rows, d.Name+":\t"+jobRow(state))
	}
	c.printTable(rows...)
	return checkBatchCompleted(report.Jobs())
}

// checkBatchCompleted returns an error of kind Internal for the first batch task that
// has not completed.
func checkBatchCompleted(jobs []messenger.JobState) error {
	for _, job := range jobs {
		for i, task := range job.Tasks {
			if job.Spec.Kind == messenger.JobBatch && task.Phase != messenger.TaskCompleted {
				return apricotwinch.Errorf(apricotwinch.Internal, "task %d of job %s is %s", i, job.Job, task.Phase)
			}
		}
	}
	return nil
}

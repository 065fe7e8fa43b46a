package commander

import (
	"context"
	"flag"
	"net/http"
	"os"
	"time"

	"github.com/google/subcommands"
	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"

	"apricotwinch/agent"
	"apricotwinch/appender"
	"apricotwinch/dispatcher"
	"apricotwinch/reporter"
)

func init() {
	register(groupDaemons, entryCommand)
	register(groupDaemons, agentCommand)
}

// Bounds of the connections of a daemon to the platform.
const (
	platformConns = 64
	idlePlatform  = 90 * time.Second
)

// daemonFlags is the flags of a daemon.
type daemonFlags struct {
	config string
	level  string
	check  bool
}

func (f *daemonFlags) setFlags(flags *flag.FlagSet) {
	flags.StringVar(&f.config, "config", "", "path of the settings file (JSON)")
	flags.StringVar(&f.level, "log-level", "info", "trace, debug, info, warn or error")
	flags.BoolVar(&f.check, "check", false, "check the settings file and exit")
}

func (f *daemonFlags) logger(name string) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{Name: name, Level: hclog.LevelFromString(f.level), Output: os.Stderr, JSONFormat: true})
}

// platformClient returns the HTTP client for the log or the worker.
func platformClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: platformConns, IdleConnTimeout: idlePlatform}}
}

func entryCommand(c *console) subcommands.Command {
	flags := &daemonFlags{}
	return &command{
		name:     "entry",
		synopsis: "run an entry: the process that callers and operators talk to",
		usage: `entry -config FILE [-check] [-log-level LEVEL]

Runs until SIGTERM, then shuts down gracefully: requests in flight end and its
partitions are released.

  apricotwinch entry -config entry-1.json
  apricotwinch entry -config entry-1.json -check
`,
		setFlags: flags.setFlags,
		run: func(ctx context.Context, _ []string) subcommands.ExitStatus {
			settings, err := dispatcher.Load(flags.config)
			if err != nil {
				return c.fail(err)
			}
			if flags.check {
				return subcommands.ExitSuccess
			}
			registry := metrics.NewRegistry()
			entry, err := dispatcher.New(settings, dispatcher.Deps{
				Log:      appender.NewHTTP(settings.Log, platformClient()),
				Clock:    clockwork.NewRealClock(),
				Logger:   flags.logger("entry"),
				Registry: registry,
				Metrics:  reporter.New(registry),
			})
			if err != nil {
				return c.fail(err)
			}
			if err := entry.Run(ctx); err != nil {
				return c.fail(err)
			}
			return subcommands.ExitSuccess
		},
	}
}

func agentCommand(c *console) subcommands.Command {
	flags := &daemonFlags{}
	return &command{
		name:     "agent",
		synopsis: "run an agent: the process beside the targets of one host",
		usage: `agent -config FILE [-check] [-log-level LEVEL]

Runs until SIGTERM, then leaves gracefully: it announces that it drains, lets
requests in flight end and has its tasks checkpointed and evicted.

  apricotwinch agent -config host-1.json
`,
		setFlags: flags.setFlags,
		run: func(ctx context.Context, _ []string) subcommands.ExitStatus {
			settings, err := agent.Load(flags.config)
			if err != nil {
				return c.fail(err)
			}
			if flags.check {
				return subcommands.ExitSuccess
			}
			worker := agent.NewHTTPWorker(settings.Worker, platformClient())
			process, err := agent.New(settings, worker, clockwork.NewRealClock(), flags.logger("agent"), metrics.NewRegistry())
			if err != nil {
				return c.fail(err)
			}
			if err := process.Run(ctx); err != nil {
				return c.fail(err)
			}
			return subcommands.ExitSuccess
		},
	}
}

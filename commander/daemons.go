package commander

import (
	"context"
	"flag"
	"io"
	"net/http"
	"time"

	"github.com/google/subcommands"
	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"

	"apricotwinch"
	"apricotwinch/agent"
	"apricotwinch/appender"
	"apricotwinch/dispatcher"
	"apricotwinch/platform"
	"apricotwinch/reporter"
)

func init() {
	register(groupDaemons, entryCommand)
	register(groupDaemons, agentCommand)
	register(groupDaemons, platformCommand("platform-entry", "run an entry on the users' platform", platform.RunEntry))
	register(groupDaemons, platformCommand("platform-agent", "run an agent on the users' platform", platform.RunAgent))
}

// platformCommand returns the constructor of a command that runs a daemon, configured
// by the platform's settings file, until SIGTERM.
func platformCommand(name, synopsis string, run func(context.Context, platform.Options) error) func(*console) subcommands.Command {
	return func(c *console) subcommands.Command {
		var options platform.Options
		var check bool
		var enabled, disabled string
		return &command{
			name:     name,
			synopsis: synopsis,
			usage: name + ` [-check] [-advertise HOST:PORT] [-source IP] [-enable FEATURE,...] [-disable FEATURE,...]

An environment variable that the platform sets names the settings file. With
-advertise, other processes dial that address instead of the one that this
process listens on. With -source, connections to them leave from that address.
With -enable and -disable, an entry makes the optional scheduling decisions of the
named features, or does without them.

  apricotwinch ` + name + `
  apricotwinch ` + name + ` -check
`,
			setFlags: func(flags *flag.FlagSet) {
				flags.BoolVar(&check, "check", false, "check the settings file and exit")
				flags.StringVar(&options.Advertise, "advertise", "", "address that other processes dial, host:port")
				flags.StringVar(&options.Source, "source", "", "local IP address of connections to other processes")
				flags.StringVar(&enabled, "enable", "", "features to enable, separated by commas")
				flags.StringVar(&disabled, "disable", "", "features to disable, separated by commas")
			},
			run: func(ctx context.Context, args []string) subcommands.ExitStatus {
				if len(args) > 0 {
					return c.usageError("%s takes no arguments", name)
				}
				var err error
				if options.Features, err = apricotwinch.ParseFeatures(enabled, disabled); err != nil {
					return c.fail(err)
				}
				if check {
					if _, err := platform.Load(); err != nil {
						return c.fail(err)
					}
					return subcommands.ExitSuccess
				}
				if err := run(ctx, options); err != nil {
					return c.fail(err)
				}
				return subcommands.ExitSuccess
			},
		}
	}
}

// Limits of a daemon's idle connections to the log or the worker.
const (
	maxIdleConnsPerHost = 64
	idleConnTimeout     = 90 * time.Second
)

// daemonFlags holds the flags of a daemon.
type daemonFlags struct {
	config string
	level  string
	check  bool
}

func (f *daemonFlags) setFlags(flags *flag.FlagSet) {
	flags.StringVar(&f.config, "config", "", "path of the settings file (JSON)")
	flags.StringVar(&f.level, "log-level", "info", "least severe level to log: trace, debug, info, warn or error")
	flags.BoolVar(&f.check, "check", false, "check the settings file and exit")
}

// validate returns a message on the first invalid flag or argument, or "" when there
// is none.
func (f *daemonFlags) validate(args []string) string {
	switch {
	case len(args) > 0:
		return "takes flags only"
	case f.config == "":
		return "needs -config"
	case hclog.LevelFromString(f.level) == hclog.NoLevel:
		return "-log-level: must be one of trace, debug, info, warn, error"
	}
	return ""
}

// logger returns a logger that writes JSON lines at the chosen level to w.
func (f *daemonFlags) logger(name string, w io.Writer) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{Name: name, Level: hclog.LevelFromString(f.level), Output: w, JSONFormat: true})
}

// newHTTPClient returns an HTTP client for the log or the worker.
func newHTTPClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerHost, IdleConnTimeout: idleConnTimeout}}
}

func entryCommand(c *console) subcommands.Command {
	flags := &daemonFlags{}
	return &command{
		name:     "entry",
		synopsis: "run an entry: the process that serves callers and operators",
		usage: `entry -config FILE [-check] [-log-level LEVEL]

Runs until SIGTERM, then shuts down gracefully: requests in flight complete and
its partitions are released.

  apricotwinch entry -config entry-1.json
  apricotwinch entry -config entry-1.json -check
`,
		setFlags: flags.setFlags,
		run: func(ctx context.Context, args []string) subcommands.ExitStatus {
			if problem := flags.validate(args); problem != "" {
				return c.usageError("entry %s", problem)
			}
			settings, err := dispatcher.Load(flags.config)
			if err != nil {
				return c.fail(err)
			}
			if flags.check {
				return subcommands.ExitSuccess
			}
			registry := metrics.NewRegistry()
			entry, err := dispatcher.New(settings, dispatcher.Deps{
				Log:      appender.NewHTTP(settings.Log, newHTTPClient()),
				Clock:    clockwork.NewRealClock(),
				Logger:   flags.logger("entry", c.err),
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
		synopsis: "run an agent: the process that manages one host's targets and tasks",
		usage: `agent -config FILE [-check] [-log-level LEVEL]

Runs until SIGTERM, then shuts down gracefully: it announces that it is draining,
lets requests in flight complete and has its tasks checkpointed and evicted.

  apricotwinch agent -config host-1.json
  apricotwinch agent -config host-1.json -check
`,
		setFlags: flags.setFlags,
		run: func(ctx context.Context, args []string) subcommands.ExitStatus {
			if problem := flags.validate(args); problem != "" {
				return c.usageError("agent %s", problem)
			}
			settings, err := agent.Load(flags.config)
			if err != nil {
				return c.fail(err)
			}
			if flags.check {
				return subcommands.ExitSuccess
			}
			worker := agent.NewHTTPWorker(settings.Worker, newHTTPClient())
			process, err := agent.New(settings, worker, clockwork.NewRealClock(), flags.logger("agent", c.err), metrics.NewRegistry())
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

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

// platformCommand returns a command that runs a daemon with the platform's
// settings file until SIGTERM.
func platformCommand(name, synopsis string, run func(context.Context, platform.Options) error) func(*console) subcommands.Command {
	return func(c *console) subcommands.Command {
		var options platform.Options
		var check bool
		return &command{
			name:     name,
			synopsis: synopsis,
			usage: name + ` [-check] [-advertise HOST:PORT]

The platform's environment names the settings file. With -advertise, other
processes dial that address instead of the one that this process listens on.

  apricotwinch ` + name + `
  apricotwinch ` + name + ` -check
`,
			setFlags: func(flags *flag.FlagSet) {
				flags.BoolVar(&check, "check", false, "check the settings file and exit")
				flags.StringVar(&options.Advertise, "advertise", "", "address that other processes dial, host:port")
			},
			run: func(ctx context.Context, args []string) subcommands.ExitStatus {
				if len(args) > 0 {
					return c.usage("%s takes no arguments", name)
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

// wrong returns what is wrong with the flags, or "".
func (f *daemonFlags) wrong(args []string) string {
	switch {
	case len(args) > 0:
		return "takes flags only"
	case f.config == "":
		return "needs -config"
	case hclog.LevelFromString(f.level) == hclog.NoLevel:
		return "-log-level: is none of trace, debug, info, warn, error"
	}
	return ""
}

// logger returns a logger that writes changes of state as JSON to w.
func (f *daemonFlags) logger(name string, w io.Writer) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{Name: name, Level: hclog.LevelFromString(f.level), Output: w, JSONFormat: true})
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
		run: func(ctx context.Context, args []string) subcommands.ExitStatus {
			if wrong := flags.wrong(args); wrong != "" {
				return c.usage("entry %s", wrong)
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
				Log:      appender.NewHTTP(settings.Log, platformClient()),
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
		synopsis: "run an agent: the process beside the targets of one host",
		usage: `agent -config FILE [-check] [-log-level LEVEL]

Runs until SIGTERM, then leaves gracefully: it announces that it drains, lets
requests in flight end and has its tasks checkpointed and evicted.

  apricotwinch agent -config host-1.json
  apricotwinch agent -config host-1.json -check
`,
		setFlags: flags.setFlags,
		run: func(ctx context.Context, args []string) subcommands.ExitStatus {
			if wrong := flags.wrong(args); wrong != "" {
				return c.usage("agent %s", wrong)
			}
			settings, err := agent.Load(flags.config)
			if err != nil {
				return c.fail(err)
			}
			if flags.check {
				return subcommands.ExitSuccess
			}
			worker := agent.NewHTTPWorker(settings.Worker, platformClient())
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

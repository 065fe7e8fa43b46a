package commander

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"

	"github.com/google/subcommands"

	"apricotwinch/messenger"
)

func init() {
	register(groupOperators, settingsCommand)
	register(groupOperators, outCommand)
	register(groupOperators, backCommand)
	register(groupOperators, targetsCommand)
}

// settingsAction is an action of the settings command and the number of arguments that
// it takes.
type settingsAction struct {
	args int
	run  func(ctx context.Context, c *console, client *clientFlags, base int, args []string) subcommands.ExitStatus
}

// settingsActions maps the name of an action to the action.
var settingsActions = map[string]settingsAction{
	"get":      {args: 1, run: getSettings},
	"set":      {args: 2, run: setSettings},
	"remove":   {args: 1, run: removeSettings},
	"validate": {args: 2, run: validateSettings},
	"history":  {args: 1, run: settingsHistory},
}

func settingsCommand(c *console) subcommands.Command {
	client := &clientFlags{}
	base := 0
	return &command{
		name:     "settings",
		synopsis: "read and edit the settings tree",
		usage: `settings [-base REVISION] [-json] get|set|remove|validate|history PATH [FILE]

An edit names the revision that it is based on (0 for a new leaf); when another
edit came first it fails with kind conflict and changes nothing. FILE holds the
value in JSON, "-" reads standard input. set returns once the edit is in force.

  apricotwinch settings get teams/ketioli
  echo '{"urgency":"critical","timeoutMillis":2000}' |
    apricotwinch settings -base 12 set teams/ketioli/services/vahaportaal -
  apricotwinch settings history dataCentres/kopli
`,
		setFlags: func(flags *flag.FlagSet) {
			client.setFlags(flags)
			flags.IntVar(&base, "base", 0, "revision that the edit is based on")
		},
		run: func(ctx context.Context, args []string) subcommands.ExitStatus {
			if len(args) == 0 {
				return c.usageError("settings takes get, set, remove, validate or history")
			}
			action, ok := settingsActions[args[0]]
			if !ok || len(args) != action.args+1 {
				return c.usageError("settings %s: unknown action or wrong number of arguments, see apricotwinch help settings", args[0])
			}
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			return action.run(ctx, c, client, base, args[1:])
		},
	}
}

func getSettings(ctx context.Context, c *console, client *clientFlags, _ int, args []string) subcommands.ExitStatus {
	entries, err := client.requester().Settings(ctx, args[0])
	return c.printSettings(client, entries, err)
}

func settingsHistory(ctx context.Context, c *console, client *clientFlags, _ int, args []string) subcommands.ExitStatus {
	entries, err := client.requester().History(ctx, args[0])
	return c.printSettings(client, entries, err)
}

func setSettings(ctx context.Context, c *console, client *clientFlags, base int, args []string) subcommands.ExitStatus {
	value, err := c.readValue(args[1])
	if err != nil {
		return c.fail(err)
	}
	answer, err := client.requester().Edit(ctx, args[0], base, value)
	return c.printSettings(client, []messenger.SettingsAnswer{answer}, err)
}

func removeSettings(ctx context.Context, c *console, client *clientFlags, base int, args []string) subcommands.ExitStatus {
	if err := client.requester().Remove(ctx, args[0], base); err != nil {
		return c.fail(err)
	}
	return subcommands.ExitSuccess
}

func validateSettings(ctx context.Context, c *console, client *clientFlags, base int, args []string) subcommands.ExitStatus {
	value, err := c.readValue(args[1])
	if err != nil {
		return c.fail(err)
	}
	if err := client.requester().Validate(ctx, args[0], base, value); err != nil {
		return c.fail(err)
	}
	return subcommands.ExitSuccess
}

func (c *console) printSettings(client *clientFlags, entries []messenger.SettingsAnswer, err error) subcommands.ExitStatus {
	if err != nil {
		return c.fail(err)
	}
	if client.json {
		return c.printJSON(messenger.SettingsList{Entries: entries})
	}
	rows := []string{"PATH\tREVISION\tAUTHOR\tVALUE"}
	for _, entry := range entries {
		rows = append(rows, fmt.Sprintf("%s\t%d\t%s\t%s", entry.Path, entry.Revision, entry.Author, formatValue(entry.Value)))
	}
	return c.printTable(rows...)
}

// formatValue returns the value of a leaf; the history holds a removal as nil.
func formatValue(value json.RawMessage) string {
	if value == nil {
		return "(removed)"
	}
	return string(value)
}

func outCommand(c *console) subcommands.Command {
	return dataCentreCommand(c, "out", "take a data centre out of service", `out DATA-CENTRE

Within a few seconds, no more tasks start there. Running tasks are checkpointed
and resumed elsewhere.

  apricotwinch out kopli
`, true)
}

func backCommand(c *console) subcommands.Command {
	return dataCentreCommand(c, "back", "bring a data centre back into service", `back DATA-CENTRE

  apricotwinch back kopli
`, false)
}

// dataCentreCommand returns a command that takes a data centre out of service, or
// brings it back when out is false.
func dataCentreCommand(c *console, name, synopsis, usage string, out bool) subcommands.Command {
	return oneArgumentCommand(c, "data centre", name, synopsis, usage, func(ctx context.Context, client *clientFlags, dataCentre string) subcommands.ExitStatus {
		answer, err := client.requester().SwitchDataCentre(ctx, dataCentre, out)
		return c.printSettings(client, []messenger.SettingsAnswer{answer}, err)
	})
}

func targetsCommand(c *console) subcommands.Command {
	client := &clientFlags{}
	return &command{
		name:     "targets",
		synopsis: "show the announced hosts and their targets",
		usage: `targets [-json]

  apricotwinch targets
`,
		setFlags: client.setFlags,
		run: func(ctx context.Context, _ []string) subcommands.ExitStatus {
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			hosts, err := client.requester().Hosts(ctx)
			if err != nil {
				return c.fail(err)
			}
			if client.json {
				return c.printJSON(messenger.HostList{Hosts: hosts})
			}
			return c.printHosts(hosts)
		},
	}
}

func (c *console) printHosts(hosts []messenger.HostView) subcommands.ExitStatus {
	rows := []string{"HOST\tSTATE\tDATA CENTRE\tRACK\tPROCESSORS\tSERVICE\tBUSY\tSLOTS\tLATENCY"}
	for _, host := range hosts {
		prefix := fmt.Sprintf("%s\t%s\t%s\t%s\t%d/%dm", host.Host, host.State, host.DataCentre, host.Rack,
			host.Committed.ProcessorMillis, host.Capacity.ProcessorMillis)
		if len(host.Services) == 0 {
			rows = append(rows, prefix)
		}
		for _, s := range host.Services {
			rows = append(rows, fmt.Sprintf("%s\t%s/%s\t%d\t%d\t%d us", prefix, s.Team, s.Service, s.Busy, s.Slots, s.LatencyMicros))
		}
	}
	return c.printTable(rows...)
}

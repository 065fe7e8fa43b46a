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

// settingsAction is one action of the settings command.
type settingsAction struct {
	args int
	run  func(ctx context.Context, c *console, t *target, base int, args []string) subcommands.ExitStatus
}

// settingsActions is the table from name to action.
var settingsActions = map[string]settingsAction{
	"get":      {args: 1, run: getSettings},
	"set":      {args: 2, run: setSettings},
	"remove":   {args: 1, run: removeSettings},
	"validate": {args: 2, run: validateSettings},
	"history":  {args: 1, run: settingsHistory},
}

func settingsCommand(c *console) subcommands.Command {
	t := &target{}
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
			t.setFlags(flags)
			flags.IntVar(&base, "base", 0, "revision that the edit is based on")
		},
		run: func(ctx context.Context, args []string) subcommands.ExitStatus {
			if len(args) == 0 {
				return c.usage("settings takes get, set, remove, validate or history")
			}
			action, ok := settingsActions[args[0]]
			if !ok || len(args) != action.args+1 {
				return c.usage("settings %s: wrong arguments, see apricotwinch help settings", args[0])
			}
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			return action.run(ctx, c, t, base, args[1:])
		},
	}
}

func getSettings(ctx context.Context, c *console, t *target, _ int, args []string) subcommands.ExitStatus {
	entries, err := t.requester().Settings(ctx, args[0])
	return c.printSettings(t, entries, err)
}

func settingsHistory(ctx context.Context, c *console, t *target, _ int, args []string) subcommands.ExitStatus {
	entries, err := t.requester().History(ctx, args[0])
	return c.printSettings(t, entries, err)
}

func setSettings(ctx context.Context, c *console, t *target, base int, args []string) subcommands.ExitStatus {
	value, err := c.readValue(args[1])
	if err != nil {
		return c.fail(err)
	}
	answer, err := t.requester().Edit(ctx, args[0], base, value)
	return c.printSettings(t, []messenger.SettingsAnswer{answer}, err)
}

func removeSettings(ctx context.Context, c *console, t *target, base int, args []string) subcommands.ExitStatus {
	if err := t.requester().Remove(ctx, args[0], base); err != nil {
		return c.fail(err)
	}
	return subcommands.ExitSuccess
}

func validateSettings(ctx context.Context, c *console, t *target, base int, args []string) subcommands.ExitStatus {
	value, err := c.readValue(args[1])
	if err != nil {
		return c.fail(err)
	}
	if err := t.requester().Validate(ctx, args[0], base, value); err != nil {
		return c.fail(err)
	}
	return subcommands.ExitSuccess
}

func (c *console) printSettings(t *target, entries []messenger.SettingsAnswer, err error) subcommands.ExitStatus {
	if err != nil {
		return c.fail(err)
	}
	if t.json {
		return c.printJSON(messenger.SettingsList{Entries: entries})
	}
	rows := []string{"PATH\tREVISION\tAUTHOR\tVALUE"}
	for _, entry := range entries {
		rows = append(rows, fmt.Sprintf("%s\t%d\t%s\t%s", entry.Path, entry.Revision, entry.Author, oneLine(entry.Value)))
	}
	return c.printTable(rows...)
}

func oneLine(value json.RawMessage) string {
	if value == nil {
		return "(removed)"
	}
	return string(value)
}

func outCommand(c *console) subcommands.Command {
	return switchCommand(c, "out", "take a data centre out of service", `out DATA-CENTRE

No task starts there a few seconds later; what runs there is checkpointed and
resumed elsewhere.

  apricotwinch out kopli
`, true)
}

func backCommand(c *console) subcommands.Command {
	return switchCommand(c, "back", "bring a data centre back into service", `back DATA-CENTRE

  apricotwinch back kopli
`, false)
}

func switchCommand(c *console, name, synopsis, usage string, out bool) subcommands.Command {
	return oneArgument(c, "data centre", name, synopsis, usage, func(ctx context.Context, t *target, dataCentre string) subcommands.ExitStatus {
		answer, err := t.requester().SwitchDataCentre(ctx, dataCentre, out)
		return c.printSettings(t, []messenger.SettingsAnswer{answer}, err)
	})
}

func targetsCommand(c *console) subcommands.Command {
	t := &target{}
	return &command{
		name:     "targets",
		synopsis: "show the hosts that announced themselves and their targets",
		usage: `targets [-json]

  apricotwinch targets
`,
		setFlags: t.setFlags,
		run: func(ctx context.Context, _ []string) subcommands.ExitStatus {
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			hosts, err := t.requester().Hosts(ctx)
			if err != nil {
				return c.fail(err)
			}
			if t.json {
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

// Package commander implements the subcommands of the apricotwinch program.
//
// A command exits with 0 on success, 2 on a usage error, and otherwise with the
// exit code of the error's kind.
package commander

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/google/subcommands"

	"apricotwinch"
	"apricotwinch/requester"
)

// Environment variables that hold the default values of flags.
const (
	envEntry = "APRICOTWINCH_ENTRY"
	envToken = "APRICOTWINCH_TOKEN"
)

// callTimeout bounds each call that a command makes to an entry.
const callTimeout = 30 * time.Second

// group is the heading under which the help lists a command.
type group string

const (
	groupDaemons   group = "daemons"
	groupCallers   group = "callers"
	groupOperators group = "operators"
	groupTools     group = "tools"
)

// registration is a constructor of a command and the group of the command.
type registration struct {
	group   group
	command func(*console) subcommands.Command
}

// registrations holds all commands; each file registers its own in init.
var registrations []registration

func register(g group, command func(*console) subcommands.Command) {
	registrations = append(registrations, registration{group: g, command: command})
}

// console holds the standard streams of a command.
type console struct {
	in  io.Reader
	out io.Writer
	err io.Writer
}

// Main runs the command that args name and returns its exit code.
func Main(args []string, in io.Reader, out, errOut io.Writer) int {
	flags := flag.NewFlagSet("apricotwinch", flag.ContinueOnError)
	flags.SetOutput(errOut)
	top := subcommands.NewCommander(flags, "apricotwinch")
	top.Output = out
	top.Error = errOut
	top.Register(top.HelpCommand(), "help")
	top.Register(top.FlagsCommand(), "help")
	c := &console{in: in, out: out, err: errOut}
	for _, r := range registrations {
		top.Register(r.command(c), string(r.group))
	}
	if err := flags.Parse(args); err != nil {
		return int(subcommands.ExitUsageError)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return int(top.Execute(ctx))
}

// fail prints err with its kind, and when to retry if the work did not run and a
// retry may succeed. It returns the exit code of the kind.
func (c *console) fail(err error) subcommands.ExitStatus {
	kind := apricotwinch.KindOf(err)
	fmt.Fprintf(c.err, "apricotwinch: %s: %v\n", kind, err)
	if kind.ErrorResponse().NotRun() && kind.ErrorResponse().Retryable() {
		fmt.Fprintf(c.err, "apricotwinch: the request was not run; try again after %s\n", kind.ErrorResponse().RetryAfter())
	}
	return subcommands.ExitStatus(kind.ErrorResponse().ExitCode())
}

// usageError prints a formatted message on the arguments and returns the exit code
// for usage errors.
func (c *console) usageError(format string, args ...any) subcommands.ExitStatus {
	fmt.Fprintf(c.err, "apricotwinch: "+format+"\n", args...)
	return subcommands.ExitUsageError
}

// printJSON prints v as indented JSON.
func (c *console) printJSON(v any) subcommands.ExitStatus {
	encoder := json.NewEncoder(c.out)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(v); err != nil {
		return c.fail(err)
	}
	return subcommands.ExitSuccess
}

// printTable prints rows, whose cells are separated by tabs, as aligned columns.
func (c *console) printTable(rows ...string) subcommands.ExitStatus {
	const padding = 2
	w := tabwriter.NewWriter(c.out, 0, 0, padding, ' ', 0)
	for _, row := range rows {
		fmt.Fprintln(w, row)
	}
	if err := w.Flush(); err != nil {
		return c.fail(err)
	}
	return subcommands.ExitSuccess
}

// clientFlags holds the flags of the commands that call an entry.
type clientFlags struct {
	entry string
	token string
	team  string
	json  bool
}

func (client *clientFlags) setFlags(flags *flag.FlagSet) {
	entry := os.Getenv(envEntry)
	if entry == "" {
		entry = "http://127.0.0.1:7000"
	}
	flags.StringVar(&client.entry, "entry", entry, "base URL of an entry; default from "+envEntry)
	flags.StringVar(&client.token, "token", os.Getenv(envToken), "token of the team or operator; default from "+envToken)
	flags.StringVar(&client.team, "team", "", "team to act for, when the token is an operator's")
	flags.BoolVar(&client.json, "json", false, "print JSON")
}

func (client *clientFlags) requester() *requester.Requester {
	return requester.New(client.entry, client.token, &http.Client{})
}

// command implements subcommands.Command from its parts.
type command struct {
	name     string
	synopsis string
	usage    string
	setFlags func(*flag.FlagSet)
	run      func(ctx context.Context, args []string) subcommands.ExitStatus
}

// Name returns the name of the command.
func (c *command) Name() string { return c.name }

// Synopsis returns a one-line description of the command.
func (c *command) Synopsis() string { return c.synopsis }

// Usage returns the help text of the command, with examples.
func (c *command) Usage() string { return c.usage + "\n" }

// SetFlags adds the command's flags to flags.
func (c *command) SetFlags(flags *flag.FlagSet) {
	if c.setFlags != nil {
		c.setFlags(flags)
	}
}

// Execute runs the command.
func (c *command) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return c.run(ctx, flags.Args())
}

// oneArgumentCommand returns a command that takes exactly one positional argument
// and passes it to call. argument describes the argument in usage errors.
func oneArgumentCommand(c *console, argument, name, synopsis, usage string, call func(context.Context, *clientFlags, string) subcommands.ExitStatus) subcommands.Command {
	client := &clientFlags{}
	return &command{
		name:     name,
		synopsis: synopsis,
		usage:    usage,
		setFlags: client.setFlags,
		run: func(ctx context.Context, args []string) subcommands.ExitStatus {
			if len(args) != 1 {
				return c.usageError("%s takes one %s", name, argument)
			}
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			return call(ctx, client, args[0])
		},
	}
}

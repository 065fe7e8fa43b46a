// Package commander holds the commands of the apricotwinch program.
//
// A command exits with 0 on success, 2 on wrong usage, and otherwise with the
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

// Environment variables that give the defaults of flags.
const (
	envEntry = "APRICOTWINCH_ENTRY"
	envToken = "APRICOTWINCH_TOKEN"
)

// callTimeout bounds a call of a command to an entry.
const callTimeout = 30 * time.Second

// group is a heading in the list of commands.
type group string

const (
	groupDaemons   group = "daemons"
	groupCallers   group = "callers"
	groupOperators group = "operators"
	groupTools     group = "tools"
)

// registration is one command with its heading.
type registration struct {
	group   group
	command func(*console) subcommands.Command
}

// registrations is the table of commands; each file adds its own.
var registrations []registration

func register(g group, command func(*console) subcommands.Command) {
	registrations = append(registrations, registration{group: g, command: command})
}

// console is where a command reads and writes.
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

// fail prints err with its kind and returns the exit code of the kind.
func (c *console) fail(err error) subcommands.ExitStatus {
	kind := apricotwinch.KindOf(err)
	fmt.Fprintf(c.err, "apricotwinch: %s: %v\n", kind, err)
	if kind.Answer().NotRun() && kind.Answer().Retryable() {
		fmt.Fprintf(c.err, "apricotwinch: it was not run; try again after %s\n", kind.Answer().RetryAfter())
	}
	return subcommands.ExitStatus(kind.Answer().ExitCode())
}

// usage prints what is wrong with the arguments and returns the usage exit code.
func (c *console) usage(format string, args ...any) subcommands.ExitStatus {
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

// printTable prints rows of tab-separated cells in columns.
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

// target is the flags of every command that calls an entry.
type target struct {
	entry string
	token string
	team  string
	json  bool
}

func (t *target) setFlags(flags *flag.FlagSet) {
	entry := os.Getenv(envEntry)
	if entry == "" {
		entry = "http://127.0.0.1:7000"
	}
	flags.StringVar(&t.entry, "entry", entry, "base URL of an entry; default from "+envEntry)
	flags.StringVar(&t.token, "token", os.Getenv(envToken), "token of the team or operator; default from "+envToken)
	flags.StringVar(&t.team, "team", "", "team to act for, for operators")
	flags.BoolVar(&t.json, "json", false, "print JSON")
}

func (t *target) requester() *requester.Requester {
	return requester.New(t.entry, t.token, &http.Client{})
}

// command is one subcommand, put together from its parts.
type command struct {
	name     string
	synopsis string
	usage    string
	setFlags func(*flag.FlagSet)
	run      func(ctx context.Context, args []string) subcommands.ExitStatus
}

// Name returns the name of the command.
func (c *command) Name() string { return c.name }

// Synopsis returns one line on the command.
func (c *command) Synopsis() string { return c.synopsis }

// Usage returns how the command is used, with examples.
func (c *command) Usage() string { return c.usage + "\n" }

// SetFlags adds the command's flags.
func (c *command) SetFlags(flags *flag.FlagSet) {
	if c.setFlags != nil {
		c.setFlags(flags)
	}
}

// Execute runs the command.
func (c *command) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return c.run(ctx, flags.Args())
}

// oneArgument returns a command that calls an entry about the one argument that
// it takes, a what.
func oneArgument(c *console, what, name, synopsis, usage string, call func(context.Context, *target, string) subcommands.ExitStatus) subcommands.Command {
	t := &target{}
	return &command{
		name:     name,
		synopsis: synopsis,
		usage:    usage,
		setFlags: t.setFlags,
		run: func(ctx context.Context, args []string) subcommands.ExitStatus {
			if len(args) != 1 {
				return c.usage("%s takes one %s", name, what)
			}
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			return call(ctx, t, args[0])
		},
	}
}

package commander

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"slices"

	"github.com/google/subcommands"

	"apricotwinch"
	"apricotwinch/messenger"
)

func init() {
	register(groupCallers, submitCommand)
	register(groupCallers, statusCommand)
	register(groupCallers, cancelCommand)
	register(groupCallers, resumeCommand)
}

// readValue reads the JSON value in the file at path, or standard input for "-".
func (c *console) readValue(path string) (json.RawMessage, error) {
	data, err := c.readFile(path)
	if err != nil {
		return nil, err
	}
	var value json.RawMessage
	if err := json.Unmarshal(data, &value); err != nil {
		return nil, apricotwinch.Errorf(apricotwinch.Invalid, "%s: %w", path, err)
	}
	return value, nil
}

// readFile reads the file at path, or standard input for "-".
func (c *console) readFile(path string) ([]byte, error) {
	if path == "-" {
		return io.ReadAll(c.in)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, apricotwinch.Errorf(apricotwinch.Invalid, "%w", err)
	}
	return data, nil
}

func submitCommand(c *console) subcommands.Command {
	client := &clientFlags{}
	key, wait := "", false
	return &command{
		name:     "submit",
		synopsis: "submit a batch job or watch service",
		usage: `submit [-key KEY] [-wait] [-json] FILE

FILE holds the job in JSON, "-" reads standard input. With -key the same job is
never submitted twice. With -wait the command returns once the job has ended.

  apricotwinch submit route-plan.json
  echo '{"name":"plan","kind":"batch","urgency":"batch","tasks":2,"runMillis":500,
    "resources":{"processorMillis":500,"memoryBytes":1048576,"accelerators":0}}' |
    apricotwinch submit -key monday -wait -
`,
		setFlags: func(flags *flag.FlagSet) {
			client.setFlags(flags)
			flags.StringVar(&key, "key", "", "idempotency key")
			flags.BoolVar(&wait, "wait", false, "wait until the job has ended")
		},
		run: func(ctx context.Context, args []string) subcommands.ExitStatus {
			if len(args) != 1 {
				return c.usageError("submit takes one file")
			}
			job, err := c.submit(ctx, client, key, args[0])
			if err != nil {
				return c.fail(err)
			}
			if wait {
				return c.follow(ctx, client, job)
			}
			if client.json {
				return c.printJSON(messenger.SubmitAnswer{Job: job})
			}
			fmt.Fprintln(c.out, job)
			return subcommands.ExitSuccess
		},
	}
}

func (c *console) submit(ctx context.Context, client *clientFlags, key, path string) (string, error) {
	data, err := c.readFile(path)
	if err != nil {
		return "", err
	}
	var spec messenger.JobSpec
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&spec); err != nil {
		return "", apricotwinch.Errorf(apricotwinch.Invalid, "%s: %w", path, err)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return client.requester().Submit(ctx, client.team, key, spec)
}

// follow prints the progress of a job until it has ended. It opens the stream again
// when the stream ends before the job, as it does when the entry shuts down.
func (c *console) follow(ctx context.Context, client *clientFlags, job string) subcommands.ExitStatus {
	var last messenger.JobState
	line := ""
	for !ended(last) {
		err := client.requester().Follow(ctx, client.team, job, func(state messenger.JobState) {
			last = state
			if next := jobRow(state); !client.json && next != line {
				line = next
				fmt.Fprintln(c.out, line)
			}
		})
		if err != nil {
			return c.fail(err)
		}
	}
	if client.json {
		return c.printJSON(last)
	}
	return subcommands.ExitSuccess
}

// ended reports whether no task of a job is waiting or assigned. It returns false for a
// job without tasks, whose state is not known yet.
func ended(state messenger.JobState) bool {
	return len(state.Tasks) > 0 && !slices.ContainsFunc(state.Tasks, func(t messenger.TaskState) bool {
		return t.Phase == messenger.TaskWaiting || t.Phase == messenger.TaskAssigned
	})
}

// jobRow returns the state of a job as one row of tab-separated cells.
func jobRow(state messenger.JobState) string {
	counts := map[string]int{}
	for _, task := range state.Tasks {
		counts[task.Phase]++
	}
	line := fmt.Sprintf("%s\t%s\t%s\t%d/%d done\t%d running\t%d waiting", state.Job, state.Spec.Name, state.Spec.Kind,
		counts[messenger.TaskCompleted], len(state.Tasks), counts[messenger.TaskAssigned], counts[messenger.TaskWaiting])
	if state.Canceled {
		line += "\tcanceled"
	}
	if state.Parked != "" {
		line += "\tparked: " + state.Parked
	}
	return line
}

func statusCommand(c *console) subcommands.Command {
	client := &clientFlags{}
	follow := false
	return &command{
		name:     "status",
		synopsis: "show jobs and their tasks",
		usage: `status [-follow] [-json] [JOB]

Without JOB, lists all jobs of the team.

  apricotwinch status
  apricotwinch status -json JOB | jq '.tasks[].phase'
  apricotwinch status -follow JOB
`,
		setFlags: func(flags *flag.FlagSet) {
			client.setFlags(flags)
			flags.BoolVar(&follow, "follow", false, "print each change until the job has ended")
		},
		run: func(ctx context.Context, args []string) subcommands.ExitStatus {
			if len(args) > 1 || follow && len(args) == 0 {
				return c.usageError("status takes at most one job, and -follow needs one job")
			}
			if follow {
				return c.follow(ctx, client, args[0])
			}
			if len(args) == 1 {
				return c.showJob(ctx, client, args[0])
			}
			return c.listJobs(ctx, client)
		},
	}
}

func (c *console) listJobs(ctx context.Context, client *clientFlags) subcommands.ExitStatus {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	jobs, err := client.requester().Jobs(ctx, client.team)
	if err != nil {
		return c.fail(err)
	}
	if client.json {
		return c.printJSON(messenger.JobList{Jobs: jobs})
	}
	rows := []string{"JOB\tNAME\tKIND\tDONE\tRUNNING\tWAITING\tSTATE"}
	for _, state := range jobs {
		rows = append(rows, jobRow(state))
	}
	return c.printTable(rows...)
}

func (c *console) showJob(ctx context.Context, client *clientFlags, job string) subcommands.ExitStatus {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	state, err := client.requester().Job(ctx, client.team, job)
	if err != nil {
		return c.fail(err)
	}
	if client.json {
		return c.printJSON(state)
	}
	rows := []string{jobRow(state), "TASK\tPHASE\tATTEMPT\tFAILURES\tHOST\tDATA CENTRE"}
	for i, task := range state.Tasks {
		rows = append(rows, fmt.Sprintf("%d\t%s\t%d\t%d\t%s\t%s", i, task.Phase, task.Attempt, task.Failures, task.Host, task.DataCentre))
	}
	return c.printTable(rows...)
}

func cancelCommand(c *console) subcommands.Command {
	return jobCommand(c, "cancel", "cancel a job", `cancel JOB

Running tasks are stopped. A task that completed before the cancellation was
durable stays completed.

  apricotwinch cancel JOB
`, func(ctx context.Context, client *clientFlags, job string) error {
		return client.requester().Cancel(ctx, client.team, job)
	})
}

func resumeCommand(c *console) subcommands.Command {
	return jobCommand(c, "resume", "try a parked job again", `resume JOB

  apricotwinch resume JOB
`, func(ctx context.Context, client *clientFlags, job string) error {
		return client.requester().Resume(ctx, client.team, job)
	})
}

// jobCommand returns a command that calls change for the job in its argument.
func jobCommand(c *console, name, synopsis, usage string, change func(context.Context, *clientFlags, string) error) subcommands.Command {
	return oneArgumentCommand(c, "job", name, synopsis, usage, func(ctx context.Context, client *clientFlags, job string) subcommands.ExitStatus {
		if err := change(ctx, client, job); err != nil {
			return c.fail(err)
		}
		return subcommands.ExitSuccess
	})
}

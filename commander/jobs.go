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
	t := &target{}
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
			t.setFlags(flags)
			flags.StringVar(&key, "key", "", "idempotency key")
			flags.BoolVar(&wait, "wait", false, "wait until the job has ended")
		},
		run: func(ctx context.Context, args []string) subcommands.ExitStatus {
			if len(args) != 1 {
				return c.usage("submit takes one file")
			}
			job, err := c.submit(ctx, t, key, args[0])
			if err != nil {
				return c.fail(err)
			}
			if wait {
				return c.follow(ctx, t, job)
			}
			if t.json {
				return c.printJSON(messenger.SubmitAnswer{Job: job})
			}
			fmt.Fprintln(c.out, job)
			return subcommands.ExitSuccess
		},
	}
}

func (c *console) submit(ctx context.Context, t *target, key, path string) (string, error) {
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
	return t.requester().Submit(ctx, t.team, key, spec)
}

// follow prints the progress of a job until it has ended. A stream that ends
// before the job is taken up again.
func (c *console) follow(ctx context.Context, t *target, job string) subcommands.ExitStatus {
	var last messenger.JobState
	line := ""
	for !ended(last) {
		err := t.requester().Follow(ctx, t.team, job, func(state messenger.JobState) {
			last = state
			if next := summary(state); !t.json && next != line {
				line = next
				fmt.Fprintln(c.out, line)
			}
		})
		if err != nil {
			return c.fail(err)
		}
	}
	if t.json {
		return c.printJSON(last)
	}
	return subcommands.ExitSuccess
}

// ended reports whether a job is known and nothing of it will run any more.
func ended(state messenger.JobState) bool {
	return len(state.Tasks) > 0 && !slices.ContainsFunc(state.Tasks, func(t messenger.TaskState) bool {
		return t.Phase == messenger.TaskWaiting || t.Phase == messenger.TaskAssigned
	})
}

// summary returns one line on a job.
func summary(state messenger.JobState) string {
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
	t := &target{}
	follow := false
	return &command{
		name:     "status",
		synopsis: "show jobs and their tasks",
		usage: `status [-follow] [-json] [JOB]

Without JOB all jobs of the team are listed.

  apricotwinch status
  apricotwinch status -json JOB | jq '.tasks[].phase'
  apricotwinch status -follow JOB
`,
		setFlags: func(flags *flag.FlagSet) {
			t.setFlags(flags)
			flags.BoolVar(&follow, "follow", false, "print each change until the job has ended")
		},
		run: func(ctx context.Context, args []string) subcommands.ExitStatus {
			if len(args) > 1 || follow && len(args) == 0 {
				return c.usage("status takes one job, which -follow needs")
			}
			if follow {
				return c.follow(ctx, t, args[0])
			}
			if len(args) == 1 {
				return c.showJob(ctx, t, args[0])
			}
			return c.listJobs(ctx, t)
		},
	}
}

func (c *console) listJobs(ctx context.Context, t *target) subcommands.ExitStatus {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	jobs, err := t.requester().Jobs(ctx, t.team)
	if err != nil {
		return c.fail(err)
	}
	if t.json {
		return c.printJSON(messenger.JobList{Jobs: jobs})
	}
	rows := []string{"JOB\tNAME\tKIND\tDONE\tRUNNING\tWAITING\tSTATE"}
	for _, state := range jobs {
		rows = append(rows, summary(state))
	}
	return c.printTable(rows...)
}

func (c *console) showJob(ctx context.Context, t *target, job string) subcommands.ExitStatus {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	state, err := t.requester().Job(ctx, t.team, job)
	if err != nil {
		return c.fail(err)
	}
	if t.json {
		return c.printJSON(state)
	}
	rows := []string{summary(state), "TASK\tPHASE\tATTEMPT\tFAILURES\tHOST\tDATA CENTRE"}
	for i, task := range state.Tasks {
		rows = append(rows, fmt.Sprintf("%d\t%s\t%d\t%d\t%s\t%s", i, task.Phase, task.Attempt, task.Failures, task.Host, task.DataCentre))
	}
	return c.printTable(rows...)
}

func cancelCommand(c *console) subcommands.Command {
	return jobCommand(c, "cancel", "cancel a job", `cancel JOB

Tasks that run are stopped; a task that completed before the cancellation was
durable stays completed.

  apricotwinch cancel JOB
`, func(ctx context.Context, t *target, job string) error {
		return t.requester().Cancel(ctx, t.team, job)
	})
}

func resumeCommand(c *console) subcommands.Command {
	return jobCommand(c, "resume", "try a parked job again", `resume JOB

  apricotwinch resume JOB
`, func(ctx context.Context, t *target, job string) error {
		return t.requester().Resume(ctx, t.team, job)
	})
}

// jobCommand returns a command that changes one job.
func jobCommand(c *console, name, synopsis, usage string, change func(context.Context, *target, string) error) subcommands.Command {
	return oneArgument(c, "job", name, synopsis, usage, func(ctx context.Context, t *target, job string) subcommands.ExitStatus {
		if err := change(ctx, t, job); err != nil {
			return c.fail(err)
		}
		return subcommands.ExitSuccess
	})
}

package commander

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/google/subcommands"

	"apricotwinch"
)

func init() {
	register(groupTools, explainCommand)
}

// maxLineBytes is the greatest length of a line of a log file.
const maxLineBytes = 1 << 20

// logLine is one line of a daemon's log.
type logLine struct {
	timestamp string
	source    string
	text      string
	fields    map[string]any
}

// Fields that the logger adds to every line.
const (
	fieldTime    = "@timestamp"
	fieldMessage = "@message"
	fieldLevel   = "@level"
	fieldModule  = "@module"
)

func explainCommand(c *console) subcommands.Command {
	return &command{
		name:     "explain",
		synopsis: "print the lines of all processes' log files that contain an ID",
		usage: `explain ID FILE...

Prints every line of the files that contains ID, ordered by time: each decision,
its inputs and its outcome. Lines that are not JSON are skipped.

  apricotwinch explain 5c0e7a21d94b36f8 logs/*.log
`,
		run: func(_ context.Context, args []string) subcommands.ExitStatus {
			if len(args) < 2 {
				return c.usageError("explain takes an ID and at least one file")
			}
			var lines []logLine
			for _, path := range args[1:] {
				found, err := readLog(path, args[0])
				if err != nil {
					return c.fail(err)
				}
				lines = append(lines, found...)
			}
			if len(lines) == 0 {
				return c.fail(apricotwinch.Errorf(apricotwinch.NotFound, "id: no line contains %q", args[0]))
			}
			slices.SortStableFunc(lines, func(a, b logLine) int { return cmp.Compare(a.timestamp, b.timestamp) })
			for _, line := range lines {
				fmt.Fprintln(c.out, line)
			}
			return subcommands.ExitSuccess
		},
	}
}

// readLog returns the log lines of the file at path that contain id. It fails with
// kind NotFound when the file can't be read, and as scanLog.
func readLog(path, id string) ([]logLine, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, apricotwinch.Errorf(apricotwinch.NotFound, "log file: %w", err)
	}
	return scanLog(bytes.NewReader(data), path, id)
}

// scanLog returns the JSON lines of in that contain id; text in front of a line's JSON
// object is ignored. It fails with kind TooLarge when a line is over maxLineBytes.
func scanLog(in io.Reader, source, id string) ([]logLine, error) {
	var lines []logLine
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		_, text, found := strings.Cut(scanner.Text(), "{")
		if !found || !strings.Contains(text, id) {
			continue
		}
		fields := map[string]any{}
		if json.Unmarshal([]byte("{"+text), &fields) != nil {
			continue
		}
		lines = append(lines, logLine{
			timestamp: fmt.Sprint(fields[fieldTime]),
			source:    source,
			text:      fmt.Sprint(fields[fieldMessage]),
			fields:    fields,
		})
	}
	if err := scanner.Err(); err != nil {
		return nil, apricotwinch.Errorf(apricotwinch.TooLarge, "%s: %w", source, err)
	}
	return lines, nil
}

// String returns the time, source and message of the line and its other fields, sorted
// by name.
func (l logLine) String() string {
	var names []string
	for name := range l.fields {
		if !slices.Contains([]string{fieldTime, fieldMessage, fieldLevel, fieldModule}, name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	parts := []string{l.timestamp, l.source, l.text}
	for _, name := range names {
		value, err := json.Marshal(l.fields[name])
		if err != nil {
			value = fmt.Append(nil, l.fields[name])
		}
		parts = append(parts, name+"="+string(value))
	}
	return strings.Join(parts, "  ")
}

package conductor_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/hashicorp/go-hclog"

	"apricotwinch/messenger"
)

// logBuffer holds log lines in JSON.
type logBuffer struct{ bytes.Buffer }

// lines returns the lines with a message, as text with the given fields.
func (b *logBuffer) lines(t *testing.T, message string, fields ...string) []string {
	t.Helper()
	var found []string
	for text := range strings.Lines(b.String()) {
		line := map[string]any{}
		if err := json.Unmarshal([]byte(text), &line); err != nil {
			t.Fatalf("line %s: %v", text, err)
		}
		if line["@message"] != message {
			continue
		}
		var values []string
		for _, field := range fields {
			values = append(values, fmt.Sprint(field, "=", line[field]))
		}
		found = append(found, strings.Join(values, " "))
	}
	return found
}

// newLoggedSimulation returns a simulation whose owners, from the next one on, log to a buffer.
func newLoggedSimulation(t *testing.T, hosts int) (*simulation, *logBuffer) {
	t.Helper()
	sim := newSimulation(t, 1, hosts)
	sim.season()
	logs := &logBuffer{}
	sim.logger = hclog.New(&hclog.LoggerOptions{Output: logs, JSONFormat: true})
	return sim, logs
}

// TestReconciliationIsLogged guards against a takeover whose log doesn't show which executor it waits
// for, and why.
func TestReconciliationIsLogged(t *testing.T) {
	executor := messenger.ExecutorState{Executor: messenger.ExecutorRecord{Id: "executor-host-1", Born: int(origin.UnixMilli()) + 1, Service: service, Address: "host-1:2"}}
	incomplete := executor
	incomplete.Incomplete = true
	tests := []struct {
		name string
		// report is the report that host-1 repeats; nil for none.
		report *messenger.Report
		// waiting is the line of the fourth second, reconciled that of the next 6 s.
		waiting, reconciled []string
	}{
		{
			name:       "silent host",
			waiting:    []string{"executors=1 hostSilent=1 epochNotFollowed=0 unreported=0 incomplete=0 executor=executor-host-1 reason=host silent"},
			reconciled: []string{"epoch=2 inherited=3 tookMillis=4410"},
		},
		{
			name:       "agent that gets no replies",
			report:     &messenger.Report{Epoch: 1, Whole: true, Executors: []messenger.ExecutorState{executor}},
			waiting:    []string{"executors=1 hostSilent=0 epochNotFollowed=1 unreported=0 incomplete=0 executor=executor-host-1 reason=epoch not followed"},
			reconciled: []string{"epoch=2 inherited=3 tookMillis=5310"},
		},
		{
			name:       "restarted agent that doesn't know its executor",
			report:     &messenger.Report{Epoch: 2, Whole: true},
			waiting:    []string{"executors=1 hostSilent=0 epochNotFollowed=0 unreported=1 incomplete=0 executor=executor-host-1 reason=executor not reported"},
			reconciled: []string{"epoch=2 inherited=3 tookMillis=4410"},
		},
		{
			name:    "incomplete list",
			report:  &messenger.Report{Epoch: 2, Whole: true, Executors: []messenger.ExecutorState{incomplete}},
			waiting: []string{"executors=1 hostSilent=0 epochNotFollowed=0 unreported=0 incomplete=1 executor=executor-host-1 reason=list incomplete"},
		},
		{
			name:       "complete list",
			report:     &messenger.Report{Epoch: 2, Whole: true, Executors: []messenger.ExecutorState{executor}},
			reconciled: []string{"epoch=2 inherited=3 tookMillis=80"},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			sim, logs := newLoggedSimulation(t, 3)
			sim.run(2 * time.Second)
			sim.hosts[1].disconnected = true
			sim.replaceOwner(true)
			run := func(d time.Duration) {
				for end := sim.now.Add(d); sim.now.Before(end); sim.run(100 * time.Millisecond) {
					if test.report != nil {
						r := *test.report
						r.Host, r.Address, r.Incarnation, r.TicketMillis = "host-1", "host-1:1", "1", int(sim.now.Sub(origin).Milliseconds())
						sim.owner.Report(sim.now, sim.now, r)
					}
				}
			}
			run(3 * time.Second)
			reconciled := logs.lines(t, "executors reconciled", "epoch", "inherited", "tookMillis")
			logs.Reset()
			run(time.Second)
			if diff := cmp.Diff(test.waiting, logs.lines(t, "executors not listed", "executors", "hostSilent", "epochNotFollowed", "unreported", "incomplete", "executor", "reason")); diff != "" {
				t.Errorf("lines of a second (-want +got):\n%s", diff)
			}
			run(5 * time.Second)
			reconciled = append(reconciled, logs.lines(t, "executors reconciled", "epoch", "inherited", "tookMillis")...)
			if diff := cmp.Diff(test.reconciled, reconciled); diff != "" {
				t.Errorf("lines when the executors are reconciled (-want +got):\n%s", diff)
			}
		})
	}
}

// TestLongRunningTaskIsLogged guards against a long-running task that has no run and whose log shows
// neither why it lost its run nor what it waits for.
func TestLongRunningTaskIsLogged(t *testing.T) {
	tests := []struct {
		name string
		// prepare makes the task lose its run.
		prepare func(*simulation)
		// freed, waits and restarted are the lines of the next 9 s.
		freed, waits, restarted []string
	}{
		{
			name:      "executor crashes and another one has room",
			prepare:   func(sim *simulation) { sim.crash(sim.hostOf("w")) },
			freed:     []string{"reason=reported gone by its agent"},
			restarted: []string{"reason=reported gone by its agent"},
		},
		{
			name: "all hosts are cut off",
			prepare: func(sim *simulation) {
				for _, h := range sim.hosts {
					h.disconnected = true
				}
			},
			freed: []string{"reason=its leases have expired"},
			waits: []string{"for=no usable executor since=its leases have expired"},
		},
		{
			name: "successor doesn't know where the task ran and waits for another host",
			prepare: func(sim *simulation) {
				sim.dropPlacements()
				h := sim.hostOf("w")
				for _, other := range sim.hosts {
					other.disconnected = other != h
				}
				sim.crash(h)
				sim.replaceOwner(true)
			},
			waits:     []string{"for=executors not listed since=takeover", "for=executors not listed since=takeover"},
			restarted: []string{"reason=takeover"},
		},
		{
			name: "successor finds the run",
			prepare: func(sim *simulation) {
				sim.replaceOwner(true)
			},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			sim, logs := newLoggedSimulation(t, 3)
			sim.useOldAgents()
			sim.replaceOwner(true)
			sim.run(2 * time.Second)
			sim.submit(watchQueue, "w", tasks(1, 1000, time.Hour, longRunning))
			sim.runUntil(time.Second, func() bool { return sim.running("w") == 1 })
			sim.run(time.Second)
			logs.Reset()
			test.prepare(sim)
			sim.run(9 * time.Second)
			got := [][]string{
				logs.lines(t, "long-running task freed", "reason"),
				logs.lines(t, "long-running task waits", "for", "since"),
				logs.lines(t, "long-running task restarted", "reason"),
			}
			if diff := cmp.Diff([][]string{test.freed, test.waits, test.restarted}, got); diff != "" {
				t.Errorf("lines: freed, waits, restarted (-want +got):\n%s", diff)
			}
		})
	}
}

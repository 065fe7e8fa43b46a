package conductor_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"

	"apricotwinch/cataloger"
	"apricotwinch/conductor"
	"apricotwinch/messenger"
)

func needsLabel(s *messenger.StepSpec) { s.Label = "none" }

// TestLongWaitForRoomIsLogged verifies that a new long-running task that fits nowhere is logged after 2 s
// and each 5 s from then on while it waits, and not when it is canceled or later.
func TestLongWaitForRoomIsLogged(t *testing.T) {
	sim, logs := newLoggedSimulation(t, 2)
	sim.replaceOwner(true)
	sim.run(2 * time.Second)
	sim.submit(watchQueue, "w", tasks(1, 1000, time.Hour, longRunning, needsLabel))
	sim.run(14 * time.Second)
	want := []string{
		"for=no room since=ready waitMillis=2010 usable=2 refused=label 2 leftOut= executor=<nil>",
		"for=no room since=ready waitMillis=7010 usable=2 refused=label 2 leftOut= executor=<nil>",
		"for=no room since=ready waitMillis=12010 usable=2 refused=label 2 leftOut= executor=<nil>",
	}
	if diff := cmp.Diff(want, logs.lines(t, "long-running task waits", "for", "since", "waitMillis", "usable", "refused", "leftOut", "executor")); diff != "" {
		t.Errorf("lines (-want +got):\n%s", diff)
	}
	logs.Reset()
	if _, err := sim.owner.Cancel(sim.now, "w"); err != nil {
		t.Fatal(err)
	}
	sim.run(12 * time.Second)
	for _, message := range []string{"long-running task waits", "long-running task restarted"} {
		if lines := logs.lines(t, message, "for"); len(lines) > 0 {
			t.Errorf("lines of a canceled task: %q", lines)
		}
	}
}

// TestLinesOfLongWaitsAreBounded verifies that the lines about many waits are few each second, and that
// each wait gets one before any gets another.
func TestLinesOfLongWaitsAreBounded(t *testing.T) {
	o := newLoggedOwner(t, 1)
	o.submit("w", 20, longRunning, needsLabel)
	silent := func() *messenger.Report { return nil }
	var got []string
	for range 9 {
		o.run(time.Second, silent)
		got = append(got, fmt.Sprint(o.waitingTasks()))
		o.logs.Reset()
	}
	want := []string{"[]", "[]", "[0 1 2 3 4 5 6 7]", "[8 9 10 11 12 13 14 15]", "[16 17 18 19]", "[]", "[]", "[0 1 2 3 4 5 6 7]", "[8 9 10 11 12 13 14 15]"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("tasks that are logged in each second (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(int64(20), metrics.GetOrRegisterCounter("long_running.long_waits", o.registry).Count()); diff != "" {
		t.Errorf("long waits (-want +got):\n%s", diff)
	}
}

// submit submits a workload of one long-running step, and makes it durable.
func (o *loggedOwner) submit(id string, n int, change ...func(*messenger.StepSpec)) {
	o.t.Helper()
	spec := &messenger.WorkloadSpec{Steps: []messenger.StepSpec{tasks(n, 1000, time.Hour, change...)}}
	if _, err := o.Submit(o.now, messenger.WorkloadRequest{Queue: watchQueue, Id: id, Spec: spec}); err != nil {
		o.t.Fatal(err)
	}
	o.flush()
}

// waitingTasks returns the indices of the tasks whose waits are logged, in the order of the lines.
func (o *loggedOwner) waitingTasks() []int {
	o.t.Helper()
	var indices []int
	for _, line := range o.logs.lines(o.t, "long-running task waits", "task") {
		var index int
		if _, err := fmt.Sscanf(line, "task=map[index:%d", &index); err != nil {
			o.t.Fatalf("line %s: %v", line, err)
		}
		indices = append(indices, index)
	}
	return indices
}

// TestLongWaitNamesUnlistedExecutor guards against a long-running task that waits for lists of executors,
// and whose log doesn't show which one, and why that isn't listed.
func TestLongWaitNamesUnlistedExecutor(t *testing.T) {
	tests := []struct {
		name string
		// prepare changes the deployment before the owner is replaced.
		prepare func(*simulation)
		want    []string
	}{
		{
			name:    "executor that ran the task",
			prepare: func(sim *simulation) { sim.hostOf("w").disconnected = true },
			want:    []string{"for=executors not listed unlisted=1 executor=RAN reason=host silent waitMillis=2010 leaseMillis=6390 reportAgeMillis=2010"},
		},
		{
			name: "any executor",
			prepare: func(sim *simulation) {
				sim.dropPlacements()
				for _, h := range sim.hosts {
					h.disconnected = true
				}
			},
			want: []string{"for=executors not listed unlisted=3 executor=executor-host-0 reason=host silent waitMillis=2010 leaseMillis=6390 reportAgeMillis=2010"},
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
			ran := "executor-" + sim.hostOf("w").name
			test.prepare(sim)
			sim.replaceOwner(true)
			sim.run(4 * time.Second)
			var want []string
			for _, line := range test.want {
				want = append(want, strings.ReplaceAll(line, "RAN", ran))
			}
			got := logs.lines(t, "long-running task waits", "for", "unlisted", "executor", "reason", "waitMillis", "leaseMillis", "reportAgeMillis")
			if diff := cmp.Diff(want, got); diff != "" {
				t.Errorf("lines (-want +got):\n%s", diff)
			}
		})
	}
}

// TestWaitsAreCounted guards against long-running tasks without a run whose number, by what they wait
// for, no metric shows.
func TestWaitsAreCounted(t *testing.T) {
	tests := []struct {
		name string
		// prepare submits workloads at the end of the first second.
		prepare func(*loggedOwner)
		want    map[string]int64
	}{
		{name: "nothing waits", prepare: func(*loggedOwner) {}, want: map[string]int64{}},
		{
			name: "queue not configured",
			prepare: func(o *loggedOwner) {
				spec := &messenger.WorkloadSpec{Steps: []messenger.StepSpec{tasks(2, 1000, time.Hour, longRunning)}}
				if _, err := o.Submit(o.now, messenger.WorkloadRequest{Queue: "other", Id: "w", Spec: spec}); err != nil {
					o.t.Fatal(err)
				}
			},
			want: map[string]int64{"queue_not_configured": 2},
		},
		{
			name: "workload that is not durable",
			prepare: func(o *loggedOwner) {
				spec := &messenger.WorkloadSpec{Steps: []messenger.StepSpec{tasks(2, 1000, time.Hour, longRunning)}}
				if _, err := o.Submit(o.now, messenger.WorkloadRequest{Queue: watchQueue, Id: "w", Spec: spec}); err != nil {
					o.t.Fatal(err)
				}
			},
			want: map[string]int64{"next_pass": 2},
		},
		{
			name: "executors not listed",
			prepare: func(o *loggedOwner) {
				o.submit("w", 2, longRunning)
				o.Schedule(o.now)
				o.flush()
				o.report(o.newReport())
				o.replace()
			},
			want: map[string]int64{"executors_not_listed": 2},
		},
		{
			name: "backoff",
			prepare: func(o *loggedOwner) {
				o.submit("w", 1, longRunning)
				o.Schedule(o.now)
				o.flush()
				o.Schedule(o.now)
				r := o.newReport()
				r.RefusalsThrough = 1
				r.Refusals = []messenger.RunRefusal{{Run: o.TakeOrders()["host-0"].Starts[0].Run, Kind: "unhealthy"}}
				o.report(r)
			},
			want: map[string]int64{"backoff": 1},
		},
		{
			name: "no usable executor",
			prepare: func(o *loggedOwner) {
				o.submit("w", 2, longRunning)
				r := o.newReport()
				r.Executors[0].Draining = true
				o.report(r)
			},
			want: map[string]int64{"no_usable_executor": 2},
		},
		{name: "no room", prepare: func(o *loggedOwner) { o.submit("w", 2, longRunning, needsLabel) }, want: map[string]int64{"no_room": 2}},
		{
			name: "reserve",
			prepare: func(o *loggedOwner) {
				o.submit("w", 2, longRunning, func(s *messenger.StepSpec) { s.Resources.ProcessorMillis = 15_000 })
			},
			want: map[string]int64{"reserve": 2},
		},
		{
			name: "advice",
			prepare: func(o *loggedOwner) {
				queue := cataloger.Queue{Name: watchQueue, Host: "h", Prefix: "/w/", Service: service, MaxAttempts: 3, Advised: true}
				o.SetCatalog(cataloger.New(2, 1<<20, []cataloger.Queue{queue}))
				o.submit("w", 2, longRunning)
			},
			want: map[string]int64{"advice": 2},
		},
		{
			name:    "gang",
			prepare: func(o *loggedOwner) { o.submit("w", 2, longRunning, func(s *messenger.StepSpec) { s.Gang = true }) },
			want:    map[string]int64{"gang": 2},
		},
		{name: "next pass", prepare: func(o *loggedOwner) { o.submit("w", 2, longRunning) }, want: map[string]int64{"next_pass": 2}},
		{
			name: "several",
			prepare: func(o *loggedOwner) {
				o.submit("v", 1, longRunning)
				o.submit("w", 3, longRunning, needsLabel)
			},
			want: map[string]int64{"next_pass": 1, "no_room": 3},
		},
		{
			name: "more steps than are evaluated at a time",
			prepare: func(o *loggedOwner) {
				for i := range 40 {
					o.submit(fmt.Sprintf("w%02d", i), 2, longRunning, needsLabel)
				}
			},
			want: map[string]int64{"no_room": 64, "not_evaluated": 16},
		},
	}
	reasons := []string{
		"queue_not_configured", "executors_not_listed", "backoff", "no_usable_executor", "no_room", "reserve", "advice",
		"gang", "next_pass", "not_evaluated",
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			o := newLoggedOwner(t, 1)
			silent := func() *messenger.Report { return nil }
			o.run(time.Second, silent)
			test.prepare(o)
			o.run(25*time.Millisecond, silent)
			waiting := func() map[string]int64 {
				got := map[string]int64{}
				for _, reason := range reasons {
					if value := o.gauges("long_running.waiting." + reason)[0]; value != 0 {
						got[reason] = value
					}
				}
				return got
			}
			if diff := cmp.Diff(test.want, waiting()); diff != "" {
				t.Errorf("long-running tasks that wait (-want +got):\n%s", diff)
			}
			o.ClearGauges()
			if diff := cmp.Diff(map[string]int64{}, waiting()); diff != "" {
				t.Errorf("gauges of an owner that has stopped (-want +got):\n%s", diff)
			}
		})
	}
}

// TestAllWaitsAreEvaluated verifies that of many steps that wait, each is evaluated within seconds.
func TestAllWaitsAreEvaluated(t *testing.T) {
	o := newLoggedOwner(t, 1)
	for i := range 80 {
		o.submit(fmt.Sprintf("w%02d", i), 1, longRunning, needsLabel)
	}
	var got [][]int64
	for range 3 {
		o.run(time.Second, func() *messenger.Report { return nil })
		got = append(got, o.gauges("long_running.waiting.no_room", "long_running.waiting.not_evaluated"))
	}
	if diff := cmp.Diff([][]int64{{32, 48}, {64, 16}, {80, 0}}, got); diff != "" {
		t.Errorf("tasks without room and tasks that weren't evaluated, in each second (-want +got):\n%s", diff)
	}
}

// replace starts the next owner, which restores what the last one has written.
func (o *loggedOwner) replace() {
	o.t.Helper()
	next := conductor.New(conductor.DefaultConfig(), o.Epoch()+1, true, hclog.NewNullLogger(), o.registry)
	next.SetCatalog(catalog())
	if errs := next.Restore(o.now, o.journal); len(errs) > 0 {
		o.t.Fatal(errs)
	}
	o.Conductor = next
}

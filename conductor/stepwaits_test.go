package conductor_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"

	"apricotwinch/cataloger"
	"apricotwinch/conductor"
	"apricotwinch/messenger"
)

// stepWaitReasons are the ends of the names of the gauges of tasks that are not long-running by what they
// wait for.
var stepWaitReasons = []string{
	"queue_not_configured", "executors_not_listed", "backoff", "no_usable_executor", "label", "no_room",
	"unused_processors", "max_per_executor", "tail_latency_over_target", "outlook", "advice", "advice_denied", "gang", "runs_of_the_gang",
	"next_pass", "not_evaluated",
}

// gaugesAbove0 returns the gauges with a prefix that are not 0, by the rest of their names.
func (o *loggedOwner) gaugesAbove0(prefix string, names []string) map[string]int64 {
	got := map[string]int64{}
	for _, name := range names {
		if value := o.gauges(prefix + name)[0]; value != 0 {
			got[name] = value
		}
	}
	return got
}

// startAll starts what has room, and reports all runs ordered so far as running.
func (o *loggedOwner) startAll(r messenger.Report, change ...func(*messenger.RunState)) messenger.Report {
	o.t.Helper()
	o.Schedule(o.now)
	o.flush()
	o.Schedule(o.now)
	o.orders = o.TakeOrders()["host-0"]
	if o.orders == nil {
		o.t.Fatal("no orders")
	}
	runs := r.Executors[0].Runs
	for _, start := range o.orders.Starts {
		runs = append(runs, messenger.RunState{Run: start.Run, Phase: messenger.RunRunning, Pace: 100})
	}
	for i := range runs {
		for _, f := range change {
			f(&runs[i])
		}
	}
	next := o.newReport()
	next.Executors[0].Runs = runs
	o.report(next)
	return next
}

// serving makes a step one of long-running tasks with a tail latency target of 10 ms.
func serving(s *messenger.StepSpec) { s.Lasting, s.TailTargetMillis, s.Image = true, 10, "watch" }

// filling makes a step one of best-effort tasks.
func filling(s *messenger.StepSpec) { s.Fills, s.Image = true, "render" }

// tail returns a function that sets the tail latency of serving runs.
func tail(millis float64) func(*messenger.RunState) {
	return func(r *messenger.RunState) {
		if r.Run.Task.Workload == "serving" {
			r.Figure = millis
		}
	}
}

// TestStepWaitsAreCounted guards against accepted work without a run whose amount, by what it waits for, no
// metric shows unless it is long-running.
func TestStepWaitsAreCounted(t *testing.T) {
	tests := []struct {
		name string
		// prepare submits workloads at the end of the first second.
		prepare func(*loggedOwner)
		want    map[string]int64
	}{
		{name: "nothing waits", prepare: func(*loggedOwner) {}, want: map[string]int64{}},
		{name: "long-running task", prepare: func(o *loggedOwner) { o.submit("w", 1, longRunning) }, want: map[string]int64{}},
		{
			name: "queue removed from the catalog",
			prepare: func(o *loggedOwner) {
				o.submit("w", 3)
				o.SetCatalog(cataloger.New(2, 1<<20, nil))
			},
			want: map[string]int64{"queue_not_configured": 3},
		},
		{
			name: "successor whose catalog lacks the queue",
			prepare: func(o *loggedOwner) {
				spec := &messenger.WorkloadSpec{Steps: []messenger.StepSpec{tasks(2, 1000, time.Hour)}}
				if _, err := o.Submit(o.now, messenger.WorkloadRequest{Queue: "other", Id: "w", Spec: spec}); err != nil {
					o.t.Fatal(err)
				}
				o.flush()
				o.replace()
			},
			want: map[string]int64{"queue_not_configured": 2},
		},
		{
			name: "workload that is not durable",
			prepare: func(o *loggedOwner) {
				spec := &messenger.WorkloadSpec{Steps: []messenger.StepSpec{tasks(2, 1000, time.Hour)}}
				if _, err := o.Submit(o.now, messenger.WorkloadRequest{Queue: batchQueue, Id: "w", Spec: spec}); err != nil {
					o.t.Fatal(err)
				}
			},
			want: map[string]int64{"next_pass": 2},
		},
		{
			name: "executors not listed",
			prepare: func(o *loggedOwner) {
				o.submit("w", 2)
				o.startAll(o.newReport())
				o.flush()
				o.replace()
			},
			want: map[string]int64{"executors_not_listed": 2},
		},
		{
			name: "backoff",
			prepare: func(o *loggedOwner) {
				o.submit("w", 2)
				r := o.startAll(o.newReport())
				state := &r.Executors[0]
				state.Ends = []messenger.RunEnd{{Run: state.Runs[0].Run, How: messenger.EndFailed, Number: 1}}
				state.Runs = state.Runs[1:]
				o.now = o.now.Add(time.Millisecond)
				o.report(r)
			},
			want: map[string]int64{"backoff": 1},
		},
		{
			name: "no usable executor",
			prepare: func(o *loggedOwner) {
				o.submit("w", 2)
				r := o.newReport()
				r.Executors[0].Draining = true
				o.report(r)
			},
			want: map[string]int64{"no_usable_executor": 2},
		},
		{name: "label", prepare: func(o *loggedOwner) { o.submit("w", 2, needsLabel) }, want: map[string]int64{"label": 2}},
		{
			name: "no room",
			prepare: func(o *loggedOwner) {
				o.submit("w", 20)
				o.startAll(o.newReport())
			},
			want: map[string]int64{"no_room": 4},
		},
		{
			name: "max per executor",
			prepare: func(o *loggedOwner) {
				o.submit("w", 5, func(s *messenger.StepSpec) { s.MaxPerExecutor = 2 })
				o.startAll(o.newReport())
			},
			want: map[string]int64{"max_per_executor": 3},
		},
		{
			name: "unused processors",
			prepare: func(o *loggedOwner) {
				o.submit("w", 20, filling)
				o.startAll(o.newReport())
			},
			want: map[string]int64{"unused_processors": 4},
		},
		{
			name: "tail latency over target",
			prepare: func(o *loggedOwner) {
				o.submit("serving", 1, serving)
				o.submit("v", 1, filling)
				r := o.startAll(o.newReport(), tail(4))
				o.submit("w", 2, filling)
				r.Executors[0].Runs[0].Figure, r.Executors[0].Runs[1].Figure = 100, 100
				o.now = o.now.Add(time.Millisecond)
				o.report(r)
			},
			want: map[string]int64{"tail_latency_over_target": 2},
		},
		{
			name: "outlook",
			prepare: func(o *loggedOwner) {
				o.submit("serving", 1, serving)
				o.startAll(o.newReport(), tail(9))
				o.submit("w", 2, filling)
			},
			want: map[string]int64{"outlook": 2},
		},
		{
			name: "advice",
			prepare: func(o *loggedOwner) {
				o.advise()
				o.submit("w", 2)
			},
			want: map[string]int64{"advice": 2},
		},
		{
			name: "advice denied",
			prepare: func(o *loggedOwner) {
				o.advise()
				o.submit("w", 2)
				o.Schedule(o.now)
				q, ok := o.TakeAdviceRequest()
				if !ok {
					o.t.Fatal("no request for advice")
				}
				o.HandleAdvice(o.now, o.now, q, map[string]string{}, nil)
			},
			want: map[string]int64{"advice_denied": 2},
		},
		{
			name:    "gang of which a part has room",
			prepare: func(o *loggedOwner) { o.submit("w", 20, gang) },
			want:    map[string]int64{"gang": 20},
		},
		{
			name: "gang of which a part runs",
			prepare: func(o *loggedOwner) {
				o.submit("w", 3, gang)
				r := o.startAll(o.newReport())
				state := &r.Executors[0]
				state.Ends = []messenger.RunEnd{{Run: state.Runs[0].Run, How: messenger.EndFailed, Number: 1}}
				state.Runs = state.Runs[1:]
				o.now = o.now.Add(time.Millisecond)
				o.report(r)
			},
			want: map[string]int64{"runs_of_the_gang": 1},
		},
		{name: "next pass", prepare: func(o *loggedOwner) { o.submit("w", 2) }, want: map[string]int64{"next_pass": 2}},
		{
			name: "several",
			prepare: func(o *loggedOwner) {
				o.submit("u", 4, longRunning)
				o.submit("v", 1)
				o.submit("w", 3, needsLabel)
			},
			want: map[string]int64{"next_pass": 1, "label": 3},
		},
		{
			name: "more steps than are evaluated at a time",
			prepare: func(o *loggedOwner) {
				for i := range 40 {
					o.submit(fmt.Sprintf("w%02d", i), 2, needsLabel)
				}
			},
			want: map[string]int64{"label": 64, "not_evaluated": 16},
		},
		{
			name: "more tasks than are checked at a time",
			prepare: func(o *loggedOwner) {
				o.submit("v", 15_000, needsLabel)
				o.submit("w", 15_000, needsLabel)
			},
			want: map[string]int64{"label": 30_000},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			o := newLoggedOwner(t, 1)
			silent := func() *messenger.Report { return nil }
			o.run(time.Second, silent)
			test.prepare(o)
			o.run(25*time.Millisecond, silent)
			if diff := cmp.Diff(test.want, o.gaugesAbove0("ordinary.waiting.", stepWaitReasons)); diff != "" {
				t.Errorf("tasks that wait (-want +got):\n%s", diff)
			}
			o.ClearGauges()
			if diff := cmp.Diff(map[string]int64{}, o.gaugesAbove0("ordinary.waiting.", stepWaitReasons)); diff != "" {
				t.Errorf("gauges of an owner that has stopped (-want +got):\n%s", diff)
			}
		})
	}
}

// gang makes a step a gang.
func gang(s *messenger.StepSpec) { s.Gang = true }

// advise makes the queue of the owner's workloads an advised one.
func (o *loggedOwner) advise() {
	queue := cataloger.Queue{Name: watchQueue, Host: "h", Prefix: "/w/", Service: service, MaxAttempts: 3, Advised: true, TicketLife: time.Hour}
	o.SetCatalog(cataloger.New(2, 1<<20, []cataloger.Queue{queue}))
}

// TestLongStepWaitIsLogged guards against accepted work that waits for long, and whose log doesn't show for
// what.
func TestLongStepWaitIsLogged(t *testing.T) {
	tests := []struct {
		name string
		// prepare submits workloads at the end of the first second, and returns the report that host-0 repeats.
		prepare func(*loggedOwner) messenger.Report
		// want holds the lines of the next 9 s.
		want []string
	}{
		{
			name: "label that no executor has",
			prepare: func(o *loggedOwner) messenger.Report {
				o.submit("w", 2, needsLabel)
				return o.newReport()
			},
			want: []string{
				"tasks=2 running=0 since=ready waitMillis=2025 ageMillis=2025 for=label usable=1 refused=label 1 leftOut=",
				"tasks=2 running=0 since=ready waitMillis=7025 ageMillis=7025 for=label usable=1 refused=label 1 leftOut=",
			},
		},
		{
			name: "some tasks run",
			prepare: func(o *loggedOwner) messenger.Report {
				o.submit("w", 20)
				o.now = o.now.Add(500 * time.Millisecond)
				return o.startAll(o.newReport())
			},
			want: []string{
				"tasks=4 running=16 since=run started waitMillis=2025 ageMillis=2525 for=no room usable=1 refused=no room 1 leftOut=",
				"tasks=4 running=16 since=run started waitMillis=7025 ageMillis=7525 for=no room usable=1 refused=no room 1 leftOut=",
			},
		},
		{
			name: "executor drains",
			prepare: func(o *loggedOwner) messenger.Report {
				o.submit("w", 1)
				r := o.newReport()
				r.Executors[0].Draining = true
				o.report(r)
				return r
			},
			want: []string{
				"tasks=1 running=0 since=ready waitMillis=2025 ageMillis=2025 for=no usable executor usable=0 refused= leftOut=draining 1",
				"tasks=1 running=0 since=ready waitMillis=7025 ageMillis=7025 for=no usable executor usable=0 refused= leftOut=draining 1",
			},
		},
		{
			name: "queue removed from the catalog",
			prepare: func(o *loggedOwner) messenger.Report {
				o.submit("w", 1)
				o.SetCatalog(cataloger.New(2, 1<<20, nil))
				return o.newReport()
			},
			want: []string{
				"tasks=1 running=0 since=ready waitMillis=2025 ageMillis=2025 for=queue not configured usable=0 refused= leftOut=",
				"tasks=1 running=0 since=ready waitMillis=7025 ageMillis=7025 for=queue not configured usable=0 refused= leftOut=",
			},
		},
		{
			name: "store that takes no appends",
			prepare: func(o *loggedOwner) messenger.Report {
				spec := &messenger.WorkloadSpec{Steps: []messenger.StepSpec{tasks(1, 1000, time.Hour)}}
				if _, err := o.Submit(o.now, messenger.WorkloadRequest{Queue: batchQueue, Id: "w", Spec: spec}); err != nil {
					o.t.Fatal(err)
				}
				return o.newReport()
			},
			want: []string{
				"tasks=1 running=0 since=ready waitMillis=2025 ageMillis=2025 for=next pass usable=1 refused= leftOut=",
				"tasks=1 running=0 since=ready waitMillis=7025 ageMillis=7025 for=next pass usable=1 refused= leftOut=",
			},
		},
		{
			name: "scheduled workload that is due after 4 s",
			prepare: func(o *loggedOwner) messenger.Report {
				spec := &messenger.WorkloadSpec{
					Steps: []messenger.StepSpec{tasks(1, 1000, time.Hour, needsLabel)}, Repeats: 2, IntervalMillis: 3_600_000,
					StartAtMillis: int(o.now.Add(4 * time.Second).UnixMilli()),
				}
				if _, err := o.Submit(o.now, messenger.WorkloadRequest{Queue: batchQueue, Id: "w", Spec: spec}); err != nil {
					o.t.Fatal(err)
				}
				o.flush()
				return o.newReport()
			},
			want: []string{"tasks=1 running=0 since=ready waitMillis=2025 ageMillis=6025 for=label usable=1 refused=label 1 leftOut="},
		},
		{
			name: "workload ended",
			prepare: func(o *loggedOwner) messenger.Report {
				o.submit("w", 1, needsLabel)
				if _, err := o.Cancel(o.now, "w"); err != nil {
					o.t.Fatal(err)
				}
				return o.newReport()
			},
		},
		{
			name: "long-running step",
			prepare: func(o *loggedOwner) messenger.Report {
				o.submit("w", 1, longRunning, needsLabel)
				return o.newReport()
			},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			o := newLoggedOwner(t, 1)
			o.run(time.Second, func() *messenger.Report { return nil })
			r := test.prepare(o)
			o.run(9*time.Second, func() *messenger.Report { return &r })
			got := o.logs.lines(t, "step waits", "tasks", "running", "since", "waitMillis", "ageMillis", "for", "usable", "refused", "leftOut")
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Errorf("lines (-want +got):\n%s", diff)
			}
		})
	}
}

// TestStepThatStartsTasksIsNotLogged verifies that a step that waits for room gets no line while it starts its
// tasks one after the other.
func TestStepThatStartsTasksIsNotLogged(t *testing.T) {
	sim, logs := newLoggedSimulation(t, 1)
	sim.replaceOwner(true)
	sim.run(2 * time.Second)
	sim.submit(batchQueue, "w", tasks(8, 16_000, time.Second))
	sim.runUntil(15*time.Second, func() bool { return sim.state("w") == messenger.WorkloadCompleted })
	if lines := logs.lines(t, "step waits", "task"); len(lines) > 0 {
		t.Errorf("lines of a step that starts a task each second: %q", lines)
	}
}

// TestLinesOfLongStepWaitsAreBounded verifies that the lines about many steps are few each second, and that
// each step gets one before any gets another.
func TestLinesOfLongStepWaitsAreBounded(t *testing.T) {
	o := newLoggedOwner(t, 1)
	for i := range 20 {
		o.submit(fmt.Sprintf("w%02d", i), 3, needsLabel)
	}
	var got []int
	seen := map[string]bool{}
	for range 9 {
		o.run(time.Second, func() *messenger.Report { return nil })
		lines := o.logs.lines(t, "step waits", "task")
		for _, line := range lines {
			seen[line] = true
		}
		got = append(got, len(lines))
		o.logs.Reset()
		if len(got) == 5 && len(seen) != 20 {
			t.Errorf("%d of 20 steps are logged within 5 s", len(seen))
		}
	}
	if diff := cmp.Diff([]int{0, 0, 8, 8, 4, 0, 0, 8, 8}, got); diff != "" {
		t.Errorf("lines in each second (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(int64(20), metrics.GetOrRegisterCounter("ordinary.long_waits", o.registry).Count()); diff != "" {
		t.Errorf("long waits (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]int64{20}, o.gauges("ordinary.long_waiting")); diff != "" {
		t.Errorf("steps that wait for long (-want +got):\n%s", diff)
	}
}

// TestLinesOfOneStepAmongMany guards against a step whose line is missing among those of many that wait for
// something else, as after a takeover.
func TestLinesOfOneStepAmongMany(t *testing.T) {
	o := newLoggedOwner(t, 1)
	for i := range 200 {
		o.submit(fmt.Sprintf("v%03d", i), 1, needsLabel)
	}
	spec := &messenger.WorkloadSpec{Steps: []messenger.StepSpec{tasks(1, 1000, time.Hour)}}
	if _, err := o.Submit(o.now, messenger.WorkloadRequest{Queue: "other", Id: "w", Spec: spec}); err != nil {
		t.Fatal(err)
	}
	o.run(3*time.Second, func() *messenger.Report { return nil })
	got := map[string]int{}
	for _, line := range o.logs.lines(t, "step waits", "for") {
		got[line]++
	}
	if diff := cmp.Diff(map[string]int{"for=label": 7, "for=queue not configured": 1}, got); diff != "" {
		t.Errorf("lines of the first 3 s (-want +got):\n%s", diff)
	}
}

// TestLongStepWaitNamesUnlistedExecutor guards against accepted work that one silent executor, or one whose
// lists stay incomplete, holds after a takeover, and whose log shows neither that nor which executor.
func TestLongStepWaitNamesUnlistedExecutor(t *testing.T) {
	silent := []string{
		"host silent waitMillis=2010 leaseMillis=6390 reportAgeMillis=2010",
		"host silent waitMillis=7010 leaseMillis=1390 reportAgeMillis=7010",
	}
	for _, test := range []struct {
		name string
		step func(*messenger.StepSpec)
		// incomplete is whether the executor lists not all its runs and ends, instead of being silent.
		incomplete bool
		// lines are those of 14 s.
		lines []string
	}{
		{name: "ordinary", step: func(*messenger.StepSpec) {}, lines: silent},
		{name: "best-effort", step: bestEffort, lines: silent},
		{name: "gang", step: gang, lines: silent},
		{
			name: "incomplete list", step: func(*messenger.StepSpec) {}, incomplete: true,
			lines: []string{
				"list incomplete waitMillis=2010 leaseMillis=6390 reportAgeMillis=10",
				"list incomplete waitMillis=7010 leaseMillis=4390 reportAgeMillis=10",
				"list incomplete waitMillis=12010 leaseMillis=4390 reportAgeMillis=10",
			},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			sim, logs := newLoggedSimulation(t, 3)
			sim.useOldAgents()
			sim.replaceOwner(true)
			sim.run(2 * time.Second)
			sim.submit(batchQueue, "w", tasks(1, 1000, time.Hour, test.step))
			sim.runUntil(time.Second, func() bool { return sim.running("w") == 1 })
			sim.run(time.Second)
			h := sim.hostOf("w")
			h.disconnected = true
			sim.replaceOwner(true)
			for range 140 {
				if test.incomplete {
					sim.owner.Report(sim.now, sim.now, incompleteReport(sim, h))
				}
				sim.run(100 * time.Millisecond)
			}
			var want []string
			for _, line := range test.lines {
				want = append(want, "for=executors not listed tasks=1 since=takeover unlisted=1 executor=executor-"+h.name+" host="+h.name+" reason="+line)
			}
			got := logs.lines(t, "step waits", "for", "tasks", "since", "unlisted", "executor", "host", "reason", "waitMillis", "leaseMillis", "reportAgeMillis")
			if diff := cmp.Diff(want, got); diff != "" {
				t.Errorf("lines (-want +got):\n%s", diff)
			}
		})
	}
}

// incompleteReport returns a report of a host whose executor lists neither runs nor ends.
func incompleteReport(sim *simulation, h *modelHost) messenger.Report {
	executor := messenger.ExecutorRecord{Id: "executor-" + h.name, Born: h.executor.incarnation, Service: service, Address: h.name + ":2"}
	return messenger.Report{
		Host: h.name, Address: h.name + ":1", Incarnation: fmt.Sprint(h.incarnation), Epoch: int(sim.epoch), Whole: true,
		TicketMillis: int(sim.now.Sub(origin).Milliseconds()),
		Executors:    []messenger.ExecutorState{{Executor: executor, Reachable: true, Incomplete: true}},
	}
}

// TestWaitOfCopyIsLogged guards against a speculative copy that is not started, and whose log doesn't show
// for what it waits.
func TestWaitOfCopyIsLogged(t *testing.T) {
	const reportPeriod = 100 * time.Millisecond
	logs := &logBuffer{}
	logger := hclog.New(&hclog.LoggerOptions{Output: logs, JSONFormat: true})
	c := conductor.New(conductor.DefaultConfig(), 1, true, logger, metrics.NewRegistry())
	c.SetCatalog(catalog())
	reports := []messenger.Report{newIdleReport(0, 1), newIdleReport(1, 1)}
	for _, r := range reports {
		c.Report(origin, origin, r)
	}
	step := tasks(2, 8_000, time.Second, func(s *messenger.StepSpec) { s.Speculative = true })
	if _, err := c.Submit(origin, messenger.WorkloadRequest{Queue: urgentQueue, Id: "w", Spec: &messenger.WorkloadSpec{Steps: []messenger.StepSpec{step}}}); err != nil {
		t.Fatal(err)
	}
	records, number := c.TakeWrites()
	c.AppendCommitted(number, records)
	c.Schedule(origin)
	records, number = c.TakeWrites()
	c.AppendCommitted(number, records)
	c.Schedule(origin)
	orders := c.TakeOrders()
	for i := range reports {
		r := &reports[i]
		r.Epoch = 1
		if o := orders[r.Host]; o != nil {
			r.Orders = o.Number
			for _, start := range o.Starts {
				r.Executors[0].Runs = append(r.Executors[0].Runs, messenger.RunState{Run: start.Run, Phase: messenger.RunRunning, Pace: 100})
			}
		}
	}
	// No pass starts the copies.
	for now := origin; now.Before(origin.Add(5 * time.Second)); {
		now = now.Add(reportPeriod)
		for _, r := range reports {
			r.TicketMillis = int(now.Sub(origin).Milliseconds())
			c.Report(now, now, r)
		}
		c.Tick(now, now, now)
	}
	want := []string{"tasks=2 running=2 since=copy for=next pass"}
	if diff := cmp.Diff(want, logs.lines(t, "step waits", "tasks", "running", "since", "for")); diff != "" {
		t.Errorf("lines (-want +got):\n%s", diff)
	}
}

// TestUnusableExecutorsAreCounted guards against room that the owner may not use and whose amount, by the
// reason, no metric shows.
func TestUnusableExecutorsAreCounted(t *testing.T) {
	tests := []struct {
		name    string
		prepare func(*loggedOwner)
		want    map[string]int64
	}{
		{name: "usable", prepare: func(*loggedOwner) {}, want: map[string]int64{}},
		{
			name: "draining",
			prepare: func(o *loggedOwner) {
				r := o.newReport()
				r.Executors[0].Draining = true
				o.report(r)
			},
			want: map[string]int64{"draining": 1},
		},
		{
			name: "unreachable",
			prepare: func(o *loggedOwner) {
				r := o.newReport()
				r.Executors[0].Reachable = false
				o.report(r)
			},
			want: map[string]int64{"unreachable": 1},
		},
		{
			name:    "out of service",
			prepare: func(o *loggedOwner) { o.SetOutOfService(map[string]bool{"dc": true}) },
			want:    map[string]int64{"out_of_service": 1},
		},
		{
			name: "runs not listed",
			prepare: func(o *loggedOwner) {
				r := o.newReport()
				r.Executors[0].Incomplete = true
				o.report(r)
			},
			want: map[string]int64{"runs_not_listed": 1},
		},
		{
			name: "runs unknown",
			prepare: func(o *loggedOwner) {
				r := o.newReport()
				ref := messenger.RunRef{Task: messenger.TaskRef{Workload: "other"}, Run: 1}
				r.Executors[0].Runs = []messenger.RunState{{Run: ref, Phase: messenger.RunRunning, Pace: 100}}
				o.report(r)
			},
			want: map[string]int64{"runs_unknown": 1},
		},
		{name: "successor without reports", prepare: func(o *loggedOwner) { o.replace() }, want: map[string]int64{"host_not_reported": 1}},
	}
	names := []string{
		"host_not_reported", "leases_withheld", "host_suspended", "orders_undeliverable", "not_durable", "unreachable", "runs_not_listed", "runs_unknown",
		"draining", "out_of_service",
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			o := newLoggedOwner(t, 1)
			silent := func() *messenger.Report { return nil }
			o.run(time.Second, silent)
			test.prepare(o)
			o.run(25*time.Millisecond, silent)
			if diff := cmp.Diff(test.want, o.gaugesAbove0("executors.left_out.", names)); diff != "" {
				t.Errorf("executors that get no tasks (-want +got):\n%s", diff)
			}
			o.ClearGauges()
			if diff := cmp.Diff(map[string]int64{}, o.gaugesAbove0("executors.left_out.", names)); diff != "" {
				t.Errorf("gauges of an owner that has stopped (-want +got):\n%s", diff)
			}
		})
	}
}

// TestUnlistedExecutorsAreCounted guards against executors that hold the work of earlier owners and whose
// number, by the reason, no metric shows.
func TestUnlistedExecutorsAreCounted(t *testing.T) {
	o := newLoggedOwner(t, 1)
	silent := func() *messenger.Report { return nil }
	names := []string{"host_silent", "epoch_not_followed", "executor_not_reported", "list_incomplete"}
	check := func(what string, want map[string]int64) {
		t.Helper()
		if diff := cmp.Diff(want, o.gaugesAbove0("executors.unlisted.", names)); diff != "" {
			t.Errorf("%s: executors that are not listed (-want +got):\n%s", what, diff)
		}
	}
	o.run(time.Second, silent)
	check("first owner", map[string]int64{})
	o.replace()
	o.run(time.Second, silent)
	check("silent", map[string]int64{"host_silent": 1})
	r := o.newReport()
	r.Epoch = 2
	r.Executors[0].Incomplete = true
	o.report(r)
	o.run(time.Second, silent)
	check("incomplete list", map[string]int64{"list_incomplete": 1})
	o.ClearGauges()
	check("owner that has stopped", map[string]int64{})
	r.Executors[0].Incomplete = false
	o.report(r)
	o.run(time.Second, silent)
	check("listed", map[string]int64{})
}

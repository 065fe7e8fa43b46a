package conductor_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"

	"apricotwinch"
	"apricotwinch/appender"
	"apricotwinch/conductor"
	"apricotwinch/messenger"
)

// loggedOwner is the first owner of a deployment with one host, host-0, whose log and metrics are read.
type loggedOwner struct {
	*conductor.Conductor
	t        *testing.T
	now      time.Time
	logs     *logBuffer
	registry metrics.Registry
	// agentEpoch is the epoch that the agent of host-0 follows, and orders the last orders for it.
	agentEpoch int
	orders     *messenger.Orders
	// journal holds all records, in the order in which they were written.
	journal []appender.KeyedRecord
}

func newLoggedOwner(t *testing.T, agentEpoch int) *loggedOwner {
	t.Helper()
	o := &loggedOwner{t: t, now: origin, logs: &logBuffer{}, registry: metrics.NewRegistry(), agentEpoch: agentEpoch}
	logger := hclog.New(&hclog.LoggerOptions{Output: o.logs, JSONFormat: true})
	o.Conductor = conductor.New(conductor.DefaultConfig(), 1, true, logger, o.registry)
	o.SetCatalog(catalog())
	o.report(o.newReport())
	o.flush()
	return o
}

// newReport returns a whole report of host-0 that has processed all orders and lists no run.
func (o *loggedOwner) newReport() messenger.Report {
	record := messenger.ExecutorRecord{
		Id: "executor-host-0", Born: 1, Service: service, DataCentre: "dc",
		Capacity: messenger.FromResources(apricotwinch.NewResources(16_000, 64<<30, 0)),
	}
	r := messenger.Report{
		Host: "host-0", Address: "host-0:1", Incarnation: "1", Epoch: o.agentEpoch, Whole: true,
		Executors: []messenger.ExecutorState{{Executor: record, Reachable: true}},
	}
	if o.orders != nil {
		r.Orders = o.orders.Number
	}
	return r
}

// report applies a report that is sent now.
func (o *loggedOwner) report(r messenger.Report) {
	r.TicketMillis = 1 + int(o.now.Sub(origin).Milliseconds())
	o.Report(o.now, o.now, r)
}

// flush makes the pending records durable.
func (o *loggedOwner) flush() {
	records, number := o.TakeWrites()
	o.AppendCommitted(number, records)
	o.journal = append(o.journal, records...)
}

// start submits a workload of n tasks, and orders them.
func (o *loggedOwner) start(id string, n int) {
	o.t.Helper()
	spec := &messenger.WorkloadSpec{Steps: []messenger.StepSpec{tasks(n, 1000, time.Hour)}}
	if _, err := o.Submit(o.now, messenger.WorkloadRequest{Queue: batchQueue, Id: id, Spec: spec}); err != nil {
		o.t.Fatal(err)
	}
	for range 2 { // The workload, then where its tasks may run.
		o.flush()
		o.Schedule(o.now)
	}
	o.orders = o.TakeOrders()["host-0"]
	if got := len(o.orders.Starts); got != n {
		o.t.Fatalf("starts: got %d, want %d", got, n)
	}
}

// run advances the time by d in ticks of 25 ms. Each 350 ms host-0 sends the report that next returns,
// or none if that is nil.
func (o *loggedOwner) run(d time.Duration, next func() *messenger.Report) {
	for end := o.now.Add(d); o.now.Before(end); {
		o.now = o.now.Add(25 * time.Millisecond)
		if o.now.Sub(origin)%(350*time.Millisecond) == 0 {
			if r := next(); r != nil {
				o.report(*r)
			}
		}
		o.Tick(o.now, o.now, origin)
	}
}

func (o *loggedOwner) gauges(names ...string) []int64 {
	var values []int64
	for _, name := range names {
		values = append(values, metrics.GetOrRegisterGauge(name, o.registry).Value())
	}
	return values
}

// TestUnconfirmedRunIsLogged guards against a run that the owner counts, that no list shows, and whose
// log doesn't tell why.
func TestUnconfirmedRunIsLogged(t *testing.T) {
	// lines returns the lines of 9 s.
	lines := func(reason string, order, processed int) []string {
		text := fmt.Sprintf("executor=executor-host-0 host=host-0 reason=%s order=%d processed=%d unconfirmed=1", reason, order, processed)
		return []string{"ageMillis=3025 " + text, "ageMillis=8025 " + text}
	}
	listed := func(r *messenger.Report, run messenger.RunRef, phase string) *messenger.Report {
		r.Executors[0].Runs = []messenger.RunState{{Run: run, Phase: phase}}
		return r
	}
	tests := []struct {
		name string
		// change changes a whole report that has processed all orders and lists no run; it returns nil for
		// no report.
		change func(r *messenger.Report, run messenger.RunRef) *messenger.Report
		// lagging is whether the agent doesn't follow the owner's epoch.
		lagging bool
		want    []string
	}{
		{
			name: "listed",
			change: func(r *messenger.Report, run messenger.RunRef) *messenger.Report {
				return listed(r, run, messenger.RunRunning)
			},
		},
		{
			name:   "silent host",
			change: func(*messenger.Report, messenger.RunRef) *messenger.Report { return nil },
			want:   lines("host silent", 1, 0),
		},
		{
			name: "orders that never arrive",
			change: func(r *messenger.Report, _ messenger.RunRef) *messenger.Report {
				r.Orders = 0
				return r
			},
			want: lines("orders not delivered", 1, 0),
		},
		{
			name: "incomplete list",
			change: func(r *messenger.Report, _ messenger.RunRef) *messenger.Report {
				r.Executors[0].Incomplete = true
				return r
			},
			want: lines("list incomplete", 1, 1),
		},
		{
			name: "agent that doesn't know its executor",
			change: func(r *messenger.Report, _ messenger.RunRef) *messenger.Report {
				r.Executors = nil
				return r
			},
			want: lines("executor not reported", 1, 1),
		},
		{
			name:    "agent that gets no replies",
			lagging: true,
			change:  func(r *messenger.Report, _ messenger.RunRef) *messenger.Report { return r },
			want:    lines("epoch not followed", 1, 0),
		},
		{
			name: "start without an answer",
			change: func(r *messenger.Report, run messenger.RunRef) *messenger.Report {
				return listed(r, run, messenger.RunStarting)
			},
			want: lines("start not answered", 1, 1),
		},
		{
			name: "agent that lists nothing",
			change: func(r *messenger.Report, _ messenger.RunRef) *messenger.Report {
				r.Whole, r.EndsOnly, r.Executors = false, true, nil
				return r
			},
			want: lines("order processed but not listed", 1, 1),
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			agentEpoch := 1
			if test.lagging {
				agentEpoch = 0
			}
			o := newLoggedOwner(t, agentEpoch)
			o.start("w", 1)
			run := o.orders.Starts[0].Run
			o.run(9*time.Second, func() *messenger.Report {
				r := o.newReport()
				return test.change(&r, run)
			})
			got := o.logs.lines(t, "run not confirmed", "ageMillis", "executor", "host", "reason", "order", "processed", "unconfirmed")
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Errorf("lines (-want +got):\n%s", diff)
			}
		})
	}
}

// TestHeldStartIsLogged guards against a long-running task whose start is held without an end, and whose
// log doesn't show that.
func TestHeldStartIsLogged(t *testing.T) {
	sim, logs := newLoggedSimulation(t, 3)
	sim.replaceOwner(true)
	sim.run(2 * time.Second)
	sim.submit(watchQueue, "watch", tasks(1, 1000, time.Hour, longRunning))
	sim.run(time.Second)
	sim.storeOffline = true
	sim.crash(sim.hostOf("watch"))
	sim.run(6 * time.Second)
	want := []string{"reason=start held order=0 unconfirmed=1"}
	if diff := cmp.Diff(want, logs.lines(t, "run not confirmed", "reason", "order", "unconfirmed")); diff != "" {
		t.Errorf("lines (-want +got):\n%s", diff)
	}
}

// TestUnconfirmedRunsAreBounded verifies that the lines about many runs are few, that the runs that have
// been unconfirmed for longest come first, and that the gauges count all of them and end with the owner.
func TestUnconfirmedRunsAreBounded(t *testing.T) {
	o := newLoggedOwner(t, 1)
	silent := func() *messenger.Report { return nil }
	o.start("a", 3)
	o.run(1100*time.Millisecond, silent)
	o.start("b", 6)
	o.run(7900*time.Millisecond, silent)
	line := func(age, unconfirmed int, workload string, task int) string {
		return fmt.Sprintf("ageMillis=%d unconfirmed=%d run=map[run:1 task:map[index:%d occurrence:0 step:0 workload:%s]]", age, unconfirmed, task, workload)
	}
	want := []string{
		line(3025, 3, "a", 0), line(3025, 3, "a", 1), line(3025, 3, "a", 2),
		line(8025, 9, "a", 0), line(8025, 9, "a", 1), line(8025, 9, "a", 2), line(6925, 9, "b", 0),
	}
	if diff := cmp.Diff(want, o.logs.lines(t, "run not confirmed", "ageMillis", "unconfirmed", "run")); diff != "" {
		t.Errorf("lines (-want +got):\n%s", diff)
	}
	names := []string{"runs.unconfirmed", "runs.confirmation_age_millis"}
	if diff := cmp.Diff([]int64{9, 8025}, o.gauges(names...)); diff != "" {
		t.Errorf("gauges (-want +got):\n%s", diff)
	}
	o.ClearGauges()
	if diff := cmp.Diff([]int64{0, 0}, o.gauges(names...)); diff != "" {
		t.Errorf("gauges of an owner that has stopped (-want +got):\n%s", diff)
	}
}

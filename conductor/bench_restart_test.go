package conductor_test

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"

	"apricotwinch"
	"apricotwinch/appender"
	"apricotwinch/conductor"
	"apricotwinch/messenger"
)

// Size of the fleet of BenchmarkRestart.
const (
	restartHosts = 240
	// restartServices long-running workloads have restartReplicas tasks each.
	restartServices, restartReplicas = 42, 24
	// restartBatches best-effort and urgent workloads have one step of 6 to 40 tasks and one that follows.
	restartBatches = 300
)

// restartFleet is a fleet whose entries and agents all lose power at once.
type restartFleet struct {
	now     time.Time
	journal map[string]appender.KeyedRecord
	// reports holds the whole report of each host.
	reports []messenger.Report
}

func newRestartFleet(b *testing.B) *restartFleet {
	b.Helper()
	f := &restartFleet{now: origin, journal: map[string]appender.KeyedRecord{}}
	c := conductor.New(conductor.DefaultConfig(), 1, true, hclog.NewNullLogger(), metrics.NewRegistry())
	c.SetCatalog(catalog())
	for i := range restartHosts {
		f.reports = append(f.reports, newRestartReport(i, 1))
		c.Report(f.now, f.now, f.reports[i])
	}
	f.write(c)
	submit := func(queue, id string, steps ...messenger.StepSpec) {
		if _, err := c.Submit(f.now, messenger.WorkloadRequest{Queue: queue, Id: id, Spec: &messenger.WorkloadSpec{Steps: steps}}); err != nil {
			b.Fatal(err)
		}
	}
	for i := range restartServices {
		submit(watchQueue, fmt.Sprintf("service-%03d", i), tasks(restartReplicas, 1600, time.Hour, func(s *messenger.StepSpec) {
			s.Lasting, s.TailTargetMillis, s.Image = true, 4, fmt.Sprint("serving-", i%8)
		}))
	}
	for i := range restartBatches {
		step := tasks(6+i%35, 700, time.Second)
		queue := urgentQueue
		if i%4 == 0 {
			queue, step.Fills, step.Checkpoints, step.Image = batchQueue, true, true, fmt.Sprint("batch-", i%8)
		}
		next := step
		next.After = []int{0}
		submit(queue, fmt.Sprintf("batch-%03d", i), step, next)
	}
	f.write(c)
	c.Schedule(f.now)
	f.write(c)
	byHost := map[string]int{}
	for i := range f.reports {
		byHost[f.reports[i].Host] = i
	}
	for host, orders := range c.TakeOrders() {
		r := &f.reports[byHost[host]]
		for _, start := range orders.Starts {
			r.Executors[0].Runs = append(r.Executors[0].Runs, messenger.RunState{Run: start.Run, Phase: messenger.RunRunning, Pace: 100})
		}
		r.Orders, r.Epoch = orders.Number, 1
	}
	return f
}

func newRestartReport(host, generation int) messenger.Report {
	name := fmt.Sprint("host-", host)
	return messenger.Report{
		Host: name, Address: name + ":1", Incarnation: "1", TicketMillis: 1, Whole: true,
		Executors: []messenger.ExecutorState{{Reachable: true, Executor: messenger.ExecutorRecord{
			Id: fmt.Sprint("executor-", name, "-", generation), Born: generation, Service: service, DataCentre: fmt.Sprint("dc-", host%6), Labels: []string{fmt.Sprint("r1-", host/12)},
			Capacity: messenger.FromResources(apricotwinch.NewResources(16_000, 64<<30, 0)),
		}}},
	}
}

// write makes the changes of c durable.
func (f *restartFleet) write(c *conductor.Conductor) {
	records, number := c.TakeWrites()
	for _, r := range records {
		f.journal[r.Key()] = r
	}
	c.AppendCommitted(number, records)
}

func (f *restartFleet) records() []appender.KeyedRecord {
	var records []appender.KeyedRecord
	for _, key := range slices.Sorted(maps.Keys(f.journal)) {
		records = append(records, f.journal[key])
	}
	return records
}

// BenchmarkRestart measures the steps of a takeover after all entries and agents have restarted at once, with
// the executors' runs gone on or ended, in milliseconds for all hosts together.
func BenchmarkRestart(b *testing.B) {
	for _, logs := range []string{"no log", "log"} {
		for _, gone := range []bool{false, true} {
			b.Run(fmt.Sprint(logs, ",gone=", gone), func(b *testing.B) {
				logger := hclog.NewNullLogger()
				if logs == "log" {
					logger = hclog.New(&hclog.LoggerOptions{Level: hclog.Info, Output: io.Discard, JSONFormat: true})
				}
				fleet := newRestartFleet(b)
				took := map[string]time.Duration{}
				for b.Loop() {
					benchRestart(b, fleet, logger, gone, took)
				}
				for name, d := range took {
					b.ReportMetric(float64(d.Microseconds())/1000/float64(b.N), name+"-ms")
				}
			})
		}
	}
}

func benchRestart(b *testing.B, fleet *restartFleet, logger hclog.Logger, gone bool, took map[string]time.Duration) {
	f := &restartFleet{now: origin.Add(time.Minute), journal: maps.Clone(fleet.journal)}
	records := f.records()
	measure := func(name string, do func()) {
		began := time.Now()
		do()
		took[name] += time.Since(began)
	}
	registry := metrics.NewRegistry()
	c := conductor.New(conductor.DefaultConfig(), 2, false, logger, registry)
	c.SetCatalog(catalog())
	measure("restore", func() { c.Restore(f.now, records) })
	ticket := 1
	report := func(epoch int) {
		ticket++
		for i := range fleet.reports {
			r := fleet.reports[i]
			r.Incarnation, r.TicketMillis, r.Epoch, r.Orders = "2", ticket, epoch, 0
			if gone {
				r.Executors = newRestartReport(i, 2).Executors
			}
			c.Report(f.now, f.now, r)
			f.now = f.now.Add(time.Millisecond)
			if i%4 == 3 {
				c.Schedule(f.now)
			}
		}
		c.TakeOrders()
	}
	tick := func() {
		f.now = f.now.Add(25 * time.Millisecond)
		c.Tick(f.now, f.now, f.now)
	}
	measure("firstReports", func() { report(0) })
	measure("tick", tick)
	var appended []appender.KeyedRecord
	var number int64
	measure("takeWrites", func() { appended, number = c.TakeWrites() })
	measure("committed", func() { c.AppendCommitted(number, appended) })
	measure("secondReports", func() { report(2) })
	measure("schedule", func() { c.Schedule(f.now) })
	// Hosts go on to report until the inherited leases have ended.
	for end := origin.Add(time.Minute + 8700*time.Millisecond); f.now.Before(end); {
		measure("reports", func() { report(2) })
		measure("ticks", func() {
			for range 4 {
				tick()
			}
		})
	}
	measure("schedulePass", func() { c.Schedule(f.now) })
	measure("takeWrites2", func() { appended, number = c.TakeWrites() })
	measure("committed2", func() { c.AppendCommitted(number, appended) })
	measure("scheduleHeld", func() { c.Schedule(f.now) })
	b.ReportMetric(float64(metrics.GetOrRegisterCounter("runs.ordered", registry).Count()), "ordered")
	b.ReportMetric(float64(metrics.GetOrRegisterCounter("runs.adopted", registry).Count()), "adopted")
	b.ReportMetric(float64(metrics.GetOrRegisterCounter("executors.evaluated", registry).Count()), "evaluated")
}

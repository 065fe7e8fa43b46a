package conductor_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"

	"apricotwinch"
	"apricotwinch/conductor"
	"apricotwinch/messenger"
)

// benchHost is the agent of one host with one executor.
type benchHost struct {
	report  messenger.Report
	runs    []benchRun
	ends    []messenger.RunEnd
	lastEnd int
}

type benchRun struct {
	state    messenger.RunState
	endsAt   time.Time
	duration time.Duration
}

// BenchmarkDay measures the decisions of one millisecond of a busy day: urgent and best-effort
// workloads arrive beside long-running ones, and agents report.
func BenchmarkDay(b *testing.B) {
	for _, hosts := range []int{14, 60, 240} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) { benchDay(b, hosts) })
	}
}

func benchDay(b *testing.B, hostCount int) {
	const (
		wholePeriod     = 350
		appendPeriod    = 5
		tickPeriod      = 25
		submitsPerSec   = 27.0 / 240
		urgentShare     = 0.75
		images          = 8
		warmupMillis    = 4000
		longRunningPart = 6
	)
	random := rand.New(rand.NewPCG(1, 2))
	now := origin
	registry := metrics.NewRegistry()
	c := conductor.New(conductor.DefaultConfig(), 1, true, hclog.NewNullLogger(), registry)
	c.SetCatalog(catalog())
	hosts := make([]*benchHost, hostCount)
	byName := map[string]*benchHost{}
	for i := range hosts {
		name := fmt.Sprint("host-", i)
		record := messenger.ExecutorRecord{
			Id: "executor-" + name, Born: 1, Service: service, DataCentre: fmt.Sprint("dc-", i%6), Labels: []string{fmt.Sprint("r1-", i/12)},
			Capacity: messenger.FromResources(apricotwinch.NewResources(16_000, 64<<30, 0)),
		}
		hosts[i] = &benchHost{report: messenger.Report{
			Host: name, Address: name + ":1", Incarnation: "1", Epoch: 1,
			Executors: []messenger.ExecutorState{{Executor: record, Reachable: true}},
		}}
		byName[name] = hosts[i]
	}
	durations := map[string]time.Duration{}
	submitted := 0
	submit := func(queue string, d time.Duration, steps ...messenger.StepSpec) {
		id := fmt.Sprintf("%016x", submitted)
		submitted++
		durations[id] = d
		if _, err := c.Submit(now, messenger.WorkloadRequest{Queue: queue, Id: id, Spec: &messenger.WorkloadSpec{Steps: steps}}); err != nil {
			b.Fatal(err)
		}
	}
	deliver := func() {
		for name, orders := range c.TakeOrders() {
			h := byName[name]
			h.report.Orders = orders.Number
			for _, start := range orders.Starts {
				state := messenger.RunState{Run: start.Run, Phase: messenger.RunRunning, Pace: 100, Figure: float64(start.TailTargetMillis) / 2}
				d := durations[start.Run.Task.Workload]
				h.runs = append(h.runs, benchRun{state: state, endsAt: now.Add(d), duration: d})
			}
			for _, stop := range orders.Stops {
				h.end(stop.Run, "stopped")
			}
		}
	}
	after := func(s messenger.StepSpec) messenger.StepSpec { s.After = []int{0}; return s }
	step := func(millis int) {
		if random.Float64() < submitsPerSec*float64(hostCount)/1000 {
			if random.Float64() < urgentShare {
				s := tasks(1+random.IntN(26), 660, 800*time.Millisecond)
				submit(urgentQueue, 800*time.Millisecond, s, after(s))
			} else {
				s := tasks(1+random.IntN(80), 1800, 1700*time.Millisecond, func(s *messenger.StepSpec) {
					s.Fills, s.Checkpoints, s.Image = true, true, fmt.Sprint("batch-", random.IntN(images))
				})
				submit(batchQueue, 1700*time.Millisecond, s, after(s))
			}
		}
		for i, h := range hosts {
			whole := millis%wholePeriod == i*wholePeriod/hostCount
			ended := h.endDue(now)
			if !whole && !ended {
				continue
			}
			h.sendReport(c, now, whole)
			c.Schedule(now)
			deliver()
		}
		if millis%appendPeriod == 0 {
			records, number := c.TakeWrites()
			c.AppendCommitted(number, records)
			c.Schedule(now)
		}
		if millis%tickPeriod == 0 {
			c.Tick(now, now, now)
			c.Schedule(now)
		}
		deliver()
		now = now.Add(time.Millisecond)
	}
	for range hostCount / longRunningPart {
		s := tasks(24, 3200, time.Hour, func(s *messenger.StepSpec) {
			s.Lasting, s.TailTargetMillis, s.Image = true, 4, fmt.Sprint("serving-", random.IntN(images))
		})
		submit(watchQueue, time.Hour, s)
	}
	millis := 0
	for ; millis < warmupMillis; millis++ {
		step(millis)
	}
	for b.Loop() {
		step(millis)
		millis++
	}
	b.ReportMetric(float64(metrics.GetOrRegisterCounter("executors.evaluated", registry).Count())/float64(millis)*1000, "evaluations/s")
	b.ReportMetric(float64(metrics.GetOrRegisterCounter("runs.ordered", registry).Count())/float64(millis)*1000, "starts/s")
}

// endDue ends the runs that are due and reports whether there were any.
func (h *benchHost) endDue(now time.Time) bool {
	before := len(h.runs)
	for i := len(h.runs) - 1; i >= 0; i-- {
		if r := &h.runs[i]; !r.endsAt.After(now) {
			h.end(r.state.Run, "done")
		}
	}
	return len(h.runs) < before
}

func (h *benchHost) end(ref messenger.RunRef, how string) {
	h.runs = slices.DeleteFunc(h.runs, func(r benchRun) bool { return r.state.Run == ref })
	h.lastEnd++
	h.ends = append(h.ends, messenger.RunEnd{Run: ref, How: how, Number: h.lastEnd})
}

func (h *benchHost) sendReport(c *conductor.Conductor, now time.Time, whole bool) {
	h.report.TicketMillis = int(now.Sub(origin).Milliseconds())
	h.report.Whole, h.report.EndsOnly = whole, !whole
	state := &h.report.Executors[0]
	state.Ends, state.Runs = slices.Clone(h.ends), nil
	if whole {
		for _, r := range h.runs {
			r.state.Percent = int(100 - 100*r.endsAt.Sub(now)/r.duration)
			state.Runs = append(state.Runs, r.state)
		}
	}
	reply := c.Report(now, now, h.report)
	for _, seen := range reply.Seen {
		h.ends = slices.DeleteFunc(h.ends, func(end messenger.RunEnd) bool { return end.Number <= seen.Through })
	}
}

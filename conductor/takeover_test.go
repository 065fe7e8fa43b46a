package conductor_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"

	"apricotwinch"
	"apricotwinch/appender"
	"apricotwinch/conductor"
	"apricotwinch/messenger"
)

// newSuccessor returns the conductor of the second owner of a number of hosts and of steps that wait,
// and a report of each host but the last, so that no inherited task may start yet.
func newSuccessor(t testing.TB, hosts, steps int, registry metrics.Registry) (*conductor.Conductor, []messenger.Report) {
	t.Helper()
	first := conductor.New(conductor.DefaultConfig(), 1, true, hclog.NewNullLogger(), metrics.NewRegistry())
	first.SetCatalog(catalog())
	for i := range steps {
		spec := &messenger.WorkloadSpec{Steps: []messenger.StepSpec{tasks(1, 500, time.Second)}}
		if _, err := first.Submit(origin, messenger.WorkloadRequest{Queue: batchQueue, Id: fmt.Sprintf("%016x", i), Spec: spec}); err != nil {
			t.Fatal(err)
		}
	}
	journal, number := first.TakeWrites()
	first.AppendCommitted(number, journal)
	var reports []messenger.Report
	for i := range hosts {
		name := fmt.Sprint("host-", i)
		executor := messenger.ExecutorRecord{
			Id: "executor-" + name, Born: 1, Service: service, DataCentre: "dc",
			Capacity: messenger.FromResources(apricotwinch.NewResources(16_000, 64<<30, 0)),
		}
		record, err := json.Marshal(messenger.HostRecord{Address: name + ":1", Executors: []messenger.ExecutorRecord{executor}})
		if err != nil {
			t.Fatal(err)
		}
		journal = append(journal, appender.NewKeyedRecord("h/"+name, record))
		reports = append(reports, messenger.Report{
			Host: name, Address: name + ":1", Incarnation: "1", TicketMillis: 1, Epoch: 2, Whole: true,
			Executors: []messenger.ExecutorState{{Executor: executor, Reachable: true}},
		})
	}
	second := conductor.New(conductor.DefaultConfig(), 2, true, hclog.NewNullLogger(), registry)
	second.SetCatalog(catalog())
	if errs := second.Restore(origin, journal); len(errs) > 0 {
		t.Fatal(errs)
	}
	return second, reports[:hosts-1]
}

// BenchmarkReportAfterTakeover measures one report of a host and the scheduling pass after it while
// inherited steps wait until all hosts have reported.
func BenchmarkReportAfterTakeover(b *testing.B) {
	for _, steps := range []int{60, 600} {
		b.Run(fmt.Sprint(steps), func(b *testing.B) {
			c, reports := newSuccessor(b, 240, steps, metrics.NewRegistry())
			for _, r := range reports {
				c.Report(origin, origin, r)
			}
			benchReports(b, c, reports, origin)
		})
	}
}

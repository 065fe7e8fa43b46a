package connector_test

import (
	"context"
	"fmt"
	"net"
	"testing"

	"github.com/rcrowley/go-metrics"

	"apricotwinch"
	"apricotwinch/connector"
	"apricotwinch/messenger"
)

// benchReport returns a whole report of one executor with a number of runs.
func benchReport(runs int) messenger.Report {
	state := messenger.ExecutorState{
		Executor: messenger.ExecutorRecord{
			Id: "executor-1", Born: 1_700_000_000_000, Address: "10.2.0.30:8166", Service: "service", DataCentre: "dc-1", Labels: []string{"r1-12"},
			Capacity: messenger.FromResources(apricotwinch.NewResources(16_000, 64<<30, 0)),
		},
		Reachable: true,
	}
	for i := range runs {
		ref := messenger.RunRef{Run: i + 1, Task: messenger.TaskRef{Workload: fmt.Sprintf("%016x", i), Index: i}}
		state.Runs = append(state.Runs, messenger.RunState{Run: ref, Phase: messenger.RunRunning, Pace: 100})
	}
	return messenger.Report{
		Host: "host-1", Address: "10.2.0.30:8166", Incarnation: "5f0c1a52-6a3e-4b41-8e55-2f6f4c9a1b7d", TicketMillis: 12_345, Epoch: 3, Whole: true,
		Executors: []messenger.ExecutorState{state},
	}
}

// BenchmarkReport measures the call of one whole report over loopback, at both ends together.
func BenchmarkReport(b *testing.B) {
	for _, runs := range []int{0, 1, 8, 15} {
		b.Run(fmt.Sprint(runs), func(b *testing.B) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			table := connector.Table{
				messenger.MethodReport: connector.Handle(func(_ context.Context, r messenger.Report) (messenger.ReportReply, error) {
					return messenger.ReportReply{Epoch: r.Epoch, Owner: true, Lease: true, OwnerAddress: r.Address}, nil
				}),
			}
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan struct{})
			server := connector.NewServer(table, connector.Security{}, metrics.NewRegistry(), 10)
			go func() { defer close(done); server.Serve(ctx, listener) }()
			defer func() { cancel(); <-done }()
			pool := connector.NewPool(connector.Security{}, metrics.NewRegistry())
			defer pool.Close()
			report := benchReport(runs)
			b.ReportAllocs()
			for b.Loop() {
				var reply messenger.ReportReply
				if err := pool.Call(ctx, listener.Addr().String(), messenger.MethodReport, report, &reply); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

package coordinator_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"apricotwinch/connector"
	"apricotwinch/messenger"
)

// TestRequestsBackOffFromOwner guards against an owner that can't act and is kept busy by requests: each
// was sent to it again every 25 ms.
func TestRequestsBackOffFromOwner(t *testing.T) {
	// With delays that double up to 200 ms, a request is sent 10 times until it has waited for 1.3 s.
	const requests, maxCalls = 50, 10
	d := newSizedDeployment(t, 4000, 1000)
	eventually(t, "the owner has written all that it must", d.isSettled)
	eventually(t, "the strongest entry is the owner", func() bool { return d.owner(t) == "entry-0" })
	address := d.address(t, "entry-0")
	pool := connector.NewPool(connector.Security{}, metrics.NewRegistry())
	defer pool.Close()
	// The owner has no authority while neither the store nor this peer answers.
	ping := messenger.Ping{Member: messenger.Member{Name: "silent", Address: "127.0.0.1:1", Incarnation: "silent-1"}, StoreMillis: -1}
	if err := pool.Call(t.Context(), address, messenger.MethodPing, ping, new(messenger.PingReply)); err != nil {
		t.Fatal(err)
	}
	d.store.setUnresponsive(true)
	eventually(t, "the owner has no authority", func() bool {
		var reply messenger.ReportReply
		report := messenger.Report{Host: "other", Address: "other:1", Incarnation: "other-1", Epoch: 1}
		if err := pool.Call(t.Context(), address, messenger.MethodReport, report, &reply); err != nil {
			t.Fatal(err)
		}
		return !reply.Owner
	})
	handled := metrics.GetOrRegisterCounter("connector.handled."+messenger.MethodSubmitWorkload, d.registries[0])
	before := handled.Count()
	var calls sync.WaitGroup
	for i := range requests {
		calls.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			defer cancel()
			if _, err := d.entries[1].Submit(ctx, newRequest(fmt.Sprint("w-", i))); err == nil {
				t.Errorf("request %d succeeds without an owner", i)
			}
		})
	}
	calls.Wait()
	if got := handled.Count() - before; got > requests*maxCalls {
		t.Errorf("calls at the owner: got %d for %d requests, want at most %d each", got, requests, maxCalls)
	}
}

package attendant_test

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"

	"apricotwinch/appender"
	"apricotwinch/attendant"
	"apricotwinch/connector"
	"apricotwinch/custodian"
	"apricotwinch/messenger"
	"apricotwinch/timekeeper"
)

// testTimeout bounds the wait for a condition.
const testTimeout = 20 * time.Second

// modelEntry is an entry that answers reports after a delay and keeps them.
type modelEntry struct {
	address string
	mu      sync.Mutex
	reports []messenger.Report
}

// newModelEntry returns an entry that names the owner at an address; it is the owner itself if the
// address is empty.
func newModelEntry(t *testing.T, owner string, delay time.Duration) *modelEntry {
	t.Helper()
	listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	entry := &modelEntry{address: listener.Addr().String()}
	report := func(_ context.Context, r messenger.Report) (messenger.ReportReply, error) {
		entry.mu.Lock()
		entry.reports = append(entry.reports, r)
		entry.mu.Unlock()
		time.Sleep(delay)
		if owner != "" {
			return messenger.ReportReply{Epoch: 1, OwnerAddress: owner}, nil
		}
		return messenger.ReportReply{Epoch: 1, Owner: true, OwnerAddress: entry.address, Lease: r.Whole}, nil
	}
	server := connector.NewServer(connector.Table{messenger.MethodReport: connector.Handle(report)}, connector.Security{}, metrics.NewRegistry(), 100)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { server.Serve(ctx, listener) })
	t.Cleanup(func() { cancel(); running.Wait() })
	return entry
}

// count returns the number of reports for which f is true.
func (e *modelEntry) count(f func(messenger.Report) bool) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, r := range e.reports {
		if f(r) {
			n++
		}
	}
	return n
}

func runAgent(t *testing.T, entries ...*modelEntry) {
	t.Helper()
	var members []appender.KeyedRecord
	for i, e := range entries {
		name := string(rune('a' + i))
		record, err := json.Marshal(messenger.Member{Name: name, Address: e.address})
		if err != nil {
			t.Fatal(err)
		}
		members = append(members, appender.NewKeyedRecord(name, record))
	}
	agent, err := attendant.New(attendant.Settings{Host: "host", Listen: "127.0.0.1:0"}, attendant.Dependencies{
		Executor: attendant.Executor{
			Hold: func(context.Context, custodian.HoldCall) (custodian.HoldAnswer, error) {
				return custodian.HoldAnswer{}, nil
			},
		},
		Log: appender.KeyedLog{
			Newest: func(context.Context, string) ([]appender.KeyedRecord, error) { return members, nil },
		},
		Clock: timekeeper.New(), Logger: hclog.NewNullLogger(), Registry: metrics.NewRegistry(),
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { agent.Run(ctx) })
	t.Cleanup(func() { cancel(); running.Wait() })
}

// TestLateAnswersOfOwnerCount guards against an overload that feeds itself: agents dropped the answers of
// an owner that was late, so that no lease was renewed, and asked all entries for another owner.
func TestLateAnswersOfOwnerCount(t *testing.T) {
	owner := newModelEntry(t, "", time.Second)
	other := newModelEntry(t, owner.address, 0)
	runAgent(t, owner, other)
	followsOwner := func(r messenger.Report) bool { return r.Whole && r.Epoch == 1 }
	for deadline := time.Now().Add(testTimeout); owner.count(followsOwner) < 3; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("the agent does not accept the answers of an owner that is late within %s", testTimeout)
		}
	}
	if diff := cmp.Diff(1, other.count(func(messenger.Report) bool { return true })); diff != "" {
		t.Errorf("questions for another owner (-want +got):\n%s", diff)
	}
}

package assembler_test

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/hashicorp/go-hclog"

	"apricotwinch/assembler"
	"apricotwinch/messenger"
	"apricotwinch/requester"
)

// patience bounds the wait for a condition.
const patience = 3 * time.Minute

// noisy is a deployment of one host whose service gets requests all the time.
func noisy() assembler.Deployment {
	return assembler.Deployment{
		Name: "noisy", Region: "harju", DataCentres: []string{"kopli"}, Team: "ketioli",
		Entries: 2, Workers: 1, WorkersPerRack: 1,
		Capacity: messenger.Resources{ProcessorMillis: 16_000, MemoryBytes: 1 << 30},
		Service: assembler.Service{
			Name: "portal", Urgency: "critical", TimeoutMillis: 30_000, Slots: 64, Connections: 128, LatencyMillis: 20,
			Reserved: messenger.Resources{ProcessorMillis: 4000, MemoryBytes: 1 << 20},
		},
		Requests: assembler.Requests{Label: "refill order", PerSecond: 50},
	}
}

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(patience); !condition(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%s: not within %s", what, patience)
		}
	}
}

// counter returns the sum of a counter over the entries of a.
func counter(t *testing.T, a *assembler.Assembly, name string) int {
	t.Helper()
	sum := 0
	for n := range 2 {
		response, err := http.Get(a.URL(n) + "/metrics")
		if err != nil {
			t.Fatal(err)
		}
		page, err := io.ReadAll(response.Body)
		response.Body.Close()
		if err != nil {
			t.Fatal(err)
		}
		for line := range strings.Lines(string(page)) {
			if value, ok := strings.CutPrefix(line, "apricotwinch_"+name+"_total "); ok {
				count, _ := strconv.ParseFloat(strings.TrimSpace(value), 64)
				sum += int(count)
			}
		}
	}
	return sum
}

// TestNoisyTaskIsThrottledEvictedAndResumed puts a task that slows the service
// sixteenfold, and still fourfold and more when throttled, on its host. It is
// throttled, then evicted; it resumes once, from its checkpoint,
// and completes. It would run for ever if nothing stopped it.
func TestNoisyTaskIsThrottledEvictedAndResumed(t *testing.T) {
	a, err := assembler.Start(noisy(), hclog.NewNullLogger())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(a.Stop)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	if err := a.Configure(ctx); err != nil {
		t.Fatal(err)
	}
	team := a.Team(1)
	served := make(chan struct{})
	go func() {
		defer close(served)
		for ctx.Err() == nil {
			go team.Request(ctx, "portal", []byte("order"), requester.Options{Idempotent: true})
			time.Sleep(20 * time.Millisecond)
		}
	}()
	t.Cleanup(func() { cancel(); <-served })
	eventually(t, "reports of the undisturbed service", func() bool { return counter(t, a, "interference_service_reports") >= 6 })
	submit := func(name, payload string) string {
		id, err := team.Submit(ctx, "", name, messenger.JobSpec{
			Name: name, Kind: messenger.JobBatch, Urgency: "batch", Tasks: 1, RunMillis: 1000, Payload: []byte(payload),
			Resources: messenger.Resources{ProcessorMillis: 1000, MemoryBytes: 1 << 20},
		})
		if err != nil {
			t.Fatal(err)
		}
		return id
	}
	noisyJob := submit("noisy", `{"noisePermille":15000,"untilStopped":true}`)
	var state messenger.JobState
	eventually(t, "the noisy task's completion", func() bool {
		var err error
		state, err = team.Job(ctx, "", noisyJob)
		return err == nil && state.Tasks[0].Phase == messenger.TaskCompleted
	})
	type outcome struct{ Attempt, Throttles, Evictions, Ends int }
	got := outcome{
		Attempt:   state.Tasks[0].Attempt,
		Throttles: min(1, counter(t, a, "interference_throttle")),
		Evictions: counter(t, a, "interference_evict"),
		Ends:      counter(t, a, "attempt_evicted"),
	}
	if diff := cmp.Diff(outcome{Attempt: 2, Throttles: 1, Evictions: 1, Ends: 1}, got); diff != "" {
		t.Errorf("outcome (-want +got):\n%s", diff)
	}
}

package performer_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"

	"apricotwinch/standin/performer"
)

const (
	executorID = "executor-1"
	maxLease   = 10 * time.Second
	stopTime   = 200 * time.Millisecond
	lateness   = 3 * time.Second
)

// executor is an executor under test in virtual time, with its events.
type executor struct {
	*performer.Performer
	t      *testing.T
	clock  *clockwork.FakeClock
	server *httptest.Server

	mu     sync.Mutex
	events []string
}

func newExecutor(t *testing.T) *executor {
	t.Helper()
	e := &executor{t: t, clock: clockwork.NewFakeClock()}
	config := performer.Config{MaxLease: maxLease, StopTime: stopTime, CheckpointEvery: time.Second, ClockRate: 1}
	e.Performer = performer.New(config, executorID, 1, e.clock, e.record)
	e.server = httptest.NewServer(e.Handler())
	t.Cleanup(e.server.Close)
	return e
}

func (e *executor) record(event performer.Event) {
	e.mu.Lock()
	defer e.mu.Unlock()
	text := event.Task + " " + event.Outcome
	if event.Outcome == "" {
		text = event.Task + " started"
	}
	if event.Acknowledged {
		text += " acknowledged"
	}
	e.events = append(e.events, text)
}

// takeEvents returns the events since the last call.
func (e *executor) takeEvents() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	events := e.events
	e.events = nil
	return events
}

// pass lets time pass.
func (e *executor) pass(d time.Duration) {
	e.clock.Advance(d)
	e.Advance()
}

// call makes a call and returns the status, 0 for no response.
func (e *executor) call(name string, fields map[string]any) int {
	e.t.Helper()
	body, err := json.Marshal(fields)
	if err != nil {
		e.t.Fatal(err)
	}
	request, err := http.NewRequestWithContext(e.t.Context(), http.MethodPost, e.server.URL+"/apricotwinch/"+name, bytes.NewReader(body))
	if err != nil {
		e.t.Fatal(err)
	}
	request.Header.Set("X-Target-Instance", executorID)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	response.Body.Close()
	return response.StatusCode
}

// start starts a run of a task, with a lease until deadline on the executor's clock.
func (e *executor) start(task string, d, deadline time.Duration, token int) int {
	e.t.Helper()
	return e.call("run-start", map[string]any{
		"task": task, "run": 1, "task_spec": performer.EncodeTaskSpec("", d, false, 0),
		"deadline_ms": deadline.Milliseconds(), "fencing_token": token,
	})
}

// late makes a call that gets no response and is executed after lateness.
func (e *executor) late(call func() int) {
	e.t.Helper()
	e.SetFaults(performer.Faults{LateFraction: 1, LateDelay: lateness})
	if diff := cmp.Diff(0, call()); diff != "" {
		e.t.Errorf("status of a late call (-want +got):\n%s", diff)
	}
	e.SetFaults(performer.Faults{})
}

// TestLateCommandsReachNextIncarnation guards against an executor that drops the commands which arrive after
// it has started again under its id.
func TestLateCommandsReachNextIncarnation(t *testing.T) {
	e := newExecutor(t)
	e.pass(time.Minute)
	e.late(func() int { return e.start("a", time.Hour, 2*time.Minute, 7) })
	e.late(func() int {
		return e.call("run-stop", map[string]any{"task": "b", "run": 1, "fencing_token": 7})
	})
	e.pass(lateness / 2)
	e.Crash()
	e.Restart(executorID)
	if diff := cmp.Diff(http.StatusOK, e.start("b", time.Hour, 2*time.Minute, 6)); diff != "" {
		t.Errorf("status of a start (-want +got):\n%s", diff)
	}
	e.takeEvents()
	e.pass(lateness)
	if diff := cmp.Diff([]string{"a started"}, e.takeEvents()); diff != "" {
		t.Errorf("events of a late start (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(http.StatusConflict, e.start("c", time.Hour, 2*time.Minute, 6)); diff != "" {
		t.Errorf("status of a start with a lower token than that of a late one (-want +got):\n%s", diff)
	}
	e.pass(stopTime)
	if diff := cmp.Diff([]string{"b stopped"}, e.takeEvents()); diff != "" {
		t.Errorf("events of a late stop (-want +got):\n%s", diff)
	}
	e.pass(maxLease)
	if diff := cmp.Diff([]string{"a lapsed"}, e.takeEvents()); diff != "" {
		t.Errorf("events of a lease that has expired (-want +got):\n%s", diff)
	}
}

// TestLateHoldsReachNextIncarnation guards against an executor whose holds are never late: one that reaches the
// next incarnation extends its lease, by the clock of the last one, and acknowledges its ends.
func TestLateHoldsReachNextIncarnation(t *testing.T) {
	e := newExecutor(t)
	e.pass(time.Minute)
	e.late(func() int {
		return e.call("hold", map[string]any{"deadline_ms": (2 * time.Minute).Milliseconds(), "last_seen": 5, "fencing_token": 7})
	})
	e.Crash()
	e.Restart(executorID)
	for task, d := range map[string]time.Duration{"long": time.Hour, "short": time.Second} {
		if diff := cmp.Diff(http.StatusOK, e.start(task, d, lateness+time.Second, 6)); diff != "" {
			t.Errorf("status of a start (-want +got):\n%s", diff)
		}
	}
	e.pass(time.Second)
	e.takeEvents()
	e.pass(lateness - time.Second)
	if diff := cmp.Diff([]string{"short done acknowledged"}, e.takeEvents()); diff != "" {
		t.Errorf("events of a late hold (-want +got):\n%s", diff)
	}
	e.pass(maxLease)
	if diff := cmp.Diff([]string(nil), e.takeEvents()); diff != "" {
		t.Errorf("events until the end of the lease (-want +got):\n%s", diff)
	}
	e.pass(time.Millisecond)
	if diff := cmp.Diff([]string{"long lapsed"}, e.takeEvents()); diff != "" {
		t.Errorf("events after the end of the lease (-want +got):\n%s", diff)
	}
}

// TestEndsBeforeLapseAreNotNoted guards against a checker that takes an end for noted whose acknowledgment arrives
// after the leases have lapsed: the task may have started elsewhere by then.
func TestEndsBeforeLapseAreNotNoted(t *testing.T) {
	tests := []struct {
		name string
		pass time.Duration
		want []string
	}{
		{name: "lease holds", pass: time.Second, want: []string{"a done acknowledged"}},
		{name: "lease lapsed", pass: maxLease},
		{name: "lease lapsed and renewed", pass: 2 * maxLease},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			e := newExecutor(t)
			e.start("a", time.Second, 5*time.Second, 1)
			e.pass(time.Second)
			e.takeEvents()
			e.pass(test.pass)
			if test.pass > maxLease {
				e.call("hold", map[string]any{"deadline_ms": (2 * test.pass).Milliseconds(), "fencing_token": 1})
				e.pass(time.Second)
			}
			if diff := cmp.Diff(http.StatusOK, e.call("hold", map[string]any{"last_seen": 1, "fencing_token": 1})); diff != "" {
				t.Errorf("status of a hold (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(test.want, e.takeEvents()); diff != "" {
				t.Errorf("events (-want +got):\n%s", diff)
			}
		})
	}
}

// TestLateCallsMissOtherExecutors guards against late calls that an executor with another id executes, or one
// that is down.
func TestLateCallsMissOtherExecutors(t *testing.T) {
	tests := []struct {
		name  string
		fault func(*executor)
	}{
		{name: "other id", fault: func(e *executor) { e.Restart("executor-2") }},
		{name: "down", fault: func(e *executor) {
			e.Crash()
			e.pass(lateness)
			e.Restart(executorID)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			e := newExecutor(t)
			e.late(func() int { return e.start("a", time.Hour, time.Minute, 7) })
			test.fault(e)
			e.pass(2 * lateness)
			if diff := cmp.Diff([]string(nil), e.takeEvents()); diff != "" {
				t.Errorf("events (-want +got):\n%s", diff)
			}
		})
	}
}

// TestRestartEndsRuns guards against runs without an end, which a checker takes for running, when an executor that is
// up starts again.
func TestRestartEndsRuns(t *testing.T) {
	e := newExecutor(t)
	e.start("a", time.Hour, time.Minute, 1)
	e.takeEvents()
	e.Restart(executorID)
	if diff := cmp.Diff([]string{"a lost"}, e.takeEvents()); diff != "" {
		t.Errorf("events (-want +got):\n%s", diff)
	}
}

// TestRejectedStartsDoNothing guards against an executor that starts a run though it rejects the start.
func TestRejectedStartsDoNothing(t *testing.T) {
	e := newExecutor(t)
	e.SetFaults(performer.Faults{RejectStarts: true})
	if diff := cmp.Diff(http.StatusServiceUnavailable, e.start("a", time.Hour, time.Minute, 1)); diff != "" {
		t.Errorf("status of a start (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]string(nil), e.takeEvents()); diff != "" {
		t.Errorf("events (-want +got):\n%s", diff)
	}
}

package scheduler_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"apricotwinch"
	"apricotwinch/bookkeeper"
	"apricotwinch/messenger"
	"apricotwinch/scheduler"
)

// assigned returns a scheduler that took over tasks of job that run on host-0.
func assigned(t *testing.T, tasks int) (*scheduler.Scheduler, time.Time) {
	t.Helper()
	w := newWorld(t, 1)
	w.config.StopsPerTick = 2
	w.now = w.now.Add(time.Hour)
	book := bookkeeper.New(0)
	stream := []messenger.LedgerRecord{
		{Type: messenger.RecordBegan, Epoch: 1},
		{Type: messenger.RecordSubmitted, Team: "team", Job: "job", Spec: &messenger.JobSpec{Name: "job", Kind: messenger.JobBatch, Tasks: tasks}},
	}
	for i := range tasks {
		stream = append(stream, messenger.LedgerRecord{Type: messenger.RecordAssigned, Epoch: 1, Job: "job", Task: i, Attempt: 1, Host: "host-0", Incarnation: "old"})
	}
	for i, record := range stream {
		if _, err := book.Fold(int64(i), record); err != nil {
			t.Fatal(err)
		}
	}
	return scheduler.New(w.now, w.config, w.seams(&owner{began: 1}), book, "entry", 1, true), w.now
}

// describe returns the commands among actions.
func describe(actions []scheduler.Action) []string {
	var lines []string
	for _, a := range actions {
		switch {
		case a.Stop != nil:
			lines = append(lines, fmt.Sprintf("stop %d for %s, checkpoint %t", a.Stop.Task, a.Stop.Reason, a.Stop.Checkpoint))
		case a.Throttle != nil:
			lines = append(lines, fmt.Sprintf("throttle %d to %d", a.Throttle.Task, a.Throttle.Permille))
		}
	}
	return lines
}

func task(n int) apricotwinch.AttemptID { return apricotwinch.NewAttemptID("job", n, 1) }

// TestEvictionsKeepTheirCap marks three attempts; two stops are sent in a tick,
// the third in the next and none again before its time.
func TestEvictionsKeepTheirCap(t *testing.T) {
	s, now := assigned(t, 4)
	marked := []bool{s.Evict(task(0), "interference"), s.Evict(task(2), "interference"), s.Evict(task(3), "interference"),
		s.Evict(task(3), "interference"), s.Evict(task(9), "interference")}
	if diff := cmp.Diff([]bool{true, true, true, false, false}, marked); diff != "" {
		t.Errorf("marked (-want +got):\n%s", diff)
	}
	var got [][]string
	for range 3 {
		now = now.Add(100 * time.Millisecond)
		got = append(got, describe(s.Tick(now)))
	}
	want := [][]string{
		{"stop 0 for interference, checkpoint true", "stop 2 for interference, checkpoint true"},
		{"stop 3 for interference, checkpoint true"},
		nil,
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("commands by tick (-want +got):\n%s", diff)
	}
}

// TestThrottlesAreSentUntilAnswered loses the answer to a throttle, ends the
// throttle while the next command is under way, and evicts the attempt.
func TestThrottlesAreSentUntilAnswered(t *testing.T) {
	s, now := assigned(t, 1)
	command := messenger.Throttle{Job: "job", Attempt: 1, Permille: 250}
	restored := messenger.Throttle{Job: "job", Attempt: 1, Permille: 1000}
	events := []func(){
		func() {},
		func() { s.Throttle(task(0), 250) },
		func() {},
		func() { s.ThrottleAnswered(command, errors.New("lost")) },
		func() { s.Throttle(task(0), 1000) },
		func() { s.ThrottleAnswered(command, nil) },
		func() { s.ThrottleAnswered(restored, nil) },
		func() { s.Throttle(task(0), 250); s.Evict(task(0), "interference") },
	}
	var got [][]string
	for _, event := range events {
		event()
		now = now.Add(1100 * time.Millisecond)
		got = append(got, describe(s.Tick(now)))
	}
	want := [][]string{
		nil, {"throttle 0 to 250"}, nil, {"throttle 0 to 250"}, nil, {"throttle 0 to 1000"}, nil,
		{"stop 0 for interference, checkpoint true"},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("commands by event (-want +got):\n%s", diff)
	}
	if s.Throttle(task(0), 250) || s.Throttle(task(9), 250) {
		t.Error("an attempt that stops or is not assigned was throttled")
	}
}

package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"apricotwinch/standin/performer"
)

// Sizes of the case largejob.
const (
	largeHosts = 8
	largeTasks = 6400
	// largeCPU leaves more than half of the executors' capacity free, also after one has crashed.
	largeCPU   = 8
	finishTime = 14 * time.Second // finish_s.
	watchTime  = 3 * time.Second
)

// playLargeJob has a job of many tasks with checkpoints run, and an executor crash. A small job whose second step comes
// after that must go on.
func playLargeJob(ctx context.Context, f *fleet, trouble bool) error {
	const small, large = "00000000000000aa", "00000000000000bb"
	if err := f.configure(3); err != nil {
		return err
	}
	if err := f.start(ctx, largeHosts); err != nil {
		return err
	}
	if !f.submit(ctx, large, job{
		TaskSpec: performer.EncodeTaskSpec(large, 90*time.Second, false, 0),
		Steps:    []step{{Count: largeTasks, CPU: largeCPU, MemoryMB: 5, EstimateMS: 90_000, Checkpoints: true}},
	}) {
		return errors.New("the large job was not accepted")
	}
	if err := f.awaitRunning(ctx, largeTasks); err != nil {
		return err
	}
	if !f.submit(ctx, small, job{
		TaskSpec: performer.EncodeTaskSpec(small, 15*time.Second, false, 0),
		Steps: []step{
			{Count: 2, CPU: 500, MemoryMB: 100, EstimateMS: 15_000},
			{Count: 2, CPU: 500, MemoryMB: 100, EstimateMS: 15_000, After: []int{0}},
		},
	}) {
		return errors.New("the small job was not accepted")
	}
	time.Sleep(2 * time.Second)
	if trouble {
		f.hosts[0].executor.Crash()
		f.printf("executor of %s crashed", f.hosts[0].name)
	}
	return f.watchSecondStep(ctx, small, large)
}

// awaitRunning waits until a number of tasks run, and then until they have saved their progress.
func (f *fleet) awaitRunning(ctx context.Context, tasks int) error {
	for ctx.Err() == nil {
		running := 0
		for _, h := range f.hosts {
			running += h.executor.Running()
		}
		if running >= tasks {
			f.printf("%d tasks run", running)
			time.Sleep(2 * time.Second)
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("the tasks did not all start: %w", ctx.Err())
}

// watchSecondStep waits until the first step of the small job is done and finishTime has passed, and then watches it for
// watchTime.
func (f *fleet) watchSecondStep(ctx context.Context, small, large string) error {
	for countEnds(f.eventsOf(small+".0.0."), performer.Done) < 2 {
		if ctx.Err() != nil {
			return errors.New("the first step of the small job did not end")
		}
		time.Sleep(100 * time.Millisecond)
	}
	f.printf("first step of the small job done")
	time.Sleep(finishTime + watchTime)
	starts := countEnds(f.eventsOf(small+".0.1."), "")
	for _, id := range []string{small, large} {
		status, answer := f.call(ctx, 0, http.MethodGet, id, nil)
		f.printf("GET %s: %d %s", id, status, answer)
	}
	running := 0
	for _, h := range f.hosts {
		running += h.executor.Running()
	}
	status, answer := f.call(ctx, 1, http.MethodPost, "00000000000000cc", job{
		TaskSpec: performer.EncodeTaskSpec("cc", time.Second, false, 0), Steps: []step{{Count: 1, CPU: 100, MemoryMB: 10, EstimateMS: 1000}},
	})
	f.printf("POST of another job: %d %s", status, answer)
	f.printf("%d starts of the second step of the small job; %d runs at %d executors, of %d thousandths of a core in all",
		starts, running, len(f.hosts), running*largeCPU)
	if starts == 0 {
		return fmt.Errorf("%w: LOST: the second step of job %s did not start within %s, with room for it", errBroken, small, finishTime+watchTime)
	}
	return nil
}

// countEnds counts the events with an outcome; an empty one stands for starts.
func countEnds(events []performer.Event, outcome string) int {
	n := 0
	for _, e := range events {
		if e.Outcome == outcome && !e.Acknowledged {
			n++
		}
	}
	return n
}

// Sizes of the case attempts.
const (
	maxAttempts   = 70
	extraAttempts = 3
	attemptsTime  = 95 * time.Second
)

// playAttempts has a task fail in all its runs. It may not start after max_attempts runs have failed.
func playAttempts(ctx context.Context, f *fleet, trouble bool) error {
	const id = "00000000000000dd"
	if err := f.configure(maxAttempts); err != nil {
		return err
	}
	if err := f.start(ctx, 3); err != nil {
		return err
	}
	failures := 1 << 30
	if !trouble {
		failures = 3
	}
	if !f.submit(ctx, id, job{
		TaskSpec: performer.EncodeTaskSpec(id, 200*time.Millisecond, false, failures),
		Steps:    []step{{Count: 1, CPU: 500, MemoryMB: 100, EstimateMS: 200}},
	}) {
		return errors.New("the job was not accepted")
	}
	began := time.Now()
	for ; ctx.Err() == nil && time.Since(began) < attemptsTime; time.Sleep(200 * time.Millisecond) {
		events := f.eventsOf(id)
		status, answer := f.call(ctx, 0, http.MethodGet, id, nil)
		if failed := countEnds(events, performer.Failed); failed > maxAttempts+extraAttempts {
			f.printf("GET %s: %d %s", id, status, answer)
			return fmt.Errorf("%w: BUDGET: %d runs of the task have started, and %d have failed, of %d allowed", errBroken,
				countEnds(events, ""), failed, maxAttempts)
		}
		if answer == `{"state":"failed"}` || answer == `{"state":"completed"}` {
			f.printf("GET %s: %d %s after %d runs", id, status, answer, countEnds(events, ""))
			return nil
		}
	}
	return fmt.Errorf("the job did not end: %d runs", countEnds(f.eventsOf(id), ""))
}

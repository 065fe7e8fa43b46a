package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"apricotwinch/standin/performer"
)

// Sizes of the case lastinggang.
const (
	gangTasks = 3
	gangWork  = 3 * time.Second
	// gangWait is how long a task that lasts may be without a run: 6 s after its last run the 3 s of the rule begin.
	gangWait = 10 * time.Second
)

// playLastingGang has the tasks of a job that lasts end, which work only together. They must be started again.
func playLastingGang(ctx context.Context, f *fleet, trouble bool) error {
	const id = "00000000000000ee"
	if err := f.configure(3); err != nil {
		return err
	}
	if err := f.start(ctx, 3); err != nil {
		return err
	}
	if !f.submit(ctx, id, job{
		TaskSpec: performer.EncodeTaskSpec(id, gangWork, !trouble, 0),
		Steps:    []step{{Count: gangTasks, CPU: 500, MemoryMB: 100, EstimateMS: int(gangWork.Milliseconds()), Gang: true, Perpetual: true}},
	}) {
		return errors.New("the job was not accepted")
	}
	began := time.Now()
	for time.Since(began) < 2*gangWork && countEnds(f.eventsOf(id), performer.Done) < gangTasks {
		time.Sleep(100 * time.Millisecond)
	}
	f.printf("%d starts and %d ends %q", countEnds(f.eventsOf(id), ""), countEnds(f.eventsOf(id), performer.Done), performer.Done)
	time.Sleep(gangWait)
	status, answer := f.call(ctx, 0, http.MethodGet, id, nil)
	f.printf("GET %s: %d %s", id, status, answer)
	starts, ends := countEnds(f.eventsOf(id), ""), countEnds(f.eventsOf(id), performer.Done)
	f.printf("%d starts and %d ends %q after %s more", starts, ends, performer.Done, gangWait)
	if starts == 0 {
		return errors.New("the tasks did not start")
	}
	if starts <= gangTasks && ends > 0 {
		return fmt.Errorf("%w: LOST: the tasks that last were not started again for %s, with all executors free", errBroken, gangWait)
	}
	return nil
}

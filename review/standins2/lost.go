package main

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"apricotwinch/standin/performer"
)

// Times of the case hostlost.
const (
	confirmTime = 800 * time.Millisecond
	runTime     = 500 * time.Millisecond
	entriesDown = 500 * time.Millisecond
	// darkFor is how long the executor is silent before it starts again.
	darkFor = 900 * time.Millisecond
	// awayBound is how long a task that lasts may have no run: 6 s, the 3 s of the rule, and half a second more.
	awayBound = 9500 * time.Millisecond
)

// playHostLost has an executor start again under its id. Its host is then lost for good, and all entries are killed.
func playHostLost(ctx context.Context, f *fleet, trouble bool) error {
	const id = "00000000000000fd"
	if err := f.configure(3); err != nil {
		return err
	}
	if err := f.start(ctx, 4); err != nil {
		return err
	}
	time.Sleep(25 * time.Second)
	h := f.hosts[0]
	if trouble {
		h.gate.cutAtRenewal()
		for !h.gate.isClosed() {
			time.Sleep(5 * time.Millisecond)
		}
		time.Sleep(darkFor)
		h.executor.Restart(h.executor.ID())
		h.gate.open()
		f.printf("the executor of %s has started again under its id", h.name)
	}
	time.Sleep(confirmTime)
	if !f.submit(ctx, id, job{
		TaskSpec: performer.EncodeTaskSpec(id, time.Minute, true, 0),
		Steps:    []step{{Count: 2, CPU: 500, MemoryMB: 100, EstimateMS: 1000, Perpetual: true}},
	}) {
		return errors.New("the job was not accepted")
	}
	time.Sleep(runTime)
	if len(f.eventsOf(id)) == 0 {
		return errors.New("the tasks did not start")
	}
	if !strings.HasSuffix(f.eventsOf(id)[0].Executor, h.name) {
		return fmt.Errorf("the tasks run on %s", f.eventsOf(id)[0].Executor)
	}
	lostAt := time.Now()
	f.processes[h.name].kill()
	h.executor.Crash()
	_ = h.server.Close()
	f.printf("%s is lost for good", h.name)
	for i := range f.fronts {
		f.processes[fmt.Sprint("front-", i)].kill()
	}
	time.Sleep(entriesDown)
	for i := range f.fronts {
		if err := f.processes[fmt.Sprint("front-", i)].start(); err != nil {
			return err
		}
	}
	f.printf("all entries were killed and have started again")
	for time.Since(lostAt) < 2*awayBound {
		for _, e := range f.eventsOf(id) {
			if e.Outcome == "" && e.At.After(lostAt) {
				away := e.At.Sub(lostAt)
				f.printf("%s run %d starts on %s after %s", e.Task, e.Run, e.Executor, away)
				if away > awayBound {
					return fmt.Errorf("%w: LOST: a task that lasts had no run for %s", errBroken, away)
				}
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("%w: LOST: a task that lasts had no run for %s", errBroken, 2*awayBound)
}

package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"apricotwinch/standin/performer"
)

// Times of the case reborn, from the start that gets no answer on.
const (
	rebornAfter = time.Second
	lateAfter   = 2500 * time.Millisecond
	cutFor      = 11 * time.Second
	rebornWatch = 10 * time.Second
)

// playReborn has an executor that doesn't answer a start fall behind a cut, start again under its id and carry the start
// out there. The task may not run elsewhere meanwhile.
func playReborn(ctx context.Context, f *fleet, trouble bool) error {
	const id = "00000000000000ff"
	if err := f.configure(3); err != nil {
		return err
	}
	if err := f.start(ctx, 3); err != nil {
		return err
	}
	// No call for an earlier incarnation may be under way any more, by the agents' account.
	time.Sleep(20 * time.Second)
	if trouble {
		for _, h := range f.hosts {
			h.gate.keep(id)
		}
	}
	if !f.submit(ctx, id, job{
		TaskSpec: performer.EncodeTaskSpec(id, time.Minute, false, 0),
		Steps:    []step{{Count: 1, CPU: 500, MemoryMB: 100, EstimateMS: 60_000}},
	}) {
		return errors.New("the job was not accepted")
	}
	if trouble {
		if err := f.cutReborn(ctx); err != nil {
			return err
		}
	}
	time.Sleep(rebornWatch)
	status, answer := f.call(ctx, 0, http.MethodGet, id, nil)
	f.printf("GET %s: %d %s", id, status, answer)
	return f.checkOneRun(id)
}

// cutReborn waits until a start is kept, and plays the cut of that executor.
func (f *fleet) cutReborn(ctx context.Context) error {
	h, err := f.awaitKept(ctx)
	if err != nil {
		return err
	}
	kept := h.gate.keptSince()
	h.executor.SetFaults(performer.Faults{NoHeartbeats: true})
	f.printf("the start on %s gets no answer; its executor is cut off", h.name)
	time.Sleep(time.Until(kept.Add(rebornAfter)))
	h.executor.Restart(h.executor.ID())
	f.printf("the executor of %s has started again under its id", h.name)
	time.Sleep(time.Until(kept.Add(lateAfter)))
	f.printf("it carries the start out: %d", h.gate.carryOut())
	time.Sleep(time.Until(kept.Add(cutFor)))
	h.executor.SetFaults(performer.Faults{})
	h.gate.open()
	f.printf("the cut has ended")
	return nil
}

// awaitKept waits until a start is kept on a host, and lets the starts on the others pass.
func (f *fleet) awaitKept(ctx context.Context) (*host, error) {
	for ctx.Err() == nil {
		for _, h := range f.hosts {
			if h.gate.keptSince().IsZero() {
				continue
			}
			for _, other := range f.hosts {
				if other != h {
					other.gate.open()
				}
			}
			return h, nil
		}
		time.Sleep(5 * time.Millisecond)
	}
	return nil, errors.New("no executor got the start")
}

// checkOneRun checks that no two runs of a task go on at the same time.
func (f *fleet) checkOneRun(id string) error {
	running := map[string]performer.Event{}
	var broken error
	for _, e := range f.eventsOf(id) {
		if e.Acknowledged {
			continue
		}
		f.printf("%s: %s run %d %q at %.3f s", e.Executor, e.Task, e.Run, e.Outcome, e.At.Sub(f.begun).Seconds())
		key := fmt.Sprint(e.Executor, e.StartedMillis, e.Run)
		if e.Outcome != "" {
			delete(running, key)
			continue
		}
		for _, other := range running {
			broken = fmt.Errorf("%w: TWICE: run %d on %s starts while run %d on %s goes on", errBroken, e.Run, e.Executor, other.Run, other.Executor)
		}
		running[key] = e
	}
	return broken
}

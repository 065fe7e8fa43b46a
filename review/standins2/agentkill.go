package main

import (
	"context"
	"errors"
	"net/http"
	"time"

	"apricotwinch/standin/performer"
)

// Times of the case agentkill, from the start that gets no answer on.
const (
	killFor        = 500 * time.Millisecond
	crashFor       = 2200 * time.Millisecond
	lateAfterCrash = 2300 * time.Millisecond
	firstBeat      = 3300 * time.Millisecond
)

// playAgentKill has an executor not answer a start and crash, and its agent end, too. The executor starts again under its
// id and carries the start out before its first check-in.
func playAgentKill(ctx context.Context, f *fleet, trouble bool) error {
	const id = "00000000000000fe"
	if err := f.configure(3); err != nil {
		return err
	}
	if err := f.start(ctx, 3); err != nil {
		return err
	}
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
		if err := f.crashBoth(ctx); err != nil {
			return err
		}
	}
	time.Sleep(rebornWatch)
	status, answer := f.call(ctx, 0, http.MethodGet, id, nil)
	f.printf("GET %s: %d %s", id, status, answer)
	return f.checkOneRun(id)
}

// crashBoth waits until a start is kept, and plays the crashes of that executor and of its agent.
func (f *fleet) crashBoth(ctx context.Context) error {
	h, err := f.awaitKept(ctx)
	if err != nil {
		return err
	}
	kept := h.gate.keptSince()
	h.executor.SetFaults(performer.Faults{NoHeartbeats: true})
	h.executor.Crash()
	_ = h.server.Close()
	agent := f.processes[h.name]
	agent.kill()
	f.printf("the start on %s gets no answer; its executor has crashed and its agent is killed", h.name)
	time.Sleep(time.Until(kept.Add(killFor)))
	if err := agent.start(); err != nil {
		return err
	}
	time.Sleep(time.Until(kept.Add(crashFor)))
	h.executor.Restart(h.executor.ID())
	h.gate.open()
	if _, h.server, err = f.serveAt(h.address, limitEnds(h.gate)); err != nil {
		return err
	}
	f.printf("the executor of %s has started again under its id", h.name)
	time.Sleep(time.Until(kept.Add(lateAfterCrash)))
	f.printf("it carries the start out: %d", h.gate.carryOut())
	time.Sleep(time.Until(kept.Add(firstBeat)))
	h.executor.SetFaults(performer.Faults{})
	f.printf("it checks in from here on")
	return nil
}

package conductor

import (
	"time"

	"apricotwinch/messenger"
)

// updateRun updates a run that an executor has reported, and stops it if its task must not run.
func (c *Conductor) updateRun(now time.Time, e *executor, state *messenger.RunState) {
	run := c.runs[state.Run]
	if run == nil {
		run = c.adopt(now, e, state)
		if run == nil {
			return
		}
	}
	if run.executor != e {
		return
	}
	if state.Unknown && state.Phase == messenger.RunRunning {
		orders := c.ordersFor(e.host)
		orders.Known = append(orders.Known, run.startOrder())
	}
	c.recordLateStart(now, run, state)
	run.recordWork(now, state)
	run.recordListed(now, state.Phase)
	run.phase = state.Phase
	run.updatePace(now, state)
	run.measurement = state.Figure
	run.percent = state.Percent
	if state.Checkpoint != "" {
		run.task.checkpoint = state.Checkpoint
	}
	if state.Phase == messenger.RunRunning {
		c.markStarted(run.task.step.occurrence.workload)
	}
	if state.Phase != messenger.RunStopping && (run.orphaned || run.task.done || run.task.step.occurrence.workload.terminal()) {
		run.stopping = false
		c.stopRun(now, run)
	}
}

// markStarted records that a task of the workload has started.
func (c *Conductor) markStarted(w *workload) {
	if !w.unstarted {
		return
	}
	w.unstarted = false
	if w.state == messenger.WorkloadQueued {
		w.state = messenger.WorkloadRunning
		c.markDirty(w, false)
	}
}

// adopt adds a run that an earlier owner started. It stops a run of an unknown task and returns
// nil; a run that its task doesn't need is tracked as orphaned until it has ended.
func (c *Conductor) adopt(now time.Time, e *executor, state *messenger.RunState) *run {
	w := c.workloads[state.Run.Task.Workload]
	var t *task
	if w != nil {
		t = w.task(state.Run.Task)
	}
	run := &run{ref: state.Run, task: t, executor: e, startedAt: now, background: state.Background}
	if t == nil {
		e.runsUnknown = true
		if state.Phase != messenger.RunStopping {
			c.orderStop(run)
		}
		return nil
	}
	c.placeFound(t, e)
	if held := t.current; held != nil && held.ordersNumber == heldOrders && !t.step.spec.Gang {
		c.release(now, held, "another run found")
	}
	if w.terminal() || t.done || t.current != nil {
		c.logger.Info("orphaned run", "run", state.Run, "executor", e.id, "born", e.incarnation, "state", w.state, "done", t.done)
		c.count("runs.stray")
		run.orphaned = true
		c.track(run)
		return run
	}
	c.makeCurrent(now, run)
	c.logger.Info("run adopted", "run", state.Run, "executor", e.id, "born", e.incarnation, "phase", state.Phase)
	c.count("runs.adopted")
	return run
}

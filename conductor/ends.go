package conductor

import (
	"slices"
	"time"

	"apricotwinch"
	"apricotwinch/messenger"
)

// pendingEnd is an end that was recorded but is not durable yet; write is the number of the
// append that makes it durable.
type pendingEnd struct {
	number int
	write  int64
}

// recordEnd applies the end of a run, unless it was applied before, and acknowledges it once it
// is durable.
func (c *Conductor) recordEnd(now time.Time, e *executor, end *messenger.RunEnd) {
	if end.Number <= e.lastEnd {
		return
	}
	e.lastEnd = end.Number
	c.applyEnd(now, e, end)
	e.pendingEnds = append(e.pendingEnds, pendingEnd{number: end.Number, write: c.sequence + 1})
	if len(c.dirty) == 0 && len(c.records) == 0 {
		e.pendingEnds[len(e.pendingEnds)-1].write = c.sequence
		c.acknowledge(e.host, e)
	}
}

// applyEnd updates the task and the workload of a run that has ended.
func (c *Conductor) applyEnd(now time.Time, e *executor, end *messenger.RunEnd) {
	c.count("runs.ended." + end.How)
	w := c.workloads[end.Run.Task.Workload]
	if w == nil {
		return
	}
	t := w.task(end.Run.Task)
	if t == nil {
		return
	}
	run := c.runs[end.Run]
	current := run != nil && run.executor == e
	if current {
		c.recordRepeatEnd(now, run, end)
		if end.How == messenger.EndDone {
			c.observeEnd(now, run)
			c.learnDuration(now, run)
		}
		c.release(now, run, end.How)
	}
	t.highestRun = max(t.highestRun, end.Run.Run)
	if c.logger.IsInfo() {
		c.logger.Info("run ended", "run", end.Run, "executor", e.id, "born", e.incarnation, "how", end.How, "current", current)
	}
	c.markStarted(w)
	if end.How == messenger.EndDone {
		e.failureStreak = 0
	}
	switch {
	case t.done || w.terminal():
		return
	case t.step.spec.Gang:
		c.applyGangEnd(now, t, end)
		return
	case end.How == messenger.EndDone && !t.step.spec.Lasting:
		c.finishTask(now, t)
		return
	case end.How == messenger.EndFailed && slices.Contains(t.failed, end.Run.Run):
		return
	case end.How == messenger.EndFailed:
		t.addFailedRun(end.Run.Run)
		t.failureStreak++
		t.avoid = e
		c.addFailedAttempt(now, t, e, true)
		t.notBefore = now.Add(apricotwinch.ExponentialBackoff(c.config.Backoff, c.config.MaxBackoff, t.failureStreak-1))
		c.countExecutorFailure(now, e, t)
	case end.Checkpoint != "":
		t.checkpoint = end.Checkpoint
	}
	c.markDirty(w, false)
	if end.How == messenger.EndFailed {
		c.failIfExhausted(now, t)
	}
}

// failIfExhausted ends the workload of a task that has used up its attempts, and reports whether it did;
// long-running tasks have no limit. Of a queue that isn't configured the limit isn't known, so that a task is
// looked at again before it starts.
func (c *Conductor) failIfExhausted(now time.Time, t *task) bool {
	w := t.step.occurrence.workload
	queue, ok := c.queue(w)
	if !ok || t.step.spec.Lasting || len(t.failed) < queue.MaxAttempts {
		return false
	}
	c.logger.Info("workload failed", "workload", w.id, "task", t.ref, "failed", t.failed, "limit", queue.MaxAttempts)
	c.endWorkload(now, w, messenger.WorkloadFailed)
	return true
}

// countExecutorFailure adds a failure to the streak of the executor. Failures in a row of one
// workload count once.
func (c *Conductor) countExecutorFailure(now time.Time, e *executor, t *task) {
	if now.Sub(e.failedAt) > c.config.FailureStreakTTL {
		e.failureStreak, e.streakWorkload = 0, ""
	}
	e.failedAt = now
	if id := t.ref.Workload; e.streakWorkload != id {
		e.streakWorkload = id
		e.failureStreak++
	}
}

// finishTask marks a task as done. It queues the steps that become ready, and completes the
// workload after its last task.
func (c *Conductor) finishTask(now time.Time, t *task) {
	c.stopRuns(now, t)
	t.markDone()
	c.recordDrained(t)
	w := t.step.occurrence.workload
	c.markDirty(w, false)
	if t.step.left > 0 {
		return
	}
	c.enqueue(now, t.step.occurrence)
	if t.step.occurrence.left > 0 || len(w.occurrences) < w.occurrenceCount() {
		return
	}
	for _, o := range w.occurrences {
		if o.left > 0 {
			return
		}
	}
	c.countOrderedEnd(now, w)
	c.logger.Info("workload completed", "workload", w.id, "ageMillis", now.Sub(w.acceptedAt).Milliseconds())
	c.endWorkload(now, w, messenger.WorkloadCompleted)
}

// acknowledge orders the acknowledgment of the ends of an executor that have become durable.
func (c *Conductor) acknowledge(h *host, e *executor) {
	before := e.acknowledgedEnd
	for len(e.pendingEnds) > 0 && e.pendingEnds[0].write <= c.durable {
		e.acknowledgedEnd = e.pendingEnds[0].number
		e.pendingEnds = e.pendingEnds[1:]
	}
	if e.acknowledgedEnd > before {
		orders := c.ordersFor(h)
		orders.Seen = append(orders.Seen, messenger.DurableEnds{Executor: e.id, Born: e.incarnation, Through: e.acknowledgedEnd})
	}
}

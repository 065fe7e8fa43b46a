package conductor

import (
	"slices"
	"time"

	"apricotwinch"
	"apricotwinch/messenger"
)

// pendingEnd is an end that was taken, with the write that makes it durable.
type pendingEnd struct {
	number int
	write  int64
}

// takeEnd takes the end of a run.
func (c *Conductor) takeEnd(now time.Time, e *executor, end *messenger.RunEnd) {
	if end.Number <= e.taken {
		return
	}
	e.taken = end.Number
	c.settle(now, e, end)
	e.pending = append(e.pending, pendingEnd{number: end.Number, write: c.sequence + 1})
	if len(c.dirty) == 0 && len(c.records) == 0 {
		e.pending[len(e.pending)-1].write = c.sequence
		c.acknowledge(e.host, e)
	}
}

// settle draws the consequences of an end.
func (c *Conductor) settle(now time.Time, e *executor, end *messenger.RunEnd) {
	c.count("runs.ended." + end.How)
	w := c.jobs[end.Run.Task.Workload]
	if w == nil {
		return
	}
	t := w.task(end.Run.Task)
	if t == nil {
		return
	}
	run := c.runs[end.Run]
	if run != nil {
		c.release(run)
	}
	t.highest = max(t.highest, end.Run.Run)
	if c.logger.IsInfo() {
		c.logger.Info("run ended", "run", end.Run, "executor", e.id, "how", end.How, "current", run != nil)
	}
	c.began(w)
	switch {
	case t.done || w.terminal():
		return
	case t.step.spec.Gang:
		c.settleGang(now, t, end)
		return
	case end.How == messenger.EndDone && !t.step.spec.Lasting:
		e.streak = 0
		c.finishTask(now, t)
		return
	case end.How == messenger.EndFailed && slices.Contains(t.failed, end.Run.Run):
		return
	case end.How == messenger.EndFailed:
		t.fail(end.Run.Run)
		t.streak++
		t.avoid = e
		t.notBefore = now.Add(apricotwinch.Doubled(c.config.Backoff, c.config.MaxBackoff, t.streak-1))
		c.blame(now, e, t)
	case end.Checkpoint != "":
		t.checkpoint = end.Checkpoint
	}
	c.touch(w, false)
	if end.How == messenger.EndFailed {
		c.giveUp(now, t)
	}
}

// giveUp ends the workload of a task that has used up its attempts; lasting tasks
// have no such limit.
func (c *Conductor) giveUp(now time.Time, t *task) {
	w := t.step.occurrence.work
	queue, ok := c.queue(w)
	if ok && !t.step.spec.Lasting && len(t.failed) >= queue.MaxAttempts {
		c.logger.Info("workload failed", "workload", w.id, "task", t.ref, "failed", t.failed, "limit", queue.MaxAttempts)
		c.end(now, w, messenger.WorkloadFailed)
	}
}

// blame counts a failure against the executor; several tasks of one workload
// count once.
func (c *Conductor) blame(now time.Time, e *executor, t *task) {
	if now.Sub(e.failedAt) > c.config.StreakLife {
		e.streak = 0
	}
	e.failedAt = now
	if id := t.ref.Workload; e.streakOf != id {
		e.streakOf = id
		e.streak++
	}
}

// finishTask takes that a task is done.
func (c *Conductor) finishTask(now time.Time, t *task) {
	c.stopRuns(t)
	t.finish()
	w := t.step.occurrence.work
	c.touch(w, false)
	if t.step.left > 0 {
		return
	}
	c.enqueue(now, t.step.occurrence)
	if t.step.occurrence.left > 0 || len(w.occurrences) < w.count() {
		return
	}
	for _, o := range w.occurrences {
		if o.left > 0 {
			return
		}
	}
	c.logger.Info("workload completed", "workload", w.id, "ageMillis", now.Sub(w.acceptedAt).Milliseconds())
	c.end(now, w, messenger.WorkloadCompleted)
}

// acknowledge advances the ends of an executor that are durable.
func (c *Conductor) acknowledge(h *host, e *executor) {
	before := e.seen
	for len(e.pending) > 0 && e.pending[0].write <= c.durable {
		e.seen = e.pending[0].number
		e.pending = e.pending[1:]
	}
	if e.seen > before {
		orders := c.ordersFor(h)
		orders.Seen = append(orders.Seen, messenger.EndsSeen{Executor: e.id, Born: e.born, Through: e.seen})
	}
}

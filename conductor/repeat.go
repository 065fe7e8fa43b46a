package conductor

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"apricotwinch/messenger"
)

// loss is the loss of a task's run with its executor, which nobody hears any more.
type loss struct {
	executor string
	// heardAt is when the executor was last listed to this owner; if it never was, when this owner had claimed.
	heardAt time.Time
}

// recordLoss records that the current run of a task is lost with its executor.
func (c *Conductor) recordLoss(t *task, e *executor) {
	heardAt := e.reportedAt
	if heardAt.IsZero() {
		heardAt = c.claimedAt
	}
	t.losses++
	c.setLoss(t, &loss{executor: e.id, heardAt: heardAt})
}

// setLoss sets the loss of a task's last run; nil for none.
func (c *Conductor) setLoss(t *task, l *loss) {
	t.loss = l
	if l != nil {
		c.lost = append(c.lost, t)
	}
}

// inheritedLoss returns the loss of a run that an earlier owner may have started on an executor that is gone;
// nil if there is no such executor.
func (c *Conductor) inheritedLoss(t *task) *loss {
	if !t.inherited || t.placement == nil {
		return nil
	}
	for _, id := range t.placement.executors {
		if len(c.executorsWithID(id)) == 0 {
			return &loss{executor: id, heardAt: c.claimedAt}
		}
	}
	return nil
}

// recordRepeat logs the order of a run that repeats a lost one.
func (c *Conductor) recordRepeat(now time.Time, r *run) {
	if r.repeats == nil {
		return
	}
	held := now.Sub(r.repeats.heardAt)
	c.count("runs.repeated")
	metrics.GetOrRegisterTimer("runs.repeated_after", c.registry).Update(held)
	c.logger.Info("lost run repeated", "run", r.ref, "executor", r.executor.id, "host", r.executor.host.name,
		"lost", r.repeats.executor, "unheardMillis", held.Milliseconds(), "running", r.task.step.occurrence.workload.runs)
}

// recordRepeatEnd logs the end of a run that repeats a lost one.
func (c *Conductor) recordRepeatEnd(now time.Time, r *run, end *messenger.RunEnd) {
	if r.repeats == nil {
		return
	}
	unheard := now.Sub(r.repeats.heardAt)
	metrics.GetOrRegisterTimer("runs.repeat_ended_after", c.registry).Update(unheard)
	c.logger.Info("repeat ended", "run", r.ref, "executor", r.executor.id, "how", end.How, "lost", r.repeats.executor,
		"unheardMillis", unheard.Milliseconds(), "runMillis", now.Sub(r.startedAt).Milliseconds(), "pace", r.pace)
}

package conductor

import (
	"cmp"
	"slices"
	"time"

	"apricotwinch/messenger"
)

// maxPausedMoves bounds the paused runs, the first in order, for which room elsewhere is looked for at a time.
const maxPausedMoves = 16

// takePausedRuns returns the paused runs that are to be tried now, in the order in which their steps are
// scheduled: those whose executors have changed since the last pass, or once each rescanPeriod all.
func (c *Conductor) takePausedRuns(now time.Time) (runs []*run, all bool) {
	all = now.Sub(c.pausedTriedAt) >= rescanPeriod
	if all {
		c.pausedTriedAt = now
	}
	for r := range c.paused {
		if all || c.changedExecutors[r.executor] {
			runs = append(runs, r)
		}
	}
	slices.SortFunc(runs, func(a, b *run) int {
		return cmp.Or(compareSteps(a.task.step, b.task.step), compareTasks(a.task, b.task), cmp.Compare(a.ref.Run, b.ref.Run))
	})
	return runs, all
}

// resumeBefore resumes the paused runs whose turn comes before that of a step, or all if it is nil, where
// there is room for their work.
func (p *schedulingPass) resumeBefore(s *step) {
	c := p.conductor
	for len(p.paused) > 0 && (s == nil || compareSteps(p.paused[0].task.step, s) <= 0) {
		r := p.paused[0]
		p.paused = p.paused[1:]
		switch {
		case r.stopping || r.orphaned || !r.paused:
		case p.mayResume(r):
			c.resumeRun(p.now, r)
			delete(p.outlooks, r.executor)
		case p.hasRoomElsewhere(r):
			c.count("runs.moved")
			c.logger.Info("run moved", "run", r.ref, "executor", r.executor.id, "pace", r.pace, "slowMillis", p.now.Sub(r.startedAt).Milliseconds())
			r.task.avoid = r.executor
			c.stopRun(p.now, r)
		}
	}
}

// mayResume reports whether a paused run may work: as a start there may, but for one that requests more
// processors than there are, and has no other best-effort work beside it.
func (p *schedulingPass) mayResume(r *run) bool {
	c, e, s := p.conductor, r.executor, r.task.step
	working, unused := e.bestEffort-e.bestEffortIdle, c.expectedUnused(e)
	hasRoom := float64(working+s.need.ProcessorMillis()) <= c.config.BestEffortRatio*unused || working <= 0 && unused > 0
	return hasRoom && p.harm(s, e) == ""
}

// hasRoomElsewhere reports whether a paused run, which has done no work, may start on another executor.
func (p *schedulingPass) hasRoomElsewhere(r *run) bool {
	s := r.task.step
	q, ok := p.conductor.queue(s.occurrence.workload)
	if p.pausedMoves == 0 || !ok || s.spec.Gang || q.Advised {
		return false
	}
	p.pausedMoves--
	return slices.ContainsFunc(p.pool(q.Service), func(e *executor) bool { return e != r.executor && p.admits(s, e) })
}

// resumeRun orders the agent of a paused run to resume it. Its first moments disturb others like a start.
func (c *Conductor) resumeRun(now time.Time, r *run) {
	c.unpause(r)
	r.startedAt = now
	c.orderResume(r)
	c.count("runs.resumed")
}

// unpause records that a run works.
func (c *Conductor) unpause(r *run) {
	r.paused = false
	delete(c.paused, r)
	r.setIdle(0)
}

func (c *Conductor) orderResume(r *run) {
	orders := c.ordersFor(r.executor.host)
	r.resumeNumber = orders.Number
	orders.Resumes = append(orders.Resumes, messenger.ResumeOrder{Run: r.ref, Executor: r.executor.id})
}

// updatePaused takes the word of an agent that a run works, and orders a resume again that was lost.
func (c *Conductor) updatePaused(e *executor, state *messenger.RunState, processed int) {
	r := c.runs[state.Run]
	switch {
	case r == nil || r.executor != e || state.Unknown:
	case r.paused && !state.Paused:
		c.unpause(r)
	case !r.paused && state.Paused && r.resumeNumber <= processed:
		c.orderResume(r)
	}
}

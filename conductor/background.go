package conductor

import (
	"cmp"
	"slices"
	"time"

	"apricotwinch/messenger"
)

// maxBackgroundMoves bounds the background runs, the first in order, for which room elsewhere is looked for at a
// time.
const maxBackgroundMoves = 16

// takeBackgroundRuns returns the background runs that are to be tried now, in the order in which their steps are
// scheduled: those whose executors have changed since the last pass, or once each rescanPeriod all.
func (c *Conductor) takeBackgroundRuns(now time.Time) (runs []*run, all bool) {
	all = now.Sub(c.backgroundTriedAt) >= rescanPeriod
	if all {
		c.backgroundTriedAt = now
	}
	for r := range c.background {
		if all || c.changedExecutors[r.executor] {
			runs = append(runs, r)
		}
	}
	slices.SortFunc(runs, func(a, b *run) int {
		return cmp.Or(compareSteps(a.task.step, b.task.step), compareTasks(a.task, b.task), cmp.Compare(a.ref.Run, b.ref.Run))
	})
	return runs, all
}

// promoteBefore promotes the background runs whose turn comes before that of a step, or all if it is nil, where
// there is room for their work.
func (p *schedulingPass) promoteBefore(s *step) {
	c := p.conductor
	for len(p.background) > 0 && (s == nil || compareSteps(p.background[0].task.step, s) <= 0) {
		r := p.background[0]
		p.background = p.background[1:]
		switch {
		case r.stopping || r.orphaned || !r.background:
		case p.mayPromote(r):
			c.promoteRun(p.now, r)
			delete(p.outlooks, r.executor)
		case p.hasRoomElsewhere(r):
			c.count("runs.moved")
			c.logger.Info("run moved", "run", r.ref, "executor", r.executor.id, "pace", r.pace, "slowMillis", p.now.Sub(r.startedAt).Milliseconds())
			r.task.avoid = r.executor
			c.stopRun(p.now, r)
		}
	}
}

// mayPromote reports whether a background run may work at the pace of others: as a start there may, but for one
// that requests more processors than there are, and has no other best-effort work beside it.
func (p *schedulingPass) mayPromote(r *run) bool {
	c, e, s := p.conductor, r.executor, r.task.step
	working, unused := e.bestEffort-e.bestEffortIdle, c.expectedUnused(e)
	hasRoom := float64(working+s.need.ProcessorMillis()) <= c.config.BestEffortRatio*unused || working <= 0 && unused > 0
	return hasRoom && !s.heldBack() && p.harm(s, e) == ""
}

// hasRoomElsewhere reports whether a background run, which has done little work, may start on another executor.
func (p *schedulingPass) hasRoomElsewhere(r *run) bool {
	s := r.task.step
	q, ok := p.conductor.queue(s.occurrence.workload)
	if p.backgroundMoves == 0 || !ok || s.spec.Gang || q.Advised {
		return false
	}
	p.backgroundMoves--
	return slices.ContainsFunc(p.pool(q.Service), func(e *executor) bool {
		return e != r.executor && !e.failedLast(p.now) && p.conductor.mayWork(p.now, r.task, e) && p.admits(s, e)
	})
}

// promoteRun orders the agent of a background run to promote it. Its first moments disturb others like a start.
func (c *Conductor) promoteRun(now time.Time, r *run) {
	c.leaveBackground(r)
	r.startedAt = now
	c.orderPromotion(r)
	c.count("runs.promoted")
}

// leaveBackground records that a run works at the pace of others.
func (c *Conductor) leaveBackground(r *run) {
	r.background = false
	delete(c.background, r)
	r.setIdle(0)
}

func (c *Conductor) orderPromotion(r *run) {
	orders := c.ordersFor(r.executor.host)
	r.promotionNumber = orders.Number
	orders.Promotions = append(orders.Promotions, messenger.PromotionOrder{Run: r.ref, Executor: r.executor.id})
}

// updateBackground takes the word of an agent that a run was promoted, and orders a promotion again that was lost.
func (c *Conductor) updateBackground(e *executor, state *messenger.RunState, processed int) {
	r := c.runs[state.Run]
	switch {
	case r == nil || r.executor != e || state.Unknown:
	case r.background && !state.Background:
		c.leaveBackground(r)
	case !r.background && state.Background && r.promotionNumber <= processed:
		c.orderPromotion(r)
	}
}

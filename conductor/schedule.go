package conductor

import (
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"

	"apricotwinch"
	"apricotwinch/backfiller"
)

// rescanPeriod is the time after which a blocked step is tried again on all executors.
const rescanPeriod = 500 * time.Millisecond

// schedulingPass is one pass over the waiting steps. A step that fits on no executor is blocked:
// later passes try it only on executors that have changed since the last pass, as the cost of
// a pass after each report would otherwise grow with the executors times the steps that wait.
type schedulingPass struct {
	conductor *Conductor
	now       time.Time
	// changed holds the usable executors that have changed since the last pass, and all holds
	// all usable ones, by service; all is nil until it is needed.
	changed, all map[string][]*executor
	// unreserved holds, by service and data centre, the resources that new long-running tasks may take;
	// a service is missing until its sums are needed.
	unreserved map[string]map[string]apricotwinch.Resources
	// outlooks holds what best-effort images are expected to do on executors, until a start changes
	// that.
	outlooks map[*executor]map[outlookKey]outlook
	// described holds what the planner of reservations knows of executors, until a start changes that.
	described map[*executor]backfiller.Executor
	// utilizations holds, by service, the share of its processors that are in use; a service is missing
	// until that is needed.
	utilizations map[string]float64
	// background holds the background runs that are still to be tried, in order.
	background []*run
	// backgroundMoves is for how many of these room elsewhere may still be looked for.
	backgroundMoves int
	// repeating holds the steps with tasks that repeat lost runs and that are still to be tried, in order;
	// repeatsOnly is whether only such tasks may start.
	repeating   []*step
	repeatsOnly bool
	// beyondBounds is whether a task may start beyond the bounds that only weigh it against other work.
	beyondBounds bool
	// evaluated counts the evaluations of executors.
	evaluated int64
}

// Schedule starts waiting tasks on executors that have room for them. Those of a workload that is not
// durable yet are placed, so that one append accepts the workload and lets its tasks start.
func (c *Conductor) Schedule(now time.Time) {
	c.updateReconciled()
	c.sendHeldStarts(now)
	c.checkReservations(now)
	if len(c.steps)+len(c.background) == 0 {
		clear(c.changedExecutors)
		return
	}
	c.rankSteps(now)
	background, all := c.takeBackgroundRuns(now)
	p := &schedulingPass{
		conductor:  c,
		now:        now,
		changed:    c.takeChangedExecutors(),
		unreserved: map[string]map[string]apricotwinch.Resources{},
		outlooks:   map[*executor]map[outlookKey]outlook{},
		background: background,
		repeating:  c.repeatingSteps(),
	}
	if all {
		p.backgroundMoves = maxBackgroundMoves
	}
	p.scheduleSteps()
	metrics.GetOrRegisterCounter("executors.evaluated", c.registry).Inc(p.evaluated)
}

// scheduleSteps tries the queued steps and the background runs in order. A pass may release runs, so that steps are queued
// meanwhile: these join the queue after it.
func (p *schedulingPass) scheduleSteps() {
	c := p.conductor
	steps := c.steps
	c.steps = nil
	steps = slices.DeleteFunc(steps, func(s *step) bool {
		w := s.occurrence.workload
		if w.terminal() || s.waiting == 0 {
			s.queued = false
			return true
		}
		p.repeatBefore(s)
		p.promoteBefore(s)
		p.scheduleStep(s)
		s.queued = s.waiting > 0
		return !s.queued
	})
	p.promoteBefore(nil)
	queued := c.steps
	c.steps = steps
	for _, s := range queued {
		c.insertStep(s)
	}
}

// unblockSteps has all waiting steps tried on all executors again.
func (c *Conductor) unblockSteps() {
	for _, s := range c.steps {
		s.blockedAt = time.Time{}
	}
}

// pool returns all usable executors of a service.
func (p *schedulingPass) pool(service string) []*executor { return p.pools()[service] }

// pools returns all usable executors by service.
func (p *schedulingPass) pools() map[string][]*executor {
	if p.all == nil {
		p.all = p.conductor.usableExecutors()
	}
	return p.all
}

// scheduleStep starts as many waiting tasks of a step as fit.
func (p *schedulingPass) scheduleStep(s *step) {
	c := p.conductor
	q, ok := c.queue(s.occurrence.workload)
	if !ok {
		return
	}
	blocked := !s.blockedAt.IsZero() && p.now.Sub(s.blockedAt) < rescanPeriod && !p.becameIdle(s, q.Service)
	switch {
	case q.Advised:
		if slices.ContainsFunc(s.tasks, p.mayStart) {
			p.scheduleAdvised(s, q)
		}
	case blocked && s.spec.Gang:
		if slices.ContainsFunc(p.changed[q.Service], func(e *executor) bool { return p.admits(s, e) }) {
			p.startTasks(s, q.Service, p.pool(q.Service))
		}
	case blocked:
		p.startTasks(s, q.Service, p.changed[q.Service])
	default:
		s.blockedAt = time.Time{}
		p.updateRoomy(s, p.pool(q.Service))
		if !p.startTasks(s, q.Service, p.pool(q.Service)) {
			s.blockedAt = p.now
			p.startIdle(s, q.Service, p.pool(q.Service))
			p.reserveRoom(s, q.Service, p.pool(q.Service))
		}
	}
}

// startTasks starts waiting tasks of a step on executors of a pool and reports whether none of
// them waits for room.
func (p *schedulingPass) startTasks(s *step, service string, pool []*executor) bool {
	c := p.conductor
	if s.spec.Gang {
		return p.startGang(s, pool)
	}
	var candidates []candidate
	evaluated, reserveReached, avoided := false, false, false
	for _, t := range s.tasks {
		if s.waiting == 0 {
			return true
		}
		if !p.mayStart(t) {
			continue
		}
		if c.failIfExhausted(p.now, t) {
			return true
		}
		keepsReserve := p.keepsReserve(t)
		if keepsReserve && reserveReached {
			continue
		}
		if !evaluated {
			candidates, evaluated = p.candidates(s, pool), true
		}
		at := p.cheapest(t, candidates, keepsReserve)
		switch {
		case at >= 0:
			e := candidates[at].executor
			c.startRun(p.now, t, e)
			p.recordStart(service, s, e)
			candidates = p.update(s, candidates, at)
		case keepsReserve:
			reserveReached = true
		case len(candidates) > 0:
			avoided = true // Other tasks of the step may start there.
		default:
			return false
		}
	}
	return !reserveReached && !avoided
}

// mayStart reports whether a task waits for nothing but an executor.
func (p *schedulingPass) mayStart(t *task) bool {
	if p.repeatsOnly && !t.repeatsFirst() {
		return false
	}
	return p.conductor.mayStart(p.now, t)
}

func (c *Conductor) mayStart(now time.Time, t *task) bool {
	return !t.done && t.current == nil && !now.Before(t.notBefore) && !c.awaitsExecutors(t)
}

package conductor

import (
	"slices"
	"time"
)

// rescanPeriod is the time after which a blocked step is tried again on all executors.
const rescanPeriod = 500 * time.Millisecond

// schedulingPass is one pass over the waiting steps. A step that fits on no executor is blocked:
// later passes try it only on executors that have changed since the last pass, as the cost of
// a pass after each report would otherwise grow with the executors times the steps that wait.
type schedulingPass struct {
	conductor  *Conductor
	now        time.Time
	reconciled bool
	// changed holds the usable executors that have changed since the last pass, and all holds
	// all usable ones, by service; all is nil until it is needed.
	changed, all map[string][]*executor
	// unreserved holds, by service and data centre, the processors, in thousandths, that new
	// long-running tasks may take; a service is missing until its sums are needed.
	unreserved map[string]map[string]int64
}

// Schedule starts waiting tasks on executors that have room for them.
func (c *Conductor) Schedule(now time.Time) {
	if len(c.steps) == 0 {
		clear(c.changedExecutors)
		return
	}
	c.rankSteps(now)
	p := &schedulingPass{
		conductor:  c,
		now:        now,
		reconciled: c.reconciled(),
		changed:    c.takeChangedExecutors(),
		unreserved: map[string]map[string]int64{},
	}
	c.steps = slices.DeleteFunc(c.steps, func(s *step) bool {
		w := s.occurrence.workload
		if w.terminal() || s.waiting == 0 {
			s.queued = false
			return true
		}
		if w.durableState == "" {
			return false
		}
		p.scheduleStep(s)
		s.queued = s.waiting > 0
		return !s.queued
	})
}

// takeChangedExecutors returns the usable executors that have changed since the last call, by
// service, in order of their ids.
func (c *Conductor) takeChangedExecutors() map[string][]*executor {
	changed := map[string][]*executor{}
	for e := range c.changedExecutors {
		if c.usable(e) {
			changed[e.service] = append(changed[e.service], e)
		}
	}
	for _, list := range changed {
		slices.SortFunc(list, compareExecutors)
	}
	clear(c.changedExecutors)
	return changed
}

// usable reports whether an executor may get tasks.
func (c *Conductor) usable(e *executor) bool {
	return e.host.reported && e.durable && e.reachable && !e.runsUnknown && !e.draining && !c.outOfService[e.dc]
}

// usableExecutors returns the executors that may get tasks, by service.
func (c *Conductor) usableExecutors() map[string][]*executor {
	pool := map[string][]*executor{}
	for _, e := range c.allExecutors() {
		if c.usable(e) {
			pool[e.service] = append(pool[e.service], e)
		}
	}
	return pool
}

// unblockSteps has all waiting steps tried on all executors again.
func (c *Conductor) unblockSteps() {
	for _, s := range c.steps {
		s.blockedAt = time.Time{}
	}
}

// pool returns all usable executors of a service.
func (p *schedulingPass) pool(service string) []*executor {
	if p.all == nil {
		p.all = p.conductor.usableExecutors()
	}
	return p.all[service]
}

// scheduleStep starts as many waiting tasks of a step as fit.
func (p *schedulingPass) scheduleStep(s *step) {
	c := p.conductor
	q, ok := c.queue(s.occurrence.workload)
	if !ok {
		return
	}
	blocked := !s.blockedAt.IsZero() && p.now.Sub(s.blockedAt) < rescanPeriod
	switch {
	case q.Advised:
		p.startTasks(s, q.Service, c.allowedExecutors(p.now, s, q, p.pool(q.Service)))
	case blocked && s.spec.Gang:
		if len(p.changed[q.Service]) > 0 {
			p.startTasks(s, q.Service, p.pool(q.Service))
		}
	case blocked:
		p.startTasks(s, q.Service, p.changed[q.Service])
	default:
		s.blockedAt = time.Time{}
		if !p.startTasks(s, q.Service, p.pool(q.Service)) {
			s.blockedAt = p.now
		}
	}
}

// startTasks starts waiting tasks of a step on executors of a pool and reports whether none of
// them waits for room.
func (p *schedulingPass) startTasks(s *step, service string, pool []*executor) bool {
	c := p.conductor
	if s.spec.Gang {
		return c.startGang(p.now, s, pool, p.reconciled)
	}
	reserveReached := false
	for _, t := range s.tasks {
		if s.waiting == 0 {
			return true
		}
		if t.done || t.current != nil || p.now.Before(t.notBefore) || t.inherited && !p.reconciled {
			continue
		}
		keepsReserve := t.keepsReserve()
		if keepsReserve && reserveReached {
			continue
		}
		candidates := pool
		if keepsReserve {
			candidates = p.withoutReserve(service, s.need.ProcessorMillis(), pool)
		}
		e := c.chooseExecutor(p.now, t, candidates)
		switch {
		case e != nil:
			c.startRun(p.now, t, e)
			p.recordStart(service, s, e)
		case keepsReserve:
			reserveReached = true
		default:
			return false
		}
	}
	return !reserveReached
}

// keepsReserve reports whether a task must leave the reserve of processors free. A long-running
// task that ran before may use it.
func (t *task) keepsReserve() bool {
	return t.step.spec.Lasting && !t.step.spec.Fills && t.highestRun == 0 && !t.inherited
}

// withoutReserve returns the executors of a pool in whose data centre a long-running task that
// needs some thousandths of a processor leaves the reserve free.
func (p *schedulingPass) withoutReserve(service string, need int64, pool []*executor) []*executor {
	if len(pool) == 0 {
		return nil
	}
	if p.unreserved[service] == nil {
		p.unreserved[service] = p.conductor.unreserved(p.pool(service))
	}
	return slices.DeleteFunc(slices.Clone(pool), func(e *executor) bool { return p.unreserved[service][e.dc] < need })
}

// recordStart subtracts the processors of a task that was started from those that are not
// reserved.
func (p *schedulingPass) recordStart(service string, s *step, e *executor) {
	if free := p.unreserved[service]; free != nil && !s.spec.Fills {
		free[e.dc] -= s.need.ProcessorMillis()
	}
}

// unreserved returns the processors, in thousandths, that new long-running tasks may take in
// each data centre. The rest of the free processors is reserved for other tasks, in every data
// centre, as any one may go out of service.
func (c *Conductor) unreserved(pool []*executor) map[string]int64 {
	capacity, free := map[string]int64{}, map[string]int64{}
	for _, e := range pool {
		capacity[e.dc] += e.capacity.ProcessorMillis()
		free[e.dc] += e.capacity.ProcessorMillis() - e.allocated.ProcessorMillis()
	}
	for dc := range free {
		free[dc] -= int64(c.config.UrgentReserve * float64(capacity[dc]))
	}
	return free
}

package conductor

import (
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"
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
	// unreserved holds, by service and data centre, the processors, in thousandths, that new
	// long-running tasks may take; a service is missing until its sums are needed.
	unreserved map[string]map[string]int64
	// outlooks holds what best-effort images are expected to do on executors, until a start changes
	// that.
	outlooks map[*executor]map[outlookKey]outlook
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

// outlookKey identifies an outlook on an executor. preferred is whether others are throttled first.
type outlookKey struct {
	image     string
	preferred bool
}

// outlook is what one more task of a best-effort image is expected to do on an executor.
type outlook struct {
	speed float64
	// placeable is whether it may start there: it is expected to be fast enough and to leave the
	// serving tasks enough headroom.
	placeable bool
}

// candidate is an executor that fits a step, with its cost to a task that doesn't avoid it.
type candidate struct {
	executor *executor
	cost     float64
}

// Schedule starts waiting tasks on executors that have room for them. Those of a workload that is not
// durable yet are placed, so that one append accepts the workload and lets its tasks start.
func (c *Conductor) Schedule(now time.Time) {
	c.updateReconciled()
	c.sendHeldStarts(now)
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
		unreserved: map[string]map[string]int64{},
		outlooks:   map[*executor]map[outlookKey]outlook{},
		background: background,
		repeating:  c.repeatingSteps(),
	}
	if all {
		p.backgroundMoves = maxBackgroundMoves
	}
	c.steps = slices.DeleteFunc(c.steps, func(s *step) bool {
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
	metrics.GetOrRegisterCounter("executors.evaluated", c.registry).Inc(p.evaluated)
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
func (c *Conductor) usable(e *executor) bool { return c.exclusion(e) == "" }

// exclusion returns the reason, one of exclusions, for which an executor may get no tasks; empty if it may.
func (c *Conductor) exclusion(e *executor) string {
	h := e.host
	switch {
	case !h.reported:
		return hostUnreported
	case h.withheld:
		return leasesWithheld
	case !c.mayRenew(h):
		return hostSuspended
	case h.sentOrders.undeliverable:
		return ordersUndeliverable
	case !e.durable:
		return executorNotDurable
	case !e.reachable:
		return executorUnreachable
	case e.hidesRuns:
		return executorHidesRuns
	case e.runsUnknown:
		return executorRunsUnknown
	case e.draining:
		return executorDraining
	case c.outOfService[e.dc]:
		return dataCentreOut
	}
	return ""
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
		if !p.startTasks(s, q.Service, p.pool(q.Service)) {
			s.blockedAt = p.now
			p.startIdle(s, q.Service, p.pool(q.Service))
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
	evaluated, reserveReached := false, false
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
		keepsReserve := t.keepsReserve()
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
		default:
			return false
		}
	}
	return !reserveReached
}

// mayStart reports whether a task waits for nothing but an executor.
func (p *schedulingPass) mayStart(t *task) bool {
	if p.repeatsOnly && !t.repeatsFirst() {
		return false
	}
	return !t.done && t.current == nil && !p.now.Before(t.notBefore) && !p.conductor.awaitsExecutors(t)
}

// admits reports whether a task of a step may start on an executor.
func (p *schedulingPass) admits(s *step, e *executor) bool {
	_, ok := p.evaluate(s, e)
	return ok
}

// candidates returns the executors of a pool that fit a step, with their costs. Its tasks differ
// only in the executor that each avoids, so that the costs hold for all of them.
func (p *schedulingPass) candidates(s *step, pool []*executor) []candidate {
	var candidates []candidate
	for _, e := range pool {
		if cost, ok := p.evaluate(s, e); ok {
			candidates = append(candidates, candidate{executor: e, cost: cost})
		}
	}
	return candidates
}

// update evaluates the candidate at an index anew after a start on it. A start changes no other
// executor.
func (p *schedulingPass) update(s *step, candidates []candidate, at int) []candidate {
	cost, ok := p.evaluate(s, candidates[at].executor)
	if !ok {
		return slices.Delete(candidates, at, at+1)
	}
	candidates[at].cost = cost
	return candidates
}

// evaluate returns the cost of an executor to a task of a step that doesn't avoid it, and whether
// the task may start there.
func (p *schedulingPass) evaluate(s *step, e *executor) (cost float64, ok bool) {
	p.evaluated++
	if p.beyondBounds {
		return p.evaluateIdle(s, e)
	}
	if p.refusal(s, e) != "" {
		return 0, false
	}
	switch {
	case s.spec.Fills && p.repeatsOnly:
		return p.repeatCost(s, e), true
	case s.spec.Fills:
		return p.conductor.stepCost(p.now, s, e, p.outlook(s.spec.Image, e).speed), true
	}
	return p.conductor.stepCost(p.now, s, e, 0), true
}

// refusal returns the reason, one of refusals, for which a task of a step may not start on an executor;
// empty if it may.
func (p *schedulingPass) refusal(s *step, e *executor) string {
	c := p.conductor
	if reason := c.misfit(s, e); reason != "" || !s.spec.Fills {
		return reason
	}
	return p.harm(s, e)
}

// harm returns the reason, one of refusals, for which a best-effort task of a step may not begin to work beside
// the other tasks of an executor; empty if it may.
func (p *schedulingPass) harm(s *step, e *executor) string {
	switch {
	case e.overTarget(p.now):
		return waitTailLatency
	case p.now.Sub(s.readyAt) < p.conductor.config.MaxPlacementWait && !p.outlook(s.spec.Image, e).placeable:
		return waitOutlook
	}
	return ""
}

// outlook returns what one more task of a best-effort image is expected to do on an executor. One that repeats
// a lost run may start in spite of the headroom that others take, as they are throttled first.
func (p *schedulingPass) outlook(image string, e *executor) outlook {
	key := outlookKey{image: image, preferred: p.repeatsOnly}
	if o, ok := p.outlooks[e][key]; ok {
		return o
	}
	c := p.conductor
	var o outlook
	if p.repeatsOnly {
		o.speed = c.preferredSpeed(image, e)
		o.placeable = o.speed >= c.config.MinSpeed
	} else {
		o = outlook{speed: c.expectedSpeed(image, e), placeable: c.suitable(p.now, image, e)}
	}
	if p.outlooks[e] == nil {
		p.outlooks[e] = map[outlookKey]outlook{}
	}
	p.outlooks[e][key] = o
	return o
}

// cheapest returns the index of the candidate of lowest cost to a task, or -1 if there is none.
// keepsReserve leaves out those in whose data centre the task would take of the reserve.
func (p *schedulingPass) cheapest(t *task, candidates []candidate, keepsReserve bool) int {
	best, bestCost := -1, 0.0
	for i, n := range candidates {
		if keepsReserve && p.unreservedIn(n.executor) < t.step.need.ProcessorMillis() {
			continue
		}
		cost := n.cost + p.conductor.avoidanceCost(p.now, t, n.executor)
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

// keepsReserve reports whether a task must leave the reserve of processors free. A long-running
// task that ran before may use it.
func (t *task) keepsReserve() bool {
	return t.step.spec.Lasting && !t.step.spec.Fills && t.highestRun == 0 && !t.inherited
}

// unreservedIn returns the processors, in thousandths, that new long-running tasks may take
// in the data centre of an executor.
func (p *schedulingPass) unreservedIn(e *executor) int64 {
	if p.unreserved[e.service] == nil {
		p.unreserved[e.service] = p.conductor.unreserved(p.pool(e.service))
	}
	return p.unreserved[e.service][e.dc]
}

// recordStart records what a task that was started changes on its executor: the processors that
// are not reserved, and the outlook of best-effort tasks.
func (p *schedulingPass) recordStart(service string, s *step, e *executor) {
	delete(p.outlooks, e)
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

package conductor

import (
	"slices"
	"time"

	"apricotwinch/preemptor"
)

// Parameters of long-running runs that give way to urgent work.
const (
	// urgentWait is how long a step of short urgent work waits for room until long-running runs give the reserve back. Room
	// that other such work gives back is found within that.
	urgentWait = 300 * time.Millisecond
	// shortageMemory is the time after such a wait in which long-running tasks leave the reserve free that would take
	// it again.
	shortageMemory = 5 * time.Second
	// maxUrgentSteps bounds the waiting steps of urgent work that are looked at at one look, the first ones in order.
	maxUrgentSteps = 16
)

// urgentShort reports whether short urgent work of a service has lately waited for room that long-running runs hold.
func (c *Conductor) urgentShort(now time.Time, service string) bool {
	at, ok := c.preemption.urgentShortAt[service]
	return ok && now.Sub(at) < shortageMemory
}

// awaitsUrgentRoom reports whether a step is short urgent work that has waited for room for too long.
func (s *step) awaitsUrgentRoom(now time.Time) bool {
	return s.short() && !s.spec.Gang && s.waiting > 0 && !s.blockedAt.IsZero() && s.wait != nil && now.Sub(s.wait.since) >= urgentWait &&
		!s.occurrence.workload.terminal()
}

// returnReserve has long-running runs give way to short urgent work that waits for room, as far as they hold
// the reserve.
func (p *schedulingPass) returnReserve() {
	c := p.conductor
	served, looked := map[string]bool{}, 0
	for _, s := range c.steps {
		if !s.awaitsUrgentRoom(p.now) {
			continue
		}
		if looked++; looked > maxUrgentSteps {
			return
		}
		q, ok := c.queue(s.occurrence.workload)
		if !ok || served[q.Service] {
			continue
		}
		pool := p.pool(q.Service)
		if slices.ContainsFunc(pool, func(e *executor) bool { return c.fits(s, e) }) {
			continue // It waits for something else.
		}
		if !c.takesReserve(p.now, pool) {
			continue
		}
		c.preemption.urgentShortAt[q.Service] = p.now
		for range max(1, len(pool)/executorsPerPreemption) {
			served[q.Service] = p.makeUrgentRoom(s, pool) || served[q.Service]
		}
	}
}

// makeUrgentRoom has long-running runs on an executor of a pool give way to a step of urgent work, in a data centre where
// they hold a part of the reserve. It reports whether some do.
func (p *schedulingPass) makeUrgentRoom(s *step, pool []*executor) bool {
	c := p.conductor
	at := slices.IndexFunc(s.tasks, p.mayStart)
	if at < 0 {
		return false
	}
	t := s.tasks[at]
	excess := c.reserveTaken(p.now, pool)
	mayStop := func(r *run) bool {
		return excess[r.executor.dc] > 0 && r.task.step.occurrence.workload.priority >= s.occurrence.workload.priority
	}
	executors := p.searchedExecutors(pool, func(e *executor) bool { return c.mayUse(p.now, s, e) && c.avoidanceCost(p.now, t, e) == 0 })
	victims, _, ok := p.chooseRuns(preemptor.Request{Need: s.need}, executors, mayStop, (*executor).freeAfterStops)
	if !ok {
		return false
	}
	for _, r := range victims {
		c.preemptRun(p.now, r, preemptedForUrgent, t, 0)
	}
	return true
}

// takesReserve reports whether long-running runs hold a part of the reserve in any data centre of a pool.
func (c *Conductor) takesReserve(now time.Time, pool []*executor) bool {
	for _, taken := range c.reserveTaken(now, pool) {
		if taken > 0 {
			return true
		}
	}
	return false
}

// reserveTaken returns, by data centre of a pool, how much of the reserve long-running runs hold that aren't being stopped,
// in thousandths of a processor; negative if they hold none.
func (c *Conductor) reserveTaken(now time.Time, pool []*executor) map[string]int64 {
	taken := map[string]int64{}
	if len(pool) == 0 {
		return taken
	}
	for dc, u := range usageByDataCentre(pool) {
		kept := c.reserveOf(now, site{service: pool[0].service, dc: dc}, u)
		taken[dc] = kept.Sub(u.capacity).ProcessorMillis()
	}
	for _, e := range pool {
		for _, r := range e.runs {
			if spec := r.task.step.spec; spec.Lasting && !spec.Fills && !r.stopping {
				taken[e.dc] += r.task.step.need.ProcessorMillis()
			}
		}
	}
	return taken
}

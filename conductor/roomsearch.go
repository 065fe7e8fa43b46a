package conductor

import (
	"slices"
	"time"

	"apricotwinch"
	"apricotwinch/backfiller"
	"apricotwinch/monitor"
)

// Parameters of the search for room to reserve.
const (
	// searchPeriod is the time in which there are at most maxSearches searches for large tasks, and between two
	// looks at the runs beside a reservation on an executor that doesn't change. smallSearchPeriod is that of
	// searches for other tasks, of which many may wait, and the least one between two searches for a step.
	searchPeriod      = 100 * time.Millisecond
	smallSearchPeriod = time.Second
	maxSearches       = 4
	// maxSearchedExecutors bounds the executors that a search looks at, so that its cost doesn't grow with the
	// fleet; searches take turns.
	maxSearchedExecutors = 128
	// stopAllowance is how long a run that is stopped is expected to need until it has ended.
	stopAllowance = 500 * time.Millisecond
	// minOverrun is the least time that a run which has outlasted its expected duration is expected to go on.
	minOverrun = 100 * time.Millisecond
)

// roomSearch bounds the searches for room to reserve.
type roomSearch struct {
	// large counts the searches for large tasks, and small those for others.
	large, small searchQuota
	// from is where the next search begins in a pool.
	from int
}

// searchQuota counts the searches since a time.
type searchQuota struct {
	since time.Time
	used  int
}

// left reports whether there may be another search in a period.
func (q *searchQuota) left(now time.Time, period time.Duration) bool {
	if now.Sub(q.since) >= period {
		q.since, q.used = now, 0
	}
	return q.used < maxSearches
}

// executors returns the executors of a pool that the next search looks at.
func (r *roomSearch) executors(pool []*executor) []*executor {
	if len(pool) <= maxSearchedExecutors {
		return pool
	}
	first := r.from % len(pool)
	end := first + maxSearchedExecutors
	return slices.Concat(pool[first:min(end, len(pool))], pool[:max(0, end-len(pool))])
}

// searchQuota returns the quota of the searches for a step, and the period that it is for.
func (c *Conductor) searchQuota(s *step, executors []*executor) (*searchQuota, time.Duration) {
	if slices.ContainsFunc(executors, func(e *executor) bool { return c.backfill.planner.Large(s.need, e.capacity) }) {
		return &c.backfill.search.large, searchPeriod
	}
	return &c.backfill.search.small, smallSearchPeriod
}

// reserveRoom reserves room for a step of which a task may start, but fits on no executor of a pool.
func (p *schedulingPass) reserveRoom(s *step, service string, pool []*executor) {
	c := p.conductor
	if s.spec.Fills || s.spec.Gang || s.waiting == 0 || s.reservation != nil || p.now.Before(s.searchAfter) ||
		!c.config.Features.Enabled(apricotwinch.FeatureBackfill) {
		return
	}
	at := slices.IndexFunc(s.tasks, p.mayStart)
	total := len(p.pool(service))
	replaced := c.replaceable(s, total)
	if at < 0 || c.backfill.planner.Full(total) && replaced == nil {
		return
	}
	searched := c.backfill.search.executors(pool)
	quota, period := c.searchQuota(s, searched)
	if !quota.left(p.now, period) {
		return
	}
	candidates := slices.DeleteFunc(slices.Clone(searched), func(e *executor) bool { return !p.mayReserve(s.tasks[at], e) })
	if len(candidates) == 0 {
		return
	}
	quota.used++
	c.backfill.search.from += len(searched)
	p.evaluated += int64(len(candidates))
	q := backfiller.Request{Step: stepName(s), Need: s.need, ServiceExecutors: total, Waited: p.now.Sub(s.readyAt), Lapses: s.lapses}
	if replaced != nil {
		q.Replaces = replaced.Step
	}
	made, e, ok := p.findRoom(s, q, candidates)
	if !ok {
		s.searchAfter = p.now.Add(smallSearchPeriod)
		return
	}
	if replaced != nil {
		c.lapse(p.now, replaced, lapseReplaced)
	}
	p.hold(&reservation{Reservation: made, step: s, executor: e, checkedAt: p.now}, s.tasks[at])
}

// findRoom reserves room for a step on one of some executors, in its rack if one there will have room.
func (p *schedulingPass) findRoom(s *step, q backfiller.Request, executors []*executor) (made backfiller.Reservation, e *executor, ok bool) {
	var inRack []backfiller.Executor
	for _, e := range executors {
		d := p.describe(e)
		if t, ok := s.advice.tickets[e.id]; ok {
			d.Until = t.expiresAt.Add(-ticketMargin)
		}
		q.Candidates = append(q.Candidates, d)
		if s.spec.Rack != "" && s.spec.Rack == e.rack {
			inRack = append(inRack, d)
		}
	}
	preferred := q
	preferred.Candidates = inRack
	planner := p.conductor.backfill.planner
	if made, ok = planner.Reserve(p.now, preferred); !ok {
		made, ok = planner.Reserve(p.now, q)
	}
	if !ok {
		return made, nil, false
	}
	at := slices.IndexFunc(q.Candidates, func(d backfiller.Executor) bool { return d.Name == made.Executor })
	return made, executors[at], true
}

// mayReserve reports whether room for a task may be reserved on an executor: it is healthy, the task may start
// there but for room, and what other long-running tasks leave unreserved in the data centre is enough.
func (p *schedulingPass) mayReserve(t *task, e *executor) bool {
	c, s := p.conductor, t.step
	fixed := apricotwinch.NewResources(e.longRunning, 0, 0)
	switch {
	case e.reservation != nil || !s.need.Add(fixed).Fits(e.capacity):
		return false
	case p.keepsReserve(t) && !p.leavesReserve(s, e):
		return false
	case !c.mayUse(p.now, s, e) || c.avoidanceCost(p.now, t, e) > 0 || c.monitor.Verdict(p.now, e.id) != monitor.Healthy:
		return false
	}
	return !c.isFailing(p.now, e)
}

// describe returns what the planner needs to know of an executor. A pass keeps it until a start there.
func (p *schedulingPass) describe(e *executor) backfiller.Executor {
	if d, ok := p.described[e]; ok {
		return d
	}
	if p.described == nil {
		p.described = map[*executor]backfiller.Executor{}
	}
	p.described[e] = p.conductor.describeExecutor(p.now, e)
	return p.described[e]
}

// describeExecutor returns what the planner needs to know of an executor.
func (c *Conductor) describeExecutor(now time.Time, e *executor) backfiller.Executor {
	d := backfiller.Executor{Name: e.host.name + "/" + e.id, Capacity: e.capacity, Allocated: e.allocated, Runs: make([]backfiller.Run, 0, len(e.runs))}
	for _, r := range e.runs {
		need, s := r.task.step.need, r.task.step
		if s.spec.Fills {
			need = need.WithoutProcessors()
		}
		d.Runs = append(d.Runs, backfiller.Run{Need: need, End: c.expectedEnd(now, r), Duration: c.taskDuration(s, typicalQuantile)})
	}
	return d
}

// expectedEnd returns when a run is expected to end; zero if that isn't known. One that has outlasted its expected
// duration is expected to go on for half as long as it has.
func (c *Conductor) expectedEnd(now time.Time, r *run) time.Time {
	s := r.task.step
	switch {
	case r.stopping:
		return now.Add(stopAllowance)
	case s.spec.Lasting, s.spec.Fills && (r.background || r.pace < fullPace):
		return time.Time{}
	}
	for _, quantile := range []float64{typicalQuantile, lateQuantile} {
		if end := r.startedAt.Add(c.taskDuration(s, quantile)); end.After(now) {
			return end
		}
	}
	return now.Add(max(minOverrun, now.Sub(r.startedAt)/2))
}

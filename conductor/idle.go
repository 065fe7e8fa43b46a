package conductor

import (
	"slices"
	"time"

	"apricotwinch"
	"apricotwinch/messenger"
)

// maxStartWait is how long a start that was ordered is waited for until its executor shows the run.
const maxStartWait = time.Second

// Weights in the cost of an executor to a task that starts beyond the bounds of its step.
const (
	// costHarm is the cost of each unit of headroom that serving tasks are expected to lack once the task
	// has started.
	costHarm = 20
	// maxCrowding bounds the cost of best-effort tasks that share too few processors.
	maxCrowding = 5
)

// recordReleased records that a run of a workload has ended for a reason. A run that failed, or that no executor has
// shown, doesn't make the workload less idle.
func (w *workload) recordReleased(now time.Time, r *run, reason string) {
	w.runs--
	if r.confirmedAt.IsZero() {
		return
	}
	if r.repeats == nil {
		w.confirmed--
	}
	if reason != messenger.EndFailed {
		w.idleSince = now
	}
}

// idleFor returns how long no executor has shown a run of the workload of a step since the step's turn has come; 0 if
// one does. Repeats of lost runs don't count: these may have ended unheard, so that a repeat does nothing new.
func (s *step) idleFor(now time.Time) time.Duration {
	w := s.occurrence.workload
	if w.confirmed > 0 {
		return 0
	}
	return now.Sub(later(s.readyAt, w.idleSince))
}

// awaitsStart reports whether a run of a workload may still be about to start.
func (w *workload) awaitsStart(now time.Time) bool {
	return w.runs > w.confirmed && now.Sub(w.lastStartAt) < maxStartWait
}

// holdsStart reports whether a start of a workload is held for a record.
func (c *Conductor) holdsStart(w *workload) bool {
	return slices.ContainsFunc(c.heldStarts, func(s heldStart) bool {
		return s.run.task.step.occurrence.workload == w && c.runs[s.run.ref] == s.run
	})
}

// mayStartIdle reports whether a task of a step may start beyond the bounds that only weigh it against other
// work: its workload has been idle for too long, or since a run was lost that the task repeats, and most of the
// service is free.
func (p *schedulingPass) mayStartIdle(s *step, service string) bool {
	if !s.spec.Fills && !s.spec.Lasting {
		return false // Nothing but room and its constraints hold it.
	}
	config := p.conductor.config
	w := s.occurrence.workload
	idle := s.idleFor(p.now) >= config.MaxIdle && !w.awaitsStart(p.now) && !p.conductor.holdsStart(w) || p.repeatsOnly && w.runs == 0
	return idle && p.utilizationOf(service) < config.MaxIdleUtilization
}

// becameIdle reports whether a task of a blocked step may start beyond the bounds, and might not when the step was last tried.
func (p *schedulingPass) becameIdle(s *step, service string) bool {
	w := s.occurrence.workload
	dueAt := p.now.Add(p.conductor.config.MaxIdle - s.idleFor(p.now))
	if w.runs > w.confirmed {
		dueAt = later(dueAt, w.lastStartAt.Add(maxStartWait))
	}
	return s.blockedAt.Before(dueAt) && p.mayStartIdle(s, service)
}

// startIdle starts one task of a step whose workload has been idle for too long, or its gang, on the
// executor of a pool where that harms least. A best-effort task works in the background, at the
// least pace, until there is room for its work, so that it takes little of what comes first. The first one that
// repeats a lost run comes first itself.
func (p *schedulingPass) startIdle(s *step, service string, pool []*executor) {
	if !p.mayStartIdle(s, service) {
		return
	}
	c := p.conductor
	idle, runs := s.idleFor(p.now), s.occurrence.workload.runs
	p.beyondBounds, s.startsInBackground = true, s.spec.Fills && (!p.repeatsOnly || runs > 0)
	defer func() { p.beyondBounds, s.startsInBackground = false, false }()
	if s.spec.Gang {
		p.startGang(s, pool)
	} else if t := p.idleTask(s); t != nil {
		candidates := p.candidates(s, pool)
		if at := p.cheapest(t, candidates, false); at >= 0 {
			c.startRun(p.now, t, candidates[at].executor)
			p.recordStart(service, s, candidates[at].executor)
		}
	}
	if w := s.occurrence.workload; w.runs > runs {
		c.count("workloads.idle_started")
		c.logger.Info("idle workload started", "workload", w.id, "step", s.number, "idleMillis", idle.Milliseconds(), "unconfirmed", runs)
	}
}

// idleTask returns the task of a step that starts first beyond the bounds, one that has lost no run if there is
// one; nil if none may start.
func (p *schedulingPass) idleTask(s *step) *task {
	var lost *task
	for _, t := range s.tasks {
		switch {
		case !p.mayStart(t):
		case t.loss == nil && p.conductor.inheritedLoss(t) == nil:
			return t
		case lost == nil:
			lost = t
		}
	}
	return lost
}

// admitsIdle reports whether a task of a step may start on an executor beyond the bounds: a best-effort task
// needs nothing but memory and accelerators.
func (p *schedulingPass) admitsIdle(s *step, e *executor) bool {
	if !s.spec.Fills {
		return p.conductor.fits(s, e)
	}
	return s.allows(e) && e.allocated.Add(s.need.WithoutProcessors()).Fits(e.capacity)
}

// evaluateIdle is evaluate for a task that starts beyond the bounds.
func (p *schedulingPass) evaluateIdle(s *step, e *executor) (cost float64, ok bool) {
	c := p.conductor
	if !p.admitsIdle(s, e) {
		return 0, false
	}
	if !s.spec.Fills {
		return c.stepCost(p.now, s, e, 0), true
	}
	lacking := max(0, c.config.MinStartHeadroom-c.startHeadroom(p.now, s.spec.Image, e))
	cost = min(p.crowding(s, e), maxCrowding) + costHarm*lacking - speedWeight*p.outlook(s.spec.Image, e).speed + c.faultCost(p.now, s, e)
	if e.failedLast(p.now) {
		cost += costFailing // The workload has waited already, and the executor may fail this one, too.
	}
	return cost, true
}

// utilizationOf returns the share of a service's processors, 0 to 1, that other tasks than best-effort ones
// take, or that of its memory that all tasks take if that is larger. It counts the executors that may get no
// tasks, too, and the capacity of those that are given up as their leases have expired: they may be cut off.
func (p *schedulingPass) utilizationOf(service string) float64 {
	if u, ok := p.utilizations[service]; ok {
		return u
	}
	var allocated, capacity apricotwinch.Resources
	for _, e := range p.conductor.allExecutors() {
		if e.service == service {
			allocated, capacity = allocated.Add(e.allocated), capacity.Add(e.capacity)
		}
	}
	for _, h := range p.conductor.hosts {
		for _, e := range h.lost {
			if e.service == service {
				capacity = capacity.Add(e.capacity)
			}
		}
	}
	u := max(
		float64(allocated.ProcessorMillis())/float64(max(1, capacity.ProcessorMillis())),
		float64(allocated.MemoryBytes())/float64(max(1, capacity.MemoryBytes())),
	)
	if p.utilizations == nil {
		p.utilizations = map[string]float64{}
	}
	p.utilizations[service] = u
	return u
}

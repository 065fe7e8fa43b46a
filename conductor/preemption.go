package conductor

import (
	"cmp"
	"slices"
	"time"

	"apricotwinch"
	"apricotwinch/messenger"
	"apricotwinch/preemptor"
)

// Parameters of long-running runs that give way to long-running work that has less than its share.
const (
	// preemptionPeriod is the time between two looks for work that others give way to.
	preemptionPeriod = 250 * time.Millisecond
	// shareWait is how long a long-running task waits for room until others give way. Room that comes free by
	// itself is found within that, and users wait 3 s.
	shareWait = 2 * time.Second
	// fairShare is the share of its tasks below which a workload has others give way: users take it for passed over
	// if it is served less than half as often as others.
	fairShare = 0.5
	// minPreemptedAge is how long a run goes on at least until it gives way to other long-running work, so
	// that its start isn't lost.
	minPreemptedAge = 5 * time.Second
	// returnWait is how long there is room for two of a task that gave way until it may use the reserve. Users take it
	// for lost after 3 s of that. Looks that find less end that time only if none finds room for as long: the owner's view is
	// older than that of users, and room is taken for moments.
	returnWait = 1500 * time.Millisecond
	// maxAway is how long a long-running task that ran before has no run until two looks in a row that find room for two of it
	// are enough. Users don't take it for lost before.
	maxAway = 6 * time.Second
	// heldRoomTTL is how long room is held for the task for which a run was stopped: for the stop, the report of
	// it and the start.
	heldRoomTTL = 3 * time.Second
	// executorsPerPreemption is the number of executors of a service for each task for which others give way at one
	// look, at least one task.
	executorsPerPreemption = 16
	// maxClaims bounds the steps for which room is looked for at one look. Beyond that, steps take turns.
	maxClaims = 16
	// maxPreemptionLines bounds the lines about runs that give way in a linePeriod.
	maxPreemptionLines = 8
)

// Reasons for which a run is preempted, as logged and counted.
const (
	preemptedForShare  = "share"
	preemptedForUrgent = "urgent"
)

// preemption is the state of the preemption of long-running runs.
type preemption struct {
	checkedAt time.Time
	// from is where the next look begins in a pool, and claim where it begins among more than maxClaims steps.
	from, claim int
	lines       lineBudget
	// urgentShortAt is when short urgent work last waited for room for too long, by service.
	urgentShortAt map[string]time.Time
}

// heldRoom is room on an executor that others gave up for a task of a step.
type heldRoom struct {
	step  *step
	until time.Time
}

// holdsRoomFor reports whether room on an executor is held for a step.
func (e *executor) holdsRoomFor(now time.Time, s *step) bool {
	return e.held.step == s && s.waiting > 0 && now.Before(e.held.until)
}

// leavesHeldRoom reports whether a task of a step leaves the room that is held on an executor for another one. Short
// urgent work need not, as it gives the room back soon.
func (e *executor) leavesHeldRoom(now time.Time, s *step) bool {
	held := e.held.step
	if held == nil || held == s || !e.holdsRoomFor(now, held) || s.short() && s.occurrence.workload.priority <= held.occurrence.workload.priority {
		return true
	}
	need := s.need
	if s.spec.Fills {
		need = need.WithoutProcessors()
	}
	return e.allocated.Add(need).Add(held.need).Fits(e.capacity)
}

// preempt stops long-running runs for work that has waited for too long for the room that they hold.
func (c *Conductor) preempt(now time.Time) {
	if now.Sub(c.preemption.checkedAt) < preemptionPeriod {
		return
	}
	c.preemption.checkedAt = now
	p := c.newPass(now)
	p.returnReserve()
	p.shareRoom()
}

// claim is a long-running step that has less than its share.
type claim struct {
	step  *step
	task  *task
	share float64
}

// shareRoom has runs give way to long-running steps that have waited with less than their share, those with the
// least one first.
func (p *schedulingPass) shareRoom() {
	c := p.conductor
	claims := c.claims(p.now)
	if len(claims) > maxClaims {
		first := c.preemption.claim % len(claims)
		c.preemption.claim += maxClaims
		claims = slices.Concat(claims[first:], claims[:first])[:maxClaims]
	}
	served := map[string]int{}
	for _, claim := range claims {
		q, ok := c.queue(claim.step.occurrence.workload)
		if !ok {
			continue
		}
		pool := p.pool(q.Service)
		if served[q.Service] >= max(1, len(pool)/executorsPerPreemption) {
			continue
		}
		if p.makeRoom(claim, pool) {
			served[q.Service]++
		}
	}
}

// claims returns the steps for which others are to give way, those with the least share first.
func (c *Conductor) claims(now time.Time) []claim {
	var claims []claim
	for _, s := range c.steps {
		if !s.spec.Lasting || s.spec.Fills || s.spec.Gang || s.waiting == 0 || s.blockedAt.IsZero() || s.occurrence.workload.terminal() {
			continue
		}
		level := serviceLevelOf(s.occurrence.workload)
		share := level.share()
		if share >= fairShare || c.holdsRoom(now, s) {
			continue
		}
		at := slices.IndexFunc(s.tasks, func(t *task) bool { return t.wait != nil && now.Sub(t.wait.since) >= shareWait && c.mayStart(now, t) })
		if at >= 0 {
			claims = append(claims, claim{step: s, task: s.tasks[at], share: share})
		}
	}
	slices.SortStableFunc(claims, func(a, b claim) int {
		return cmp.Or(cmp.Compare(a.share, b.share), a.task.wait.since.Compare(b.task.wait.since))
	})
	return claims
}

// holdsRoom reports whether room is held for a step on any executor.
func (c *Conductor) holdsRoom(now time.Time, s *step) bool {
	return s.heldOn != nil && s.heldOn.holdsRoomFor(now, s)
}

// makeRoom has runs on an executor of a pool give way to a claim, and holds the room for it. It reports whether some do.
func (p *schedulingPass) makeRoom(claim claim, pool []*executor) bool {
	c, s := p.conductor, claim.step
	w := s.occurrence.workload
	level := serviceLevelOf(w)
	request := preemptor.Request{Need: s.need, LeastShare: float64(level.running+1) / float64(level.tasks)}
	mayStop := func(r *run) bool {
		return r.task.step.occurrence.workload != w && r.task.step.occurrence.workload.priority >= w.priority && p.now.Sub(r.startedAt) >= minPreemptedAge
	}
	executors := p.searchedExecutors(pool, func(e *executor) bool {
		return c.mayUse(p.now, s, e) && c.avoidanceCost(p.now, claim.task, e) == 0 && e.leavesHeldRoom(p.now, s)
	})
	victims, choice, ok := p.chooseRuns(request, executors, mayStop, func(e *executor) apricotwinch.Resources {
		return p.availableTo(claim.task, e)
	})
	if !ok {
		return false
	}
	e := executors[choice.Executor]
	e.held, s.heldOn = heldRoom{step: s, until: p.now.Add(heldRoomTTL)}, e
	for _, r := range victims {
		c.preemptRun(p.now, r, preemptedForShare, claim.task, claim.share)
	}
	return true
}

// searchedExecutors returns the executors of a pool that are looked at, of those that meet a condition. Looks take turns
// in a large pool.
func (p *schedulingPass) searchedExecutors(pool []*executor, meets func(*executor) bool) []*executor {
	at := &p.conductor.preemption.from
	if len(pool) > maxSearchedExecutors {
		first := *at % len(pool)
		*at += maxSearchedExecutors
		pool = slices.Concat(pool[first:], pool[:first])[:maxSearchedExecutors]
	}
	var executors []*executor
	for _, e := range pool {
		if meets(e) {
			executors = append(executors, e)
		}
	}
	return executors
}

// chooseRuns returns the runs on some executors that give way to a task. ok is false if none may, or the task has room.
func (p *schedulingPass) chooseRuns(
	request preemptor.Request, executors []*executor, mayStop func(*run) bool, free func(*executor) apricotwinch.Resources,
) (victims []*run, choice preemptor.Choice, ok bool) {
	workloads := map[string]preemptor.Workload{}
	described := make([]preemptor.Executor, 0, len(executors))
	runs := make([][]*run, len(executors))
	for i, e := range executors {
		d := preemptor.Executor{Free: free(e)}
		for _, r := range e.runsByKey() {
			if !r.mayGiveWay() || !mayStop(r) {
				continue
			}
			w := r.task.step.occurrence.workload
			if _, known := workloads[w.id]; !known {
				level := serviceLevelOf(w)
				workloads[w.id] = preemptor.Workload{Tasks: level.tasks, Running: level.running, MaxStops: w.maxStops(level)}
			}
			d.Runs = append(d.Runs, preemptor.Run{Workload: w.id, Need: r.task.step.need})
			runs[i] = append(runs[i], r)
		}
		described = append(described, d)
	}
	choice, ok = preemptor.Choose(request, workloads, described)
	for _, at := range choice.Runs {
		victims = append(victims, runs[choice.Executor][at])
	}
	return victims, choice, ok
}

// mayGiveWay reports whether a run is one of those that may be stopped for other work.
func (r *run) mayGiveWay() bool {
	spec := r.task.step.spec
	return spec.Lasting && !spec.Fills && !spec.Gang && r.task.current == r && !r.stopping && !r.orphaned && r.phase == messenger.RunRunning
}

// maxStops returns how many runs of a long-running workload may be stopped now, by the number of its tasks that it
// allows to be out of work.
func (w *workload) maxStops(l serviceLevel) int {
	most := l.running
	for i := range w.spec.Steps {
		if missing := w.spec.Steps[i].MaxMissing; missing > 0 {
			most = min(most, missing-(l.tasks-l.working))
		}
	}
	return max(0, most)
}

// freeAfterStops returns what is free on an executor once the runs that were ordered to stop have ended.
func (e *executor) freeAfterStops() apricotwinch.Resources {
	free := e.free()
	for _, r := range e.runs {
		if r.stopping && !r.task.step.spec.Fills {
			free = free.Add(r.task.step.need)
		}
	}
	return free
}

// availableTo returns what is free on an executor for a long-running task. One that must leave the reserve free may take no
// more than what is left beside it; it may take the room of others even where the reserve isn't whole.
func (p *schedulingPass) availableTo(t *task, e *executor) apricotwinch.Resources {
	free := e.freeAfterStops()
	if !p.keepsReserve(t) {
		return free
	}
	unreserved := max(0, p.unreservedIn(e.service)[e.dc].ProcessorMillis())
	return apricotwinch.NewResources(min(free.ProcessorMillis(), unreserved), free.MemoryBytes(), free.Accelerators())
}

// preemptRun stops a run for a task of a workload that has a share of its tasks running. The task of the run waits for
// room outside the reserve.
func (c *Conductor) preemptRun(now time.Time, r *run, reason string, claimant *task, share float64) {
	r.task.preempted = true
	c.count("runs.preempted." + reason)
	if omitted, ok := c.preemption.lines.take(now, maxPreemptionLines); ok {
		level := serviceLevelOf(r.task.step.occurrence.workload)
		c.logger.Info("run preempted", "run", r.ref, "executor", r.executor.id, "host", r.executor.host.name, "reason", reason, "for", claimant.ref,
			"need", claimant.step.need.String(), "share", share, "tasks", level.tasks, "running", level.running,
			"runMillis", now.Sub(r.startedAt).Milliseconds(), "reportAgeMillis", now.Sub(r.executor.reportedAt).Milliseconds(), "omitted", omitted)
	}
	c.stopRun(now, r)
}

// updateRoomy updates since when the executors of a pool have had room for two tasks of a step.
func (p *schedulingPass) updateRoomy(s *step, pool []*executor) {
	if !s.spec.Lasting || s.spec.Fills {
		return
	}
	if !slices.ContainsFunc(s.tasks, func(t *task) bool { return t.current == nil && t.ranBefore() }) {
		s.roomySince, s.roomyAt, s.roomy = time.Time{}, time.Time{}, false
		return
	}
	room := 0
	for _, e := range pool {
		if !p.admits(s, e) {
			continue
		}
		room++
		if e.allocated.Add(s.need).Add(s.need).Fits(e.capacity) {
			room++
		}
	}
	s.roomy = room >= 2
	if p.now.Sub(s.roomyAt) > returnWait {
		s.roomySince = p.now
	}
	if s.roomy {
		s.roomyAt = p.now
	}
}

// isRoomy reports whether there is room for two of a long-running task, and has been for a while.
func (p *schedulingPass) isRoomy(t *task) bool {
	wait := returnWait
	if t.wait != nil && p.now.Sub(t.wait.since) >= maxAway {
		wait = rescanPeriod
	}
	return t.step.roomy && p.now.Sub(t.step.roomySince) >= wait
}

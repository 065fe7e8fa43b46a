package conductor

import (
	"cmp"
	"slices"
)

// maxPreferredRepeats bounds the lost runs of a task that go before other work when they are repeated: the task
// itself may be what ends its executors.
const maxPreferredRepeats = 3

// repeatsFirst reports whether the next run of a task goes before new work, as it repeats a lost run.
func (t *task) repeatsFirst() bool { return t.loss != nil && t.losses <= maxPreferredRepeats }

// preferred reports whether other best-effort runs are throttled before this one: the rest of its workload
// has waited for a lost run, and waits on for this one.
func (r *run) preferred() bool {
	return r.repeats != nil && r.task.step.spec.Fills && r.task.losses <= maxPreferredRepeats
}

// findInheritedLosses finds the waiting tasks whose runs of earlier owners are lost.
func (c *Conductor) findInheritedLosses() {
	if c.inheritedLossesKnown {
		return
	}
	c.inheritedLossesKnown = true
	for _, s := range c.steps {
		for _, t := range s.tasks {
			if t.done || t.current != nil || t.loss != nil {
				continue
			}
			c.setLoss(t, c.inheritedLoss(t))
		}
	}
}

// repeatingSteps returns the steps that wait with a task that repeats a lost run, in the order in which steps
// are scheduled.
func (c *Conductor) repeatingSteps() []*step {
	c.findInheritedLosses()
	c.lost = slices.DeleteFunc(c.lost, func(t *task) bool { return t.done || !t.repeatsFirst() || !t.step.queued })
	slices.SortFunc(c.lost, func(a, b *task) int { return cmp.Or(compareSteps(a.step, b.step), compareTasks(a, b)) })
	c.lost = slices.Compact(c.lost)
	var steps []*step
	for _, t := range c.lost {
		if len(steps) == 0 || steps[len(steps)-1] != t.step {
			steps = append(steps, t.step)
		}
	}
	return steps
}

// repeatBefore starts the tasks that repeat lost runs and are of the class and priority of a step, or come
// before it.
func (p *schedulingPass) repeatBefore(s *step) {
	p.repeatsOnly = true
	defer func() { p.repeatsOnly = false }()
	for len(p.repeating) > 0 && compareClasses(p.repeating[0], s) <= 0 {
		repeating := p.repeating[0]
		p.repeating = p.repeating[1:]
		if repeating.waiting > 0 && !repeating.occurrence.workload.terminal() {
			p.scheduleStep(repeating)
		}
	}
}

// repeatCost returns the cost of an executor to a best-effort task that repeats a lost run: it goes where it is
// expected to run fastest, and of such executors where it disturbs least.
func (p *schedulingPass) repeatCost(s *step, e *executor) float64 {
	c := p.conductor
	lacking := max(0, c.config.MinStartHeadroom-c.startHeadroom(p.now, s.spec.Image, e))
	return p.crowding(s, e) + lacking - speedWeight*p.outlook(s.spec.Image, e).speed + c.faultCost(p.now, s, e)
}

// crowding returns the part of the processors left unused by others that the best-effort tasks of an executor
// request, with one more of a step.
func (p *schedulingPass) crowding(s *step, e *executor) float64 {
	return float64(e.bestEffort-e.bestEffortIdle+s.need.ProcessorMillis()) / max(1, p.conductor.expectedUnused(e))
}

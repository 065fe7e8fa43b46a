package conductor

import "slices"

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
	reason := c.misfit(s, e)
	switch {
	case reason != "":
		return reason
	case !p.repeatsOnly && !c.respectsReservation(p.now, s, e), !e.leavesHeldRoom(p.now, s):
		return waitReservation
	case s.spec.Fills:
		return p.harm(s, e)
	}
	return ""
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
// keepsReserve leaves out those in whose data centre the task would take of the reserve. Within its bounds, a best-effort
// task starts only where it may be expected to work.
func (p *schedulingPass) cheapest(t *task, candidates []candidate, keepsReserve bool) int {
	best, bestCost := -1, 0.0
	for i, n := range candidates {
		if keepsReserve && !p.leavesReserve(t.step, n.executor) {
			continue
		}
		if t.step.spec.Fills && !p.beyondBounds && !p.conductor.mayWork(p.now, t, n.executor) {
			continue
		}
		cost := n.cost + p.conductor.avoidanceCost(p.now, t, n.executor)
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

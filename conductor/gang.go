package conductor

import (
	"slices"
	"time"

	"apricotwinch/messenger"
)

// startGang starts all tasks of a step under one run number, or none of them. It reports whether
// the step does not wait for room.
func (p *schedulingPass) startGang(s *step, pool []*executor) bool {
	c := p.conductor
	if slices.ContainsFunc(s.tasks, func(t *task) bool {
		return t.current != nil || p.now.Before(t.notBefore) || c.awaitsExecutors(t)
	}) {
		return true
	}
	if c.failIfExhausted(p.now, s.tasks[0]) {
		return true
	}
	chosen := p.chooseGang(s, pool)
	if chosen == nil {
		return false
	}
	number := 0
	for _, t := range s.tasks {
		number = max(number, c.nextRun(t))
	}
	checkpoint := s.sharedCheckpoint()
	write := int64(0)
	for i, t := range s.tasks {
		write = max(write, c.place(t, chosen[i]))
	}
	for i, t := range s.tasks {
		t.highestRun = number - 1
		t.inherited = false
		t.checkpoint = checkpoint
		c.startPlaced(p.now, t, chosen[i], write)
		p.recordStart(chosen[i].service, s, chosen[i])
	}
	return true
}

// chooseGang returns an executor for each task of a step, taking the resources of the other
// tasks into account; nil when they don't all fit.
func (p *schedulingPass) chooseGang(s *step, pool []*executor) []*executor {
	for _, rack := range racksOf(s, pool) {
		candidates := p.candidates(s, rack)
		chosen := make([]*executor, 0, len(s.tasks))
		for _, t := range s.tasks {
			at := p.cheapest(t, candidates, false)
			if at < 0 {
				break
			}
			e := candidates[at].executor
			e.allocate(s, 1)
			chosen = append(chosen, e)
			if s.full(e, chosen) {
				candidates = slices.Delete(candidates, at, at+1)
			} else {
				candidates = p.update(s, candidates, at)
			}
		}
		for _, e := range chosen {
			e.allocate(s, -1)
		}
		if len(chosen) == len(s.tasks) {
			return chosen
		}
	}
	return nil
}

// full reports whether an executor may get no more tasks of a step than it has, with those that are chosen to
// go there.
func (s *step) full(e *executor, chosen []*executor) bool {
	if s.spec.MaxPerExecutor <= 0 {
		return false
	}
	n := e.countTasks(s)
	for _, other := range chosen {
		if other == e {
			n++
		}
	}
	return n >= s.spec.MaxPerExecutor
}

// racksOf returns the sets of executors to try in turn: each rack alone for a step that is slow
// across racks, then the whole pool.
func racksOf(s *step, pool []*executor) [][]*executor {
	if !s.spec.SameRack {
		return [][]*executor{pool}
	}
	byRack := map[string][]*executor{}
	var racks []string
	for _, e := range pool {
		if byRack[e.rack] == nil {
			racks = append(racks, e.rack)
		}
		byRack[e.rack] = append(byRack[e.rack], e)
	}
	slices.Sort(racks)
	var pools [][]*executor
	for _, rack := range racks {
		pools = append(pools, byRack[rack])
	}
	return append(pools, pool)
}

// sharedCheckpoint returns the checkpoint from which all tasks of a gang resume, or "".
func (s *step) sharedCheckpoint() string {
	for _, t := range s.tasks {
		if t.checkpoint != "" {
			return t.checkpoint
		}
	}
	return ""
}

// applyGangEnd updates a gang after the run of one task has ended. If the task is done, all of
// them are; any other end stops the runs of all of them.
func (c *Conductor) applyGangEnd(now time.Time, t *task, end *messenger.RunEnd) {
	s := t.step
	if end.How == messenger.EndDone {
		for _, member := range s.tasks {
			c.finishTask(now, member)
		}
		return
	}
	for _, member := range s.tasks {
		if end.Checkpoint != "" {
			member.checkpoint = end.Checkpoint
		}
		member.notBefore = now.Add(c.config.Backoff)
		if member.current != nil {
			c.stopRun(now, member.current)
		}
	}
	first := s.tasks[0]
	if end.How != messenger.EndFailed || slices.Contains(first.failed, end.Run.Run) {
		c.markDirty(s.occurrence.workload, false)
		return
	}
	first.addFailedRun(end.Run.Run)
	c.markDirty(s.occurrence.workload, false)
	c.failIfExhausted(now, first)
}

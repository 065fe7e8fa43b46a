package conductor

import (
	"slices"
	"time"

	"apricotwinch/messenger"
)

// startGang starts all tasks of a step under one run number, or none.
func (c *Conductor) startGang(now time.Time, s *step, pool []*executor, settled bool) {
	if slices.ContainsFunc(s.tasks, func(t *task) bool {
		return t.current != nil || now.Before(t.notBefore) || t.inherited && !settled
	}) {
		return
	}
	chosen := c.chooseGang(now, s, pool)
	if chosen == nil {
		return
	}
	number := 0
	for _, t := range s.tasks {
		number = max(number, t.next())
	}
	checkpoint := s.checkpoint()
	for i, t := range s.tasks {
		t.highest = number - 1
		t.inherited = false
		t.checkpoint = checkpoint
		c.start(now, t, chosen[i])
	}
}

// chooseGang returns an executor for each task of a step, with the need of the
// others counted; nil when they don't all fit.
func (c *Conductor) chooseGang(now time.Time, s *step, pool []*executor) []*executor {
	for _, racked := range racksOf(s, pool) {
		chosen := make([]*executor, 0, len(s.tasks))
		for _, t := range s.tasks {
			e := c.choose(now, t, racked)
			if e == nil {
				break
			}
			e.commit(s, 1)
			chosen = append(chosen, e)
		}
		for _, e := range chosen {
			e.commit(s, -1)
		}
		if len(chosen) == len(s.tasks) {
			return chosen
		}
	}
	return nil
}

// racksOf returns the pools to try in turn: each rack alone for a step that is slow
// on several, then all.
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

// checkpoint returns the checkpoint that all tasks of a gang resume from.
func (s *step) checkpoint() string {
	for _, t := range s.tasks {
		if t.checkpoint != "" {
			return t.checkpoint
		}
	}
	return ""
}

// settleGang draws the consequences of the end of one member: done stands for all
// of them, and any other end ends the run of all.
func (c *Conductor) settleGang(now time.Time, t *task, end *messenger.RunEnd) {
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
			c.stop(member.current)
		}
	}
	first := s.tasks[0]
	if end.How != messenger.EndFailed || slices.Contains(first.failed, end.Run.Run) {
		c.touch(s.occurrence.work, false)
		return
	}
	first.fail(end.Run.Run)
	c.touch(s.occurrence.work, false)
	c.giveUp(now, first)
}

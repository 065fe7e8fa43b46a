package conductor

import (
	"time"

	"apricotwinch"
)

const (
	// shareMemory is the time in which the work of callers loses most of its weight in their shares. Bursts of
	// large workloads last for 4 to 7 s.
	shareMemory = 5 * time.Second
	// callersWeight is the weight of a group of callers. The configuration of queues has none.
	callersWeight = 1
)

// callersOf returns the group of callers of a workload: those of a queue in one data centre. All workloads whose data
// centre isn't known form one of their own.
func callersOf(w *workload) string { return w.queue + "\x00" + w.dataCentre }

// countRun counts a run that is tracked, for sign 1, or released, for sign -1, among those that hold room for its
// callers and among the best-effort runs of its workload. Long-running tasks don't count for callers: they hold room for as
// long as users need them, so that their callers would always be over their share.
func (c *Conductor) countRun(r *run, sign int) {
	s := r.task.step
	w := s.occurrence.workload
	if s.spec.Fills {
		w.bestEffortRuns += sign
		if w.bestEffortRuns > 0 {
			c.ordering.running[w] = true
		} else {
			delete(c.ordering.running, w)
		}
	}
	if s.spec.Lasting {
		return
	}
	held := c.ordering.held[r.executor.service]
	if held == nil {
		held = map[string]apricotwinch.Resources{}
		c.ordering.held[r.executor.service] = held
	}
	if sign > 0 {
		held[w.callers] = held[w.callers].Add(s.need)
	} else {
		held[w.callers] = held[w.callers].Sub(s.need)
	}
	if held[w.callers] == (apricotwinch.Resources{}) {
		delete(held, w.callers)
	}
}

// observeShares updates the shares of the groups of callers by what their runs hold.
func (c *Conductor) observeShares(now time.Time) {
	capacity := map[string]apricotwinch.Resources{}
	for _, e := range c.allExecutors() {
		capacity[e.service] = capacity[e.service].Add(e.capacity)
	}
	for service, room := range c.ordering.rooms {
		room.shares.Observe(now, c.ordering.held[service], capacity[service])
	}
}

package conductor

import "slices"

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

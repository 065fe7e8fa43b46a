package conductor

import (
	"slices"
	"time"
)

const (
	// maxSetbacks bounds the executors that a task remembers for its setbacks.
	maxSetbacks = 32
	// failureMemory is how long a task that had a setback stays away from executors that have done nothing since they failed
	// one. It is as long as the longest verdict that an executor is stalled.
	failureMemory = 32 * time.Second
)

// setback is an executor that refused to start a task or, if failed is set, on which a run of it failed, and when.
type setback struct {
	executor *executor
	failed   bool
	at       time.Time
}

// addSetback records that an executor has refused a task or that a run of it has failed there. All of those lately
// count: with the last one alone, the task would go back and forth between two.
func (c *Conductor) addSetback(now time.Time, t *task, e *executor, failed bool) {
	t.setbacks = slices.DeleteFunc(t.setbacks, func(s setback) bool {
		return s.executor == e || now.Sub(s.at) > c.config.FailureStreakTTL
	})
	t.setbacks = append(t.setbacks, setback{executor: e, failed: failed, at: now})
	if len(t.setbacks) > maxSetbacks {
		t.setbacks = t.setbacks[1:]
	}
}

// lastSetback returns the last setback of a task on an executor; ok is false if it had none lately.
func (c *Conductor) lastSetback(now time.Time, t *task, e *executor) (s setback, ok bool) {
	at := slices.IndexFunc(t.setbacks, func(s setback) bool {
		return s.executor == e && now.Sub(s.at) <= c.config.FailureStreakTTL
	})
	if at < 0 {
		return setback{}, false
	}
	return t.setbacks[at], true
}

// refuseGang stops the runs of a gang of which an executor has refused a member, as the others would wait for it
// in vain. None of its members goes to that executor next.
func (c *Conductor) refuseGang(now time.Time, s *step, e *executor) {
	for _, member := range s.tasks {
		c.addSetback(now, member, e, false)
		member.notBefore = now.Add(c.config.Backoff)
		c.stopRuns(now, member)
	}
}

// avoidanceCost returns the cost of an executor to a task that leaves it, failed there or was refused.
func (c *Conductor) avoidanceCost(now time.Time, t *task, e *executor) float64 {
	last, ok := c.lastSetback(now, t, e)
	switch {
	case ok && !last.failed:
		return costRefused
	case ok, t.avoid == e:
		return costAvoided
	}
	return 0
}

// failedLast reports whether what an executor did last was to refuse a task or to fail one, unless that was long ago.
func (e *executor) failedLast(now time.Time) bool {
	return e.failureStreak > 0 && now.Sub(e.failedAt) < failureMemory
}

// isFailing reports whether an executor has failed several workloads in a row lately.
func (c *Conductor) isFailing(now time.Time, e *executor) bool {
	return e.failureStreak >= c.config.FailureStreak && now.Sub(e.failedAt) < c.config.FailureStreakTTL
}

// startsUnanswered reports whether an executor has left a start unanswered for too long.
func (e *executor) startsUnanswered(now time.Time) bool {
	return !e.unansweredSince.IsZero() && now.Sub(e.unansweredSince) >= maxStartWait
}

// mayWork reports whether a best-effort task may be expected to work on an executor, as far as its setbacks and those of
// others tell. An executor on which nothing runs for long is often the only one within the bounds on best-effort work. If
// such a task kept trying it, it would never wait for room elsewhere, nor start there once its workload has been idle.
func (c *Conductor) mayWork(now time.Time, t *task, e *executor) bool {
	if c.isFailing(now, e) || e.startsUnanswered(now) {
		return false
	}
	if _, ok := c.lastSetback(now, t, e); ok {
		return false
	}
	return len(t.setbacks) == 0 || !e.failedLast(now)
}

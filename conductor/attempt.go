package conductor

import (
	"slices"
	"time"
)

const (
	// maxFailedAttempts bounds the executors that a task remembers for its failed attempts.
	maxFailedAttempts = 32
	// failureMemory is how long a task with a failed attempt stays away from executors that have done nothing since they failed
	// one.
	failureMemory = 32 * time.Second
)

// failedAttempt is an executor that refused to start a task or, if failed is set, on which a run of it failed, and when.
type failedAttempt struct {
	executor *executor
	failed   bool
	at       time.Time
}

// addFailedAttempt records that an executor has refused a task or that a run of it has failed there. All of those lately
// count: with the last one alone, the task would go back and forth between two.
func (c *Conductor) addFailedAttempt(now time.Time, t *task, e *executor, failed bool) {
	t.failedAttempts = slices.DeleteFunc(t.failedAttempts, func(s failedAttempt) bool {
		return s.executor == e || now.Sub(s.at) > c.config.FailureStreakTTL
	})
	t.failedAttempts = append(t.failedAttempts, failedAttempt{executor: e, failed: failed, at: now})
	if len(t.failedAttempts) > maxFailedAttempts {
		t.failedAttempts = t.failedAttempts[1:]
	}
}

// lastFailedAttempt returns the last failed attempt of a task on an executor; ok is false if it had none lately.
func (c *Conductor) lastFailedAttempt(now time.Time, t *task, e *executor) (s failedAttempt, ok bool) {
	at := slices.IndexFunc(t.failedAttempts, func(s failedAttempt) bool {
		return s.executor == e && now.Sub(s.at) <= c.config.FailureStreakTTL
	})
	if at < 0 {
		return failedAttempt{}, false
	}
	return t.failedAttempts[at], true
}

// refuseGang stops the runs of a gang of which an executor has refused a member, as the others would wait for it
// in vain. None of its members goes to that executor next.
func (c *Conductor) refuseGang(now time.Time, s *step, e *executor) {
	for _, member := range s.tasks {
		c.addFailedAttempt(now, member, e, false)
		member.notBefore = now.Add(c.config.Backoff)
		c.stopRuns(now, member)
	}
}

// avoidanceCost returns the cost of an executor to a task that leaves it, failed there or was refused.
func (c *Conductor) avoidanceCost(now time.Time, t *task, e *executor) float64 {
	last, ok := c.lastFailedAttempt(now, t, e)
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

// mayWork reports whether a best-effort task may be expected to work on an executor, as far as its failed attempts and those of
// others tell. An executor on which nothing runs for long is often the only one within the bounds on best-effort work. If
// such a task kept trying it, it would never wait for room elsewhere, nor start there once its workload has been idle.
func (c *Conductor) mayWork(now time.Time, t *task, e *executor) bool {
	if c.isFailing(now, e) || e.startsUnanswered(now) {
		return false
	}
	if _, ok := c.lastFailedAttempt(now, t, e); ok {
		return false
	}
	return len(t.failedAttempts) == 0 || !e.failedLast(now) || !c.hasSound(now, e.service)
}

// hasSound reports whether a service has a usable executor that has not failed last.
func (c *Conductor) hasSound(now time.Time, service string) bool {
	return slices.ContainsFunc(c.allExecutors(), func(e *executor) bool {
		return e.service == service && !e.failedLast(now) && c.usable(e)
	})
}

package conductor

import (
	"slices"
	"time"
)

// maxRefusals bounds the executors that a task remembers for refusing it.
const maxRefusals = 32

// refusal is an executor that refused to start a task, and when.
type refusal struct {
	executor *executor
	at       time.Time
}

// addRefusal records that an executor has refused a task. All of those that did lately count: with the last
// one alone, the task would go back and forth between two.
func (c *Conductor) addRefusal(now time.Time, t *task, e *executor) {
	t.refusals = slices.DeleteFunc(t.refusals, func(r refusal) bool {
		return r.executor == e || now.Sub(r.at) > c.config.FailureStreakTTL
	})
	t.refusals = append(t.refusals, refusal{executor: e, at: now})
	if len(t.refusals) > maxRefusals {
		t.refusals = t.refusals[1:]
	}
}

// refuseGang stops the runs of a gang of which an executor has refused a member, as the others would wait for it
// in vain. None of its members goes to that executor next.
func (c *Conductor) refuseGang(now time.Time, s *step, e *executor) {
	for _, member := range s.tasks {
		c.addRefusal(now, member, e)
		member.notBefore = now.Add(c.config.Backoff)
		c.stopRuns(now, member)
	}
}

// avoidanceCost returns the cost of an executor to a task that leaves it, failed there or was refused.
func (c *Conductor) avoidanceCost(now time.Time, t *task, e *executor) float64 {
	refused := slices.ContainsFunc(t.refusals, func(r refusal) bool {
		return r.executor == e && now.Sub(r.at) <= c.config.FailureStreakTTL
	})
	switch {
	case refused:
		return costRefused
	case t.avoid == e:
		return costAvoided
	}
	return 0
}

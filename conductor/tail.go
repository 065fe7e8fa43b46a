package conductor

import (
	"cmp"
	"slices"

	"apricotwinch"
	"apricotwinch/messenger"
	"apricotwinch/ranker"
)

const (
	// tailShare is the share of its tasks, as a divisor, up to which the tasks left of a step are its tail. A step
	// ends with its slowest task, and a throttled one takes several times as long as the median.
	tailShare = 4
	// maxPreferredRuns bounds the preferred runs of an executor: they share what serving tasks leave, so that a
	// preference of many would help none of them.
	maxPreferredRuns = 2
)

// preferredRuns returns the best-effort runs of an executor that are throttled after others, as their steps wait for
// nothing else: the first ones in the order of steps.
func (c *Conductor) preferredRuns(e *executor) []messenger.RunRef {
	if !c.config.Features.Enabled(apricotwinch.FeatureTailPriority) {
		return nil
	}
	var tail []*run
	for _, r := range e.runs {
		if r.task.step.spec.Fills && !r.stopping && !r.orphaned && r.task.step.inTail() && c.mayEndUsefully(r.task.step.occurrence.workload) {
			tail = append(tail, r)
		}
	}
	slices.SortFunc(tail, func(a, b *run) int {
		return cmp.Or(compareSteps(a.task.step, b.task.step), compareTasks(a.task, b.task), cmp.Compare(a.ref.Run, b.ref.Run))
	})
	var refs []messenger.RunRef
	for _, r := range tail[:min(len(tail), maxPreferredRuns)] {
		if !r.tailPreferred {
			r.tailPreferred = true
			c.count("runs.preferred")
		}
		refs = append(refs, r.ref)
	}
	return refs
}

// inTail reports whether few tasks of a step are left.
func (s *step) inTail() bool { return s.left > 0 && s.left <= max(1, len(s.tasks)/tailShare) }

// mayEndUsefully reports whether the result of a workload can still help its caller.
func (c *Conductor) mayEndUsefully(w *workload) bool {
	if c.ordering.active {
		return w.places[bestEffortClass].Feasibility != ranker.Infeasible
	}
	return w.rank.feasibility != infeasible
}

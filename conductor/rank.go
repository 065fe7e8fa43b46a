package conductor

import (
	"cmp"
	"slices"
	"time"

	"apricotwinch/cataloger"
	"apricotwinch/forecaster"
	"apricotwinch/ranker"
)

// rankPeriod is the time between two rankings of the best-effort workloads.
const rankPeriod = 200 * time.Millisecond

// lateFactor is the multiple of its objective up to which a late workload is still worth a
// little; later, it is worth nothing.
const lateFactor = forecaster.LateFactor

// feasibility is whether a workload can still end within its objective.
type feasibility int

const (
	onTime feasibility = iota
	late
	infeasible
)

// bestEffortRank orders best-effort workloads. Those that can still end in time go first, and of
// these the smallest, so that as many as possible end in time.
type bestEffortRank struct {
	feasibility feasibility
	// remainingWork is the estimate of the work that is left, in processor seconds.
	remainingWork float64
}

// objectiveOf returns the time within which a workload of a queue should end whose longest chain is given.
func objectiveOf(q *cataloger.Queue, chain time.Duration) time.Duration {
	return time.Duration(q.Stretch*float64(chain)) + q.Objective
}

// rankOf returns the rank of a workload at the time now.
func (c *Conductor) rankOf(now time.Time, w *workload) bestEffortRank {
	q, ok := c.queue(w)
	if !ok {
		return bestEffortRank{feasibility: infeasible}
	}
	var left float64
	var longest, remaining time.Duration
	for _, o := range w.occurrences {
		estimated := c.estimateChain(o)
		longest, remaining = max(longest, estimated.chain), max(remaining, estimated.remaining)
		for _, work := range estimated.left {
			left += work.ProcessorSeconds
		}
	}
	objective := objectiveOf(q, longest)
	end := now.Add(remaining)
	rank := bestEffortRank{feasibility: infeasible, remainingWork: left}
	switch {
	case !end.After(w.acceptedAt.Add(objective)):
		rank.feasibility = onTime
	case !end.After(w.acceptedAt.Add(lateFactor * objective)):
		rank.feasibility = late
	}
	return rank
}

// chainEstimate is what is estimated of an occurrence: the time of the longest chain of dependent
// steps, that of the longest chain of steps that are left, and by class the work in all and that which
// is left.
type chainEstimate struct {
	chain, remaining time.Duration
	total, left      [classes]ranker.Work
}

func (c *Conductor) estimateChain(o *occurrence) chainEstimate {
	var estimated chainEstimate
	ends := make([]time.Duration, len(o.steps))
	remaining := make([]time.Duration, len(o.steps))
	for n, s := range o.steps {
		estimate := c.taskDuration(s, typicalQuantile)
		for _, before := range s.spec.After {
			ends[n], remaining[n] = max(ends[n], ends[before]), max(remaining[n], remaining[before])
		}
		ends[n] += estimate
		if s.left > 0 {
			remaining[n] += estimate
		}
		estimated.chain, estimated.remaining = max(estimated.chain, ends[n]), max(estimated.remaining, remaining[n])
		addWork(&estimated.total[class(s)], s, len(s.tasks), estimate)
		addWork(&estimated.left[class(s)], s, s.left, estimate)
	}
	return estimated
}

// addWork adds that of a number of tasks of a step, of an estimated duration each, to a sum.
func addWork(sum *ranker.Work, s *step, tasks int, estimate time.Duration) {
	sum.ProcessorSeconds += float64(tasks) * estimate.Seconds() * float64(s.need.ProcessorMillis()) / millisPerProcessor
	sum.ByteSeconds += float64(tasks) * estimate.Seconds() * float64(s.need.MemoryBytes())
}

const millisPerProcessor = 1000

// rankSteps sorts the waiting steps into the order in which they are scheduled, and updates the
// mean speeds of the executors.
func (c *Conductor) rankSteps(now time.Time) {
	if now.Sub(c.rankedAt) < rankPeriod {
		return
	}
	c.rankedAt = now
	if c.setOrdering(); c.ordering.active {
		c.orderWorkloads(now)
	} else {
		c.rankBestEffort(now)
	}
	slices.SortStableFunc(c.steps, compareSteps)
	images := c.bestEffortImages()
	for _, h := range c.hosts {
		for _, e := range h.executors {
			e.meanSpeed = c.meanSpeedOf(e, images)
		}
	}
}

// rankBestEffort ranks the best-effort workloads that wait or have background runs, each by itself.
func (c *Conductor) rankBestEffort(now time.Time) {
	for _, s := range c.steps {
		if s.spec.Fills {
			s.occurrence.workload.rank = c.rankOf(now, s.occurrence.workload)
		}
	}
	for r := range c.background {
		r.task.step.occurrence.workload.rank = c.rankOf(now, r.task.step.occurrence.workload)
	}
}

// bestEffortImages returns the images of the best-effort tasks that are running or waiting.
func (c *Conductor) bestEffortImages() map[string]bool {
	images := map[string]bool{}
	for _, s := range c.steps {
		if s.spec.Fills {
			images[s.spec.Image] = true
		}
	}
	for _, r := range c.runs {
		if r.task.step.spec.Fills {
			images[r.task.step.spec.Image] = true
		}
	}
	return images
}

// meanSpeedOf returns the mean speed that best-effort images are expected to have on an
// executor. As it counts as a cost, tasks that are fast anywhere leave the fast executors to
// others.
func (c *Conductor) meanSpeedOf(e *executor, images map[string]bool) float64 {
	if len(images) == 0 {
		return 0
	}
	sum := 0.0
	for image := range images {
		sum += c.expectedSpeed(image, e)
	}
	return sum / float64(len(images))
}

// compareRanks compares the ranks of best-effort workloads.
func compareRanks(a, b bestEffortRank) int {
	return cmp.Or(cmp.Compare(a.feasibility, b.feasibility), cmp.Compare(a.remainingWork, b.remainingWork))
}

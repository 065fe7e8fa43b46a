package conductor

import (
	"cmp"
	"slices"
	"time"

	"apricotwinch/messenger"
)

// Parameters of moving throttled best-effort runs to other executors.
const (
	// throttledPace is the pace, in percent, below which a run counts as throttled.
	throttledPace = 20
	// fullPace is the pace, in percent, of a run that is not throttled.
	fullPace = 100
	// minThrottledTime is how long a run is throttled before it moves. A stop and a resume from
	// its checkpoint take about as long.
	minThrottledTime = 1500 * time.Millisecond
	// minMoveSpeed is the share of full speed, 0 to 1, that the run must be expected to have on
	// the other executor.
	minMoveSpeed = 0.6
	// movePeriod is the time between two searches for a run to move.
	movePeriod = 100 * time.Millisecond
)

// moveThrottledRun stops one throttled best-effort run that writes checkpoints, if it is
// expected to be fast enough on another executor. It resumes from its checkpoint there.
func (c *Conductor) moveThrottledRun(now time.Time) {
	if now.Sub(c.movedAt) < movePeriod {
		return
	}
	c.movedAt = now
	pool := c.usableExecutors()
	better := map[*step][]*executor{}
	for _, r := range c.movableRuns(now) {
		q, ok := c.queue(r.task.step.occurrence.workload)
		if !ok {
			continue
		}
		if _, ok := better[r.task.step]; !ok {
			better[r.task.step] = c.betterExecutors(now, r.task.step, pool[q.Service])
		}
		if !slices.ContainsFunc(better[r.task.step], func(e *executor) bool { return e != r.executor }) {
			continue
		}
		c.count("runs.moved")
		c.logger.Info("run moved", "run", r.ref, "executor", r.executor.id, "pace", r.pace, "slowMillis", now.Sub(r.throttledSince).Milliseconds())
		r.task.avoid = r.executor
		c.stopRun(now, r)
		return
	}
}

// movableRuns returns the throttled runs that may move, those throttled longest first.
func (c *Conductor) movableRuns(now time.Time) []*run {
	var movable []*run
	for _, r := range c.runs {
		spec := r.task.step.spec
		canMove := spec.Fills && spec.Checkpoints && !spec.Gang && !r.stopping && !r.orphaned
		if canMove && r.longThrottled(now) {
			movable = append(movable, r)
		}
	}
	slices.SortFunc(movable, func(a, b *run) int {
		return cmp.Or(a.throttledSince.Compare(b.throttledSince), cmp.Compare(a.ref.Task.Workload, b.ref.Task.Workload), cmp.Compare(a.ref.Task.Index, b.ref.Task.Index))
	})
	return movable
}

// betterExecutors returns up to two executors in the pool that fit a task of a step and are
// expected to run it at minMoveSpeed or faster without harm to the serving tasks there. Two
// are enough: at most one of them is the executor that the task leaves.
func (c *Conductor) betterExecutors(now time.Time, s *step, pool []*executor) []*executor {
	var better []*executor
	for _, e := range pool {
		if !e.failedLast(now) && c.fits(s, e) && c.respectsReservation(now, s, e) && c.expectedSpeed(s.spec.Image, e) >= minMoveSpeed && c.suitable(now, s.spec.Image, e) {
			better = append(better, e)
		}
		if len(better) == 2 {
			break
		}
	}
	return better
}

// updatePace records the pace of a run, since when it is throttled, and what it leaves unused
// for others.
func (r *run) updatePace(now time.Time, state *messenger.RunState) {
	r.pace = state.Pace
	if r.background {
		return
	}
	switch {
	case state.Phase != messenger.RunRunning || state.Pace >= throttledPace:
		r.throttledSince = time.Time{}
	case r.throttledSince.IsZero():
		r.throttledSince = now
	}
	if !r.longThrottled(now) || !r.task.step.spec.Fills {
		r.setIdle(0)
		return
	}
	r.setIdle(r.task.step.need.ProcessorMillis() * int64(fullPace-r.pace) / fullPace)
}

// longThrottled reports whether a run has been throttled for minThrottledTime.
func (r *run) longThrottled(now time.Time) bool {
	return !r.throttledSince.IsZero() && now.Sub(r.throttledSince) >= minThrottledTime
}

// setIdle sets the part of its processors, in thousandths, that a run leaves unused.
func (r *run) setIdle(idle int64) {
	r.executor.bestEffortIdle += idle - r.idle
	r.idle = idle
}

package conductor

import (
	"cmp"
	"slices"
	"time"

	"apricotwinch/messenger"
)

// Bounds of the moves of filling work that is held back.
const (
	// slowPace is the pace, in percent, below which a task counts as held back.
	slowPace = 20
	// fullPace is the pace, in percent, of a task that is not held back.
	fullPace = 100
	// slowFor is how long it is held back before it moves; a stop and a resume from
	// its checkpoint take about as long.
	slowFor = 1500 * time.Millisecond
	// betterSpeed is the share of full speed that it must be expected to have
	// elsewhere.
	betterSpeed = 0.6
	// movePeriod is the time between two moves.
	movePeriod = 100 * time.Millisecond
)

// moveOne stops one task that fills, checkpoints and is held back, when it would go
// well on another executor: it resumes there.
func (c *Conductor) moveOne(now time.Time) {
	if now.Sub(c.movedAt) < movePeriod {
		return
	}
	pool := c.usable()
	for _, r := range c.slowRuns(now) {
		q, ok := c.queue(r.task.step.occurrence.work)
		if !ok || !c.betterPlace(now, r, pool[q.Service]) {
			continue
		}
		c.movedAt = now
		c.count("runs.moved")
		c.logger.Info("run moved", "run", r.ref, "executor", r.executor.id, "pace", r.pace, "slowMillis", now.Sub(r.slowSince).Milliseconds())
		r.task.avoid = r.executor
		c.stop(r)
		return
	}
}

// slowRuns returns the runs that may move, those held back longest first.
func (c *Conductor) slowRuns(now time.Time) []*run {
	var slow []*run
	for _, r := range c.runs {
		spec := r.task.step.spec
		movable := spec.Fills && spec.Checkpoints && !spec.Gang && !r.stopping && !r.stray
		if movable && r.heldBack(now) {
			slow = append(slow, r)
		}
	}
	slices.SortFunc(slow, func(a, b *run) int {
		return cmp.Or(a.slowSince.Compare(b.slowSince), cmp.Compare(a.ref.Task.Workload, b.ref.Task.Workload), cmp.Compare(a.ref.Task.Index, b.ref.Task.Index))
	})
	return slow
}

// betterPlace reports whether a run would go well on another executor.
func (c *Conductor) betterPlace(now time.Time, r *run, pool []*executor) bool {
	image := r.task.step.spec.Image
	return slices.ContainsFunc(pool, func(e *executor) bool {
		return e != r.executor && c.fits(r.task.step, e) && c.speed(image, e) >= betterSpeed && c.suits(now, image, e)
	})
}

// notePace notes since when a run is held back, and what that leaves to others.
func (r *run) notePace(now time.Time, state *messenger.RunState) {
	r.pace = state.Pace
	switch {
	case state.Phase != messenger.RunRunning || state.Pace >= slowPace:
		r.slowSince = time.Time{}
	case r.slowSince.IsZero():
		r.slowSince = now
	}
	if !r.heldBack(now) || !r.task.step.spec.Fills {
		r.setIdle(0)
		return
	}
	r.setIdle(r.task.step.need.ProcessorMillis() * int64(fullPace-r.pace) / fullPace)
}

// heldBack reports whether a run has been held back for long.
func (r *run) heldBack(now time.Time) bool {
	return !r.slowSince.IsZero() && now.Sub(r.slowSince) >= slowFor
}

// setIdle changes what a run leaves unused of its need.
func (r *run) setIdle(idle int64) {
	r.executor.idle += idle - r.idle
	r.idle = idle
}

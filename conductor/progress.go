package conductor

import (
	"cmp"
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"

	"apricotwinch/messenger"
	"apricotwinch/monitor"
	"apricotwinch/pacer"
)

// Parameters of rescuing runs from stalled or slow executors.
const (
	// resumeTime is how long a run that resumes from a checkpoint makes no progress.
	resumeTime = 900 * time.Millisecond
	// minRescueAge is the time since the start of a run from which on it may be rescued from a stalled executor.
	minRescueAge = 400 * time.Millisecond
	// minRescueGain is how much sooner a task must be expected to end on another executor to be
	// restarted there. A stop takes up to 0.9 s.
	minRescueGain = time.Second
	// rescuePeriod is the time between two searches for runs to rescue, and maxRescues bounds
	// the rescues of one search.
	rescuePeriod = 100 * time.Millisecond
	maxRescues   = 16
	// maxRescuesPerTask bounds the rescues of one task, as its estimate may be wrong instead of
	// its executor being slow.
	maxRescuesPerTask = 2
)

// rescue restarts tasks of stalled or slow executors on other ones, as a speculative copy if the
// step allows it, else after a stop of the run.
func (c *Conductor) rescue(now time.Time) {
	if now.Sub(c.rescuedAt) < rescuePeriod {
		return
	}
	c.rescuedAt = now
	rescuable := c.rescuableRuns(now)
	if len(rescuable) == 0 {
		return
	}
	pool := c.usableExecutors()
	alternatives := map[*step][]*executor{}
	rescues := 0
	for _, r := range rescuable {
		if rescues == maxRescues {
			return
		}
		s := r.task.step
		if _, ok := alternatives[s]; !ok {
			alternatives[s] = c.findAlternatives(now, s, pool)
		}
		if !slices.ContainsFunc(alternatives[s], func(e *executor) bool { return e != r.executor }) {
			continue
		}
		rescues++
		r.task.rescues++
		r.task.slowBefore = r.task.slowBefore || c.monitor.Verdict(now, r.executor.id) == monitor.Slow
		c.count("runs.rescued")
		c.logger.Info("run rescued", "run", r.ref, "executor", r.executor.id, "verdict", string(c.monitor.Verdict(now, r.executor.id)),
			"percent", r.percent, "copy", r.task.step.spec.Speculative)
		r.task.avoid = r.executor
		if r.task.step.spec.Speculative {
			c.startCopy(now, r)
		} else {
			c.stopRun(now, r)
		}
	}
}

// rescuableRuns returns the runs that are expected to end much sooner on another executor, in
// the order in which steps are scheduled.
func (c *Conductor) rescuableRuns(now time.Time) []*run {
	var rescuable []*run
	for _, r := range c.runs {
		spec := r.task.step.spec
		movable := !spec.Lasting && !spec.Gang && !r.stopping && !r.orphaned && r.phase == messenger.RunRunning && r.task.current == r
		movable = movable && r.task.rescues < maxRescuesPerTask
		if movable && c.endsSoonerElsewhere(now, r) {
			rescuable = append(rescuable, r)
		}
	}
	slices.SortFunc(rescuable, func(a, b *run) int {
		return cmp.Or(compareSteps(a.task.step, b.task.step), cmp.Compare(a.ref.Task.Index, b.ref.Task.Index))
	})
	return rescuable
}

// endsSoonerElsewhere reports whether a run is expected to end much sooner on another executor.
func (c *Conductor) endsSoonerElsewhere(now time.Time, r *run) bool {
	estimate := c.taskDuration(r.task.step, typicalQuantile)
	left := time.Duration(float64(estimate) * float64(pacer.FullSpeed-r.percent) / pacer.FullSpeed)
	elsewhere := estimate
	if r.task.checkpoint != "" {
		elsewhere = left + resumeTime
	}
	switch c.monitor.Verdict(now, r.executor.id) {
	case monitor.Stalled:
		return now.Sub(r.startedAt) > minRescueAge
	case monitor.Slow:
		speed := max(c.monitor.Speed(r.executor.id), minSlowSpeed)
		return !r.task.step.spec.Fills && time.Duration(float64(left)/speed) > elsewhere+minRescueGain
	}
	return false
}

// minSlowSpeed is the least speed assumed of a slow executor.
const minSlowSpeed = 0.05

// findAlternatives returns up to two executors in the pool, which is by service, that are healthy, fit a
// task of a step and, for an advised queue, have a ticket. Two are enough: at most one of them is the
// executor that the task leaves.
func (c *Conductor) findAlternatives(now time.Time, s *step, pool map[string][]*executor) []*executor {
	q, ok := c.queue(s.occurrence.workload)
	if !ok {
		return nil
	}
	var alternatives []*executor
	evaluated := int64(0)
	for _, e := range pool[q.Service] {
		evaluated++
		if _, ok := s.validTicket(now, e); q.Advised && !ok {
			continue
		}
		if c.monitor.Verdict(now, e.id) != monitor.Healthy || e.failedLast(now) || !c.fits(s, e) || !c.respectsReservation(now, s, e) {
			continue
		}
		alternatives = append(alternatives, e)
		if len(alternatives) == 2 {
			break
		}
	}
	metrics.GetOrRegisterCounter("executors.evaluated", c.registry).Inc(evaluated)
	return alternatives
}

// startCopy queues a task for a speculative copy while its run continues; the first of the two
// to end counts.
func (c *Conductor) startCopy(now time.Time, r *run) {
	t := r.task
	if t.originalRun != nil {
		return
	}
	t.originalRun = r
	t.current = nil
	t.step.waiting++
	c.queueStep(t.step)
	if t.step.waiting == 1 {
		t.step.beginWait(now, waitCopy)
	}
}

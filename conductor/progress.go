package conductor

import (
	"cmp"
	"slices"
	"time"

	"apricotwinch/cataloger"
	"apricotwinch/messenger"
	"apricotwinch/monitor"
	"apricotwinch/pacer"
)

// Bounds of what is done about executors that hang or are slow.
const (
	// freshFor is the silence of an executor up to which the progress in a report is of
	// now: agents ask for it four times a second.
	freshFor = 400 * time.Millisecond
	// restoreTakes is how long a task that resumes makes no progress.
	restoreTakes = 900 * time.Millisecond
	// rescueGain is how much sooner a task must be expected to end elsewhere for it to be
	// started there anew: a stop takes up to 0.9 s.
	rescueGain = time.Second
	// rescuePeriod is the time between two looks for tasks to start elsewhere, and
	// maxRescues bounds those of one look.
	rescuePeriod = 100 * time.Millisecond
	maxRescues   = 16
	// rescuesEach bounds those of one task: its estimate may be what is wrong.
	rescuesEach = 2
)

// watch lets the monitor see the progress of an executor's tasks.
func (c *Conductor) watch(now time.Time, e *executor, silent time.Duration) {
	var tasks []monitor.Progress
	for _, r := range e.runs {
		spec := r.task.step.spec
		restoring := r.resumed && now.Sub(r.since) < restoreTakes
		if spec.Lasting || spec.Gang || r.stopping || r.phase != messenger.RunRunning || restoring {
			continue
		}
		p := monitor.Progress{Task: r.name, Percent: r.percent, Estimate: time.Duration(spec.EstimateMillis) * time.Millisecond, Share: 1}
		if spec.Fills {
			p.Share, p.Rough = float64(r.pace)/pacer.Full, true
		}
		tasks = append(tasks, p)
	}
	before := c.monitor.Verdict(now, e.id)
	c.monitor.Observe(now, e.id, silent < freshFor, tasks)
	if after := c.monitor.Verdict(now, e.id); after != before {
		c.count("executors." + cmp.Or(string(after), "sound"))
		c.logger.Info("executor judged", "executor", e.id, "host", e.host.name, "verdict", cmp.Or(string(after), "sound"),
			"before", cmp.Or(string(before), "sound"), "speed", c.monitor.Speed(e.id), "tasks", len(tasks))
	}
}

// rescue starts tasks of executors that hang or are slow elsewhere: a copy where the step
// allows that, else after a stop.
func (c *Conductor) rescue(now time.Time) {
	if now.Sub(c.rescuedAt) < rescuePeriod {
		return
	}
	c.rescuedAt = now
	pool := c.usable()
	rescues := 0
	for _, r := range c.stuck(now) {
		q, ok := c.queue(r.task.step.occurrence.work)
		if rescues == maxRescues || !ok || !c.soundPlace(now, r, q, pool[q.Service]) {
			continue
		}
		rescues++
		r.task.rescues++
		c.count("runs.rescued")
		c.logger.Info("run rescued", "run", r.ref, "executor", r.executor.id, "verdict", string(c.monitor.Verdict(now, r.executor.id)),
			"percent", r.percent, "copy", r.task.step.spec.Speculative)
		r.task.avoid = r.executor
		if r.task.step.spec.Speculative {
			c.copyRun(r)
		} else {
			c.stop(r)
		}
	}
}

// stuck returns the runs that would end much sooner elsewhere, in a fixed order.
func (c *Conductor) stuck(now time.Time) []*run {
	var stuck []*run
	for _, r := range c.runs {
		spec := r.task.step.spec
		movable := !spec.Lasting && !spec.Gang && !r.stopping && !r.stray && r.phase == messenger.RunRunning && r.task.current == r
		movable = movable && r.task.rescues < rescuesEach
		if movable && c.late(now, r) {
			stuck = append(stuck, r)
		}
	}
	slices.SortFunc(stuck, func(a, b *run) int {
		return cmp.Or(compareSteps(a.task.step, b.task.step), cmp.Compare(a.ref.Task.Index, b.ref.Task.Index))
	})
	return stuck
}

// late reports whether a run would end much sooner elsewhere.
func (c *Conductor) late(now time.Time, r *run) bool {
	estimate := time.Duration(r.task.step.spec.EstimateMillis) * time.Millisecond
	left := time.Duration(float64(estimate) * float64(pacer.Full-r.percent) / pacer.Full)
	anew := estimate
	if r.task.checkpoint != "" {
		anew = left + restoreTakes
	}
	switch c.monitor.Verdict(now, r.executor.id) {
	case monitor.Still:
		return now.Sub(r.since) > freshFor
	case monitor.Slow:
		speed := max(c.monitor.Speed(r.executor.id), leastSpeed)
		return !r.task.step.spec.Fills && time.Duration(float64(left)/speed) > anew+rescueGain
	}
	return false
}

// leastSpeed bounds the speed that a slow executor is said to have.
const leastSpeed = 0.05

// soundPlace reports whether a sound executor may take a run and has room for it.
func (c *Conductor) soundPlace(now time.Time, r *run, q *cataloger.Queue, pool []*executor) bool {
	return slices.ContainsFunc(pool, func(e *executor) bool {
		if _, ok := r.task.step.valid(now, e); q.Advised && !ok {
			return false
		}
		return e != r.executor && c.monitor.Verdict(now, e.id) == monitor.Sound && c.fits(r.task.step, e)
	})
}

// copyRun lets a task be started once more while its run goes on: the first to end counts.
func (c *Conductor) copyRun(r *run) {
	t := r.task
	if t.copied != nil {
		return
	}
	t.copied = r
	t.current = nil
	t.step.waiting++
	c.queueStep(t.step)
}

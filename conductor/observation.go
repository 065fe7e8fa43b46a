package conductor

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"apricotwinch/messenger"
	"apricotwinch/monitor"
	"apricotwinch/pacer"
)

// observeProgress passes the progress of an executor's tasks to the monitor. silent is the age
// of that progress.
func (c *Conductor) observeProgress(now time.Time, e *executor, silent time.Duration) {
	tasks := c.progress[:0]
	used := e.bestEffortUse()
	for _, r := range e.runsByKey() {
		restoring := r.resumed && now.Sub(r.runningAt) < resumeTime
		if !r.isMonitored() || r.stopping || r.phase != messenger.RunRunning || restoring {
			continue
		}
		tasks = append(tasks, c.progressOf(r, used))
	}
	c.progress = tasks
	before := c.monitor.Verdict(now, e.id)
	c.monitor.Observe(now, e.id, silent, tasks)
	c.logVerdict(now, e, before, len(tasks))
}

// runsByKey returns the runs of the executor in order of their keys. The caller must not change the list.
func (e *executor) runsByKey() []*run {
	if e.sortedRuns == nil {
		e.sortedRuns = slices.SortedFunc(maps.Values(e.runs), func(a, b *run) int { return strings.Compare(a.key, b.key) })
	}
	return e.sortedRuns
}

// observeEnd tells the monitor of a run that has ended as done, as its executor works.
func (c *Conductor) observeEnd(now time.Time, r *run) {
	if !r.isMonitored() {
		return
	}
	e := r.executor
	before := c.monitor.Verdict(now, e.id)
	c.monitor.Ended(now, e.id, c.progressOf(r, e.bestEffortUse()), now.Sub(r.startedAt))
	c.logVerdict(now, e, before, len(e.runs))
}

// logVerdict logs and counts a changed verdict on an executor.
func (c *Conductor) logVerdict(now time.Time, e *executor, before monitor.Verdict, tasks int) {
	after := c.monitor.Verdict(now, e.id)
	if after == before {
		return
	}
	c.count("executors." + cmp.Or(string(after), "sound"))
	c.logger.Info("executor health changed", "executor", e.id, "host", e.host.name, "verdict", cmp.Or(string(after), "sound"),
		"before", cmp.Or(string(before), "sound"), "speed", c.monitor.Speed(e.id), "tasks", tasks)
}

// isMonitored reports whether the progress of a run shows how its executor works.
func (r *run) isMonitored() bool {
	spec := r.task.step.spec
	return !spec.Lasting && !spec.Gang
}

// progressOf returns the progress of a run for the monitor. used is what the best-effort runs of its executor use.
func (c *Conductor) progressOf(r *run, used float64) monitor.Progress {
	p := monitor.Progress{
		Task: r.key, Percent: r.percent, Estimate: c.taskDuration(r.task.step, typicalQuantile), Share: 1,
		Declared: time.Duration(r.task.step.spec.EstimateMillis) * time.Millisecond,
		// A task that was slow on another executor, too, is probably longer than declared.
		InexactEstimate: r.task.slowBefore,
		Resumed:         r.resumed || r.ordersNumber == 0,
	}
	if r.task.step.spec.Fills {
		p.Share, p.InexactShare = r.expectedShare(used), true
	}
	return p
}

// bestEffortUse returns the processors, in thousandths, that the best-effort runs of the executor use.
func (e *executor) bestEffortUse() float64 {
	used := 0.0
	for _, r := range e.runsByKey() {
		if r.task.step.spec.Fills && r.phase == messenger.RunRunning {
			used += r.measurement
		}
	}
	return used
}

// expectedShare returns the share of full speed, 0 to 1, at which a best-effort run is expected to work: what it was
// measured to use or, if that is more, what other runs certainly leave to it, within its pace. A run that gets no
// processors as others use them makes no progress on a healthy executor; one that uses none though they are free
// does so on a stalled one.
func (r *run) expectedShare(used float64) float64 {
	paced := float64(r.pace) / pacer.FullSpeed
	need := r.task.step.need.ProcessorMillis()
	if need <= 0 {
		return paced
	}
	e := r.executor
	left := float64(e.capacity.ProcessorMillis()-e.allocated.ProcessorMillis()) - (used - r.measurement)
	return max(0, min(paced, max(r.measurement, left)/float64(need)))
}

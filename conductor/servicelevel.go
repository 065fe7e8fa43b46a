package conductor

import (
	"cmp"
	"math"
	"slices"
	"time"

	"apricotwinch/messenger"
)

// maxServiceLines bounds the lines about long-running workloads that are logged at one look.
const maxServiceLines = 8

// Groups of the long-running workloads of a queue by size, by which users judge whether large ones are passed
// over: the largest tenth, the fifth below it, and the others.
const (
	sizeLargest  = "largest"
	sizeLarge    = "large"
	sizeOrdinary = "ordinary"

	largestShare = 0.1
	largeShare   = 0.2
)

var sizeGroups = []string{sizeLargest, sizeLarge, sizeOrdinary}

// Prefixes of the names of the gauges of long-running tasks by the size of their workloads.
const (
	gaugeServiceTasks      = "long_running.tasks."
	gaugeServiceWorking    = "long_running.working."
	gaugeServiceOverTarget = "long_running.over_target."
)

// serviceLevel is how much of a long-running workload is served.
type serviceLevel struct {
	workload *workload
	// processors is what all its tasks take, in thousandths of a processor, and rank its place by that in its
	// queue of a number of such workloads, 1 for the largest.
	processors int64
	rank, of   int
	// tasks is the number of the tasks, running that of those which have a run that isn't being stopped, working that of
	// those which are fully at work, and overTarget that of working ones whose tail latency is over its target.
	tasks, running, working, overTarget int
}

// serviceLevelLog is since when a workload has been underserved, and when that was last logged; zero for not.
type serviceLevelLog struct{ since, loggedAt time.Time }

// lasts reports whether all tasks of a workload are long-running ones.
func (w *workload) lasts() bool {
	return len(w.spec.Steps) > 0 && !slices.ContainsFunc(w.spec.Steps, func(s messenger.StepSpec) bool { return !s.Lasting || s.Fills })
}

// underserved reports whether less than half of the tasks work within their targets.
func (l *serviceLevel) underserved() bool { return 2*(l.working-l.overTarget) < l.tasks }

// share returns the share of the tasks, 0 to 1, that run.
func (l *serviceLevel) share() float64 { return float64(l.running) / float64(max(1, l.tasks)) }

func (l *serviceLevel) group() string {
	switch of := float64(l.of); {
	case l.rank <= int(math.Ceil(largestShare*of)):
		return sizeLargest
	case l.rank <= int(math.Ceil((largestShare+largeShare)*of)):
		return sizeLarge
	}
	return sizeOrdinary
}

// serviceLevelOf returns how much of a long-running workload is served.
func serviceLevelOf(w *workload) serviceLevel {
	l := serviceLevel{workload: w}
	for _, o := range w.occurrences {
		if !o.due {
			continue
		}
		for _, t := range o.tasks() {
			l.tasks++
			l.processors += t.step.need.ProcessorMillis()
			if t.current == nil || t.current.stopping {
				continue
			}
			l.running++
			if t.current.percent < fullPace {
				continue
			}
			l.working++
			if h := t.current.headroom(); h > 0 && h < 1 {
				l.overTarget++
			}
		}
	}
	return l
}

// serviceLevels returns how much of each long-running workload is served, by queue, the largest first.
func (c *Conductor) serviceLevels() []serviceLevel {
	var levels []serviceLevel
	for _, w := range c.workloads {
		if w.terminal() || !w.lasts() {
			continue
		}
		if l := serviceLevelOf(w); l.tasks > 0 {
			levels = append(levels, l)
		}
	}
	slices.SortFunc(levels, func(a, b serviceLevel) int {
		return cmp.Or(cmp.Compare(a.workload.queue, b.workload.queue), cmp.Compare(b.processors, a.processors), cmp.Compare(a.workload.id, b.workload.id))
	})
	for first := 0; first < len(levels); {
		end := first
		for end < len(levels) && levels[end].workload.queue == levels[first].workload.queue {
			end++
		}
		for i := first; i < end; i++ {
			levels[i].rank, levels[i].of = i-first+1, end-first
		}
		first = end
	}
	return levels
}

// setServiceGauges sets the gauges of long-running tasks to counts by the size of their workloads.
func (c *Conductor) setServiceGauges(tasks, working, overTarget map[string]int64) {
	for _, group := range sizeGroups {
		c.setGauge(gaugeServiceTasks+group, tasks[group])
		c.setGauge(gaugeServiceWorking+group, working[group])
		c.setGauge(gaugeServiceOverTarget+group, overTarget[group])
	}
}

// checkService counts the long-running tasks by the size of their workloads and how they are served, and logs
// the workloads that have been underserved for long.
func (c *Conductor) checkService(now time.Time) {
	tasks, working, overTarget := map[string]int64{}, map[string]int64{}, map[string]int64{}
	var due []serviceLevel
	for _, level := range c.serviceLevels() {
		group := level.group()
		tasks[group] += int64(level.tasks)
		working[group] += int64(level.working)
		overTarget[group] += int64(level.overTarget)
		switch l := &level.workload.serviceLevelLog; {
		case !level.underserved():
			*l = serviceLevelLog{}
		case l.since.IsZero():
			l.since = now
		case now.Sub(l.since) >= longWait && now.Sub(l.loggedAt) >= waitLogPeriod:
			due = append(due, level)
		}
	}
	c.setServiceGauges(tasks, working, overTarget)
	slices.SortStableFunc(due, func(a, b serviceLevel) int {
		return a.workload.serviceLevelLog.loggedAt.Compare(b.workload.serviceLevelLog.loggedAt)
	})
	for _, level := range due[:min(len(due), maxServiceLines)] {
		w := level.workload
		w.serviceLevelLog.loggedAt = now
		c.logger.Info("long-running workload underserved", "workload", w.id, "queue", w.queue, "size", level.group(), "rank", level.rank, "of", level.of,
			"processorMillis", level.processors, "tasks", level.tasks, "running", level.running, "working", level.working, "overTarget", level.overTarget,
			"sinceMillis", now.Sub(w.serviceLevelLog.since).Milliseconds(), "ageMillis", now.Sub(w.acceptedAt).Milliseconds())
	}
}

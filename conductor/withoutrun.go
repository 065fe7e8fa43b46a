package conductor

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxWithoutRun is how long a workload may have no run until it counts as one without: users take it for lost then if
	// there is room.
	maxWithoutRun = 3 * time.Second
	// maxWithoutRunLines bounds the lines about such workloads at one look.
	maxWithoutRunLines = 4
	// gaugeWithoutRun is the name of the gauge of such workloads.
	gaugeWithoutRun = "workloads.without_run"
)

// idleWorkload is a workload without a run, and the first of its steps that waits in its turn.
type idleWorkload struct {
	step *step
	idle time.Duration
}

// checkWithoutRun counts the workloads that wait in their turn and of which no executor has shown a run for maxWithoutRun, and logs
// those without one for longest. It goes through all workloads, as the queue of waiting steps may be at fault.
func (c *Conductor) checkWithoutRun(now time.Time) {
	var idle []idleWorkload
	for _, w := range c.workloads {
		if s := w.firstWaiting(); s != nil && s.idleFor(now) >= maxWithoutRun {
			idle = append(idle, idleWorkload{step: s, idle: s.idleFor(now)})
		}
	}
	c.setGauge(gaugeWithoutRun, int64(len(idle)))
	if len(idle) == 0 || now.Sub(c.withoutRunLoggedAt) < waitLogPeriod {
		return
	}
	c.withoutRunLoggedAt = now
	slices.SortFunc(idle, func(a, b idleWorkload) int {
		return cmp.Or(cmp.Compare(b.idle, a.idle), cmp.Compare(a.step.occurrence.workload.id, b.step.occurrence.workload.id))
	})
	for _, i := range idle[:min(len(idle), maxWithoutRunLines)] {
		s, w := i.step, i.step.occurrence.workload
		c.logger.Info("workload without a run", "workload", w.id, "step", s.number, "idleMillis", i.idle.Milliseconds(), "unconfirmed", w.runs,
			"waiting", s.waiting, "queued", s.queued, "blockedMillis", s.blockedMillis(now), "workloads", len(idle))
	}
}

// firstWaiting returns the first step of a workload that has waiting tasks in its turn; nil if there is none.
func (w *workload) firstWaiting() *step {
	if w.terminal() {
		return nil
	}
	for _, o := range w.occurrences {
		if !o.due || o.left == 0 {
			continue
		}
		for _, s := range o.steps {
			if s.waiting > 0 && s.ready() {
				return s
			}
		}
	}
	return nil
}

package conductor

import (
	"time"

	"apricotwinch"
	"apricotwinch/estimator"
	"apricotwinch/messenger"
	"apricotwinch/monitor"
	"apricotwinch/pacer"
)

// Quantiles of the durations of tasks.
const (
	// typicalQuantile is the quantile used where an error in either direction costs the same.
	typicalQuantile = 0.5
)

// taskDuration returns the time, at a quantile from 0 to 1, that a task of a step takes at full
// speed.
func (c *Conductor) taskDuration(s *step, quantile float64) time.Duration {
	declared := time.Duration(s.spec.EstimateMillis) * time.Millisecond
	switch {
	case !c.learnsDurations() || declared <= 0:
		return declared
	case s.spec.Lasting:
		// No task of the kind ends by itself, so that others would be taken for it.
		return c.durations.estimates.Prior(declared, quantile)
	}
	now := c.durations.now
	if quantile != typicalQuantile {
		return c.durations.estimates.Quantile(now, s.durationClass(), declared, quantile)
	}
	if !s.typical.known || now.Sub(s.typical.at) >= typicalTTL {
		s.typical = typicalDuration{duration: c.durations.estimates.Quantile(now, s.durationClass(), declared, quantile), at: now, known: true}
	}
	return s.typical.duration
}

// typicalTTL is for how long a step keeps its typical duration, as each report asks for it for each run.
const typicalTTL = 500 * time.Millisecond

// typicalDuration is the typical duration of the tasks of a step as of a time, if it is known.
type typicalDuration struct {
	duration time.Duration
	at       time.Time
	known    bool
}

func (c *Conductor) learnsDurations() bool {
	return c.config.Features.Enabled(apricotwinch.FeatureLearnedDurations)
}

// durationClass returns the class by which the durations of the step's tasks are learned.
func (s *step) durationClass() estimator.DurationClass {
	return estimator.NewDurationClass(s.occurrence.workload.queue, s.spec.Image, s.need)
}

// Limits of the runs that are samples of a duration.
const (
	// maxSampleGap is the time between two lists of a run, or between the last one and its end, up to which it counts as
	// seen all the time. Agents report at least each 400 ms.
	maxSampleGap = 600 * time.Millisecond
	// useDelay is the age of the processors in use in a report.
	useDelay = 500 * time.Millisecond
	// minSampleSpeed is the mean share of full speed, 0 to 1, below which the work of a run isn't known well enough.
	minSampleSpeed = 0.2
)

// runWork is what was seen of the work of a run.
type runWork struct {
	// listedAt is when the run was first listed; zero if it wasn't.
	listedAt time.Time
	// partlySeen is whether it wasn't listed for a time.
	partlySeen bool
	// atFullSpeed is how long the work of a best-effort run would have taken at full speed, by the processors in use that
	// were reported, and share the latest share of full speed, 0 to 1.
	atFullSpeed time.Duration
	share       float64
}

// recordWork records what a list says of the work of a run, before the list is recorded otherwise.
func (r *run) recordWork(now time.Time, state *messenger.RunState) {
	w := &r.work
	if w.listedAt.IsZero() {
		w.listedAt = now
		w.partlySeen = r.executor.reportGap > maxSampleGap && now.Sub(r.startedAt) > maxSampleGap
		return
	}
	elapsed := now.Sub(r.listedAt)
	w.partlySeen = w.partlySeen || elapsed > maxSampleGap
	w.share = min(1, pacer.Share(state.Figure, r.task.step.need.ProcessorMillis()))
	w.atFullSpeed += time.Duration(w.share * float64(elapsed))
}

// duration returns how long the work of a run that ends now would have taken at full speed; false if that isn't known.
func (r *run) duration(now time.Time) (time.Duration, bool) {
	spec := r.task.step.spec
	started := r.ordersNumber > 0 && !r.resumed && !r.orphaned && !r.stopping
	if !started || spec.Lasting || spec.Gang || spec.EstimateMillis <= 0 {
		return 0, false
	}
	w := r.work
	if w.listedAt.IsZero() || w.partlySeen || now.Sub(r.listedAt) > maxSampleGap {
		return 0, false
	}
	took := now.Sub(w.listedAt)
	if !spec.Fills {
		return took, true
	}
	// What it used since the report before last hasn't been reported.
	actual := w.atFullSpeed + time.Duration(w.share*float64(now.Sub(r.listedAt)+useDelay))
	declared := time.Duration(spec.EstimateMillis) * time.Millisecond
	return actual, declared >= 2*useDelay && float64(actual) >= minSampleSpeed*float64(took)
}

// learnDuration learns from a run that has ended as done.
func (c *Conductor) learnDuration(now time.Time, r *run) {
	if !c.learnsDurations() {
		return
	}
	c.durations.now = now
	actual, ok := r.duration(now)
	if !ok || c.monitor.Verdict(now, r.executor.id) != monitor.Healthy {
		c.count("durations.ignored")
		return
	}
	c.count("durations.observed")
	declared := time.Duration(r.task.step.spec.EstimateMillis) * time.Millisecond
	c.durations.estimates.Observe(now, r.task.step.durationClass(), declared, actual)
}

package monitor

import (
	"strings"
	"time"
)

// taskSample is a task in a sample of its executor.
type taskSample struct {
	Progress
	// known is whether the task was in the sample before, and before its percentage there.
	known  bool
	before int
	// measured is the time between the progress in the two samples, and since when that counts.
	measured time.Duration
	since    time.Time
	// speed is what was observed of the task, and all what was observed of its executor in the same time, that
	// task included.
	speed, all ratio
}

func compareTasks(a, b Progress) int { return strings.Compare(a.Task, b.Task) }

func compareName(t taskSample, name string) int { return strings.Compare(t.Task, name) }

// nextSample returns the sample of tasks, which are in order of their names, that follows the last one.
func (m *Monitor) nextSample(now, measuredAt time.Time, e *executor, tasks []Progress) []taskSample {
	next, last := e.spare[:0], e.tasks
	for _, t := range tasks {
		for len(last) > 0 && last[0].Task < t.Task {
			m.forgetStraggler(e, &last[0])
			last = last[1:]
		}
		sample := taskSample{Progress: t, since: measuredAt}
		if t.Percent == 0 {
			sample.since = now
		}
		if len(last) > 0 && last[0].Task == t.Task {
			sample.known, sample.before = true, last[0].Percent
			sample.speed, sample.all = last[0].speed, last[0].all
			sample.since = last[0].since
			sample.measured = max(0, min(measuredAt.Sub(e.measuredAt), measuredAt.Sub(sample.since)))
			last = last[1:]
		}
		next = append(next, sample)
	}
	for i := range last {
		m.forgetStraggler(e, &last[i])
	}
	return next
}

// forgetStraggler removes what was observed of a straggler that no longer runs from the speed of its executor.
func (m *Monitor) forgetStraggler(e *executor, t *taskSample) {
	if m.isStraggler(t) {
		e.speed.add(-t.speed.done, -t.speed.expected)
	}
}

// shortest returns the shorter one of the expected and the declared run time.
func (t *taskSample) shortest() time.Duration {
	if t.Declared <= 0 {
		return t.Estimate
	}
	return min(t.Estimate, t.Declared)
}

// comparable reports whether the progress of a task since the sample before can be compared with its estimate.
func (m *Monitor) comparable(t *taskSample) bool {
	return t.known && t.Estimate > 0 && t.Share >= m.config.MinShare && t.before < complete
}

// work returns the work that a task has done since the sample before, and the work expected in that time, both
// in seconds.
func (t *taskSample) work(elapsed time.Duration) (done, expected float64) {
	return float64(t.Percent-t.before) / complete * t.Estimate.Seconds(), t.Share * elapsed.Seconds()
}

// updateSamples adds to each exact task of a sample what was observed of it and of its executor since the sample before.
func (m *Monitor) updateSamples(measured time.Duration, observed ratio, tasks []taskSample) {
	remaining := decayFactor(measured, m.config.ExecutorDecay)
	for i := range tasks {
		t := &tasks[i]
		if t.InexactShare || t.InexactEstimate || !m.comparable(t) {
			continue
		}
		t.speed.scale(remaining)
		t.all.scale(remaining)
		t.speed.add(t.work(t.measured))
		t.all.add(observed.done, observed.expected)
	}
}

// withoutStragglers returns a speed without that of the stragglers: the tasks that are much slower than the rest of
// the executor in the same time. An unhealthy executor slows down all of its tasks.
func (m *Monitor) withoutStragglers(speed ratio, tasks []taskSample) ratio {
	for i := range tasks {
		if t := &tasks[i]; m.isStraggler(t) {
			speed.add(-t.speed.done, -t.speed.expected)
		}
	}
	return speed
}

// isStraggler reports whether a task is slow though enough was seen of the others on its executor that is not.
func (m *Monitor) isStraggler(t *taskSample) bool {
	others := ratio{done: t.all.done - t.speed.done, expected: t.all.expected - t.speed.expected}
	return others.expected >= m.config.MinEvidence.Seconds() &&
		t.speed.done*others.expected < m.config.SlowBelow*others.done*t.speed.expected
}

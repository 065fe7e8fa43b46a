// Package monitor derives from the progress of tasks how executors work: as fast as others,
// slowly, or not at all.
//
// An executor that is stalled or slow still answers and looks healthy; only the progress of
// its tasks shows it. A Monitor compares that progress with the tasks' estimates, and the
// resulting speed with that of all executors, since estimates are inaccurate. It does no I/O
// and takes the time as an argument. It is not safe for concurrent use.
package monitor

import (
	"math"
	"slices"
	"time"
)

// Config holds the thresholds and time constants of a Monitor.
type Config struct {
	// StallTimeout is how long no task of an executor makes progress before the executor counts as
	// stalled; StallPercent is how much progress, in percent of a task, must have been expected
	// meanwhile.
	StallTimeout time.Duration
	StallPercent float64
	// SlowBelow is the share of the usual speed, 0 to 1, below which an executor counts as slow;
	// MinEvidence is the expected work that this verdict requires.
	SlowBelow   float64
	MinEvidence time.Duration
	// ExecutorDecay is the time constant with which the observations of one executor decay,
	// FleetDecay that of the observations of all executors.
	ExecutorDecay, FleetDecay time.Duration
	// VerdictTTL is how long a verdict lasts after its latest evidence. Then the executor is on
	// probation: the work that it gets next decides. For an executor that stalls again without any progress,
	// that time is multiplied by RelapseFactor, up to MaxVerdictTTL, as each probation costs the tasks that
	// start there.
	VerdictTTL, MaxVerdictTTL time.Duration
	RelapseFactor             int
	// MaxGap is the greatest time between two samples that can be compared, and MaxAge the greatest age
	// of the progress in a sample.
	MaxGap, MaxAge time.Duration
	// MinShare is the share of full speed, 0 to 1, below which a throttled task is ignored.
	MinShare float64
}

// DefaultConfig returns the configuration used by the owner.
func DefaultConfig() Config {
	return Config{
		StallTimeout:  700 * time.Millisecond,
		StallPercent:  15,
		SlowBelow:     0.4,
		MinEvidence:   600 * time.Millisecond,
		ExecutorDecay: time.Second,
		FleetDecay:    30 * time.Second,
		VerdictTTL:    4 * time.Second,
		MaxVerdictTTL: 32 * time.Second,
		RelapseFactor: 4,
		MaxGap:        time.Second,
		MaxAge:        400 * time.Millisecond,
		MinShare:      0.2,
	}
}

// Verdict is the judgment of how an executor works.
type Verdict string

// The verdicts: Healthy for an executor at the usual speed, Slow for one with little progress,
// and Stalled for one without progress.
const (
	Healthy Verdict = ""
	Slow    Verdict = "slow"
	Stalled Verdict = "still"
)

// Progress is the progress of one task.
type Progress struct {
	// Task identifies the task among those of its executor.
	Task string
	// Percent is how much of the task is done, 0 to 100.
	Percent int
	// Estimate is the expected run time of the task at full speed.
	Estimate time.Duration
	// Declared is the declared run time if Estimate is another one, else 0. The shorter of them says how much
	// progress a stalled task has missed, so that a longer Estimate doesn't delay the verdict.
	Declared time.Duration
	// Share is the share of full speed that the task is allowed, 0 to 1.
	Share float64
	// InexactShare means that Share is inaccurate: the task shows whether the executor works, but
	// not how fast.
	InexactShare bool
	// InexactEstimate means that the task is probably longer than Estimate. It is treated like InexactShare,
	// and isn't compared with other tasks of its executor either.
	InexactEstimate bool
	// Resumed means that the first Percent may be the work of an earlier run or executor.
	Resumed bool
}

// ratio compares the work that was done with the work that was expected in the same time, both
// in seconds. Both decay exponentially.
type ratio struct {
	done, expected float64
}

// decay reduces the weight of what was observed before the elapsed time.
func (r *ratio) decay(elapsed, timeConstant time.Duration) {
	r.scale(decayFactor(elapsed, timeConstant))
}

// decayFactor returns the weight that is left after the elapsed time.
func decayFactor(elapsed, timeConstant time.Duration) float64 {
	return math.Exp(-elapsed.Seconds() / timeConstant.Seconds())
}

func (r *ratio) scale(factor float64) {
	r.done *= factor
	r.expected *= factor
}

func (r *ratio) add(done, expected float64) {
	r.done += done
	r.expected += expected
}

// Bounds of the usual ratio: estimates are off by a smaller factor than that.
const (
	minUsualRatio = 0.4
	maxUsualRatio = 2.5
)

// executor holds the observations of one executor.
type executor struct {
	// sampledAt is when the last sample was taken, and measuredAt the time of the progress in it.
	sampledAt, measuredAt time.Time
	// tasks holds the tasks of the last sample in order of their names, and spare a slice to use for the next one.
	tasks, spare []taskSample
	speed        ratio
	// ended is the evidence of the tasks that have ended since the last sample, and worked is whether there was
	// such a task.
	ended         ratio
	worked        bool
	stalledFor    time.Duration
	missedPercent float64
	verdict       Verdict
	verdictAt     time.Time
	// verdictTTL is how long the verdict lasts, and relapsed whether a verdict of stalled has expired since the last
	// progress.
	verdictTTL time.Duration
	relapsed   bool
}

// Monitor gives executors verdicts by their observed progress.
type Monitor struct {
	config    Config
	executors map[string]*executor
	fleet     ratio
	fleetAt   time.Time
}

// New returns a monitor without observations.
func New(config Config) *Monitor {
	return &Monitor{config: config, executors: map[string]*executor{}}
}

// Observe takes a sample of an executor's tasks, with progress of an age. A sample that is not fresh, because
// the executor has not answered recently, is not compared with the one before. A task that is new in a sample and
// has made no progress may have started after the progress was measured.
func (m *Monitor) Observe(now time.Time, id string, age time.Duration, tasks []Progress) {
	e := m.executor(id)
	elapsed, measuredAt := now.Sub(e.sampledAt), now.Add(-age)
	fresh := age < m.config.MaxAge
	if fresh && elapsed <= 0 {
		return
	}
	compared := fresh && elapsed <= m.config.MaxGap
	if !compared {
		e.stalledFor, e.missedPercent = 0, 0
	}
	if !slices.IsSortedFunc(tasks, compareTasks) {
		tasks = slices.SortedFunc(slices.Values(tasks), compareTasks)
	}
	next := m.nextSample(now, measuredAt, e, tasks)
	if compared {
		m.compareSamples(now, measuredAt, elapsed, e, next)
	}
	e.sampledAt = now
	if measuredAt.After(e.measuredAt) {
		e.measuredAt = measuredAt
	}
	e.ended, e.worked = ratio{}, false
	e.tasks, e.spare = next, e.tasks
}

// executor returns the observations of an executor.
func (m *Monitor) executor(id string) *executor {
	e := m.executors[id]
	if e == nil {
		e = &executor{}
		m.executors[id] = e
	}
	return e
}

// compareSamples adds the progress between the last sample and this one, which is next. Stalls count by the times of the
// samples, and speeds by those of the progress in them: a sample may repeat the progress of the last one, as reports are
// also sent when a task starts or ends.
func (m *Monitor) compareSamples(now, measuredAt time.Time, elapsed time.Duration, e *executor, next []taskSample) {
	m.expireVerdict(now, e)
	measured := max(0, measuredAt.Sub(e.measuredAt))
	e.speed.decay(measured, m.config.ExecutorDecay)
	m.fleet.decay(now.Sub(m.fleetAt), m.config.FleetDecay)
	m.fleetAt = now
	sampled, progressed, compared, exact, missed := false, e.worked, false, false, 0.0
	observed := e.ended
	for i := range next {
		t := &next[i]
		if t.Percent > t.before && (t.known || !t.Resumed) {
			progressed = true
		}
		if !m.comparable(t) {
			continue
		}
		sampled = true
		done, expected := t.work(t.measured)
		compared = compared || done > 0
		missed = max(missed, complete*t.Share*elapsed.Seconds()/t.shortest().Seconds())
		if t.InexactEstimate {
			continue
		}
		observed.add(min(done, maxUsualRatio*expected), expected)
		if !t.InexactShare {
			exact = true
			e.speed.add(done, expected)
			m.fleet.add(done, expected)
		}
	}
	m.updateSamples(measured, observed, next)
	switch {
	case progressed:
		e.stalledFor, e.missedPercent, e.relapsed = 0, 0, false
	case sampled:
		e.stalledFor += elapsed
		e.missedPercent += missed
	}
	switch {
	case sampled && e.stalledFor >= m.config.StallTimeout && e.missedPercent >= m.config.StallPercent:
		// An executor without tasks would keep its verdict for good if it were renewed without a sample.
		m.setStalled(now, e)
	case compared && exact && m.isSlow(e.speed) && m.isSlow(m.withoutStragglers(e.speed, next)):
		e.verdict, e.verdictAt, e.verdictTTL = Slow, now, m.config.VerdictTTL
	case progressed && e.verdict == Stalled:
		e.verdict = Healthy
	}
}

// complete is the percentage at which a task is done.
const complete = 100

// Ended records that a task of an executor has ended as done; its Percent is ignored. atMost bounds the time that the
// task ran. Tasks that are shorter than the time between two samples show only in this way that an executor works.
func (m *Monitor) Ended(now time.Time, id string, t Progress, atMost time.Duration) {
	e := m.executor(id)
	last := taskSample{}
	if i, known := slices.BinarySearchFunc(e.tasks, t.Task, compareName); known {
		last = e.tasks[i]
		m.forgetStraggler(e, &last)
		e.tasks = slices.Delete(e.tasks, i, i+1)
		last.known = true
	}
	e.worked = true
	e.stalledFor, e.missedPercent, e.relapsed = 0, 0, false
	if e.verdict == Stalled {
		e.verdict = Healthy
	}
	elapsed := now.Sub(e.measuredAt)
	if t.InexactShare || t.InexactEstimate || t.Estimate <= 0 || t.Share < m.config.MinShare || elapsed <= 0 || elapsed > m.config.MaxGap {
		return
	}
	if !last.known {
		// It started after the last sample. The mean of the possible times is assumed.
		elapsed = min(elapsed, atMost) / 2
	}
	end := taskSample{Progress: t, before: last.Percent}
	end.Percent = complete
	done, expected := end.work(elapsed)
	// The speed of the executor is that of its samples alone: with the ends, which follow a slowdown late, it would be
	// found 0.2 s later.
	e.ended.add(min(done, maxUsualRatio*expected), expected)
}

// expireVerdict drops a verdict without recent evidence. The work that the executor gets next decides, so that what
// was seen of a stall no longer counts.
func (m *Monitor) expireVerdict(now time.Time, e *executor) {
	if e.verdict == Healthy || now.Sub(e.verdictAt) <= e.verdictTTL {
		return
	}
	if e.verdict == Stalled {
		e.stalledFor, e.missedPercent, e.relapsed = 0, 0, true
	}
	e.verdict = Healthy
}

// setStalled gives or renews a verdict of stalled.
func (m *Monitor) setStalled(now time.Time, e *executor) {
	switch {
	case e.verdict == Stalled:
	case e.relapsed:
		e.verdictTTL = min(time.Duration(m.config.RelapseFactor)*e.verdictTTL, m.config.MaxVerdictTTL)
	default:
		e.verdictTTL = m.config.VerdictTTL
	}
	e.verdict, e.verdictAt = Stalled, now
}

// isSlow reports whether a speed is far below the usual one.
func (m *Monitor) isSlow(speed ratio) bool {
	return speed.expected >= m.config.MinEvidence.Seconds() && speed.done < m.config.SlowBelow*m.usualRatio()*speed.expected
}

// usualRatio returns the ratio of done to expected work over all executors, or 1 while too
// little was observed.
func (m *Monitor) usualRatio() float64 {
	if m.fleet.expected < m.config.MinEvidence.Seconds() {
		return 1
	}
	return min(max(m.fleet.done/m.fleet.expected, minUsualRatio), maxUsualRatio)
}

// Verdict returns the verdict on an executor. An unknown executor, and one whose verdict has
// expired, counts as healthy.
func (m *Monitor) Verdict(now time.Time, id string) Verdict {
	e := m.executors[id]
	if e == nil || now.Sub(e.verdictAt) > e.verdictTTL {
		return Healthy
	}
	return e.verdict
}

// Speed returns an executor's recent speed as a share of the usual one, 0 to 1. It returns 1
// while too little was observed.
func (m *Monitor) Speed(id string) float64 {
	e := m.executors[id]
	if e == nil {
		return 1
	}
	speed := m.withoutStragglers(e.speed, e.tasks)
	if speed.expected < m.config.MinEvidence.Seconds() {
		return 1
	}
	return min(1, max(0, speed.done/speed.expected/m.usualRatio()))
}

// Forget drops the observations of an executor that is gone.
func (m *Monitor) Forget(id string) { delete(m.executors, id) }

// Package monitor judges from the progress of tasks how executors work: as fast as
// others, slowly, or not at all.
//
// An executor that hangs or is slow still answers and looks healthy; only its tasks tell.
// A Monitor compares the progress of an executor's tasks with their estimates, and that
// ratio with the ratio of all executors, since estimates are off. It does no I/O and takes
// the time as an argument. It is not safe for concurrent use.
package monitor

import (
	"math"
	"time"
)

// Config holds the bounds of a Monitor.
type Config struct {
	// Still is how long no task of an executor makes progress before it counts as
	// standing still, and StillPercent how much progress was expected meanwhile.
	Still        time.Duration
	StillPercent float64
	// Slow is the share of the usual speed, 0 to 1, below which an executor counts as
	// slow, and Evidence the expected work that such a verdict needs.
	Slow     float64
	Evidence time.Duration
	// Memory is the time constant with which what was seen of an executor fades, Usual
	// that of what was seen of all.
	Memory, Usual time.Duration
	// Hold is how long a verdict lasts after its latest evidence: work that comes after
	// that is its trial.
	Hold time.Duration
	// MaxGap is the greatest time between two samples that still tells a difference.
	MaxGap time.Duration
	// LeastShare is the least share of full speed at which a task that is held back still
	// counts.
	LeastShare float64
}

// DefaultConfig returns the bounds used by the owner.
func DefaultConfig() Config {
	return Config{
		Still:        700 * time.Millisecond,
		StillPercent: 15,
		Slow:         0.4,
		Evidence:     600 * time.Millisecond,
		Memory:       time.Second,
		Usual:        30 * time.Second,
		Hold:         4 * time.Second,
		MaxGap:       time.Second,
		LeastShare:   0.2,
	}
}

// Verdict is how an executor works.
type Verdict string

// Verdicts.
const (
	Sound Verdict = ""
	Slow  Verdict = "slow"
	Still Verdict = "still"
)

// Progress is the progress of one task.
type Progress struct {
	// Task tells the tasks of an executor apart.
	Task string
	// Percent is how much of it is done.
	Percent int
	// Estimate is how long it is expected to take at full speed.
	Estimate time.Duration
	// Share is the share of full speed that it may have, 0 to 1.
	Share float64
	// Rough means that Share is hardly known: the task tells whether the executor works,
	// but not how fast.
	Rough bool
}

// ratio is work that was done, and that was expected in the same time, in seconds. Both
// fade.
type ratio struct {
	done, expected float64
}

func (r *ratio) fade(passed, constant time.Duration) {
	left := math.Exp(-passed.Seconds() / constant.Seconds())
	r.done *= left
	r.expected *= left
}

func (r *ratio) add(done, expected float64) {
	r.done += done
	r.expected += expected
}

// Bounds of the ratio that counts as usual: estimates are off by less than that.
const (
	leastUsual = 0.4
	mostUsual  = 2.5
)

// executor is what was seen of one executor.
type executor struct {
	at       time.Time
	percents map[string]int
	speed    ratio
	stillFor time.Duration
	missed   float64
	verdict  Verdict
	judgedAt time.Time
}

// Monitor is what was seen of all executors.
type Monitor struct {
	config    Config
	executors map[string]*executor
	usual     ratio
	usualAt   time.Time
}

// New returns a monitor that has seen nothing.
func New(config Config) *Monitor {
	return &Monitor{config: config, executors: map[string]*executor{}}
}

// Observe takes a sample of an executor's tasks. A sample that is not fresh, as the
// executor has not answered lately, tells nothing.
func (m *Monitor) Observe(now time.Time, id string, fresh bool, tasks []Progress) {
	e := m.executors[id]
	if e == nil {
		e = &executor{}
		m.executors[id] = e
	}
	passed := now.Sub(e.at)
	if fresh && passed <= 0 {
		return
	}
	if fresh && passed <= m.config.MaxGap {
		m.compare(now, passed, e, tasks)
	} else {
		e.stillFor, e.missed = 0, 0
	}
	e.at = now
	e.percents = make(map[string]int, len(tasks))
	for _, t := range tasks {
		e.percents[t.Task] = t.Percent
	}
}

// compare takes the difference between two samples.
func (m *Monitor) compare(now time.Time, passed time.Duration, e *executor, tasks []Progress) {
	e.speed.fade(passed, m.config.Memory)
	m.usual.fade(now.Sub(m.usualAt), m.config.Usual)
	m.usualAt = now
	seen, moved, missed := false, false, 0.0
	for _, t := range tasks {
		before, known := e.percents[t.Task]
		if !known || t.Estimate <= 0 || t.Share < m.config.LeastShare || before >= full {
			continue
		}
		seen = true
		expected := t.Share * passed.Seconds()
		missed = max(missed, full*expected/t.Estimate.Seconds())
		done := float64(t.Percent-before) / full * t.Estimate.Seconds()
		moved = moved || done > 0
		if !t.Rough {
			e.speed.add(done, expected)
			m.usual.add(done, expected)
		}
	}
	switch {
	case moved:
		e.stillFor, e.missed = 0, 0
	case seen:
		e.stillFor += passed
		e.missed += missed
	}
	m.judge(now, e, moved)
}

// full is the percentage of a task that is done.
const full = 100

// judge draws the verdict.
func (m *Monitor) judge(now time.Time, e *executor, moved bool) {
	switch {
	case e.stillFor >= m.config.Still && e.missed >= m.config.StillPercent:
		e.verdict, e.judgedAt = Still, now
	case e.speed.expected >= m.config.Evidence.Seconds() && e.speed.done < m.config.Slow*m.usually()*e.speed.expected && moved:
		e.verdict, e.judgedAt = Slow, now
	case moved && e.verdict == Still:
		e.verdict = Sound
	}
}

// usually returns the ratio of done to expected work that all executors have.
func (m *Monitor) usually() float64 {
	if m.usual.expected < m.config.Evidence.Seconds() {
		return 1
	}
	return min(max(m.usual.done/m.usual.expected, leastUsual), mostUsual)
}

// Verdict returns how an executor works.
func (m *Monitor) Verdict(now time.Time, id string) Verdict {
	e := m.executors[id]
	if e == nil || now.Sub(e.judgedAt) > m.config.Hold {
		return Sound
	}
	return e.verdict
}

// Speed returns the share of the usual speed, 0 to 1, that an executor had lately; 1 when
// little was seen.
func (m *Monitor) Speed(id string) float64 {
	e := m.executors[id]
	if e == nil || e.speed.expected < m.config.Evidence.Seconds() {
		return 1
	}
	return min(1, max(0, e.speed.done/e.speed.expected/m.usually()))
}

// Forget drops what was seen of an executor that is gone.
func (m *Monitor) Forget(id string) { delete(m.executors, id) }

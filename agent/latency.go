package agent

import (
	"math"
	"slices"
	"time"
)

const (
	// latencyWindow is the number of latencies that a median is taken of.
	latencyWindow = 32
	// baselineEvery is the number of latencies after which the undisturbed latency
	// is estimated anew.
	baselineEvery = 8
	// baselineRank divides the window: the undisturbed latency is taken for the one
	// that an eighth of the window is below.
	baselineRank = 8
	// baselineHalfLife is the time in which the undisturbed latency moves half the
	// way up to what the window shows.
	baselineHalfLife = 30 * time.Minute
	// undisturbed is the slowdown of a target that nothing disturbs, in thousandths.
	undisturbed = 1000
)

// latencies keeps the latest latencies of a target.
type latencies struct {
	recent []time.Duration
	next   int
	lastAt time.Time

	added      int
	baseline   time.Duration
	baselineAt time.Time
}

func (l *latencies) add(now time.Time, latency time.Duration) {
	l.lastAt = now
	if len(l.recent) < latencyWindow {
		l.recent = append(l.recent, latency)
	} else {
		l.recent[l.next] = latency
		l.next = (l.next + 1) % latencyWindow
	}
	l.added++
	if l.added%baselineEvery == 0 {
		l.learn(now)
	}
}

// learn moves the undisturbed latency: down to the low latencies of the window at
// once, and up to them slowly, so that a lasting change of the target itself is
// no disturbance for ever.
func (l *latencies) learn(now time.Time) {
	low := l.sorted()[len(l.recent)/baselineRank]
	if l.baseline == 0 || low <= l.baseline {
		l.baseline = low
	} else {
		kept := math.Exp2(-float64(now.Sub(l.baselineAt)) / float64(baselineHalfLife))
		l.baseline = low - time.Duration(kept*float64(low-l.baseline))
	}
	l.baselineAt = now
}

func (l *latencies) sorted() []time.Duration {
	sorted := slices.Clone(l.recent)
	slices.Sort(sorted)
	return sorted
}

// median returns the median of the window and the age of its latest latency.
func (l *latencies) median(now time.Time) (median, lag time.Duration) {
	if len(l.recent) == 0 {
		return 0, 0
	}
	return l.sorted()[len(l.recent)/2], now.Sub(l.lastAt)
}

// slowdown returns the median against the undisturbed latency, in thousandths and
// never below 1000; 0 while too few latencies are known.
func (l *latencies) slowdown(median time.Duration) int {
	if l.baseline <= 0 {
		return 0
	}
	return max(undisturbed, int(undisturbed*median/l.baseline))
}

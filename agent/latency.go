package agent

import (
	"math"
	"slices"
	"time"
)

const (
	// latencyWindow is the number of latencies in the median.
	latencyWindow = 32
	// baselineInterval is the number of latencies between updates of the baseline.
	baselineInterval = 8
	// baselineDivisor selects the window's low latency: the one that an eighth of the window is
	// below.
	baselineDivisor = 8
	// baselineHalfLife is the time in which the baseline rises half the way to the window's low
	// latency.
	baselineHalfLife = 30 * time.Minute
	// undisturbedPermille is the slowdown of a target without interference, in thousandths.
	undisturbedPermille = 1000
)

// latencies holds the latest latencies of a target and its baseline: an estimate of the latency
// without interference.
type latencies struct {
	recent []time.Duration
	oldest int
	lastAt time.Time

	count      int
	baseline   time.Duration
	baselineAt time.Time
}

func (l *latencies) add(now time.Time, latency time.Duration) {
	l.lastAt = now
	if len(l.recent) < latencyWindow {
		l.recent = append(l.recent, latency)
	} else {
		l.recent[l.oldest] = latency
		l.oldest = (l.oldest + 1) % latencyWindow
	}
	l.count++
	if l.count%baselineInterval == 0 {
		l.updateBaseline(now)
	}
}

// updateBaseline lowers the baseline to the window's low latency at once, but raises it to there
// only slowly, so that a permanent change of the target itself does not count as interference
// forever.
func (l *latencies) updateBaseline(now time.Time) {
	low := l.sorted()[len(l.recent)/baselineDivisor]
	if l.baseline == 0 || low <= l.baseline {
		l.baseline = low
	} else {
		remaining := math.Exp2(-float64(now.Sub(l.baselineAt)) / float64(baselineHalfLife))
		l.baseline = low - time.Duration(remaining*float64(low-l.baseline))
	}
	l.baselineAt = now
}

func (l *latencies) sorted() []time.Duration {
	sorted := slices.Clone(l.recent)
	slices.Sort(sorted)
	return sorted
}

// median returns the median of the window and the time since the latest latency was added.
func (l *latencies) median(now time.Time) (median, lag time.Duration) {
	if len(l.recent) == 0 {
		return 0, 0
	}
	return l.sorted()[len(l.recent)/2], now.Sub(l.lastAt)
}

// slowdown returns the ratio of median to the baseline, in thousandths and at least 1000. It
// returns 0 while there is no baseline yet.
func (l *latencies) slowdown(median time.Duration) int {
	if l.baseline <= 0 {
		return 0
	}
	return max(undisturbedPermille, int(undisturbedPermille*median/l.baseline))
}

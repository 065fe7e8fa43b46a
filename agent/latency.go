package agent

import (
	"slices"
	"time"
)

// latencyWindow is the number of latencies that a median is taken of.
const latencyWindow = 32

// latencies keeps the latest latencies of a target.
type latencies struct {
	recent []time.Duration
	next   int
	lastAt time.Time
}

func (l *latencies) add(now time.Time, latency time.Duration) {
	l.lastAt = now
	if len(l.recent) < latencyWindow {
		l.recent = append(l.recent, latency)
		return
	}
	l.recent[l.next] = latency
	l.next = (l.next + 1) % latencyWindow
}

// median returns the median of the window and the age of its latest latency.
func (l *latencies) median(now time.Time) (median, lag time.Duration) {
	if len(l.recent) == 0 {
		return 0, 0
	}
	sorted := slices.Clone(l.recent)
	slices.Sort(sorted)
	return sorted[len(sorted)/2], now.Sub(l.lastAt)
}

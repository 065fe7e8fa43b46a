package agent

import "time"

// Latencies keeps the latest latencies of a target.
type Latencies struct{ latencies }

// Add takes a latency.
func (l *Latencies) Add(now time.Time, latency time.Duration) { l.add(now, latency) }

// Slowdown returns the slowdown of the median, in thousandths.
func (l *Latencies) Slowdown(now time.Time) int {
	median, _ := l.median(now)
	return l.slowdown(median)
}

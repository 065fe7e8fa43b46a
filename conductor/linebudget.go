package conductor

import "time"

// linePeriod is the period in which the lines about one kind of decision are bounded.
const linePeriod = time.Second

// lineBudget counts the lines of the linePeriod that began at since, and those that were left out since the last line.
type lineBudget struct {
	since   time.Time
	lines   int
	omitted int
}

// take reports whether one more line may be logged, of most in a period, and how many were left out before it.
func (b *lineBudget) take(now time.Time, most int) (omitted int, ok bool) {
	if now.Sub(b.since) >= linePeriod {
		b.since, b.lines = now, 0
	}
	if b.lines >= most {
		b.omitted++
		return 0, false
	}
	b.lines++
	omitted, b.omitted = b.omitted, 0
	return omitted, true
}

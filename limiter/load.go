package limiter

import (
	"math"

	"apricotwinch"
)

// load is the requests of one service in flight against what its targets hold.
type load struct {
	slots       int
	connections int
	entries     int
	others      int
	limits      [apricotwinch.Critical + 1]int
	hard        int
	inFlight    [apricotwinch.Critical + 1]int
}

// unknownOthers stands for requests of other entries of which nothing is known;
// they leave an equal share.
const unknownOthers = math.MaxInt32

// setLimits computes the bounds of this entry.
func (l *load) setLimits(config Config) {
	for urgency, share := range config.shares {
		l.limits[urgency] = l.portion(share * float64(l.slots))
	}
	l.hard = l.portion(float64(l.connections))
}

// portion returns the part of total for this entry: what the others leave, and
// at least an equal share.
func (l *load) portion(total float64) int {
	equal := total / float64(l.entries)
	return int(math.Ceil(max(equal, total-float64(l.others))))
}

func (l *load) total() int {
	total := 0
	for _, n := range l.inFlight {
		total += n
	}
	return total
}

// admits reports whether a request of urgency may be sent.
//
// A critical request gives way to other critical ones only: while a request of
// another urgency is in flight, it is refused only when no connection is left.
func (l *load) admits(urgency apricotwinch.Urgency) bool {
	total := l.total()
	if total >= l.hard {
		return false
	}
	if urgency == apricotwinch.Critical && total > l.inFlight[urgency] {
		return true
	}
	return total < l.limits[urgency]
}

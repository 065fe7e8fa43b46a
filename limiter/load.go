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

// unknownOthers stands for requests of other entries of which nothing is known.
const unknownOthers = -1

// setLimits computes the bounds of this entry. Critical requests have at least an
// equal share; others only what is left, so that they don't take the places of
// critical requests at another entry.
func (l *load) setLimits(config Config) {
	slots := float64(l.slots)
	for urgency, share := range config.shares {
		l.limits[urgency] = l.left(share * slots)
	}
	critical := config.shares[apricotwinch.Critical]
	l.limits[apricotwinch.Critical] = max(l.limits[apricotwinch.Critical], l.equal(critical*slots))
	l.hard = max(l.left(float64(l.connections)), l.equal(float64(l.connections)))
}

// equal returns an equal part of total, rounded up.
func (l *load) equal(total float64) int {
	return int(math.Ceil(total / float64(l.entries)))
}

// left returns what the other entries leave of total, at least 1; an equal part
// when nothing is known of them.
func (l *load) left(total float64) int {
	if l.others == unknownOthers {
		return l.equal(total)
	}
	return max(1, int(total)-l.others)
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

package limiter

import (
	"math"

	"apricotwinch"
)

// load is the requests of one service in flight against what its targets hold.
type load struct {
	limits   [apricotwinch.Critical + 1]int
	hard     int
	inFlight [apricotwinch.Critical + 1]int
}

// setLimits sets the bounds of one of entries entries that share the service.
func (l *load) setLimits(config Config, slots, connections, entries int) {
	for urgency, share := range config.shares {
		l.limits[urgency] = portion(share*float64(slots), entries)
	}
	l.hard = portion(float64(connections), entries)
}

// portion returns the part of total for one of entries, rounded up.
func portion(total float64, entries int) int {
	return int(math.Ceil(total / float64(entries)))
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

package limiter

import (
	"math"

	"apricotwinch"
)

// load holds the capacity of one service, the limits of this entry, and the requests
// that this entry has in flight.
type load struct {
	slots         int
	connections   int
	entries       int
	otherRequests int
	limits        [apricotwinch.Critical + 1]int
	hardLimit     int
	inFlight      [apricotwinch.Critical + 1]int
}

// unknownOtherRequests is the number of requests of other entries if there is no
// estimate.
const unknownOtherRequests = -1

// updateLimits computes the limits of this entry. Critical requests get at least an
// equal share. Less urgent ones only get the capacity left by other entries, so that
// they don't displace critical requests of another entry.
func (l *load) updateLimits(config Config) {
	slots := float64(l.slots)
	for urgency, share := range config.shares {
		l.limits[urgency] = l.remaining(share * slots)
	}
	critical := config.shares[apricotwinch.Critical]
	l.limits[apricotwinch.Critical] = max(l.limits[apricotwinch.Critical], l.equalShare(critical*slots))
	l.hardLimit = max(l.remaining(float64(l.connections)), l.equalShare(float64(l.connections)))
}

// equalShare returns this entry's equal share of total, rounded up.
func (l *load) equalShare(total float64) int {
	return int(math.Ceil(total / float64(l.entries)))
}

// remaining returns the part of total that other entries don't use, at least 1. It
// returns an equal share if there is no estimate of their requests.
func (l *load) remaining(total float64) int {
	if l.otherRequests == unknownOtherRequests {
		return l.equalShare(total)
	}
	return max(1, int(total)-l.otherRequests)
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
// Only other critical requests can exhaust the limit of critical ones: while a less
// urgent request is in flight, a critical one is refused only if no connection is left.
func (l *load) admits(urgency apricotwinch.Urgency) bool {
	total := l.total()
	if total >= l.hardLimit {
		return false
	}
	if urgency == apricotwinch.Critical && total > l.inFlight[urgency] {
		return true
	}
	return total < l.limits[urgency]
}

package ranker

import (
	"math"
	"time"
)

// service compares the work that is served with the room that was expected for it, so that an error of
// all estimates together, of the room and of durations, doesn't lead to plans that come to nothing.
type service struct {
	// factor is the smoothed ratio of the two while there was more work than room.
	factor float64
	// contended is whether that was so at the last ranking, which was at rankedAt, and done the
	// work, in processor seconds, that ended since with its workload.
	contended bool
	rankedAt  time.Time
	done      float64
}

// maxObservedGap is the time between two rankings up to which the work that ended between them tells the rate of
// service. Nothing waits in a longer pause, so that little is served.
const maxObservedGap = time.Second

// observe updates the factor by the work that is left of best-effort workloads.
func (s *service) observe(now time.Time, entries []*entry, room Room, config Config) {
	done, elapsed := s.done, now.Sub(s.rankedAt)
	began := s.rankedAt
	s.done, s.rankedAt = 0, now
	for _, e := range entries {
		if e.candidate.Previous.Feasibility != NotRanked {
			done += e.candidate.Previous.left - e.candidate.Left.ProcessorSeconds
		}
	}
	if began.IsZero() || elapsed <= 0 || elapsed > maxObservedGap || room.Processors <= 0 {
		return
	}
	ratio := 1.0
	if s.contended {
		ratio = done / (elapsed.Seconds() * room.Processors)
	}
	weight := -math.Expm1(-min(elapsed, config.ServiceMemory).Seconds() / config.ServiceMemory.Seconds())
	s.factor += weight * (ratio - s.factor)
	s.factor = min(max(s.factor, config.MinServiceFactor), 1)
}

package router

import (
	"container/heap"
	"time"

	"apricotwinch"
)

// A target that fails is ejected: it gets no requests for a time that doubles with
// each ejection. It is then on probation and gets one request at a time until one
// succeeds, which begins its slow start.

const (
	// maxFailureRate is the failure rate from which a target is ejected even if its
	// failures aren't consecutive.
	maxFailureRate = 0.5
	// ejectionResetFactor times the longest ejection is the time without an ejection
	// after which earlier ejections of a target no longer count.
	ejectionResetFactor = 2
)

// recordFailure counts a failure and ejects the target if it failed too often.
func (r *Router) recordFailure(now time.Time, s *targetState) Event {
	s.health.recordFailure(now)
	if s.health.ejected || s.removed {
		return ""
	}
	if !s.health.onProbation && s.health.consecutiveFailures < r.config.failures && s.health.failureRate < maxFailureRate {
		return ""
	}
	if !s.health.onProbation && s.pool.ejected >= r.maxEjected(s.pool) {
		return EjectionCapped
	}
	r.eject(now, s)
	return Ejected
}

// maxEjected returns how many targets of a pool may be ejected at once.
func (r *Router) maxEjected(p *pool) int {
	if p.size < 2 {
		return 0
	}
	return max(1, int(r.config.ejectedShare*float64(p.size)))
}

func (r *Router) eject(now time.Time, s *targetState) {
	h := &s.health
	if !h.returnedAt.IsZero() && now.Sub(h.returnedAt) > ejectionResetFactor*r.config.maxEjection {
		h.ejectionCount = 0
	}
	if !h.onProbation {
		s.pool.ejected++
	}
	h.ejected, h.onProbation = true, false
	h.ejectedUntil = now.Add(apricotwinch.ExponentialBackoff(r.config.ejection, r.config.maxEjection, h.ejectionCount))
	h.ejectionCount++
	heap.Push(&r.ejections, s)
}

// endEjections puts the targets whose ejection is over on probation. They count
// towards the limit of ejected targets until they succeed.
func (r *Router) endEjections(now time.Time) {
	for len(r.ejections) > 0 && !now.Before(r.ejections[0].health.ejectedUntil) {
		s := heap.Pop(&r.ejections).(*targetState)
		s.health.ejected, s.health.onProbation = false, true
		s.health.reset()
		r.refresh(now, s)
	}
}

// restore ends the probation of a target that succeeded and begins its slow start.
func (r *Router) restore(now time.Time, s *targetState) Event {
	if !s.health.onProbation || s.removed {
		return ""
	}
	s.health.onProbation = false
	s.health.returnedAt = now
	s.pool.ejected--
	s.beginSlowStart(now)
	return Restored
}

// ejectionHeap is a heap of ejected targets, ordered by the end of their ejection,
// then by host and service.
type ejectionHeap []*targetState

// Len returns the number of targets.
func (e ejectionHeap) Len() int { return len(e) }

// Less orders targets by the end of their ejection, then by host and service.
func (e ejectionHeap) Less(i, j int) bool {
	a, b := e[i], e[j]
	if !a.health.ejectedUntil.Equal(b.health.ejectedUntil) {
		return a.health.ejectedUntil.Before(b.health.ejectedUntil)
	}
	if a.host != b.host {
		return a.host < b.host
	}
	return a.service.String() < b.service.String()
}

// Swap exchanges two targets.
func (e ejectionHeap) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push adds a target at the end; for package heap only.
func (e *ejectionHeap) Push(x any) { *e = append(*e, x.(*targetState)) }

// Pop removes the last target; for package heap only.
func (e *ejectionHeap) Pop() any {
	old := *e
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*e = old[:len(old)-1]
	return last
}

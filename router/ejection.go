package router

import (
	"container/heap"
	"time"

	"apricotwinch"
)

// Ejection of targets that fail: a target leaves the choice for a time that
// doubles with each ejection, then gets one request at a time until one
// succeeds, then starts slowly.

const (
	// maxFailureRate is the failure rate over which a target is ejected though its
	// failures are not in a row.
	maxFailureRate = 0.5
	// forgiveAfter is the number of longest ejections after which a healthy target's
	// earlier ejections no longer count.
	forgiveAfter = 2
)

// failed counts a failure and ejects the target when it failed too often.
func (r *Router) failed(now time.Time, s *state) Event {
	s.health.fail(now)
	if s.health.ejected || s.removed {
		return ""
	}
	if !s.health.probing && s.health.inARow < r.config.failures && s.health.failureRate < maxFailureRate {
		return ""
	}
	if !s.health.probing && s.pool.ejected >= r.ejectable(s.pool) {
		return EjectionCapped
	}
	r.eject(now, s)
	return Ejected
}

// ejectable returns how many targets of a pool may be ejected at once.
func (r *Router) ejectable(p *pool) int {
	if p.size < 2 {
		return 0
	}
	return max(1, int(r.config.ejectedShare*float64(p.size)))
}

func (r *Router) eject(now time.Time, s *state) {
	h := &s.health
	if !h.returnedAt.IsZero() && now.Sub(h.returnedAt) > forgiveAfter*r.config.maxEjection {
		h.ejections = 0
	}
	if !h.probing {
		s.pool.ejected++
	}
	h.ejected, h.probing = true, false
	h.due = now.Add(apricotwinch.Doubled(r.config.ejection, r.config.maxEjection, h.ejections))
	h.ejections++
	heap.Push(&r.ejections, s)
}

// advance lets the targets whose ejection is over prove themselves. They count
// as ejected until they do.
func (r *Router) advance(now time.Time) {
	for len(r.ejections) > 0 && !now.Before(r.ejections[0].health.due) {
		s := heap.Pop(&r.ejections).(*state)
		s.health.ejected, s.health.probing = false, true
		s.health.forget()
		r.refresh(now, s)
	}
}

// restore ends the probation of a target that succeeded.
func (r *Router) restore(now time.Time, s *state) Event {
	if !s.health.probing || s.removed {
		return ""
	}
	s.health.probing = false
	s.health.returnedAt = now
	s.pool.ejected--
	s.start(now)
	return Restored
}

// ejections is a heap of ejected targets by the end of their ejection, then name.
type ejections []*state

// Len returns the number of targets.
func (e ejections) Len() int { return len(e) }

// Less orders targets by the end of their ejection, then by service and host.
func (e ejections) Less(i, j int) bool {
	a, b := e[i], e[j]
	if !a.health.due.Equal(b.health.due) {
		return a.health.due.Before(b.health.due)
	}
	if a.host != b.host {
		return a.host < b.host
	}
	return a.service.String() < b.service.String()
}

// Swap exchanges two targets.
func (e ejections) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push adds a target at the end; for package heap only.
func (e *ejections) Push(x any) { *e = append(*e, x.(*state)) }

// Pop removes the last target; for package heap only.
func (e *ejections) Pop() any {
	old := *e
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*e = old[:len(old)-1]
	return last
}

package router

import (
	"time"

	"apricotwinch/tracker"
)

// Capacity is the number of requests that the usable targets of a service can hold.
type Capacity struct {
	targets       int
	slots         int
	connections   int
	otherRequests int
}

// Targets returns the number of usable targets.
func (c Capacity) Targets() int { return c.targets }

// Slots returns the number of requests that run at once.
func (c Capacity) Slots() int { return c.slots }

// Connections returns the number of requests that run or wait at once.
func (c Capacity) Connections() int { return c.connections }

// OtherRequests returns an estimate of the requests at the targets that other routers sent.
func (c Capacity) OtherRequests() int { return c.otherRequests }

func (c Capacity) add(o Capacity) Capacity {
	return Capacity{
		targets:       c.targets + o.targets,
		slots:         c.slots + o.slots,
		connections:   c.connections + o.connections,
		otherRequests: c.otherRequests + o.otherRequests,
	}
}

func (c Capacity) sub(o Capacity) Capacity {
	return Capacity{
		targets:       c.targets - o.targets,
		slots:         c.slots - o.slots,
		connections:   c.connections - o.connections,
		otherRequests: c.otherRequests - o.otherRequests,
	}
}

// Capacity returns the total capacity of the targets of a service, without those
// that are suspected, draining, ejected, or in a data centre that gets no requests.
// A slow target counts with fewer slots. The cost of a call doesn't grow with the
// number of targets.
func (r *Router) Capacity(now time.Time, service tracker.Service) Capacity {
	r.endEjections(now)
	if p := r.pools[service]; p != nil {
		return p.capacity
	}
	return Capacity{}
}

// contribution returns the capacity that a target adds to its service.
func (r *Router) contribution(s *targetState) Capacity {
	if s.removed || s.group.disabled || s.class == classUnavailable || s.class == classSuspected {
		return Capacity{}
	}
	slowness := s.pool.baseline.slowness(s.health.latency, r.config.slownessFactor)
	return Capacity{
		targets:       1,
		slots:         max(1, int(float64(s.slots)/slowness)),
		connections:   s.connections,
		otherRequests: s.otherRequests,
	}
}

// updateCapacity replaces the contribution of a target to the capacity of its service.
func (r *Router) updateCapacity(s *targetState) {
	s.pool.capacity = s.pool.capacity.sub(s.countedCapacity)
	s.countedCapacity = r.contribution(s)
	s.pool.capacity = s.pool.capacity.add(s.countedCapacity)
}

package router

import (
	"time"

	"apricotwinch/tracker"
)

// Capacity is what the usable targets of a service can hold.
type Capacity struct {
	targets     int
	slots       int
	connections int
	others      int
}

// Targets returns the number of usable targets.
func (c Capacity) Targets() int { return c.targets }

// Slots returns the number of requests that run at once.
func (c Capacity) Slots() int { return c.slots }

// Connections returns the number of requests that run or wait at once.
func (c Capacity) Connections() int { return c.connections }

// Others returns the estimate of the requests at the targets that this router did
// not send.
func (c Capacity) Others() int { return c.others }

func (c Capacity) add(o Capacity) Capacity {
	return Capacity{
		targets:     c.targets + o.targets,
		slots:       c.slots + o.slots,
		connections: c.connections + o.connections,
		others:      c.others + o.others,
	}
}

func (c Capacity) sub(o Capacity) Capacity {
	return Capacity{
		targets:     c.targets - o.targets,
		slots:       c.slots - o.slots,
		connections: c.connections - o.connections,
		others:      c.others - o.others,
	}
}

// Capacity returns what the targets of a service hold that are neither
// suspected, draining, ejected nor in a data centre that is out; a slow target
// counts for less. Its cost doesn't grow with the number of targets.
func (r *Router) Capacity(now time.Time, service tracker.Service) Capacity {
	r.advance(now)
	if p := r.pools[service]; p != nil {
		return p.capacity
	}
	return Capacity{}
}

// contribution returns what a target adds to the capacity of its service.
func (r *Router) contribution(s *state) Capacity {
	if s.removed || s.group.out || s.class == classClosed || s.class == classSuspected {
		return Capacity{}
	}
	slowness := s.pool.baseline.slowness(s.health.latency, r.config.slownessFactor)
	return Capacity{
		targets:     1,
		slots:       max(1, int(float64(s.slots)/slowness)),
		connections: s.connections,
		others:      s.others,
	}
}

// recount brings the capacity of a target's service up to date.
func (r *Router) recount(s *state) {
	s.pool.capacity = s.pool.capacity.sub(s.counted)
	s.counted = r.contribution(s)
	s.pool.capacity = s.pool.capacity.add(s.counted)
}

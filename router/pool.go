package router

import (
	"time"

	"apricotwinch/tracker"
)

// class is how ready a target is for one more request.
type class int

const (
	// classFree is a target with a free slot.
	classFree class = iota
	// classBusy is a target whose slots are taken and that has connections left.
	classBusy
	// classSuspected is a target of a suspected host, used when no other is left.
	classSuspected
	// classFull is a target without a connection left.
	classFull
	// classClosed is a target that must get nothing.
	classClosed
	classes
)

// group holds the targets of one service in one data centre, by their class.
type group struct {
	dataCentre string
	region     string
	out        bool
	members    []*state
	byClass    [classes][]*state
}

// enter adds a target that joined.
func (g *group) enter(s *state) {
	s.group = g
	s.member = len(g.members)
	g.members = append(g.members, s)
	s.class = classClosed
	g.list(s)
}

// leave takes out a target that left.
func (g *group) leave(s *state) {
	g.unlist(s)
	last := g.members[len(g.members)-1]
	g.members[s.member] = last
	last.member = s.member
	g.members = g.members[:len(g.members)-1]
	s.removed = true
}

func (g *group) list(s *state) {
	s.position = len(g.byClass[s.class])
	g.byClass[s.class] = append(g.byClass[s.class], s)
}

func (g *group) unlist(s *state) {
	list := g.byClass[s.class]
	last := list[len(list)-1]
	list[s.position] = last
	last.position = s.position
	g.byClass[s.class] = list[:len(list)-1]
}

// move puts a target into another class.
func (g *group) move(s *state, to class) {
	if s.class == to {
		return
	}
	g.unlist(s)
	s.class = to
	g.list(s)
}

// pool holds the targets of one service.
type pool struct {
	service  tracker.Service
	groups   []*group
	since    time.Time
	size     int
	ejected  int
	capacity Capacity
	baseline baseline
}

// group returns the group of a data centre, or nil.
func (p *pool) group(dataCentre string) *group {
	for _, g := range p.groups {
		if g.dataCentre == dataCentre {
			return g
		}
	}
	return nil
}

// classify returns the class of a target by now.
func (r *Router) classify(now time.Time, s *state) class {
	if s.slots == 0 || s.draining || s.health.ejected || s.withdrawn {
		return classClosed
	}
	if s.health.probing && s.inFlight > 0 {
		return classClosed
	}
	if s.outstanding() >= s.connections {
		return classFull
	}
	if s.suspected {
		return classSuspected
	}
	if float64(s.outstanding()) >= s.effectiveSlots(now, r.config.slowStart) {
		return classBusy
	}
	return classFree
}

// refresh puts a target into the class that it has by now and counts it there.
func (r *Router) refresh(now time.Time, s *state) {
	if s.removed {
		return
	}
	s.group.move(s, r.classify(now, s))
	r.recount(s)
}

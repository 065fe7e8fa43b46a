package router

import (
	"time"

	"apricotwinch/tracker"
)

// class is whether a target can take one more request, by its load and state.
type class int

const (
	// classFree is a target with a free slot.
	classFree class = iota
	// classBusy is a target without a free slot that has connections left.
	classBusy
	// classSuspected is a target of a suspected host, used only if no other is left.
	classSuspected
	// classFull is a target without a connection left.
	classFull
	// classUnavailable is a target that must get no requests.
	classUnavailable
	classCount
)

// group holds the targets of one service in one data centre, by their class. A
// disabled group gets no requests.
type group struct {
	dataCentre string
	region     string
	disabled   bool
	targets    []*targetState
	byClass    [classCount][]*targetState
}

// add adds a new target as unavailable.
func (g *group) add(s *targetState) {
	s.group = g
	s.targetIndex = len(g.targets)
	g.targets = append(g.targets, s)
	s.class = classUnavailable
	g.addToClass(s)
}

// remove removes a target from the group and marks it as removed.
func (g *group) remove(s *targetState) {
	g.removeFromClass(s)
	last := g.targets[len(g.targets)-1]
	g.targets[s.targetIndex] = last
	last.targetIndex = s.targetIndex
	g.targets = g.targets[:len(g.targets)-1]
	s.removed = true
}

func (g *group) addToClass(s *targetState) {
	s.classIndex = len(g.byClass[s.class])
	g.byClass[s.class] = append(g.byClass[s.class], s)
}

func (g *group) removeFromClass(s *targetState) {
	list := g.byClass[s.class]
	last := list[len(list)-1]
	list[s.classIndex] = last
	last.classIndex = s.classIndex
	g.byClass[s.class] = list[:len(list)-1]
}

// setClass moves a target to a class.
func (g *group) setClass(s *targetState, to class) {
	if s.class == to {
		return
	}
	g.removeFromClass(s)
	s.class = to
	g.addToClass(s)
}

// pool holds the targets of one service.
type pool struct {
	service   tracker.Service
	groups    []*group
	createdAt time.Time
	size      int
	ejected   int
	capacity  Capacity
	baseline  baseline
}

// group returns the group of a data centre, or nil if there is none.
func (p *pool) group(dataCentre string) *group {
	for _, g := range p.groups {
		if g.dataCentre == dataCentre {
			return g
		}
	}
	return nil
}

// classify returns the class of a target at now.
func (r *Router) classify(now time.Time, s *targetState) class {
	if s.slots == 0 || s.draining || s.health.ejected || s.withdrawn {
		return classUnavailable
	}
	if s.health.onProbation && s.inFlight > 0 {
		return classUnavailable
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

// refresh updates the class of a target and its contribution to the capacity.
func (r *Router) refresh(now time.Time, s *targetState) {
	if s.removed {
		return
	}
	s.group.setClass(s, r.classify(now, s))
	r.updateCapacity(s)
}

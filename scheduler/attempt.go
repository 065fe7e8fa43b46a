package scheduler

import (
	"container/list"
	"time"

	"apricotwinch"
	"apricotwinch/bookkeeper"
	"apricotwinch/messenger"
)

// attempt is an assigned attempt of the book with what the owner knows of its lease.
type attempt struct {
	id          apricotwinch.AttemptID
	job         *bookkeeper.Job
	host        string
	incarnation string
	dataCentre  string
	need        apricotwinch.Resources
	// grantedUntil is when every lease that was granted is provably over.
	grantedUntil time.Time
	// accepted is whether the agent has accepted or reported the attempt.
	accepted bool
	// assignedAt is when the assignment was last sent.
	assignedAt time.Time
	// final is the record that ends the attempt, once its end is known.
	final *messenger.LedgerRecord
	// finalInFlight is whether final is being appended.
	finalInFlight bool
	// stop is why the attempt must stop, or "".
	stop string
	// stopAt is when the stop command was last sent.
	stopAt time.Time
	// throttle is the share of its processors that it keeps.
	throttle throttle
}

func newAttempt(job *bookkeeper.Job, task int) *attempt {
	t := job.Task(task)
	return &attempt{
		id:          apricotwinch.NewAttemptID(job.ID(), task, t.Attempt()),
		job:         job,
		host:        t.Host(),
		incarnation: t.Incarnation(),
		dataCentre:  t.DataCentre(),
		need:        job.Need(),
		throttle:    throttle{wanted: unthrottled, told: unthrottled},
	}
}

// grant notes a lease that may run until until. An agent that has seen the
// owner's epoch obeys no other owner, so that older grants no longer count.
func (a *attempt) grant(until time.Time, fenced bool) {
	if fenced || until.After(a.grantedUntil) {
		a.grantedUntil = until
	}
}

// attemptSet holds attempts in order of their assignment.
type attemptSet struct {
	order *list.List
	index map[apricotwinch.AttemptID]*list.Element
}

func newAttemptSet() *attemptSet {
	return &attemptSet{order: list.New(), index: make(map[apricotwinch.AttemptID]*list.Element)}
}

func (s *attemptSet) add(a *attempt) { s.index[a.id] = s.order.PushBack(a) }

func (s *attemptSet) remove(id apricotwinch.AttemptID) {
	element, ok := s.index[id]
	if !ok {
		return
	}
	s.order.Remove(element)
	delete(s.index, id)
}

func (s *attemptSet) get(id apricotwinch.AttemptID) *attempt {
	element, ok := s.index[id]
	if !ok {
		return nil
	}
	return element.Value.(*attempt)
}

func (s *attemptSet) len() int { return s.order.Len() }

// each calls f for every attempt in order of assignment until f returns false.
func (s *attemptSet) each(f func(*attempt) bool) {
	for e := s.order.Front(); e != nil; {
		next := e.Next()
		if !f(e.Value.(*attempt)) {
			return
		}
		e = next
	}
}

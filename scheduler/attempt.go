package scheduler

import (
	"container/list"
	"time"

	"apricotwinch"
	"apricotwinch/bookkeeper"
	"apricotwinch/messenger"
)

// attempt is an assigned attempt of the state, together with what the owner knows about its
// lease.
type attempt struct {
	id          apricotwinch.AttemptID
	job         *bookkeeper.Job
	host        string
	incarnation string
	dataCentre  string
	need        apricotwinch.Resources
	// grantedUntil is the time after which every granted lease has certainly ended.
	grantedUntil time.Time
	// accepted is whether the agent has accepted the attempt or reported it.
	accepted bool
	// assignedAt is when the assignment was last sent.
	assignedAt time.Time
	// finalRecord is the record that ends the attempt, nil until the owner knows how it
	// ends.
	finalRecord *messenger.LedgerRecord
	// finalInFlight is whether the append of finalRecord is under way.
	finalInFlight bool
	// stopReason is why the attempt must stop; empty means that it need not.
	stopReason string
	// stopSentAt is when the stop command was last sent.
	stopSentAt time.Time
	// throttle is the share of its processors that the attempt may use.
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
		throttle:    throttle{desired: unthrottledPermille, acknowledged: unthrottledPermille},
	}
}

// grant records a lease that ends at until. With fenced set, the agent has seen the owner's
// epoch and rejects every other owner, so leases granted earlier no longer count.
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

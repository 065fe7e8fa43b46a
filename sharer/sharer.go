// Package sharer decides which waiting task starts next.
//
// A Sharer keeps a queue for each team and class. The more urgent class goes
// first; within a class, the team with the smallest weighted dominant share of
// the fleet. A team never gets more than its quota. One start in a few goes to
// the queue that has waited longest, so that none starves. Each step takes time
// logarithmic in the number of teams and of waiting tasks. A Sharer does no I/O
// and takes the time as an argument. It is not safe for concurrent use.
package sharer

import (
	"container/heap"
	"time"

	"apricotwinch"
)

// Sharer orders the starts of all teams.
type Sharer struct {
	config   Config
	total    apricotwinch.Resources
	teams    map[string]*team
	ranked   []*team
	entries  map[apricotwinch.AttemptID]*entry
	fair     map[apricotwinch.Urgency]*ordered[*lane]
	waiting  *ordered[*lane]
	delayed  *ordered[*entry]
	sequence uint64
	turns    uint64
}

// New returns a sharer without teams for a fleet of total resources.
func New(config Config, total apricotwinch.Resources) *Sharer {
	s := &Sharer{
		config:  config,
		total:   total,
		teams:   map[string]*team{},
		entries: map[apricotwinch.AttemptID]*entry{},
		fair:    map[apricotwinch.Urgency]*ordered[*lane]{},
		waiting: &ordered[*lane]{less: waitedLonger, position: func(l *lane) *int { return &l.waitingAt }},
		delayed: &ordered[*entry]{less: dueEarlier, position: func(e *entry) *int { return &e.position }},
	}
	for _, u := range urgencies {
		s.fair[u] = &ordered[*lane]{less: hasLess, position: func(l *lane) *int { return &l.fairAt }}
	}
	return s
}

// hasLess orders lanes by the share of their team, then by their last turn.
func hasLess(a, b *lane) bool {
	if a.team.share != b.team.share {
		return a.team.share < b.team.share
	}
	if a.turn != b.turn {
		return a.turn < b.turn
	}
	return a.team.number < b.team.number
}

func waitedLonger(a, b *lane) bool {
	first, second := a.waitingSince(), b.waitingSince()
	if !first.Equal(second) {
		return first.Before(second)
	}
	if a.team.number != b.team.number {
		return a.team.number < b.team.number
	}
	return a.urgency > b.urgency
}

func dueEarlier(a, b *entry) bool {
	if !a.due.Equal(b.due) {
		return a.due.Before(b.due)
	}
	return a.sequence < b.sequence
}

// SetTotal sets the resources of the fleet, of which shares are parts.
func (s *Sharer) SetTotal(total apricotwinch.Resources) {
	s.total = total
	for _, t := range s.ranked {
		t.weigh(total)
	}
	for _, u := range urgencies {
		heap.Init(s.fair[u])
	}
}

// SetTeam adds a team or changes its quota and weight. What runs already is not
// stopped by a smaller quota. It fails with kind Invalid for a weight that is
// not above 0 or a negative quota.
func (s *Sharer) SetTeam(name string, quota apricotwinch.Resources, weight float64) error {
	if !(weight > 0) {
		return apricotwinch.Errorf(apricotwinch.Invalid, "weight: %g of team %s is not above 0", weight, name)
	}
	if quota.Negative() {
		return apricotwinch.Errorf(apricotwinch.Invalid, "quota: %s of team %s is negative", quota, name)
	}
	t := s.teams[name]
	if t == nil {
		t = newTeam(name, len(s.ranked))
		s.teams[name] = t
		s.ranked = append(s.ranked, t)
	}
	for _, u := range urgencies {
		s.unrank(t.lanes[u])
	}
	t.quota, t.weight = quota, weight
	t.readmit()
	s.refresh(t)
	return nil
}

// Submit queues a task that may start from notBefore on. It fails with kind
// NotFound for an unknown team, Conflict for an id that is known already,
// Invalid for a negative need and QuotaExceeded for one over the whole quota.
func (s *Sharer) Submit(now time.Time, item Item, notBefore time.Time) error {
	t := s.teams[item.team]
	switch {
	case t == nil:
		return apricotwinch.Errorf(apricotwinch.NotFound, "team: %q has no quota", item.team)
	case s.entries[item.id] != nil:
		return apricotwinch.Errorf(apricotwinch.Conflict, "attempt %s is known already", item.id)
	case item.need.Negative():
		return apricotwinch.Errorf(apricotwinch.Invalid, "resources: %s of attempt %s is negative", item.need, item.id)
	case !item.need.Fits(t.quota):
		return apricotwinch.Errorf(apricotwinch.QuotaExceeded, "attempt %s needs %s, team %s has a quota of %s",
			item.id, item.need, t.name, t.quota)
	}
	s.sequence++
	e := &entry{item: item, lane: t.lanes[item.urgency], sequence: s.sequence, position: absent}
	s.entries[item.id] = e
	s.enqueue(now, e, notBefore)
	return nil
}

// Adopt counts a task that runs already, as one that an earlier owner started,
// against its team; a task of an unknown team is ignored.
func (s *Sharer) Adopt(item Item) {
	t := s.teams[item.team]
	if t == nil || s.entries[item.id] != nil {
		return
	}
	s.sequence++
	e := &entry{item: item, lane: t.lanes[item.urgency], sequence: s.sequence, position: absent}
	s.entries[item.id] = e
	s.charge(e)
}

// Next returns the task to start now and counts it against its team; false
// means that nothing may start. The caller reports each with Finish or Requeue.
func (s *Sharer) Next(now time.Time) (Item, bool) {
	s.admit(now)
	l := s.choose(now)
	if l == nil {
		return Item{}, false
	}
	e := l.head()
	l.entries.drop(e)
	s.turns++
	l.turn = s.turns
	l.since = now
	s.charge(e)
	return e.item, true
}

// choose returns the lane that gets the next start.
func (s *Sharer) choose(now time.Time) *lane {
	if every := uint64(s.config.AgingEvery); every > 0 && s.turns%every == every-1 {
		if l, ok := s.waiting.first(); ok && now.Sub(l.waitingSince()) >= s.config.AgingAfter {
			return l
		}
	}
	for _, u := range urgencies {
		if l, ok := s.fair[u].first(); ok {
			return l
		}
	}
	return nil
}

// Requeue takes back a start that did not come about; the task waits until
// notBefore and keeps its place in the queue.
func (s *Sharer) Requeue(now time.Time, id apricotwinch.AttemptID, notBefore time.Time) {
	e := s.entries[id]
	if e == nil || e.state != started {
		return
	}
	s.discharge(e)
	s.enqueue(now, e, notBefore)
}

// Finish forgets a task that ended or was canceled, waiting or started.
func (s *Sharer) Finish(id apricotwinch.AttemptID) {
	e := s.entries[id]
	if e == nil {
		return
	}
	delete(s.entries, id)
	switch e.state {
	case started:
		s.discharge(e)
	case delayed:
		s.delayed.drop(e)
	case oversized:
		e.lane.team.forget(e)
	case queued:
		e.lane.entries.drop(e)
		s.refreshLane(e.lane)
	}
}

// Used returns what the started tasks of a team hold.
func (s *Sharer) Used(name string) apricotwinch.Resources {
	if t := s.teams[name]; t != nil {
		return t.used
	}
	return apricotwinch.Resources{}
}

// Oversized returns the number of waiting tasks of a team that are larger than
// its quota, which was lowered since they were submitted.
func (s *Sharer) Oversized(name string) int {
	if t := s.teams[name]; t != nil {
		return len(t.oversized)
	}
	return 0
}

func (s *Sharer) enqueue(now time.Time, e *entry, notBefore time.Time) {
	if notBefore.After(now) {
		e.state, e.due = delayed, notBefore
		s.delayed.put(e)
		return
	}
	e.state, e.since = queued, now
	e.lane.entries.put(e)
	s.refreshLane(e.lane)
}

// admit queues the delayed tasks that are due.
func (s *Sharer) admit(now time.Time) {
	for {
		e, ok := s.delayed.first()
		if !ok || e.due.After(now) {
			return
		}
		s.delayed.drop(e)
		s.enqueue(now, e, e.due)
	}
}

func (s *Sharer) charge(e *entry) {
	e.state = started
	t := e.lane.team
	t.used = t.used.Add(e.item.need)
	s.refresh(t)
}

func (s *Sharer) discharge(e *entry) {
	t := e.lane.team
	t.used = t.used.Sub(e.item.need)
	s.refresh(t)
}

// refresh brings a team's share and lanes up to date.
func (s *Sharer) refresh(t *team) {
	t.weigh(s.total)
	for _, u := range urgencies {
		s.refreshLane(t.lanes[u])
	}
}

// refreshLane ranks a lane whose head the quota allows, and drops any other.
func (s *Sharer) refreshLane(l *lane) {
	e := l.head()
	if e == nil || !l.team.has(e.item.need) {
		s.unrank(l)
		return
	}
	s.fair[l.urgency].put(l)
	s.waiting.put(l)
}

func (s *Sharer) unrank(l *lane) {
	s.fair[l.urgency].drop(l)
	s.waiting.drop(l)
}

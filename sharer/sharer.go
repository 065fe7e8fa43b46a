// Package sharer decides which waiting task starts next.
//
// A Sharer keeps a queue for each team and urgency class. The most urgent class goes first;
// within a class, the team with the smallest weighted dominant share of the fleet's
// resources does. A team never gets more than its quota. One start in Config.AgingEvery
// goes to the queue that has waited longest, so that no queue starves. Each step takes
// time logarithmic in the number of teams and of waiting tasks. A Sharer does no I/O and
// takes the time as an argument. It is not safe for concurrent use.
//
// Recent is the same account of weighted dominant shares for groups that hold no quota, by the
// work of the last seconds.
package sharer

import (
	"container/heap"
	"time"

	"apricotwinch"
)

// Sharer orders the starts of the tasks of all teams.
type Sharer struct {
	config   Config
	total    apricotwinch.Resources
	teams    map[string]*team
	teamList []*team
	items    map[apricotwinch.AttemptID]*trackedItem
	byShare  map[apricotwinch.Urgency]*indexedHeap[*queue]
	byWait   *indexedHeap[*queue]
	delayed  *indexedHeap[*trackedItem]
	sequence uint64
	starts   uint64
}

// New returns a sharer without teams for a fleet with the given total resources.
func New(config Config, total apricotwinch.Resources) *Sharer {
	s := &Sharer{
		config:  config,
		total:   total,
		teams:   map[string]*team{},
		items:   map[apricotwinch.AttemptID]*trackedItem{},
		byShare: map[apricotwinch.Urgency]*indexedHeap[*queue]{},
		byWait:  &indexedHeap[*queue]{less: waitedLonger, position: func(q *queue) *int { return &q.waitPosition }},
		delayed: &indexedHeap[*trackedItem]{less: dueEarlier, position: func(e *trackedItem) *int { return &e.position }},
	}
	for _, u := range urgencies {
		s.byShare[u] = &indexedHeap[*queue]{less: lowerShare, position: func(q *queue) *int { return &q.sharePosition }}
	}
	return s
}

// lowerShare orders queues by the share of their team, then by their last start.
func lowerShare(a, b *queue) bool {
	if a.team.share != b.team.share {
		return a.team.share < b.team.share
	}
	if a.lastStart != b.lastStart {
		return a.lastStart < b.lastStart
	}
	return a.team.ordinal < b.team.ordinal
}

func waitedLonger(a, b *queue) bool {
	first, second := a.waitingSince(), b.waitingSince()
	if !first.Equal(second) {
		return first.Before(second)
	}
	if a.team.ordinal != b.team.ordinal {
		return a.team.ordinal < b.team.ordinal
	}
	return a.urgency > b.urgency
}

func dueEarlier(a, b *trackedItem) bool {
	if !a.due.Equal(b.due) {
		return a.due.Before(b.due)
	}
	return a.sequence < b.sequence
}

// SetTotal sets the total resources of the fleet, to which the teams' shares relate.
func (s *Sharer) SetTotal(total apricotwinch.Resources) {
	s.total = total
	for _, t := range s.teamList {
		t.updateShare(total)
	}
	for _, u := range urgencies {
		heap.Init(s.byShare[u])
	}
}

// SetTeam adds a team or changes its quota and weight. A smaller quota doesn't stop tasks
// that run already. SetTeam fails with kind Invalid for a weight that is not above 0 or for
// a negative quota.
func (s *Sharer) SetTeam(name string, quota apricotwinch.Resources, weight float64) error {
	if !(weight > 0) {
		return apricotwinch.Errorf(apricotwinch.Invalid, "weight: %g of team %s is not above 0", weight, name)
	}
	if quota.Negative() {
		return apricotwinch.Errorf(apricotwinch.Invalid, "quota: %s of team %s is negative", quota, name)
	}
	t := s.teams[name]
	if t == nil {
		t = newTeam(name, len(s.teamList))
		s.teams[name] = t
		s.teamList = append(s.teamList, t)
	}
	for _, u := range urgencies {
		s.removeFromHeaps(t.queues[u])
	}
	t.quota, t.weight = quota, weight
	t.requeueOversized()
	s.refresh(t)
	return nil
}

// Submit queues a task that may start at notBefore or later. It fails with kind NotFound
// for an unknown team, Conflict for an id that is known already, Invalid for a negative
// need and QuotaExceeded for a need larger than the team's whole quota.
func (s *Sharer) Submit(now time.Time, item Item, notBefore time.Time) error {
	t := s.teams[item.team]
	switch {
	case t == nil:
		return apricotwinch.Errorf(apricotwinch.NotFound, "team: %q has no quota", item.team)
	case s.items[item.id] != nil:
		return apricotwinch.Errorf(apricotwinch.Conflict, "attempt %s is known already", item.id)
	case item.need.Negative():
		return apricotwinch.Errorf(apricotwinch.Invalid, "resources: %s of attempt %s is negative", item.need, item.id)
	case !item.need.Fits(t.quota):
		return apricotwinch.Errorf(apricotwinch.QuotaExceeded, "attempt %s needs %s, team %s has a quota of %s",
			item.id, item.need, t.name, t.quota)
	}
	s.sequence++
	e := &trackedItem{item: item, queue: t.queues[item.urgency], sequence: s.sequence, position: notInHeap}
	s.items[item.id] = e
	s.enqueue(now, e, notBefore)
	return nil
}

// Adopt counts a task that runs already, for example one that an earlier owner started,
// against its team; a task of an unknown team is ignored.
func (s *Sharer) Adopt(item Item) {
	t := s.teams[item.team]
	if t == nil || s.items[item.id] != nil {
		return
	}
	s.sequence++
	e := &trackedItem{item: item, queue: t.queues[item.urgency], sequence: s.sequence, position: notInHeap}
	s.items[item.id] = e
	s.addUsage(e)
}

// Next returns the task to start now and counts it against its team; false means that no
// task may start. The caller must call Finish or Requeue for each returned task.
func (s *Sharer) Next(now time.Time) (Item, bool) {
	s.enqueueDue(now)
	q := s.chooseQueue(now)
	if q == nil {
		return Item{}, false
	}
	e := q.head()
	q.items.remove(e)
	s.starts++
	q.lastStart = s.starts
	q.lastStartAt = now
	s.addUsage(e)
	return e.item, true
}

// chooseQueue returns the queue that gets the next start, or nil.
func (s *Sharer) chooseQueue(now time.Time) *queue {
	if every := uint64(s.config.AgingEvery); every > 0 && s.starts%every == every-1 {
		if q, ok := s.byWait.min(); ok && now.Sub(q.waitingSince()) >= s.config.AgingAfter {
			return q
		}
	}
	for _, u := range urgencies {
		if q, ok := s.byShare[u].min(); ok {
			return q
		}
	}
	return nil
}

// Requeue takes back a start that failed; the task waits until notBefore and keeps its
// place in the queue.
func (s *Sharer) Requeue(now time.Time, id apricotwinch.AttemptID, notBefore time.Time) {
	e := s.items[id]
	if e == nil || e.state != started {
		return
	}
	s.removeUsage(e)
	s.enqueue(now, e, notBefore)
}

// Finish drops a task that ended or was canceled, whether it waits or was started.
func (s *Sharer) Finish(id apricotwinch.AttemptID) {
	e := s.items[id]
	if e == nil {
		return
	}
	delete(s.items, id)
	switch e.state {
	case started:
		s.removeUsage(e)
	case delayed:
		s.delayed.remove(e)
	case oversized:
		e.queue.team.removeOversized(e)
	case queued:
		e.queue.items.remove(e)
		s.refreshQueue(e.queue)
	}
}

// Used returns the resources that the started tasks of a team hold.
func (s *Sharer) Used(name string) apricotwinch.Resources {
	if t := s.teams[name]; t != nil {
		return t.used
	}
	return apricotwinch.Resources{}
}

// Oversized returns the number of waiting tasks of a team that are larger than its quota,
// because the quota was lowered after they were submitted.
func (s *Sharer) Oversized(name string) int {
	if t := s.teams[name]; t != nil {
		return len(t.oversized)
	}
	return 0
}

func (s *Sharer) enqueue(now time.Time, e *trackedItem, notBefore time.Time) {
	if notBefore.After(now) {
		e.state, e.due = delayed, notBefore
		s.delayed.addOrFix(e)
		return
	}
	e.state, e.queuedAt = queued, now
	e.queue.items.addOrFix(e)
	s.refreshQueue(e.queue)
}

// enqueueDue queues the delayed tasks that are due.
func (s *Sharer) enqueueDue(now time.Time) {
	for {
		e, ok := s.delayed.min()
		if !ok || e.due.After(now) {
			return
		}
		s.delayed.remove(e)
		s.enqueue(now, e, e.due)
	}
}

func (s *Sharer) addUsage(e *trackedItem) {
	e.state = started
	t := e.queue.team
	t.used = t.used.Add(e.item.need)
	s.refresh(t)
}

func (s *Sharer) removeUsage(e *trackedItem) {
	t := e.queue.team
	t.used = t.used.Sub(e.item.need)
	s.refresh(t)
}

// refresh updates a team's share and the order of its queues.
func (s *Sharer) refresh(t *team) {
	t.updateShare(s.total)
	for _, u := range urgencies {
		s.refreshQueue(t.queues[u])
	}
}

// refreshQueue puts a queue into the heaps if the team's quota has room for its head, and
// takes it out otherwise.
func (s *Sharer) refreshQueue(q *queue) {
	e := q.head()
	if e == nil || !q.team.hasRoom(e.item.need) {
		s.removeFromHeaps(q)
		return
	}
	s.byShare[q.urgency].addOrFix(q)
	s.byWait.addOrFix(q)
}

func (s *Sharer) removeFromHeaps(q *queue) {
	s.byShare[q.urgency].remove(q)
	s.byWait.remove(q)
}

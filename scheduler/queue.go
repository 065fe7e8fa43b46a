package scheduler

import (
	"math"
	"time"

	"apricotwinch"
	"apricotwinch/bookkeeper"
	"apricotwinch/sharer"
)

// unlimited is the quota of a team that has none.
var unlimited = apricotwinch.NewResources(math.MaxInt32, math.MaxInt64/2, math.MaxInt32)

// quotaPeriod is the period in which the teams' quotas are read again.
const quotaPeriod = time.Second

// queue holds the waiting tasks of the partition and decides which starts next.
type queue struct {
	seams  *Seams
	sharer *sharer.Sharer
	teams  []string
	known  map[string]bool
	// waiting holds the tasks that wait or whose assignment is being appended.
	waiting map[apricotwinch.AttemptID]*waiter
	readAt  time.Time
}

// waiter is a task that waits for a host.
type waiter struct {
	id   apricotwinch.AttemptID
	job  *bookkeeper.Job
	need apricotwinch.Resources
}

func newQueue(seams *Seams) *queue {
	return &queue{
		seams:   seams,
		sharer:  sharer.New(sharer.DefaultConfig(), unlimited),
		known:   make(map[string]bool),
		waiting: make(map[apricotwinch.AttemptID]*waiter),
	}
}

func (q *queue) len() int { return len(q.waiting) }

// nextID returns the id of the next attempt at a task.
func nextID(job *bookkeeper.Job, task int) apricotwinch.AttemptID {
	return apricotwinch.NewAttemptID(job.ID(), task, job.Task(task).Attempt()+1)
}

// add queues the next attempt at a task; one that waits already stays. It fails
// with kind QuotaExceeded when the task is larger than its team's quota.
func (q *queue) add(now time.Time, job *bookkeeper.Job, task int, notBefore time.Time) error {
	id := nextID(job, task)
	if q.waiting[id] != nil {
		return nil
	}
	q.meet(job.Team())
	need := q.seams.Size(now, job.Team(), job.Spec().Name, job.Need())
	item := sharer.NewItem(id, job.Team(), urgencyOf(job), need)
	if err := q.sharer.Submit(now, item, notBefore); err != nil {
		return err
	}
	q.waiting[id] = &waiter{id: id, job: job, need: need}
	return nil
}

// adopt counts an attempt that an earlier owner started.
func (q *queue) adopt(now time.Time, job *bookkeeper.Job, id apricotwinch.AttemptID) {
	q.meet(job.Team())
	need := q.seams.Size(now, job.Team(), job.Spec().Name, job.Need())
	q.sharer.Adopt(sharer.NewItem(id, job.Team(), urgencyOf(job), need))
}

// next returns the task to start now, or nil.
func (q *queue) next(now time.Time) *waiter {
	item, ok := q.sharer.Next(now)
	if !ok {
		return nil
	}
	return q.waiting[item.ID()]
}

// putBack lets a task wait again whose start came to nothing.
func (q *queue) putBack(now time.Time, id apricotwinch.AttemptID, notBefore time.Time) {
	if q.waiting[id] != nil {
		q.sharer.Requeue(now, id, notBefore)
	}
}

// started forgets that a task waits; it counts against its team until it ends.
func (q *queue) started(id apricotwinch.AttemptID) { delete(q.waiting, id) }

// finish forgets an attempt that ended or that no longer waits.
func (q *queue) finish(id apricotwinch.AttemptID) {
	delete(q.waiting, id)
	q.sharer.Finish(id)
}

// meet makes a team known to the sharer.
func (q *queue) meet(team string) {
	if q.known[team] {
		return
	}
	q.known[team] = true
	q.teams = append(q.teams, team)
	q.setQuota(team)
}

func (q *queue) setQuota(team string) {
	quota, weight, ok := q.seams.Quota(team)
	if !ok {
		quota, weight = unlimited, 1
	}
	_ = q.sharer.SetTeam(team, quota, weight)
}

// refresh reads the quotas and the size of the fleet again when that is due.
func (q *queue) refresh(now time.Time) {
	if now.Sub(q.readAt) < quotaPeriod {
		return
	}
	q.readAt = now
	if total := q.seams.Total(); !total.Zero() {
		q.sharer.SetTotal(total)
	}
	for _, team := range q.teams {
		q.setQuota(team)
	}
}

func urgencyOf(job *bookkeeper.Job) apricotwinch.Urgency {
	urgency, err := apricotwinch.ParseUrgency(job.Spec().Urgency)
	if err != nil {
		return apricotwinch.Batch
	}
	return urgency
}

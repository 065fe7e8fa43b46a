package scheduler

import (
	"math"
	"time"

	"apricotwinch"
	"apricotwinch/bookkeeper"
	"apricotwinch/sharer"
)

// unlimited is the quota of a team for which none is configured.
var unlimited = apricotwinch.NewResources(math.MaxInt32, math.MaxInt64/2, math.MaxInt32)

// refreshPeriod is the interval at which the teams' quotas and the fleet's capacity are
// read again.
const refreshPeriod = time.Second

// queue holds the waiting tasks of the partition and decides which one starts next.
type queue struct {
	deps       *Dependencies
	sharer     *sharer.Sharer
	teams      []string
	knownTeams map[string]bool
	// waiting holds the tasks that wait for a host and those whose assignment is being
	// appended.
	waiting     map[apricotwinch.AttemptID]*waitingTask
	refreshedAt time.Time
}

// waitingTask is a task that waits for a host.
type waitingTask struct {
	id   apricotwinch.AttemptID
	job  *bookkeeper.Job
	need apricotwinch.Resources
}

func newQueue(deps *Dependencies) *queue {
	return &queue{
		deps:       deps,
		sharer:     sharer.New(sharer.DefaultConfig(), unlimited),
		knownTeams: make(map[string]bool),
		waiting:    make(map[apricotwinch.AttemptID]*waitingTask),
	}
}

func (q *queue) len() int { return len(q.waiting) }

// nextID returns the id of the next attempt at a task.
func nextID(job *bookkeeper.Job, task int) apricotwinch.AttemptID {
	return apricotwinch.NewAttemptID(job.ID(), task, job.Task(task).Attempt()+1)
}

// add queues the next attempt at a task, unless it waits already. It fails with kind
// QuotaExceeded when the task is larger than its team's quota.
func (q *queue) add(now time.Time, job *bookkeeper.Job, task int, notBefore time.Time) error {
	id := nextID(job, task)
	if q.waiting[id] != nil {
		return nil
	}
	q.registerTeam(job.Team())
	need := q.deps.CorrectSize(now, job.Team(), job.Spec().Name, job.Need())
	item := sharer.NewItem(id, job.Team(), urgencyOf(job), need)
	if err := q.sharer.Submit(now, item, notBefore); err != nil {
		return err
	}
	q.waiting[id] = &waitingTask{id: id, job: job, need: need}
	return nil
}

// adopt counts an attempt that an earlier owner started against its team.
func (q *queue) adopt(now time.Time, job *bookkeeper.Job, id apricotwinch.AttemptID) {
	q.registerTeam(job.Team())
	need := q.deps.CorrectSize(now, job.Team(), job.Spec().Name, job.Need())
	q.sharer.Adopt(sharer.NewItem(id, job.Team(), urgencyOf(job), need))
}

// next returns the task to start now, or nil.
func (q *queue) next(now time.Time) *waitingTask {
	item, ok := q.sharer.Next(now)
	if !ok {
		return nil
	}
	return q.waiting[item.ID()]
}

// requeue makes a task whose start failed wait again until notBefore.
func (q *queue) requeue(now time.Time, id apricotwinch.AttemptID, notBefore time.Time) {
	if q.waiting[id] != nil {
		q.sharer.Requeue(now, id, notBefore)
	}
}

// markStarted removes a task from the waiting ones; it counts against its team until it
// ends.
func (q *queue) markStarted(id apricotwinch.AttemptID) { delete(q.waiting, id) }

// remove drops an attempt that ended or that must no longer wait.
func (q *queue) remove(id apricotwinch.AttemptID) {
	delete(q.waiting, id)
	q.sharer.Finish(id)
}

// registerTeam adds a team to the sharer with its quota, unless it was added before.
func (q *queue) registerTeam(team string) {
	if q.knownTeams[team] {
		return
	}
	q.knownTeams[team] = true
	q.teams = append(q.teams, team)
	q.setQuota(team)
}

func (q *queue) setQuota(team string) {
	quota, weight, ok := q.deps.Quota(team)
	if !ok {
		quota, weight = unlimited, 1
	}
	_ = q.sharer.SetTeam(team, quota, weight)
}

// refresh reads the quotas and the capacity of the fleet again once refreshPeriod has
// passed.
func (q *queue) refresh(now time.Time) {
	if now.Sub(q.refreshedAt) < refreshPeriod {
		return
	}
	q.refreshedAt = now
	if total := q.deps.Total(); !total.Zero() {
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

package scheduler

import (
	"time"

	"apricotwinch"
	"apricotwinch/bookkeeper"
)

// waiter is a task that waits for a host.
type waiter struct {
	job       *bookkeeper.Job
	task      int
	notBefore time.Time
	// placing is whether an assignment of the task is being appended.
	placing bool
}

type taskKey struct {
	job  string
	task int
}

// queue holds the waiting tasks by urgency, in order of arrival.
type queue struct {
	waiters map[taskKey]*waiter
	lanes   [apricotwinch.Critical + 1][]*waiter
}

func newQueue() *queue { return &queue{waiters: make(map[taskKey]*waiter)} }

func (q *queue) add(w *waiter) {
	key := taskKey{job: w.job.ID(), task: w.task}
	if _, ok := q.waiters[key]; ok {
		return
	}
	q.waiters[key] = w
	lane := urgencyOf(w.job)
	q.lanes[lane] = append(q.lanes[lane], w)
}

func (q *queue) remove(job string, task int) { delete(q.waiters, taskKey{job: job, task: task}) }

func (q *queue) get(job string, task int) *waiter { return q.waiters[taskKey{job: job, task: task}] }

func (q *queue) len() int { return len(q.waiters) }

// each calls f for the waiting tasks, the most urgent lane first, until f
// returns false.
func (q *queue) each(f func(*waiter) bool) {
	for lane := apricotwinch.Critical; lane >= apricotwinch.Batch; lane-- {
		q.compact(lane)
		for _, w := range q.lanes[lane] {
			if !f(w) {
				return
			}
		}
	}
}

// compact drops the removed waiters of a lane.
func (q *queue) compact(lane apricotwinch.Urgency) {
	kept := q.lanes[lane][:0]
	for _, w := range q.lanes[lane] {
		if q.waiters[taskKey{job: w.job.ID(), task: w.task}] == w {
			kept = append(kept, w)
		}
	}
	clear(q.lanes[lane][len(kept):])
	q.lanes[lane] = kept
}

func urgencyOf(job *bookkeeper.Job) apricotwinch.Urgency {
	urgency, err := apricotwinch.ParseUrgency(job.Spec().Urgency)
	if err != nil {
		return apricotwinch.Batch
	}
	return urgency
}

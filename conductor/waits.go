package conductor

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Periods and bounds of what is logged and measured of long-running tasks without a run.
const (
	// waitCheckPeriod is the time between two looks at all waits.
	waitCheckPeriod = time.Second
	// longWait is how long a long-running task waits before the reason is logged, and waitLogPeriod the
	// time until it is logged again.
	longWait      = 2 * time.Second
	waitLogPeriod = 5 * time.Second
	// maxWaitLines bounds the waits that are logged at one look.
	maxWaitLines = 8
	// maxEvaluatedSteps bounds the steps that are evaluated on the executors at one look.
	maxEvaluatedSteps = 32
)

// gaugeWaiting is the prefix of the names of the gauges of long-running tasks by what they wait for.
const gaugeWaiting = "long_running.waiting."

// What a task without a run waits for.
const (
	waitNoQueue      = "queue not configured"
	waitNotDurable   = "workload not durable"
	waitUnlisted     = "executors not listed"
	waitBackoff      = "backoff"
	waitNoExecutor   = "no usable executor"
	waitNoRoom       = "no room"
	waitReserve      = "reserve"
	waitAdvice       = "advice"
	waitGang         = "gang"
	waitNextPass     = "next pass"
	waitNotEvaluated = "not evaluated"
)

// waitReasons lists all that a task without a run may wait for.
var waitReasons = []string{
	waitNoQueue, waitNotDurable, waitUnlisted, waitBackoff, waitNoExecutor, waitNoRoom, waitReserve, waitAdvice, waitGang, waitNextPass,
	waitNotEvaluated,
}

// wait is a time in which a long-running task has no run.
type wait struct {
	task  *task
	since time.Time
	// reason is why the task has no run.
	reason string
	// awaits is what the task waits for, as of checkedAt. evaluatedAt is when that was found by an
	// evaluation of the executors; zero if it wasn't.
	awaits                 string
	checkedAt, evaluatedAt time.Time
	// counted is whether the wait counts as a long one, and loggedAt is when it was last logged.
	counted  bool
	loggedAt time.Time
}

// ended reports whether a wait has ended.
func (w *wait) ended() bool {
	return w.task.wait != w || w.task.done || w.task.step.occurrence.workload.terminal()
}

// lineDueAt returns when the next line about a wait is due.
func (w *wait) lineDueAt() time.Time {
	if w.loggedAt.IsZero() {
		return w.since.Add(longWait)
	}
	return w.loggedAt.Add(waitLogPeriod)
}

func compareWaits(a, b *wait) int {
	return cmp.Or(a.since.Compare(b.since), compareTasks(a.task, b.task))
}

// checkWaits finds out, once each waitCheckPeriod, what the long-running tasks without a run wait for,
// counts them by that, and logs those that have waited for long.
func (c *Conductor) checkWaits(now time.Time) {
	if now.Sub(c.waitsCheckedAt) < waitCheckPeriod {
		return
	}
	c.waitsCheckedAt = now
	c.waits = slices.DeleteFunc(c.waits, (*wait).ended)
	slices.SortFunc(c.waits, compareWaits)
	lines := c.dueLines(now)
	e := &waitEvaluation{pass: c.newPass(now), rooms: map[*step]room{}}
	for _, w := range lines {
		e.update(w)
	}
	byEvaluation := slices.Clone(c.waits)
	slices.SortStableFunc(byEvaluation, func(a, b *wait) int { return a.evaluatedAt.Compare(b.evaluatedAt) })
	counts := map[string]int64{}
	for _, w := range byEvaluation {
		if !w.checkedAt.Equal(now) {
			e.update(w)
		}
		counts[w.awaits]++
		c.countLongWait(now, w)
	}
	for _, reason := range waitReasons {
		c.setGauge(waitGauge(reason), counts[reason])
	}
	for _, w := range lines {
		c.logWait(now, w)
	}
}

// waitGauge returns the name of the gauge of the tasks that wait for something.
func waitGauge(reason string) string { return gaugeWaiting + strings.ReplaceAll(reason, " ", "_") }

// dueLines returns the waits that are logged now, those whose lines have been due for longest first.
func (c *Conductor) dueLines(now time.Time) []*wait {
	var due []*wait
	for _, w := range c.waits {
		if !now.Before(w.lineDueAt()) {
			due = append(due, w)
		}
	}
	slices.SortStableFunc(due, func(a, b *wait) int { return a.lineDueAt().Compare(b.lineDueAt()) })
	return due[:min(len(due), maxWaitLines)]
}

// countLongWait counts a wait, once, that has lasted for longWait.
func (c *Conductor) countLongWait(now time.Time, w *wait) {
	if w.counted || now.Sub(w.since) < longWait {
		return
	}
	w.counted = true
	c.count("long_running.long_waits")
}

// logWait logs a wait, and the first executor that it waits for, if any.
func (c *Conductor) logWait(now time.Time, w *wait) {
	w.loggedAt = now
	waited, blocked := now.Sub(w.since).Milliseconds(), w.task.step.blockedMillis(now)
	first, unlisted := c.unlistedExecutors(w.task)
	if w.awaits != waitUnlisted || first == nil {
		c.logger.Info("long-running task waits", "task", w.task.ref, "waitMillis", waited, "since", w.reason, "for", w.awaits, "blockedMillis", blocked)
		return
	}
	c.logger.Info("long-running task waits", "task", w.task.ref, "waitMillis", waited, "since", w.reason, "for", w.awaits, "blockedMillis", blocked,
		"unlisted", unlisted, "executor", first.id, "host", first.host.name, "reason", first.unlistedReason(now),
		"reportAgeMillis", now.Sub(first.host.lastReportAt).Milliseconds(), "leaseMillis", first.leaseEnd.Sub(now).Milliseconds())
}

// unlistedExecutors returns the first of the executors whose lists a task waits for, and their number.
func (c *Conductor) unlistedExecutors(t *task) (first *executor, unlisted int) {
	executors := c.allExecutors()
	if t.placement != nil {
		executors = nil
		for _, id := range t.placement.executors {
			executors = append(executors, c.executorsWithID(id)...)
		}
	}
	for _, e := range executors {
		if e.showsAll(t) {
			continue
		}
		if first == nil {
			first = e
		}
		unlisted++
	}
	return first, unlisted
}

// waitEvaluation finds out what tasks wait for at one time. All of them share one pass, and the tasks of
// a step its room.
type waitEvaluation struct {
	pass  *schedulingPass
	rooms map[*step]room
}

// room is whether an executor has room for a task of a step, and whether one does outside the reserve.
type room struct{ any, unreserved bool }

// update sets what a task waits for. Beyond maxEvaluatedSteps it keeps what the last evaluation found.
func (e *waitEvaluation) update(w *wait) {
	now := e.pass.now
	w.checkedAt = now
	if reason := e.pass.conductor.waitsForNoExecutor(now, w.task); reason != "" {
		w.awaits, w.evaluatedAt = reason, time.Time{}
		return
	}
	if reason, ok := e.evaluate(w.task); ok {
		w.awaits, w.evaluatedAt = reason, now
	} else if w.evaluatedAt.IsZero() {
		w.awaits = waitNotEvaluated
	}
}

// waitsForNoExecutor returns what a task waits for before it is tried on executors; empty for nothing.
func (c *Conductor) waitsForNoExecutor(now time.Time, t *task) string {
	_, ok := c.queue(t.step.occurrence.workload)
	switch {
	case !ok:
		return waitNoQueue
	case t.step.occurrence.workload.durableState == "":
		return waitNotDurable
	case c.awaitsExecutors(t):
		return waitUnlisted
	case now.Before(t.notBefore):
		return waitBackoff
	}
	return ""
}

// evaluate returns what a task of a configured queue that may be tried on executors waits for. ok is
// false if maxEvaluatedSteps other steps have been evaluated.
func (e *waitEvaluation) evaluate(t *task) (reason string, ok bool) {
	p := e.pass
	q, _ := p.conductor.queue(t.step.occurrence.workload)
	pool := p.pool(q.Service)
	if len(pool) == 0 {
		return waitNoExecutor, true
	}
	r, known := e.rooms[t.step]
	if !known {
		if len(e.rooms) == maxEvaluatedSteps {
			return "", false
		}
		r = p.roomFor(t.step, pool)
		e.rooms[t.step] = r
	}
	switch {
	case !r.any:
		return waitNoRoom, true
	case t.keepsReserve() && !r.unreserved:
		return waitReserve, true
	case q.Advised:
		return waitAdvice, true
	case t.step.spec.Gang:
		return waitGang, true
	}
	return waitNextPass, true
}

// roomFor returns the room that the executors of a pool have for a task of a step.
func (p *schedulingPass) roomFor(s *step, pool []*executor) room {
	var r room
	for _, e := range pool {
		if !p.hasRoom(s, e) {
			continue
		}
		r.any = true
		if p.unreservedIn(e) >= s.need.ProcessorMillis() {
			r.unreserved = true
			break
		}
	}
	return r
}

// hasRoom reports whether a task of a step may start on an executor.
func (p *schedulingPass) hasRoom(s *step, e *executor) bool {
	if s.spec.Fills {
		return p.admits(s, e)
	}
	// Most full executors are found at less cost than by fits, which may count runs.
	return e.allocated.Add(s.need).Fits(e.capacity) && p.conductor.fits(s, e)
}

// newPass returns a pass at a time that starts nothing and knows no changed executors.
func (c *Conductor) newPass(now time.Time) *schedulingPass {
	return &schedulingPass{conductor: c, now: now, unreserved: map[string]map[string]int64{}, outlooks: map[*executor]map[string]outlook{}}
}

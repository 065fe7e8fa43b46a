package conductor

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"apricotwinch"
)

// Periods and bounds of what is logged and measured of tasks without a run. The bounds hold for long-running
// tasks and for the steps of others each.
const (
	// waitCheckPeriod is the time between two looks at all waits.
	waitCheckPeriod = time.Second
	// longWait is how long a wait lasts before the reason is logged, and waitLogPeriod the time until it
	// is logged again.
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
	waitNoQueue, waitUnlisted, waitBackoff, waitNoExecutor, waitNoRoom, waitReserve, waitAdvice, waitGang, waitNextPass,
	waitNotEvaluated,
}

// waitState is the part of a wait that those of long-running tasks and of steps share.
type waitState struct {
	since time.Time
	// reason is why there is no run.
	reason string
	// awaits is what a task waits for, as of checkedAt. evaluatedAt is when that was found by an
	// evaluation of the executors; zero if it wasn't.
	awaits                 string
	checkedAt, evaluatedAt time.Time
	// counted is whether the wait counts as a long one, and loggedAt is when it was last logged.
	counted  bool
	loggedAt time.Time
}

// waiter is a wait of a long-running task or of a step.
type waiter interface {
	state() *waitState
	// sample returns what the wait, or the first task of the step, was last found to wait for.
	sample() string
}

func (w *waitState) state() *waitState { return w }

// lineDueAt returns when the next line about a wait is due.
func (w *waitState) lineDueAt() time.Time {
	if w.loggedAt.IsZero() {
		return w.since.Add(longWait)
	}
	return w.loggedAt.Add(waitLogPeriod)
}

// set sets what is waited for. Beyond maxEvaluatedSteps, that is where ok is false, it keeps what the last
// evaluation found.
func (w *waitState) set(now time.Time, reason string, ok bool) {
	if ok {
		w.awaits, w.evaluatedAt = reason, now
	} else if w.evaluatedAt.IsZero() {
		w.awaits = waitNotEvaluated
	}
}

// wait is a time in which a long-running task has no run.
type wait struct {
	waitState
	task *task
}

func (w *wait) sample() string { return w.awaits }

// ended reports whether a wait has ended.
func (w *wait) ended() bool {
	return w.task.wait != w || w.task.done || w.task.step.occurrence.workload.terminal()
}

func compareWaits(a, b *wait) int {
	return cmp.Or(a.since.Compare(b.since), compareTasks(a.task, b.task))
}

// checkWaits finds out, once each waitCheckPeriod, what the tasks without a run wait for, counts them by
// that, and logs those that have waited for long.
func (c *Conductor) checkWaits(now time.Time) {
	if now.Sub(c.waitsCheckedAt) < waitCheckPeriod {
		return
	}
	c.waitsCheckedAt = now
	p := c.newPass(now)
	leftOut := c.countLeftOut()
	c.setLeftOut(leftOut)
	c.checkLongRunningWaits(now, newWaitEvaluation(p, leftOut))
	c.checkStepWaits(now, newWaitEvaluation(p, leftOut))
	c.checkWithoutRun(now)
	c.checkService(now)
	c.checkReserve(now, p.pools())
}

// checkLongRunningWaits does the part of checkWaits for long-running tasks.
func (c *Conductor) checkLongRunningWaits(now time.Time, e *waitEvaluation) {
	c.waits = slices.DeleteFunc(c.waits, (*wait).ended)
	slices.SortFunc(c.waits, compareWaits)
	lines := dueLines(now, c.waits)
	for _, w := range lines {
		e.update(w)
	}
	counts := map[string]int64{}
	for _, w := range byEvaluation(c.waits) {
		if !w.checkedAt.Equal(now) {
			e.update(w)
		}
		counts[w.awaits]++
		c.countLongWait(now, &w.waitState, "long_running.long_waits")
	}
	for _, reason := range waitReasons {
		c.setGauge(waitGauge(gaugeWaiting, reason), counts[reason])
	}
	for _, w := range lines {
		c.logWait(e, w)
	}
}

// waitGauge returns the name of the gauge, among those with a prefix, of the tasks that wait for something.
func waitGauge(prefix, reason string) string { return prefix + strings.ReplaceAll(reason, " ", "_") }

// dueLines returns the waits that are logged now. Those that wait for different things take turns; of those
// that wait for the same, first come those that have not been logged, and then those whose lines have been
// due for longest.
func dueLines[W waiter](now time.Time, waits []W) []W {
	var due []W
	for _, w := range waits {
		if !now.Before(w.state().lineDueAt()) {
			due = append(due, w)
		}
	}
	slices.SortStableFunc(due, func(a, b W) int {
		return cmp.Or(a.state().loggedAt.Compare(b.state().loggedAt), a.state().since.Compare(b.state().since))
	})
	// The first maxWaitLines of each reason are enough, in turns.
	var turns [maxWaitLines][]W
	found := map[string]int{}
	for _, w := range due {
		if at := found[w.sample()]; at < maxWaitLines {
			turns[at] = append(turns[at], w)
			found[w.sample()]++
		}
	}
	lines := slices.Concat(turns[:]...)
	return lines[:min(len(lines), maxWaitLines)]
}

// byEvaluation returns waits sorted by the time of their last evaluation.
func byEvaluation[W waiter](waits []W) []W {
	sorted := slices.Clone(waits)
	slices.SortStableFunc(sorted, func(a, b W) int { return a.state().evaluatedAt.Compare(b.state().evaluatedAt) })
	return sorted
}

// countLongWait counts a wait, once, that has lasted for longWait, in the counter with the given name.
func (c *Conductor) countLongWait(now time.Time, w *waitState, counter string) {
	if w.counted || now.Sub(w.since) < longWait {
		return
	}
	w.counted = true
	c.count(counter)
}

// logWait logs a wait, and the first executor that it waits for, if any.
func (c *Conductor) logWait(e *waitEvaluation, w *wait) {
	now, s := e.pass.now, w.task.step
	w.loggedAt = now
	waited, blocked := now.Sub(w.since).Milliseconds(), s.blockedMillis(now)
	usable, refused, leftOut := e.describePool(s)
	first, unlisted := c.unlistedExecutors(w.task)
	if w.awaits != waitUnlisted || first == nil {
		c.logger.Info("long-running task waits", "task", w.task.ref, "tasks", len(s.tasks), "running", s.countRunning(), "need", s.need.String(), "waitMillis", waited, "since", w.reason, "for", w.awaits, "blockedMillis", blocked,
			"usable", usable, "refused", refused, "leftOut", leftOut)
		return
	}
	c.logger.Info("long-running task waits", "task", w.task.ref, "tasks", len(s.tasks), "running", s.countRunning(), "need", s.need.String(), "waitMillis", waited, "since", w.reason, "for", w.awaits, "blockedMillis", blocked,
		"usable", usable, "refused", refused, "leftOut", leftOut,
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
	pass *schedulingPass
	// leftOut holds, by service, the numbers of executors that are not usable by the reason.
	leftOut map[string]map[string]int
	rooms   map[*step]room
	// checkedTasks is the number of the tasks that were checked, up to maxCheckedTasks.
	checkedTasks int
}

func newWaitEvaluation(p *schedulingPass, leftOut map[string]map[string]int) *waitEvaluation {
	return &waitEvaluation{pass: p, leftOut: leftOut, rooms: map[*step]room{}}
}

// room is whether an executor has room for a task of a step, and whether one does outside the reserve.
// refused holds, for a step without any room, the number of executors by the reason, one of refusals.
type room struct {
	any, unreserved bool
	refused         map[string]int
}

// update sets what a task waits for. Beyond maxEvaluatedSteps it keeps what the last evaluation found.
func (e *waitEvaluation) update(w *wait) {
	now := e.pass.now
	w.checkedAt = now
	if reason := e.pass.conductor.waitsForNoExecutor(now, w.task); reason != "" {
		w.awaits, w.evaluatedAt = reason, time.Time{}
		return
	}
	reason, ok := e.evaluate(w.task)
	w.set(now, reason, ok)
}

// waitsForNoExecutor returns what a task waits for before it is tried on executors; empty for nothing.
func (c *Conductor) waitsForNoExecutor(now time.Time, t *task) string {
	_, ok := c.queue(t.step.occurrence.workload)
	switch {
	case !ok:
		return waitNoQueue
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
	r, ok := e.room(t.step, pool)
	switch {
	case !ok:
		return "", false
	case !r.any:
		return waitNoRoom, true
	case p.keepsReserve(t) && !r.unreserved:
		return waitReserve, true
	case q.Advised:
		return waitAdvice, true
	case t.step.spec.Gang:
		return waitGang, true
	}
	return waitNextPass, true
}

// room returns the room that the executors of a pool have for a task of a step. ok is false if
// maxEvaluatedSteps other steps have been evaluated.
func (e *waitEvaluation) room(s *step, pool []*executor) (r room, ok bool) {
	r, known := e.rooms[s]
	if !known {
		if len(e.rooms) == maxEvaluatedSteps {
			return room{}, false
		}
		r = e.pass.roomFor(s, pool)
		e.rooms[s] = r
	}
	return r, true
}

// roomFor returns the room that the executors of a pool have for a task of a step.
func (p *schedulingPass) roomFor(s *step, pool []*executor) room {
	r := room{refused: map[string]int{}}
	for _, e := range pool {
		if reason := p.refusal(s, e); reason != "" {
			r.refused[reason]++
			continue
		}
		r.any = true
		if !s.spec.Lasting || p.leavesReserve(s, e) {
			r.unreserved = true
			break
		}
	}
	return r
}

// newPass returns a pass at a time that starts nothing and knows no changed executors.
func (c *Conductor) newPass(now time.Time) *schedulingPass {
	return &schedulingPass{conductor: c, now: now, unreserved: map[string]map[string]apricotwinch.Resources{}, outlooks: map[*executor]map[outlookKey]outlook{}}
}

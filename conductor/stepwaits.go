package conductor

import (
	"fmt"
	"strings"
	"time"
)

const (
	// gaugeStepsWaiting is the prefix of the names of the gauges of tasks that are not long-running by what
	// they wait for.
	gaugeStepsWaiting = "ordinary.waiting."
	// gaugeLongStepWaits is the name of the gauge of the steps of such tasks that wait for long.
	gaugeLongStepWaits = "ordinary.long_waiting"
	// gaugeLeftOut is the prefix of the names of the gauges of executors that are not usable, by the reason.
	gaugeLeftOut = "executors.left_out."
)

// maxCheckedTasks bounds the waiting tasks of which one look checks each whether it waits for lists of
// executors. Of a step beyond that, all tasks count as its first one.
const maxCheckedTasks = 10_000

// What a task waits for that is not long-running, besides waitReasons.
const (
	waitHeldBack     = "held back"
	waitLabel        = "label"
	waitUnused       = "unused processors"
	waitMaxRuns      = "max per executor"
	waitReservation  = "room reserved"
	waitTailLatency  = "tail latency over target"
	waitOutlook      = "outlook"
	waitGangRuns     = "runs of the gang"
	waitAdviceDenied = "advice denied"
)

// refusals lists why a usable executor refuses a task, in the order in which that is checked. What a step
// waits for is the last of those that any executor gives: that one meets all that is checked before.
var refusals = []string{waitHeldBack, waitLabel, waitUnused, waitNoRoom, waitMaxRuns, waitReservation, waitTailLatency, waitOutlook}

// Reasons for which an executor is not usable.
const (
	hostUnreported      = "host not reported"
	leasesWithheld      = "leases withheld"
	hostSuspended       = "host suspended"
	ordersUndeliverable = "orders undeliverable"
	executorNotDurable  = "not durable"
	executorUnreachable = "unreachable"
	executorHidesRuns   = "runs not listed"
	executorRunsUnknown = "runs unknown"
	executorDraining    = "draining"
	dataCentreOut       = "out of service"
)

// exclusions lists why an executor is not usable, in the order in which that is checked.
var exclusions = []string{
	hostUnreported, leasesWithheld, hostSuspended, ordersUndeliverable, executorNotDurable, executorUnreachable, executorHidesRuns, executorRunsUnknown,
	executorDraining, dataCentreOut,
}

// countsText returns the counts that are not 0, each after its reason.
func countsText(reasons []string, counts map[string]int) string {
	var parts []string
	for _, reason := range reasons {
		if n := counts[reason]; n > 0 {
			parts = append(parts, fmt.Sprint(reason, " ", n))
		}
	}
	return strings.Join(parts, ", ")
}

// stepWaitReasons returns all that a task may wait for that is not long-running.
func stepWaitReasons() []string {
	reasons := []string{waitNoQueue, waitUnlisted, waitBackoff, waitNoExecutor}
	reasons = append(reasons, refusals...)
	return append(reasons, waitAdvice, waitAdviceDenied, waitGang, waitGangRuns, waitNextPass, waitNotEvaluated)
}

// stepWait is a time in which a step that is not long-running has waiting tasks and starts none of them. The
// awaits of its state is what those of its tasks wait for that may be tried on executors.
type stepWait struct {
	waitState
	step *step
	// first is the first task that waits, firstAwaits what it waits for, and firstUnlisted the first one that
	// waits for lists of executors.
	first, firstUnlisted *task
	firstAwaits          string
	// unlisted and backoff are the numbers of the tasks that wait for lists of executors and for the end of
	// their backoff, and others that of those that wait for awaits.
	unlisted, backoff, others int
}

func (w *stepWait) sample() string { return w.firstAwaits }

// beginWait records that a step has waiting tasks.
func (s *step) beginWait(now time.Time, reason string) {
	s.wait = &stepWait{waitState: waitState{since: now, reason: reason}, step: s}
}

// restartStepWait records that one of the waiting tasks of a step gets a run.
func (c *Conductor) restartStepWait(now time.Time, s *step) {
	if s.wait == nil {
		return
	}
	c.countLongStepWait(now, s.wait)
	if s.waiting == 1 {
		s.wait = nil
		return
	}
	s.beginWait(now, waitStarted)
}

func (c *Conductor) countLongStepWait(now time.Time, w *stepWait) {
	c.countLongWait(now, &w.waitState, "ordinary.long_waits")
}

// stepWaits returns the waits of the steps that wait, in the order in which the steps are scheduled.
func (c *Conductor) stepWaits() []*stepWait {
	var waits []*stepWait
	for _, s := range c.steps {
		if s.wait != nil && s.waiting > 0 && !s.occurrence.workload.terminal() {
			waits = append(waits, s.wait)
		}
	}
	return waits
}

// checkStepWaits does the part of checkWaits for steps that are not long-running.
func (c *Conductor) checkStepWaits(now time.Time, e *waitEvaluation) {
	waits := c.stepWaits()
	lines := dueLines(now, waits)
	for _, w := range lines {
		e.updateStep(w)
	}
	counts := map[string]int{}
	long := int64(0)
	for _, w := range byEvaluation(waits) {
		if !w.checkedAt.Equal(now) {
			e.updateStep(w)
		}
		w.addTo(counts)
		c.countLongStepWait(now, w)
		if w.counted {
			long++
		}
	}
	for _, reason := range stepWaitReasons() {
		c.setGauge(waitGauge(gaugeStepsWaiting, reason), int64(counts[reason]))
	}
	c.setGauge(gaugeLongStepWaits, long)
	for _, w := range lines {
		c.logStepWait(e, w)
	}
}

// countLeftOut returns, by service, the numbers of executors that are not usable by the reason.
func (c *Conductor) countLeftOut() map[string]map[string]int {
	leftOut := map[string]map[string]int{}
	for _, e := range c.allExecutors() {
		reason := c.exclusion(e)
		if reason == "" {
			continue
		}
		if leftOut[e.service] == nil {
			leftOut[e.service] = map[string]int{}
		}
		leftOut[e.service][reason]++
	}
	return leftOut
}

// setLeftOut sets the gauges of the executors that are not usable to counts by service.
func (c *Conductor) setLeftOut(leftOut map[string]map[string]int) {
	for _, reason := range exclusions {
		sum := 0
		for _, counts := range leftOut {
			sum += counts[reason]
		}
		c.setGauge(waitGauge(gaugeLeftOut, reason), int64(sum))
	}
}

// describePool returns how many executors are usable for a step, how many refuse it and why if all do, and
// how many are not usable and why.
func (e *waitEvaluation) describePool(s *step) (usable int, refused, leftOut string) {
	q, ok := e.pass.conductor.queue(s.occurrence.workload)
	if !ok {
		return 0, "", ""
	}
	if r := e.rooms[s]; !r.any {
		refused = countsText(refusals, r.refused)
	}
	return len(e.pass.pool(q.Service)), refused, countsText(exclusions, e.leftOut[q.Service])
}

// updateStep finds out what the tasks of a step wait for.
func (e *waitEvaluation) updateStep(w *stepWait) {
	now := e.pass.now
	w.checkedAt = now
	e.countTasks(w)
	s := w.step
	c := e.pass.conductor
	_, configured := c.queue(s.occurrence.workload)
	whole := ""
	switch {
	case !configured:
		whole = waitNoQueue
	case s.spec.Gang && s.waiting < len(s.tasks):
		whole = waitGangRuns
	case s.spec.Gang && w.unlisted > 0:
		whole = waitUnlisted
	case s.spec.Gang && w.backoff > 0:
		whole = waitBackoff
	}
	if whole != "" {
		if whole == waitUnlisted {
			w.first = w.firstUnlisted
		}
		w.unlisted, w.backoff, w.others = 0, 0, s.waiting
		w.awaits, w.firstAwaits, w.evaluatedAt = whole, whole, time.Time{}
		return
	}
	if w.others > 0 {
		reason, ok := e.evaluateStep(s)
		w.set(now, reason, ok)
	}
	if w.firstAwaits == "" {
		w.firstAwaits = w.awaits
	}
}

// countTasks counts the waiting tasks of a step by what keeps them from being tried on executors.
func (e *waitEvaluation) countTasks(w *stepWait) {
	c, now := e.pass.conductor, e.pass.now
	w.first, w.firstUnlisted, w.firstAwaits = w.step.tasks[0], nil, ""
	w.unlisted, w.backoff, w.others = 0, 0, 0
	found := false
	for _, t := range w.step.tasks {
		if t.done || t.current != nil {
			continue
		}
		count, reason := &w.others, ""
		switch {
		case c.awaitsExecutors(t):
			count, reason = &w.unlisted, waitUnlisted
		case now.Before(t.notBefore):
			count, reason = &w.backoff, waitBackoff
		}
		if !found {
			w.first, w.firstAwaits, found = t, reason, true
		}
		if w.firstUnlisted == nil && reason == waitUnlisted {
			w.firstUnlisted = t
		}
		e.checkedTasks++
		if e.checkedTasks >= maxCheckedTasks {
			*count += w.step.waiting - w.unlisted - w.backoff - w.others
			return
		}
		*count++
	}
}

// evaluateStep returns what the tasks of a step of a configured queue that may be tried on executors wait
// for. ok is false if maxEvaluatedSteps other steps have been evaluated.
func (e *waitEvaluation) evaluateStep(s *step) (reason string, ok bool) {
	p := e.pass
	q, _ := p.conductor.queue(s.occurrence.workload)
	pool := p.pool(q.Service)
	if len(pool) == 0 {
		return waitNoExecutor, true
	}
	r, ok := e.room(s, pool)
	switch {
	case !ok:
		return "", false
	case !r.any:
		return r.lastRefusal(), true
	case q.Advised:
		reason = p.awaitsAdvice(s, pool)
	default:
		reason = waitNextPass
	}
	if reason == waitNextPass && s.spec.Gang && p.chooseGang(s, pool) == nil {
		reason = waitGang
	}
	return reason, true
}

// lastRefusal returns the last of refusals that an executor gives.
func (r room) lastRefusal() string {
	last := waitNoRoom
	for _, reason := range refusals {
		if r.refused[reason] > 0 {
			last = reason
		}
	}
	return last
}

// awaitsAdvice returns what a step of an advised queue waits for that has room on an executor.
func (p *schedulingPass) awaitsAdvice(s *step, pool []*executor) string {
	reason := waitAdviceDenied
	for _, e := range pool {
		if s.advice.denied[e.id] || p.refusal(s, e) != "" {
			continue
		}
		reason = waitAdvice
		if _, valid := s.validTicket(p.now, e); valid {
			return waitNextPass
		}
	}
	return reason
}

// addTo adds the waiting tasks of a step to counts by what they wait for.
func (w *stepWait) addTo(counts map[string]int) {
	counts[waitUnlisted] += w.unlisted
	counts[waitBackoff] += w.backoff
	if w.others > 0 {
		counts[w.awaits] += w.others
	}
}

// logStepWait logs the wait of a step, and the first executor that its first task waits for, if any.
func (c *Conductor) logStepWait(e *waitEvaluation, w *stepWait) {
	now, s := e.pass.now, w.step
	w.loggedAt = now
	job := s.occurrence.workload
	waited, age, blocked := now.Sub(w.since).Milliseconds(), now.Sub(job.acceptedAt).Milliseconds(), s.blockedMillis(now)
	usable, refused, leftOut := e.describePool(s)
	first, unlisted := c.unlistedExecutors(w.first)
	if w.firstAwaits != waitUnlisted || first == nil {
		c.logger.Info("step waits", "task", w.first.ref, "tasks", s.waiting, "running", s.countRunning(), "waitMillis", waited, "since", w.reason, "ageMillis", age,
			"for", w.firstAwaits, "unlistedTasks", w.unlisted, "backoffTasks", w.backoff, "blockedMillis", blocked,
			"usable", usable, "refused", refused, "leftOut", leftOut)
		return
	}
	c.logger.Info("step waits", "task", w.first.ref, "tasks", s.waiting, "running", s.countRunning(), "waitMillis", waited, "since", w.reason, "ageMillis", age,
		"for", w.firstAwaits, "unlistedTasks", w.unlisted, "backoffTasks", w.backoff, "blockedMillis", blocked,
		"usable", usable, "refused", refused, "leftOut", leftOut,
		"unlisted", unlisted, "executor", first.id, "host", first.host.name, "reason", first.unlistedReason(now),
		"reportAgeMillis", now.Sub(first.host.lastReportAt).Milliseconds(), "leaseMillis", first.leaseEnd.Sub(now).Milliseconds())
}

// countRunning returns the number of tasks of a step that have a run.
func (s *step) countRunning() int {
	n := 0
	for _, t := range s.tasks {
		if t.current != nil || t.originalRun != nil {
			n++
		}
	}
	return n
}

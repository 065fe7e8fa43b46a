package conductor

import (
	"time"

	"github.com/rcrowley/go-metrics"
)

// Periods of what is logged about a takeover.
const (
	// reconciliationLogPeriod is the time between two lines about the executors that a new owner
	// waits for.
	reconciliationLogPeriod = time.Second
	// hostSilence is the age of its last report from which on a host counts as silent in these lines.
	hostSilence = time.Second
)

// Reasons for which an executor that the last owner used is not listed.
const (
	hostSilent         = "host silent"
	epochNotFollowed   = "epoch not followed"
	executorUnreported = "executor not reported"
	listIncomplete     = "list incomplete"
)

// unlistedReasons lists the reasons for which an executor is not listed.
var unlistedReasons = []string{hostSilent, epochNotFollowed, executorUnreported, listIncomplete}

// gaugeUnlisted is the prefix of the names of the gauges of executors that are not listed, by the reason.
const gaugeUnlisted = "executors.unlisted."

// Reasons for the wait of a task that has lost no run.
const (
	// waitReady is that the step has become ready.
	waitReady = "ready"
	// waitTakeover is that this owner has taken over.
	waitTakeover = "takeover"
	// waitStarted is that a run of another task of the step has been started, and waitCopy that the task is
	// to get a speculative copy.
	waitStarted = "run started"
	waitCopy    = "copy"
)

// reconciliation is the progress of a takeover, for the log.
type reconciliation struct {
	// inherited is the number of executors that the last owner used.
	inherited int
	loggedAt  time.Time
	completed bool
}

// unlistedReason returns why an executor that the last owner used is not listed.
func (e *executor) unlistedReason(now time.Time) string {
	switch {
	case !e.host.reported || now.Sub(e.host.lastReportAt) > hostSilence:
		return hostSilent
	case !e.host.followsEpoch:
		return epochNotFollowed
	case e.incomplete:
		return listIncomplete
	}
	return executorUnreported
}

// logReconciliation logs, once, that every executor that the last owner used is listed or idle, and
// until then which ones are not.
func (c *Conductor) logReconciliation(now time.Time) {
	if c.reconciliation.completed {
		return
	}
	took := now.Sub(c.startedAt)
	c.updateReconciled()
	if c.reconciled {
		c.reconciliation.completed = true
		c.setUnlisted(nil)
		metrics.GetOrRegisterTimer("executors.reconciled", c.registry).Update(took)
		c.logger.Info("executors reconciled", "epoch", c.epoch, "tookMillis", took.Milliseconds(), "inherited", c.reconciliation.inherited)
		return
	}
	if now.Sub(c.reconciliation.loggedAt) < reconciliationLogPeriod {
		return
	}
	c.reconciliation.loggedAt = now
	counts := map[string]int{}
	var first *executor
	unlisted := 0
	for _, e := range c.allExecutors() {
		if e.listed {
			continue
		}
		unlisted++
		counts[e.unlistedReason(now)]++
		if first == nil {
			first = e
		}
	}
	c.setUnlisted(counts)
	c.logger.Info("executors not listed", "epoch", c.epoch, "elapsedMillis", took.Milliseconds(), "executors", unlisted,
		"hostSilent", counts[hostSilent], "epochNotFollowed", counts[epochNotFollowed],
		"unreported", counts[executorUnreported], "incomplete", counts[listIncomplete],
		"executor", first.id, "host", first.host.name, "reason", first.unlistedReason(now),
		"reportAgeMillis", now.Sub(first.host.lastReportAt).Milliseconds(), "leaseMillis", first.leaseEnd.Sub(now).Milliseconds())
}

// setUnlisted sets the gauges of the executors that are not listed to counts by their reason.
func (c *Conductor) setUnlisted(counts map[string]int) {
	for _, reason := range unlistedReasons {
		c.setGauge(waitGauge(gaugeUnlisted, reason), int64(counts[reason]))
	}
}

// beginWait records that a long-running task has no run, unless that is recorded already.
func (c *Conductor) beginWait(now time.Time, t *task, reason string) {
	if !t.step.spec.Lasting || t.done || t.current != nil || t.wait != nil {
		return
	}
	t.wait = &wait{waitState: waitState{since: now, reason: reason}, task: t}
	c.waits = append(c.waits, t.wait)
}

// beginWaits records that the tasks of a step that is ready have no run.
func (c *Conductor) beginWaits(now time.Time, s *step) {
	if !s.occurrence.due {
		return
	}
	reason := waitReady
	if s.occurrence.workload.inherited && now.Equal(c.startedAt) {
		reason = waitTakeover
	}
	if !s.spec.Lasting {
		if s.wait == nil {
			s.beginWait(now, reason)
		}
		return
	}
	for _, t := range s.tasks {
		c.beginWait(now, t, reason)
	}
}

// logFreed begins the wait of a task that has lost its run r, and logs that if the task is long-running.
func (c *Conductor) logFreed(now time.Time, r *run, reason string) {
	s := r.task.step
	if s.occurrence.workload.terminal() {
		return
	}
	if !s.spec.Lasting {
		if s.waiting == 1 {
			s.beginWait(now, reason)
		}
		return
	}
	c.beginWait(now, r.task, reason)
	c.count("long_running.freed")
	c.logger.Info("long-running task freed", "run", r.ref, "executor", r.executor.id, "born", r.executor.incarnation, "host", r.executor.host.name, "reason", reason,
		"runMillis", now.Sub(r.startedAt).Milliseconds())
}

// endWait records that a task has the run r. If the task is long-running and may have run before, it logs
// how long it had none.
func (c *Conductor) endWait(now time.Time, r *run) {
	c.restartStepWait(now, r.task.step)
	w := r.task.wait
	if w == nil {
		return
	}
	r.task.wait = nil
	c.countLongWait(now, &w.waitState, "long_running.long_waits")
	if w.reason == waitReady || r.ordersNumber == 0 {
		return // It is the first run, or was found in a report and may have run all the time.
	}
	metrics.GetOrRegisterTimer("long_running.away", c.registry).Update(now.Sub(w.since))
	c.logger.Info("long-running task restarted", "run", r.ref, "executor", r.executor.id, "born", r.executor.incarnation, "awayMillis", now.Sub(w.since).Milliseconds(), "reason", w.reason)
}

// blockedMillis returns for how many milliseconds the step has been blocked; 0 if it is not.
func (s *step) blockedMillis(now time.Time) int64 {
	if s.blockedAt.IsZero() {
		return 0
	}
	return now.Sub(s.blockedAt).Milliseconds()
}

package leaser

import (
	"time"

	"apricotwinch"
	"apricotwinch/messenger"
)

// Phases of a task that the worker reports.
const (
	workerRunning   = "running"
	workerCompleted = "completed"
	workerFailed    = "failed"
	workerStopped   = "stopped"
	workerLapsed    = "lapsed"
)

// Started processes the worker's answer to a start; err is nil if the attempt was started. If an
// error leaves open whether it was, the next list of the worker's tasks resolves that.
func (l *Leaser) Started(now time.Time, id apricotwinch.AttemptID, err error) Actions {
	a := l.attempts[id]
	if a == nil || a.phase != starting {
		return Actions{}
	}
	kind := apricotwinch.KindOf(err)
	switch {
	case err == nil:
		l.markRunning(now, a)
	case kind.ErrorResponse().NotRun() && kind != apricotwinch.Conflict:
		a.mayBeAtWorker = false
		l.end(now, a, messenger.TaskReport{Phase: messenger.ReportRefused, Reason: string(kind)})
	default:
		a.phase = unresolved
		l.nextList = now
	}
	return l.Tick(now)
}

// markRunning records that the worker runs a.
func (l *Leaser) markRunning(now time.Time, a *attempt) {
	a.phase = running
	a.startedAt = now
	a.confirmedAt = now
	if next := now.Add(l.settings.ListEvery); next.Before(l.nextList) {
		l.nextList = next
	}
}

// LeasesRenewed processes the worker's answer to the leases that were sent to it.
func (l *Leaser) LeasesRenewed(now time.Time, leases []Lease, err error) Actions {
	for _, lease := range leases {
		a := l.attempts[lease.id]
		if a == nil {
			continue
		}
		a.leaseCallPending = false
		if err != nil {
			a.retryAt = now.Add(l.settings.RetryEvery)
			continue
		}
		if lease.until.After(a.workerLeaseEnd) {
			a.workerLeaseEnd = lease.until
		}
	}
	return l.Tick(now)
}

// Stopped processes the worker's answer to a stop. The answer contains the final state of the task.
func (l *Leaser) Stopped(now time.Time, id apricotwinch.AttemptID, task messenger.WorkerTask, err error) Actions {
	a := l.attempts[id]
	if a == nil {
		return Actions{}
	}
	a.stopCallPending = false
	if err != nil {
		a.retryAt = now.Add(l.settings.RetryEvery)
		l.nextList = now
		return l.Tick(now)
	}
	l.applyWorkerTask(now, now, a, task)
	if a.mayRun() {
		a.retryAt = now.Add(l.settings.RetryEvery)
	}
	return l.Tick(now)
}

// Forgotten processes the worker's answer to a command to forget the ended attempts refs.
func (l *Leaser) Forgotten(now time.Time, refs []messenger.AttemptRef, err error) Actions {
	if err != nil {
		return Actions{}
	}
	for _, ref := range refs {
		if a := l.attempts[IDOf(ref)]; a != nil {
			a.workerForgot = true
		}
	}
	return l.Tick(now)
}

// Listed processes the list of the worker's tasks, the answer to a call that was sent at sent.
func (l *Leaser) Listed(now, sent time.Time, tasks []messenger.WorkerTask, err error) Actions {
	l.listing = false
	if err != nil {
		l.listFailures++
		l.nextList = now.Add(l.settings.RetryEvery)
		return l.Tick(now)
	}
	l.listFailures = 0
	l.nextList = now.Add(l.settings.ListEvery)
	present := make(map[apricotwinch.AttemptID]bool, len(tasks))
	for _, task := range tasks {
		id := IDOf(task.Attempt)
		present[id] = true
		a := l.attempts[id]
		if a == nil {
			a = l.adopt(sent, id)
		}
		l.applyWorkerTask(now, sent, a, task)
	}
	for _, a := range l.sortedAttempts() {
		if !present[a.id] {
			l.applyMissing(now, sent, a)
		}
	}
	if !sent.Before(l.settings.Origin.Add(l.settings.Settle)) {
		l.settled = true
	}
	return l.Tick(now)
}

// adopt takes over a task that an earlier incarnation of the agent started. Its size, partition and
// lease are unknown.
func (l *Leaser) adopt(sent time.Time, id apricotwinch.AttemptID) *attempt {
	a := &attempt{
		id:            id,
		phase:         running,
		startedAt:     sent,
		confirmedAt:   sent,
		adoptedUntil:  sent.Add(l.settings.MaxAdoptedLease),
		mayBeAtWorker: true,
	}
	if l.draining {
		a.requestStop(drainRequest())
	}
	l.attempts[id] = a
	l.reserver.AdoptAttempt(id)
	return a
}

// applyWorkerTask updates a with the state of its task in the worker's answer to a call that was sent
// at sent.
func (l *Leaser) applyWorkerTask(now, sent time.Time, a *attempt, task messenger.WorkerTask) {
	if !a.mayRun() {
		a.mayBeAtWorker = true
		a.workerForgot = false
		a.runsAfterEnd = task.Phase == workerRunning && sent.After(a.endedAt)
		return
	}
	if task.Checkpoint != nil && len(task.Checkpoint) <= maxReportBytes {
		a.checkpoint = task.Checkpoint
	}
	if task.Phase != workerRunning {
		l.end(now, a, a.finalReport(task))
		return
	}
	if a.phase != running {
		l.markRunning(now, a)
	}
	if sent.After(a.confirmedAt) {
		a.confirmedAt = sent
	}
}

// finalReport returns the report of the end of a, from the final state of its task at the worker.
func (a *attempt) finalReport(task messenger.WorkerTask) messenger.TaskReport {
	switch task.Phase {
	case workerCompleted:
		if len(task.Result) > maxReportBytes {
			return messenger.TaskReport{Phase: messenger.ReportFailed, Reason: reasonTooLarge}
		}
		return messenger.TaskReport{Phase: messenger.ReportCompleted, Result: task.Result}
	case workerFailed:
		return messenger.TaskReport{Phase: messenger.ReportFailed, Reason: task.Reason}
	case workerLapsed:
		return messenger.TaskReport{Phase: messenger.ReportEvicted, Checkpoint: a.checkpoint, Reason: reasonLeaseExpired}
	case workerStopped:
		return a.stoppedReport()
	default:
		return messenger.TaskReport{Phase: messenger.ReportFailed, Reason: "the worker reported the unknown phase " + task.Phase}
	}
}

// stoppedReport returns the report of a confirmed stop. A stop that this incarnation did not request
// was an eviction by an earlier one.
func (a *attempt) stoppedReport() messenger.TaskReport {
	request := stopRequest{phase: messenger.ReportEvicted}
	if a.stop != nil {
		request = *a.stop
	}
	report := messenger.TaskReport{Phase: request.phase, Reason: request.reason}
	if request.phase == messenger.ReportEvicted {
		report.Checkpoint = a.checkpoint
	}
	return report
}

// applyMissing updates a when the worker's answer to a list that was sent at sent doesn't include it.
func (l *Leaser) applyMissing(now, sent time.Time, a *attempt) {
	switch {
	case a.phase == ended:
		a.runsAfterEnd = a.runsAfterEnd && !sent.After(a.endedAt)
		if sent.After(a.endedAt) && sent.After(a.startDeadline) {
			a.workerForgot = true
		}
	case a.phase == unresolved && sent.After(a.startDeadline):
		a.mayBeAtWorker = false
		l.end(now, a, messenger.TaskReport{Phase: messenger.ReportRefused, Reason: reasonNotStarted})
	case a.phase == running && sent.After(a.startedAt) && a.stop != nil:
		l.end(now, a, a.stoppedReport())
	case a.phase == running && sent.After(a.startedAt):
		l.end(now, a, messenger.TaskReport{Phase: messenger.ReportFailed, Reason: reasonWorkerLost})
	}
}

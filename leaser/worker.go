package leaser

import (
	"time"

	"apricotwinch"
	"apricotwinch/messenger"
)

// Phases of a task at the worker.
const (
	workerRunning   = "running"
	workerCompleted = "completed"
	workerFailed    = "failed"
	workerStopped   = "stopped"
	workerLapsed    = "lapsed"
)

// Started takes the worker's answer to a start: nil when it was started. After
// an error that leaves open whether it was, the list of tasks settles it.
func (l *Leaser) Started(now time.Time, id apricotwinch.AttemptID, err error) Actions {
	a := l.attempts[id]
	if a == nil || a.phase != starting {
		return Actions{}
	}
	kind := apricotwinch.KindOf(err)
	switch {
	case err == nil:
		l.run(now, a)
	case kind.Answer().NotRun() && kind != apricotwinch.Conflict:
		a.atWorker = false
		l.end(now, a, messenger.TaskReport{Phase: messenger.ReportRefused, Reason: string(kind)})
	default:
		a.phase = unresolved
		l.nextList = now
	}
	return l.Tick(now)
}

// run notes that the worker runs a.
func (l *Leaser) run(now time.Time, a *attempt) {
	a.phase = running
	a.startedAt = now
	a.confirmed = now
	if next := now.Add(l.settings.ListEvery); next.Before(l.nextList) {
		l.nextList = next
	}
}

// LeasesTold takes the worker's answer to leases that it was told.
func (l *Leaser) LeasesTold(now time.Time, leases []Lease, err error) Actions {
	for _, lease := range leases {
		a := l.attempts[lease.id]
		if a == nil {
			continue
		}
		a.telling = false
		if err != nil {
			a.retryAt = now.Add(l.settings.RetryEvery)
			continue
		}
		if lease.until.After(a.told) {
			a.told = lease.until
		}
	}
	return l.Tick(now)
}

// Stopped takes the worker's answer to a stop: the task as it ended.
func (l *Leaser) Stopped(now time.Time, id apricotwinch.AttemptID, task messenger.WorkerTask, err error) Actions {
	a := l.attempts[id]
	if a == nil {
		return Actions{}
	}
	a.stopping = false
	if err != nil {
		a.retryAt = now.Add(l.settings.RetryEvery)
		l.nextList = now
		return l.Tick(now)
	}
	l.apply(now, now, a, task)
	if a.live() {
		a.retryAt = now.Add(l.settings.RetryEvery)
	}
	return l.Tick(now)
}

// Forgotten takes the worker's answer to a command to forget ended attempts.
func (l *Leaser) Forgotten(now time.Time, refs []messenger.AttemptRef, err error) Actions {
	if err != nil {
		return Actions{}
	}
	for _, ref := range refs {
		if a := l.attempts[IDOf(ref)]; a != nil {
			a.forgotten = true
		}
	}
	return l.Tick(now)
}

// Listed takes the worker's tasks as of a call that was sent at sent.
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
		l.apply(now, sent, a, task)
	}
	for _, a := range l.sorted() {
		if !present[a.id] {
			l.missing(now, sent, a)
		}
	}
	if !sent.Before(l.settings.Origin.Add(l.settings.Settle)) {
		l.settled = true
	}
	return l.Tick(now)
}

// adopt takes over a task that an earlier incarnation of the agent started.
func (l *Leaser) adopt(sent time.Time, id apricotwinch.AttemptID) *attempt {
	a := &attempt{
		id:        id,
		phase:     running,
		startedAt: sent,
		confirmed: sent,
		adopted:   sent.Add(l.settings.AdoptedLease),
		atWorker:  true,
	}
	if l.draining {
		a.order(drainOrder())
	}
	l.attempts[id] = a
	l.arbiter.AdoptAttempt(id)
	return a
}

// apply takes what the worker said of a in an answer to a call sent at sent.
func (l *Leaser) apply(now, sent time.Time, a *attempt, task messenger.WorkerTask) {
	if !a.live() {
		a.atWorker = true
		a.forgotten = false
		a.revived = task.Phase == workerRunning && sent.After(a.endedAt)
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
		l.run(now, a)
	}
	if sent.After(a.confirmed) {
		a.confirmed = sent
	}
}

// finalReport returns the report of a's end as the worker tells it.
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
		return messenger.TaskReport{Phase: messenger.ReportEvicted, Checkpoint: a.checkpoint, Reason: reasonLapsed}
	case workerStopped:
		return a.stoppedReport()
	default:
		return messenger.TaskReport{Phase: messenger.ReportFailed, Reason: "the worker names the phase " + task.Phase}
	}
}

// stoppedReport returns the report of a confirmed stop. A stop that nobody
// ordered here was an eviction by an earlier incarnation.
func (a *attempt) stoppedReport() messenger.TaskReport {
	order := stopOrder{phase: messenger.ReportEvicted}
	if a.stop != nil {
		order = *a.stop
	}
	report := messenger.TaskReport{Phase: order.phase, Reason: order.reason}
	if order.phase == messenger.ReportEvicted {
		report.Checkpoint = a.checkpoint
	}
	return report
}

// missing takes that the worker didn't list a in an answer to a call sent at sent.
func (l *Leaser) missing(now, sent time.Time, a *attempt) {
	switch {
	case a.phase == ended:
		a.revived = a.revived && !sent.After(a.endedAt)
		if sent.After(a.endedAt) && sent.After(a.startBefore) {
			a.forgotten = true
		}
	case a.phase == unresolved && sent.After(a.startBefore):
		a.atWorker = false
		l.end(now, a, messenger.TaskReport{Phase: messenger.ReportRefused, Reason: reasonNotStarted})
	case a.phase == running && sent.After(a.startedAt) && a.stop != nil:
		l.end(now, a, a.stoppedReport())
	case a.phase == running && sent.After(a.startedAt):
		l.end(now, a, messenger.TaskReport{Phase: messenger.ReportFailed, Reason: reasonWorkerLost})
	}
}

package leaser

import (
	"time"

	"apricotwinch"
	"apricotwinch/messenger"
)

// phase is the state of an attempt at the worker, as far as the agent knows.
type phase int

const (
	// starting means that the start was sent and not answered yet.
	starting phase = iota
	// unresolved means that the answer to the start was lost, so the attempt may run or not.
	unresolved
	// running means that the worker confirmed that the attempt runs.
	running
	// ended means that the attempt does not run and never will again.
	ended
)

const (
	reasonLeaseExpired = "lease lapsed"
	reasonWorkerLost   = "the worker does not know the task"
	reasonTooLarge     = "the result is over 4 MiB"
	reasonNotStarted   = "the worker did not start the task"
)

// stopRequest says why an attempt is stopped, whether it takes a checkpoint first, and the phase
// that is reported for its end.
type stopRequest struct {
	checkpoint bool
	phase      string
	reason     string
}

// attempt is the state of one attempt as the agent knows it.
//
// The partition is unknown while partitionKnown is false: the task was found at the worker and no
// owner has claimed it yet. The field refusalReplied is set if the attempt was refused in the reply
// to a command: nothing is left to report, and a repeated command gets the same reply.
type attempt struct {
	id             apricotwinch.AttemptID
	partition      int
	partitionKnown bool
	phase          phase

	startDeadline    time.Time
	startedAt        time.Time
	confirmedAt      time.Time
	leaseEnd         time.Time
	workerLeaseEnd   time.Time
	leaseCallPending bool
	adoptedUntil     time.Time
	checkpoint       []byte

	stop            *stopRequest
	stopCallPending bool
	retryAt         time.Time

	report         messenger.TaskReport
	endedAt        time.Time
	refusalReplied bool
	durable        bool
	mayBeAtWorker  bool
	workerForgot   bool
	runsAfterEnd   bool
	unclaimed      bool
}

// mayRun reports whether a may run at the worker.
func (a *attempt) mayRun() bool { return a.phase != ended }

// latestLeaseEnd returns the latest time until which the worker may keep a running.
func (a *attempt) latestLeaseEnd() time.Time {
	if a.adoptedUntil.After(a.leaseEnd) {
		return a.adoptedUntil
	}
	return a.leaseEnd
}

// unreported reports whether the end of a must still be recorded in the log.
func (a *attempt) unreported() bool {
	return a.phase == ended && !a.durable && !a.refusalReplied && !a.unclaimed
}

// stopDue reports whether a stop of a must be sent to the worker.
func (a *attempt) stopDue() bool {
	if a.stopCallPending {
		return false
	}
	return a.runsAfterEnd || a.phase == running && a.stop != nil
}

// leaseDue reports whether a longer lease of a must be sent to the worker.
func (a *attempt) leaseDue() bool {
	if a.phase != running || a.leaseCallPending || !a.workerLeaseEnd.Before(a.leaseEnd) {
		return false
	}
	return a.stop == nil || a.stop.checkpoint
}

// forgetDue reports whether the worker may delete the state that it keeps of a.
func (a *attempt) forgetDue() bool {
	return a.phase == ended && a.mayBeAtWorker && !a.runsAfterEnd && !a.workerForgot && (a.durable || a.unclaimed)
}

// requestStop requests that a is stopped. Only the first request takes effect.
func (a *attempt) requestStop(r stopRequest) {
	if a.stop == nil {
		a.stop = &r
	}
}

// currentReport returns a report of the current phase of a.
func (a *attempt) currentReport() messenger.TaskReport {
	report := a.report
	if a.mayRun() {
		report = messenger.TaskReport{Phase: messenger.ReportRunning}
	}
	report.Job = a.id.Job()
	report.Task = a.id.Task()
	report.Attempt = a.id.Attempt()
	return report
}

// runningReport returns a report that a is running. It is sent to every owner to find the one that
// claims a. It never reports the end of a, because the owner of another partition would take the
// end for already recorded.
func (a *attempt) runningReport() messenger.TaskReport {
	return messenger.TaskReport{Job: a.id.Job(), Task: a.id.Task(), Attempt: a.id.Attempt(), Phase: messenger.ReportRunning}
}

// end marks a as ended with report and releases its resources. It does nothing if a ended before.
func (l *Leaser) end(now time.Time, a *attempt, report messenger.TaskReport) {
	if !a.mayRun() {
		return
	}
	a.phase = ended
	a.report = report
	a.endedAt = now
	a.retryAt = now
	l.reserver.ReleaseAttempt(a.id)
	if o := l.owners[a.partition]; o != nil && a.partitionKnown && !a.refusalReplied {
		o.renewNow = true
	}
}

func refOf(id apricotwinch.AttemptID) messenger.AttemptRef {
	return messenger.AttemptRef{Job: id.Job(), Task: id.Task(), Attempt: id.Attempt()}
}

// IDOf returns the ID of the attempt that ref refers to.
func IDOf(ref messenger.AttemptRef) apricotwinch.AttemptID {
	return apricotwinch.NewAttemptID(ref.Job, ref.Task, ref.Attempt)
}

package leaser

import (
	"time"

	"apricotwinch"
	"apricotwinch/messenger"
)

// phase is where an attempt stands at the worker.
type phase int

const (
	// starting is a start whose answer hasn't come.
	starting phase = iota
	// unresolved is a start whose answer was lost.
	unresolved
	// running is an attempt that the worker confirmed.
	running
	// ended is an attempt that never runs again.
	ended
)

const (
	reasonLapsed     = "lease lapsed"
	reasonWorkerLost = "the worker does not know the task"
	reasonTooLarge   = "the result is over 4 MiB"
	reasonNotStarted = "the worker did not start the task"
)

// stopOrder is why and how an attempt is stopped.
type stopOrder struct {
	checkpoint bool
	phase      string
	reason     string
}

// attempt is one attempt as the agent knows it. Its partition isn't known while
// routed is false: the task was found at the worker and no owner has claimed it.
//
// It is answered when its refusal was the answer to a command: nothing is left to
// report, and a repeated command gets the same answer.
type attempt struct {
	id        apricotwinch.AttemptID
	partition int
	routed    bool
	phase     phase

	startBefore time.Time
	startedAt   time.Time
	confirmed   time.Time
	lease       time.Time
	told        time.Time
	telling     bool
	adopted     time.Time
	checkpoint  []byte

	stop     *stopOrder
	stopping bool
	retryAt  time.Time

	report    messenger.TaskReport
	endedAt   time.Time
	answered  bool
	durable   bool
	atWorker  bool
	forgotten bool
	revived   bool
	unclaimed bool
}

// live reports whether a may run at the worker.
func (a *attempt) live() bool { return a.phase != ended }

// over returns the time at which the lease that the worker may know of ends.
func (a *attempt) over() time.Time {
	if a.adopted.After(a.lease) {
		return a.adopted
	}
	return a.lease
}

// unreported reports whether the end of a must still reach the log.
func (a *attempt) unreported() bool {
	return a.phase == ended && !a.durable && !a.answered && !a.unclaimed
}

// stopDue reports whether the worker must be told to stop a.
func (a *attempt) stopDue() bool {
	if a.stopping {
		return false
	}
	return a.revived || a.phase == running && a.stop != nil
}

// leaseDue reports whether the worker must be told of a longer lease.
func (a *attempt) leaseDue() bool {
	if a.phase != running || a.telling || !a.told.Before(a.lease) {
		return false
	}
	return a.stop == nil || a.stop.checkpoint
}

// forgetDue reports whether the worker may drop what it keeps of a.
func (a *attempt) forgetDue() bool {
	return a.phase == ended && a.atWorker && !a.revived && !a.forgotten && (a.durable || a.unclaimed)
}

// order has a stopped; the first order stands.
func (a *attempt) order(o stopOrder) {
	if a.stop == nil {
		a.stop = &o
	}
}

// reportNow returns the report of a at this moment.
func (a *attempt) reportNow() messenger.TaskReport {
	report := a.report
	if a.live() {
		report = messenger.TaskReport{Phase: messenger.ReportRunning}
	}
	report.Job = a.id.Job()
	report.Task = a.id.Task()
	report.Attempt = a.id.Attempt()
	return report
}

// probe returns the report by which the owner of a is found. It never tells an
// end, which the owner of another partition would take for settled.
func (a *attempt) probe() messenger.TaskReport {
	return messenger.TaskReport{Job: a.id.Job(), Task: a.id.Task(), Attempt: a.id.Attempt(), Phase: messenger.ReportRunning}
}

// end ends a with report and gives its room back.
func (l *Leaser) end(now time.Time, a *attempt, report messenger.TaskReport) {
	if !a.live() {
		return
	}
	a.phase = ended
	a.report = report
	a.endedAt = now
	a.retryAt = now
	l.arbiter.ReleaseAttempt(a.id)
	if o := l.owners[a.partition]; o != nil && a.routed && !a.answered {
		o.urgent = true
	}
}

func refOf(id apricotwinch.AttemptID) messenger.AttemptRef {
	return messenger.AttemptRef{Job: id.Job(), Task: id.Task(), Attempt: id.Attempt()}
}

// IDOf returns the id that ref names.
func IDOf(ref messenger.AttemptRef) apricotwinch.AttemptID {
	return apricotwinch.NewAttemptID(ref.Job, ref.Task, ref.Attempt)
}

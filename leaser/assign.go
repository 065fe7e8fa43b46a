package leaser

import (
	"time"

	"apricotwinch"
	"apricotwinch/messenger"
)

// Assign checks an owner's command to start one attempt and starts it. A refused
// attempt never ran and never will, whatever commands come later.
func (l *Leaser) Assign(now time.Time, command messenger.Assign) (messenger.AssignReply, Actions) {
	if err := l.checkCommander(command); err != nil {
		return refusal(err), Actions{}
	}
	id := apricotwinch.NewAttemptID(command.Job, command.Task, command.Attempt)
	if known := l.attempts[id]; known != nil {
		return known.assignReply(), Actions{}
	}
	a := &attempt{
		id:          id,
		partition:   command.Partition,
		routed:      true,
		checkpoint:  command.Checkpoint,
		startBefore: l.startBefore(command),
		lease:       l.firstLease(command),
		confirmed:   now,
	}
	l.attempts[id] = a
	if err := l.checkStart(now, a, command); err != nil {
		a.answered = true
		l.end(now, a, messenger.TaskReport{Phase: messenger.ReportRefused, Reason: string(apricotwinch.KindOf(err))})
		return refusal(err), Actions{}
	}
	a.atWorker = true
	a.told = a.lease
	return messenger.AssignReply{Accepted: true}, Actions{Starts: []messenger.WorkerStart{workerStart(now, a, command)}}
}

// checkCommander returns an error unless the command is for this process and by
// an owner that isn't known to be replaced.
func (l *Leaser) checkCommander(command messenger.Assign) error {
	if command.Incarnation != l.settings.Incarnation {
		return apricotwinch.Errorf(apricotwinch.StaleIncarnation,
			"the command is for incarnation %q, this is %q", command.Incarnation, l.settings.Incarnation)
	}
	return l.checkEpoch(command.Partition, command.Epoch)
}

// startBefore returns the time after which the attempt must not start.
func (l *Leaser) startBefore(command messenger.Assign) time.Time {
	before := l.ticketTime(command.TicketMillis).Add(l.settings.TicketLife)
	if proved := l.view.provedAt.Add(l.settings.ViewLife); proved.Before(before) {
		return proved
	}
	return before
}

// firstLease returns the end of the lease that command grants.
func (l *Leaser) firstLease(command messenger.Assign) time.Time {
	return l.ticketTime(command.TicketMillis).Add(time.Duration(command.LeaseMillis) * time.Millisecond)
}

// checkStart returns an error unless a may start now, and reserves its room.
func (l *Leaser) checkStart(now time.Time, a *attempt, command messenger.Assign) error {
	if command.TicketMillis < 0 || command.TicketMillis > l.Ticket(now) {
		return apricotwinch.Errorf(apricotwinch.Invalid, "ticketMillis: %d is not a ticket of this agent", command.TicketMillis)
	}
	if err := l.checkAge(now, command); err != nil {
		return err
	}
	if l.draining {
		return apricotwinch.Errorf(apricotwinch.Draining, "the host is leaving")
	}
	if !l.settled {
		return apricotwinch.Errorf(apricotwinch.NoCapacity, "the tasks at the worker are not known yet")
	}
	if err := l.checkView(now); err != nil {
		return err
	}
	for _, other := range l.attempts {
		if other.live() && other != a && other.id.Job() == a.id.Job() && other.id.Task() == a.id.Task() {
			return apricotwinch.Errorf(apricotwinch.Conflict, "attempt %s of the same task may still run", other.id)
		}
	}
	return l.arbiter.ReserveAttempt(a.id, command.Spec.Resources.Value())
}

// checkAge returns an error when the command is too old. Its refusal must be
// remembered: the owner may have sent a fresher copy.
func (l *Leaser) checkAge(now time.Time, command messenger.Assign) error {
	if age := now.Sub(l.ticketTime(command.TicketMillis)); age > l.settings.TicketLife {
		return apricotwinch.Errorf(apricotwinch.DeadlineExceeded, "ticketMillis: the ticket is %s old, over %s", age, l.settings.TicketLife)
	}
	if !now.Before(l.firstLease(command)) {
		return apricotwinch.Errorf(apricotwinch.DeadlineExceeded, "leaseMillis: the lease is over before the start")
	}
	return nil
}

// assignReply answers a repeated command for a known attempt.
func (a *attempt) assignReply() messenger.AssignReply {
	if a.phase == ended && a.report.Phase == messenger.ReportRefused {
		return messenger.AssignReply{Kind: a.report.Reason, Text: "the attempt was refused before"}
	}
	return messenger.AssignReply{Accepted: true}
}

func refusal(err error) messenger.AssignReply {
	return messenger.AssignReply{Kind: string(apricotwinch.KindOf(err)), Text: err.Error()}
}

func workerStart(now time.Time, a *attempt, command messenger.Assign) messenger.WorkerStart {
	return messenger.WorkerStart{
		Attempt:               refOf(a.id),
		Resources:             command.Spec.Resources,
		Urgency:               command.Spec.Urgency,
		RunMillis:             command.Spec.RunMillis,
		Watch:                 command.Spec.Kind == messenger.JobWatch,
		StartBeforeUnixMillis: unixMillis(now, a.startBefore),
		LeaseUntilUnixMillis:  unixMillis(now, a.lease),
		Payload:               command.Spec.Payload,
		Checkpoint:            command.Checkpoint,
	}
}

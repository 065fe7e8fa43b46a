package leaser

import (
	"time"

	"apricotwinch"
	"apricotwinch/messenger"
)

// Assign checks an owner's command to start one attempt and starts the attempt if it is accepted.
// A refused attempt never ran and never will, whatever commands follow.
func (l *Leaser) Assign(now time.Time, command messenger.Assign) (messenger.AssignReply, Actions) {
	if err := l.checkSender(command); err != nil {
		return refusedReply(err), Actions{}
	}
	id := apricotwinch.NewAttemptID(command.Job, command.Task, command.Attempt)
	if known := l.attempts[id]; known != nil {
		return known.assignReply(), Actions{}
	}
	a := &attempt{
		id:             id,
		partition:      command.Partition,
		partitionKnown: true,
		checkpoint:     command.Checkpoint,
		startDeadline:  l.startDeadline(command),
		leaseEnd:       l.firstLeaseEnd(command),
		confirmedAt:    now,
	}
	l.attempts[id] = a
	if err := l.checkStart(now, a, command); err != nil {
		a.refusalReplied = true
		l.end(now, a, messenger.TaskReport{Phase: messenger.ReportRefused, Reason: string(apricotwinch.KindOf(err))})
		return refusedReply(err), Actions{}
	}
	a.mayBeAtWorker = true
	a.workerLeaseEnd = a.leaseEnd
	return messenger.AssignReply{Accepted: true}, Actions{Starts: []messenger.WorkerStart{workerStart(now, a, command)}}
}

// checkSender returns an error if the command is for another incarnation of the agent, or if its
// sender is known to have been replaced as the owner.
func (l *Leaser) checkSender(command messenger.Assign) error {
	if command.Incarnation != l.settings.Incarnation {
		return apricotwinch.Errorf(apricotwinch.StaleIncarnation,
			"the command is for incarnation %q, this is %q", command.Incarnation, l.settings.Incarnation)
	}
	return l.checkEpoch(command.Partition, command.Epoch)
}

// startDeadline returns the time after which the attempt must not start.
func (l *Leaser) startDeadline(command messenger.Assign) time.Time {
	before := l.ticketTime(command.TicketMillis).Add(l.settings.MaxTicketAge)
	if proved := l.proof.provedAt.Add(l.settings.MaxViewAge); proved.Before(before) {
		return proved
	}
	return before
}

// firstLeaseEnd returns the end of the lease that command grants, counted from its ticket.
func (l *Leaser) firstLeaseEnd(command messenger.Assign) time.Time {
	return l.ticketTime(command.TicketMillis).Add(time.Duration(command.LeaseMillis) * time.Millisecond)
}

// checkStart reserves the resources of a, or returns an error if a must not start now.
func (l *Leaser) checkStart(now time.Time, a *attempt, command messenger.Assign) error {
	if command.TicketMillis < 0 || command.TicketMillis > l.Ticket(now) {
		return apricotwinch.Errorf(apricotwinch.Invalid, "ticketMillis: %d is not a ticket of this agent", command.TicketMillis)
	}
	if err := l.checkAge(now, command); err != nil {
		return err
	}
	if l.draining {
		return apricotwinch.Errorf(apricotwinch.Draining, "the host is draining")
	}
	if !l.settled {
		return apricotwinch.Errorf(apricotwinch.NoCapacity, "the tasks at the worker are not known yet")
	}
	if err := l.checkDataCentre(now); err != nil {
		return err
	}
	for _, other := range l.attempts {
		if other.mayRun() && other != a && other.id.Job() == a.id.Job() && other.id.Task() == a.id.Task() {
			return apricotwinch.Errorf(apricotwinch.Conflict, "attempt %s of the same task may still run", other.id)
		}
	}
	return l.reserver.ReserveAttempt(a.id, command.Spec.Resources.Value())
}

// checkAge returns an error if the command is too old. The caller must remember the refusal, because
// the owner may have sent a fresher copy of the command.
func (l *Leaser) checkAge(now time.Time, command messenger.Assign) error {
	if age := now.Sub(l.ticketTime(command.TicketMillis)); age > l.settings.MaxTicketAge {
		return apricotwinch.Errorf(apricotwinch.DeadlineExceeded, "ticketMillis: the ticket is %s old, the limit is %s", age, l.settings.MaxTicketAge)
	}
	if !now.Before(l.firstLeaseEnd(command)) {
		return apricotwinch.Errorf(apricotwinch.DeadlineExceeded, "leaseMillis: the lease ended before the start")
	}
	return nil
}

// assignReply returns the reply to a repeated command for a known attempt.
func (a *attempt) assignReply() messenger.AssignReply {
	if a.phase == ended && a.report.Phase == messenger.ReportRefused {
		return messenger.AssignReply{Kind: a.report.Reason, Text: "the attempt was refused earlier"}
	}
	return messenger.AssignReply{Accepted: true}
}

func refusedReply(err error) messenger.AssignReply {
	return messenger.AssignReply{Kind: string(apricotwinch.KindOf(err)), Text: err.Error()}
}

func workerStart(now time.Time, a *attempt, command messenger.Assign) messenger.WorkerStart {
	return messenger.WorkerStart{
		Attempt:               refOf(a.id),
		Resources:             command.Spec.Resources,
		Urgency:               command.Spec.Urgency,
		RunMillis:             command.Spec.RunMillis,
		Watch:                 command.Spec.Kind == messenger.JobWatch,
		StartBeforeUnixMillis: unixMillis(now, a.startDeadline),
		LeaseUntilUnixMillis:  unixMillis(now, a.leaseEnd),
		Payload:               command.Spec.Payload,
		Checkpoint:            command.Checkpoint,
	}
}

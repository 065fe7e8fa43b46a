package leaser

import (
	"time"

	"apricotwinch"
	"apricotwinch/messenger"
)

// ReasonCanceled is the reason that a command gives for stopping an attempt of a canceled job.
const ReasonCanceled = "canceled"

// Stop processes an owner's command to stop one attempt. It fails with kind StaleEpoch if the owner
// was replaced. An attempt that isn't known is refused if it is assigned later. The end of a known
// attempt is reported by a renewal.
func (l *Leaser) Stop(now time.Time, command messenger.Stop) (messenger.StopReply, Actions, error) {
	if err := l.checkEpoch(command.Partition, command.Epoch); err != nil {
		return messenger.StopReply{}, Actions{}, err
	}
	id := apricotwinch.NewAttemptID(command.Job, command.Task, command.Attempt)
	a := l.attempts[id]
	if a == nil {
		l.attempts[id] = l.newRevoked(now, id, command.Partition)
		return messenger.StopReply{}, Actions{}, nil
	}
	if !a.mayRun() {
		return messenger.StopReply{Found: a.report.Phase != messenger.ReportRefused}, Actions{}, nil
	}
	a.requestStop(stopRequest{checkpoint: command.Checkpoint, phase: stopPhase(command.Reason), reason: command.Reason})
	var actions Actions
	l.addWorkerCalls(now, a, &actions)
	return messenger.StopReply{Found: true}, actions, nil
}

// newRevoked returns the record of an attempt that was stopped before its assignment arrived.
func (l *Leaser) newRevoked(now time.Time, id apricotwinch.AttemptID, partition int) *attempt {
	return &attempt{
		id:             id,
		partition:      partition,
		partitionKnown: true,
		phase:          ended,
		report:         messenger.TaskReport{Phase: messenger.ReportRefused, Reason: string(apricotwinch.Revoked)},
		endedAt:        now,
		refusalReplied: true,
	}
}

func stopPhase(reason string) string {
	if reason == ReasonCanceled {
		return messenger.ReportStopped
	}
	return messenger.ReportEvicted
}

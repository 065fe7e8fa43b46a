package leaser

import (
	"time"

	"apricotwinch"
	"apricotwinch/messenger"
)

// ReasonCanceled is the reason of a stop command for a canceled job.
const ReasonCanceled = "canceled"

// Stop takes an owner's command to stop one attempt. It fails with kind
// StaleEpoch for a replaced owner. An attempt that isn't known never starts
// later. The end of a known one is reported by a renewal.
func (l *Leaser) Stop(now time.Time, command messenger.Stop) (messenger.StopReply, Actions, error) {
	if err := l.checkEpoch(command.Partition, command.Epoch); err != nil {
		return messenger.StopReply{}, Actions{}, err
	}
	id := apricotwinch.NewAttemptID(command.Job, command.Task, command.Attempt)
	a := l.attempts[id]
	if a == nil {
		l.attempts[id] = l.revoked(now, id, command.Partition)
		return messenger.StopReply{}, Actions{}, nil
	}
	if !a.live() {
		return messenger.StopReply{Found: a.report.Phase != messenger.ReportRefused}, Actions{}, nil
	}
	a.order(stopOrder{checkpoint: command.Checkpoint, phase: stopPhase(command.Reason), reason: command.Reason})
	var actions Actions
	l.advance(now, a, &actions)
	return messenger.StopReply{Found: true}, actions, nil
}

// revoked returns an attempt that was stopped before its assignment arrived.
func (l *Leaser) revoked(now time.Time, id apricotwinch.AttemptID, partition int) *attempt {
	return &attempt{
		id:        id,
		partition: partition,
		routed:    true,
		phase:     ended,
		report:    messenger.TaskReport{Phase: messenger.ReportRefused, Reason: string(apricotwinch.Revoked)},
		endedAt:   now,
		answered:  true,
	}
}

func stopPhase(reason string) string {
	if reason == ReasonCanceled {
		return messenger.ReportStopped
	}
	return messenger.ReportEvicted
}

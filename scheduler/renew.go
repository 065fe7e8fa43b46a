package scheduler

import (
	"time"

	"apricotwinch"
	"apricotwinch/messenger"
)

// reportRule is what one phase of an agent's report does to an attempt.
type reportRule struct {
	recordType string
	fill       func(record *messenger.LedgerRecord, report messenger.TaskReport)
}

// reportRules is the table from final phase to the record that ends the attempt.
var reportRules = map[string]reportRule{
	messenger.ReportCompleted: {recordType: messenger.RecordCompleted, fill: fillResult},
	messenger.ReportFailed:    {recordType: messenger.RecordFailed, fill: fillReason},
	messenger.ReportEvicted:   {recordType: messenger.RecordEvicted, fill: fillCheckpoint},
	messenger.ReportStopped:   {recordType: messenger.RecordReturned, fill: fillReason},
	messenger.ReportRefused:   {recordType: messenger.RecordReturned, fill: fillReason},
}

func fillResult(record *messenger.LedgerRecord, report messenger.TaskReport) {
	record.Result = report.Result
}

func fillReason(record *messenger.LedgerRecord, report messenger.TaskReport) {
	record.Reason = report.Reason
}

func fillCheckpoint(record *messenger.LedgerRecord, report messenger.TaskReport) {
	record.Checkpoint = report.Checkpoint
	record.Reason = report.Reason
}

// Renew answers an agent's request: it grants the leases of current attempts,
// names those that must stop and those whose end is durable, and returns the
// records of ends that are not. A superseded scheduler grants nothing.
func (s *Scheduler) Renew(now time.Time, renew messenger.Renew) (messenger.RenewReply, []Action) {
	reply := messenger.RenewReply{
		Epoch:       int(s.epoch),
		LeaseMillis: int(s.config.Lease.Milliseconds()),
	}
	if s.Superseded() {
		return reply, nil
	}
	var actions []Action
	for _, report := range renew.Reports {
		actions = append(actions, s.renewOne(now, renew, report, &reply)...)
	}
	return reply, actions
}

func (s *Scheduler) renewOne(now time.Time, renew messenger.Renew, report messenger.TaskReport, reply *messenger.RenewReply) []Action {
	ref := messenger.AttemptRef{Job: report.Job, Task: report.Task, Attempt: report.Attempt}
	a := s.attempts.get(apricotwinch.NewAttemptID(report.Job, report.Task, report.Attempt))
	current := a != nil && a.host == renew.Host
	rule, ended := reportRules[report.Phase]
	switch {
	case ended && !current:
		reply.Durable = append(reply.Durable, ref)
		return nil
	case ended:
		s.accept(now, a)
		return s.finish(a, rule.recordType, func(r *messenger.LedgerRecord) { rule.fill(r, report) })
	case !current || a.final != nil:
		reply.Stop = append(reply.Stop, ref)
		return nil
	}
	s.accept(now, a)
	if a.stop == stopCanceled {
		reply.Stop = append(reply.Stop, ref)
	}
	a.grant(s.leaseEnd(now), int64(renew.Epoch) >= s.epoch)
	reply.Granted = append(reply.Granted, ref)
	return nil
}

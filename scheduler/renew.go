package scheduler

import (
	"time"

	"apricotwinch"
	"apricotwinch/messenger"
)

// finalRecordRule says which record one final phase of an agent's report leads to.
type finalRecordRule struct {
	recordType string
	fill       func(record *messenger.LedgerRecord, report messenger.TaskReport)
}

// finalRecordRules maps each final phase to the record that ends the attempt.
var finalRecordRules = map[string]finalRecordRule{
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

// Renew answers an agent's request. The reply grants leases to current attempts and lists
// those that must stop and those whose end is durable; the actions append the ends that are
// not durable yet. A superseded scheduler grants nothing.
func (s *Scheduler) Renew(now time.Time, renew messenger.RenewRequest) (messenger.RenewReply, []Action) {
	reply := messenger.RenewReply{
		Epoch:       int(s.epoch),
		LeaseMillis: int(s.config.Lease.Milliseconds()),
	}
	if s.Superseded() {
		return reply, nil
	}
	var actions []Action
	for _, report := range renew.Reports {
		actions = append(actions, s.renewAttempt(now, renew, report, &reply)...)
	}
	return reply, actions
}

func (s *Scheduler) renewAttempt(now time.Time, renew messenger.RenewRequest, report messenger.TaskReport, reply *messenger.RenewReply) []Action {
	ref := messenger.AttemptRef{Job: report.Job, Task: report.Task, Attempt: report.Attempt}
	a := s.attempts.get(apricotwinch.NewAttemptID(report.Job, report.Task, report.Attempt))
	current := a != nil && a.host == renew.Host
	rule, ended := finalRecordRules[report.Phase]
	switch {
	case ended && !current:
		reply.Durable = append(reply.Durable, ref)
		return nil
	case ended:
		s.markAccepted(now, a)
		return s.appendFinal(a, rule.recordType, func(r *messenger.LedgerRecord) { rule.fill(r, report) })
	case !current || a.finalRecord != nil:
		reply.Stop = append(reply.Stop, ref)
		return nil
	}
	s.markAccepted(now, a)
	if a.stopReason == stopCanceled {
		reply.Stop = append(reply.Stop, ref)
	}
	a.grant(s.leaseEnd(now), int64(renew.Epoch) >= s.epoch)
	reply.Granted = append(reply.Granted, ref)
	return nil
}

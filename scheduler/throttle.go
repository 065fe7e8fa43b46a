package scheduler

import (
	"time"

	"apricotwinch"
	"apricotwinch/messenger"
)

// unthrottled is the share of its processors that an attempt keeps without a
// throttle, in thousandths.
const unthrottled = 1000

// throttle is the share of its processors that an attempt must keep.
type throttle struct {
	wanted  int
	told    int
	calling bool
	sentAt  time.Time
}

// Evict has an attempt checkpointed and stopped for a reason, so that its task
// runs elsewhere later; the stop commands are sent by Tick within its cap. It
// reports false for an attempt that is not assigned here or stops already.
func (s *Scheduler) Evict(id apricotwinch.AttemptID, reason string) bool {
	a := s.attempts.get(id)
	if a == nil || a.final != nil || a.stop != "" || s.Superseded() {
		return false
	}
	a.stop = reason
	return true
}

// Throttle has an attempt keep a share of its processors, in thousandths; 1000
// ends the throttle. The commands are sent by Tick within its cap until one is
// answered. It reports false for an attempt that is not assigned here or stops.
func (s *Scheduler) Throttle(id apricotwinch.AttemptID, permille int) bool {
	a := s.attempts.get(id)
	if a == nil || a.final != nil || a.stop != "" || s.Superseded() {
		return false
	}
	a.throttle.wanted = permille
	return true
}

// sendThrottle returns the command that brings the share of a up to date.
func (s *Scheduler) sendThrottle(now time.Time, a *attempt) (Action, bool) {
	t := &a.throttle
	if t.wanted == t.told || t.calling || a.stop != "" || now.Sub(t.sentAt) <= s.config.Resend {
		return Action{}, false
	}
	host, ok := s.seams.Lookup(a.host)
	if !ok {
		return Action{}, false
	}
	t.calling = true
	t.sentAt = now
	return Action{Address: host.Address, Throttle: &messenger.Throttle{
		Partition: s.book.Partition(),
		Epoch:     int(s.epoch),
		Job:       a.id.Job(),
		Task:      a.id.Task(),
		Attempt:   a.id.Attempt(),
		Permille:  t.wanted,
	}}, true
}

// ThrottleAnswered takes in that the agent answered a throttle command, or the
// error of the call, after which it is sent again.
func (s *Scheduler) ThrottleAnswered(command messenger.Throttle, err error) {
	a := s.attempts.get(apricotwinch.NewAttemptID(command.Job, command.Task, command.Attempt))
	if a == nil {
		return
	}
	a.throttle.calling = false
	if err == nil {
		a.throttle.told = command.Permille
	}
}

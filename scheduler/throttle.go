package scheduler

import (
	"time"

	"apricotwinch"
	"apricotwinch/messenger"
)

// unthrottledPermille is the share of its processors that an attempt may use when it isn't
// throttled, in thousandths.
const unthrottledPermille = 1000

// throttle holds the share of its processors, in thousandths, that an attempt should keep,
// and the share that its agent last acknowledged. acknowledged is 0 when an earlier owner
// sent the last command.
type throttle struct {
	desired      int
	acknowledged int
	inFlight     bool
	sentAt       time.Time
}

// Evict marks an attempt to be checkpointed and stopped for the given reason, so that its
// task runs elsewhere later; Tick sends the stop commands within its limit. It returns
// false for an attempt that is not assigned here or is stopping already.
func (s *Scheduler) Evict(id apricotwinch.AttemptID, reason string) bool {
	a := s.attempts.get(id)
	if a == nil || a.finalRecord != nil || a.stopReason != "" || s.Superseded() {
		return false
	}
	a.stopReason = reason
	return true
}

// Throttle sets the share of its processors that an attempt keeps, in thousandths; 1000
// ends the throttle. Tick sends the commands within its limit and repeats them until one is
// answered. It returns false for an attempt that is not assigned here or is stopping.
func (s *Scheduler) Throttle(id apricotwinch.AttemptID, permille int) bool {
	a := s.attempts.get(id)
	if a == nil || a.finalRecord != nil || a.stopReason != "" || s.Superseded() {
		return false
	}
	a.throttle.desired = permille
	return true
}

// sendThrottle returns the command that sets the desired share of a, if one is due.
func (s *Scheduler) sendThrottle(now time.Time, a *attempt) (Action, bool) {
	t := &a.throttle
	if t.desired == t.acknowledged || t.inFlight || a.stopReason != "" || now.Sub(t.sentAt) <= s.config.Resend {
		return Action{}, false
	}
	host, ok := s.deps.Lookup(a.host)
	if !ok {
		return Action{}, false
	}
	t.inFlight = true
	t.sentAt = now
	return Action{Address: host.Address, Throttle: &messenger.Throttle{
		Partition: s.state.Partition(),
		Epoch:     int(s.epoch),
		Job:       a.id.Job(),
		Task:      a.id.Task(),
		Attempt:   a.id.Attempt(),
		Permille:  t.desired,
	}}, true
}

// ThrottleAnswered processes the agent's answer to a throttle command, or the error of the
// call, after which the command is sent again.
func (s *Scheduler) ThrottleAnswered(command messenger.Throttle, err error) {
	a := s.attempts.get(apricotwinch.NewAttemptID(command.Job, command.Task, command.Attempt))
	if a == nil {
		return
	}
	a.throttle.inFlight = false
	if err == nil {
		a.throttle.acknowledged = command.Permille
	}
}

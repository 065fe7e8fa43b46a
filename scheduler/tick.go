package scheduler

import (
	"time"

	"apricotwinch"
	"apricotwinch/bookkeeper"
	"apricotwinch/messenger"
)

// Reasons of stop commands that the scheduler itself sends.
const (
	stopCanceled      = "canceled"
	stopDataCentreOut = string(apricotwinch.DataCentreOut)
)

// Tick does the work that is due, each kind within its limit: it counts attempts as lost,
// sends stop commands, repeats unanswered commands and assigns waiting tasks.
func (s *Scheduler) Tick(now time.Time) []Action {
	if s.Superseded() {
		return nil
	}
	actions := s.tickAttempts(now)
	return append(actions, s.tickQueue(now)...)
}

func (s *Scheduler) tickAttempts(now time.Time) []Action {
	var actions []Action
	stops, throttles := 0, 0
	s.attempts.each(func(a *attempt) bool {
		if a.finalRecord != nil {
			actions = append(actions, s.appendFinal(a, a.finalRecord.Type, func(*messenger.LedgerRecord) {})...)
			return true
		}
		if now.After(a.grantedUntil) {
			actions = append(actions, s.appendFinal(a, messenger.RecordLost, func(*messenger.LedgerRecord) {})...)
			return true
		}
		if !a.accepted && now.Sub(a.assignedAt) > s.config.Resend {
			actions = append(actions, s.sendAssign(now, a)...)
		}
		if a.stopReason == "" && s.deps.DataCentreOut(a.dataCentre) && stops < s.config.StopsPerTick {
			a.stopReason = stopDataCentreOut
		}
		if stops < s.config.StopsPerTick {
			if stop, ok := s.sendStop(now, a); ok {
				stops++
				actions = append(actions, stop)
			}
		}
		if throttles < s.config.StopsPerTick {
			if throttle, ok := s.sendThrottle(now, a); ok {
				throttles++
				actions = append(actions, throttle)
			}
		}
		return true
	})
	return actions
}

func (s *Scheduler) sendStop(now time.Time, a *attempt) (Action, bool) {
	if a.stopReason == "" || now.Sub(a.stopSentAt) <= s.config.Resend {
		return Action{}, false
	}
	host, ok := s.deps.Lookup(a.host)
	if !ok {
		return Action{}, false
	}
	a.stopSentAt = now
	return Action{Address: host.Address, Stop: &messenger.Stop{
		Partition:  s.state.Partition(),
		Epoch:      int(s.epoch),
		Job:        a.id.Job(),
		Task:       a.id.Task(),
		Attempt:    a.id.Attempt(),
		Checkpoint: a.stopReason != stopCanceled,
		Reason:     a.stopReason,
	}}, true
}

// tickQueue parks the jobs that the queue rejected and assigns waiting tasks.
func (s *Scheduler) tickQueue(now time.Time) []Action {
	var actions []Action
	for _, r := range s.rejectedJobs {
		if !s.parking[r.job.ID()] && r.job.Parked() == "" {
			actions = append(actions, s.park(r.job, r.reason))
		}
	}
	s.rejectedJobs = nil
	s.queue.refresh(now)
	for range s.config.StartsPerTick {
		w := s.queue.next(now)
		if w == nil {
			break
		}
		if action := s.assign(now, w); action != nil {
			actions = append(actions, *action)
		}
	}
	return actions
}

// assign returns the record that assigns w to a host or parks its job, or nil when no host
// has room now.
func (s *Scheduler) assign(now time.Time, w *waitingTask) *Action {
	task := w.id.Task()
	if s.parking[w.job.ID()] {
		s.queue.requeue(now, w.id, now.Add(s.config.PlaceRetry))
		return nil
	}
	name, err := s.deps.Place(now, request(w.job, task, w.id, w.need))
	if err != nil {
		s.queue.requeue(now, w.id, now.Add(s.config.PlaceRetry))
		return s.parkUnschedulable(w.job, err)
	}
	host, ok := s.deps.Lookup(name)
	if !ok {
		s.deps.ReleasePlacement(name, w.id)
		s.queue.requeue(now, w.id, now.Add(s.config.PlaceRetry))
		return nil
	}
	record := s.newRecord(messenger.RecordAssigned, w.job)
	record.UnixMillis = int(now.UnixMilli())
	record.Task = task
	record.Attempt = w.id.Attempt()
	record.Host = host.Name
	record.Incarnation = host.Incarnation
	record.DataCentre = host.DataCentre
	return &Action{Append: record}
}

// parkUnschedulable parks a job with a task that is too large for every host.
func (s *Scheduler) parkUnschedulable(job *bookkeeper.Job, err error) *Action {
	if apricotwinch.KindOf(err) != apricotwinch.Unschedulable {
		return nil
	}
	action := s.park(job, err.Error())
	return &action
}

// request returns what the placer needs to know of an attempt.
func request(job *bookkeeper.Job, task int, id apricotwinch.AttemptID, need apricotwinch.Resources) Request {
	return Request{
		Attempt:     id,
		Team:        job.Team(),
		Name:        job.Spec().Name,
		Urgency:     urgencyOf(job),
		Need:        need,
		FailedHosts: job.Task(task).FailedHosts(),
	}
}

func (s *Scheduler) park(job *bookkeeper.Job, reason string) Action {
	s.parking[job.ID()] = true
	record := s.newRecord(messenger.RecordParked, job)
	record.Reason = reason
	return Action{Append: record}
}

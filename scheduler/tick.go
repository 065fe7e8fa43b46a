package scheduler

import (
	"time"

	"apricotwinch"
	"apricotwinch/bookkeeper"
	"apricotwinch/messenger"
)

// Reasons of stop commands.
const (
	stopCanceled      = "canceled"
	stopDataCentreOut = string(apricotwinch.DataCentreOut)
)

// Tick does what is due: it counts attempts as lost, sends stops and unanswered
// commands again, and assigns waiting tasks; each within its cap.
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
		if a.final != nil {
			actions = append(actions, s.finish(a, a.final.Type, func(*messenger.LedgerRecord) {})...)
			return true
		}
		if now.After(a.grantedUntil) {
			actions = append(actions, s.finish(a, messenger.RecordLost, func(*messenger.LedgerRecord) {})...)
			return true
		}
		if !a.accepted && now.Sub(a.assignedAt) > s.config.Resend {
			actions = append(actions, s.sendAssign(now, a)...)
		}
		if a.stop == "" && s.seams.DataCentreOut(a.dataCentre) && stops < s.config.StopsPerTick {
			a.stop = stopDataCentreOut
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
	if a.stop == "" || now.Sub(a.stopAt) <= s.config.Resend {
		return Action{}, false
	}
	host, ok := s.seams.Lookup(a.host)
	if !ok {
		return Action{}, false
	}
	a.stopAt = now
	return Action{Address: host.Address, Stop: &messenger.Stop{
		Partition:  s.book.Partition(),
		Epoch:      int(s.epoch),
		Job:        a.id.Job(),
		Task:       a.id.Task(),
		Attempt:    a.id.Attempt(),
		Checkpoint: a.stop != stopCanceled,
		Reason:     a.stop,
	}}, true
}

// tickQueue parks the jobs that the queue refused and assigns waiting tasks.
func (s *Scheduler) tickQueue(now time.Time) []Action {
	var actions []Action
	for _, r := range s.refused {
		if !s.parking[r.job.ID()] && r.job.Parked() == "" {
			actions = append(actions, s.park(r.job, r.reason))
		}
	}
	s.refused = nil
	s.queue.refresh(now)
	for range s.config.StartsPerTick {
		w := s.queue.next(now)
		if w == nil {
			break
		}
		if action := s.place(now, w); action != nil {
			actions = append(actions, *action)
		}
	}
	return actions
}

// place returns the record that assigns or parks w, or nothing when no host has
// room now.
func (s *Scheduler) place(now time.Time, w *waiter) *Action {
	task := w.id.Task()
	if s.parking[w.job.ID()] {
		s.queue.putBack(now, w.id, now.Add(s.config.PlaceRetry))
		return nil
	}
	name, err := s.seams.Place(now, request(w.job, task, w.id, w.need))
	if err != nil {
		s.queue.putBack(now, w.id, now.Add(s.config.PlaceRetry))
		return s.parkUnschedulable(w.job, err)
	}
	host, ok := s.seams.Lookup(name)
	if !ok {
		s.seams.Unplace(name, w.id)
		s.queue.putBack(now, w.id, now.Add(s.config.PlaceRetry))
		return nil
	}
	record := s.record(messenger.RecordAssigned, w.job)
	record.UnixMillis = int(now.UnixMilli())
	record.Task = task
	record.Attempt = w.id.Attempt()
	record.Host = host.Name
	record.Incarnation = host.Incarnation
	record.DataCentre = host.DataCentre
	return &Action{Append: record}
}

// parkUnschedulable parks a job that no host can ever hold.
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
	record := s.record(messenger.RecordParked, job)
	record.Reason = reason
	return Action{Append: record}
}

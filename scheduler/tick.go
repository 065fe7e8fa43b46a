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
	actions := s.tickAttempts(now)
	return append(actions, s.tickQueue(now)...)
}

func (s *Scheduler) tickAttempts(now time.Time) []Action {
	var actions []Action
	stops := 0
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
		if stop, ok := s.sendStop(now, a); ok && stops < s.config.StopsPerTick {
			stops++
			actions = append(actions, stop)
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

func (s *Scheduler) tickQueue(now time.Time) []Action {
	var actions []Action
	starts := 0
	s.queue.each(func(w *waiter) bool {
		if starts >= s.config.StartsPerTick {
			return false
		}
		if w.placing || now.Before(w.notBefore) || s.parking[w.job.ID()] {
			return true
		}
		action, placed := s.place(now, w)
		if action != nil {
			actions = append(actions, *action)
		}
		if placed {
			starts++
		}
		return true
	})
	return actions
}

// place returns the record that assigns or parks w, or nothing when no host has
// room now.
func (s *Scheduler) place(now time.Time, w *waiter) (*Action, bool) {
	task := w.job.Task(w.task)
	id := apricotwinch.NewAttemptID(w.job.ID(), w.task, task.Attempt()+1)
	name, err := s.seams.Place(now, request(w.job, w.task, id))
	if apricotwinch.KindOf(err) == apricotwinch.Unschedulable {
		action := s.park(w.job, err.Error())
		return &action, false
	}
	if err != nil {
		w.notBefore = now.Add(s.config.PlaceRetry)
		return nil, false
	}
	host, ok := s.seams.Lookup(name)
	if !ok {
		s.seams.Unplace(name, id)
		return nil, false
	}
	w.placing = true
	record := s.record(messenger.RecordAssigned, w.job)
	record.UnixMillis = int(now.UnixMilli())
	record.Task = id.Task()
	record.Attempt = id.Attempt()
	record.Host = host.Name
	record.Incarnation = host.Incarnation
	record.DataCentre = host.DataCentre
	return &Action{Append: record}, true
}

// request returns what the placer needs to know of an attempt.
func request(job *bookkeeper.Job, task int, id apricotwinch.AttemptID) Request {
	return Request{
		Attempt:     id,
		Team:        job.Team(),
		Name:        job.Spec().Name,
		Urgency:     urgencyOf(job),
		Need:        job.Need(),
		FailedHosts: job.Task(task).FailedHosts(),
	}
}

func (s *Scheduler) park(job *bookkeeper.Job, reason string) Action {
	s.parking[job.ID()] = true
	record := s.record(messenger.RecordParked, job)
	record.Reason = reason
	return Action{Append: record}
}

// Package scheduler decides what the owner of a partition does next: which
// tasks to assign, which leases to grant, which attempts to stop or to count as
// lost, and which jobs to park.
//
// A Scheduler is fed the changes of the partition's book, the requests of agents
// and the time; it returns actions and never acts by itself.
package scheduler

import (
	"fmt"
	"time"

	"apricotwinch"
	"apricotwinch/bookkeeper"
	"apricotwinch/messenger"
)

// Scheduler is the owner's side of one partition in one epoch.
type Scheduler struct {
	config   Config
	seams    Seams
	book     *bookkeeper.Book
	entry    string
	epoch    int64
	sequence int

	queue    *queue
	attempts *attemptSet
	parking  map[string]bool
	refused  []refusal
}

// refusal is a job that must be parked because the queue refused it.
type refusal struct {
	job    *bookkeeper.Job
	reason string
}

// New returns a scheduler for epoch over a book that is folded through the
// epoch's began record. A clean takeover is one whose last owner released the
// partition; after any other it waits the outage allowance as well before it
// counts an attempt of the last owner as lost.
func New(now time.Time, config Config, seams Seams, book *bookkeeper.Book, entry string, epoch int64, clean bool) *Scheduler {
	s := &Scheduler{
		config:   config,
		seams:    seams,
		book:     book,
		entry:    entry,
		epoch:    epoch,
		attempts: newAttemptSet(),
		parking:  make(map[string]bool),
	}
	s.queue = newQueue(&s.seams)
	grantedUntil := s.leaseEnd(now)
	if !clean {
		grantedUntil = grantedUntil.Add(config.OutageAllowance)
	}
	for job := range book.All() {
		s.adopt(now, job, grantedUntil)
	}
	return s
}

// Epoch returns the epoch that the scheduler acts in.
func (s *Scheduler) Epoch() int64 { return s.epoch }

// Superseded reports whether the book shows a later epoch: the scheduler then
// does nothing more, also for attempts that the later owner assigned.
func (s *Scheduler) Superseded() bool { return s.book.Epoch() != s.epoch }

// Waiting returns the number of tasks that wait for a host.
func (s *Scheduler) Waiting() int { return s.queue.len() }

// Running returns the number of assigned attempts.
func (s *Scheduler) Running() int { return s.attempts.len() }

// adopt takes over the tasks of a job from the last owner.
func (s *Scheduler) adopt(now time.Time, job *bookkeeper.Job, grantedUntil time.Time) {
	for i := range job.Tasks() {
		switch job.Task(i).Phase() {
		case bookkeeper.Waiting:
			s.wait(now, job, i, time.Time{})
		case bookkeeper.Assigned:
			a := newAttempt(job, i)
			a.grantedUntil = grantedUntil
			s.attempts.add(a)
			s.queue.adopt(now, job, a.id)
			a.throttle = throttle{wanted: s.seams.Adopted(a.host, request(job, i, a.id, job.Need()))}
			if job.Canceled() {
				a.stop = stopCanceled
			}
		}
	}
}

// wait queues a task unless its job is parked. A task over its team's quota
// parks its job at the next tick.
func (s *Scheduler) wait(now time.Time, job *bookkeeper.Job, task int, notBefore time.Time) {
	if job.Parked() != "" {
		return
	}
	if err := s.queue.add(now, job, task, notBefore); err != nil {
		s.refused = append(s.refused, refusal{job: job, reason: string(apricotwinch.KindOf(err))})
	}
}

// Applied takes in the changes of one folded record.
func (s *Scheduler) Applied(now time.Time, changes []bookkeeper.Change) []Action {
	if s.Superseded() {
		return nil
	}
	var actions []Action
	for _, change := range changes {
		if change.Task() < 0 {
			s.jobChanged(now, change.Job())
			continue
		}
		actions = append(actions, s.taskMoved(now, change)...)
	}
	return actions
}

func (s *Scheduler) jobChanged(now time.Time, job *bookkeeper.Job) {
	delete(s.parking, job.ID())
	for i := range job.Tasks() {
		switch task := job.Task(i); {
		case task.Phase() == bookkeeper.Waiting && job.Parked() == "":
			s.wait(now, job, i, time.Time{})
		case task.Phase() == bookkeeper.Waiting:
			s.queue.finish(nextID(job, i))
		case task.Phase() == bookkeeper.Assigned && job.Canceled():
			s.markStop(apricotwinch.NewAttemptID(job.ID(), i, task.Attempt()), stopCanceled)
		}
	}
}

func (s *Scheduler) markStop(id apricotwinch.AttemptID, reason string) {
	if a := s.attempts.get(id); a != nil && a.stop == "" {
		a.stop = reason
	}
}

func (s *Scheduler) taskMoved(now time.Time, change bookkeeper.Change) []Action {
	job := change.Job()
	before := change.Before()
	var verdict Verdict
	if before.Phase() == bookkeeper.Assigned {
		verdict = s.ended(now, job, apricotwinch.NewAttemptID(job.ID(), change.Task(), before.Attempt()))
	}
	switch job.Task(change.Task()).Phase() {
	case bookkeeper.Waiting:
		return s.requeue(now, job, change.Task(), verdict)
	case bookkeeper.Assigned:
		return s.started(now, job, change.Task())
	case bookkeeper.Canceled:
		s.queue.finish(nextID(job, change.Task()))
	}
	return nil
}

// ended forgets an attempt and returns what follows for its task.
func (s *Scheduler) ended(now time.Time, job *bookkeeper.Job, id apricotwinch.AttemptID) Verdict {
	a := s.attempts.get(id)
	s.attempts.remove(id)
	s.queue.finish(id)
	if a == nil || a.final == nil {
		return Verdict{}
	}
	return s.seams.Ended(now, End{
		Attempt:     id,
		Host:        a.host,
		DataCentre:  a.dataCentre,
		MaxAttempts: job.Spec().MaxAttempts,
		Type:        a.final.Type,
		Reason:      a.final.Reason,
	})
}

// requeue lets the task wait again, or parks its job; a watch service is never
// parked.
func (s *Scheduler) requeue(now time.Time, job *bookkeeper.Job, task int, verdict Verdict) []Action {
	s.wait(now, job, task, verdict.NotBefore)
	if job.Parked() != "" || verdict.Park == "" || job.Watch() || s.parking[job.ID()] {
		return nil
	}
	return []Action{s.park(job, verdict.Park)}
}

// started sends the command of an assignment that is durable now.
func (s *Scheduler) started(now time.Time, job *bookkeeper.Job, task int) []Action {
	a := newAttempt(job, task)
	a.grantedUntil = now
	if w := s.queue.waiting[a.id]; w != nil {
		a.need = w.need
	}
	s.queue.started(a.id)
	s.attempts.add(a)
	return s.sendAssign(now, a)
}

// sendAssign returns the command to start a, or nothing when its host can't be
// told; the lease then passes unused and the attempt counts as lost.
func (s *Scheduler) sendAssign(now time.Time, a *attempt) []Action {
	host, ok := s.seams.Lookup(a.host)
	if !ok || host.Incarnation != a.incarnation || now.Sub(host.TicketAt) > s.config.MaxTicketAge {
		return nil
	}
	a.assignedAt = now
	a.grant(s.leaseEnd(now), false)
	task := a.job.Task(a.id.Task())
	spec := a.job.Spec()
	spec.Resources = messenger.FromResources(a.need)
	return []Action{{Address: host.Address, Assign: &messenger.Assign{
		Partition:    s.book.Partition(),
		Epoch:        int(s.epoch),
		Incarnation:  a.incarnation,
		TicketMillis: host.TicketMillis,
		LeaseMillis:  int(s.config.Lease.Milliseconds()),
		Team:         a.job.Team(),
		Job:          a.id.Job(),
		Task:         a.id.Task(),
		Attempt:      a.id.Attempt(),
		Spec:         spec,
		Checkpoint:   task.Checkpoint(),
	}}}
}

// AssignAnswered takes in the agent's answer to an assignment, or the error of
// the call. Only an answer settles anything: an attempt whose call failed is
// sent again, and is lost once its lease is over.
func (s *Scheduler) AssignAnswered(now time.Time, ref messenger.AttemptRef, reply messenger.AssignReply, err error) []Action {
	a := s.attempts.get(apricotwinch.NewAttemptID(ref.Job, ref.Task, ref.Attempt))
	if a == nil || err != nil || s.Superseded() {
		return nil
	}
	if reply.Accepted {
		s.accept(now, a)
		a.grant(s.leaseEnd(now), true)
		return nil
	}
	return s.finish(a, messenger.RecordReturned, func(r *messenger.LedgerRecord) { r.Reason = reply.Kind })
}

// accept notes that the agent has the attempt.
func (s *Scheduler) accept(now time.Time, a *attempt) {
	if a.accepted {
		return
	}
	a.accepted = true
	s.seams.Accepted(now, a.id)
}

// leaseEnd returns when a lease granted now is provably over.
func (s *Scheduler) leaseEnd(now time.Time) time.Time {
	return now.Add(s.config.Lease + s.config.Margin)
}

// finish appends the record that ends a; no lease of a is granted after that.
func (s *Scheduler) finish(a *attempt, recordType string, fill func(*messenger.LedgerRecord)) []Action {
	if a.final == nil {
		record := s.record(recordType, a.job)
		record.Task = a.id.Task()
		record.Attempt = a.id.Attempt()
		record.Host = a.host
		fill(record)
		a.final = record
	}
	if a.finalInFlight {
		return nil
	}
	a.finalInFlight = true
	return []Action{{Append: a.final}}
}

// record returns a record of the owner with a unique id.
func (s *Scheduler) record(recordType string, job *bookkeeper.Job) *messenger.LedgerRecord {
	s.sequence++
	return &messenger.LedgerRecord{
		Id:    fmt.Sprintf("p%d-e%d-%d", s.book.Partition(), s.epoch, s.sequence),
		Type:  recordType,
		Epoch: int(s.epoch),
		Entry: s.entry,
		Team:  job.Team(),
		Job:   job.ID(),
	}
}

// AppendFailed takes in that a record was refused or may or may not have landed.
// An end that may have landed still bars new leases, and is appended again.
func (s *Scheduler) AppendFailed(now time.Time, record messenger.LedgerRecord) {
	switch record.Type {
	case messenger.RecordAssigned:
		id := apricotwinch.NewAttemptID(record.Job, record.Task, record.Attempt)
		s.seams.Unplace(record.Host, id)
		s.queue.putBack(now, id, now.Add(s.config.PlaceRetry))
	case messenger.RecordParked:
		delete(s.parking, record.Job)
	default:
		if a := s.attempts.get(apricotwinch.NewAttemptID(record.Job, record.Task, record.Attempt)); a != nil {
			a.finalInFlight = false
		}
	}
}

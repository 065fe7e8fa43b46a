// Package scheduler decides what the owner of a partition does next: which tasks to assign,
// which leases to grant, which attempts to stop or to count as lost, and which jobs to
// park.
//
// A Scheduler takes the changes of the partition's state, the requests of agents and the
// time as input, and returns actions for its caller to carry out. It does no I/O itself.
package scheduler

import (
	"fmt"
	"time"

	"apricotwinch"
	"apricotwinch/bookkeeper"
	"apricotwinch/messenger"
)

// Scheduler makes the decisions of one partition's owner in one epoch.
type Scheduler struct {
	config   Config
	deps     Dependencies
	state    *bookkeeper.State
	entry    string
	epoch    int64
	sequence int

	queue    *queue
	attempts *attemptSet
	// parking holds the ids of jobs whose parked record is being appended.
	parking      map[string]bool
	rejectedJobs []rejectedJob
}

// rejectedJob is a job that must be parked because the queue rejected one of its tasks.
type rejectedJob struct {
	job    *bookkeeper.Job
	reason string
}

// New returns a scheduler for epoch over a state to which all records up to the epoch's
// began record have been applied. The takeover is clean if the previous owner released the
// partition. After any other takeover, the scheduler waits for the outage allowance as well
// before it counts an attempt of the previous owner as lost.
func New(now time.Time, config Config, deps Dependencies, state *bookkeeper.State, entry string, epoch int64, clean bool) *Scheduler {
	s := &Scheduler{
		config:   config,
		deps:     deps,
		state:    state,
		entry:    entry,
		epoch:    epoch,
		attempts: newAttemptSet(),
		parking:  make(map[string]bool),
	}
	s.queue = newQueue(&s.deps)
	grantedUntil := s.leaseEnd(now)
	if !clean {
		grantedUntil = grantedUntil.Add(config.OutageAllowance)
	}
	for job := range state.All() {
		s.adopt(now, job, grantedUntil)
	}
	return s
}

// Epoch returns the epoch that the scheduler acts in.
func (s *Scheduler) Epoch() int64 { return s.epoch }

// Superseded reports whether the state shows a later epoch. The scheduler then does nothing
// more, not even for attempts that the later owner assigned.
func (s *Scheduler) Superseded() bool { return s.state.Epoch() != s.epoch }

// Waiting returns the number of tasks that wait for a host.
func (s *Scheduler) Waiting() int { return s.queue.len() }

// Running returns the number of assigned attempts.
func (s *Scheduler) Running() int { return s.attempts.len() }

// adopt takes over the tasks of a job from the previous owner.
func (s *Scheduler) adopt(now time.Time, job *bookkeeper.Job, grantedUntil time.Time) {
	for i := range job.Tasks() {
		switch job.Task(i).Phase() {
		case bookkeeper.Waiting:
			s.enqueue(now, job, i, time.Time{})
		case bookkeeper.Assigned:
			a := newAttempt(job, i)
			a.grantedUntil = grantedUntil
			s.attempts.add(a)
			s.queue.adopt(now, job, a.id)
			a.throttle = throttle{desired: s.deps.OnAdopted(a.host, request(job, i, a.id, job.Need()))}
			if job.Canceled() {
				a.stopReason = stopCanceled
			}
		}
	}
}

// enqueue queues a task unless its job is parked. If the task exceeds its team's quota, its
// job is parked at the next tick.
func (s *Scheduler) enqueue(now time.Time, job *bookkeeper.Job, task int, notBefore time.Time) {
	if job.Parked() != "" {
		return
	}
	if err := s.queue.add(now, job, task, notBefore); err != nil {
		s.rejectedJobs = append(s.rejectedJobs, rejectedJob{job: job, reason: string(apricotwinch.KindOf(err))})
	}
}

// Apply processes the changes that one applied record made to the state.
func (s *Scheduler) Apply(now time.Time, changes []bookkeeper.Change) []Action {
	if s.Superseded() {
		return nil
	}
	var actions []Action
	for _, change := range changes {
		if change.Task() < 0 {
			s.jobChanged(now, change.Job())
			continue
		}
		actions = append(actions, s.taskChanged(now, change)...)
	}
	return actions
}

func (s *Scheduler) jobChanged(now time.Time, job *bookkeeper.Job) {
	delete(s.parking, job.ID())
	for i := range job.Tasks() {
		switch task := job.Task(i); {
		case task.Phase() == bookkeeper.Waiting && job.Parked() == "":
			s.enqueue(now, job, i, time.Time{})
		case task.Phase() == bookkeeper.Waiting:
			s.queue.remove(nextID(job, i))
		case task.Phase() == bookkeeper.Assigned && job.Canceled():
			s.requestStop(apricotwinch.NewAttemptID(job.ID(), i, task.Attempt()), stopCanceled)
		}
	}
}

func (s *Scheduler) requestStop(id apricotwinch.AttemptID, reason string) {
	if a := s.attempts.get(id); a != nil && a.stopReason == "" {
		a.stopReason = reason
	}
}

func (s *Scheduler) taskChanged(now time.Time, change bookkeeper.Change) []Action {
	job := change.Job()
	before := change.Before()
	var nextStep NextStep
	if before.Phase() == bookkeeper.Assigned {
		nextStep = s.attemptEnded(now, job, apricotwinch.NewAttemptID(job.ID(), change.Task(), before.Attempt()))
	}
	switch job.Task(change.Task()).Phase() {
	case bookkeeper.Waiting:
		return s.requeue(now, job, change.Task(), nextStep)
	case bookkeeper.Assigned:
		return s.taskAssigned(now, job, change.Task())
	case bookkeeper.Canceled:
		s.queue.remove(nextID(job, change.Task()))
	}
	return nil
}

// attemptEnded drops an attempt and returns what happens to its task next.
func (s *Scheduler) attemptEnded(now time.Time, job *bookkeeper.Job, id apricotwinch.AttemptID) NextStep {
	a := s.attempts.get(id)
	s.attempts.remove(id)
	s.queue.remove(id)
	if a == nil || a.finalRecord == nil {
		return NextStep{}
	}
	return s.deps.OnEnded(now, AttemptEnd{
		Attempt:     id,
		Host:        a.host,
		DataCentre:  a.dataCentre,
		MaxAttempts: job.Spec().MaxAttempts,
		Type:        a.finalRecord.Type,
		Reason:      a.finalRecord.Reason,
	})
}

// requeue makes the task wait again, or parks its job. A watch service is never parked.
func (s *Scheduler) requeue(now time.Time, job *bookkeeper.Job, task int, nextStep NextStep) []Action {
	s.enqueue(now, job, task, nextStep.NotBefore)
	if job.Parked() != "" || nextStep.Park == "" || job.Watch() || s.parking[job.ID()] {
		return nil
	}
	return []Action{s.park(job, nextStep.Park)}
}

// taskAssigned sends the command for an assignment that has become durable.
func (s *Scheduler) taskAssigned(now time.Time, job *bookkeeper.Job, task int) []Action {
	a := newAttempt(job, task)
	a.grantedUntil = now
	if w := s.queue.waiting[a.id]; w != nil {
		a.need = w.need
	}
	s.queue.markStarted(a.id)
	s.attempts.add(a)
	return s.sendAssign(now, a)
}

// sendAssign returns the command that starts a. It returns nothing when the host is
// unknown, has restarted, or has no recent ticket; the lease then ends unused and the
// attempt counts as lost.
func (s *Scheduler) sendAssign(now time.Time, a *attempt) []Action {
	host, ok := s.deps.Lookup(a.host)
	if !ok || host.Incarnation != a.incarnation || now.Sub(host.TicketAt) > s.config.MaxTicketAge {
		return nil
	}
	a.assignedAt = now
	a.grant(s.leaseEnd(now), false)
	task := a.job.Task(a.id.Task())
	spec := a.job.Spec()
	spec.Resources = messenger.FromResources(a.need)
	return []Action{{Address: host.Address, Assign: &messenger.Assign{
		Partition:    s.state.Partition(),
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

// AssignAnswered processes the agent's answer to an assignment, or the error of the call.
// An error leaves open whether the agent has the attempt: the command is sent again, and
// the attempt counts as lost once its lease has ended.
func (s *Scheduler) AssignAnswered(now time.Time, ref messenger.AttemptRef, reply messenger.AssignReply, err error) []Action {
	a := s.attempts.get(apricotwinch.NewAttemptID(ref.Job, ref.Task, ref.Attempt))
	if a == nil || err != nil || s.Superseded() {
		return nil
	}
	if reply.Accepted {
		s.markAccepted(now, a)
		a.grant(s.leaseEnd(now), true)
		return nil
	}
	return s.appendFinal(a, messenger.RecordReturned, func(r *messenger.LedgerRecord) { r.Reason = reply.Kind })
}

// markAccepted records that the agent has the attempt.
func (s *Scheduler) markAccepted(now time.Time, a *attempt) {
	if a.accepted {
		return
	}
	a.accepted = true
	s.deps.OnAccepted(now, a.id)
}

// leaseEnd returns the time at which a lease granted now has certainly ended.
func (s *Scheduler) leaseEnd(now time.Time) time.Time {
	return now.Add(s.config.Lease + s.config.Margin)
}

// appendFinal appends the record that ends a, unless the append is under way. No lease of a
// is granted after that.
func (s *Scheduler) appendFinal(a *attempt, recordType string, fill func(*messenger.LedgerRecord)) []Action {
	if a.finalRecord == nil {
		record := s.newRecord(recordType, a.job)
		record.Task = a.id.Task()
		record.Attempt = a.id.Attempt()
		record.Host = a.host
		fill(record)
		a.finalRecord = record
	}
	if a.finalInFlight {
		return nil
	}
	a.finalInFlight = true
	return []Action{{Append: a.finalRecord}}
}

// newRecord returns a record of this owner with a unique id.
func (s *Scheduler) newRecord(recordType string, job *bookkeeper.Job) *messenger.LedgerRecord {
	s.sequence++
	return &messenger.LedgerRecord{
		Id:    fmt.Sprintf("p%d-e%d-%d", s.state.Partition(), s.epoch, s.sequence),
		Type:  recordType,
		Epoch: int(s.epoch),
		Entry: s.entry,
		Team:  job.Team(),
		Job:   job.ID(),
	}
}

// AppendFailed handles a record whose append was refused or has an unknown outcome. A final
// record may have been appended nevertheless, so the attempt gets no new lease, and the
// record is appended again.
func (s *Scheduler) AppendFailed(now time.Time, record messenger.LedgerRecord) {
	switch record.Type {
	case messenger.RecordAssigned:
		id := apricotwinch.NewAttemptID(record.Job, record.Task, record.Attempt)
		s.deps.ReleasePlacement(record.Host, id)
		s.queue.requeue(now, id, now.Add(s.config.PlaceRetry))
	case messenger.RecordParked:
		delete(s.parking, record.Job)
	default:
		if a := s.attempts.get(apricotwinch.NewAttemptID(record.Job, record.Task, record.Attempt)); a != nil {
			a.finalInFlight = false
		}
	}
}

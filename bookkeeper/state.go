// Package bookkeeper applies the records of a partition's stream to the state of the partition: its
// jobs, the hosts that run their attempts, their results, and the current epoch of the owner.
package bookkeeper

import (
	"iter"
	"slices"
	"time"

	"apricotwinch"
	"apricotwinch/messenger"
)

// Retention is how long a finished job is kept in the state.
const Retention = time.Hour

// MaxTasks is the greatest number of tasks of a job.
const MaxTasks = 100_000

// Change is a change of the phase of one task, or a change of a job as a whole.
type Change struct {
	job    *Job
	task   int
	before Task
}

// Job returns the job that changed.
func (c Change) Job() *Job { return c.job }

// Task returns the number of the task that changed, or -1 if the whole job changed.
func (c Change) Task() int { return c.task }

// Before returns the state of the task before the change. It is the zero value if the whole job
// changed.
func (c Change) Before() Task { return c.before }

// wholeJob is the task number of a change of the job as a whole.
const wholeJob = -1

// State is the state of one partition. The zero value is not usable.
type State struct {
	partition   int
	epoch       int64
	nextOffset  int64
	clock       int64 // Latest time in the applied records, in Unix milliseconds.
	jobs        map[string]*Job
	order       []*Job
	finished    []*Job
	restoration *restoration
}

// noEpoch is the epoch of a state in which no epoch has begun.
const noEpoch = -1

// New returns the empty state of the given partition, to which records are applied from offset 0.
func New(partition int) *State {
	return &State{partition: partition, epoch: noEpoch, jobs: make(map[string]*Job)}
}

// Partition returns the number of the partition.
func (s *State) Partition() int { return s.partition }

// Epoch returns the current epoch, or -1 if none has begun.
func (s *State) Epoch() int64 { return s.epoch }

// Next returns the offset of the next record to apply.
func (s *State) Next() int64 { return s.nextOffset }

// Jobs returns the number of jobs in the state.
func (s *State) Jobs() int { return len(s.jobs) }

// Job returns the job with the given ID and whether the state contains it.
func (s *State) Job(id string) (*Job, bool) {
	job, ok := s.jobs[id]
	return job, ok
}

// Restoring reports whether the state still waits for a complete snapshot.
func (s *State) Restoring() bool { return s.restoration != nil }

// Apply applies the record at offset and returns the changes. A rejected record changes nothing;
// the kind of the error that Apply then returns is the reason: StaleEpoch, Conflict, NotFound or
// Invalid. Records must be applied in order of offset. While the state is restoring, records are
// buffered and no changes are returned.
func (s *State) Apply(offset int64, record messenger.LedgerRecord) ([]Change, error) {
	if offset < s.nextOffset {
		return nil, apricotwinch.Errorf(apricotwinch.Conflict, "offset %d was applied before", offset)
	}
	s.nextOffset = offset + 1
	if s.restoration != nil {
		return nil, s.applyRestoring(offset, record)
	}
	if record.Type == messenger.RecordSnapshot {
		return nil, nil
	}
	return s.applyRecord(offset, record)
}

// recordHandler applies the records of one type to the state. If ownerOnly is set, a record is
// rejected unless its epoch is the current one.
type recordHandler struct {
	ownerOnly bool
	apply     func(s *State, offset int64, record messenger.LedgerRecord) ([]Change, error)
}

// recordHandlers maps each type of record to its handler.
var recordHandlers = map[string]recordHandler{
	messenger.RecordBegan:     {apply: (*State).began},
	messenger.RecordSubmitted: {apply: (*State).submitted},
	messenger.RecordCanceled:  {apply: (*State).canceled},
	messenger.RecordResumed:   {apply: (*State).resumed},
	messenger.RecordParked:    {ownerOnly: true, apply: (*State).parked},
	messenger.RecordAssigned:  {ownerOnly: true, apply: (*State).assigned},
	messenger.RecordReturned:  {ownerOnly: true, apply: (*State).returned},
	messenger.RecordCompleted: {ownerOnly: true, apply: (*State).completed},
	messenger.RecordFailed:    {ownerOnly: true, apply: (*State).failed},
	messenger.RecordEvicted:   {ownerOnly: true, apply: (*State).evicted},
	messenger.RecordLost:      {ownerOnly: true, apply: (*State).returned},
}

func (s *State) applyRecord(offset int64, record messenger.LedgerRecord) ([]Change, error) {
	handler, ok := recordHandlers[record.Type]
	if !ok {
		return nil, apricotwinch.Errorf(apricotwinch.Invalid, "type: %q is not a type of record", record.Type)
	}
	if handler.ownerOnly && int64(record.Epoch) != s.epoch {
		return nil, apricotwinch.Errorf(apricotwinch.StaleEpoch, "epoch: %d is not the current epoch %d", record.Epoch, s.epoch)
	}
	changes, err := handler.apply(s, offset, record)
	if err != nil {
		return nil, err
	}
	s.advanceClock(int64(record.UnixMillis))
	return changes, nil
}

func (s *State) began(_ int64, record messenger.LedgerRecord) ([]Change, error) {
	if int64(record.Epoch) <= s.epoch {
		return nil, apricotwinch.Errorf(apricotwinch.StaleEpoch, "epoch: %d is not after %d", record.Epoch, s.epoch)
	}
	s.epoch = int64(record.Epoch)
	return nil, nil
}

func (s *State) submitted(offset int64, record messenger.LedgerRecord) ([]Change, error) {
	if record.Job == "" {
		return nil, apricotwinch.Errorf(apricotwinch.Invalid, "job: is empty")
	}
	if _, ok := s.jobs[record.Job]; ok {
		return nil, apricotwinch.Errorf(apricotwinch.Conflict, "job: %s was submitted before", record.Job)
	}
	if record.Spec == nil || record.Spec.Tasks < 1 || record.Spec.Tasks > MaxTasks {
		return nil, apricotwinch.Errorf(apricotwinch.Invalid, "spec.tasks: job %s must have 1 to %d tasks", record.Job, MaxTasks)
	}
	job := newJob(offset, record)
	s.insert(job)
	return []Change{{job: job, task: wholeJob}}, nil
}

func (s *State) canceled(_ int64, record messenger.LedgerRecord) ([]Change, error) {
	job, err := s.find(record)
	if err != nil {
		return nil, err
	}
	if job.canceled || job.Finished() {
		return nil, apricotwinch.Errorf(apricotwinch.Conflict, "job: %s has ended", job.id)
	}
	job.canceled = true
	changes := []Change{{job: job, task: wholeJob}}
	for i := range job.tasks {
		if job.tasks[i].phase != Waiting {
			continue
		}
		changes = append(changes, job.setPhase(i, Canceled))
	}
	s.noteFinished(job, record)
	return changes, nil
}

func (s *State) parked(_ int64, record messenger.LedgerRecord) ([]Change, error) {
	job, err := s.find(record)
	if err != nil {
		return nil, err
	}
	if !job.markApplied(record.Id) {
		return nil, apricotwinch.Errorf(apricotwinch.Conflict, "id: %s was applied before", record.Id)
	}
	job.parked = record.Reason
	return []Change{{job: job, task: wholeJob}}, nil
}

func (s *State) resumed(_ int64, record messenger.LedgerRecord) ([]Change, error) {
	job, err := s.find(record)
	if err != nil {
		return nil, err
	}
	if !job.markApplied(record.Id) {
		return nil, apricotwinch.Errorf(apricotwinch.Conflict, "id: %s was applied before", record.Id)
	}
	job.parked = ""
	for i := range job.tasks {
		job.tasks[i].failures = 0
	}
	return []Change{{job: job, task: wholeJob}}, nil
}

func (s *State) assigned(_ int64, record messenger.LedgerRecord) ([]Change, error) {
	job, err := s.findTask(record)
	if err != nil {
		return nil, err
	}
	task := &job.tasks[record.Task]
	if task.phase != Waiting || record.Attempt != task.attempt+1 || job.canceled {
		return nil, apricotwinch.Errorf(apricotwinch.Conflict,
			"attempt: %d of task %d of %s can't follow attempt %d in phase %s",
			record.Attempt, record.Task, job.id, task.attempt, task.phase)
	}
	change := job.setPhase(record.Task, Assigned)
	task.attempt = record.Attempt
	task.host = record.Host
	task.incarnation = record.Incarnation
	task.dataCentre = record.DataCentre
	return []Change{change}, nil
}

// returned ends the current attempt of a task without a result. An earlier checkpoint of the task
// is kept.
func (s *State) returned(_ int64, record messenger.LedgerRecord) ([]Change, error) {
	job, err := s.findCurrent(record)
	if err != nil {
		return nil, err
	}
	return s.requeue(job, record), nil
}

func (s *State) evicted(_ int64, record messenger.LedgerRecord) ([]Change, error) {
	job, err := s.findCurrent(record)
	if err != nil {
		return nil, err
	}
	if len(record.Checkpoint) > 0 {
		job.tasks[record.Task].checkpoint = record.Checkpoint
	}
	return s.requeue(job, record), nil
}

func (s *State) failed(_ int64, record messenger.LedgerRecord) ([]Change, error) {
	job, err := s.findCurrent(record)
	if err != nil {
		return nil, err
	}
	task := &job.tasks[record.Task]
	task.failures++
	task.failedHosts = append(task.failedHosts, task.host)
	return s.requeue(job, record), nil
}

func (s *State) completed(_ int64, record messenger.LedgerRecord) ([]Change, error) {
	job, err := s.findCurrent(record)
	if err != nil {
		return nil, err
	}
	if job.Watch() {
		return s.requeue(job, record), nil
	}
	job.tasks[record.Task].result = record.Result
	change := job.setPhase(record.Task, Completed)
	s.noteFinished(job, record)
	return []Change{change}, nil
}

// requeue puts the task back into phase Waiting, or ends it if its job was canceled.
func (s *State) requeue(job *Job, record messenger.LedgerRecord) []Change {
	phase := Waiting
	if job.canceled {
		phase = Canceled
	}
	change := job.setPhase(record.Task, phase)
	s.noteFinished(job, record)
	return []Change{change}
}

// setPhase sets the phase of task n, clears the host of its attempt, and returns the change. A task
// that ends loses its checkpoint.
func (j *Job) setPhase(n int, phase Phase) Change {
	task := &j.tasks[n]
	change := Change{job: j, task: n, before: *task}
	task.phase = phase
	task.host = ""
	task.incarnation = ""
	task.dataCentre = ""
	if phase.Terminal() {
		task.checkpoint = nil
	}
	return change
}

func (s *State) find(record messenger.LedgerRecord) (*Job, error) {
	job, ok := s.jobs[record.Job]
	if !ok || record.Team != "" && record.Team != job.team {
		return nil, apricotwinch.Errorf(apricotwinch.NotFound, "job: %s is not known", record.Job)
	}
	return job, nil
}

func (s *State) findTask(record messenger.LedgerRecord) (*Job, error) {
	job, err := s.find(record)
	if err != nil {
		return nil, err
	}
	if record.Task < 0 || record.Task >= len(job.tasks) {
		return nil, apricotwinch.Errorf(apricotwinch.Invalid, "task: %s has no task %d", job.id, record.Task)
	}
	return job, nil
}

// findCurrent returns the job of a record that ends an attempt. It fails if that isn't the current
// attempt of its task.
func (s *State) findCurrent(record messenger.LedgerRecord) (*Job, error) {
	job, err := s.findTask(record)
	if err != nil {
		return nil, err
	}
	task := &job.tasks[record.Task]
	if task.phase != Assigned || task.attempt != record.Attempt {
		return nil, apricotwinch.Errorf(apricotwinch.Conflict,
			"attempt: %d of task %d of %s is not current", record.Attempt, record.Task, job.id)
	}
	return job, nil
}

// noteFinished records that job finished, if it did, at the later of the state's clock and the time
// of record. The jobs in s.finished are therefore ordered by that time.
func (s *State) noteFinished(job *Job, record messenger.LedgerRecord) {
	if !job.Finished() {
		return
	}
	job.finishedMillis = max(s.clock, int64(record.UnixMillis))
	s.finished = append(s.finished, job)
}

// advanceClock advances the state's clock, which is the latest time in the records applied so far
// in Unix milliseconds, and removes the jobs that finished more than Retention before it.
func (s *State) advanceClock(millis int64) {
	s.clock = max(s.clock, millis)
	horizon := s.clock - Retention.Milliseconds()
	for len(s.finished) > 0 && s.finished[0].finishedMillis < horizon {
		delete(s.jobs, s.finished[0].id)
		s.finished = s.finished[1:]
	}
	s.compact()
}

func (s *State) insert(job *Job) {
	s.jobs[job.id] = job
	s.order = append(s.order, job)
}

// compact removes deleted jobs from the order once they make up more than half of it.
func (s *State) compact() {
	if len(s.order) < 2*len(s.jobs)+1 {
		return
	}
	s.order = slices.DeleteFunc(s.order, func(job *Job) bool { return s.jobs[job.id] != job })
}

// All returns an iterator over the jobs in order of submission.
func (s *State) All() iter.Seq[*Job] {
	return func(yield func(*Job) bool) {
		for _, job := range s.order {
			if s.jobs[job.id] == job && !yield(job) {
				return
			}
		}
	}
}

package bookkeeper

import (
	"slices"

	"apricotwinch"
	"apricotwinch/messenger"
)

// maxAppliedIDs is the number of records that parked or resumed a job whose IDs the job remembers, so
// that a late duplicate of one changes nothing.
const maxAppliedIDs = 16

// Phase is the phase of a task in its life cycle.
type Phase string

// The phases of a task.
const (
	Waiting   Phase = messenger.TaskWaiting
	Assigned  Phase = messenger.TaskAssigned
	Completed Phase = messenger.TaskCompleted
	Failed    Phase = messenger.TaskFailed
	Canceled  Phase = messenger.TaskCanceled
)

// Terminal reports whether a task in phase p never runs again.
func (p Phase) Terminal() bool { return p == Completed || p == Failed || p == Canceled }

// Task is the state of one task of a job.
type Task struct {
	phase       Phase
	attempt     int
	failures    int
	host        string
	incarnation string
	dataCentre  string
	checkpoint  []byte
	result      []byte
	failedHosts []string
}

// Phase returns the phase of the task.
func (t *Task) Phase() Phase { return t.phase }

// Attempt returns the number of the latest attempt, or 0 if there was none.
func (t *Task) Attempt() int { return t.attempt }

// Failures returns the number of failed attempts.
func (t *Task) Failures() int { return t.failures }

// Host returns the host of the current attempt, or "" if there is none.
func (t *Task) Host() string { return t.host }

// Incarnation returns the incarnation of the agent that runs the current attempt.
func (t *Task) Incarnation() string { return t.incarnation }

// DataCentre returns the data centre of the current attempt.
func (t *Task) DataCentre() string { return t.dataCentre }

// Checkpoint returns the latest checkpoint of an unfinished task, or nil if there is none.
func (t *Task) Checkpoint() []byte { return t.checkpoint }

// Result returns the result of a completed task, or nil.
func (t *Task) Result() []byte { return t.result }

// FailedHosts returns the hosts of the failed attempts, one entry per failure.
func (t *Task) FailedHosts() []string { return t.failedHosts }

// Job is the state of one batch job or watch service.
type Job struct {
	id              string
	team            string
	spec            messenger.JobSpec
	canceled        bool
	parked          string
	appliedIDs      []string
	submittedOffset int64 // Offset of the record that submitted the job.
	finishedMillis  int64 // Unix milliseconds; 0 until the job has finished.
	tasks           []Task
}

// ID returns the ID of the job.
func (j *Job) ID() string { return j.id }

// Team returns the team that owns the job.
func (j *Job) Team() string { return j.team }

// Spec returns the specification of the job.
func (j *Job) Spec() messenger.JobSpec { return j.spec }

// Canceled reports whether the job was canceled.
func (j *Job) Canceled() bool { return j.canceled }

// Parked returns the reason why the job is parked, that is, not scheduled, or "" if it isn't parked.
func (j *Job) Parked() string { return j.parked }

// Watch reports whether the job is a watch service, whose tasks run until the job is canceled.
func (j *Job) Watch() bool { return j.spec.Kind == messenger.JobWatch }

// Tasks returns the number of tasks.
func (j *Job) Tasks() int { return len(j.tasks) }

// Task returns the task numbered n, from 0.
func (j *Job) Task(n int) *Task { return &j.tasks[n] }

// Need returns the resources that each task declares to need.
func (j *Job) Need() apricotwinch.Resources { return j.spec.Resources.Value() }

// Finished reports whether every task is terminal.
func (j *Job) Finished() bool {
	return !slices.ContainsFunc(j.tasks, func(t Task) bool { return !t.phase.Terminal() })
}

// markApplied remembers the ID of a record that parks or resumes the job. It returns false if the ID
// was already remembered, that is, if the record is a duplicate.
func (j *Job) markApplied(id string) bool {
	if id != "" && slices.Contains(j.appliedIDs, id) {
		return false
	}
	j.appliedIDs = append(j.appliedIDs, id)
	if len(j.appliedIDs) > maxAppliedIDs {
		j.appliedIDs = j.appliedIDs[1:]
	}
	return true
}

// state returns the job in the form that snapshots and replies contain.
func (j *Job) state() messenger.JobState {
	state := messenger.JobState{
		Job:            j.id,
		Team:           j.team,
		Spec:           j.spec,
		Canceled:       j.canceled,
		Marks:          j.appliedIDs,
		Parked:         j.parked,
		SubmittedAt:    int(j.submittedOffset),
		FinishedMillis: int(j.finishedMillis),
		Tasks:          make([]messenger.TaskState, len(j.tasks)),
	}
	for i := range j.tasks {
		state.Tasks[i] = j.tasks[i].state()
	}
	return state
}

func (t *Task) state() messenger.TaskState {
	return messenger.TaskState{
		Phase:       string(t.phase),
		Attempt:     t.attempt,
		Failures:    t.failures,
		Host:        t.host,
		Incarnation: t.incarnation,
		DataCentre:  t.dataCentre,
		Checkpoint:  t.checkpoint,
		Result:      t.result,
		FailedHosts: t.failedHosts,
	}
}

func newJob(offset int64, record messenger.LedgerRecord) *Job {
	job := &Job{
		id:              record.Job,
		team:            record.Team,
		spec:            *record.Spec,
		submittedOffset: offset,
		tasks:           make([]Task, record.Spec.Tasks),
	}
	for i := range job.tasks {
		job.tasks[i].phase = Waiting
	}
	return job
}

func restoreJob(state messenger.JobState) *Job {
	job := &Job{
		id:              state.Job,
		team:            state.Team,
		spec:            state.Spec,
		canceled:        state.Canceled,
		appliedIDs:      state.Marks,
		parked:          state.Parked,
		submittedOffset: int64(state.SubmittedAt),
		finishedMillis:  int64(state.FinishedMillis),
		tasks:           make([]Task, len(state.Tasks)),
	}
	for i, t := range state.Tasks {
		job.tasks[i] = Task{
			phase:       Phase(t.Phase),
			attempt:     t.Attempt,
			failures:    t.Failures,
			host:        t.Host,
			incarnation: t.Incarnation,
			dataCentre:  t.DataCentre,
			checkpoint:  t.Checkpoint,
			result:      t.Result,
			failedHosts: t.FailedHosts,
		}
	}
	return job
}

package runner

import (
	"encoding/json"
	"math"
	"slices"
	"time"

	"apricotwinch"
	"apricotwinch/messenger"
)

// never is the time when the work of a task that runs until it is stopped is done.
var never = time.Unix(math.MaxInt32, 0)

// Payload is the part of a job's payload that controls the simulation. A payload in another form
// counts as an empty one.
type Payload struct {
	// Fail fails every attempt as soon as it starts.
	Fail bool `json:"fail"`
	// FailHosts names hosts on which attempts fail as soon as they start.
	FailHosts []string `json:"failHosts"`
	// RunMillis is the actual run time in milliseconds; 0 means the declared one.
	RunMillis int `json:"runMillis"`
	// UsePermille is the actual resource usage in thousandths of the declared one; 0 means all of it.
	UsePermille int `json:"usePermille"`
	// InterferencePermille is the interference of the task: the latency that it adds to the targets
	// on its host, in thousandths of theirs. Throttling reduces it in proportion.
	InterferencePermille int `json:"noisePermille"`
	// UntilStopped makes an attempt that starts without a checkpoint run until it is stopped. One
	// that resumes from a checkpoint ends by itself and causes no interference.
	UntilStopped bool `json:"untilStopped"`
}

// Checkpoint is the JSON content of a simulated task's checkpoint.
type Checkpoint struct {
	// Attempt names the attempt that made the checkpoint.
	Attempt string `json:"attempt"`
	// ProgressMillis is the work done so far, in milliseconds.
	ProgressMillis int `json:"progressMillis"`
}

// Result is the JSON result of a completed task.
type Result struct {
	// Job is the id of the job.
	Job string `json:"job"`
	// Task is the number of the task.
	Task int `json:"task"`
	// WorkMillis is the work done over all attempts, in milliseconds.
	WorkMillis int `json:"workMillis"`
}

// task is one attempt that the worker runs or ran.
type task struct {
	command          messenger.WorkerStart
	payload          Payload
	checkpointEvery  time.Duration
	startedAt        time.Time
	endedAt          time.Time
	leaseUntil       time.Time
	resumedFrom      string
	phase            string
	reason           string
	result           []byte
	fails            bool
	throttlePermille int
	slowdownPermille int

	// progress is the work done until rateFrom. Since then it grows at the rate that
	// throttlePermille and slowdownPermille give.
	progress time.Duration
	rateFrom time.Time

	lastCheckpoint *Checkpoint
}

func newTask(command messenger.WorkerStart, now time.Time, checkpointEvery time.Duration) (*task, error) {
	t := &task{
		command:          command,
		checkpointEvery:  checkpointEvery,
		startedAt:        now,
		leaseUntil:       time.UnixMilli(int64(command.LeaseUntilUnixMillis)),
		phase:            PhaseRunning,
		throttlePermille: FullPermille,
		slowdownPermille: FullPermille,
		rateFrom:         now,
	}
	if err := checkCommand(command); err != nil {
		return nil, err
	}
	if json.Unmarshal(command.Payload, &t.payload) != nil {
		t.payload = Payload{}
	}
	if len(command.Checkpoint) == 0 {
		return t, nil
	}
	var saved Checkpoint
	if err := json.Unmarshal(command.Checkpoint, &saved); err != nil {
		return nil, apricotwinch.Errorf(apricotwinch.Invalid, "checkpoint: %w", err)
	}
	t.lastCheckpoint = &saved
	t.resumedFrom = saved.Attempt
	t.progress = time.Duration(saved.ProgressMillis) * time.Millisecond
	return t, nil
}

func checkCommand(command messenger.WorkerStart) error {
	if command.Attempt.Job == "" {
		return apricotwinch.Errorf(apricotwinch.Invalid, "attempt.job: empty")
	}
	if command.RunMillis < 0 {
		return apricotwinch.Errorf(apricotwinch.Invalid, "runMillis: %d is below 0", command.RunMillis)
	}
	if toResources(command.Resources).Negative() {
		return apricotwinch.Errorf(apricotwinch.Invalid, "resources: below 0")
	}
	return nil
}

func (t *task) failsOn(host string) bool {
	return t.payload.Fail || slices.Contains(t.payload.FailHosts, host)
}

// totalWork returns the work of the whole task, as its run time at full speed.
func (t *task) totalWork() time.Duration {
	if t.payload.RunMillis > 0 {
		return time.Duration(t.payload.RunMillis) * time.Millisecond
	}
	if t.command.RunMillis > 0 {
		return time.Duration(t.command.RunMillis) * time.Millisecond
	}
	return DefaultRun
}

// setRate changes the rate of the task's progress from time at on.
func (t *task) setRate(at time.Time, throttlePermille, slowdownPermille int) {
	t.progress = t.progressAt(at)
	t.rateFrom = at
	t.throttlePermille = throttlePermille
	t.slowdownPermille = slowdownPermille
}

// progressAt returns the work done until time at.
func (t *task) progressAt(at time.Time) time.Duration {
	if t.phase != PhaseRunning && at.After(t.endedAt) {
		at = t.endedAt
	}
	worked := at.Sub(t.rateFrom) * time.Duration(t.throttlePermille) / time.Duration(t.slowdownPermille)
	return t.progress + max(worked, 0)
}

// workDoneAt returns the time when the task completes or fails, leaving its lease aside.
func (t *task) workDoneAt() time.Time {
	if t.fails {
		return t.startedAt
	}
	if t.command.Watch || t.payload.UntilStopped && t.resumedFrom == "" {
		return never
	}
	remaining := max(t.totalWork()-t.progress, 0)
	return t.rateFrom.Add(remaining * time.Duration(t.slowdownPermille) / time.Duration(t.throttlePermille))
}

// endsAt returns the time when the task ends by itself.
func (t *task) endsAt() time.Time {
	if doneAt := t.workDoneAt(); !doneAt.After(t.leaseUntil) {
		return doneAt
	}
	return t.leaseUntil
}

// outcome returns the phase and the reason with which the task ends by itself.
func (t *task) outcome(host string) (string, string) {
	if t.workDoneAt().After(t.leaseUntil) {
		return PhaseLapsed, "lease lapsed"
	}
	if t.fails {
		return PhaseFailed, "the task fails on host " + host
	}
	return PhaseCompleted, ""
}

func (t *task) end(at time.Time, phase, reason string) {
	t.progress = t.progressAt(at)
	t.rateFrom = at
	t.endedAt = at
	t.phase = phase
	t.reason = reason
	if phase == PhaseCompleted {
		t.result, _ = json.Marshal(Result{
			Job:        t.command.Attempt.Job,
			Task:       t.command.Attempt.Task,
			WorkMillis: int(t.progress.Milliseconds()),
		})
	}
}

// checkpoint saves the work done until time at.
func (t *task) checkpoint(at time.Time) {
	t.lastCheckpoint = &Checkpoint{
		Attempt:        attemptName(t.command.Attempt),
		ProgressMillis: int(t.progressAt(at).Milliseconds()),
	}
}

// checkpointBefore saves the last periodic checkpoint before time at. It keeps the saved one if the
// rate changed since, because the progress before that change is no longer known.
func (t *task) checkpointBefore(at time.Time) {
	periods := at.Sub(t.startedAt) / t.checkpointEvery
	if periods < 1 {
		return
	}
	last := t.startedAt.Add(periods * t.checkpointEvery)
	if last.Before(t.rateFrom) {
		return
	}
	t.checkpoint(last)
}

func (t *task) encodedCheckpoint(now time.Time) []byte {
	if t.phase == PhaseRunning {
		t.checkpointBefore(now)
	}
	if t.lastCheckpoint == nil {
		return nil
	}
	encoded, _ := json.Marshal(t.lastCheckpoint)
	return encoded
}

// runsAt reports whether the task was running at a time.
func (t *task) runsAt(at time.Time) bool {
	if at.Before(t.startedAt) {
		return false
	}
	return t.phase == PhaseRunning || at.Before(t.endedAt)
}

// interference returns the latency that the task adds to the targets on its host, in thousandths of
// theirs.
func (t *task) interference() int {
	if t.payload.UntilStopped && t.resumedFrom != "" {
		return 0
	}
	return t.payload.InterferencePermille * t.throttlePermille / FullPermille
}

// used returns the resources that the task uses while it runs.
func (t *task) used() messenger.Resources {
	permille := t.payload.UsePermille
	if permille == 0 {
		permille = FullPermille
	}
	declared := t.command.Resources
	return messenger.Resources{
		ProcessorMillis: declared.ProcessorMillis * permille / FullPermille * t.throttlePermille / FullPermille,
		MemoryBytes:     declared.MemoryBytes * permille / FullPermille,
		Accelerators:    declared.Accelerators,
	}
}

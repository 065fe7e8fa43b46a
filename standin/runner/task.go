package runner

import (
	"encoding/json"
	"math"
	"slices"
	"time"

	"apricotwinch"
	"apricotwinch/messenger"
)

// never is the end of a task that nothing ends.
var never = time.Unix(math.MaxInt32, 0)

// Payload is what the simulation reads from a job's payload; a payload in
// another form is opaque to it.
type Payload struct {
	// Fail fails every attempt as soon as it starts.
	Fail bool `json:"fail"`
	// FailHosts names hosts on which attempts fail as soon as they start.
	FailHosts []string `json:"failHosts"`
	// RunMillis is the true run time in milliseconds; 0 takes the declared one.
	RunMillis int `json:"runMillis"`
	// UsePermille is the true use in thousandths of the declared one; 0 is all of it.
	UsePermille int `json:"usePermille"`
	// NoisePermille is how much an attempt without a checkpoint slows the targets on
	// its host, in thousandths of their latency; a throttle takes its share of it.
	NoisePermille int `json:"noisePermille"`
	// UntilStopped lets an attempt without a checkpoint run until it is stopped.
	UntilStopped bool `json:"untilStopped"`
}

// Checkpoint is the checkpoint of a simulated task.
type Checkpoint struct {
	// Attempt names the attempt that made the checkpoint.
	Attempt string `json:"attempt"`
	// ProgressMillis is the work done so far, in milliseconds.
	ProgressMillis int `json:"progressMillis"`
}

// Result is the result of a completed task.
type Result struct {
	// Job is the id of the job.
	Job string `json:"job"`
	// Task is the number of the task.
	Task int `json:"task"`
	// WorkMillis is the work done over all attempts, in milliseconds.
	WorkMillis int `json:"workMillis"`
}

// task is one attempt at the worker.
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

	// progress is the work done until rateFrom; it grows by rate since.
	progress time.Duration
	rateFrom time.Time

	saved *Checkpoint
}

func newTask(command messenger.WorkerStart, now time.Time, checkpointEvery time.Duration) (*task, error) {
	t := &task{
		command:          command,
		checkpointEvery:  checkpointEvery,
		startedAt:        now,
		leaseUntil:       time.UnixMilli(int64(command.LeaseUntilUnixMillis)),
		phase:            PhaseRunning,
		throttlePermille: Undisturbed,
		slowdownPermille: Undisturbed,
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
	t.saved = &saved
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
	if resources(command.Resources).Negative() {
		return apricotwinch.Errorf(apricotwinch.Invalid, "resources: below 0")
	}
	return nil
}

func (t *task) failsOn(host string) bool {
	return t.payload.Fail || slices.Contains(t.payload.FailHosts, host)
}

// length returns the work of the whole task.
func (t *task) length() time.Duration {
	if t.payload.RunMillis > 0 {
		return time.Duration(t.payload.RunMillis) * time.Millisecond
	}
	if t.command.RunMillis > 0 {
		return time.Duration(t.command.RunMillis) * time.Millisecond
	}
	return DefaultRun
}

// setRate changes how fast the task works from at on.
func (t *task) setRate(at time.Time, throttlePermille, slowdownPermille int) {
	t.progress = t.progressAt(at)
	t.rateFrom = at
	t.throttlePermille = throttlePermille
	t.slowdownPermille = slowdownPermille
}

// progressAt returns the work done until at.
func (t *task) progressAt(at time.Time) time.Duration {
	if t.phase != PhaseRunning && at.After(t.endedAt) {
		at = t.endedAt
	}
	worked := at.Sub(t.rateFrom) * time.Duration(t.throttlePermille) / time.Duration(t.slowdownPermille)
	return t.progress + max(worked, 0)
}

// worksUntil returns when the task has done its work.
func (t *task) worksUntil() time.Time {
	if t.fails {
		return t.startedAt
	}
	if t.command.Watch || t.payload.UntilStopped && t.resumedFrom == "" {
		return never
	}
	left := max(t.length()-t.progress, 0)
	return t.rateFrom.Add(left * time.Duration(t.slowdownPermille) / time.Duration(t.throttlePermille))
}

// endsAt returns when the task ends by itself.
func (t *task) endsAt() time.Time {
	if works := t.worksUntil(); !works.After(t.leaseUntil) {
		return works
	}
	return t.leaseUntil
}

// outcome returns the phase and the reason with which the task ends by itself.
func (t *task) outcome(host string) (string, string) {
	if t.worksUntil().After(t.leaseUntil) {
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

// checkpoint saves the work done until at.
func (t *task) checkpoint(at time.Time) {
	t.saved = &Checkpoint{
		Attempt:        name(t.command.Attempt),
		ProgressMillis: int(t.progressAt(at).Milliseconds()),
	}
}

// checkpointBefore saves the work done until the last periodic checkpoint.
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
	if t.saved == nil {
		return nil
	}
	encoded, _ := json.Marshal(t.saved)
	return encoded
}

// runsAt reports whether the task ran at a time.
func (t *task) runsAt(at time.Time) bool {
	if at.Before(t.startedAt) {
		return false
	}
	return t.phase == PhaseRunning || at.Before(t.endedAt)
}

// noise returns how much the task slows the targets on its host, in thousandths.
func (t *task) noise() int {
	if t.resumedFrom != "" {
		return 0
	}
	return t.payload.NoisePermille * t.throttlePermille / Undisturbed
}

// used returns what the task uses while it runs.
func (t *task) used() messenger.Resources {
	permille := t.payload.UsePermille
	if permille == 0 {
		permille = Undisturbed
	}
	declared := t.command.Resources
	return messenger.Resources{
		ProcessorMillis: declared.ProcessorMillis * permille / Undisturbed * t.throttlePermille / Undisturbed,
		MemoryBytes:     declared.MemoryBytes * permille / Undisturbed,
		Accelerators:    declared.Accelerators,
	}
}

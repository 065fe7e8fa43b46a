// Package runner simulates the platform's worker on one host for tests. It runs simulated tasks
// under leases, serves HTTP and injects faults on demand.
package runner

import (
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"apricotwinch"
	"apricotwinch/messenger"
	"apricotwinch/standin/disrupter"
	"apricotwinch/standin/journaler"
)

// Defaults of a runner.
const (
	// DefaultRun is the run time of a task whose command and payload set none.
	DefaultRun = time.Second
	// DefaultCheckpointEvery is the default period of checkpoints of a running task.
	DefaultCheckpointEvery = time.Second
)

// FullPermille is the run time of a task without interference, in thousandths of that run time.
// Slowdowns and throttles are relative to it.
const FullPermille = 1000

// Phases of a task.
const (
	PhaseRunning   = "running"   // The task runs.
	PhaseCompleted = "completed" // The task ended with a result.
	PhaseFailed    = "failed"    // The task ended with an error.
	PhaseStopped   = "stopped"   // The task was stopped by a command.
	PhaseLapsed    = "lapsed"    // The task's lease lapsed.
)

// Config configures a runner.
type Config struct {
	// Host is the name of the host.
	Host string
	// DataCentre is the data centre of the host.
	DataCentre string
	// Capacity is the total of resources that tasks on the host can hold.
	Capacity apricotwinch.Resources
	// UsageLag is the age of the usage and slowdown that reports give.
	UsageLag time.Duration
	// CheckpointEvery is the period of checkpoints; 0 means DefaultCheckpointEvery.
	CheckpointEvery time.Duration
	// StopTime is how long a task takes to stop.
	StopTime time.Duration
}

// Faults are the faults of a runner; the zero value has none.
type Faults struct {
	disrupter.Faults
	// FailEverything fails each task as soon as it starts.
	FailEverything bool `json:"failEverything,omitempty"`
	// SlowdownPermille is the run time of every task, in thousandths of the run time without
	// interference; 0 means no slowdown.
	SlowdownPermille int `json:"slowdownPermille,omitempty"`
	// ExpireLeases makes all current leases lapse once, when the faults are set.
	ExpireLeases bool `json:"lapseAll,omitempty"`
}

// Runner is a simulated worker. It is an http.Handler.
type Runner struct {
	config    Config
	clock     clockwork.Clock
	journal   journaler.Journal
	disrupter *disrupter.Disrupter
	handler   http.Handler

	mu    sync.Mutex
	tasks map[messenger.AttemptRef]*task
	// rejected holds the attempts that can't be started: those started or stopped before.
	rejected  map[messenger.AttemptRef]bool
	faults    Faults
	slowdowns []slowdown
	timer     clockwork.Timer
}

// slowdown is a slowdown of the host in thousandths, in force from a time on.
type slowdown struct {
	from     time.Time
	permille int
}

// New returns a worker without tasks. It writes each start and end of a task to journal.
func New(config Config, clock clockwork.Clock, journal journaler.Journal) *Runner {
	if config.CheckpointEvery == 0 {
		config.CheckpointEvery = DefaultCheckpointEvery
	}
	r := &Runner{
		config:    config,
		clock:     clock,
		journal:   journal,
		disrupter: disrupter.New(clock),
		tasks:     make(map[messenger.AttemptRef]*task),
		rejected:  make(map[messenger.AttemptRef]bool),
		slowdowns: []slowdown{{permille: FullPermille}},
	}
	r.handler = r.routes()
	return r
}

// SetFaults replaces the faults in force.
func (r *Runner) SetFaults(faults Faults) {
	r.mu.Lock()
	now := r.advance()
	permille := faults.SlowdownPermille
	if permille <= 0 {
		permille = FullPermille
	}
	r.slowdowns = append(r.slowdowns, slowdown{from: now, permille: permille})
	for _, t := range r.running() {
		if faults.ExpireLeases {
			r.end(t, now, PhaseLapsed, "lease lapsed")
			continue
		}
		t.setRate(now, t.throttlePermille, permille)
	}
	faults.ExpireLeases = false
	r.faults = faults
	r.setTimer(now)
	r.mu.Unlock()
	r.disrupter.Set(faults.Faults)
}

// Close stops the worker's timer. Tasks that still run get no journal entry for their end.
func (r *Runner) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.timer != nil {
		r.timer.Stop()
	}
}

// Start starts a task. It fails with kind Invalid for a malformed command, Conflict for an attempt
// that was started or stopped before, DeadlineExceeded after the command's start deadline or lease,
// or NoCapacity.
func (r *Runner) Start(command messenger.WorkerStart) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.advance()
	started, err := newTask(command, now, r.config.CheckpointEvery)
	if err != nil {
		return err
	}
	if err := r.admit(command, now); err != nil {
		return err
	}
	r.rejected[command.Attempt] = true
	r.tasks[command.Attempt] = started
	started.setRate(now, FullPermille, r.slowdownAt(now))
	started.fails = started.failsOn(r.config.Host) || r.faults.FailEverything
	r.journal(r.entry(journaler.TaskStarted, started, now))
	r.advance()
	r.setTimer(now)
	return nil
}

func (r *Runner) admit(command messenger.WorkerStart, now time.Time) error {
	if r.rejected[command.Attempt] {
		return apricotwinch.Errorf(apricotwinch.Conflict, "attempt %s was started or stopped before", attemptName(command.Attempt))
	}
	if now.UnixMilli() >= int64(command.StartBeforeUnixMillis) {
		return apricotwinch.Errorf(apricotwinch.DeadlineExceeded, "startBeforeUnixMillis has passed")
	}
	if now.UnixMilli() >= int64(command.LeaseUntilUnixMillis) {
		return apricotwinch.Errorf(apricotwinch.DeadlineExceeded, "leaseUntilUnixMillis has passed")
	}
	used := toResources(command.Resources)
	for _, t := range r.running() {
		used = used.Add(toResources(t.command.Resources))
	}
	if !used.Fits(r.config.Capacity) {
		return apricotwinch.Errorf(apricotwinch.NoCapacity, "tasks would hold %s, more than the capacity of %s", used, r.config.Capacity)
	}
	return nil
}

// Renew extends leases; a lapsed lease stays lapsed.
func (r *Runner) Renew(command messenger.WorkerRenew) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.advance()
	for _, lease := range command.Leases {
		t, ok := r.tasks[lease.Attempt]
		until := time.UnixMilli(int64(lease.LeaseUntilUnixMillis))
		if ok && t.phase == PhaseRunning && until.After(t.leaseUntil) {
			t.leaseUntil = until
		}
	}
	r.setTimer(now)
}

// Throttle limits a task to a share of its processors, in thousandths. It fails with kind NotFound
// for an attempt that is not running, and Invalid for a share that is not from 1 to FullPermille.
func (r *Runner) Throttle(command messenger.WorkerThrottle) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.advance()
	t, ok := r.tasks[command.Attempt]
	if !ok || t.phase != PhaseRunning {
		return apricotwinch.Errorf(apricotwinch.NotFound, "attempt %s is not running", attemptName(command.Attempt))
	}
	if command.Permille < 1 || command.Permille > FullPermille {
		return apricotwinch.Errorf(apricotwinch.Invalid, "permille: %d is not from 1 to %d", command.Permille, FullPermille)
	}
	t.setRate(now, command.Permille, r.slowdownAt(now))
	r.setTimer(now)
	return nil
}

// Stop ends a task, which takes Config.StopTime, and returns its report. It fails with kind NotFound
// for an unknown attempt, which can't start afterwards.
func (r *Runner) Stop(command messenger.WorkerStop) (messenger.WorkerTask, error) {
	if r.config.StopTime > 0 {
		r.clock.Sleep(r.config.StopTime)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.advance()
	r.rejected[command.Attempt] = true
	t, ok := r.tasks[command.Attempt]
	if !ok {
		return messenger.WorkerTask{}, apricotwinch.Errorf(apricotwinch.NotFound, "attempt %s is unknown", attemptName(command.Attempt))
	}
	if t.phase == PhaseRunning {
		if command.Checkpoint {
			t.checkpoint(now)
		}
		r.end(t, now, PhaseStopped, "")
	}
	r.setTimer(now)
	return r.report(t, now), nil
}

// Forget drops ended attempts from the list of tasks; it keeps running ones.
func (r *Runner) Forget(command messenger.WorkerForget) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.advance()
	for _, attempt := range command.Attempts {
		if t, ok := r.tasks[attempt]; ok && t.phase != PhaseRunning {
			delete(r.tasks, attempt)
		}
	}
}

// Tasks returns the running tasks, and the ended ones that were not forgotten, in order of their
// attempts.
func (r *Runner) Tasks() messenger.WorkerTasks {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.advance()
	tasks := make([]messenger.WorkerTask, 0, len(r.tasks))
	for _, t := range r.tasks {
		tasks = append(tasks, r.report(t, now))
	}
	sort.Slice(tasks, func(i, j int) bool { return attemptLess(tasks[i].Attempt, tasks[j].Attempt) })
	return messenger.WorkerTasks{Tasks: tasks}
}

// Interference returns the interference of the running tasks: the latency that they add to the
// targets on the host, in thousandths of the latency without interference.
func (r *Runner) Interference() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.advance()
	interference := 0
	for _, t := range r.running() {
		interference += t.interference()
	}
	return interference
}

// running returns the running tasks in order of their attempts.
func (r *Runner) running() []*task {
	var running []*task
	for _, t := range r.tasks {
		if t.phase == PhaseRunning {
			running = append(running, t)
		}
	}
	sort.Slice(running, func(i, j int) bool { return attemptLess(running[i].command.Attempt, running[j].command.Attempt) })
	return running
}

// advance ends each task that is due, in order of time, and returns the current time.
func (r *Runner) advance() time.Time {
	now := r.clock.Now()
	running := r.running()
	sort.SliceStable(running, func(i, j int) bool { return running[i].endsAt().Before(running[j].endsAt()) })
	for _, t := range running {
		at := t.endsAt()
		if at.After(now) {
			break
		}
		phase, reason := t.outcome(r.config.Host)
		if phase == PhaseLapsed {
			t.checkpointBefore(at)
		}
		r.end(t, at, phase, reason)
	}
	return now
}

func (r *Runner) end(t *task, at time.Time, phase, reason string) {
	t.end(at, phase, reason)
	r.journal(r.entry(journaler.TaskEnded, t, at))
}

// setTimer sets the timer to the time when the next task ends by itself.
func (r *Runner) setTimer(now time.Time) {
	if r.timer != nil {
		r.timer.Stop()
		r.timer = nil
	}
	var next time.Time
	for _, t := range r.running() {
		if at := t.endsAt(); next.IsZero() || at.Before(next) {
			next = at
		}
	}
	if next.IsZero() {
		return
	}
	r.timer = r.clock.AfterFunc(max(next.Sub(now), 0), r.endDueTasks)
}

func (r *Runner) endDueTasks() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.setTimer(r.advance())
}

// slowdownAt returns the slowdown of the host at a time, in thousandths.
func (r *Runner) slowdownAt(at time.Time) int {
	for i := len(r.slowdowns) - 1; i > 0; i-- {
		if !r.slowdowns[i].from.After(at) {
			return r.slowdowns[i].permille
		}
	}
	return r.slowdowns[0].permille
}

// report returns the report on a task; its usage and slowdown are from Config.UsageLag ago.
func (r *Runner) report(t *task, now time.Time) messenger.WorkerTask {
	observedAt := now.Add(-r.config.UsageLag)
	report := messenger.WorkerTask{
		Attempt:          t.command.Attempt,
		Phase:            t.phase,
		SlowdownPermille: FullPermille,
		LagMillis:        int(r.config.UsageLag.Milliseconds()),
		Checkpoint:       t.encodedCheckpoint(now),
		Result:           t.result,
		Reason:           t.reason,
	}
	if t.runsAt(observedAt) {
		report.Used = t.used()
		report.SlowdownPermille = r.slowdownAt(observedAt)
	}
	return report
}

func (r *Runner) entry(event string, t *task, at time.Time) journaler.Entry {
	return journaler.Entry{
		Event:           event,
		Host:            r.config.Host,
		DataCentre:      r.config.DataCentre,
		At:              at,
		Job:             t.command.Attempt.Job,
		Task:            t.command.Attempt.Task,
		Attempt:         t.command.Attempt.Attempt,
		Watch:           t.command.Watch,
		ResumedFrom:     t.resumedFrom,
		ProgressMillis:  int(t.progressAt(at).Milliseconds()),
		ProcessorMillis: t.command.Resources.ProcessorMillis,
		MemoryBytes:     t.command.Resources.MemoryBytes,
		Accelerators:    t.command.Resources.Accelerators,
		Phase:           t.phase,
		BodyHash:        journaler.Hash(t.command.Payload),
	}
}

func attemptLess(a, b messenger.AttemptRef) bool {
	if a.Job != b.Job {
		return a.Job < b.Job
	}
	if a.Task != b.Task {
		return a.Task < b.Task
	}
	return a.Attempt < b.Attempt
}

func attemptName(a messenger.AttemptRef) string {
	return apricotwinch.NewAttemptID(a.Job, a.Task, a.Attempt).String()
}

func toResources(r messenger.Resources) apricotwinch.Resources {
	return apricotwinch.NewResources(int64(r.ProcessorMillis), int64(r.MemoryBytes), int64(r.Accelerators))
}

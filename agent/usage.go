package agent

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"apricotwinch"
	"apricotwinch/messenger"
)

const (
	// usagePeriod is the default minimum time between usage reports of an unchanged set of tasks.
	usagePeriod = 10 * time.Second
	// usageBurst is the number of reports that may be sent in a row when the set of tasks changes;
	// one more is allowed every half period.
	usageBurst = 5
	// usagePropagationPeriod is how long a report of a changed set of tasks takes to reach every
	// entry through the digests that entries exchange.
	usagePropagationPeriod = 2 * time.Second
	// usageRefreshPeriod is the time after which unchanged reports are sent again while tasks run,
	// for entries that missed them.
	usageRefreshPeriod = 30 * time.Second
	// assignmentRetention is how long an assignment is kept while the worker does not list its task
	// as running.
	assignmentRetention = time.Minute
	// unthrottledPermille is the share of its processors that an unthrottled task may use, in
	// thousandths.
	unthrottledPermille = 1000
)

// usageReporter holds the latest resource usage of the worker's tasks and decides when to report
// it. The usage lags behind the actual use; the reports carry the lag.
type usageReporter struct {
	period time.Duration
	mayRun func(ref messenger.AttemptRef) bool

	mu       sync.Mutex
	assigned map[messenger.AttemptRef]*assignment
	latest   map[messenger.AttemptRef]messenger.TaskUsage
	listedAt time.Time

	limiter     *rate.Limiter
	sentAt      time.Time
	failed      bool
	delivered   []messenger.TaskUsage
	deliveredAt time.Time
	// taskSetChangedAt is when reports of a different set of tasks were delivered.
	taskSetChangedAt time.Time
	failures         int
}

// assignment is what the owner's command said about a task, and the task's throttle.
type assignment struct {
	team       string
	spec       messenger.JobSpec
	assignedAt time.Time
	permille   int
}

// newUsageReporter returns a reporter that sends reports of an unchanged set of tasks at most once
// in a period. mayRun reports whether an attempt may still run.
func newUsageReporter(period time.Duration, mayRun func(ref messenger.AttemptRef) bool) *usageReporter {
	return &usageReporter{
		period:   period,
		mayRun:   mayRun,
		limiter:  rate.NewLimiter(rate.Every(period/2), usageBurst),
		assigned: make(map[messenger.AttemptRef]*assignment),
		latest:   make(map[messenger.AttemptRef]messenger.TaskUsage),
	}
}

// recordAssignment records an accepted command of an owner. A task is not reported before: one
// that was found at the worker is reported once its owner has sent the command again.
func (u *usageReporter) recordAssignment(now time.Time, command messenger.Assign) {
	u.mu.Lock()
	defer u.mu.Unlock()
	ref := messenger.AttemptRef{Job: command.Job, Task: command.Task, Attempt: command.Attempt}
	if u.assigned[ref] != nil {
		return
	}
	spec := command.Spec
	spec.Payload = nil
	u.assigned[ref] = &assignment{team: command.Team, spec: spec, assignedAt: now, permille: unthrottledPermille}
}

// recordThrottle records a throttle that the worker applied.
func (u *usageReporter) recordThrottle(ref messenger.AttemptRef, permille int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if a := u.assigned[ref]; a != nil {
		a.permille = permille
	}
}

// recordTasks replaces the known usage with that of the worker's tasks, and removes assignments
// that no longer run.
func (u *usageReporter) recordTasks(now time.Time, tasks []messenger.WorkerTask) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.listedAt = now
	u.latest = make(map[messenger.AttemptRef]messenger.TaskUsage, len(tasks))
	for _, task := range tasks {
		a := u.assigned[task.Attempt]
		if task.Phase == taskRunning && a != nil && !task.Used.Value().Negative() {
			u.latest[task.Attempt] = a.report(task)
		}
	}
	for ref, a := range u.assigned {
		if _, runs := u.latest[ref]; !runs && now.Sub(a.assignedAt) >= assignmentRetention {
			delete(u.assigned, ref)
		}
	}
}

func (a *assignment) report(task messenger.WorkerTask) messenger.TaskUsage {
	granted := a.spec.Resources
	granted.ProcessorMillis = granted.ProcessorMillis * a.permille / unthrottledPermille
	return messenger.TaskUsage{
		Job:              task.Attempt.Job,
		Task:             task.Attempt.Task,
		Attempt:          task.Attempt.Attempt,
		Team:             a.team,
		Name:             a.spec.Name,
		Urgency:          cmp.Or(a.spec.Urgency, apricotwinch.Batch.String()),
		Granted:          granted,
		Used:             task.Used,
		SlowdownPermille: max(0, task.SlowdownPermille),
		LagMillis:        max(0, task.LagMillis),
	}
}

// due reports whether reports must be sent. The first reports are sent even when no task runs,
// because they replace those of the agent's earlier incarnation.
func (u *usageReporter) due(now time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.isDue(now, u.running(now))
}

// take returns the reports of all running tasks, in order of job, task and attempt, and records
// that they are being sent. It reports false if none are due.
func (u *usageReporter) take(now time.Time) ([]messenger.TaskUsage, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	running := u.running(now)
	if !u.isDue(now, running) {
		return nil, false
	}
	u.sentAt = now
	u.failed = false
	u.limiter.AllowN(now, 1)
	return running, true
}

func (u *usageReporter) isDue(now time.Time, running []messenger.TaskUsage) bool {
	switch {
	case u.deliveredAt.IsZero(), u.failed, !slices.EqualFunc(running, u.delivered, sameTask):
		return u.failed || u.limiter.TokensAt(now) >= 1
	case now.Sub(u.sentAt) < u.period:
		return false
	case !slices.EqualFunc(running, u.delivered, sameUsage):
		return true
	}
	return len(running) > 0 && now.Sub(u.deliveredAt) >= max(u.period, usageRefreshPeriod)
}

// running returns the latest reports of the tasks that may still run, with their lag as of now.
func (u *usageReporter) running(now time.Time) []messenger.TaskUsage {
	var running []messenger.TaskUsage
	for ref, report := range u.latest {
		if !u.mayRun(ref) {
			continue
		}
		report.LagMillis += int(now.Sub(u.listedAt).Milliseconds())
		running = append(running, report)
	}
	slices.SortFunc(running, compareUsage)
	return running
}

// markDelivered records that reports reached an entry.
func (u *usageReporter) markDelivered(now time.Time, reports []messenger.TaskUsage) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.deliveredAt.IsZero() || !slices.EqualFunc(reports, u.delivered, sameTask) {
		u.taskSetChangedAt = now
	}
	u.delivered = reports
	u.deliveredAt = now
}

// markFailed records that reports may not have reached an entry. They are sent again at once, to
// another home entry.
func (u *usageReporter) markFailed() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.failures++
	u.failed = true
}

// tasksKnown reports whether every entry knows the tasks that run on the host. An entry that
// doesn't know a task would attribute the slowdown that it causes to other tasks.
func (u *usageReporter) tasksKnown(now time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.deliveredAt.IsZero() || now.Sub(u.taskSetChangedAt) < usagePropagationPeriod {
		return false
	}
	known := make(map[messenger.AttemptRef]bool, len(u.delivered))
	for _, report := range u.delivered {
		ref := refOf(report)
		known[ref] = true
		if !u.mayRun(ref) {
			return false
		}
	}
	for ref := range u.assigned {
		if !known[ref] && u.mayRun(ref) {
			return false
		}
	}
	return true
}

// homeIndex returns the index, below n, of the home entry that gets the reports. That entry passes
// them on to the others.
func (u *usageReporter) homeIndex(host string, n int) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return int((rendezvousWeight(host, "") + uint64(u.failures)) % uint64(max(n, 1)))
}

func refOf(u messenger.TaskUsage) messenger.AttemptRef {
	return messenger.AttemptRef{Job: u.Job, Task: u.Task, Attempt: u.Attempt}
}

// sameTask reports whether a and b are reports of the same attempt.
func sameTask(a, b messenger.TaskUsage) bool { return refOf(a) == refOf(b) }

// sameUsage reports whether a and b are equal apart from their lag.
func sameUsage(a, b messenger.TaskUsage) bool {
	a.LagMillis, b.LagMillis = 0, 0
	return a == b
}

func compareUsage(a, b messenger.TaskUsage) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Task, b.Task), cmp.Compare(a.Attempt, b.Attempt))
}

package agent

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"apricotwinch"
	"apricotwinch/messenger"
)

const (
	// usagePeriod is the shortest time between usage reports that changed.
	usagePeriod = 10 * time.Second
	// usageRefresh is the time after which reports without a change are sent again
	// while tasks run, for the entries that missed them.
	usageRefresh = 30 * time.Second
	// keepAssigned is how long an assignment is remembered whose task the worker
	// does not list.
	keepAssigned = time.Minute
	// unthrottled is the share of its processors that a task keeps without a
	// throttle, in thousandths.
	unthrottled = 1000
)

// usage keeps the worker's lagged reports of use and gives them out when they
// changed since they were last delivered.
type usage struct {
	period time.Duration
	live   func(ref messenger.AttemptRef) bool

	mu       sync.Mutex
	assigned map[messenger.AttemptRef]*assignment
	latest   map[messenger.AttemptRef]messenger.TaskUsage
	listedAt time.Time

	sentAt      time.Time
	delivered   []messenger.TaskUsage
	deliveredAt time.Time
	failures    int
}

// assignment is what the owner said of a task that it assigned.
type assignment struct {
	team     string
	spec     messenger.JobSpec
	knownAt  time.Time
	permille int
}

// newUsage returns reports that are sent no more often than once in a period;
// live reports whether an attempt may still run.
func newUsage(period time.Duration, live func(ref messenger.AttemptRef) bool) *usage {
	return &usage{
		period:   period,
		live:     live,
		assigned: make(map[messenger.AttemptRef]*assignment),
		latest:   make(map[messenger.AttemptRef]messenger.TaskUsage),
	}
}

// know takes an owner's command that was accepted. A task is not reported before:
// one that was found at the worker waits for its owner's copy of the command.
func (u *usage) know(now time.Time, command messenger.Assign) {
	u.mu.Lock()
	defer u.mu.Unlock()
	ref := messenger.AttemptRef{Job: command.Job, Task: command.Task, Attempt: command.Attempt}
	if u.assigned[ref] != nil {
		return
	}
	spec := command.Spec
	spec.Payload = nil
	u.assigned[ref] = &assignment{team: command.Team, spec: spec, knownAt: now, permille: unthrottled}
}

// throttled takes a throttle that the worker took.
func (u *usage) throttled(ref messenger.AttemptRef, permille int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if a := u.assigned[ref]; a != nil {
		a.permille = permille
	}
}

// observe takes the worker's tasks in place of those before.
func (u *usage) observe(now time.Time, tasks []messenger.WorkerTask) {
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
		if _, runs := u.latest[ref]; !runs && now.Sub(a.knownAt) >= keepAssigned {
			delete(u.assigned, ref)
		}
	}
}

func (a *assignment) report(task messenger.WorkerTask) messenger.TaskUsage {
	granted := a.spec.Resources
	granted.ProcessorMillis = granted.ProcessorMillis * a.permille / unthrottled
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

// due reports whether reports must be sent. The first are sent also when no task
// runs: they take the place of those of the agent's earlier incarnation.
func (u *usage) due(now time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.isDue(now, u.running(now))
}

// take returns the reports of all running tasks, in order of job and task, when
// they must be sent.
func (u *usage) take(now time.Time) ([]messenger.TaskUsage, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	running := u.running(now)
	if !u.isDue(now, running) {
		return nil, false
	}
	u.sentAt = now
	return running, true
}

func (u *usage) isDue(now time.Time, running []messenger.TaskUsage) bool {
	if now.Sub(u.sentAt) < u.period {
		return false
	}
	if u.deliveredAt.IsZero() || !slices.EqualFunc(running, u.delivered, sameUsage) {
		return true
	}
	return len(running) > 0 && now.Sub(u.deliveredAt) >= max(u.period, usageRefresh)
}

// running returns the latest reports of the tasks that run, aged to now.
func (u *usage) running(now time.Time) []messenger.TaskUsage {
	var running []messenger.TaskUsage
	for ref, report := range u.latest {
		if !u.live(ref) {
			continue
		}
		report.LagMillis += int(now.Sub(u.listedAt).Milliseconds())
		running = append(running, report)
	}
	slices.SortFunc(running, compareUsage)
	return running
}

// deliver notes that reports reached an entry.
func (u *usage) deliver(now time.Time, reports []messenger.TaskUsage) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.delivered = reports
	u.deliveredAt = now
}

// fail notes that reports may not have reached an entry: they are sent again at
// once, to another home.
func (u *usage) fail() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.failures++
	u.sentAt = time.Time{}
}

// home returns which of n homes gets the reports; it passes them on to the other
// entries.
func (u *usage) home(host string, n int) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return int((weight(host, "") + uint64(u.failures)) % uint64(max(n, 1)))
}

// sameUsage reports whether two reports differ by no more than their age.
func sameUsage(a, b messenger.TaskUsage) bool {
	a.LagMillis, b.LagMillis = 0, 0
	return a == b
}

func compareUsage(a, b messenger.TaskUsage) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Task, b.Task), cmp.Compare(a.Attempt, b.Attempt))
}

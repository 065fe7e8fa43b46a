package agent

import (
	"cmp"
	"slices"
	"sync"

	"apricotwinch/messenger"
)

// usage keeps the worker's lagged reports of use and gives out those that
// changed since they were last delivered.
type usage struct {
	mu        sync.Mutex
	latest    map[messenger.AttemptRef]messenger.TaskUsage
	delivered map[messenger.AttemptRef]messenger.TaskUsage
}

func newUsage() *usage {
	return &usage{
		latest:    make(map[messenger.AttemptRef]messenger.TaskUsage),
		delivered: make(map[messenger.AttemptRef]messenger.TaskUsage),
	}
}

// observe takes the worker's tasks in place of those before.
func (u *usage) observe(tasks []messenger.WorkerTask) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.latest = make(map[messenger.AttemptRef]messenger.TaskUsage, len(tasks))
	for _, task := range tasks {
		if task.Phase != taskRunning {
			continue
		}
		u.latest[task.Attempt] = messenger.TaskUsage{
			Job:              task.Attempt.Job,
			Task:             task.Attempt.Task,
			Used:             task.Used,
			SlowdownPermille: task.SlowdownPermille,
			LagMillis:        task.LagMillis,
		}
	}
	for ref := range u.delivered {
		if _, ok := u.latest[ref]; !ok {
			delete(u.delivered, ref)
		}
	}
}

// changed returns the reports that differ from the delivered ones by more than
// their age, in order of job and task.
func (u *usage) changed() []messenger.TaskUsage {
	u.mu.Lock()
	defer u.mu.Unlock()
	var changed []messenger.TaskUsage
	for ref, report := range u.latest {
		before, ok := u.delivered[ref]
		if ok && before.Used == report.Used && before.SlowdownPermille == report.SlowdownPermille {
			continue
		}
		changed = append(changed, report)
	}
	slices.SortFunc(changed, compareUsage)
	return changed
}

// deliver notes that reports reached an entry.
func (u *usage) deliver(reports []messenger.TaskUsage) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for ref, report := range u.latest {
		if slices.Contains(reports, report) {
			u.delivered[ref] = report
		}
	}
}

func compareUsage(a, b messenger.TaskUsage) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Task, b.Task))
}

package diagnoser

import "slices"

// maxFailuresKept is the maximum number of failed hosts kept per job or task, and of
// failures kept per host.
const maxFailuresKept = 64

// failedHost is a host on which tasks of a job failed, and the number of failures.
type failedHost struct {
	name       string
	dataCentre string
	count      int
}

// job is what the diagnoser knows about the attempts at one job.
type job struct {
	completions int
	failedOn    []failedHost
	tasks       map[int]*task
}

// task is what the diagnoser knows about the attempts at one task.
type task struct {
	failures int
	losses   int
	failedOn []failedHost
}

func (j *job) task(number int) *task {
	t := j.tasks[number]
	if t == nil {
		t = &task{}
		j.tasks[number] = t
	}
	return t
}

// addFailedHost records a failure on the host of a and moves that host to the end of the
// list.
func addFailedHost(failedOn []failedHost, a Attempt) []failedHost {
	latest := failedHost{name: a.host, dataCentre: a.dataCentre}
	at := slices.IndexFunc(failedOn, func(f failedHost) bool { return f.name == a.host })
	if at < 0 && len(failedOn) == maxFailuresKept {
		at = 0
	}
	if at >= 0 {
		if failedOn[at].name == a.host {
			latest.count = failedOn[at].count
		}
		failedOn = slices.Delete(failedOn, at, at+1)
	}
	latest.count++
	return append(failedOn, latest)
}

// failureTotals sums up the hosts on which work failed.
type failureTotals struct {
	hosts       int
	dataCentres int
	failures    int
}

// sumFailures sums up the failed hosts that are not excluded.
func sumFailures(failedOn []failedHost, excluded func(host string) bool) failureTotals {
	var sum failureTotals
	seen := map[string]bool{}
	for _, f := range failedOn {
		if excluded(f.name) {
			continue
		}
		sum.hosts++
		sum.failures += f.count
		seen[f.dataCentre] = true
	}
	sum.dataCentres = len(seen)
	return sum
}

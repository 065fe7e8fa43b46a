package judge

import "slices"

// failuresKept bounds the failed hosts remembered for one job.
const failuresKept = 64

// failedHost is a host on which tasks of a job failed.
type failedHost struct {
	name       string
	dataCentre string
	count      int
}

// job is what is known of the attempts at one job.
type job struct {
	completions int
	failedOn    []failedHost
	tasks       map[int]*task
}

// task is what is known of the attempts at one task.
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

// fail records a failure on a host, the latest host last.
func fail(failedOn []failedHost, a Attempt) []failedHost {
	latest := failedHost{name: a.host, dataCentre: a.dataCentre}
	at := slices.IndexFunc(failedOn, func(f failedHost) bool { return f.name == a.host })
	if at < 0 && len(failedOn) == failuresKept {
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

// tally sums up the hosts on which work failed.
type tally struct {
	hosts       int
	dataCentres int
	failures    int
}

// count sums up the failed hosts that are not excluded.
func count(failedOn []failedHost, excluded func(host string) bool) tally {
	var sum tally
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

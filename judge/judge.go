// Package judge tells failing jobs from failing hosts.
//
// A Judge is told how attempts ended. It decides whether the task is tried
// again, after a delay and away from the hosts on which it failed, or its job is
// parked; and which hosts are put into quarantine and given a trial later. A
// Judge does no I/O, takes the time as an argument and gives the same verdicts
// for the same seed and events. It is not safe for concurrent use.
package judge

import (
	"math/rand/v2"
	"time"

	"apricotwinch"
	"apricotwinch/placer"
)

// Judge decides about work and hosts that fail.
type Judge struct {
	config      Config
	random      *rand.Rand
	fleet       int
	dataCentres int
	jobs        map[string]*job
	hosts       map[string]*host
	closed      []*host
	changes     []Change
}

// New returns a judge that knows no failure; the seed fixes its jitter.
func New(config Config, seed uint64) *Judge {
	return &Judge{
		config: config,
		random: rand.New(rand.NewPCG(seed, seed)),
		jobs:   map[string]*job{},
		hosts:  map[string]*host{},
	}
}

// SetFleet tells how many hosts and data centres there are.
func (j *Judge) SetFleet(hosts, dataCentres int) {
	j.fleet, j.dataCentres = hosts, dataCentres
}

// Completed takes the completion of an attempt. The judge keeps a small record
// of each job until Forget.
func (j *Judge) Completed(now time.Time, a Attempt) {
	work := j.job(a)
	work.completions++
	delete(work.tasks, a.id.Task())
	if h := j.hosts[a.host]; h != nil {
		j.completedOn(now, h)
	}
	if work.completions > 1 {
		return
	}
	for _, f := range work.failedOn {
		if h := j.hosts[f.name]; h != nil {
			j.review(now, h)
		}
	}
}

func (j *Judge) completedOn(now time.Time, h *host) {
	switch h.standing {
	case placer.Trial:
		j.release(now, h)
	case placer.Closed:
		j.try(h)
	default:
		h.acquit()
		if len(h.evidence) == 0 && h.strikes == 0 {
			delete(j.hosts, h.name)
		}
	}
}

// Failed takes the failure of an attempt. A limit above 0 replaces MaxAttempts
// for the job.
func (j *Judge) Failed(now time.Time, a Attempt, limit int) Verdict {
	work := j.job(a)
	t := work.task(a.id.Task())
	t.failures++
	work.failedOn = fail(work.failedOn, a)
	t.failedOn = fail(t.failedOn, a)
	j.failedOn(now, work, a)
	if limit <= 0 {
		limit = j.config.MaxAttempts
	}
	if reason := j.parked(work, t, limit); reason != "" {
		return Verdict{park: true, reason: reason}
	}
	reason := RetryFailed
	if j.quarantined(a.host) {
		reason = RetryBadHost
	}
	return j.retry(now, work, t, reason)
}

// failedOn counts the failure against its host.
func (j *Judge) failedOn(now time.Time, work *job, a Attempt) {
	h := j.hosts[a.host]
	if h == nil {
		h = &host{name: a.host}
		j.hosts[a.host] = h
	}
	switch h.standing {
	case placer.Trial:
		if j.weight(work, a.host) >= j.weight(&job{}, a.host) {
			h.strikes++
		}
		j.close(now, h, HostTrialFailed)
	case placer.Open:
		h.accuse(evidence{job: work, task: a.id.Task(), at: now}, j.config.EvidenceLife)
		j.review(now, h)
	}
}

// parked returns the reason for which the job of t is parked, or "".
func (j *Judge) parked(work *job, t *task, limit int) Reason {
	if t.failures >= max(j.config.HardLimit, limit) {
		return ParkLimit
	}
	if j.everywhere(t.failedOn, limit) {
		return ParkTask
	}
	if work.completions == 0 && j.everywhere(work.failedOn, limit) {
		return ParkJob
	}
	return ""
}

// everywhere reports whether the failures span enough open hosts.
func (j *Judge) everywhere(failedOn []failedHost, limit int) bool {
	sum := count(failedOn, j.quarantined)
	return sum.failures >= limit &&
		sum.hosts >= min(limit, max(1, j.fleet-j.held())) &&
		sum.dataCentres >= min(limit, j.config.MinDataCentres, max(1, j.dataCentres))
}

// Lost takes an attempt whose lease ended without an outcome; it doesn't count
// as a failure of the job.
func (j *Judge) Lost(now time.Time, a Attempt) Verdict {
	work := j.job(a)
	t := work.task(a.id.Task())
	t.losses++
	if h := j.hosts[a.host]; h != nil && h.standing == placer.Trial {
		j.close(now, h, HostTrialLost)
	}
	v := j.retry(now, work, t, RetryLost)
	v.avoid = append(v.avoid, a.host)
	return v
}

// Withdrawn takes an attempt that ended for reasons of its own: canceled,
// evicted or refused. A trial that it was is given again.
func (j *Judge) Withdrawn(a Attempt) {
	if h := j.hosts[a.host]; h != nil && h.standing == placer.Trial {
		j.try(h)
	}
}

// retry returns a verdict with the delay for the failures so far.
func (j *Judge) retry(now time.Time, work *job, t *task, reason Reason) Verdict {
	delay := apricotwinch.Doubled(j.config.BackoffBase, j.config.BackoffMax, t.failures+t.losses-1)
	return Verdict{notBefore: now.Add(j.jitter(delay)), avoid: j.avoid(work), reason: reason}
}

// Avoid returns the hosts on which tasks of a job failed, for its next attempt.
func (j *Judge) Avoid(name string) []string {
	work := j.jobs[name]
	if work == nil {
		return nil
	}
	return j.avoid(work)
}

func (j *Judge) avoid(work *job) []string {
	latest := work.failedOn[max(0, len(work.failedOn)-j.config.AvoidMax):]
	names := make([]string, 0, len(latest)+1)
	for _, f := range latest {
		names = append(names, f.name)
	}
	return names
}

// Forget drops what is known of a job that ended. Its failures go on counting
// against hosts.
func (j *Judge) Forget(name string) { delete(j.jobs, name) }

// Joined takes a host that joined or restarted and returns its standing: a host
// that left in quarantine gets a trial.
func (j *Judge) Joined(name string) placer.Standing {
	h := j.hosts[name]
	if h == nil {
		return placer.Open
	}
	h.absent = false
	if h.standing == placer.Closed {
		j.try(h)
	}
	return h.standing
}

// Left takes a host that left; it no longer counts for the share in quarantine.
func (j *Judge) Left(name string) {
	h := j.hosts[name]
	if h == nil {
		return
	}
	if h.standing == placer.Open {
		delete(j.hosts, name)
		return
	}
	h.absent = true
}

// Tick gives a trial to the hosts whose probation is due.
func (j *Judge) Tick(now time.Time) {
	for _, h := range j.closed {
		if h.standing == placer.Closed && !h.absent && !now.Before(h.probation) {
			j.try(h)
		}
	}
}

// Changes returns the hosts whose standing changed since the last call.
func (j *Judge) Changes() []Change {
	changes := j.changes
	j.changes = nil
	return changes
}

func (j *Judge) job(a Attempt) *job {
	work := j.jobs[a.id.Job()]
	if work == nil {
		work = &job{tasks: map[int]*task{}}
		j.jobs[a.id.Job()] = work
	}
	return work
}

// jitter returns between half of delay and the whole.
func (j *Judge) jitter(delay time.Duration) time.Duration {
	half := delay / 2
	return half + time.Duration(j.random.Int64N(int64(half)+1))
}

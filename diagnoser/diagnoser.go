// Package diagnoser distinguishes faulty jobs from faulty hosts.
//
// The caller reports how attempts ended. A Diagnoser decides whether a task is tried again,
// after a delay and away from the hosts on which it failed, or its job is parked; and which
// hosts are put into quarantine and given a trial later. A Diagnoser does no I/O, takes the
// time as an argument and returns the same verdicts for the same seed and events. It is not
// safe for concurrent use.
package diagnoser

import (
	"math/rand/v2"
	"time"

	"apricotwinch"
	"apricotwinch/placer"
)

// Diagnoser decides what happens to jobs and hosts with failures.
type Diagnoser struct {
	config          Config
	random          *rand.Rand
	hostCount       int
	dataCentreCount int
	jobs            map[string]*job
	hosts           map[string]*host
	quarantineList  []*host
	changes         []Change
}

// New returns a diagnoser without recorded failures. The seed determines the jitter of its
// delays.
func New(config Config, seed uint64) *Diagnoser {
	return &Diagnoser{
		config: config,
		random: rand.New(rand.NewPCG(seed, seed)),
		jobs:   map[string]*job{},
		hosts:  map[string]*host{},
	}
}

// SetFleet sets the number of hosts and of data centres.
func (d *Diagnoser) SetFleet(hosts, dataCentres int) {
	d.hostCount, d.dataCentreCount = hosts, dataCentres
}

// Completed records that an attempt completed. The first completion of a job shows that the
// job itself is healthy, so the hosts on which it failed may be put into quarantine. The
// diagnoser keeps a small record of each job until Forget is called.
func (d *Diagnoser) Completed(now time.Time, a Attempt) {
	work := d.job(a)
	work.completions++
	delete(work.tasks, a.id.Task())
	if h := d.hosts[a.host]; h != nil {
		d.countHostCompletion(now, h)
	}
	if work.completions > 1 {
		return
	}
	for _, f := range work.failedOn {
		if h := d.hosts[f.name]; h != nil {
			d.quarantineIfDue(now, h)
		}
	}
}

func (d *Diagnoser) countHostCompletion(now time.Time, h *host) {
	switch h.eligibility {
	case placer.Trial:
		d.release(now, h)
	case placer.Closed:
		d.startTrial(h)
	default:
		h.dropOlderHalf()
		if len(h.failures) == 0 && h.backoffSteps == 0 {
			delete(d.hosts, h.name)
		}
	}
}

// Failed records that an attempt failed and returns what happens to its task. A limit above
// 0 replaces Config.MaxAttempts for the job.
func (d *Diagnoser) Failed(now time.Time, a Attempt, limit int) Verdict {
	work := d.job(a)
	t := work.task(a.id.Task())
	t.failures++
	work.failedOn = addFailedHost(work.failedOn, a)
	t.failedOn = addFailedHost(t.failedOn, a)
	d.countHostFailure(now, work, a)
	if limit <= 0 {
		limit = d.config.MaxAttempts
	}
	if reason := d.parkReason(work, t, limit); reason != "" {
		return Verdict{park: true, reason: reason}
	}
	reason := RetryFailed
	if d.quarantined(a.host) {
		reason = RetryBadHost
	}
	return d.retryVerdict(now, work, t, reason)
}

// countHostFailure counts a failure against its host. A failed trial ends in quarantine;
// the time before the next trial doubles unless the job is known to fail on other hosts.
func (d *Diagnoser) countHostFailure(now time.Time, work *job, a Attempt) {
	h := d.hosts[a.host]
	if h == nil {
		h = &host{name: a.host}
		d.hosts[a.host] = h
	}
	switch h.eligibility {
	case placer.Trial:
		if d.weight(work, a.host) >= d.weight(&job{}, a.host) {
			h.backoffSteps++
		}
		d.quarantine(now, h, HostTrialFailed)
	case placer.Open:
		h.addFailure(hostFailure{job: work, task: a.id.Task(), at: now}, d.config.FailureRetention)
		d.quarantineIfDue(now, h)
	}
}

// parkReason returns the reason to park the job of t, or "".
func (d *Diagnoser) parkReason(work *job, t *task, limit int) Reason {
	if t.failures >= max(d.config.MaxFailures, limit) {
		return ParkLimit
	}
	if d.failsEverywhere(t.failedOn, limit) {
		return ParkTask
	}
	if work.completions == 0 && d.failsEverywhere(work.failedOn, limit) {
		return ParkJob
	}
	return ""
}

// failsEverywhere reports whether there are enough failures on enough different open hosts
// in enough data centres.
func (d *Diagnoser) failsEverywhere(failedOn []failedHost, limit int) bool {
	sum := sumFailures(failedOn, d.quarantined)
	return sum.failures >= limit &&
		sum.hosts >= min(limit, max(1, d.hostCount-d.quarantinedCount())) &&
		sum.dataCentres >= min(limit, d.config.MinDataCentres, max(1, d.dataCentreCount))
}

// Lost records an attempt whose lease ended without an outcome, and returns the verdict for
// its task. The loss delays the next attempt but doesn't count as a failure of the job.
func (d *Diagnoser) Lost(now time.Time, a Attempt) Verdict {
	work := d.job(a)
	t := work.task(a.id.Task())
	t.losses++
	if h := d.hosts[a.host]; h != nil && h.eligibility == placer.Trial {
		d.quarantine(now, h, HostTrialLost)
	}
	v := d.retryVerdict(now, work, t, RetryLost)
	v.avoid = append(v.avoid, a.host)
	return v
}

// ExcusedEnd records an attempt that was canceled, evicted or refused, which says nothing
// about its host. If it was the host's trial, the host gets another one.
func (d *Diagnoser) ExcusedEnd(a Attempt) {
	if h := d.hosts[a.host]; h != nil && h.eligibility == placer.Trial {
		d.startTrial(h)
	}
}

// retryVerdict returns a verdict to retry, with the delay for the failures and losses so
// far.
func (d *Diagnoser) retryVerdict(now time.Time, work *job, t *task, reason Reason) Verdict {
	delay := apricotwinch.ExponentialBackoff(d.config.BackoffBase, d.config.BackoffMax, t.failures+t.losses-1)
	return Verdict{notBefore: now.Add(d.jitter(delay)), avoid: d.hostsToAvoid(work), reason: reason}
}

// HostsToAvoid returns the hosts that the next attempt at the job called name should avoid,
// because tasks of the job failed there.
func (d *Diagnoser) HostsToAvoid(name string) []string {
	work := d.jobs[name]
	if work == nil {
		return nil
	}
	return d.hostsToAvoid(work)
}

func (d *Diagnoser) hostsToAvoid(work *job) []string {
	latest := work.failedOn[max(0, len(work.failedOn)-d.config.MaxAvoidedHosts):]
	names := make([]string, 0, len(latest)+1)
	for _, f := range latest {
		names = append(names, f.name)
	}
	return names
}

// Forget drops the record of a job that ended. Its failures still count against hosts.
func (d *Diagnoser) Forget(name string) { delete(d.jobs, name) }

// HostJoined records that a host joined or restarted and returns its eligibility. A host
// that left while in quarantine gets a trial.
func (d *Diagnoser) HostJoined(name string) placer.Eligibility {
	h := d.hosts[name]
	if h == nil {
		return placer.Open
	}
	h.absent = false
	if h.eligibility == placer.Closed {
		d.startTrial(h)
	}
	return h.eligibility
}

// HostLeft records that a host left. It no longer counts for Config.MaxQuarantinedShare.
func (d *Diagnoser) HostLeft(name string) {
	h := d.hosts[name]
	if h == nil {
		return
	}
	if h.eligibility == placer.Open {
		delete(d.hosts, name)
		return
	}
	h.absent = true
}

// Tick starts a trial for each host whose time in quarantine is over.
func (d *Diagnoser) Tick(now time.Time) {
	for _, h := range d.quarantineList {
		if h.eligibility == placer.Closed && !h.absent && !now.Before(h.trialAt) {
			d.startTrial(h)
		}
	}
}

// Changes returns the hosts whose eligibility changed since the last call.
func (d *Diagnoser) Changes() []Change {
	changes := d.changes
	d.changes = nil
	return changes
}

func (d *Diagnoser) job(a Attempt) *job {
	work := d.jobs[a.id.Job()]
	if work == nil {
		work = &job{tasks: map[int]*task{}}
		d.jobs[a.id.Job()] = work
	}
	return work
}

// jitter returns a random delay between half of delay and all of it.
func (d *Diagnoser) jitter(delay time.Duration) time.Duration {
	half := delay / 2
	return half + time.Duration(d.random.Int64N(int64(half)+1))
}

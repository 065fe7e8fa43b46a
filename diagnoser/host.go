package diagnoser

import (
	"math"
	"slices"
	"time"

	"apricotwinch"
	"apricotwinch/placer"
)

// hostFailure is one failure of a task on a host.
type hostFailure struct {
	job  *job
	task int
	at   time.Time
}

// host is what the diagnoser knows about a host on which work failed. backoffSteps is the
// number of times that the time before the next trial has doubled.
type host struct {
	name         string
	eligibility  placer.Eligibility
	absent       bool
	failures     []hostFailure
	backoffSteps int
	trialAt      time.Time
	releasedAt   time.Time
}

// addFailure records a failure. A new failure of a task replaces the earlier one of the
// same task, so that a task counts once.
func (h *host) addFailure(f hostFailure, retention time.Duration) {
	h.failures = slices.DeleteFunc(h.failures, func(old hostFailure) bool {
		return f.at.Sub(old.at) >= retention || (old.job == f.job && old.task == f.task)
	})
	h.failures = append(h.failures, f)
	if len(h.failures) > maxFailuresKept {
		h.failures = h.failures[1:]
	}
}

// dropOlderHalf drops the older half of the failures, because the host completed work.
func (h *host) dropOlderHalf() {
	h.failures = h.failures[(len(h.failures)+1)/2:]
}

// failureScore returns the summed weights of the host's failures. It is 0 when all failures
// are of one job that never completed anywhere, since the job may be the cause.
func (d *Diagnoser) failureScore(h *host) float64 {
	sum := 0.0
	failedJobs := map[*job]bool{}
	someCompleted := false
	for _, f := range h.failures {
		sum += d.weight(f.job, h.name)
		failedJobs[f.job] = true
		someCompleted = someCompleted || f.job.completions > 0
	}
	if len(failedJobs) < 2 && !someCompleted {
		return 0
	}
	return sum
}

// weight returns how strongly a failure of a job indicates a faulty host, between 0 and 1:
// the information content, in nats, of the failure, given how often the job fails on other
// open hosts.
func (d *Diagnoser) weight(work *job, name string) float64 {
	elsewhere := sumFailures(work.failedOn, func(other string) bool {
		return other == name || d.quarantined(other)
	})
	failures := float64(elsewhere.failures + 1)
	probability := failures / (failures + float64(work.completions+1))
	return min(1, -math.Log(probability))
}

// quarantined reports whether a host is in quarantine or on trial.
func (d *Diagnoser) quarantined(name string) bool {
	h := d.hosts[name]
	return h != nil && h.eligibility != placer.Open
}

// quarantineIfDue puts an open host into quarantine when it has enough failures, unless too
// many hosts are in quarantine already.
func (d *Diagnoser) quarantineIfDue(now time.Time, h *host) {
	if h.eligibility != placer.Open || len(h.failures) < d.config.QuarantineFailures || d.failureScore(h) < d.config.QuarantineScore {
		return
	}
	if d.quarantinedCount() >= max(1, int(d.config.MaxQuarantinedShare*float64(d.hostCount))) {
		d.recordChange(h, HostQuarantineCapped)
		return
	}
	if now.Sub(h.releasedAt) >= d.config.ProbationMax {
		h.backoffSteps = 0
	}
	d.quarantineList = append(d.quarantineList, h)
	d.quarantine(now, h, HostQuarantined)
}

// quarantinedCount returns the number of hosts in quarantine or on trial that have not left.
func (d *Diagnoser) quarantinedCount() int {
	present := 0
	for _, h := range d.quarantineList {
		if !h.absent {
			present++
		}
	}
	return present
}

// quarantine closes a host until its next trial.
func (d *Diagnoser) quarantine(now time.Time, h *host, reason Reason) {
	delay := apricotwinch.ExponentialBackoff(d.config.ProbationBase, d.config.ProbationMax, h.backoffSteps)
	h.eligibility = placer.Closed
	h.trialAt = now.Add(d.jitter(delay))
	h.failures = nil
	d.recordChange(h, reason)
}

// startTrial lets a host have one task.
func (d *Diagnoser) startTrial(h *host) {
	h.eligibility = placer.Trial
	d.recordChange(h, HostTrial)
}

// release opens a host again. Its next quarantine lasts longer.
func (d *Diagnoser) release(now time.Time, h *host) {
	h.eligibility = placer.Open
	h.releasedAt = now
	h.backoffSteps++
	d.quarantineList = slices.DeleteFunc(d.quarantineList, func(other *host) bool { return other == h })
	d.recordChange(h, HostReleased)
}

func (d *Diagnoser) recordChange(h *host, reason Reason) {
	d.changes = append(d.changes, Change{host: h.name, eligibility: h.eligibility, reason: reason})
}

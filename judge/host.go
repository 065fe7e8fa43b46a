package judge

import (
	"math"
	"slices"
	"time"

	"apricotwinch"
	"apricotwinch/placer"
)

// evidence is one failure on a host.
type evidence struct {
	job  *job
	task int
	at   time.Time
}

// host is what is known of one host that failed work.
type host struct {
	name       string
	standing   placer.Standing
	absent     bool
	evidence   []evidence
	strikes    int
	probation  time.Time
	releasedAt time.Time
}

// accuse adds a failure; further failures of one task add nothing.
func (h *host) accuse(e evidence, life time.Duration) {
	h.evidence = slices.DeleteFunc(h.evidence, func(old evidence) bool {
		return e.at.Sub(old.at) >= life || (old.job == e.job && old.task == e.task)
	})
	h.evidence = append(h.evidence, e)
	if len(h.evidence) > failuresKept {
		h.evidence = h.evidence[1:]
	}
}

// acquit drops the older half of the evidence: the host completed work.
func (h *host) acquit() {
	h.evidence = h.evidence[(len(h.evidence)+1)/2:]
}

// score weighs the evidence against the host. It is 0 when a single job that
// never completed anywhere is the only witness.
func (j *Judge) score(h *host) float64 {
	sum := 0.0
	witnesses := map[*job]bool{}
	proven := false
	for _, e := range h.evidence {
		sum += j.weight(e.job, h.name)
		witnesses[e.job] = true
		proven = proven || e.job.completions > 0
	}
	if len(witnesses) < 2 && !proven {
		return 0
	}
	return sum
}

// weight returns how much a failure of a job speaks against a host: the
// information in it, given how often the job fails on other open hosts.
func (j *Judge) weight(work *job, name string) float64 {
	elsewhere := count(work.failedOn, func(other string) bool {
		return other == name || j.quarantined(other)
	})
	failures := float64(elsewhere.failures + 1)
	chance := failures / (failures + float64(work.completions+1))
	return min(1, -math.Log(chance))
}

// quarantined reports whether a host is in quarantine or on trial.
func (j *Judge) quarantined(name string) bool {
	h := j.hosts[name]
	return h != nil && h.standing != placer.Open
}

// review puts a host into quarantine when the evidence is enough.
func (j *Judge) review(now time.Time, h *host) {
	if h.standing != placer.Open || len(h.evidence) < j.config.QuarantineFailures || j.score(h) < j.config.QuarantineScore {
		return
	}
	if j.held() >= max(1, int(j.config.QuarantineShare*float64(j.fleet))) {
		j.note(h, HostSpared)
		return
	}
	if now.Sub(h.releasedAt) >= j.config.ProbationMax {
		h.strikes = 0
	}
	j.closed = append(j.closed, h)
	j.close(now, h, HostQuarantined)
}

// held returns the number of present hosts in quarantine.
func (j *Judge) held() int {
	held := 0
	for _, h := range j.closed {
		if !h.absent {
			held++
		}
	}
	return held
}

// close bars a host until its next trial.
func (j *Judge) close(now time.Time, h *host, reason Reason) {
	delay := apricotwinch.Doubled(j.config.ProbationBase, j.config.ProbationMax, h.strikes)
	h.standing = placer.Closed
	h.probation = now.Add(j.jitter(delay))
	h.evidence = nil
	j.note(h, reason)
}

// try lets a host have one task.
func (j *Judge) try(h *host) {
	h.standing = placer.Trial
	j.note(h, HostTrial)
}

// release opens a host again.
func (j *Judge) release(now time.Time, h *host) {
	h.standing = placer.Open
	h.releasedAt = now
	h.strikes++
	j.closed = slices.DeleteFunc(j.closed, func(other *host) bool { return other == h })
	j.note(h, HostReleased)
}

func (j *Judge) note(h *host, reason Reason) {
	j.changes = append(j.changes, Change{host: h.name, standing: h.standing, reason: reason})
}

package custodian

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"apricotwinch/messenger"
)

// A late start is one by a call without an answer, on an incarnation of the executor that this agent hasn't heard. That
// run goes on under a lease of its own, which may be as long as any.

// Reasons for which a run waits for a late start.
const (
	lateExecutorSilent = "executor silent"
	lateExecutorEnded  = "executor ended"
)

// Reasons for which a run waits for a late start no longer.
const (
	lateListed     = "listed"
	lateNotListed  = "not listed"
	lateOtherHeard = "another incarnation confirmed"
	lateNotCalled  = "not carried out"
	lateTimeIsOver = "too late to start"
	lateNoProcess  = "no process listens"
)

// Names of the counters of these waits.
const (
	lateStartsAwaited = "starts.late_awaited"
	lateStartsSettled = "starts.late_settled"
)

// silence is how long an incarnation of an executor has been silent.
type silence struct {
	// heardUntil is until when it counts as heard: a start that was carried out by then has been listed.
	heardUntil time.Time
	// knownSince is since when this agent, which may have stood still itself, has known that it is silent or has ended.
	knownSince time.Time
}

// silenceOf returns how long an executor has been silent. Of one that isn't, both times are now.
func (c *Custodian) silenceOf(now time.Time, e *executor) silence {
	s := silence{heardUntil: earlier(now, e.lastContactAt.Add(c.config.SilenceTimeout)), knownSince: now}
	if !e.unansweredSince.IsZero() {
		s.knownSince = earlier(now, e.unansweredSince.Add(c.config.SilenceTimeout))
	}
	return s
}

// lateStartEnd returns when a run has ended that a call of this agent may start late; zero if none may. A long-running task
// may not wait for as long, and one of which several runs may go on needn't.
func (c *Custodian) lateStartEnd(r *run, s silence) time.Time {
	calls := c.underWayUntil(r)
	if !calls.After(s.heardUntil) {
		return time.Time{}
	}
	end := calls.Add(c.longestLease() + c.config.Margin)
	if r.order.Lasting || r.order.Speculative {
		end = earlier(end, s.knownSince.Add(c.config.MaxShortHold))
	}
	return end
}

// lateMillis returns what is reported of a run: the time in milliseconds until lateStartEnd, or 0 while the only call that may
// start it has just been made.
func (c *Custodian) lateMillis(now time.Time, r *run, s silence) int {
	if r.startCalls.lateUntil.IsZero() && !r.found && now.Sub(r.startCalls.madeAt) < c.config.RetryDelay {
		return 0
	}
	return millisUntil(now, c.lateStartEnd(r, s))
}

// awaitLateStart records that a run waits until end, unless it does already.
func (c *Custodian) awaitLateStart(now time.Time, e *executor, r *run, end time.Time, reason string) {
	if !r.lateSince.IsZero() {
		return
	}
	r.lateSince = now
	metrics.GetOrRegisterCounter(lateStartsAwaited, c.registry).Inc(1)
	c.logger.Info("late start awaited", "run", r.order.Run, "executor", e.ID, "born", e.StartedMillis, "reason", reason,
		"untilMillis", end.Sub(now).Milliseconds(), "lasting", r.order.Lasting)
}

// settleLateStart records that a run waits no longer.
func (c *Custodian) settleLateStart(now time.Time, executor string, r *run, reason string) {
	if r.lateSince.IsZero() {
		return
	}
	metrics.GetOrRegisterCounter(lateStartsSettled, c.registry).Inc(1)
	c.logger.Info("late start settled", "run", r.order.Run, "executor", executor, "reason", reason, "waitedMillis", now.Sub(r.lateSince).Milliseconds())
	r.lateSince = time.Time{}
}

// expireLeases records that the leases of a silent executor have expired, and removes the runs that no call may start late.
// It reports whether a report to the owner is due at once.
func (c *Custodian) expireLeases(now time.Time, e *executor) bool {
	changed := false
	if e.doubt.lapsedAt.IsZero() || e.hasRunInDoubt() {
		c.logger.Info("executor leases expired", "executor", e.ID, "born", e.StartedMillis, "runs", len(e.runs), "inDoubt", e.countInDoubt(),
			"silentMillis", now.Sub(e.lastContactAt).Milliseconds(), "strayLeaseMillis", max(0, e.strayLeaseEnd.Sub(now)).Milliseconds())
		e.lapse(now)
		if e.hasRunInDoubt() {
			c.fence(now, e)
		}
		changed = true
	}
	for _, r := range e.sortedRuns() {
		if end := c.lateStartEnd(r, c.silenceOf(now, e)); end.After(now) {
			c.awaitLateStart(now, e, r, end, lateExecutorSilent)
			continue
		}
		c.settleLateStart(now, e.ID, r, lateTimeIsOver)
		e.remove(r.order.Run)
		changed = true
	}
	return changed
}

// hasLapsed reports whether the leases of the executor, which leaves holds without an answer, have expired. It is reported with
// the runs that calls may start late until an incarnation is heard, and after the last of them with none.
func (e *executor) hasLapsed() bool { return !e.doubt.lapsedAt.IsZero() && !e.unansweredSince.IsZero() }

// lapsedState returns what is reported of an executor whose leases have expired: what it hasn't listed has lapsed.
func (c *Custodian) lapsedState(now time.Time, e *executor) messenger.ExecutorState {
	state := c.executorState(now, e)
	state.Incomplete, state.RunsListed = false, true
	return state
}

// defersStart reports whether a start isn't repeated until its executor, which is silent, answers a hold: each call without an
// answer may be carried out for as long again.
func (c *Custodian) defersStart(now time.Time, e *executor, r *run) bool {
	silent := !e.unansweredSince.IsZero() && now.Sub(e.unansweredSince) >= c.config.SilenceTimeout
	return silent && r.maybeStarted && r.phase == messenger.RunStarting
}

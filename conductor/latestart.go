package conductor

import (
	"cmp"
	"slices"
	"time"

	"apricotwinch/messenger"
)

// A late start is one by a call without an answer, on an incarnation of the executor that its agent hasn't heard. Until that
// can be no more, the task of the run may not start elsewhere.

// lateStart says when a run has ended that a call without an answer may start late.
type lateStart struct {
	// end is zero if the agent that listed the run last knows of no such call.
	end time.Time
	// agent is the incarnation of that agent; empty if none has listed the run.
	agent string
	// awaitedSince is since when the executor is kept for the run alone; zero if it isn't.
	awaitedSince time.Time
	// inherited is what an earlier owner recorded, if end follows from that.
	inherited recordedTime
}

// recordLateStart records what an agent says of calls that may start a run late.
func (c *Conductor) recordLateStart(now time.Time, r *run, state *messenger.RunState) {
	l := &r.lateStart
	l.agent, l.end, l.inherited = r.executor.host.incarnation, time.Time{}, recordedTime{}
	if state.LateStartMillis > 0 {
		l.end = now.Add(time.Duration(state.LateStartMillis)*time.Millisecond + c.config.Margin)
		return
	}
	c.settleLateStart(now, r, "listed")
}

// lateStartEnd returns when a run has ended that a call without an answer may start late; zero if none may. An agent knows
// nothing of the calls of the one before, which has made its last one by the start of the next.
func (c *Conductor) lateStartEnd(r *run) time.Time {
	h := r.executor.host
	end := r.lateStart.end
	agent := cmp.Or(r.lateStart.agent, r.agent)
	ordered := r.ordersNumber == 0 || r.delivery.sent
	if r.confirmedAt.IsZero() && ordered && agent != "" && agent != h.incarnation && !h.agentStartedAt.IsZero() {
		hold := c.config.MaxCallDelay + c.config.StrayLease + c.config.Margin
		if r.task.step.spec.Lasting {
			hold = c.config.MaxShortHold
		}
		end = later(end, h.agentStartedAt.Add(hold))
	}
	if r.task.step.spec.Speculative {
		return time.Time{}
	}
	return end
}

// awaitLateStarts releases the runs of an executor whose leases have expired, but for those that may start late, and reports
// whether there are any. The executor is kept until the first of them can't go on any more.
func (c *Conductor) awaitLateStarts(now time.Time, e *executor, reason string) bool {
	var next time.Time
	for _, r := range e.runs {
		if end := c.lateStartEnd(r); end.After(now) && (next.IsZero() || end.Before(next)) {
			next = end
		}
	}
	if next.IsZero() {
		return false
	}
	for _, r := range slices.Clone(e.runsByKey()) {
		end := c.lateStartEnd(r)
		switch {
		case !end.After(now):
			c.releaseLost(now, r, reason)
		case r.lateStart.awaitedSince.IsZero():
			r.lateStart.awaitedSince = now
			c.count("starts.late_awaited")
			c.logger.Info("late start awaited", "run", r.ref, "executor", e.id, "born", e.incarnation, "host", e.host.name, "reason", reason,
				"untilMillis", end.Sub(now).Milliseconds(), "agent", cmp.Or(r.lateStart.agent, r.agent))
		}
	}
	e.leaseEnd, e.listed, e.runsListed, e.reachable = next, true, true, false
	c.recordLateStarts(now, e.host)
	return true
}

// settleLateStart records that the executor is kept for a run no longer.
func (c *Conductor) settleLateStart(now time.Time, r *run, reason string) {
	l := &r.lateStart
	if l.awaitedSince.IsZero() {
		return
	}
	c.count("starts.late_settled")
	c.logger.Info("late start settled", "run", r.ref, "executor", r.executor.id, "born", r.executor.incarnation, "host", r.executor.host.name, "reason", reason,
		"waitedMillis", now.Sub(l.awaitedSince).Milliseconds())
	l.awaitedSince = time.Time{}
}

// runsStartingLate returns the runs of an executor that may start late, in a fixed order.
func (c *Conductor) runsStartingLate(now time.Time, e *executor) []*run {
	var runs []*run
	for _, r := range e.runsByKey() {
		if c.lateStartEnd(r).After(now) {
			runs = append(runs, r)
		}
	}
	return runs
}

// recordLateStarts queues a write of the record of a host if it doesn't name the runs that may start late: a successor that
// doesn't hear the host learns of them from that. It is urgent for an executor out of reach.
func (c *Conductor) recordLateStarts(now time.Time, h *host) {
	var refs []messenger.RunRef
	urgent := false
	for _, e := range h.executorsByID() {
		for _, r := range c.runsStartingLate(now, e) {
			refs = append(refs, r.ref)
			urgent = urgent || !e.reachable
		}
	}
	if slices.Equal(refs, h.lateStartsRecorded) {
		return
	}
	c.records = append(c.records, encode(prefixHost+h.name, c.hostRecord(now, h)))
	c.urgent = c.urgent || urgent
	c.count("hosts.late_starts_recorded")
}

// lateStartRecord returns what the record of a host says of a run that may start late.
func (c *Conductor) lateStartRecord(now time.Time, r *run) messenger.LateStart {
	recorded := r.lateStart.inherited
	if recorded.millis == 0 {
		recorded = recordedTime{millis: int(c.lateStartEnd(r).Sub(now).Milliseconds()) + 1, epoch: int(c.epoch)}
	}
	return messenger.LateStart{Run: r.ref, Agent: cmp.Or(r.lateStart.agent, r.agent), Millis: recorded.millis, Epoch: recorded.epoch}
}

// inheritedLateStart is a run that the record of an executor's host names as one that may start late.
type inheritedLateStart struct {
	executor *executor
	record   messenger.LateStart
}

// restoreLateStarts adopts the runs that may start late, by the records of their hosts.
func (c *Conductor) restoreLateStarts(now time.Time, inherited []inheritedLateStart) {
	for _, i := range inherited {
		ref := i.record.Run
		w := c.workloads[ref.Task.Workload]
		if w == nil || w.terminal() {
			continue
		}
		if t := w.task(ref.Task); t == nil || t.done || t.current != nil {
			continue
		}
		r := c.adopt(now, i.executor, &messenger.RunState{Run: ref, Phase: messenger.RunStarting})
		r.phase = messenger.RunStarting
		recorded := recordedTime{millis: i.record.Millis, epoch: i.record.Epoch}
		r.lateStart = lateStart{agent: i.record.Agent, end: c.recordedEnd(recorded), inherited: recorded}
	}
}

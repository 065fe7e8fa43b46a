package custodian

import (
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"

	"apricotwinch"
	"apricotwinch/messenger"
	"apricotwinch/pacer"
)

// NextHold returns the next call to renew the leases of an executor, and false when the executor
// is no longer known.
func (c *Custodian) NextHold(now time.Time, id string) (HoldCall, bool) {
	e := c.executors[id]
	if e == nil {
		return HoldCall{}, false
	}
	call := HoldCall{Executor: e.ID, Born: e.StartedMillis, Address: e.Address, Token: e.token}
	if through := c.nextAcknowledgment(now, e); through > 0 {
		// Acknowledge an end once only, and by a token that is lower than those of later starts: another
		// incarnation under the same id numbers its ends anew, and would forget its own ends.
		call.AckedEnd = through
		e.token = c.nextToken(now, e.ID)
	}
	if c.renewalDue(now, e) {
		if until := c.grant(now, e); until.After(now) {
			call.Deadline = e.deadline(until)
			e.leaseCalls.begin(now, call.Deadline)
		}
	}
	// An executor may not wait while it lists an end.
	if e.confirmed && e.durableEnd >= e.lastEnd && !e.doubt.unreadable && call.Deadline == 0 {
		call.Wait = c.config.HoldWait
	}
	return call, true
}

// grant returns the end of the lease that the next call to an executor carries. A call without an answer
// may have renewed the lease, so that a silent executor is granted no later end than before: its runs
// would never count as ended. Nor is one whose lists are in doubt.
func (c *Custodian) grant(now time.Time, e *executor) time.Time {
	if e.confirmed && !e.doubt.present() && (e.unansweredSince.IsZero() || now.Sub(e.unansweredSince) < c.config.SilenceTimeout) {
		e.grantedUntil = e.leaseUntil
	}
	return e.grantedUntil
}

// HandleHoldAnswer takes the answer to a hold that was sent at sent. It returns the calls to make,
// and reports whether a report to the owner is due at once.
func (c *Custodian) HandleHoldAnswer(now, sent time.Time, call HoldCall, answer HoldAnswer, err error) (Calls, bool) {
	c.updatedAt = now
	e := c.findExecutor(call.Executor, call.Born)
	if e == nil {
		return Calls{}, false
	}
	e.endLeaseCall(now, call.Deadline, answer.Answer, err)
	if err != nil {
		if e.unansweredSince.IsZero() {
			e.unansweredSince = sent
			c.logger.Info("hold not answered", "executor", e.ID, "born", e.StartedMillis, "token", call.Token, "deadlineMillis", call.Deadline.Milliseconds(),
				"ackedEnd", call.AckedEnd, "kind", string(apricotwinch.KindOf(err)))
		}
		changed := c.handleHoldError(now, e, call, answer.Answer, err)
		c.wholeReportDue = c.wholeReportDue || changed
		return Calls{}, changed
	}
	if answer.StartedMillis != 0 && answer.StartedMillis != e.StartedMillis {
		c.handleRestart(now, e, answer.Answer)
		c.wholeReportDue = true
		return Calls{}, true
	}
	e.lastContactAt, e.runsListedAt = now, now
	e.unansweredSince = time.Time{}
	e.answeredHoldAt = sent
	e.ackedEnd = max(e.ackedEnd, call.AckedEnd)
	e.durable = slices.DeleteFunc(e.durable, func(d durableEnds) bool { return d.through <= e.ackedEnd })
	e.updateClock(now, answer.Clock)
	if !e.confirmed {
		e.confirmed = call.Token == e.token
		if e.confirmed {
			c.confirmStrayLease(now, e)
			c.logger.Info("executor confirmed", "executor", e.ID, "born", e.StartedMillis, "token", e.token, "clockMillis", e.clock.Milliseconds(),
				"strayLeaseMillis", e.strayLeaseEnd.Sub(now).Milliseconds())
		}
		c.wholeReportDue = true
	}
	c.settleLeaseCalls(sent, e, answer.Answer)
	inDoubt := e.doubt.present()
	lapsed := c.lapsedBefore(sent, e) && c.endDoubt(now, e)
	e.runsIncomplete = answer.RunsIncomplete
	e.runsKnown = e.runsKnown || e.confirmed && !answer.RunsIncomplete
	ended := c.addEnds(e, e.settleEnds(answer, lapsed))
	changed := c.updateRuns(e, sent, answer.Runs, lapsed)
	c.updateDoubt(now, sent, e)
	changed = changed || inDoubt != e.doubt.present()
	c.wholeReportDue = c.wholeReportDue || changed
	return c.updatePaces(now, e), ended || changed
}

// handleHoldError takes the error of a hold that was not answered or was rejected. It reports
// whether a report to the owner is due at once.
func (c *Custodian) handleHoldError(now time.Time, e *executor, call HoldCall, answer Answer, err error) bool {
	if !e.isFromAnother(now, answer) {
		e.updateClock(now, answer.Clock)
	}
	switch apricotwinch.KindOf(err) {
	case apricotwinch.StaleIncarnation:
		c.dropExecutor(now, e, err.Error())
		return true
	case apricotwinch.StaleEpoch:
		return c.handleRejectedToken(now, e, call.Token)
	}
	return false
}

// handleRejectedToken takes the rejection of a call for its low token. It reports whether a report to the owner is due
// at once: a confirmed executor has carried out a call of another agent or for another incarnation, so that it
// counts as confirmed again, with all its runs and ends, once it has answered a greater token.
func (c *Custodian) handleRejectedToken(now time.Time, e *executor, token int64) bool {
	if token != e.token {
		return false // A greater one has been chosen since.
	}
	metrics.GetOrRegisterCounter("executors.token_rejected", c.registry).Inc(1)
	c.lastTokens[e.ID] += e.tokenIncrement
	e.tokenIncrement = 2*e.tokenIncrement + 1
	e.token = c.nextToken(now, e.ID)
	if !e.confirmed {
		return false
	}
	c.logger.Warn("token rejected", "executor", e.ID, "born", e.StartedMillis, "token", token, "clockMillis", e.clock.Milliseconds(), "runs", len(e.runs))
	c.recordOutranked(now, e)
	e.unconfirm()
	e.runsKnown = false
	e.doubt.endsKnown = false
	return true
}

func (c *Custodian) addEnds(e *executor, ends []messenger.RunEnd) bool {
	changed := false
	for _, end := range ends {
		if isUnreadable(end) || end.Number <= e.lastEnd {
			continue
		}
		e.lastEnd = end.Number
		e.ends = append(e.ends, end)
		c.startsTo(e.ID).list(e.runs[end.Run])
		e.remove(end.Run)
		changed = true
		metrics.GetOrRegisterCounter("runs.ended."+end.How, c.registry).Inc(1)
		if c.logger.IsInfo() {
			c.logger.Info("run ended", "run", end.Run, "executor", e.ID, "born", e.StartedMillis, "how", end.How, "number", end.Number)
		}
	}
	return changed
}

// updateRuns takes the list of an executor's runs, as of a call that was sent at sent. It
// reports whether a run was added or has ended. A run that isn't listed is kept while the list of runs is
// incomplete, and one whose start was refused in doubt also while the list of ends is: it may have ended.
// lapsed is whether the leases had expired before the call, so that no run can be behind a row that can't be read.
func (c *Custodian) updateRuns(e *executor, sent time.Time, states []messenger.RunState, lapsed bool) bool {
	changed := false
	listed := make(map[messenger.RunRef]bool, len(states))
	for _, state := range states {
		listed[state.Run] = true
		r := e.runs[state.Run]
		c.startsTo(e.ID).list(r)
		if r == nil {
			r = &run{order: messenger.StartOrder{Run: state.Run, Executor: e.ID}, phase: messenger.RunRunning, pace: pacer.FullSpeed, found: true}
			e.add(r)
			metrics.GetOrRegisterCounter("runs.found", c.registry).Inc(1)
			c.logger.Info("run found", "run", state.Run, "executor", e.ID, "born", e.StartedMillis, "token", e.token, "confirmed", e.confirmed,
				"clockMillis", e.clock.Milliseconds())
			changed = true
		}
		if r.phase == messenger.RunStarting {
			r.phase = messenger.RunRunning
		}
		r.confirmedAt = sent
		r.fenced = false
		r.state = state
		c.settleLateStart(c.updatedAt, e.ID, r, lateListed)
	}
	if e.runsIncomplete && !lapsed {
		return changed
	}
	for ref, r := range e.runs {
		if e.endsIncomplete && r.refusal != "" {
			continue
		}
		if r.fenced && e.confirmed {
			c.logger.Info("run never started", "run", ref, "executor", e.ID, "born", e.StartedMillis)
			c.removeUnlisted(e, r)
			changed = true
			continue
		}
		gone := !r.confirmedAt.IsZero() && r.confirmedAt.Before(sent) && !r.inFlight
		if gone && !listed[ref] && r.phase != messenger.RunStarting {
			c.logger.Info("run no longer listed", "run", ref, "executor", e.ID, "born", e.StartedMillis)
			c.removeUnlisted(e, r)
			changed = true
		}
	}
	return changed
}

// removeUnlisted removes a run that the executor does not have and cannot start any more, and
// reports the refusal of its start if there was one.
func (c *Custodian) removeUnlisted(e *executor, r *run) {
	c.settleLateStart(c.updatedAt, e.ID, r, lateNotListed)
	e.remove(r.order.Run)
	if e.endsIncomplete {
		e.doubt.addMissing(r.order.Run)
	}
	if r.refusal != "" {
		c.refuseRun(r.order.Run, r.refusal)
	}
}

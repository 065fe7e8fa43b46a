package custodian

import (
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"

	"apricotwinch"
	"apricotwinch/messenger"
)

// startCalls is what is known of the calls that start a run.
type startCalls struct {
	// madeAt is when the call without an outcome yet was made; zero if there is none.
	madeAt time.Time
	// lateUntil is until when an earlier call without an answer may be carried out.
	lateUntil time.Time
}

// settle records the outcome of the call that was made last. unanswered is whether it may yet be carried out.
func (s *startCalls) settle(unanswered bool, maxDelay time.Duration) {
	if unanswered && !s.madeAt.IsZero() {
		s.lateUntil = s.madeAt.Add(maxDelay)
	}
	s.madeAt = time.Time{}
}

// mayBeCarriedOut reports whether a start that ended with a kind of error, empty for none, may be carried out later.
func mayBeCarriedOut(kind apricotwinch.Kind) bool {
	switch kind {
	case "", apricotwinch.Conflict, apricotwinch.Unreachable, apricotwinch.StaleIncarnation, apricotwinch.DeadlineExceeded,
		apricotwinch.StaleEpoch, apricotwinch.NoCapacity, apricotwinch.Invalid, apricotwinch.NoTarget, apricotwinch.Forbidden:
		return false
	}
	return true
}

// underWayUntil returns until when a call of this agent that starts the run may be carried out.
func (c *Custodian) underWayUntil(r *run) time.Time {
	switch u := c.startsTo(r.order.Executor).unanswered[r.order.Run]; {
	case !r.startCalls.madeAt.IsZero():
		return r.startCalls.madeAt.Add(c.config.MaxCallDelay)
	case r.found && u != nil:
		return u.until // It was started on an earlier incarnation.
	}
	return r.startCalls.lateUntil
}

// endedIncarnation is an incarnation of an executor that has ended.
type endedIncarnation struct {
	messenger.ExecutorIncarnation
	endedAt time.Time
	// silence is how long it had been silent.
	silence silence
	// inheritedUntil is until when what calls of an earlier agent have started has ended at the latest; zero if this
	// agent had heard the incarnation.
	inheritedUntil time.Time
	// probeAt is when the next probe may be made.
	probeAt time.Time
	// callsUntil is until when another incarnation may carry out calls to this one that carry a deadline;
	// zero for no such call. latestDeadline is the latest one of these.
	callsUntil     time.Time
	latestDeadline time.Duration
	record         messenger.ExecutorRecord
	// underWay holds the runs of which a start may be under way: the next incarnation under the id, which may not be
	// known yet, would carry it out. The owner must not start their tasks elsewhere until that one's list shows
	// whether it has.
	underWay []*run
	// found holds the runs that the agent found there. Calls of an earlier agent for them may be under way, too, so that
	// they are not released while the next incarnation is known and may list them soon.
	found []*run
}

// addEnded records that an incarnation of an executor has ended. It returns how many of its runs may yet start.
func (c *Custodian) addEnded(now time.Time, e *executor) int {
	ended := &endedIncarnation{
		ExecutorIncarnation: messenger.ExecutorIncarnation{Id: e.ID, Born: e.StartedMillis}, endedAt: now, record: e.record(),
		callsUntil: c.callsUntil(now, e), latestDeadline: e.leaseCalls.latest, silence: c.silenceOf(now, e),
	}
	// A next incarnation that has just been found lists its runs within SilenceTimeout.
	ended.silence.knownSince = later(ended.silence.knownSince, now.Add(c.config.SilenceTimeout-c.config.MaxShortHold))
	if inherited := c.startedAt.Add(c.config.MaxCallDelay); e.strayLeaseEnd.IsZero() && inherited.After(now) {
		ended.inheritedUntil = inherited.Add(c.longestLease() + c.config.Margin)
	}
	for _, r := range e.sortedRuns() {
		switch end := c.lateStartEnd(r, ended.silence); {
		case !e.listed:
		case end.After(now):
			c.awaitLateStart(now, e, r, end, lateExecutorEnded)
			ended.underWay = append(ended.underWay, r)
		case r.found:
			ended.found = append(ended.found, r)
		}
	}
	c.ended = append(c.ended, ended)
	metrics.GetOrRegisterCounter("runs.under_way_at_end", c.registry).Inc(int64(len(ended.underWay)))
	return len(ended.underWay)
}

// findEnded returns an incarnation of an executor that is known to have ended, or nil.
func (c *Custodian) findEnded(id string, born int) *endedIncarnation {
	i := slices.IndexFunc(c.ended, func(ended *endedIncarnation) bool { return ended.Id == id && ended.Born == born })
	if i < 0 {
		return nil
	}
	return c.ended[i]
}

// updateEnded releases the runs of ended incarnations that can't start any more, and forgets those that ended long ago.
func (c *Custodian) updateEnded(now time.Time) {
	for _, ended := range c.ended {
		settled := c.nextConfirmed(ended)
		c.releaseUnderWay(now, ended, lateOtherHeard, func(*run) bool { return settled })
		c.releaseUnderWay(now, ended, lateTimeIsOver, func(r *run) bool { return !c.lateStartEnd(r, ended.silence).After(now) })
	}
	c.ended = slices.DeleteFunc(c.ended, func(ended *endedIncarnation) bool { return now.Sub(ended.endedAt) > endedTTL })
}

// nextConfirmed reports whether a later incarnation under the id, or another executor at the address, is confirmed: no
// call for the one that has ended has an effect there.
func (c *Custodian) nextConfirmed(ended *endedIncarnation) bool {
	next := c.executors[ended.Id]
	return next != nil && next.confirmed || c.confirmedExecutorAt(ended.record.Address) != nil
}

// releaseUnderWay releases the runs of an ended incarnation that match.
func (c *Custodian) releaseUnderWay(now time.Time, ended *endedIncarnation, reason string, match func(*run) bool) {
	ended.underWay = slices.DeleteFunc(ended.underWay, func(r *run) bool {
		if !match(r) {
			return false
		}
		c.wholeReportDue = true
		c.settleLateStart(now, ended.Id, r, reason)
		return true
	})
}

// handleLateAnswer takes the answer to a start on an incarnation that has ended since, and reports whether a report to
// the owner is due at once. That of another incarnation to a start says nothing unless it refused it.
func (c *Custodian) handleLateAnswer(now time.Time, call StartCall, answer Answer, err error) bool {
	ended := c.findEnded(call.Executor, call.Born)
	if ended == nil {
		return false
	}
	i := slices.IndexFunc(ended.underWay, func(r *run) bool { return r.order.Run == call.Order.Run })
	if i < 0 {
		return false
	}
	r := ended.underWay[i]
	kind := apricotwinch.KindOf(err)
	carriedOut := kind == "" || kind == apricotwinch.Conflict
	r.startCalls.settle(mayBeCarriedOut(kind) || carriedOut && answer.StartedMillis != call.Born, c.config.MaxCallDelay)
	if c.lateStartEnd(r, ended.silence).After(now) {
		return false
	}
	c.releaseUnderWay(now, ended, lateNotCalled, func(other *run) bool { return other == r })
	return true
}

// markStopping records that a run must not go on, so that the owner doesn't ask again.
func (ended *endedIncarnation) markStopping(ref messenger.RunRef) {
	for _, r := range ended.underWay {
		if r.order.Run == ref {
			r.phase = messenger.RunStopping
		}
	}
}

// endedState returns what is reported of an ended incarnation: the runs of which a start may be under way.
func (c *Custodian) endedState(now time.Time, ended *endedIncarnation) messenger.ExecutorState {
	state := messenger.ExecutorState{
		Executor: ended.record, SilentMillis: int(now.Sub(ended.endedAt).Milliseconds()), RunsListed: true,
	}
	runs := ended.underWay
	if c.executors[ended.Id] != nil {
		runs = slices.Concat(runs, ended.found)
	}
	for _, r := range runs {
		state.Runs = append(state.Runs, c.reported(now, r, ended.silence))
	}
	return state
}

// isGone reports whether nothing runs any more on an incarnation that has ended, nor starts there.
func (c *Custodian) isGone(now time.Time, ended *endedIncarnation) bool {
	if len(ended.underWay) > 0 || !now.After(ended.inheritedUntil) && !c.nextConfirmed(ended) {
		return false
	}
	next := c.executors[ended.Id]
	return next == nil || next.confirmed
}

package custodian

import (
	"time"

	"apricotwinch"
	"apricotwinch/messenger"
)

// A stray lease is one that an executor has received by a call for an earlier incarnation under its id. The
// deadline of the call is a time on that one's clock, which may be far ahead, so that the lease may be as long as
// any. No such call has an effect once the executor is confirmed.

// leaseCalls is what is known of the calls to an incarnation of an executor that carry a deadline.
type leaseCalls struct {
	// latest is the latest deadline.
	latest time.Duration
	// underWay is the number of calls that have not ended.
	underWay int
	// madeAt is when the last call was made.
	madeAt time.Time
	// lostAt is when the last call ended that the next incarnation may carry out, or has; zero for none.
	lostAt time.Time
}

// begin records that a call is made. A deadline of 0 is none.
func (l *leaseCalls) begin(now time.Time, deadline time.Duration) {
	if deadline > 0 {
		l.madeAt = now
		l.underWay++
		l.latest = max(l.latest, deadline)
	}
}

// renewalDue reports whether the next hold renews the leases of an executor. A hold that does isn't kept waiting, and one
// that may be lost doesn't, so that few calls with a deadline are under way when the executor ends.
func (c *Custodian) renewalDue(now time.Time, e *executor) bool {
	return e.confirmed && e.unansweredSince.IsZero() && now.Sub(e.leaseCalls.madeAt) >= c.config.RenewalPeriod
}

// endLeaseCall records that a call has ended.
func (e *executor) endLeaseCall(now time.Time, deadline time.Duration, answer Answer, err error) {
	if deadline <= 0 {
		return
	}
	e.leaseCalls.underWay--
	if e.isFromAnother(now, answer) || mayBeCarriedOut(apricotwinch.KindOf(err)) {
		e.leaseCalls.lostAt = now
	}
}

// settleLeaseCalls records that an incarnation has answered a hold that was sent at sent. Calls that were lost long
// before are settled: if they were carried out at all, that one did.
func (c *Custodian) settleLeaseCalls(sent time.Time, e *executor, answer Answer) {
	if answer.StartedMillis == e.StartedMillis && sent.Sub(e.leaseCalls.lostAt) > c.config.MaxCallDelay {
		e.leaseCalls.lostAt = time.Time{}
	}
}

// callsUntil returns until when another incarnation may carry out the calls to an executor that carry a deadline;
// zero if there is none.
func (c *Custodian) callsUntil(now time.Time, e *executor) time.Time {
	switch l := &e.leaseCalls; {
	case l.underWay > 0:
		return now.Add(c.config.MaxCallDelay)
	case !l.lostAt.IsZero():
		return l.lostAt.Add(c.config.MaxCallDelay)
	}
	return time.Time{}
}

// longestLease returns for how long a lease may last after the call arrived that renewed it.
func (c *Custodian) longestLease() time.Duration {
	return time.Duration(float64(c.config.MaxLease) / minClockRate)
}

// confirmStrayLease sets when the stray leases of an executor have ended that is confirmed at now. An earlier agent made
// its calls before this one started.
func (c *Custodian) confirmStrayLease(now time.Time, e *executor) {
	switch {
	case e.rejected:
		e.rejected = false
		e.strayLeaseEnd = now.Add(c.longestLease())
		return
	case !e.strayLeaseEnd.IsZero():
		return
	}
	e.strayLeaseEnd = earlier(now, c.startedAt.Add(c.config.MaxCallDelay)).Add(c.longestLease())
	for _, ended := range c.ended {
		if ended.Id != e.ID || ended.callsUntil.IsZero() {
			continue
		}
		end := earlier(now, ended.callsUntil).Add(c.longestLease())
		if !e.clockAt.IsZero() {
			end = earlier(end, e.latestTimeOf(ended.latestDeadline))
		}
		e.strayLeaseEnd = later(e.strayLeaseEnd, end)
	}
}

// latestTimeOf returns the latest time at which the executor's clock may reach a time on it.
func (e *executor) latestTimeOf(clock time.Duration) time.Time {
	return e.clockAt.Add(time.Duration(float64(clock-e.clock) / minClockRate))
}

// recordOutranked records that an executor has rejected the token with which it was confirmed: another call has
// come through since, and may have granted a lease.
func (c *Custodian) recordOutranked(now time.Time, e *executor) {
	e.outranked, e.rejected = true, true
	e.strayLeaseEnd = now.Add(c.longestLease())
}

// endStrayLeases takes of an owner which incarnations were confirmed so long ago that no stray lease lasts. An agent that
// has started since can't know.
func (c *Custodian) endStrayLeases(now time.Time, seen []messenger.DurableEnds) {
	for _, s := range seen {
		if e := c.findExecutor(s.Executor, s.Born); e != nil && s.StrayLeasesEnded && !e.outranked && e.confirmed {
			e.strayLeaseEnd = earlier(now, e.strayLeaseEnd)
		}
	}
}

// lastLeaseEnd returns when the last lease ends that an executor may have received.
func (c *Custodian) lastLeaseEnd(e *executor) time.Time {
	return later(c.lastGrant(e), e.strayLeaseEnd)
}

// millisUntil returns the time until end in milliseconds, rounded up; 0 for a time that has passed.
func millisUntil(now, end time.Time) int {
	return int((max(0, end.Sub(now)) + time.Millisecond - 1) / time.Millisecond)
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

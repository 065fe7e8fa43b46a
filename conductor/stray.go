package conductor

import (
	"time"

	"apricotwinch/messenger"
)

// A stray lease is one that a call for an earlier incarnation of an executor granted to the present one. Owners
// don't renew it. It ends by a bound that the agent reports, and that the record of the host holds for
// successors that don't hear the agent.

const (
	// strayRecordPeriod is the age from which on the record of a host is written anew while a stray lease lasts, as a
	// successor can't tell how old the record is. maxStrayRecords is how many of these one tick writes.
	strayRecordPeriod = 2 * time.Second
	maxStrayRecords   = 4
)

// strayLeaseSlack is by how much the end of one stray lease may seem later in a report, as that took longer.
const strayLeaseSlack = 500 * time.Millisecond

// reportedStrayLeaseEnd returns when the stray leases of an executor have ended, by a whole report. An agent of a
// version before doesn't say, and lists no executor before the last stray lease began.
func (c *Conductor) reportedStrayLeaseEnd(now time.Time, r messenger.Report, state *messenger.ExecutorState) time.Time {
	left := time.Duration(state.StrayLeaseMillis) * time.Millisecond
	if !r.StrayLeases {
		left = c.config.StrayLease
	}
	if left <= 0 {
		return time.Time{}
	}
	return now.Add(left + c.config.Margin)
}

// updateStrayLease updates when the stray leases of an executor that a whole report lists have ended. Each report
// gives a bound, of which the least counts: that of an agent that has started since may be later.
func (c *Conductor) updateStrayLease(now time.Time, e *executor, r messenger.Report, state *messenger.ExecutorState) {
	if r.StrayLeases {
		end := c.reportedStrayLeaseEnd(now, r, state)
		if state.StrayLeaseAnew {
			c.extendStrayLease(now, e, end)
		}
		if end.Before(e.strayLeaseEnd) {
			e.strayLeaseEnd, e.inheritedStray = end, recordedTime{}
		}
	}
	e.extendLease(e.strayLeaseEnd)
}

// extendStrayLease records that stray leases of an executor may go on until a time.
func (c *Conductor) extendStrayLease(now time.Time, e *executor, until time.Time) {
	if until.Sub(e.strayLeaseEnd) <= strayLeaseSlack {
		return
	}
	e.strayLeaseEnd, e.inheritedStray = until, recordedTime{}
	e.extendLease(until)
	c.recordHost(now, e.host)
	c.count("leases.stray")
}

// shortenLease records that what owners renewed has ended at a time, and reports whether the executor's runs end
// sooner by that.
func (e *executor) shortenLease(end time.Time) bool {
	end = later(end, e.strayLeaseEnd)
	if !end.Before(e.leaseEnd) {
		return false
	}
	e.leaseEnd = end
	return true
}

// recordedTime is for how long from the record of a host on something may last, in milliseconds, and the epoch of the owner
// that said so. The zero value stands for none.
type recordedTime struct {
	millis, epoch int
}

// recordedEnd returns when a recorded time has passed. An owner wrote it before a later epoch was claimed.
func (c *Conductor) recordedEnd(recorded recordedTime) time.Time {
	return c.learnedAt(int64(recorded.epoch) + 1).Add(time.Duration(recorded.millis) * time.Millisecond)
}

// inheritStrayLease sets when the stray leases of an executor have ended by the record of its host. An owner of a version
// before doesn't say, and may have used the executor as soon as its last stray lease began.
func (c *Conductor) inheritStrayLease(e *executor, stray recordedTime, told bool) {
	switch {
	case !told:
		e.strayLeaseEnd = c.claimedAt.Add(c.config.StrayLease + c.config.Margin)
	case stray.millis > 0:
		e.inheritedStray = stray
		e.strayLeaseEnd = c.recordedEnd(stray)
	}
	e.host.strayRecordedEnd = later(e.host.strayRecordedEnd, e.strayLeaseEnd)
}

// recordStray returns what to record of the stray leases of an executor, which may last at now. A successor would count
// the time that an earlier owner recorded from the claim after that one, and not from the next.
func (c *Conductor) recordStray(now time.Time, e *executor) recordedTime {
	if e.inheritedStray.millis > 0 {
		return e.inheritedStray
	}
	return recordedTime{millis: int(e.strayLeaseEnd.Sub(now).Milliseconds()) + 1, epoch: int(c.epoch)}
}

// refreshStrayRecord queues a write of the record of a host once all stray leases have ended that the last one names, so
// that no later successor waits for them, and each strayRecordPeriod while one lasts.
func (c *Conductor) refreshStrayRecord(now time.Time, h *host) {
	if h.strayRecordedEnd.IsZero() {
		return
	}
	if !now.After(h.strayRecordedEnd) {
		if now.Sub(h.strayRecordedAt) < strayRecordPeriod || !h.hasOwnStrayLease(now) || c.strayRecords >= maxStrayRecords {
			return
		}
		c.strayRecords++
	}
	c.records = append(c.records, encode(prefixHost+h.name, c.hostRecord(now, h)))
}

// hasOwnStrayLease reports whether a new record of the host names earlier ends of stray leases than the last one.
func (h *host) hasOwnStrayLease(now time.Time) bool {
	for _, e := range h.executors {
		if e.inheritedStray.millis == 0 && e.strayLeaseEnd.After(now) {
			return true
		}
	}
	return false
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

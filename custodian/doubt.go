package custodian

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"

	"apricotwinch/messenger"
)

// doubt is what an executor has listed in rows that can't be read, and what these rows may hide. A row of
// ends is settled once no end that counts can be behind it. No end after an unsettled row is taken, nor
// acknowledged, so that the executor keeps listing the row until it is settled.
type doubt struct {
	// endsKnown is set when all ends were once listed while the runs were known. From then on, an end that
	// can't be read is that of a run that this agent has known.
	endsKnown bool
	// Settled are the rows before the end with the number settledThrough, and settledAfter rows right
	// after it.
	settledThrough int
	settledAfter   int
	// unsettledRows is the number of rows in the last list that follow the settled ones; 0 if all of them
	// can be read. suspects holds the runs whose ends those that can't may be.
	unsettledRows int
	suspects      map[messenger.RunRef]bool
	// missing holds the runs that have ended while the list of ends was incomplete and whose ends
	// have not been listed.
	missing map[messenger.RunRef]bool
	// unreadable is set when the last list of ends had a row that can't be read.
	unreadable bool
	// since is when the lists began to hide what the owner has to know; zero while they don't.
	since time.Time
	// lapsedAt is when the leases of the silent executor expired; zero once it has answered.
	lapsedAt time.Time
}

// present reports whether the leases are not renewed because of what the lists may hide.
func (d *doubt) present() bool { return !d.since.IsZero() || !d.lapsedAt.IsZero() }

// ackLimit returns the highest number of an end that may be acknowledged. A task that was done must not
// start again once its executor has got the acknowledgment of that end.
func (d *doubt) ackLimit() int {
	if d.unsettledRows > 0 {
		return d.settledThrough
	}
	return math.MaxInt
}

// settleEnds decides what may be behind the rows of an answer that can't be read, and whether ends may be
// missing from it. lapsed is whether the leases had expired before the call, so that no end that was listed
// before counts. It returns the ends up to the first row that isn't settled.
func (e *executor) settleEnds(answer HoldAnswer, lapsed bool) []messenger.RunEnd {
	d := &e.doubt
	d.unreadable = slices.ContainsFunc(answer.Ends, isUnreadable)
	rows := d.afterSettled(answer.Ends)
	if slices.ContainsFunc(rows[min(len(rows), d.unsettledRows):], isUnreadable) {
		d.addSuspects(e)
	}
	for _, state := range answer.Runs {
		d.forget(state.Run)
	}
	for _, end := range answer.Ends {
		d.forget(end.Run)
	}
	first := slices.IndexFunc(rows, isUnreadable)
	if lapsed || d.endsKnown && len(d.suspects) == 0 {
		first = -1
	}
	e.endsIncomplete = answer.EndsIncomplete || first >= 0
	if !e.endsIncomplete {
		d.missing = nil
	}
	d.endsKnown = d.endsKnown || e.runsKnown && (lapsed || !e.endsIncomplete)
	if first >= 0 {
		d.unsettledRows = len(rows)
		return answer.Ends[:len(answer.Ends)-len(rows)+first]
	}
	d.unsettledRows, d.suspects = 0, nil
	last := len(answer.Ends) - 1
	for last >= 0 && isUnreadable(answer.Ends[last]) {
		last--
	}
	d.settledAfter = len(answer.Ends) - 1 - last
	d.settledThrough = e.lastEnd
	if last >= 0 {
		d.settledThrough = max(d.settledThrough, answer.Ends[last].Number)
	}
	return answer.Ends
}

// afterSettled returns the rows of a list of ends that follow the settled ones.
func (d *doubt) afterSettled(ends []messenger.RunEnd) []messenger.RunEnd {
	for i := len(ends) - 1; i >= 0; i-- {
		if !isUnreadable(ends[i]) && ends[i].Number <= d.settledThrough {
			ends = ends[i+1:]
			break
		}
	}
	for range d.settledAfter {
		if len(ends) == 0 || !isUnreadable(ends[0]) {
			break
		}
		ends = ends[1:]
	}
	return ends
}

// isUnreadable reports whether a row of ends can't be read.
func isUnreadable(end messenger.RunEnd) bool { return end.Number == 0 }

// addSuspects adds all runs whose ends new rows may be.
func (d *doubt) addSuspects(e *executor) {
	if d.suspects == nil {
		d.suspects = map[messenger.RunRef]bool{}
	}
	maps.Copy(d.suspects, d.missing)
	for ref := range e.runs {
		d.suspects[ref] = true
	}
}

// addMissing records that a run is no longer listed, while ends may be missing.
func (d *doubt) addMissing(ref messenger.RunRef) {
	if d.missing == nil {
		d.missing = map[messenger.RunRef]bool{}
	}
	d.missing[ref] = true
}

// forget records that the end of a run is not behind a row that can't be read.
func (d *doubt) forget(ref messenger.RunRef) {
	delete(d.suspects, ref)
	delete(d.missing, ref)
}

// lapsedBefore reports whether the leases of an executor had expired before a call that was sent at sent
// and were not renewed because of doubt.
func (c *Custodian) lapsedBefore(sent time.Time, e *executor) bool {
	d := &e.doubt
	if !d.lapsedAt.IsZero() {
		return sent.After(d.lapsedAt)
	}
	return !d.since.IsZero() && sent.After(c.lastLeaseEnd(e).Add(c.config.Margin))
}

// endDoubt takes the first answer after a lapse: what it doesn't list does not run. It reports false
// while the executor may still carry starts out, and raises its token first.
func (c *Custodian) endDoubt(now time.Time, e *executor) bool {
	if e.hasRunInDoubt() {
		c.fence(now, e)
		return false
	}
	if !e.confirmed {
		return false
	}
	c.logger.Info("leases lapsed in doubt", "executor", e.ID, "runs", len(e.runs))
	metrics.GetOrRegisterCounter("executors.lapsed_in_doubt", c.registry).Inc(1)
	e.doubt.lapsedAt = time.Time{}
	e.runsKnown = true
	return true
}

// lapse records that the leases of a silent executor have expired. What it has not listed has lapsed, too,
// and an end from before the lapse no longer counts.
func (e *executor) lapse(now time.Time) {
	d := &e.doubt
	d.lapsedAt, d.since = now, time.Time{}
	d.unsettledRows, d.suspects, d.missing = 0, nil, nil
	e.endsIncomplete = false
	e.runsKnown = e.runsKnown || e.confirmed
}

// updateDoubt updates whether the lists of an executor may hide what the owner has to know. While they may,
// its leases are not renewed, which ends the doubt at the latest. sent is when the last call that
// the executor answered was sent.
func (c *Custodian) updateDoubt(now, sent time.Time, e *executor) {
	d := &e.doubt
	present := d.unsettledRows > 0 || !e.runsKnown || e.runsIncomplete && e.hasUnlistedStop(sent)
	if !e.confirmed || present == !d.since.IsZero() {
		return
	}
	if !present {
		c.logger.Info("lists settled", "executor", e.ID, "doubtMillis", now.Sub(d.since).Milliseconds())
		d.since = time.Time{}
		return
	}
	d.since = now
	metrics.GetOrRegisterCounter("executors.lists_in_doubt", c.registry).Inc(1)
	c.logger.Warn("lists in doubt", "executor", e.ID, "ends", d.unsettledRows > 0, "endsKnown", d.endsKnown, "suspects", len(d.suspects),
		"runsKnown", e.runsKnown, "leaseMillis", c.lastLeaseEnd(e).Sub(now).Milliseconds())
}

// hasUnlistedStop reports whether a run that must not go on is missing from the answer to a call that was
// sent at sent.
func (e *executor) hasUnlistedStop(sent time.Time) bool {
	for _, r := range e.runs {
		stopped := r.phase == messenger.RunStopping && !r.confirmedAt.IsZero()
		if !r.confirmedAt.Equal(sent) && (stopped || r.fenced || r.refusal != "") {
			return true
		}
	}
	return false
}

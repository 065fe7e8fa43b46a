package custodian

import (
	"slices"
	"time"

	"apricotwinch/messenger"
)

// NextReport returns the next report to the owner. It lists everything once in each
// WholeReportPeriod and when something but ends has changed, and otherwise ends alone.
func (c *Custodian) NextReport(now time.Time) messenger.Report {
	if c.wholeReportDue || now.Sub(c.wholeReportAt) >= c.config.WholeReportPeriod {
		c.wholeReportDue = false
		c.wholeReportAt = now
		return c.Report(now, true)
	}
	report := c.Report(now, false)
	report.EndsOnly = true
	for _, id := range c.Executors() {
		if e := c.executors[id]; e.confirmed && len(e.ends) > 0 {
			record := messenger.ExecutorRecord{Id: e.ID, Born: e.StartedMillis}
			report.Executors = append(report.Executors, messenger.ExecutorState{Executor: record, Ends: slices.Clone(e.ends)})
		}
	}
	return report
}

// RequireWholeReport makes the next report list everything.
func (c *Custodian) RequireWholeReport() { c.wholeReportDue = true }

// Report returns the report to an entry. A full report, for the owner, also lists executors,
// runs and refusals.
func (c *Custodian) Report(now time.Time, full bool) messenger.Report {
	report := messenger.Report{
		Host:              c.host,
		Address:           c.address,
		Incarnation:       c.incarnation,
		TicketMillis:      int(now.Sub(c.startedAt).Milliseconds()),
		Epoch:             c.epoch,
		Orders:            c.lastOrders,
		OwnerSilentMillis: int(now.Sub(c.ownerAnsweredAt).Milliseconds()),
	}
	if !full {
		return report
	}
	report.Whole = true
	report.LeaseLengths = true
	report.StrayLeases = true
	report.Refusals = slices.Clone(c.refusals)
	report.RefusalsThrough = c.refusalCount
	c.updateEnded(now)
	for _, ended := range c.ended {
		if len(ended.underWay) > 0 {
			report.Executors = append(report.Executors, c.endedState(now, ended))
		} else if c.isGone(now, ended) {
			report.Gone = append(report.Gone, ended.ExecutorIncarnation)
		}
	}
	for _, id := range c.Executors() {
		e := c.executors[id]
		if !e.confirmed {
			if e.hasLapsed() {
				report.Executors = append(report.Executors, c.lapsedState(now, e))
			}
			continue
		}
		if e.reportedAt.IsZero() {
			e.reportedAt = now
		}
		e.listed = true
		report.Executors = append(report.Executors, c.executorState(now, e))
	}
	return report
}

func (c *Custodian) executorState(now time.Time, e *executor) messenger.ExecutorState {
	silent := now.Sub(e.lastContactAt)
	state := messenger.ExecutorState{
		Executor:         e.record(),
		Draining:         e.Draining,
		Reachable:        silent < c.config.SilenceTimeout && !e.doubt.present(),
		SilentMillis:     int(now.Sub(e.runsListedAt).Milliseconds()),
		RemainingMillis:  int(max(0, e.drainDeadline.Sub(now)).Milliseconds()),
		Ends:             slices.Clone(e.ends),
		Incomplete:       e.endsIncomplete || !e.runsKnown,
		RunsListed:       e.runsKnown,
		StrayLeaseMillis: millisUntil(now, e.strayLeaseEnd),
		StrayLeaseAnew:   e.outranked,
	}
	silence := c.silenceOf(now, e)
	for _, r := range e.sortedRuns() {
		state.Runs = append(state.Runs, c.reported(now, r, silence))
	}
	return state
}

// record returns what the owner records of the executor.
func (e *executor) record() messenger.ExecutorRecord {
	return messenger.ExecutorRecord{
		Id:         e.ID,
		Born:       e.StartedMillis,
		Address:    e.Address,
		Service:    e.Service,
		DataCentre: e.DataCentre,
		Capacity:   messenger.FromResources(e.Capacity),
		Labels:     e.Labels,
	}
}

// reported returns what is reported of a run on an executor that has been silent for as long as s says.
func (c *Custodian) reported(now time.Time, r *run, s silence) messenger.RunState {
	state := r.state
	state.Run = r.order.Run
	state.Phase = r.phase
	state.Pace = r.pace
	state.Background = r.order.Background
	state.Unknown = !r.known
	state.LateStartMillis = c.lateMillis(now, r, s)
	return state
}

// HandleReportAnswer applies an entry's answer to a report that was sent at sent.
func (c *Custodian) HandleReportAnswer(now, sent time.Time, reply messenger.ReportReply) {
	if !reply.Owner || reply.Epoch < c.epoch {
		return
	}
	c.advanceEpoch(reply.Epoch)
	c.ownerAnsweredAt = now
	c.acknowledgeEnds(now, reply.Seen)
	c.endStrayLeases(now, reply.Seen)
	length := c.config.Lease
	if reply.LeaseMillis > 0 {
		length = min(length, time.Duration(reply.LeaseMillis)*time.Millisecond)
	}
	for _, e := range c.executors {
		listed := !e.reportedAt.IsZero() && !e.reportedAt.After(sent)
		c.fenceAfterLapse(now, e)
		if until := sent.Add(length); reply.Lease && listed && until.After(e.leaseUntil) {
			e.leaseUntil = until
		}
	}
	for _, record := range reply.Executors {
		c.restoreExecutor(now, record)
	}
	c.preferRuns(now, reply.Preferred)
	for _, p := range reply.Presses {
		c.interferences[[2]string{p.Serving, p.Filling}] = p.Headroom
	}
	if keep := c.refusalCount - reply.RefusalsThrough; keep < len(c.refusals) {
		c.refusals = slices.Clone(c.refusals[len(c.refusals)-max(0, keep):])
	}
}

package conductor

import (
	"slices"
	"time"

	"apricotwinch"
	"apricotwinch/appraiser"
	"apricotwinch/messenger"
)

// Report applies the report of an agent and returns the reply. A report that is older than the
// last one of the same incarnation, or of an earlier incarnation, is ignored. provenAt is the latest time at
// which this owner provably had no successor; the leases that the reply renews are bounded by it.
func (c *Conductor) Report(now, provenAt time.Time, r messenger.Report) messenger.ReportReply {
	h := c.hosts[r.Host]
	if h == nil {
		h = newHost(now, r.Host, r.Address)
		c.hosts[r.Host] = h
		c.logger.Info("host joined", "host", r.Host, "address", r.Address)
	}
	if h.incarnation != r.Incarnation && !c.replaceAgent(now, h, r) || r.TicketMillis < h.reportTicket {
		return messenger.ReportReply{Epoch: int(c.epoch), Owner: true}
	}
	if !h.followsEpoch && int64(r.Epoch) >= c.epoch {
		h.confirmAgent()
	}
	if h.address != r.Address {
		h.address = r.Address
		c.recordHost(now, h)
	}
	h.reported = true
	h.lastReportAt = now
	h.reportTicket = r.TicketMillis
	h.processedOrders = c.processedOrders(r)
	c.updateGranting(h, r)
	c.updateLengths(now, h, r)
	if c.showsHealthyHost(r) {
		c.resumeHost(now, h)
	}
	c.updateOrderTickets(now, provenAt, h, r)
	switch {
	case r.Whole:
		c.applyRefusals(now, h, r)
		c.updateExecutors(now, provenAt, h, r)
		c.recordLateStarts(now, h)
		c.expireDeliveries(now, h, r)
	case r.EndsOnly:
		c.recordEnds(now, h, r)
	}
	reply := messenger.ReportReply{Epoch: int(c.epoch), Owner: true, RefusalsThrough: h.refusalsThrough}
	if r.Whole && c.mayRenew(h) {
		reply.Lease, reply.LeaseMillis = c.grant(now, provenAt, h)
	}
	for _, e := range h.executorsByID() {
		if r.Whole {
			c.observe(now, e)
			reply.Presses = append(reply.Presses, c.interferenceUpdates(e)...)
			reply.Preferred = append(reply.Preferred, c.preferredRuns(e)...)
		}
		reply.Seen = append(reply.Seen, messenger.DurableEnds{Executor: e.id, Born: e.incarnation, Through: e.acknowledgedEnd, StrayLeasesEnded: !now.Before(e.strayLeaseEnd)})
		if !e.reachable && e.leaseEnd.After(now) {
			reply.Executors = append(reply.Executors, e.record)
		}
	}
	return reply
}

// replaceAgent makes the sender of a report the current agent of its host, and reports whether it
// did. A report may arrive after those of a later agent: an agent replaces one that follows
// this owner's epoch only with a report that shows that it has got this owner's reply. Agents
// before one that has got it never replace another.
func (c *Conductor) replaceAgent(now time.Time, h *host, r messenger.Report) bool {
	if h.replaced[r.Incarnation] {
		return false
	}
	if !slices.Contains(h.contacts, r.Incarnation) {
		h.contacts = append(h.contacts, r.Incarnation)
	}
	if h.followsEpoch {
		if int64(r.Epoch) < c.epoch {
			return false
		}
		h.replaced[h.incarnation] = true
	}
	c.logger.Info("agent incarnation changed", "host", h.name, "incarnation", r.Incarnation, "before", h.incarnation)
	h.incarnation = r.Incarnation
	h.agentStartedAt = now.Add(-time.Duration(r.TicketMillis) * time.Millisecond)
	h.followsEpoch = false
	h.reportTicket = 0
	h.refusalsThrough = 0
	h.sentOrders = sentOrders{}
	h.withheld = false
	h.lengths.honored = false
	h.firstTicket = r.TicketMillis
	if orders := c.orders[h.name]; orders != nil {
		c.withdrawStarts(orders)
		delete(c.orders, h.name)
	}
	for _, e := range h.executors {
		e.sentInterference = map[appraiser.Pair]float64{}
	}
	c.probe(h)
	return true
}

// confirmAgent records that the current agent follows this owner's epoch: those that reported before
// it have been replaced.
func (h *host) confirmAgent() {
	h.followsEpoch = true
	contact := slices.Index(h.contacts, h.incarnation)
	for _, earlier := range h.contacts[:max(0, contact)] {
		h.replaced[earlier] = true
	}
	h.contacts = h.contacts[contact+1:]
}

// recordEnds applies the ends of a report that lists nothing else.
func (c *Conductor) recordEnds(now time.Time, h *host, r messenger.Report) {
	for i := range r.Executors {
		state := &r.Executors[i]
		e := h.executors[state.Executor.Id]
		if e == nil || e.incarnation != state.Executor.Born {
			continue // The next whole report lists the executor and the ends again.
		}
		c.changedExecutors[e] = true
		for j := range state.Ends {
			c.recordEnd(now, e, &state.Ends[j])
		}
	}
}

// recordHost queues an urgent write of the record of a host and its executors.
func (c *Conductor) recordHost(now time.Time, h *host) {
	c.records = append(c.records, encode(prefixHost+h.name, c.hostRecord(now, h)))
	c.urgent = true
}

// hostRecord returns the record of a host as of now.
func (c *Conductor) hostRecord(now time.Time, h *host) messenger.HostRecord {
	record := messenger.HostRecord{
		Address: h.address, SuspendedIn: int(h.suspension.epoch), SuspendedAlone: h.suspension.alone, LeaseLengths: h.lengths.recorded,
		StrayLeases: true,
	}
	h.strayRecordedEnd, h.strayRecordedAt = time.Time{}, now
	h.lateStartsRecorded = nil
	for _, e := range h.executorsByID() {
		r := e.record
		if e.strayLeaseEnd.After(now) {
			stray := c.recordStray(now, e)
			r.StrayLeaseMillis, r.StrayLeaseIn = stray.millis, stray.epoch
			h.strayRecordedEnd = later(h.strayRecordedEnd, e.strayLeaseEnd)
		}
		for _, run := range c.runsStartingLate(now, e) {
			r.LateStarts = append(r.LateStarts, c.lateStartRecord(now, run))
			h.lateStartsRecorded = append(h.lateStartsRecorded, run.ref)
		}
		record.Executors = append(record.Executors, r)
	}
	return record
}

func (c *Conductor) applyRefusals(now time.Time, h *host, r messenger.Report) {
	first := r.RefusalsThrough - len(r.Refusals) + 1
	for i, refusal := range r.Refusals {
		if first+i <= h.refusalsThrough {
			continue
		}
		run := c.runs[refusal.Run]
		c.count("runs.refused." + refusal.Kind)
		c.logger.Info("run refused", "run", refusal.Run, "host", h.name, "kind", refusal.Kind)
		if run == nil || run.executor.host != h {
			continue
		}
		t := run.task
		c.release(now, run, "refused")
		c.addFailedAttempt(now, t, run.executor, false)
		t.notBefore = now.Add(c.config.Backoff)
		switch refusal.Kind {
		case string(apricotwinch.NoTarget):
			c.countExecutorFailure(now, run.executor, t)
		case string(apricotwinch.Forbidden):
			delete(t.step.advice.tickets, run.executor.id)
		}
		if t.step.spec.Gang {
			c.refuseGang(now, t.step, run.executor)
		}
	}
	h.refusalsThrough = max(h.refusalsThrough, r.RefusalsThrough)
}

func (c *Conductor) updateExecutors(now, provenAt time.Time, h *host, r messenger.Report) {
	h.listedAt = now
	clear(h.lost)
	r.Gone, r.Executors = c.withoutReborn(now, provenAt, h, r)
	for _, gone := range r.Gone {
		if e := h.executors[gone.Id]; e != nil && e.incarnation == gone.Born {
			c.removeExecutor(now, e, "reported gone by its agent")
		}
	}
	for _, e := range h.executors {
		e.reachable = false
	}
	for i := range r.Executors {
		state := &r.Executors[i]
		record := state.Executor
		e := h.executors[record.Id]
		if e != nil && e.incarnation < record.Born {
			c.removeExecutor(now, e, "reborn")
			e = nil
		}
		if e == nil && !c.mayRenew(h) {
			continue // Its leases have ended, and none is granted.
		}
		if e == nil {
			e = newExecutor(h, record)
			e.listed, e.runsListed = true, true
			h.executors[e.id] = e
			h.sorted = nil
			c.sortedExecutors = nil
			e.strayLeaseEnd = c.reportedStrayLeaseEnd(now, r, state)
			c.recordHost(now, h)
			c.logger.Info("executor joined", "executor", e.id, "born", e.incarnation, "host", h.name, "dataCentre", e.dc, "rack", e.rack, "capacity", e.capacity.String(),
				"strayLeaseMillis", max(0, e.strayLeaseEnd.Sub(now)).Milliseconds())
		}
		if e.incarnation == record.Born {
			c.updateStrayLease(now, e, r, state)
			// An agent that has not seen this epoch yet may still obey the last owner.
			follows := int64(r.Epoch) >= c.epoch
			e.listed = e.listed || follows && !state.Incomplete
			e.runsListed = e.runsListed || follows && (state.RunsListed || !state.Incomplete)
			c.updateExecutor(now, provenAt, e, state, follows, c.processedOrders(r))
		}
	}
}

// withoutReborn returns what a report says of executors that are gone and of those that are there, without those
// of which it lists another incarnation than this owner knows and that can't join yet: its leases may not
// be renewed, or its lists may lack a run that was started on the one before, or the end of one.
func (c *Conductor) withoutReborn(now, provenAt time.Time, h *host, r messenger.Report) ([]messenger.ExecutorIncarnation, []messenger.ExecutorState) {
	reborn := map[string]bool{}
	for i := range r.Executors {
		state := &r.Executors[i]
		e := h.executors[state.Executor.Id]
		if e == nil || e.incarnation == state.Executor.Born || c.mayRenew(h) && !state.Incomplete {
			continue
		}
		reborn[e.id] = true
		if r.StrayLeases || e.unjoined != state.Executor.Born {
			c.extendStrayLease(now, e, c.reportedStrayLeaseEnd(now, r, state))
		}
		e.unjoined = state.Executor.Born
		if c.mayRenew(h) {
			e.extendLease(c.grantedEnd(now, provenAt, h))
		}
	}
	if len(reborn) == 0 {
		return r.Gone, r.Executors
	}
	gone := slices.DeleteFunc(slices.Clone(r.Gone), func(g messenger.ExecutorIncarnation) bool { return reborn[g.Id] })
	states := slices.DeleteFunc(slices.Clone(r.Executors), func(s messenger.ExecutorState) bool { return reborn[s.Executor.Id] })
	return gone, states
}

// processedOrders returns the number of the last orders of this owner that an agent has
// processed.
func (c *Conductor) processedOrders(r messenger.Report) int {
	if int64(r.Epoch) != c.epoch {
		return 0
	}
	return r.Orders
}

func (c *Conductor) updateExecutor(now, provenAt time.Time, e *executor, state *messenger.ExecutorState, follows bool, processed int) {
	c.changedExecutors[e] = true
	e.reportGap = now.Sub(e.reportedAt)
	e.reportedAt = now
	e.incomplete = state.Incomplete
	e.hidesRuns = state.Incomplete && !state.RunsListed
	e.capacity = state.Executor.Capacity.Value()
	// The agent may return to an earlier owner that still acts, so that a report doesn't shorten what
	// was inherited.
	if c.mayRenew(e.host) {
		e.extendLease(c.grantedEnd(now, provenAt, e.host))
	}
	e.reachable = state.Reachable && !e.host.withheld
	if state.Draining && !e.draining {
		c.logger.Info("executor draining", "executor", e.id, "host", e.host.name, "remainingMillis", state.RemainingMillis)
	}
	e.draining = state.Draining
	for i := range state.Ends {
		c.recordEnd(now, e, &state.Ends[i])
	}
	listed := make(map[messenger.RunRef]bool, len(state.Runs))
	e.runsUnknown = false
	for i := range state.Runs {
		listed[state.Runs[i].Run] = true
		c.updateRun(now, e, &state.Runs[i])
		c.repeatStop(e, &state.Runs[i], processed)
		c.updateBackground(e, &state.Runs[i], processed)
	}
	for ref, run := range e.runs {
		// The end of a task that starts again after any end doesn't matter.
		complete := !state.Incomplete || state.RunsListed && run.task.restartsAlways()
		if !listed[ref] && follows && complete && e.host.cannotStart(run, processed) {
			c.logger.Info("run lost", "run", ref, "executor", e.id, "born", e.incarnation, "order", run.ordersNumber, "processed", processed)
			c.count("runs.lost")
			c.release(now, run, "lost")
		}
	}
	e.unansweredSince = e.firstUnanswered()
	c.observeProgress(now, e, time.Duration(state.SilentMillis)*time.Millisecond)
}

// extendLease records that the executor's runs may go on until a time.
func (e *executor) extendLease(until time.Time) { e.leaseEnd = later(e.leaseEnd, until) }

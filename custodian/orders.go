package custodian

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"

	"apricotwinch"
	"apricotwinch/messenger"
	"apricotwinch/pacer"
)

// HandleOrders takes orders of an owner and returns the calls that carry them out. Its error is of
// the kind StaleEpoch for orders of an earlier owner, StaleIncarnation for those to another
// process of the agent, and StaleView for those that are based on a report older than a lease.
func (c *Custodian) HandleOrders(now time.Time, o messenger.Orders) (Calls, error) {
	if o.Epoch < c.epoch {
		return Calls{}, apricotwinch.Errorf(apricotwinch.StaleEpoch, "epoch: %d is older than the current epoch %d", o.Epoch, c.epoch)
	}
	if o.Incarnation != c.incarnation {
		return Calls{}, apricotwinch.Errorf(apricotwinch.StaleIncarnation, "incarnation: the orders are for %s, this agent is %s", o.Incarnation, c.incarnation)
	}
	if age := now.Sub(c.startedAt) - time.Duration(o.TicketMillis)*time.Millisecond; age > c.config.Lease {
		return Calls{}, apricotwinch.Errorf(apricotwinch.StaleView, "ticketMillis: the orders are based on a report that is %s old", age)
	}
	c.advanceEpoch(o.Epoch)
	c.acknowledgeEnds(now, o.Seen)
	if o.Number <= c.lastOrders {
		return Calls{}, nil
	}
	c.lastOrders = o.Number
	var calls Calls
	for _, order := range o.Known {
		c.identifyRun(order)
	}
	for _, stop := range o.Stops {
		c.stopRun(now, stop, &calls)
	}
	for _, start := range o.Starts {
		c.startRun(now, start, &calls)
	}
	for _, promotion := range o.Promotions {
		c.promoteRun(now, promotion, &calls)
	}
	return calls, nil
}

// advanceEpoch records an epoch. Orders are numbered anew in a later one.
func (c *Custodian) advanceEpoch(epoch int) {
	if epoch > c.epoch {
		c.logger.Info("later epoch", "epoch", epoch, "before", c.epoch)
		c.epoch = epoch
		c.lastOrders = 0
		c.wholeReportDue = true
	}
}

func (c *Custodian) acknowledgeEnds(now time.Time, seen []messenger.DurableEnds) {
	for _, s := range seen {
		e := c.executors[s.Executor]
		if e == nil || e.StartedMillis != s.Born || s.Through <= e.durableEnd {
			continue
		}
		e.durableEnd = s.Through
		e.durable = append(e.durable, durableEnds{through: s.Through, at: now})
		e.ends = slices.DeleteFunc(e.ends, func(end messenger.RunEnd) bool { return end.Number <= s.Through })
	}
}

func (c *Custodian) startRun(now time.Time, order messenger.StartOrder, calls *Calls) {
	e := c.executors[order.Executor]
	if e == nil || !e.confirmed || order.Born != 0 && order.Born != e.StartedMillis {
		c.refuseRun(order.Run, apricotwinch.NotFound)
		return
	}
	if e.Draining {
		c.refuseRun(order.Run, apricotwinch.Draining)
		return
	}
	if r := e.runs[order.Run]; r != nil {
		return
	}
	r := &run{order: order, known: true, phase: messenger.RunStarting, pace: pacer.FullSpeed}
	if !e.reserved.Add(r.reservation()).Fits(e.Capacity) {
		c.refuseRun(order.Run, apricotwinch.NoCapacity)
		return
	}
	e.add(r)
	c.addCall(now, e, r, calls)
}

// identifyRun sets the order of a run that was found at an executor, as the owner describes
// it.
func (c *Custodian) identifyRun(order messenger.StartOrder) {
	e := c.executors[order.Executor]
	if e == nil || e.runs[order.Run] == nil || e.runs[order.Run].known {
		return
	}
	r := e.runs[order.Run]
	e.remove(order.Run)
	r.order = order
	r.known = true
	e.add(r)
}

func (c *Custodian) refuseRun(ref messenger.RunRef, kind apricotwinch.Kind) {
	c.wholeReportDue = true
	c.refusalCount++
	c.refusals = append(c.refusals, messenger.RunRefusal{Run: ref, Kind: string(kind)})
	metrics.GetOrRegisterCounter(kind.ErrorResponse().Counter(), c.registry).Inc(1)
	c.logger.Info("run refused", "run", ref, "kind", string(kind))
}

// addCall adds the call that is due for a run.
func (c *Custodian) addCall(now time.Time, e *executor, r *run, calls *Calls) {
	r.inFlight = true
	r.retryAt = now.Add(c.config.RetryDelay)
	if r.phase == messenger.RunStopping {
		calls.Stops = append(calls.Stops, RunCall{Executor: e.ID, Born: e.StartedMillis, Address: e.Address, Token: e.token, Run: r.order.Run})
		return
	}
	until := c.grant(now, e)
	if !until.After(now) {
		// It would go on under a lease that another call has granted, if there is one.
		metrics.GetOrRegisterCounter("starts.without_lease", c.registry).Inc(1)
		r.inFlight, r.retryAt = false, now
		return
	}
	deadline := e.deadline(until)
	e.leaseCalls.begin(now, deadline)
	c.startsTo(e.ID).begin(r.order.Run, now.Add(c.config.MaxCallDelay))
	r.startCalls.settle(true, c.config.MaxCallDelay)
	r.startCalls.madeAt = now
	calls.Starts = append(calls.Starts, StartCall{
		Executor: e.ID, Born: e.StartedMillis, Address: e.Address, Token: e.token, Deadline: deadline, Order: r.order,
	})
}

func (c *Custodian) stopRun(now time.Time, stop messenger.StopOrder, calls *Calls) {
	for _, ended := range c.ended {
		ended.markStopping(stop.Run)
	}
	e := c.executors[stop.Executor]
	if e == nil {
		return
	}
	r := e.runs[stop.Run]
	if r == nil || r.phase == messenger.RunStopping {
		return
	}
	r.phase = messenger.RunStopping
	c.addCall(now, e, r, calls)
}

// promoteRun lets a background run work at the pace of others. One that hasn't started yet starts so.
func (c *Custodian) promoteRun(now time.Time, promotion messenger.PromotionOrder, calls *Calls) {
	e := c.executors[promotion.Executor]
	if e == nil || e.runs[promotion.Run] == nil {
		return
	}
	e.runs[promotion.Run].order.Background = false
	calls.Paces = append(calls.Paces, c.updatePaces(now, e).Paces...)
}

// findExecutor returns an incarnation of an executor, or nil if it is not the known one. The answer
// to a call for an earlier incarnation says nothing of the next one.
func (c *Custodian) findExecutor(id string, born int) *executor {
	if e := c.executors[id]; e != nil && e.StartedMillis == born {
		return e
	}
	return nil
}

// findRun returns a known run and the incarnation of its executor, or nil.
func (c *Custodian) findRun(id string, born int, ref messenger.RunRef) (*executor, *run) {
	e := c.findExecutor(id, born)
	if e == nil {
		return nil, nil
	}
	return e, e.runs[ref]
}

// HandleStartAnswer takes the answer to a start. It returns the calls to make, and reports whether
// a report to the owner is due at once. That a run has started can wait for the next report: the
// owner counts it from its order on.
func (c *Custodian) HandleStartAnswer(now time.Time, call StartCall, answer Answer, err error) (Calls, bool) {
	kind := apricotwinch.KindOf(err)
	c.startsTo(call.Executor).end(now, call.Order.Run, kind)
	e, r := c.findRun(call.Executor, call.Born, call.Order.Run)
	if e != nil {
		e.endLeaseCall(now, call.Deadline, answer, err)
	}
	if r == nil {
		return Calls{}, c.handleLateAnswer(now, call, answer, err)
	}
	if answer.StartedMillis != 0 && answer.StartedMillis != e.StartedMillis {
		c.handleRestart(now, e, answer)
		c.wholeReportDue = true
		return Calls{}, true
	}
	r.inFlight = false
	if e.isFromAnother(now, answer) {
		// The next hold shows which one.
		r.maybeStarted = true
		r.startCalls.settle(true, c.config.MaxCallDelay)
		metrics.GetOrRegisterCounter("starts.answered_by_another", c.registry).Inc(1)
		c.logger.Info("start answered by another incarnation", "run", call.Order.Run, "executor", e.ID, "born", call.Born, "token", call.Token,
			"clockMillis", answer.Clock.Milliseconds(), "kind", string(kind))
		return Calls{}, false
	}
	e.updateClock(now, answer.Clock)
	changed := false
	r.startCalls.settle(mayBeCarriedOut(kind), c.config.MaxCallDelay)
	switch kind {
	case "":
		e.lastContactAt = now
		if r.phase == messenger.RunStarting {
			r.phase = messenger.RunRunning
		}
		r.confirmedAt = now
		return c.updatePaces(now, e), false
	case apricotwinch.Conflict:
		// The executor already had this run or a later one; its next list of runs shows whether
		// this one has ended.
		if r.phase == messenger.RunStarting {
			r.phase = messenger.RunRunning
		}
		r.confirmedAt = now
		return Calls{}, false
	case apricotwinch.NoCapacity, apricotwinch.Invalid, apricotwinch.NoTarget, apricotwinch.Forbidden:
		return c.handleRefusedStart(now, e, r, kind)
	case apricotwinch.StaleEpoch:
		changed = c.handleRejectedToken(now, e, call.Token)
		c.wholeReportDue = c.wholeReportDue || changed
	case apricotwinch.Unreachable, apricotwinch.StaleIncarnation, apricotwinch.DeadlineExceeded:
		// The call was not carried out, and is repeated.
	default:
		r.maybeStarted = true
	}
	c.logger.Info("start not answered", "run", call.Order.Run, "executor", e.ID, "born", call.Born, "token", call.Token,
		"deadlineMillis", call.Deadline.Milliseconds(), "kind", string(kind), "error", err)
	return Calls{}, changed
}

// handleRefusedStart takes the refusal of a start. It says nothing of an earlier call for the run
// that got no answer. Such a run is stopped first: an executor that has confirmed the stop no
// longer carries the earlier call out.
func (c *Custodian) handleRefusedStart(now time.Time, e *executor, r *run, kind apricotwinch.Kind) (Calls, bool) {
	if r.phase == messenger.RunRunning {
		// An earlier call was carried out. Lists tell when the run ends.
		return Calls{}, false
	}
	if !r.maybeStarted || !r.confirmedAt.IsZero() {
		if r.confirmedAt.IsZero() {
			e.doubt.forget(r.order.Run)
		}
		e.remove(r.order.Run)
		c.refuseRun(r.order.Run, kind)
		return Calls{}, true
	}
	c.logger.Info("refused start in doubt", "run", r.order.Run, "executor", e.ID, "born", e.StartedMillis, "kind", string(kind), "fenced", r.fenced)
	metrics.GetOrRegisterCounter("starts.refused_in_doubt", c.registry).Inc(1)
	r.refusal = kind
	var calls Calls
	if !r.fenced && r.phase == messenger.RunStarting {
		r.phase = messenger.RunStopping
		c.addCall(now, e, r, &calls)
	}
	return calls, false
}

// HandleStopAnswer takes the answer to a stop.
func (c *Custodian) HandleStopAnswer(now time.Time, call RunCall, answer Answer, err error) {
	e, r := c.findRun(call.Executor, call.Born, call.Run)
	if r == nil {
		return
	}
	r.inFlight = false
	if e.isFromAnother(now, answer) {
		return
	}
	e.updateClock(now, answer.Clock)
	if err == nil {
		if r.confirmedAt.IsZero() {
			r.confirmedAt = now
		}
		r.retryAt = now.Add(c.config.Lease)
	}
}

// Tick returns the calls that are to be made or repeated now, and reports whether a report
// to the owner is due at once.
func (c *Custodian) Tick(now time.Time) (Calls, bool) {
	var calls Calls
	changed := false
	c.forgetUnconfirmed(now)
	c.forgetStarts(now)
	for _, id := range c.Executors() {
		e := c.executors[id]
		if c.fenceAfterLapse(now, e) {
			changed = true
		}
		expired := now.After(c.lastLeaseEnd(e).Add(c.config.Margin)) && now.Sub(e.lastContactAt) > c.config.SilenceTimeout
		if (len(e.runs) > 0 || e.listsIncomplete()) && expired && c.expireLeases(now, e) {
			changed = true
		}
		for _, r := range e.sortedRuns() {
			if !r.inFlight && !r.fenced && r.phase != messenger.RunRunning && !now.Before(r.retryAt) && !c.defersStart(now, e, r) {
				c.addCall(now, e, r, &calls)
			}
		}
	}
	c.addProbes(now, &calls)
	c.wholeReportDue = c.wholeReportDue || changed
	return calls, changed
}

// lastGrant returns when the last lease ends that an executor may have received, from this agent
// or an earlier one. An earlier one granted it for a report that it sent before this one started.
func (c *Custodian) lastGrant(e *executor) time.Time {
	inherited := c.startedAt.Add(c.config.Lease)
	if e.grantedUntil.After(inherited) {
		return e.grantedUntil
	}
	return inherited
}

// fenceAfterLapse raises the token of an executor whose lease has lapsed while runs on it are in
// doubt, and reports whether it did. The owner may have started their tasks elsewhere since, so
// that neither a repeated start nor one that the executor carries out late may take effect
// once the lease is renewed.
func (c *Custodian) fenceAfterLapse(now time.Time, e *executor) bool {
	if e.leaseUntil.IsZero() || !now.After(e.leaseUntil) || !e.confirmed || !e.hasRunInDoubt() {
		return false
	}
	c.logger.Info("executor fenced", "executor", e.ID, "born", e.StartedMillis, "runs", len(e.runs), "lapsedMillis", now.Sub(e.leaseUntil).Milliseconds())
	c.fence(now, e)
	return true
}

// fence raises the token of an executor. The executor is reported again after it has answered a
// call with that token.
func (c *Custodian) fence(now time.Time, e *executor) {
	metrics.GetOrRegisterCounter("executors.fenced", c.registry).Inc(1)
	e.token = c.nextToken(now, e.ID)
	e.unconfirm()
	for _, r := range e.runs {
		r.fenced = r.fenced || r.inDoubt()
	}
}

// sortedRuns returns the runs in a fixed order. The caller must not change the list.
func (e *executor) sortedRuns() []*run {
	if e.sorted == nil {
		e.sorted = slices.SortedFunc(maps.Values(e.runs), func(a, b *run) int { return compareRuns(a.order.Run, b.order.Run) })
	}
	return e.sorted
}

func compareRuns(a, b messenger.RunRef) int {
	return cmp.Or(
		cmp.Compare(a.Task.Workload, b.Task.Workload),
		cmp.Compare(a.Task.Occurrence, b.Task.Occurrence),
		cmp.Compare(a.Task.Step, b.Task.Step),
		cmp.Compare(a.Task.Index, b.Task.Index),
		cmp.Compare(a.Run, b.Run),
	)
}

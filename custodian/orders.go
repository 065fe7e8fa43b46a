package custodian

import (
	"cmp"
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"

	"apricotwinch"
	"apricotwinch/messenger"
	"apricotwinch/pacer"
)

// Ordered takes orders of an owner and returns the calls that carry them out.
func (c *Custodian) Ordered(now time.Time, o messenger.Orders) (Calls, error) {
	if o.Epoch < c.epoch {
		return Calls{}, apricotwinch.Errorf(apricotwinch.StaleEpoch, "epoch: %d is before %d", o.Epoch, c.epoch)
	}
	if o.Incarnation != c.incarnation {
		return Calls{}, apricotwinch.Errorf(apricotwinch.StaleIncarnation, "incarnation: %s is not %s", o.Incarnation, c.incarnation)
	}
	if age := now.Sub(c.origin) - time.Duration(o.TicketMillis)*time.Millisecond; age > c.config.Lease {
		return Calls{}, apricotwinch.Errorf(apricotwinch.StaleView, "ticketMillis: the orders rest on a report of %s ago", age)
	}
	c.see(o.Epoch)
	c.acknowledge(o.Seen)
	if o.Number <= c.taken {
		return Calls{}, nil
	}
	c.taken = o.Number
	var calls Calls
	for _, order := range o.Known {
		c.describe(order)
	}
	for _, stop := range o.Stops {
		c.stop(now, stop, &calls)
	}
	for _, start := range o.Starts {
		c.start(now, start, &calls)
	}
	return calls, nil
}

// see notes an epoch; a later one starts counting orders anew.
func (c *Custodian) see(epoch int) {
	if epoch > c.epoch {
		c.logger.Info("later epoch", "epoch", epoch, "before", c.epoch)
		c.epoch = epoch
		c.taken = 0
	}
}

func (c *Custodian) acknowledge(seen []messenger.EndsSeen) {
	for _, s := range seen {
		e := c.executors[s.Executor]
		if e == nil || e.Born != s.Born || s.Through <= e.seen {
			continue
		}
		e.seen = s.Through
		e.ends = slices.DeleteFunc(e.ends, func(end messenger.RunEnd) bool { return end.Number <= s.Through })
	}
}

func (c *Custodian) start(now time.Time, order messenger.RunOrder, calls *Calls) {
	e := c.executors[order.Executor]
	if e == nil || !e.held {
		c.refuse(order.Run, apricotwinch.NotFound)
		return
	}
	if e.Draining {
		c.refuse(order.Run, apricotwinch.Draining)
		return
	}
	if r := e.runs[order.Run]; r != nil {
		return
	}
	r := &run{order: order, known: true, phase: messenger.RunStarting, pace: pacer.Full}
	if !e.committed.Add(r.need()).Fits(e.Capacity) {
		c.refuse(order.Run, apricotwinch.NoCapacity)
		return
	}
	e.add(r)
	c.call(now, e, r, calls)
}

// describe takes what a run is that was found at an executor.
func (c *Custodian) describe(order messenger.RunOrder) {
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

func (c *Custodian) refuse(ref messenger.RunRef, kind apricotwinch.Kind) {
	c.refused++
	c.refusals = append(c.refusals, messenger.RunRefusal{Run: ref, Kind: string(kind)})
	metrics.GetOrRegisterCounter(kind.Answer().Counter(), c.registry).Inc(1)
	c.logger.Info("run refused", "run", ref, "kind", string(kind))
}

// call adds the call that is due for a run.
func (c *Custodian) call(now time.Time, e *executor, r *run, calls *Calls) {
	r.inFlight = true
	r.retryAt = now.Add(c.config.Retry)
	if r.phase == messenger.RunStopping {
		calls.Stops = append(calls.Stops, RunCall{Executor: e.ID, Address: e.Address, Token: e.token, Run: r.order.Run})
		return
	}
	e.leasedTo = e.leaseTo
	calls.Starts = append(calls.Starts, StartCall{
		Executor: e.ID, Address: e.Address, Token: e.token, Deadline: e.deadline(e.leaseTo), Order: r.order,
	})
}

func (c *Custodian) stop(now time.Time, stop messenger.RunStop, calls *Calls) {
	e := c.executors[stop.Executor]
	if e == nil {
		return
	}
	r := e.runs[stop.Run]
	if r == nil || r.phase == messenger.RunStopping {
		return
	}
	r.phase = messenger.RunStopping
	c.call(now, e, r, calls)
}

// find returns a run that is still held.
func (c *Custodian) find(id string, ref messenger.RunRef) (*executor, *run) {
	e := c.executors[id]
	if e == nil {
		return nil, nil
	}
	return e, e.runs[ref]
}

// Started takes the answer to a start. It reports whether the owner should be
// told.
func (c *Custodian) Started(now time.Time, call StartCall, answer Answer, err error) (Calls, bool) {
	e, r := c.find(call.Executor, call.Order.Run)
	if r == nil {
		return Calls{}, false
	}
	if answer.Born > e.Born && e.Born != 0 {
		c.reborn(now, e, answer)
		return Calls{}, true
	}
	e.takeClock(now, answer.Clock)
	r.inFlight = false
	kind := apricotwinch.KindOf(err)
	switch kind {
	case "":
		e.heardAt = now
		if r.phase == messenger.RunStarting {
			r.phase = messenger.RunRunning
		}
		r.confirmed = now
		return c.pace(now, e), true
	case apricotwinch.Conflict:
		// The run, or a later one, was there: the next list tells whether it ended.
		r.phase = messenger.RunRunning
		r.confirmed = now
		return Calls{}, false
	case apricotwinch.NoCapacity, apricotwinch.Invalid, apricotwinch.NoTarget, apricotwinch.Forbidden:
		e.remove(call.Order.Run)
		c.refuse(call.Order.Run, kind)
		return Calls{}, true
	}
	c.logger.Info("start unanswered", "run", call.Order.Run, "executor", e.ID, "kind", string(kind), "error", err)
	return Calls{}, false
}

// Stopped takes the answer to a stop.
func (c *Custodian) Stopped(now time.Time, call RunCall, answer Answer, err error) {
	e, r := c.find(call.Executor, call.Run)
	if r == nil {
		return
	}
	e.takeClock(now, answer.Clock)
	r.inFlight = false
	if err == nil {
		if r.confirmed.IsZero() {
			r.confirmed = now
		}
		r.retryAt = now.Add(c.config.Lease)
	}
}

// Tick returns the calls that are due again, and reports whether the owner should
// be told of something.
func (c *Custodian) Tick(now time.Time) (Calls, bool) {
	var calls Calls
	news := false
	for _, id := range c.Executors() {
		e := c.executors[id]
		if len(e.runs) > 0 && now.After(e.leasedTo.Add(c.config.Margin)) && now.Sub(e.heardAt) > c.config.Silence {
			c.logger.Info("leases over", "executor", id, "runs", len(e.runs), "silentMillis", now.Sub(e.heardAt).Milliseconds())
			for ref := range e.runs {
				e.remove(ref)
			}
			news = true
		}
		for _, r := range e.ordered() {
			if !r.inFlight && r.phase != messenger.RunRunning && !now.Before(r.retryAt) {
				c.call(now, e, r, &calls)
			}
		}
	}
	return calls, news
}

// ordered returns the runs in a fixed order.
func (e *executor) ordered() []*run {
	runs := make([]*run, 0, len(e.runs))
	for _, r := range e.runs {
		runs = append(runs, r)
	}
	slices.SortFunc(runs, func(a, b *run) int { return compareRuns(a.order.Run, b.order.Run) })
	return runs
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

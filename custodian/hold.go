package custodian

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"apricotwinch"
	"apricotwinch/messenger"
	"apricotwinch/pacer"
)

// Hold returns the next call to renew the leases of an executor, and false when it
// is not known any more.
func (c *Custodian) Hold(now time.Time, id string) (HoldCall, bool) {
	e := c.executors[id]
	if e == nil {
		return HoldCall{}, false
	}
	call := HoldCall{Executor: e.ID, Address: e.Address, Token: e.token}
	if e.seen > e.acked {
		// Said once only: another life under the same id would forget its own ends by it.
		call.Seen = e.seen
	}
	if e.held && e.leaseTo.After(now) {
		call.Deadline = e.deadline(e.leaseTo)
		e.leasedTo = e.leaseTo
	}
	if e.held && e.seen >= e.listed {
		call.Wait = c.config.HoldWait
	}
	return call, true
}

// Held takes the answer to a hold that was sent at sent. It reports whether the
// owner should be told.
func (c *Custodian) Held(now, sent time.Time, call HoldCall, holding Holding, err error) (Calls, bool) {
	c.latest = now
	e := c.executors[call.Executor]
	if e == nil {
		return Calls{}, false
	}
	if err != nil {
		return Calls{}, c.holdFailed(now, e, holding.Answer, err)
	}
	if holding.Born != 0 && holding.Born != e.Born {
		c.reborn(now, e, holding.Answer)
		return Calls{}, true
	}
	e.heardAt = now
	e.acked = max(e.acked, call.Seen)
	e.takeClock(now, holding.Clock)
	if !e.held {
		if !e.fenced {
			e.token = c.nextToken(holding.Clock)
			e.fenced = true
			return Calls{}, false
		}
		e.held = call.Token == e.token
	}
	changed := c.takeEnds(e, holding.Ends)
	changed = c.takeRuns(e, sent, holding.Runs) || changed
	return c.pace(now, e), changed
}

// holdFailed draws the consequences of a hold that was not answered, or refused.
func (c *Custodian) holdFailed(now time.Time, e *executor, answer Answer, err error) bool {
	e.takeClock(now, answer.Clock)
	switch apricotwinch.KindOf(err) {
	case apricotwinch.StaleIncarnation:
		c.drop(e, err.Error())
		return true
	case apricotwinch.StaleEpoch:
		c.token += e.refused
		e.refused = 2*e.refused + 1
		e.token = c.nextToken(answer.Clock)
		e.fenced = answer.Clock > 0
	}
	return false
}

func (c *Custodian) takeEnds(e *executor, ends []messenger.RunEnd) bool {
	news := false
	for _, end := range ends {
		if end.Number <= e.listed {
			continue
		}
		e.listed = end.Number
		e.ends = append(e.ends, end)
		e.remove(end.Run)
		news = true
		metrics.GetOrRegisterCounter("runs.ended."+end.How, c.registry).Inc(1)
		if c.logger.IsInfo() {
			c.logger.Info("run ended", "run", end.Run, "executor", e.ID, "how", end.How, "number", end.Number)
		}
	}
	return news
}

// takeRuns takes the list of what runs, as of a call that was sent at sent.
func (c *Custodian) takeRuns(e *executor, sent time.Time, states []messenger.RunState) bool {
	news := false
	listed := make(map[messenger.RunRef]bool, len(states))
	for _, state := range states {
		listed[state.Run] = true
		r := e.runs[state.Run]
		if r == nil {
			r = &run{order: messenger.RunOrder{Run: state.Run, Executor: e.ID}, phase: messenger.RunRunning, pace: pacer.Full}
			e.add(r)
			news = true
		}
		if r.phase == messenger.RunStarting {
			r.phase = messenger.RunRunning
			news = true
		}
		r.confirmed = sent
		r.state = state
	}
	for ref, r := range e.runs {
		gone := !r.confirmed.IsZero() && r.confirmed.Before(sent) && !r.inFlight
		if gone && !listed[ref] && r.phase != messenger.RunStarting {
			c.logger.Info("run vanished", "run", ref, "executor", e.ID)
			e.remove(ref)
			news = true
		}
	}
	return news
}

package conductor

import (
	"time"

	"apricotwinch"
	"apricotwinch/appraiser"
	"apricotwinch/messenger"
)

// Report takes what an agent reports and returns the answer.
func (c *Conductor) Report(now time.Time, r messenger.Report) messenger.ReportReply {
	h := c.hosts[r.Host]
	if h == nil {
		h = newHost(now, r.Host, r.Address)
		c.hosts[r.Host] = h
		c.logger.Info("host joined", "host", r.Host, "address", r.Address)
	}
	if h.address != r.Address {
		h.address = r.Address
		c.recordHost(h)
	}
	if h.incarnation == r.Incarnation && r.TicketMillis < h.ticket {
		return messenger.ReportReply{Epoch: int(c.epoch), Owner: true}
	}
	if h.incarnation != r.Incarnation {
		c.logger.Info("agent's incarnation", "host", h.name, "incarnation", r.Incarnation, "before", h.incarnation)
		h.incarnation = r.Incarnation
		h.number = 0
		h.refusals = 0
		delete(c.orders, h.name)
		for _, e := range h.executors {
			e.told = map[appraiser.Pair]float64{}
			for _, run := range e.runs {
				run.order = 0
			}
		}
	}
	h.reported = true
	h.heardAt = now
	h.ticket = r.TicketMillis
	if r.Whole {
		c.takeRefusals(now, h, r)
		c.takeExecutors(now, h, r)
	}
	reply := messenger.ReportReply{Epoch: int(c.epoch), Owner: true, Lease: r.Whole, RefusalsThrough: h.refusals}
	for _, e := range h.ordered() {
		c.observe(now, e)
		reply.Presses = append(reply.Presses, c.pressesFor(e)...)
		reply.Seen = append(reply.Seen, messenger.EndsSeen{Executor: e.id, Born: e.born, Through: e.seen})
		if !e.reachable && e.leasedTo.After(now) {
			reply.Executors = append(reply.Executors, e.record)
		}
	}
	return reply
}

// recordHost makes a host and its executors durable.
func (c *Conductor) recordHost(h *host) {
	record := messenger.HostRecord{Address: h.address}
	for _, e := range h.ordered() {
		record.Executors = append(record.Executors, e.record)
	}
	c.records = append(c.records, encode(prefixHost+h.name, record))
	c.urgent = true
}

func (c *Conductor) takeRefusals(now time.Time, h *host, r messenger.Report) {
	first := r.RefusalsThrough - len(r.Refusals) + 1
	for i, refusal := range r.Refusals {
		if first+i <= h.refusals {
			continue
		}
		run := c.runs[refusal.Run]
		c.count("runs.refused." + refusal.Kind)
		c.logger.Info("run refused", "run", refusal.Run, "host", h.name, "kind", refusal.Kind)
		if run == nil || run.executor.host != h {
			continue
		}
		t := run.task
		c.release(run)
		t.avoid = run.executor
		t.notBefore = now.Add(c.config.Backoff)
		switch refusal.Kind {
		case string(apricotwinch.NoTarget):
			c.blame(now, run.executor, t)
		case string(apricotwinch.Forbidden):
			delete(t.step.advice.tickets, run.executor.id)
		}
	}
	h.refusals = max(h.refusals, r.RefusalsThrough)
}

func (c *Conductor) takeExecutors(now time.Time, h *host, r messenger.Report) {
	for _, life := range r.Gone {
		if e := h.executors[life.Id]; e != nil && e.born == life.Born {
			c.executorGone(e, "its agent says so")
		}
	}
	for _, e := range h.executors {
		e.reachable = false
	}
	for i := range r.Executors {
		state := &r.Executors[i]
		record := state.Executor
		e := h.executors[record.Id]
		if e != nil && e.born < record.Born {
			c.executorGone(e, "reborn")
			e = nil
		}
		if e == nil {
			e = newExecutor(h, record)
			e.listed = true
			h.executors[e.id] = e
			c.sorted = nil
			c.recordHost(h)
			c.logger.Info("executor joined", "executor", e.id, "host", h.name, "dataCentre", e.dc, "rack", e.rack, "capacity", e.capacity.String())
		}
		if e.born == record.Born {
			// An agent that has not met this epoch may still obey the last owner.
			e.listed = e.listed || int64(r.Epoch) >= c.epoch
			c.takeExecutor(now, e, state, c.processed(r))
		}
	}
}

// processed returns the number of the last of this owner's orders that an agent has
// taken.
func (c *Conductor) processed(r messenger.Report) int {
	if int64(r.Epoch) != c.epoch {
		return 0
	}
	return r.Orders
}

func (c *Conductor) takeExecutor(now time.Time, e *executor, state *messenger.ExecutorState, processed int) {
	e.capacity = state.Executor.Capacity.Value()
	e.leasedTo = now.Add(c.config.Lease + c.config.Margin)
	e.reachable = state.Reachable
	if state.Draining && !e.draining {
		c.logger.Info("executor draining", "executor", e.id, "host", e.host.name, "remainingMillis", state.RemainingMillis)
	}
	e.draining = state.Draining
	for i := range state.Ends {
		c.takeEnd(now, e, &state.Ends[i])
	}
	listed := make(map[messenger.RunRef]bool, len(state.Runs))
	e.foreign = false
	for i := range state.Runs {
		listed[state.Runs[i].Run] = true
		c.takeRun(now, e, &state.Runs[i])
	}
	for ref, run := range e.runs {
		if !listed[ref] && run.order <= processed {
			c.logger.Info("run lost", "run", ref, "executor", e.id, "order", run.order, "processed", processed)
			c.count("runs.lost")
			c.release(run)
		}
	}
	c.watch(now, e, time.Duration(state.SilentMillis)*time.Millisecond)
}

// takeRun takes a run that an executor holds.
func (c *Conductor) takeRun(now time.Time, e *executor, state *messenger.RunState) {
	run := c.runs[state.Run]
	if run == nil {
		run = c.adopt(now, e, state)
		if run == nil {
			return
		}
	}
	if run.executor != e {
		return
	}
	if state.Unknown && state.Phase == messenger.RunRunning {
		orders := c.ordersFor(e.host)
		orders.Known = append(orders.Known, run.described())
	}
	run.phase = state.Phase
	run.notePace(now, state)
	run.figure = state.Figure
	run.percent = state.Percent
	if state.Checkpoint != "" {
		run.task.checkpoint = state.Checkpoint
	}
	if state.Phase == messenger.RunRunning {
		c.began(run.task.step.occurrence.work)
	}
	if state.Phase != messenger.RunStopping && (run.stray || run.task.done || run.task.step.occurrence.work.terminal()) {
		run.stopping = false
		c.stop(run)
	}
}

// began notes that a task of the workload has started.
func (c *Conductor) began(w *workload) {
	if !w.unstarted {
		return
	}
	w.unstarted = false
	if w.state == messenger.WorkloadQueued {
		w.state = messenger.WorkloadRunning
		c.touch(w, false)
	}
}

// adopt takes a run that an earlier owner started. What no workload wants is
// stopped.
func (c *Conductor) adopt(now time.Time, e *executor, state *messenger.RunState) *run {
	w := c.jobs[state.Run.Task.Workload]
	var t *task
	if w != nil {
		t = w.task(state.Run.Task)
	}
	run := &run{ref: state.Run, task: t, executor: e, since: now}
	if t == nil {
		e.foreign = true
		if state.Phase != messenger.RunStopping {
			c.orderStop(run)
		}
		return nil
	}
	if w.terminal() || t.done || t.current != nil {
		c.logger.Info("stray run", "run", state.Run, "executor", e.id, "state", w.state, "done", t.done)
		c.count("runs.stray")
		run.stray = true
		c.track(run)
		return run
	}
	c.hold(run)
	c.logger.Info("run adopted", "run", state.Run, "executor", e.id, "phase", state.Phase)
	c.count("runs.adopted")
	return run
}

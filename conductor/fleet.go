package conductor

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"apricotwinch"
	"apricotwinch/appraiser"
	"apricotwinch/messenger"
)

// rackPrefix begins the label that names an executor's rack.
const rackPrefix = "r"

// host is one host with its agent.
type host struct {
	name        string
	address     string
	incarnation string
	reported    bool
	heardAt     time.Time
	ticket      int
	number      int
	refusals    int
	executors   map[string]*executor
}

// executor is one life of an executor.
type executor struct {
	host    *host
	record  messenger.ExecutorRecord
	id      string
	born    int
	service string
	dc      string
	rack    string
	// durable is whether the record of the executor is: no task starts there before.
	durable bool
	// listed is whether a report to this owner has listed it.
	listed bool
	// leasedTo is when its runs have provably ended, if no report lists it any more.
	leasedTo time.Time
	labels   map[string]bool
	capacity apricotwinch.Resources
	draining bool
	// leavesAt is when it may leave at the earliest, while it drains.
	leavesAt  time.Time
	reachable bool
	// foreign is whether it runs something of which the need is not known.
	foreign   bool
	runs      map[messenger.RunRef]*run
	committed apricotwinch.Resources
	filling   int64
	openness  float64
	serving   int64

	// told holds the presses that the agent was told of.
	told map[appraiser.Pair]float64

	taken    int
	seen     int
	pending  []pendingEnd
	streak   int
	streakOf string
	failedAt time.Time
}

// pendingEnd is an end that was taken, with the write that makes it durable.
type pendingEnd struct {
	number int
	write  int64
}

func newHost(now time.Time, name, address string) *host {
	return &host{name: name, address: address, heardAt: now, executors: map[string]*executor{}}
}

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
	reply := messenger.ReportReply{Epoch: int(c.epoch), Owner: true, Lease: true, RefusalsThrough: h.refusals}
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

// ordered returns the executors in order of their ids.
func (h *host) ordered() []*executor {
	list := make([]*executor, 0, len(h.executors))
	for _, e := range h.executors {
		list = append(list, e)
	}
	slices.SortFunc(list, func(a, b *executor) int { return cmp.Compare(a.id, b.id) })
	return list
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
		if refusal.Kind == string(apricotwinch.NoTarget) {
			c.blame(now, run.executor, t)
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
			h.executors[e.id] = e
			c.recordHost(h)
			c.logger.Info("executor joined", "executor", e.id, "host", h.name, "dataCentre", e.dc, "rack", e.rack, "capacity", e.capacity.String())
		}
		if e.born == record.Born {
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

func newExecutor(h *host, record messenger.ExecutorRecord) *executor {
	e := &executor{
		host:     h,
		record:   record,
		id:       record.Id,
		born:     record.Born,
		service:  record.Service,
		dc:       record.DataCentre,
		labels:   map[string]bool{},
		capacity: record.Capacity.Value(),
		runs:     map[messenger.RunRef]*run{},
		told:     map[appraiser.Pair]float64{},
	}
	for _, label := range record.Labels {
		e.labels[label] = true
		if strings.HasPrefix(label, rackPrefix) && strings.Contains(label, "-") {
			e.rack = label
		}
	}
	return e
}

// executorGone takes that an executor's life, with all that it ran, is over.
func (c *Conductor) executorGone(e *executor, reason string) {
	c.logger.Info("executor gone", "executor", e.id, "host", e.host.name, "runs", len(e.runs), "reason", reason)
	for _, run := range e.runs {
		c.release(run)
		c.count("runs.lost")
	}
	c.appraiser.Forget(e.id)
	delete(e.host.executors, e.id)
	c.recordHost(e.host)
}

func (c *Conductor) takeExecutor(now time.Time, e *executor, state *messenger.ExecutorState, processed int) {
	e.capacity = state.Executor.Capacity.Value()
	e.listed = true
	e.leasedTo = now.Add(c.config.Lease + c.config.Margin)
	e.reachable = state.Reachable
	if state.Draining && !e.draining {
		c.logger.Info("executor draining", "executor", e.id, "host", e.host.name, "remainingMillis", state.RemainingMillis)
	}
	e.draining = state.Draining
	e.leavesAt = now.Add(time.Duration(state.RemainingMillis) * time.Millisecond)
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
	run.percent = state.Percent
	run.notePace(now, state)
	run.figure = state.Figure
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
		run.order = 0
		c.runs[run.ref] = run
		e.runs[run.ref] = run
		e.commit(t.step, 1)
		return run
	}
	c.hold(run)
	c.logger.Info("run adopted", "run", state.Run, "executor", e.id, "phase", state.Phase)
	c.count("runs.adopted")
	return run
}

// takeEnd takes the end of a run.
func (c *Conductor) takeEnd(now time.Time, e *executor, end *messenger.RunEnd) {
	if end.Number <= e.taken {
		return
	}
	e.taken = end.Number
	c.settle(now, e, end)
	e.pending = append(e.pending, pendingEnd{number: end.Number, write: c.sequence + 1})
	if len(c.dirty) == 0 && len(c.records) == 0 {
		e.pending[len(e.pending)-1].write = c.sequence
		c.acknowledge(e.host, e)
	}
}

// settle draws the consequences of an end.
func (c *Conductor) settle(now time.Time, e *executor, end *messenger.RunEnd) {
	c.count("runs.ended." + end.How)
	w := c.jobs[end.Run.Task.Workload]
	if w == nil {
		return
	}
	t := w.task(end.Run.Task)
	if t == nil {
		return
	}
	run := c.runs[end.Run]
	if run != nil {
		c.release(run)
	}
	t.highest = max(t.highest, end.Run.Run)
	if c.logger.IsInfo() {
		c.logger.Info("run ended", "run", end.Run, "executor", e.id, "how", end.How, "current", run != nil)
	}
	c.began(w)
	switch {
	case t.done || w.terminal():
		return
	case t.step.spec.Gang:
		c.settleGang(now, t, end)
		return
	case end.How == messenger.EndDone && !t.step.spec.Lasting:
		e.streak = 0
		c.finishTask(now, t)
		return
	case end.How == messenger.EndFailed && slices.Contains(t.failed, end.Run.Run):
		return
	case end.How == messenger.EndFailed:
		t.fail(end.Run.Run)
		t.streak++
		t.avoid = e
		t.notBefore = now.Add(c.backoff(t.streak))
		c.blame(now, e, t)
	case end.Checkpoint != "":
		t.checkpoint = end.Checkpoint
	}
	c.touch(w, false)
	if end.How == messenger.EndFailed {
		c.giveUp(now, t)
	}
}

// giveUp ends the workload of a task that has used up its attempts; lasting tasks
// have no such limit.
func (c *Conductor) giveUp(now time.Time, t *task) {
	w := t.step.occurrence.work
	queue, ok := c.queue(w)
	if ok && !t.step.spec.Lasting && len(t.failed) >= queue.MaxAttempts {
		c.logger.Info("workload failed", "workload", w.id, "task", t.ref, "failed", t.failed, "limit", queue.MaxAttempts)
		c.end(now, w, messenger.WorkloadFailed)
	}
}

// backoff returns the delay after a number of failures in a row.
func (c *Conductor) backoff(streak int) time.Duration {
	delay := c.config.Backoff
	for range streak - 1 {
		if delay >= c.config.MaxBackoff {
			break
		}
		delay *= 2
	}
	return min(delay, c.config.MaxBackoff)
}

// blame counts a failure against the executor; several tasks of one workload
// count once.
func (c *Conductor) blame(now time.Time, e *executor, t *task) {
	if now.Sub(e.failedAt) > c.config.StreakLife {
		e.streak = 0
	}
	e.failedAt = now
	if id := t.ref.Workload; e.streakOf != id {
		e.streakOf = id
		e.streak++
	}
}

// finishTask takes that a task is done.
func (c *Conductor) finishTask(now time.Time, t *task) {
	if t.current != nil {
		c.stop(t.current)
	}
	t.finish()
	w := t.step.occurrence.work
	c.touch(w, false)
	if t.step.left > 0 {
		return
	}
	c.enqueue(now, t.step.occurrence)
	if t.step.occurrence.left > 0 || len(w.occurrences) < w.count() {
		return
	}
	for _, o := range w.occurrences {
		if o.left > 0 {
			return
		}
	}
	c.logger.Info("workload completed", "workload", w.id, "ageMillis", now.Sub(w.acceptedAt).Milliseconds())
	c.end(now, w, messenger.WorkloadCompleted)
}

// acknowledge advances the ends of an executor that are durable.
func (c *Conductor) acknowledge(h *host, e *executor) {
	before := e.seen
	for len(e.pending) > 0 && e.pending[0].write <= c.durable {
		e.seen = e.pending[0].number
		e.pending = e.pending[1:]
	}
	if e.seen > before {
		orders := c.ordersFor(h)
		orders.Seen = append(orders.Seen, messenger.EndsSeen{Executor: e.id, Born: e.born, Through: e.seen})
	}
}

// hold counts a run at its executor.
func (c *Conductor) hold(r *run) {
	t := r.task
	t.current = r
	t.inherited = false
	t.step.waiting--
	t.highest = max(t.highest, r.ref.Run)
	c.runs[r.ref] = r
	r.executor.runs[r.ref] = r
	r.executor.commit(t.step, 1)
}

// release forgets a run that has ended; its task waits again unless it is done.
func (c *Conductor) release(r *run) {
	if c.runs[r.ref] != r {
		return
	}
	delete(c.runs, r.ref)
	delete(r.executor.runs, r.ref)
	r.executor.commit(r.task.step, -1)
	if r.task.current == r {
		r.task.current = nil
		r.task.step.waiting++
		c.queueStep(r.task.step)
	}
}

// commit adds the need of one task of a step, or takes it off.
func (e *executor) commit(s *step, sign int64) {
	cpu := s.need.ProcessorMillis()
	if s.spec.Fills {
		e.filling += sign * cpu
		cpu = 0
	}
	if s.spec.Lasting && !s.spec.Fills {
		e.serving += sign * cpu
	}
	e.committed = e.committed.Add(apricotwinch.NewResources(sign*cpu, sign*s.need.MemoryBytes(), sign*s.need.Accelerators()))
}

// Tick does what is due: it counts silent hosts as lost, begins occurrences and
// forgets what ended long ago. wall is the time of day.
func (c *Conductor) Tick(now, wall time.Time) {
	for name, h := range c.hosts {
		c.tickHost(now, name, h)
	}
	c.begin(now, wall)
	c.recordPresses(now)
	c.moveOne(now)
	for len(c.ended) > 0 && now.Sub(c.ended[0].endedAt) > c.config.Keep {
		w := c.ended[0]
		c.ended = c.ended[1:]
		delete(c.jobs, w.id)
		c.drop(prefixWork + w.id)
		c.drop(prefixProgress + w.id)
	}
}

func (c *Conductor) tickHost(now time.Time, name string, h *host) {
	for _, e := range h.ordered() {
		if now.After(e.leasedTo) {
			c.executorGone(e, "its leases are over")
		}
	}
	if len(h.executors) == 0 && now.Sub(h.heardAt) > c.config.ForgetHost {
		delete(c.hosts, name)
		c.drop(prefixHost + name)
	}
}

// settled reports whether every executor that the last owner used was listed or
// is provably idle.
func (c *Conductor) settled() bool {
	for _, h := range c.hosts {
		for _, e := range h.executors {
			if !e.listed {
				return false
			}
		}
	}
	return true
}

// HostOf returns the address and incarnation of a host's agent and its last
// ticket, in milliseconds of the agent's clock.
func (c *Conductor) HostOf(name string) (address, incarnation string, ticket int, ok bool) {
	h := c.hosts[name]
	if h == nil || !h.reported {
		return "", "", 0, false
	}
	return h.address, h.incarnation, h.ticket, true
}

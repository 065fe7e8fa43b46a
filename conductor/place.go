package conductor

import (
	"cmp"
	"slices"
	"time"

	"apricotwinch/appender"
	"apricotwinch/cataloger"
	"apricotwinch/messenger"
	"apricotwinch/monitor"
)

// lowestPriority is that of a workload whose queue is not configured any more.
const lowestPriority = 1 << 20

// queue returns the queue of a workload.
func (c *Conductor) queue(w *workload) (*cataloger.Queue, bool) {
	if c.catalog == nil {
		return nil, false
	}
	return c.catalog.Queue(w.queue)
}

// priorityOf returns the priority of a workload's queue; 0 comes first.
func (c *Conductor) priorityOf(w *workload) int {
	if q, ok := c.queue(w); ok {
		return q.Priority
	}
	return lowestPriority
}

func compareSteps(a, b *step) int {
	x, y := a.occurrence.work, b.occurrence.work
	return cmp.Or(
		cmp.Compare(class(a), class(b)),
		cmp.Compare(x.priority, y.priority),
		compareOutlooks(x.outlook, y.outlook),
		x.acceptedAt.Compare(y.acceptedAt),
		cmp.Compare(x.id, y.id),
		cmp.Compare(a.number, b.number),
	)
}

// class orders steps: tasks with room of their own before those that fill.
func class(s *step) int {
	if s.spec.Fills {
		return 1
	}
	return 0
}

// enqueue queues the steps of an occurrence whose turn has come.
func (c *Conductor) enqueue(now time.Time, o *occurrence) {
	for _, s := range o.steps {
		if s.waiting > 0 && s.ready() {
			if s.readyAt.IsZero() {
				s.readyAt = now
			}
			c.queueStep(s)
		}
	}
}

func (c *Conductor) queueStep(s *step) {
	if s.queued || s.occurrence.work.terminal() {
		return
	}
	s.queued = true
	at, _ := slices.BinarySearchFunc(c.steps, s, compareSteps)
	c.steps = slices.Insert(c.steps, at, s)
}

// begin grows the occurrences that are due.
func (c *Conductor) begin(now, wall time.Time) {
	c.scheduled = slices.DeleteFunc(c.scheduled, func(w *workload) bool {
		for !w.terminal() && len(w.occurrences) < w.count() && !wall.Before(w.due(len(w.occurrences))) {
			c.enqueue(now, w.grow())
			c.touch(w, false)
		}
		return w.terminal() || len(w.occurrences) >= w.count()
	})
}

// Schedule starts the tasks that wait and have room.
func (c *Conductor) Schedule(now time.Time) {
	if len(c.steps) == 0 {
		return
	}
	settled := c.settled()
	c.rankSteps(now)
	pool := c.usable()
	c.steps = slices.DeleteFunc(c.steps, func(s *step) bool {
		w := s.occurrence.work
		if w.terminal() || s.waiting == 0 {
			s.queued = false
			return true
		}
		if w.shown == "" {
			return false
		}
		if q, ok := c.queue(w); ok {
			candidates := pool[q.Service]
			if q.Advised {
				candidates = c.advised(now, s, q, candidates)
			}
			c.scheduleStep(now, s, candidates, settled)
		}
		s.queued = s.waiting > 0
		return !s.queued
	})
}

// usable returns the executors that may get work, by service.
func (c *Conductor) usable() map[string][]*executor {
	pool := map[string][]*executor{}
	for _, e := range c.allExecutors() {
		if e.host.reported && e.durable && e.reachable && !e.foreign && !e.draining && !c.out[e.dc] {
			pool[e.service] = append(pool[e.service], e)
		}
	}
	return pool
}

// scheduleStep starts what it can of one step.
func (c *Conductor) scheduleStep(now time.Time, s *step, pool []*executor, settled bool) {
	if s.spec.Gang {
		c.startGang(now, s, pool, settled)
		return
	}
	var spare map[string]int64
	if s.spec.Lasting && !s.spec.Fills {
		spare = c.spare(pool)
	}
	need := s.need.ProcessorMillis()
	for _, t := range s.tasks {
		if s.waiting == 0 {
			return
		}
		if t.done || t.current != nil || now.Before(t.notBefore) || t.inherited && !settled {
			continue
		}
		candidates := pool
		// A lasting task that ran before comes back into the reserve, too.
		leaves := spare != nil && t.highest == 0 && !t.inherited
		if leaves {
			candidates = slices.DeleteFunc(slices.Clone(pool), func(e *executor) bool { return spare[e.dc] < need })
		}
		e := c.choose(now, t, candidates)
		if e == nil {
			return
		}
		if spare != nil {
			spare[e.dc] -= need
		}
		c.start(now, t, e)
	}
}

// spare returns the processors, in thousandths, that lasting tasks may take of each data
// centre: the rest of what is free stays for others, in every one of them, as any may be
// taken out of service.
func (c *Conductor) spare(pool []*executor) map[string]int64 {
	capacity, free := map[string]int64{}, map[string]int64{}
	for _, e := range pool {
		capacity[e.dc] += e.capacity.ProcessorMillis()
		free[e.dc] += e.capacity.ProcessorMillis() - e.committed.ProcessorMillis()
	}
	for dc := range free {
		free[dc] -= int64(c.config.UrgentReserve * float64(capacity[dc]))
	}
	return free
}

// choose returns the executor for a task, or nil when none has room.
func (c *Conductor) choose(now time.Time, t *task, pool []*executor) *executor {
	var best *executor
	bestCost := 0.0
	for _, e := range pool {
		if !c.fits(t.step, e) {
			continue
		}
		if t.step.spec.Fills && (e.strained(now) || now.Sub(t.step.readyAt) < c.config.Patience && !c.suits(now, t.step.spec.Image, e)) {
			continue
		}
		if cost := c.cost(now, t, e); best == nil || cost < bestCost {
			best, bestCost = e, cost
		}
	}
	return best
}

// strained reports whether a tail is over its target on an executor while filling work
// there is not held back yet: more of it would keep the tail there.
func (e *executor) strained(now time.Time) bool {
	over, working := false, false
	for _, r := range e.runs {
		if h := r.headroom(); h > 0 && h < 1 {
			over = true
		}
		working = working || r.task.step.spec.Fills && !r.heldBack(now)
	}
	return over && working
}

// suits reports whether filling work of an image may start on an executor without
// harm to what serves there, and is worth it.
func (c *Conductor) suits(now time.Time, image string, e *executor) bool {
	return c.speed(image, e) >= c.config.LeastSpeed && c.pulse(now, image, e) >= c.config.LeastPulse
}

// fits reports whether an executor has room for one more task of a step.
func (c *Conductor) fits(s *step, e *executor) bool {
	need := s.need
	if s.spec.Label != "" && !e.labels[s.spec.Label] {
		return false
	}
	if s.spec.MaxPerExecutor > 0 && e.holds(s) >= s.spec.MaxPerExecutor {
		return false
	}
	if s.spec.Fills {
		if float64(e.filling-e.idle+need.ProcessorMillis()) > c.config.FillShare*c.unused(e) {
			return false
		}
		need = need.WithoutProcessors()
	}
	return e.committed.Add(need).Fits(e.capacity)
}

// holds returns the number of tasks of a step on the executor.
func (e *executor) holds(s *step) int {
	n := 0
	for _, r := range e.runs {
		if r.task.step == s {
			n++
		}
	}
	return n
}

// unused returns the processors, in thousandths, that tasks with room of their
// own are expected to leave.
func (c *Conductor) unused(e *executor) float64 {
	return float64(e.capacity.ProcessorMillis()-e.committed.ProcessorMillis()) + (1-c.config.ServingUse)*float64(e.serving)
}

// Costs of an executor, in shares of its processors.
const (
	costAvoided = 10
	costFailing = 100
	// costTroubled is the cost of an executor that hangs or is slow.
	costTroubled = 50
	costFar      = 2
	// costCapacity is the capacity, in thousandths of a processor, that lasting
	// tasks avoid as much as an idle executor: they are packed on small ones.
	costCapacity = 8000
	// costSameImage is what an executor that runs an image already saves.
	costSameImage = 0.4
	// costUnshared is the cost of room on an executor without lasting tasks: filling
	// work runs there at full speed.
	costUnshared = 2
	// speedWeight weighs the expected speed of filling work against an even share of
	// what is unused.
	speedWeight = 3
)

// serves reports whether an executor runs a lasting task of an image.
func (e *executor) serves(image string) bool {
	for _, r := range e.runs {
		if r.task.step.spec.Lasting && r.task.step.spec.Image == image {
			return true
		}
	}
	return false
}

// cost ranks executors with room; the lowest is chosen.
func (c *Conductor) cost(now time.Time, t *task, e *executor) float64 {
	capacity := float64(e.capacity.ProcessorMillis())
	cost := float64(e.committed.ProcessorMillis()) / capacity
	switch {
	case t.step.spec.Fills:
		cost = float64(e.filling-e.idle)/max(1, c.unused(e)) - speedWeight*c.speed(t.step.spec.Image, e) + e.openness
	case t.step.spec.Lasting:
		cost = capacity/costCapacity - cost
		if e.serving == 0 {
			cost += costUnshared
		}
		if t.step.spec.Image != "" && e.serves(t.step.spec.Image) {
			cost -= costSameImage
		}
	default:
		cost = -cost
		if e.serving == 0 {
			cost += costUnshared
		}
	}
	if t.avoid == e {
		cost += costAvoided
	}
	if e.streak >= c.config.FailureStreak && now.Sub(e.failedAt) < c.config.StreakLife {
		cost += costFailing
	}
	if c.monitor.Verdict(now, e.id) != monitor.Sound {
		cost += costTroubled
	}
	if t.step.spec.Rack != "" && t.step.spec.Rack != e.rack {
		cost += costFar
	}
	return cost
}

// next returns the number of the next run of a task.
func (t *task) next() int {
	if t.inherited {
		return t.highest + inheritedRuns
	}
	return t.highest + 1
}

// start orders the next run of a task.
func (c *Conductor) start(now time.Time, t *task, e *executor) {
	number := t.next()
	orders := c.ordersFor(e.host)
	r := &run{
		ref:      messenger.RunRef{Task: t.ref, Run: number},
		task:     t,
		executor: e,
		order:    orders.Number,
		phase:    messenger.RunStarting,
		since:    now,
		resumed:  t.checkpoint != "",
	}
	c.hold(r)
	order := r.described()
	order.Ticket, _ = t.step.valid(now, e)
	orders.Starts = append(orders.Starts, order)
	c.count("runs.ordered")
	if c.logger.IsInfo() {
		c.logger.Info("run ordered", "run", r.ref, "executor", e.id, "host", e.host.name, "order", r.order,
			"committed", e.committed.String(), "filling", e.filling, "resumed", t.checkpoint != "")
	}
}

// stop orders the end of a run, once.
func (c *Conductor) stop(r *run) {
	if r.stopping {
		return
	}
	r.stopping = true
	c.orderStop(r)
}

// stopRuns orders the end of whatever runs of a task.
func (c *Conductor) stopRuns(t *task) {
	if t.current != nil {
		c.stop(t.current)
	}
	if t.copied != nil {
		c.stop(t.copied)
	}
}

func (c *Conductor) orderStop(r *run) {
	orders := c.ordersFor(r.executor.host)
	orders.Stops = append(orders.Stops, messenger.RunStop{Run: r.ref, Executor: r.executor.id})
	c.count("runs.stopped")
}

// ordersFor returns the orders that wait for a host; a new one gets the next
// number.
func (c *Conductor) ordersFor(h *host) *messenger.Orders {
	orders := c.orders[h.name]
	if orders == nil {
		h.number++
		orders = &messenger.Orders{Epoch: int(c.epoch), Number: h.number, Incarnation: h.incarnation}
		c.orders[h.name] = orders
	}
	return orders
}

// drop forgets a key of the journal.
func (c *Conductor) drop(key string) {
	c.records = append(c.records, appender.NewKeyedRecord(key, nil))
}

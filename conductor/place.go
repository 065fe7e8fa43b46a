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

// lowestPriority is the priority of a workload whose queue is no longer configured.
const lowestPriority = 1 << 20

// queue returns the queue of a workload, if it is configured.
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
	x, y := a.occurrence.workload, b.occurrence.workload
	return cmp.Or(
		compareClasses(a, b),
		comparePlaces(class(a), x.places[class(a)], y.places[class(b)]),
		compareRanks(x.rank, y.rank),
		x.acceptedAt.Compare(y.acceptedAt),
		cmp.Compare(x.id, y.id),
		cmp.Compare(a.number, b.number),
	)
}

// compareClasses compares steps by class and priority alone.
func compareClasses(a, b *step) int {
	return cmp.Or(cmp.Compare(class(a), class(b)), cmp.Compare(a.occurrence.workload.priority, b.occurrence.workload.priority))
}

// classes is the number of classes of steps.
const classes = 2

// class returns 1 for best-effort steps, which come after all others, and 0 for others.
func class(s *step) int {
	if s.spec.Fills {
		return 1
	}
	return 0
}

// enqueue queues the steps of an occurrence that is due whose predecessors are done.
func (c *Conductor) enqueue(now time.Time, o *occurrence) {
	for _, s := range o.steps {
		if s.waiting > 0 && s.ready() {
			if s.readyAt.IsZero() {
				s.readyAt = now
				c.observeDemand(now, s)
			}
			c.queueStep(s)
			c.beginWaits(now, s)
		}
	}
}

// queueStep queues a step that has waiting tasks, unless its occurrence is not due yet. They are
// tried on all executors.
func (c *Conductor) queueStep(s *step) {
	s.blockedAt = time.Time{}
	if s.queued || !s.occurrence.due || s.occurrence.workload.terminal() {
		return
	}
	s.queued = true
	c.insertStep(s)
}

// insertStep adds a step to the queue at its position in the order.
func (c *Conductor) insertStep(s *step) {
	at, _ := slices.BinarySearchFunc(c.steps, s, compareSteps)
	c.steps = slices.Insert(c.steps, at, s)
}

// queueDueOccurrences queues the occurrences of scheduled workloads that are due.
func (c *Conductor) queueDueOccurrences(now, wall time.Time) {
	c.scheduled = slices.DeleteFunc(c.scheduled, func(w *workload) bool {
		for !w.terminal() && w.dueCount < w.occurrenceCount() && !wall.Before(w.dueAt(w.dueCount)) {
			o := w.occurrence(w.dueCount)
			o.due = true
			w.dueCount++
			c.enqueue(now, o)
			c.markDirty(w, false)
		}
		return w.terminal() || w.dueCount >= w.occurrenceCount()
	})
}

// overTarget reports whether a tail latency is over its target on an executor whose best-effort
// runs are not all throttled yet. More best-effort tasks would keep it over its target.
func (e *executor) overTarget(now time.Time) bool {
	over, unthrottled := false, false
	for _, r := range e.runs {
		if h := r.headroom(); h > 0 && h < 1 {
			over = true
		}
		unthrottled = unthrottled || r.task.step.spec.Fills && !r.background && !r.longThrottled(now)
	}
	return over && unthrottled
}

// suitable reports whether a best-effort task of an image is expected to run fast enough on an
// executor, and to leave the serving tasks there enough headroom.
func (c *Conductor) suitable(now time.Time, image string, e *executor) bool {
	return c.expectedSpeed(image, e) >= c.config.MinSpeed && c.startHeadroom(now, image, e) >= c.config.MinStartHeadroom
}

// fits reports whether an executor has room for one more task of a step and meets the step's
// constraints.
func (c *Conductor) fits(s *step, e *executor) bool { return c.misfit(s, e) == "" }

// misfit returns the reason, one of refusals, for which an executor has no room for one more task of a step
// or doesn't meet the step's constraints; empty if it fits.
func (c *Conductor) misfit(s *step, e *executor) string {
	need := s.need
	if s.spec.Fills {
		need = need.WithoutProcessors()
	}
	switch {
	case s.heldBack():
		return waitHeldBack
	case s.spec.Label != "" && !e.labels[s.spec.Label]:
		return waitLabel
	case s.spec.Fills && float64(e.bestEffort-e.bestEffortIdle+s.need.ProcessorMillis()) > c.config.BestEffortRatio*c.expectedUnused(e):
		return waitUnused
	case !e.allocated.Add(need).Fits(e.capacity):
		return waitNoRoom
	case s.spec.MaxPerExecutor > 0 && e.countTasks(s) >= s.spec.MaxPerExecutor:
		return waitMaxRuns
	}
	return ""
}

// allows reports whether an executor meets the constraints of a step besides room.
func (s *step) allows(e *executor) bool {
	if s.spec.Label != "" && !e.labels[s.spec.Label] {
		return false
	}
	return s.spec.MaxPerExecutor <= 0 || e.countTasks(s) < s.spec.MaxPerExecutor
}

// countTasks returns the number of runs of a step on the executor.
func (e *executor) countTasks(s *step) int {
	n := 0
	for _, r := range e.runs {
		if r.task.step == s {
			n++
		}
	}
	return n
}

// expectedUnused returns the processors, in thousandths, that tasks other than best-effort ones
// are expected to leave unused.
func (c *Conductor) expectedUnused(e *executor) float64 {
	return float64(e.capacity.ProcessorMillis()-e.allocated.ProcessorMillis()) + (1-c.config.LongRunningUtilization)*float64(e.longRunning)
}

// Weights in the cost of an executor; 1 is the cost of all its processors.
const (
	// costAvoided is the cost of the executor on which the last run of the task failed, or which the
	// task leaves for another one.
	costAvoided = 10
	// costRefused is the cost of an executor that has refused the task lately: a stalled or slow one at
	// least starts it.
	costRefused = 60
	// costFailing is the cost of an executor with a streak of failures.
	costFailing = 100
	// costUnhealthy is the cost of an executor that is stalled or slow, or leaves starts unanswered.
	costUnhealthy = 50
	// costOtherRack is the cost of an executor outside the rack that the step names.
	costOtherRack = 2
	// capacityScale is the capacity, in thousandths of a processor, that costs a long-running
	// task as much as a fully idle executor, so that these tasks are packed on small executors.
	capacityScale = 8000
	// savingSameImage is subtracted for an executor that already runs a long-running task of the
	// same image.
	savingSameImage = 0.4
	// costNoLongRunning is the cost of an executor without long-running tasks, which is left to
	// best-effort tasks, as they run at full speed there.
	costNoLongRunning = 2
	// speedWeight weighs the expected speed of best-effort tasks against an even use of the
	// processors that others leave.
	speedWeight = 3
)

// runsLongRunning reports whether an executor runs a long-running task of an image.
func (e *executor) runsLongRunning(image string) bool {
	for _, r := range e.runs {
		if r.task.step.spec.Lasting && r.task.step.spec.Image == image {
			return true
		}
	}
	return false
}

// cost returns the cost of a task on an executor; the executor of lowest cost is chosen.
func (c *Conductor) cost(now time.Time, t *task, e *executor) float64 {
	speed := 0.0
	if t.step.spec.Fills {
		speed = c.expectedSpeed(t.step.spec.Image, e)
	}
	return c.stepCost(now, t.step, e, speed) + c.avoidanceCost(now, t, e)
}

// stepCost returns the cost of an executor to a task of a step that doesn't avoid it. speed is the
// expected speed of a best-effort task there.
func (c *Conductor) stepCost(now time.Time, s *step, e *executor, speed float64) float64 {
	capacity := float64(e.capacity.ProcessorMillis())
	cost := float64(e.allocated.ProcessorMillis()) / capacity
	switch {
	case s.spec.Fills:
		cost = float64(e.bestEffort-e.bestEffortIdle)/max(1, c.expectedUnused(e)) - speedWeight*speed + e.meanSpeed
	case s.spec.Lasting:
		cost = capacity/capacityScale - cost
		if e.longRunning == 0 {
			cost += costNoLongRunning
		}
		if s.spec.Image != "" && e.runsLongRunning(s.spec.Image) {
			cost -= savingSameImage
		}
	default:
		cost = -cost
		if e.longRunning == 0 {
			cost += costNoLongRunning
		}
	}
	return cost + c.faultCost(now, s, e)
}

// faultCost returns the cost of the faults of an executor, and of its distance, to a task of a step.
func (c *Conductor) faultCost(now time.Time, s *step, e *executor) float64 {
	cost := 0.0
	if c.isFailing(now, e) {
		cost += costFailing
	}
	if c.monitor.Verdict(now, e.id) != monitor.Healthy || e.startsUnanswered(now) {
		cost += costUnhealthy
	}
	if s.spec.Rack != "" && s.spec.Rack != e.rack {
		cost += costOtherRack
	}
	return cost
}

// nextRun returns the number of the next run of a task. No earlier owner has used it.
func (c *Conductor) nextRun(t *task) int {
	if t.step.occurrence.workload.inherited {
		return max(t.highestRun, int(c.epoch)*runsPerEpoch) + 1
	}
	return t.highestRun + 1
}

// startRun has an executor start the next run of a task, once its placement is durable.
func (c *Conductor) startRun(now time.Time, t *task, e *executor) {
	c.startPlaced(now, t, e, c.place(t, e))
}

// startPlaced has an executor start the next run of a task once the append with the given number is durable.
func (c *Conductor) startPlaced(now time.Time, t *task, e *executor, write int64) {
	number := c.nextRun(t)
	r := &run{
		ref:          messenger.RunRef{Task: t.ref, Run: number},
		task:         t,
		executor:     e,
		ordersNumber: heldOrders,
		phase:        messenger.RunStarting,
		startedAt:    now,
		resumed:      t.checkpoint != "",
		background:   t.step.startsInBackground,
		repeats:      t.loss,
	}
	t.inherited = false
	t.step.occurrence.workload.lastStartAt = now
	c.recordUse(t.step, e)
	c.makeCurrent(now, r)
	if write > c.durable {
		c.heldStarts = append(c.heldStarts, heldStart{run: r, write: write})
	} else {
		c.sendStart(now, r)
	}
}

// stopRun orders a run to stop, unless that was ordered before.
func (c *Conductor) stopRun(now time.Time, r *run) {
	if r.stopping {
		return
	}
	r.stopping = true
	if r.ordersNumber == heldOrders {
		c.release(now, r, "stopped")
		return
	}
	c.orderStop(r)
}

// stopRuns stops the runs of a task.
func (c *Conductor) stopRuns(now time.Time, t *task) {
	if t.current != nil {
		c.stopRun(now, t.current)
	}
	if t.originalRun != nil {
		c.stopRun(now, t.originalRun)
	}
}

func (c *Conductor) orderStop(r *run) {
	orders := c.ordersFor(r.executor.host)
	r.stopNumber = orders.Number
	orders.Stops = append(orders.Stops, messenger.StopOrder{Run: r.ref, Executor: r.executor.id})
	c.count("runs.stopped")
}

// ordersFor returns the pending orders for a host. If there are none, it creates them with the
// next number.
func (c *Conductor) ordersFor(h *host) *messenger.Orders {
	orders := c.orders[h.name]
	if orders == nil {
		c.lastOrders++
		orders = &messenger.Orders{Epoch: int(c.epoch), Number: c.lastOrders, Incarnation: h.incarnation}
		c.orders[h.name] = orders
	}
	return orders
}

// deleteRecord deletes the record with the given key from the journal.
func (c *Conductor) deleteRecord(key string) {
	c.records = append(c.records, appender.NewKeyedRecord(key, nil))
}

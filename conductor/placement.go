package conductor

import (
	"cmp"
	"encoding/json"
	"maps"
	"math"
	"slices"
	"time"

	"apricotwinch"
	"apricotwinch/appender"
	"apricotwinch/messenger"
)

// placement holds the ids, in order, of the executors on which a task may run. It is durable before
// the task starts on any other one, so that a successor waits for no other executor, and starts a
// task without a placement at once. An id stands for all incarnations, as a start may reach a later one.
type placement struct {
	executors []string
	// write is the number of the append that must be durable before the task starts there; 0 for
	// none.
	write int64
	// early is whether a version before messenger.Placement recorded it.
	early bool
}

// heldStart is a start that is sent once the placement of its task, or those of its gang, are durable.
type heldStart struct {
	run   *run
	write int64
}

// heldOrders is the number of orders of a run whose start is held. The agent hasn't processed it.
const heldOrders = math.MaxInt

// restartsAlways reports whether a task starts again after an end of any kind, so that ends that
// aren't listed yet don't matter.
func (t *task) restartsAlways() bool { return t.step.spec.Lasting && !t.step.spec.Gang }

// restorePlacements drops the placements of inherited tasks unless the last owner recorded them, too: an
// owner that doesn't may have moved a task since its placement was written. Owners of versions before
// recorded no placements but those of tasks that always restart, and none before a first start. They don't
// read what this version recorded, so that it only counts if allHeld is set: no owner of theirs came since. It
// queues the record of what this owner's journal says, in one append with the progress of the tasks whose
// placements are dropped.
func (c *Conductor) restorePlacements(last messenger.PlacementsRecord, allHeld bool) {
	recorded := c.epoch == 1 || int64(last.Epoch) == c.epoch-1
	c.placementsComplete = c.epoch == 1 || recorded && last.Complete
	for _, id := range slices.Sorted(maps.Keys(c.workloads)) {
		w := c.workloads[id]
		if w.dropPlacements(func(t *task) bool {
			counts := t.restartsAlways() && (allHeld || t.placement.early)
			return !recorded || !c.placementsComplete && !counts
		}) {
			c.markDirty(w, false)
		}
	}
	c.recordPlacements()
}

// recordPlacements queues the record of what the journal says of where tasks may run.
func (c *Conductor) recordPlacements() {
	record := messenger.PlacementsRecord{Epoch: int(c.epoch), Suspends: true, Complete: c.placementsComplete, BoundedSince: int(c.boundedSince)}
	c.records = append(c.records, encode(keyPlacements, record))
}

// lastPlacementsRecord returns the record of the last owner that recorded placements; the zero value if
// there is none. The error is Invalid for a record that can't be decoded.
func lastPlacementsRecord(records []appender.KeyedRecord) (messenger.PlacementsRecord, error) {
	for _, r := range records {
		if r.Key() != keyPlacements {
			continue
		}
		var record messenger.PlacementsRecord
		if err := json.Unmarshal(r.Value(), &record); err != nil {
			return messenger.PlacementsRecord{}, apricotwinch.Errorf(apricotwinch.Invalid, "record %s: %w", r.Key(), err)
		}
		return record, nil
	}
	return messenger.PlacementsRecord{}, nil
}

// dropPlacements removes the placements of the tasks of a workload that match and reports whether there
// were any.
func (w *workload) dropPlacements(match func(*task) bool) bool {
	dropped := false
	for _, o := range w.occurrences {
		for _, t := range o.tasks() {
			if t.placement != nil && match(t) {
				t.placement = nil
				dropped = true
			}
		}
	}
	return dropped
}

// place adds an executor to the placement of a task that is about to start there. It returns the
// number of the append that must be durable first.
func (c *Conductor) place(t *task, e *executor) int64 {
	if t.placement != nil && t.placement.contains(e) {
		return t.placement.write
	}
	if t.loss == nil {
		t.loss = c.inheritedLoss(t)
	}
	next := &placement{executors: []string{e.id}, write: c.sequence + 1}
	w := t.step.occurrence.workload
	switch {
	case t.placement != nil:
		for _, id := range t.placement.executors {
			next.addRunning(t, c.executorsWithID(id))
		}
	case w.inherited && !c.placementsComplete:
		next.addRunning(t, c.allExecutors())
	}
	c.markDirty(w, true)
	t.placement = next
	return next.write
}

// addRunning adds the executors that run a task.
func (p *placement) addRunning(t *task, executors []*executor) {
	for _, e := range executors {
		for _, r := range e.runs {
			if r.task == t {
				p.add(e)
			}
		}
	}
}

// placeFound adds an executor to the placement of a task of which a run was found there.
func (c *Conductor) placeFound(t *task, e *executor) {
	switch {
	case t.placement == nil && !c.placementsComplete:
		return // Runs of the task that are not found yet may be anywhere.
	case t.placement == nil:
		t.placement = &placement{}
	case t.placement.contains(e):
		return
	}
	t.placement.add(e)
	t.placement.write = c.sequence + 1
	c.markDirty(t.step.occurrence.workload, true)
}

func (p *placement) contains(e *executor) bool { return slices.Contains(p.executors, e.id) }

func (p *placement) add(e *executor) {
	if at, found := slices.BinarySearch(p.executors, e.id); !found {
		p.executors = slices.Insert(slices.Clone(p.executors), at, e.id)
	}
}

// sendStart orders an executor to start a run.
func (c *Conductor) sendStart(now time.Time, r *run) {
	e := r.executor
	order := r.startOrder()
	order.Ticket, _ = r.task.step.validTicket(now, e)
	orders := c.ordersFor(e.host)
	r.startedAt = now
	r.task.step.occurrence.workload.lastStartAt = now
	r.ordersNumber, r.agent = orders.Number, orders.Incarnation
	e.host.lastStart = orders.Number
	orders.Starts = append(orders.Starts, order)
	c.count("runs.ordered")
	c.recordRepeat(now, r)
	if c.logger.IsInfo() {
		c.logger.Info("run ordered", "run", r.ref, "executor", e.id, "born", e.incarnation, "host", e.host.name, "order", r.ordersNumber,
			"committed", e.allocated.String(), "filling", e.bestEffort, "resumed", r.resumed)
	}
}

// sendHeldStarts sends the starts whose placements have become durable. The task of one that can't be
// sent any more waits again, and with it those of its gang, which would wait for it on their executors.
// Between two appends it does nothing unless a run of a held start was released.
func (c *Conductor) sendHeldStarts(now time.Time) {
	if c.heldCheckedThrough == c.durable && !c.heldReleased {
		return
	}
	var brokenGangs []*step
	for _, s := range c.heldStarts {
		gang := s.run.task.step
		if !gang.spec.Gang || c.runs[s.run.ref] != s.run || slices.Contains(brokenGangs, gang) {
			continue
		}
		// A run of the gang that has been released since, as its executor is gone, is held no more.
		if gang.waiting > 0 || s.write <= c.durable && c.obstacle(now, s.run) != "" {
			brokenGangs = append(brokenGangs, gang)
		}
	}
	c.heldStarts = slices.DeleteFunc(c.heldStarts, func(s heldStart) bool {
		if c.runs[s.run.ref] != s.run {
			return true
		}
		broken := slices.Contains(brokenGangs, s.run.task.step)
		if s.write > c.durable && !broken {
			return false
		}
		obstacle := c.obstacle(now, s.run)
		if obstacle == "" && broken {
			obstacle = "gang incomplete"
		}
		if obstacle != "" {
			c.release(now, s.run, obstacle)
			return true
		}
		c.sendStart(now, s.run)
		return true
	})
	c.heldCheckedThrough, c.heldReleased = c.durable, false
}

// obstacle returns why the start of a run can't be sent any more; empty if it can.
func (c *Conductor) obstacle(now time.Time, r *run) string {
	if !c.usable(r.executor) {
		return "executor not usable"
	}
	q, ok := c.queue(r.task.step.occurrence.workload)
	if !ok {
		return "queue not configured"
	}
	if _, valid := r.task.step.validTicket(now, r.executor); q.Advised && !valid {
		return "ticket expired"
	}
	return ""
}

// awaitsExecutors reports whether an executor that the last owner used may still run the task, or
// have an end of it that matters.
func (c *Conductor) awaitsExecutors(t *task) bool {
	switch {
	case !t.inherited:
		return false
	case t.placement != nil:
		return slices.ContainsFunc(t.placement.executors, func(id string) bool { return c.mayHide(t, id) })
	case c.placementsComplete:
		return false
	case t.restartsAlways():
		return !c.runsReconciled
	}
	return !c.reconciled
}

// mayHide reports whether an executor may have runs of a task, or ends of it that matter, that this owner
// doesn't know. An executor that is gone from the journal had ended.
func (c *Conductor) mayHide(t *task, id string) bool {
	return slices.ContainsFunc(c.executorsWithID(id), func(e *executor) bool { return !e.showsAll(t) })
}

// showsAll reports whether the runs and ends of a task on an executor that matter have been listed.
func (e *executor) showsAll(t *task) bool { return e.listed || t.restartsAlways() && e.runsListed }

// executorsWithID returns the executors with an id, which hosts may share.
func (c *Conductor) executorsWithID(id string) []*executor {
	all := c.allExecutors()
	first, _ := slices.BinarySearchFunc(all, id, func(e *executor, id string) int { return cmp.Compare(e.id, id) })
	end := first
	for end < len(all) && all[end].id == id {
		end++
	}
	return all[first:end]
}

// updateReconciled updates whether every executor that the last owner used is listed or provably
// idle. Both stay true, since executors that join later are listed when they join.
func (c *Conductor) updateReconciled() {
	if c.reconciled {
		return
	}
	listed, runsListed := true, true
	for _, h := range c.hosts {
		for _, e := range h.executors {
			listed, runsListed = listed && e.listed, runsListed && e.runsListed
		}
		if !listed && !runsListed {
			return
		}
	}
	if runsListed && !c.runsReconciled {
		c.runsReconciled = true
		c.placeAdopted((*task).restartsAlways)
	}
	if !listed {
		return
	}
	c.reconciled = true
	if !c.placementsComplete {
		c.placeAdopted(func(*task) bool { return true })
		c.placementsComplete = true
		c.recordPlacements()
	}
}

// placeAdopted places the tasks that match and were adopted without a durable placement, now that all
// their runs are known.
func (c *Conductor) placeAdopted(match func(*task) bool) {
	adopted := map[*task]*placement{}
	var tasks []*task
	for _, e := range c.allExecutors() {
		for _, r := range e.runs {
			t := r.task
			if !t.inherited || !match(t) || t.placement != nil {
				continue
			}
			if adopted[t] == nil {
				adopted[t] = &placement{}
				tasks = append(tasks, t)
			}
			adopted[t].add(e)
		}
	}
	slices.SortFunc(tasks, compareTasks)
	for _, t := range tasks {
		t.placement = adopted[t]
		c.markDirty(t.step.occurrence.workload, false)
	}
}

func compareTasks(a, b *task) int {
	return cmp.Or(
		cmp.Compare(a.ref.Workload, b.ref.Workload),
		cmp.Compare(a.ref.Occurrence, b.ref.Occurrence),
		cmp.Compare(a.ref.Step, b.ref.Step),
		cmp.Compare(a.ref.Index, b.ref.Index),
	)
}

package conductor

import (
	"fmt"
	"slices"
	"time"

	"apricotwinch"
	"apricotwinch/backfiller"
)

// Parameters of the reservations of room.
const (
	// lateQuantile is the quantile of durations at which a task that starts beside a reservation must end in
	// time.
	lateQuantile = 0.9
	// maxReservationLines bounds the lines about reservations in a linePeriod.
	maxReservationLines = 8
)

// gaugeReservations is the name of the gauge of the reservations that are held.
const gaugeReservations = "reservations.held"

// Reasons for which a reservation lapses.
const (
	lapseOverdue    = "overdue"
	lapseEnded      = "workload ended"
	lapsePlaced     = "placed elsewhere"
	lapseExecutor   = "executor not usable"
	lapseNotAllowed = "not allowed"
	lapseReplaced   = "replaced"
)

// backfill holds the reservations of room for steps that fit on no executor.
type backfill struct {
	planner *backfiller.Backfiller
	held    []*reservation
	search  roomSearch
	lines   lineBudget
}

// reservation is the room that is reserved for a step on an executor.
type reservation struct {
	backfiller.Reservation
	step     *step
	executor *executor
	// checkedAt is when the runs beside it were last looked at.
	checkedAt time.Time
}

func newBackfill() backfill {
	return backfill{planner: backfiller.New(backfiller.DefaultConfig())}
}

// checkReservations lets reservations lapse that are not needed or may not be used any more, and updates when
// runs beside the others are expected to end. It goes before a pass looks at what has changed.
func (c *Conductor) checkReservations(now time.Time) {
	var reserved []backfiller.Executor
	for _, r := range slices.Clone(c.backfill.held) {
		due := c.changedExecutors[r.executor] || now.Sub(r.checkedAt) >= searchPeriod
		if reason := c.lapseReason(now, r, due); reason != "" {
			c.lapse(now, r, reason)
			continue
		}
		if due {
			r.checkedAt = now
			reserved = append(reserved, c.describeExecutor(now, r.executor))
		}
	}
	c.backfill.planner.Begin(reserved)
}

// lapseReason returns why a reservation lapses; empty if it is kept. The constraints of the step and its tasks are
// looked at only if that is due.
func (c *Conductor) lapseReason(now time.Time, r *reservation, due bool) string {
	switch s, e := r.step, r.executor; {
	case s.occurrence.workload.terminal():
		return lapseEnded
	case s.waiting == 0:
		return lapsePlaced
	case e.host.executors[e.id] != e || !c.usable(e):
		return lapseExecutor
	case now.After(r.LapsesAt):
		return lapseOverdue
	case due && !(c.mayUse(now, s, e) && slices.ContainsFunc(s.tasks, func(t *task) bool { return c.mayStart(now, t) })):
		return lapseNotAllowed
	}
	return ""
}

// mayUse reports whether the constraints of a step, besides room, allow it on an executor.
func (c *Conductor) mayUse(now time.Time, s *step, e *executor) bool {
	q, ok := c.queue(s.occurrence.workload)
	if !ok || !s.allows(e) {
		return false
	}
	_, valid := s.validTicket(now, e)
	return !q.Advised || valid
}

// lapse ends a reservation that wasn't used.
func (c *Conductor) lapse(now time.Time, r *reservation, reason string) {
	if reason == lapseOverdue {
		r.step.lapses++
		r.step.blockedAt = time.Time{}
	}
	c.endReservation(r)
	c.count(waitGauge("reservations.lapsed.", reason))
	if c.mayLogReservation(now) {
		c.logger.Info("reservation lapsed", "step", r.Step, "executor", r.executor.id, "host", r.executor.host.name, "reason", reason,
			"heldMillis", now.Sub(r.MadeAt).Milliseconds(), "overdueMillis", now.Sub(r.At).Milliseconds(), "need", r.Need.String(),
			"free", r.executor.free().String(), "reportAgeMillis", now.Sub(r.executor.reportedAt).Milliseconds())
	}
}

// recordUse ends the reservation of a step that starts a task on the executor of it, and the hold on room there.
func (c *Conductor) recordUse(s *step, e *executor) {
	if e.held.step == s {
		e.held, s.heldOn = heldRoom{}, nil
	}
	if r := s.reservation; r != nil && r.executor == e {
		s.lapses = 0
		s.blockedAt = time.Time{} // Room is looked for at once for the next of its tasks.
		c.count("reservations.used")
		c.endReservation(r)
	}
}

// endReservation gives the room of a reservation back: steps that wait are tried on the executor again.
func (c *Conductor) endReservation(r *reservation) {
	c.backfill.planner.Release(r.Step)
	r.step.reservation, r.executor.reservation = nil, nil
	c.backfill.held = slices.DeleteFunc(c.backfill.held, func(other *reservation) bool { return other == r })
	if r.executor.host.executors[r.executor.id] == r.executor {
		c.changedExecutors[r.executor] = true
	}
	c.setGauge(gaugeReservations, int64(len(c.backfill.held)))
}

// respectsReservation reports whether a task of a step may start on an executor as far as the room is concerned that
// is reserved there for another one. Steps of an earlier class or priority take it, and so do those of the same
// that were ready before: a step is then passed over only by a bounded number of others. Of one queue, callers of
// another data centre whose turn comes first take it, too, so that a reservation doesn't undo their share.
func (c *Conductor) respectsReservation(now time.Time, s *step, e *executor) bool {
	r := e.reservation
	if r == nil || r.step == s {
		return true
	}
	order := compareClasses(s, r.step)
	if order < 0 || order == 0 && (s.readyAt.Before(r.step.readyAt) || c.ordering.active && goesFirstByShare(s, r.step)) {
		return true
	}
	need, end := s.need, time.Time{}
	switch {
	case s.spec.Fills:
		need = need.WithoutProcessors() // It may be throttled, so that its end isn't known.
	case !s.spec.Lasting:
		end = now.Add(c.taskDuration(s, lateQuantile))
	}
	return c.backfill.planner.Admits(r.Executor, e.free(), need, end)
}

// goesFirstByShare reports whether the turn of a step comes before that of another one of the same queue whose
// callers are in another data centre.
func goesFirstByShare(s, other *step) bool {
	a, b := s.occurrence.workload, other.occurrence.workload
	return a.queue == b.queue && a.dataCentre != b.dataCentre && compareSteps(s, other) < 0
}

// reservedRoom returns the room, by data centre of a service, that is reserved.
func (c *Conductor) reservedRoom(service string) map[string]apricotwinch.Resources {
	room := map[string]apricotwinch.Resources{}
	for _, r := range c.backfill.held {
		if e := r.executor; e.service == service {
			room[e.dc] = room[e.dc].Add(r.Need)
		}
	}
	return room
}

// replaceable returns the reservation that ends if another step gets one, as there can be no more among a number of
// executors: the last one in order of a step whose class or priority comes after. It returns nil if there is none, or
// there can be more.
func (c *Conductor) replaceable(s *step, executors int) *reservation {
	if !c.backfill.planner.Full(executors) {
		return nil
	}
	var last *reservation
	for _, r := range c.backfill.held {
		if compareClasses(s, r.step) < 0 && (last == nil || compareClasses(last.step, r.step) <= 0) {
			last = r
		}
	}
	return last
}

// hold records a reservation for a task that was made.
func (p *schedulingPass) hold(r *reservation, t *task) {
	c, s, e := p.conductor, r.step, r.executor
	s.reservation, e.reservation = r, r
	c.backfill.held = append(c.backfill.held, r)
	if free := p.unreserved[e.service]; free != nil {
		free[e.dc] = free[e.dc].Sub(r.Need)
	}
	c.count("reservations.made")
	c.setGauge(gaugeReservations, int64(len(c.backfill.held)))
	if c.mayLogReservation(p.now) {
		c.logger.Info("reservation made", "task", t.ref, "executor", e.id, "host", e.host.name, "need", r.Need.String(), "free", e.free().String(),
			"inMillis", r.At.Sub(p.now).Milliseconds(), "awaited", r.Awaited, "errorMillis", r.LapsesAt.Sub(r.At).Milliseconds(), "lapses", s.lapses,
			"waitMillis", p.now.Sub(s.readyAt).Milliseconds(), "held", len(c.backfill.held), "reportAgeMillis", p.now.Sub(e.reportedAt).Milliseconds())
	}
}

// mayLogReservation reports whether one more line about a reservation may be logged.
func (c *Conductor) mayLogReservation(now time.Time) bool {
	_, ok := c.backfill.lines.take(now, maxReservationLines)
	return ok
}

// stepName returns the name of a step for the planner.
func stepName(s *step) string {
	return fmt.Sprintf("%s.%d.%d", s.occurrence.workload.id, s.tasks[0].ref.Occurrence, s.number)
}

// free returns the resources of an executor that are not allocated.
func (e *executor) free() apricotwinch.Resources { return e.capacity.Sub(e.allocated) }

package custodian

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"apricotwinch/messenger"
)

// HandleAnnouncement takes the state that an executor announces and reports whether a report to
// the owner is due at once.
func (c *Custodian) HandleAnnouncement(now time.Time, a Announcement) bool {
	c.updatedAt = now
	e := c.executors[a.ID]
	if c.hasEnded(a.ID, a.StartedMillis) {
		return false
	}
	if e != nil && (a.StartedMillis < e.StartedMillis || a.StartedMillis == e.StartedMillis && a.Sequence <= e.Sequence) {
		return false
	}
	if e != nil && a.StartedMillis > e.StartedMillis {
		if c.answersNow(now, e) {
			return false
		}
		c.dropExecutor(now, e, "reborn")
		e = nil
	}
	if e == nil {
		if !c.replaceAtAddress(now, a) {
			return false
		}
		e = &executor{Announcement: a, lastContactAt: now, runsListedAt: now, runs: map[messenger.RunRef]*run{}}
		e.token = c.nextToken(now, e.ID)
		c.executors[a.ID] = e
		c.logger.Info("executor announced", "executor", a.ID, "born", a.StartedMillis, "address", a.Address, "draining", a.Draining)
	}
	e.announcedAt = now
	changed := e.Draining != a.Draining || !e.confirmed
	e.Announcement = a
	e.updateClock(now, a.Clock)
	if a.Draining {
		e.drainDeadline = now.Add(a.Remaining)
	}
	c.wholeReportDue = c.wholeReportDue || changed
	return changed
}

// nextToken returns a fencing token greater than all that this agent has used under the id of an executor. It is also
// greater than those of earlier agents unless the time of day went back between their starts: an agent
// counts its time from the time of day at its start. Executors' clocks don't serve, as each incarnation's starts
// anywhere.
func (c *Custodian) nextToken(now time.Time, id string) int64 {
	millis := now.UnixMilli()
	token := max(c.lastTokens[id]+1, millis)
	maps.DeleteFunc(c.lastTokens, func(_ string, last int64) bool { return last < millis })
	c.lastTokens[id] = token
	return token
}

// answersNow reports whether an executor has just answered. No announcement replaces it then, as
// another writer may have sent that: if the executor has ended, its next answer, or the lack of
// one, shows it.
func (c *Custodian) answersNow(now time.Time, e *executor) bool {
	return e.confirmed && now.Sub(e.lastContactAt) < c.config.SilenceTimeout
}

// replaceAtAddress drops the older incarnations at the address of a new one, and reports
// whether the new one is the newest.
func (c *Custodian) replaceAtAddress(now time.Time, a Announcement) bool {
	for _, e := range c.executors {
		if e.Address != a.Address {
			continue
		}
		if e.StartedMillis > a.StartedMillis || c.answersNow(now, e) {
			return false
		}
		c.dropExecutor(now, e, "replaced at its address")
	}
	return true
}

// MarkDraining records that an executor is about to end.
func (c *Custodian) MarkDraining(id string) {
	if e := c.executors[id]; e != nil {
		e.Draining = true
		c.wholeReportDue = true
	}
}

// endedTTL is how long an executor's end is reported. The end of an incarnation that another
// one under the same id follows is reported together with the runs of the next one: a call for
// the first may have reached the second.
const endedTTL = 30 * time.Second

// hasEnded reports whether an incarnation of an executor is known to have ended.
func (c *Custodian) hasEnded(id string, startedMillis int) bool {
	return c.findEnded(id, startedMillis) != nil
}

// forgetUnconfirmed removes executors that never answered and are announced no more. Another
// writer's announcement could otherwise stand for the executor whose id or address it names.
func (c *Custodian) forgetUnconfirmed(now time.Time) {
	for id, e := range c.executors {
		if !e.confirmed && e.leaseUntil.IsZero() && len(e.runs) == 0 && now.Sub(e.announcedAt) > c.config.AnnouncementTTL {
			c.logger.Info("executor forgotten", "executor", id, "born", e.StartedMillis, "address", e.Address)
			delete(c.executors, id)
		}
	}
}

func (c *Custodian) dropExecutor(now time.Time, e *executor, reason string) {
	underWay := c.addEnded(now, e)
	c.logger.Info("executor dropped", "executor", e.ID, "born", e.StartedMillis, "token", e.token, "clockMillis", e.clock.Milliseconds(), "runs", len(e.runs),
		"inDoubt", e.countInDoubt(), "underWay", underWay, "reason", reason)
	delete(c.executors, e.ID)
}

// Executors returns the ids of the known executors, sorted.
func (c *Custodian) Executors() []string {
	ids := make([]string, 0, len(c.executors))
	for id := range c.executors {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// handleRestart replaces an executor by the new incarnation that answers under its id.
func (c *Custodian) handleRestart(now time.Time, e *executor, answer Answer) {
	c.dropExecutor(now, e, "another incarnation answers")
	next := e.Announcement
	next.StartedMillis, next.Sequence, next.Clock, next.Draining = answer.StartedMillis, 0, answer.Clock, false
	c.HandleAnnouncement(now, next)
}

// confirmedExecutorAt returns the executor that has answered at an address, or nil. Earlier
// incarnations there have ended, whatever the times of their starts: a clock may have jumped
// between them.
func (c *Custodian) confirmedExecutorAt(address string) *executor {
	for _, e := range c.executors {
		if e.Address == address && e.confirmed {
			return e
		}
	}
	return nil
}

// restoreExecutor adds an executor that the owner knows and this agent does not know yet. Another incarnation that has
// answered this agent is a later one than those that the owner knows from earlier agents.
func (c *Custodian) restoreExecutor(now time.Time, record messenger.ExecutorRecord) {
	known := c.executors[record.Id]
	if c.hasEnded(record.Id, record.Born) || known != nil && (!known.confirmed || known.StartedMillis == record.Born) {
		return
	}
	if other := cmp.Or(known, c.confirmedExecutorAt(record.Address)); other != nil {
		c.logger.Info("executor ended", "executor", record.Id, "born", record.Born, "reason", "another executor answers under its id or at its address",
			"other", other.ID, "otherBorn", other.StartedMillis)
		c.ended = append(c.ended, &endedIncarnation{
			ExecutorIncarnation: messenger.ExecutorIncarnation{Id: record.Id, Born: record.Born}, endedAt: now, record: record,
		})
		return
	}
	c.HandleAnnouncement(now, announcementOf(record))
}

// announcementOf returns the announcement that a record of an executor stands for.
func announcementOf(record messenger.ExecutorRecord) Announcement {
	return Announcement{
		ID:            record.Id,
		StartedMillis: record.Born,
		Service:       record.Service,
		Address:       record.Address,
		DataCentre:    record.DataCentre,
		Capacity:      record.Capacity.Value(),
		Labels:        record.Labels,
	}
}

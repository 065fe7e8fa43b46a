package custodian

import (
	"slices"
	"time"

	"apricotwinch/messenger"
)

// Announced takes what an executor tells of itself and reports whether that was
// news to the owner.
func (c *Custodian) Announced(now time.Time, a Announcement) bool {
	c.latest = now
	e := c.executors[a.ID]
	if c.over(a.ID, a.Born) {
		return false
	}
	if e != nil && (a.Born < e.Born || a.Born == e.Born && a.Sequence <= e.Sequence) {
		return false
	}
	if e != nil && a.Born > e.Born {
		c.drop(e, "reborn")
		e = nil
	}
	if e == nil {
		if !c.replaces(a) {
			return false
		}
		e = &executor{Announcement: a, heardAt: now, runs: map[messenger.RunRef]*run{}, token: c.nextToken(a.Clock)}
		c.executors[a.ID] = e
		c.logger.Info("executor announced", "executor", a.ID, "born", a.Born, "address", a.Address, "draining", a.Draining)
	}
	news := e.Draining != a.Draining || !e.held
	e.Announcement = a
	e.takeClock(now, a.Clock)
	if a.Draining {
		e.leavesAt = now.Add(a.Remaining)
	}
	return news
}

// nextToken returns a token above all that this agent has used, and, as an
// executor's clock only rises, above those of earlier agents in the same life.
func (c *Custodian) nextToken(clock time.Duration) int64 {
	c.token = max(c.token+1, clock.Milliseconds())
	return c.token
}

// replaces drops the older lives at the address of a new one, and reports whether
// it is the newest.
func (c *Custodian) replaces(a Announcement) bool {
	for _, e := range c.executors {
		if e.Address != a.Address {
			continue
		}
		if e.Born > a.Born {
			return false
		}
		c.drop(e, "replaced at its address")
	}
	return true
}

// Left takes that an executor is about to end.
func (c *Custodian) Left(id string) {
	if e := c.executors[id]; e != nil {
		e.Draining = true
	}
}

// goneLife is how long an executor's end is reported. A life that another one
// under the same id follows is reported together with what the next one runs: an
// order for the one may have reached the other.
const goneLife = 30 * time.Second

// life is one life of an executor that is over.
type life struct {
	messenger.ExecutorLife
	at time.Time
}

// over reports whether a life of an executor is known to be over.
func (c *Custodian) over(id string, born int) bool {
	return slices.ContainsFunc(c.gone, func(l life) bool { return l.Id == id && l.Born == born })
}

func (c *Custodian) drop(e *executor, reason string) {
	c.gone = append(c.gone, life{ExecutorLife: messenger.ExecutorLife{Id: e.ID, Born: e.Born}, at: c.latest})
	c.logger.Info("executor dropped", "executor", e.ID, "born", e.Born, "runs", len(e.runs), "reason", reason)
	delete(c.executors, e.ID)
}

// Executors returns the ids of the executors, in order.
func (c *Custodian) Executors() []string {
	ids := make([]string, 0, len(c.executors))
	for id := range c.executors {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// reborn takes that an executor answers in another life under its id.
func (c *Custodian) reborn(now time.Time, e *executor, answer Answer) {
	c.drop(e, "another life answers")
	next := e.Announcement
	next.Born, next.Sequence, next.Clock, next.Draining = answer.Born, 0, answer.Clock, false
	c.Announced(now, next)
}

// answering returns the executor that has answered at an address, or nil. What ran
// there before is over, whatever the times of their starts say: a clock may have
// jumped between them.
func (c *Custodian) answering(address string) *executor {
	for _, e := range c.executors {
		if e.Address == address && e.held {
			return e
		}
	}
	return nil
}

// recall takes an executor that the owner knows and this agent does not yet.
func (c *Custodian) recall(now time.Time, record messenger.ExecutorRecord) {
	if c.executors[record.Id] != nil || c.over(record.Id, record.Born) {
		return
	}
	if other := c.answering(record.Address); other != nil {
		c.logger.Info("executor over", "executor", record.Id, "born", record.Born, "reason", "another one answers at its address", "other", other.ID)
		c.gone = append(c.gone, life{ExecutorLife: messenger.ExecutorLife{Id: record.Id, Born: record.Born}, at: now})
		return
	}
	c.Announced(now, Announcement{
		ID:         record.Id,
		Born:       record.Born,
		Service:    record.Service,
		Address:    record.Address,
		DataCentre: record.DataCentre,
		Capacity:   record.Capacity.Value(),
		Labels:     record.Labels,
	})
}

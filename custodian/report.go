package custodian

import (
	"slices"
	"time"

	"apricotwinch/messenger"
)

// Report returns what the owner is told.
func (c *Custodian) Report(now time.Time, whole bool) messenger.Report {
	report := messenger.Report{
		Host:              c.host,
		Address:           c.address,
		Incarnation:       c.incarnation,
		TicketMillis:      int(now.Sub(c.origin).Milliseconds()),
		Epoch:             c.epoch,
		Orders:            c.taken,
		OwnerSilentMillis: int(now.Sub(c.ownerAt).Milliseconds()),
	}
	if !whole {
		return report
	}
	report.Whole = true
	report.Refusals = slices.Clone(c.refusals)
	report.RefusalsThrough = c.refused
	c.gone = slices.DeleteFunc(c.gone, func(l life) bool { return now.Sub(l.at) > goneLife })
	for _, l := range c.gone {
		if next := c.executors[l.Id]; next == nil || next.held {
			report.Gone = append(report.Gone, l.ExecutorLife)
		}
	}
	for _, id := range c.Executors() {
		e := c.executors[id]
		if !e.held {
			continue
		}
		if e.listedAt.IsZero() {
			e.listedAt = now
		}
		report.Executors = append(report.Executors, c.state(now, e))
	}
	return report
}

func (c *Custodian) state(now time.Time, e *executor) messenger.ExecutorState {
	silent := now.Sub(e.heardAt)
	state := messenger.ExecutorState{
		Executor: messenger.ExecutorRecord{
			Id:         e.ID,
			Born:       e.Born,
			Address:    e.Address,
			Service:    e.Service,
			DataCentre: e.DataCentre,
			Capacity:   messenger.FromResources(e.Capacity),
			Labels:     e.Labels,
		},
		Draining:        e.Draining,
		Reachable:       silent < c.config.Silence,
		SilentMillis:    int(silent.Milliseconds()),
		RemainingMillis: int(max(0, e.leavesAt.Sub(now)).Milliseconds()),
		Ends:            slices.Clone(e.ends),
	}
	for _, r := range e.ordered() {
		s := r.state
		s.Run = r.order.Run
		s.Phase = r.phase
		s.Pace = r.pace
		s.Unknown = !r.known
		state.Runs = append(state.Runs, s)
	}
	return state
}

// Answered takes an entry's answer to a report that was made at sent.
func (c *Custodian) Answered(now, sent time.Time, reply messenger.ReportReply) {
	if !reply.Owner || reply.Epoch < c.epoch {
		return
	}
	c.see(reply.Epoch)
	c.ownerAt = now
	c.acknowledge(reply.Seen)
	for _, e := range c.executors {
		listed := !e.listedAt.IsZero() && !e.listedAt.After(sent)
		if to := sent.Add(c.config.Lease); reply.Lease && listed && to.After(e.leaseTo) {
			e.leaseTo = to
		}
	}
	for _, record := range reply.Executors {
		c.recall(now, record)
	}
	for _, p := range reply.Presses {
		c.presses[[2]string{p.Serving, p.Filling}] = p.Headroom
	}
	if keep := c.refused - reply.RefusalsThrough; keep < len(c.refusals) {
		c.refusals = slices.Clone(c.refusals[len(c.refusals)-max(0, keep):])
	}
}

package conductor

import (
	"slices"
	"time"

	"apricotwinch/messenger"
)

// Times by the clock of an agent, as its reports show it.
const (
	// deliveryTimeout is how long the agent may go on reporting without having processed a start until the
	// start is withdrawn. Two calls to it fit in, and most of a third.
	deliveryTimeout = 1500 * time.Millisecond
	// probePeriod is the time without any call to an agent that doesn't get its orders after which it is
	// sent empty ones.
	probePeriod = time.Second
)

// sentOrders is what an owner knows of the orders that it sent to the current agent of a host. Tickets are
// those of the agent, in milliseconds since its start.
type sentOrders struct {
	// lastTicket is the ticket of the last orders.
	lastTicket int
	// unprocessed is the number of the earliest orders that are not known to be processed, and
	// firstTicket their first ticket; 0 for none.
	unprocessed, firstTicket int
	// undeliverable is whether the agent reports but doesn't process orders. processedBefore is the number
	// of the last ones that it had processed when that was found, and undeliverableTicket the ticket of
	// the report that showed it.
	undeliverable       bool
	processedBefore     int
	undeliverableTicket int
}

// record records that orders are about to be sent with a ticket.
func (s *sentOrders) record(number, ticket int) {
	s.lastTicket = ticket
	if s.unprocessed == 0 {
		s.unprocessed, s.firstTicket = number, ticket
	}
}

// delivery is what an owner knows of the delivery of a start, with tickets as in sentOrders.
type delivery struct {
	// firstTicket and lastTicket are the tickets of the first and the last orders that carried the start;
	// sent is whether there were any.
	sent                    bool
	firstTicket, lastTicket int
	// withdrawn is whether the start isn't sent any more. It may still be accepted late until the agent
	// refuses lastTicket.
	withdrawn bool
}

// record records that the start is about to be sent with a ticket.
func (d *delivery) record(ticket int) {
	if !d.sent {
		d.sent = true
		d.firstTicket = ticket
	}
	d.lastTicket = ticket
}

// overdue reports whether an agent has not processed the start for too long, as of its report.
func (d *delivery) overdue(r messenger.Report) bool {
	return d.sent && !d.withdrawn && elapsed(d.firstTicket, r) > deliveryTimeout
}

// elapsed returns the time from a ticket of an agent to its report.
func elapsed(ticket int, r messenger.Report) time.Duration {
	return time.Duration(r.TicketMillis-ticket) * time.Millisecond
}

// expireDeliveries gives up starts that an agent doesn't get although its reports arrive. A start that was
// never sent is released at once. Any other is released after a report that the agent made without having
// processed it, and at a time from which on it refuses the ticket of the last orders that carried
// the start: until then, it may still accept them. The host gets no new starts until it processes orders
// again.
func (c *Conductor) expireDeliveries(now time.Time, h *host, r messenger.Report) {
	if int64(r.Epoch) > c.epoch {
		return // The agent numbers the orders of another owner, and may have processed this one's before.
	}
	sent := &h.sentOrders
	processed := c.processedOrders(r)
	if sent.unprocessed <= processed {
		sent.unprocessed = 0
	}
	undelivered := h.undeliveredRuns(processed)
	if sent.undeliverable && processed > sent.processedBefore {
		sent.undeliverable = false
		c.logger.Info("orders processed again", "host", h.name, "processed", processed)
	}
	overdue := sent.unprocessed != 0 && elapsed(sent.firstTicket, r) > deliveryTimeout
	overdue = overdue || slices.ContainsFunc(undelivered, func(run *run) bool { return run.agent == h.incarnation && run.delivery.overdue(r) })
	if overdue && !sent.undeliverable {
		sent.undeliverable = true
		sent.processedBefore = processed
		sent.undeliverableTicket = r.TicketMillis
		c.count("orders.undeliverable")
		c.logger.Info("orders not processed", "host", h.name, "address", h.address, "order", c.lastOrders, "processed", processed,
			"agentEpoch", r.Epoch, "runs", len(undelivered))
	}
	for _, run := range undelivered {
		d := &run.delivery
		d.withdrawn = d.withdrawn || sent.undeliverable
		tooOld := run.agent == h.incarnation && elapsed(d.lastTicket, r) > c.config.Lease
		if d.withdrawn && (!d.sent || tooOld) {
			c.count("runs.undelivered")
			c.logger.Info("run undelivered", "run", run.ref, "executor", run.executor.id, "host", h.name, "order", run.ordersNumber, "processed", processed)
			c.release(now, run, "undelivered")
		}
	}
	if sent.undeliverable && elapsed(sent.lastTicket, r) > probePeriod {
		c.ordersFor(h)
	}
}

// undeliveredRuns returns the runs of a host whose starts its agent has not processed, in a fixed order.
func (h *host) undeliveredRuns(processed int) []*run {
	if h.lastStart <= processed {
		return nil
	}
	var undelivered []*run
	for _, e := range h.executors {
		for _, run := range e.runs {
			if run.ordersNumber > processed && run.ordersNumber != heldOrders {
				undelivered = append(undelivered, run)
			}
		}
	}
	slices.SortFunc(undelivered, func(a, b *run) int {
		if byTask := compareTasks(a.task, b.task); byTask != 0 {
			return byTask
		}
		return a.ref.Run - b.ref.Run
	})
	return undelivered
}

// withdrawStarts records that the starts of orders are not sent any more.
func (c *Conductor) withdrawStarts(orders *messenger.Orders) {
	for _, start := range orders.Starts {
		if run := c.runs[start.Run]; run != nil && run.ordersNumber == orders.Number {
			run.delivery.withdrawn = true
		}
	}
}

// cannotStart reports whether the agent of a host, which follows this owner, can't start a run any more that
// it doesn't list. Either it has processed the start, or later orders: then it is a later process of
// the agent than the one that the start was for, since it lives after that one reported. Or that one
// is known to be replaced.
func (h *host) cannotStart(r *run, processed int) bool {
	return r.ordersNumber <= processed || r.ordersNumber != heldOrders && h.replaced[r.agent]
}

// probe sends a new agent of a host empty orders if runs there have been started or stopped by orders. That
// it has processed them shows what became of orders for agents before it.
func (c *Conductor) probe(h *host) {
	for _, e := range h.executors {
		for _, run := range e.runs {
			if run.stopping || run.ordersNumber != 0 && run.ordersNumber != heldOrders {
				c.ordersFor(h)
				return
			}
		}
	}
}

// repeatStop orders a stop again that was lost: the agent has processed later orders and doesn't stop the run.
func (c *Conductor) repeatStop(e *executor, state *messenger.RunState, processed int) {
	run := c.runs[state.Run]
	if run == nil || run.executor != e || !run.stopping || state.Phase == messenger.RunStopping || run.stopNumber > processed {
		return
	}
	c.count("stops.repeated")
	c.logger.Info("stop repeated", "run", run.ref, "executor", e.id, "order", run.stopNumber, "processed", processed)
	c.orderStop(run)
}

package conductor

import (
	"time"

	"apricotwinch/messenger"
)

// followTimeout is how long an agent may go on reporting, by its own clock, without having got a reply of
// this owner until its leases are no longer extended. Two of its reports time out in it.
const followTimeout = 1500 * time.Millisecond

// updateGranting updates whether the reports of a host's agent extend leases. One that has got no owner's
// reply for a lease has none left, so that nothing is lost by granting none. If it has not got
// this owner's replies all the while, what may run there would otherwise never count as ended: an
// executor is listed only by an agent that has. The first reply that arrives ends this. Nor do those of an
// agent that can't be ordered to stop a run.
func (c *Conductor) updateGranting(h *host, r messenger.Report) {
	silence := time.Duration(r.OwnerSilentMillis) * time.Millisecond
	getsNoReplies := int64(r.Epoch) < c.epoch && silence > c.config.Lease && elapsed(h.firstTicket, r) > followTimeout
	withheld := getsNoReplies || c.getsNoStops(h, r)
	if withheld == h.withheld {
		return
	}
	h.withheld = withheld
	if withheld {
		c.count("leases.withheld")
		c.logger.Info("leases withheld", "host", h.name, "address", h.address, "agentEpoch", r.Epoch, "ownerSilentMillis", r.OwnerSilentMillis)
		return
	}
	c.logger.Info("leases granted again", "host", h.name, "agentEpoch", r.Epoch, "ownerSilentMillis", r.OwnerSilentMillis)
}

// getsNoStops reports whether a run on a host must stop, and its agent has not got orders for a lease. Its
// leases are the only means that is left to end the run.
func (c *Conductor) getsNoStops(h *host, r messenger.Report) bool {
	if !h.sentOrders.undeliverable || elapsed(h.sentOrders.undeliverableTicket, r) <= c.config.Lease {
		return false
	}
	for _, e := range h.executors {
		for _, run := range e.runs {
			if run.stopping {
				return true
			}
		}
	}
	return false
}

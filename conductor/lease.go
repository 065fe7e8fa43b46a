package conductor

import (
	"time"

	"apricotwinch/messenger"
)

// refusedExcess is how much older than a lease the ticket is of orders that an agent must refuse.
const refusedExcess = time.Second

// leaseLengths says whether the agent of a host honors the length of a lease. One of a version before counts
// Config.Lease from each report.
type leaseLengths struct {
	// honored is whether the current agent does, by its last whole report.
	honored bool
	// recorded is what the last record of the host says, and write the number of the append that must be durable
	// before an agent that doesn't gets a lease; 0 for none of this owner.
	recorded bool
	write    int64
}

// SetClaimedAt sets when this entry knew that its claim was committed. From then on it answers pings with the later
// epoch, so that each proof of an earlier owner that it has no successor is older, and with it the time from which
// that owner's leases count. It must be called before Restore; without it, no time before Restore counts.
func (c *Conductor) SetClaimedAt(at time.Time) { c.claimedAt = at }

// restoreBounds restores since when all owners have bounded leases by their proofs. last is the record of
// placements with the claims since, and settled the last epoch before which no owner could act any more.
func (c *Conductor) restoreBounds(last messenger.PlacementsRecord, settled int64) {
	since := int64(last.BoundedSince)
	c.boundedSince = c.epoch
	if int64(last.Epoch) == c.epoch-1 && since > 0 && since < c.epoch {
		c.boundedSince = since
	}
	c.unboundedEnded = c.boundedSince <= 1 || settled >= c.boundedSince
}

// restoreLeases sets when the leases of the hosts that earlier owners used have provably ended if the hosts don't
// report.
func (c *Conductor) restoreLeases() {
	for _, h := range c.hosts {
		end := c.inheritedLeaseEnd(h)
		for _, e := range h.executors {
			e.leaseEnd = later(end, e.strayLeaseEnd)
		}
	}
}

// inheritedLeaseEnd returns when the leases of a host that earlier owners used have provably ended if the host
// doesn't report. Bounded leases end by their length after this owner's claim was known. Owners that don't
// bound them may act, and grant, for Authority after the next claim.
func (c *Conductor) inheritedLeaseEnd(h *host) time.Time {
	granted := c.claimedAt
	switch bounded := h.lengths.recorded && c.boundedSince < c.epoch; {
	case !bounded && !c.clean:
		granted = granted.Add(c.config.Authority)
	case bounded && !c.unboundedEnded:
		if until := c.learnedAt(c.boundedSince).Add(c.config.Authority); until.After(granted) {
			granted = until
		}
	}
	return granted.Add(c.config.Lease + c.config.Margin)
}

// updateLengths updates whether the agent of a host honors the length of a lease. A successor relies on a record
// that it does, so that one is written only for an agent that follows this owner: any agent of the host before it
// has ended, and its leases are older than the record.
func (c *Conductor) updateLengths(now time.Time, h *host, r messenger.Report) {
	if !r.Whole {
		return
	}
	l := &h.lengths
	l.honored = r.LeaseLengths
	follows := int64(r.Epoch) >= c.epoch
	if l.recorded == l.honored || l.honored && !follows {
		return
	}
	l.recorded = l.honored
	if !l.recorded {
		l.write = c.sequence + 1
	}
	c.recordHost(now, h)
}

// mayGrant reports whether the current agent of a host may get leases of the length that it honors.
func (c *Conductor) mayGrant(h *host) bool {
	return h.lengths.honored || !h.lengths.recorded && h.lengths.write <= c.durable
}

// grant returns whether a lease is granted, and its length in milliseconds from when the report was sent; 0 to an
// agent that doesn't honor it.
func (c *Conductor) grant(now, provenAt time.Time, h *host) (granted bool, millis int) {
	if !h.lengths.honored {
		return true, 0
	}
	length := min(c.config.Lease, c.config.Lease-now.Sub(provenAt))
	millis = int(length.Milliseconds())
	return millis > 0, max(0, millis)
}

// grantedEnd returns when the leases have provably ended that grant grants.
func (c *Conductor) grantedEnd(now, provenAt time.Time, h *host) time.Time {
	return c.grantBase(now, provenAt, h).Add(c.config.Lease + c.config.Margin)
}

// grantBase returns the time from which the leases count that grant grants.
func (c *Conductor) grantBase(now, provenAt time.Time, h *host) time.Time {
	if h.lengths.honored && provenAt.Before(now) {
		return provenAt
	}
	return now
}

// updateOrderTickets updates the tickets that orders to a host carry. Its agent accepts starts only until the leases
// end that the last whole report renewed, as the owner gives up what it started after that: none if that one
// renewed none. Stops may come later, and go by the proof alone.
func (c *Conductor) updateOrderTickets(now, provenAt time.Time, h *host, r messenger.Report) {
	from := c.grantBase(now, provenAt, h)
	if r.Whole {
		h.renewed = c.mayRenew(h)
		h.grantedFrom = from
	}
	h.stopTicket = r.TicketMillis - int(now.Sub(from).Milliseconds())
	age := c.config.Lease + refusedExcess
	if h.renewed {
		age = min(age, now.Sub(earliest(from, h.grantedFrom)))
	}
	h.startTicket = r.TicketMillis - int(age.Milliseconds())
}

func earliest(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

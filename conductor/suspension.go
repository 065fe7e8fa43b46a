package conductor

import (
	"maps"
	"slices"
	"time"

	"apricotwinch/messenger"
)

// Times after which the leases of a silent host are suspended.
const (
	// suspendAfter is how long a host must be silent before its leases are suspended. A report that gets
	// lost leaves it silent for less.
	suspendAfter = 1250 * time.Millisecond
	// suspendAgainAfter is the same for a host that this owner has resumed, since the answer to the first
	// report after a suspension renews no lease: it is longer than an agent waits for an answer before
	// it reports again.
	suspendAgainAfter = 2500 * time.Millisecond
	// suspendUnheardAfter is the same for a host that this owner has never heard, from its start. While
	// other hosts have been heard for the first time in the last firstReportGap, it doubles: agents take a
	// while to find an owner.
	suspendUnheardAfter = time.Second
	firstReportGap      = 400 * time.Millisecond
	// maxTickGap is the time between two ticks beyond which the owner itself was late, so that reports wait
	// for it. settleTime is how long it then hears hosts, or most of them after most were silent, before it
	// suspends any.
	maxTickGap = 400 * time.Millisecond
	settleTime = 1250 * time.Millisecond
	// reportSpread is how far apart the last whole reports of hosts may be that fall silent at once.
	reportSpread = 400 * time.Millisecond
)

// suspension says whether the leases of a host may be renewed. Once a mark that they are not is queued, no
// owner renews them before a record without it is durable. The mark is durable before a successor's
// claim, so that the successor need not wait from its own start for what its predecessors didn't renew.
type suspension struct {
	// epoch is that of the owner that set the mark; 0 for no mark.
	epoch int64
	// alone is whether no owner before that one could act any more.
	alone bool
	// write is the number of the append that holds the mark, and resumeWrite that of the one that
	// must be durable before the leases are renewed; 0 for none of this owner.
	write, resumeWrite int64
	// resumed is whether this owner has resumed the host.
	resumed bool
}

// EpochLog tells since when an entry has known of epochs, by its own clock.
type EpochLog interface {
	// LearnedAt returns when the entry first knew that an epoch or a later one had been claimed. ok
	// is false if it doesn't know when.
	LearnedAt(epoch int64) (at time.Time, ok bool)
}

// SetEpochLog sets since when this entry has known of earlier epochs. It must be called before Restore;
// without it, no time before the owner's claim counts.
func (c *Conductor) SetEpochLog(log EpochLog) { c.epochLog = log }

// learnedAt returns the earliest known time by which an epoch or a later one had been claimed.
func (c *Conductor) learnedAt(epoch int64) time.Time {
	if c.epochLog == nil {
		return c.claimedAt
	}
	if at, ok := c.epochLog.LearnedAt(epoch); ok && at.Before(c.claimedAt) {
		return at
	}
	return c.claimedAt
}

// restoreSuspensions shortens the leases of the hosts that are suspended. It drops the marks unless
// every owner since honored them, as the last one recorded: one that doesn't may have renewed the leases.
func (c *Conductor) restoreSuspensions(last messenger.PlacementsRecord) {
	honored := last.Suspends && int64(last.Epoch) == c.epoch-1
	for _, name := range slices.Sorted(maps.Keys(c.hosts)) {
		h := c.hosts[name]
		epoch := h.suspension.epoch
		if epoch == 0 {
			continue
		}
		if !honored || epoch < 0 || epoch >= c.epoch {
			h.suspension = suspension{}
			c.recordHost(c.startedAt, h)
			continue
		}
		end := c.suspendedLeaseEnd(h)
		for _, e := range h.executors {
			e.shortenLease(end)
		}
	}
}

// suspendedLeaseEnd returns when the leases of a host that an earlier owner suspended have provably ended.
// That owner renewed them last before the mark was durable, and so before a later epoch was claimed. Those
// before it that didn't bound leases may have acted for Authority after the claim of the next one that did.
func (c *Conductor) suspendedLeaseEnd(h *host) time.Time {
	renewed := c.learnedAt(h.suspension.epoch + 1)
	bounded := h.suspension.epoch
	if h.lengths.recorded {
		bounded = min(bounded, c.boundedSince)
	}
	if stopped := c.learnedAt(bounded).Add(c.config.Authority); !h.suspension.alone && bounded > 1 && stopped.After(renewed) {
		renewed = stopped
	}
	return renewed.Add(c.config.Lease + c.config.Margin)
}

// isSilent reports whether a host is so silent that its leases are suspended, or is going to be in a while if
// it stays silent.
func (c *Conductor) isSilent(now time.Time, h *host, ahead time.Duration) bool {
	switch {
	case h.suspension.resumed:
		return now.Sub(h.wholeReportAt)+ahead >= suspendAgainAfter
	case !h.wholeReportAt.IsZero():
		return now.Sub(h.wholeReportAt)+ahead >= suspendAfter
	}
	ownedFor := now.Sub(c.startedAt)
	return ownedFor >= suspendUnheardAfter && now.Sub(c.hostFirstHeardAt) >= firstReportGap || ownedFor >= 2*suspendUnheardAfter
}

// suspendSilentHosts suspends the leases of the hosts that are silent, unless most hosts are, or were a moment
// ago: an owner that they don't reach, or that is late itself, learns nothing from their silence.
func (c *Conductor) suspendSilentHosts(now time.Time) {
	if !c.tickedAt.IsZero() && now.Sub(c.tickedAt) > maxTickGap {
		c.unsettledAt = now
	}
	c.tickedAt = now
	var silent []string
	used, quiet := 0, 0
	for name, h := range c.hosts {
		if len(h.executors) == 0 {
			continue
		}
		used++
		if c.isSilent(now, h, reportSpread) {
			quiet++
		}
		if c.isSilent(now, h, 0) {
			silent = append(silent, name)
		}
	}
	if 2*quiet > used {
		c.unsettledAt = now
	}
	if !c.unsettledAt.IsZero() && now.Sub(c.unsettledAt) < settleTime {
		return
	}
	slices.Sort(silent)
	for _, name := range silent {
		if h := c.hosts[name]; h.suspension.epoch == 0 {
			h.suspension.epoch, h.suspension.alone, h.suspension.write = c.epoch, c.settled, c.sequence+1
			c.recordHost(now, h)
			c.count("hosts.suspended")
			c.logger.Info("host suspended", "host", name, "reportAgeMillis", now.Sub(h.lastReportAt).Milliseconds())
		}
	}
}

// showsHealthyHost reports whether a report shows that its host works: the agent has received a reply from this
// owner and reaches an executor. A host that only sends reports, or whose restarted agent reaches no
// executor, counts as silent.
func (c *Conductor) showsHealthyHost(r messenger.Report) bool {
	return r.Whole && int64(r.Epoch) >= c.epoch && len(r.Executors) > 0
}

// resumeHost records that a host runs, so that its leases may be renewed again. That doesn't wait for the
// store if the mark hasn't been passed to it.
func (c *Conductor) resumeHost(now time.Time, h *host) {
	if h.wholeReportAt.IsZero() {
		c.hostFirstHeardAt = now
	}
	h.wholeReportAt = now
	s := &h.suspension
	if s.epoch == 0 {
		return
	}
	if s.write <= c.sequence {
		s.resumeWrite = c.sequence + 1
	}
	s.epoch, s.alone, s.write, s.resumed = 0, false, 0, true
	c.recordHost(now, h)
	c.count("hosts.resumed")
	c.logger.Info("host resumed", "host", h.name, "write", s.resumeWrite)
}

// mayRenew reports whether the leases of a host may be renewed.
func (c *Conductor) mayRenew(h *host) bool {
	return !h.withheld && h.suspension.epoch == 0 && h.suspension.resumeWrite <= c.durable && c.mayGrant(h)
}

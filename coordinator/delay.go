package coordinator

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"apricotwinch/messenger"
)

const (
	// reportLogPeriod is the least time between two lines about reports that were late or ignored.
	reportLogPeriod = time.Second
	// maxClockDrift is how much faster the clock of an agent may run, per second, than that of this
	// entry.
	maxClockDrift = time.Millisecond
)

// reportLog counts the reports of agents that are late or were ignored until the next line about
// them. Coordinator.mu guards it.
type reportLog struct {
	loggedAt time.Time
	clocks   map[string]agentClock
	late     int
	// oldest is the greatest age of the late reports, wait the time that this one spent at this entry,
	// and oldestHost its sender.
	oldest, wait time.Duration
	oldestHost   string
	// unproven and unauthorized count the ignored reports, by the reason; ignoredHost sent the last one.
	unproven, unauthorized int
	ignoredHost            string
}

// agentClock is the smallest difference between the clock of this entry, when it applied a report of an
// agent's process, and that process's clock when it sent the report.
type agentClock struct {
	incarnation string
	offset      time.Duration
	at          time.Time
}

// reportAge returns for how much longer than the fastest report of the same agent a report has been under
// way: in the agent, in the network, or while it waited here.
func (l *reportLog) reportAge(now time.Time, sinceStart time.Duration, r messenger.Report) time.Duration {
	offset := sinceStart - time.Duration(r.TicketMillis)*time.Millisecond
	clock, ok := l.clocks[r.Host]
	if ok && clock.incarnation == r.Incarnation {
		drift := time.Duration(now.Sub(clock.at).Seconds() * float64(maxClockDrift))
		clock.offset = min(clock.offset+drift, offset)
	} else {
		clock = agentClock{incarnation: r.Incarnation, offset: offset}
	}
	clock.at = now
	l.clocks[r.Host] = clock
	return offset - clock.offset
}

// recordApplied measures a report that is applied at now and was received at received. c.mu is held.
func (c *Coordinator) recordApplied(now, received time.Time, r messenger.Report) {
	wait := now.Sub(received)
	age := max(wait, c.reportLog.reportAge(now, now.Sub(c.startedAt), r))
	c.reportWait.Update(wait)
	c.reportAge.Update(age)
	if age <= peerTimeout {
		return
	}
	metrics.GetOrRegisterCounter("report.late", c.deps.Registry).Inc(1)
	c.reportLog.late++
	if age > c.reportLog.oldest {
		c.reportLog.oldest, c.reportLog.wait, c.reportLog.oldestHost = age, wait, r.Host
	}
}

// recordIgnored counts a report that is ignored as this owner has no authority, or no proof that it had
// no successor when the agent, which knows no epoch, first reported. c.mu is held.
func (c *Coordinator) recordIgnored(r messenger.Report, authority bool) {
	c.reportLog.ignoredHost = r.Host
	if !authority {
		metrics.GetOrRegisterCounter("report.unauthorized", c.deps.Registry).Inc(1)
		c.reportLog.unauthorized++
		return
	}
	metrics.GetOrRegisterCounter("report.unproven", c.deps.Registry).Inc(1)
	c.reportLog.unproven++
}

// logReports logs, at most once each reportLogPeriod, the reports that were late or ignored since the
// last time. c.mu is held.
func (c *Coordinator) logReports(now time.Time) {
	l := &c.reportLog
	if l.late+l.unproven+l.unauthorized == 0 || now.Sub(l.loggedAt) < reportLogPeriod {
		return
	}
	if l.late > 0 {
		c.deps.Logger.Info("reports late", "reports", l.late, "host", l.oldestHost, "ageMillis", l.oldest.Milliseconds(), "waitMillis", l.wait.Milliseconds())
	}
	if l.unproven+l.unauthorized > 0 {
		c.deps.Logger.Info("reports ignored", "unproven", l.unproven, "unauthorized", l.unauthorized, "host", l.ignoredHost, "epoch", c.elector.Epoch(),
			"proofAgeMillis", now.Sub(c.elector.ProvenAt(now)).Milliseconds(), "storeSilentMillis", c.elector.StoreSilence(now).Milliseconds())
	}
	*l = reportLog{loggedAt: now, clocks: l.clocks}
}

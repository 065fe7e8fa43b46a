package coordinator

import (
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"

	"apricotwinch/elector"
)

const (
	// maxTickDelay is the delay of a tick up to which it is not logged.
	maxTickDelay = 500 * time.Millisecond
	// tickLogPeriod is the least time between two lines about late ticks.
	tickLogPeriod = time.Second
)

// tickLog counts the late ticks until the next line about them. Coordinator.mu guards it.
type tickLog struct {
	loggedAt time.Time
	// late counts the late ticks; delay is the greatest delay, and lockWait the part of it in which that
	// tick waited for Coordinator.mu.
	late            int
	delay, lockWait time.Duration
}

// recordTick measures how late a tick is that began to wait for c.mu at began and has it since now, and
// logs, at most once each tickLogPeriod, the ticks that were late. c.mu is held.
func (c *Coordinator) recordTick(began, now time.Time) {
	l := &c.tickLog
	delay := max(0, now.Sub(c.tickedAt)-tickPeriod)
	if c.tickedAt.IsZero() {
		delay = 0
	}
	c.tickedAt = now
	c.tickDelay.Update(delay)
	if delay > maxTickDelay {
		metrics.GetOrRegisterCounter("tick.late", c.deps.Registry).Inc(1)
		l.late++
		if delay > l.delay {
			l.delay, l.lockWait = delay, now.Sub(began)
		}
	}
	if l.late == 0 || now.Sub(l.loggedAt) < tickLogPeriod {
		return
	}
	c.deps.Logger.Info("tick late", "lateMillis", l.delay.Milliseconds(), "lockMillis", l.lockWait.Milliseconds(), "ticks", l.late,
		"owner", c.conductor != nil, "epoch", c.elector.Epoch())
	*l = tickLog{loggedAt: now}
}

// measureHold returns a function that measures, with a timer, the time from now on. c.mu is held in
// between.
func (c *Coordinator) measureHold(timer metrics.Timer) func() {
	began := c.deps.Clock.Now()
	return func() { timer.Update(c.deps.Clock.Now().Sub(began)) }
}

// countClaim counts a claim that is about to be sent. It returns its reason, and how long ago an entry
// was last known to own the workloads. c.mu is held.
func (c *Coordinator) countClaim() (reason elector.ClaimReason, ownerSilence time.Duration) {
	reason = c.elector.ClaimReason()
	name := "claims.sent." + strings.ReplaceAll(string(reason), " ", "_")
	metrics.GetOrRegisterCounter(name, c.deps.Registry).Inc(1)
	return reason, c.elector.OwnerSilence(c.deps.Clock.Now())
}

package custodian

import (
	"time"

	"apricotwinch"
)

// A probe is a hold at the address of an executor that has ended and may have been followed by another incarnation, unheard. If
// the connection is refused once all calls without an answer are over, nothing that they started goes on.

// awaitsLateStarts reports whether a call without an answer may have started a run on a later incarnation.
func (ended *endedIncarnation) awaitsLateStarts(now time.Time) bool {
	return len(ended.underWay) > 0 || ended.inheritedUntil.After(now)
}

// lastCallEnd returns when no call for an incarnation that has ended is carried out any more.
func (c *Custodian) lastCallEnd(ended *endedIncarnation) time.Time {
	end := ended.silence.heardUntil
	if !ended.inheritedUntil.IsZero() {
		end = later(end, c.startedAt.Add(c.config.MaxCallDelay))
	}
	for _, r := range ended.underWay {
		end = later(end, c.underWayUntil(r))
	}
	return end
}

// addProbes adds the probes that are due.
func (c *Custodian) addProbes(now time.Time, calls *Calls) {
	for _, ended := range c.ended {
		if !ended.awaitsLateStarts(now) || c.executors[ended.Id] != nil || now.Before(ended.probeAt) || now.Before(c.lastCallEnd(ended)) {
			continue
		}
		ended.probeAt = now.Add(c.config.RetryDelay)
		calls.Probes = append(calls.Probes, HoldCall{
			Executor: ended.Id, Born: ended.Born, Address: ended.record.Address, Token: c.nextToken(now, ended.Id),
		})
	}
}

// HandleProbeAnswer takes the answer to a probe that was sent at sent, and reports whether a report to the owner is due at once.
// What answers is an incarnation to confirm.
func (c *Custodian) HandleProbeAnswer(now, sent time.Time, call HoldCall, answer Answer, err error) bool {
	ended := c.findEnded(call.Executor, call.Born)
	switch {
	case ended == nil || !ended.awaitsLateStarts(now):
		return false
	case err == nil && answer.StartedMillis != 0:
		a := announcementOf(ended.record)
		a.StartedMillis, a.Clock = answer.StartedMillis, answer.Clock
		return c.HandleAnnouncement(now, a)
	case apricotwinch.KindOf(err) != apricotwinch.StaleIncarnation || sent.Before(c.lastCallEnd(ended)):
		return false
	}
	ended.inheritedUntil = time.Time{}
	c.releaseUnderWay(now, ended, lateNoProcess, func(*run) bool { return true })
	c.wholeReportDue = true
	return true
}

package custodian

import (
	"time"

	"github.com/rcrowley/go-metrics"
)

// nextProbe returns the next hold at the last address of an executor that has ended while starts are under way, and
// false when there is none to make. The next incarnation carries no such start out once it has answered: the token is
// greater. Its own announcement may come later.
func (c *Custodian) nextProbe(now time.Time, id string) (HoldCall, bool) {
	ended := c.lastEnded(id)
	if ended == nil || !c.startsTo(id).underWay(now) {
		return HoldCall{}, false
	}
	metrics.GetOrRegisterCounter("executors.probed", c.registry).Inc(1)
	return HoldCall{Executor: id, Born: ended.Born, Address: ended.record.Address, Token: c.nextToken(now, id)}, true
}

// lastEnded returns the last incarnation under an id that has ended, or nil.
func (c *Custodian) lastEnded(id string) *endedIncarnation {
	for i := len(c.ended) - 1; i >= 0; i-- {
		if c.ended[i].Id == id {
			return c.ended[i]
		}
	}
	return nil
}

// handleProbeAnswer takes the answer to a probe, which may be that of the next incarnation. Its own announcement
// corrects what it doesn't share with the last one.
func (c *Custodian) handleProbeAnswer(now time.Time, call HoldCall, answer Answer, err error) {
	ended := c.findEnded(call.Executor, call.Born)
	if err != nil || ended == nil || answer.StartedMillis == 0 {
		return
	}
	c.HandleAnnouncement(now, Announcement{
		ID:            call.Executor,
		StartedMillis: answer.StartedMillis,
		Service:       ended.record.Service,
		Address:       ended.record.Address,
		DataCentre:    ended.record.DataCentre,
		Capacity:      ended.record.Capacity.Value(),
		Labels:        ended.record.Labels,
		Clock:         answer.Clock,
	})
}

package ranker

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// orderUrgent sorts urgent workloads by priority and feasibility, those of groups over their share last, and then by
// the time at which they must start at the latest. Those without an objective are never late and go last, first come
// first served.
func (r *Ranker) orderUrgent(now time.Time, entries []*entry) {
	for _, e := range entries {
		r.rankUrgent(now, e)
	}
	slices.SortFunc(entries, func(a, b *entry) int {
		return cmp.Or(
			cmp.Compare(a.candidate.Priority, b.candidate.Priority),
			cmp.Compare(a.ranked.Feasibility, b.ranked.Feasibility),
			compareShares(a, b),
			a.ranked.latestStart.Compare(b.ranked.latestStart),
			compareAcceptance(a, b),
		)
	})
}

// never is later than any time at which a workload must start.
var never = time.Unix(math.MaxInt32, 0)

// rankUrgent sets the feasibility of an urgent workload and when it must start at the latest. Of one that can't
// be in time that is when it must start to be worth something.
func (r *Ranker) rankUrgent(now time.Time, e *entry) {
	c := e.candidate
	e.ranked.ExpectedEnd = now.Add(c.Chain)
	e.ranked.Feasibility, e.ranked.latestStart = OnTime, never
	if c.Objective <= 0 {
		return
	}
	latest := c.AcceptedAt.Add(c.Objective - c.Chain)
	switch {
	case c.Lasting || !latest.Before(now):
	case !latest.Add(c.LateBound - c.Objective).Before(now):
		e.ranked.Feasibility = Late
		latest = latest.Add(c.LateBound - c.Objective)
	default:
		// All that is too late is equal, so that it is served in the order of acceptance.
		e.ranked.Feasibility = Infeasible
		return
	}
	if p := c.Previous; p.Feasibility == e.ranked.Feasibility && latest.Sub(p.latestStart).Abs() <= r.config.StartTolerance {
		latest = p.latestStart
	}
	e.ranked.latestStart = latest
}

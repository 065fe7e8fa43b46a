package router

import (
	"slices"
	"time"

	"apricotwinch"
	"apricotwinch/tracker"
)

const (
	// spillScore is the score above which targets in other data centres are
	// considered as well. A target that is neither slow nor failing has this score if the
	// request takes its last free slot.
	spillScore = 2
	// sameRegionPenalty multiplies the score of a target in another data centre of
	// the same region. It is small so that a free slot there beats a local queue.
	sameRegionPenalty = 1.05
	// otherRegionPenalty multiplies the score of a target in another region.
	otherRegionPenalty = 1.5
	// maxRemoteGroups is the number of data centres sampled in one pass over the
	// caller's region or over the other regions. More are sampled only while no target
	// is found.
	maxRemoteGroups = 2
)

// query holds the parameters of one choice.
type query struct {
	now     time.Time
	urgency apricotwinch.Urgency
	exclude []string
	pool    *pool
	local   *group
}

// candidate is the best target found so far. Its state is nil if there is none.
type candidate struct {
	state *targetState
	score float64
}

// Choose returns the target that should get a request. It prefers targets in
// localDataCentre and never returns one of the hosts in exclude. It fails with
// kind NoTarget if no target is usable, Overloaded if all are full, and Invalid if
// the urgency is unknown.
func (r *Router) Choose(now time.Time, service tracker.Service, urgency apricotwinch.Urgency, localDataCentre string, exclude ...string) (Target, error) {
	if urgency < apricotwinch.Batch || urgency > apricotwinch.Critical {
		return Target{}, apricotwinch.Errorf(apricotwinch.Invalid, "urgency: %d is unknown", int(urgency))
	}
	r.endEjections(now)
	p := r.pools[service]
	if p == nil {
		return Target{}, apricotwinch.Errorf(apricotwinch.NoTarget, "service %s has no target", service)
	}
	q := query{now: now, urgency: urgency, exclude: exclude, pool: p, local: p.group(localDataCentre)}
	best := r.search(&q)
	if best.state == nil {
		return Target{}, selectionError(p)
	}
	return Target{state: best.state, loadFactor: best.state.loadFactor()}, nil
}

// search tries local targets, then free targets in other data centres, then busy
// ones there, and finally those of suspected hosts.
func (r *Router) search(q *query) candidate {
	best := candidate{}
	r.sampleLocal(q, &best, classFree)
	if q.local == nil || len(q.local.byClass[classFree]) < r.config.choices {
		r.sampleLocal(q, &best, classBusy)
	}
	if best.state != nil && best.score <= spillScore {
		return best
	}
	if !r.sampleRemote(q, &best, classFree) {
		r.sampleRemote(q, &best, classBusy)
	}
	if best.state == nil {
		r.sampleLocal(q, &best, classSuspected)
	}
	if best.state == nil {
		r.sampleRemote(q, &best, classSuspected)
	}
	return best
}

// sampleLocal samples the caller's own data centre.
func (r *Router) sampleLocal(q *query, best *candidate, class class) {
	if q.local != nil && !q.local.disabled {
		r.sample(q, best, q.local, class, 1)
	}
}

// sampleRemote samples the other data centres, those of the same region first. It
// reports whether it found a better target than the best so far.
func (r *Router) sampleRemote(q *query, best *candidate, class class) bool {
	region := ""
	if q.local != nil {
		region = q.local.region
	}
	if r.sampleRegion(q, best, class, region, sameRegionPenalty) {
		return true
	}
	if class == classBusy && best.state != nil {
		return false
	}
	return r.sampleRegion(q, best, class, region, otherRegionPenalty)
}

// sampleRegion samples other data centres: those in region if penalty is
// sameRegionPenalty, those outside it otherwise. It stops once the best target has
// a score of at most spillScore times penalty, or once maxRemoteGroups were sampled
// and some target was found. It reports whether it found a better target than the
// best so far.
func (r *Router) sampleRegion(q *query, best *candidate, class class, region string, penalty float64) bool {
	groups := q.pool.groups
	first := r.random.IntN(len(groups))
	previous := best.state
	sampled := 0
	for i := range groups {
		g := groups[(first+i)%len(groups)]
		if g == q.local || g.disabled || (g.region == region) != (penalty == sameRegionPenalty) || len(g.byClass[class]) == 0 {
			continue
		}
		r.sample(q, best, g, class, penalty)
		sampled++
		if best.state != nil && (sampled >= maxRemoteGroups || best.score <= penalty*spillScore) {
			break
		}
	}
	return best.state != previous
}

// sample compares the configured number of random targets of one class. If there
// is still no candidate after that, for example because all of them were excluded,
// it compares enough consecutive targets to find one that isn't excluded.
func (r *Router) sample(q *query, best *candidate, g *group, class class, penalty float64) {
	list := g.byClass[class]
	if len(list) == 0 {
		return
	}
	if len(list) <= r.config.choices+len(q.exclude) {
		r.compareConsecutive(q, best, list, len(list), penalty)
		return
	}
	for range r.config.choices {
		r.consider(q, best, list[r.random.IntN(len(list))], penalty)
	}
	if best.state == nil {
		r.compareConsecutive(q, best, list, len(q.exclude)+1, penalty)
	}
}

// compareConsecutive compares count consecutive targets of list, from a random one on.
func (r *Router) compareConsecutive(q *query, best *candidate, list []*targetState, count int, penalty float64) {
	first := r.random.IntN(len(list))
	for i := range count {
		r.consider(q, best, list[(first+i)%len(list)], penalty)
	}
}

// consider makes a target the best one if it has room, isn't excluded and has a
// lower score than the best so far.
func (r *Router) consider(q *query, best *candidate, s *targetState, penalty float64) {
	if !s.hasRoom(q.urgency) || slices.Contains(q.exclude, s.host) {
		return
	}
	score := penalty * r.score(q.now, s)
	if best.state == nil || score < best.score {
		best.state, best.score = s, score
	}
}

// score returns the expected time of one more request at a target, as a multiple of
// the baseline latency of the service. The lower, the better.
func (r *Router) score(now time.Time, s *targetState) float64 {
	load := float64(s.outstanding()+1) / s.effectiveSlots(now, r.config.slowStart)
	slowness := s.pool.baseline.slowness(s.health.latency, r.config.slownessFactor)
	return (1 + load) * slowness * s.health.penalty()
}

// selectionError returns the error for a pool in which no target could be chosen.
func selectionError(p *pool) error {
	for _, g := range p.groups {
		if !g.disabled && len(g.byClass[classFull])+len(g.byClass[classBusy]) > 0 {
			return apricotwinch.Errorf(apricotwinch.Overloaded, "service %s: every target is full", p.service)
		}
	}
	return apricotwinch.Errorf(apricotwinch.NoTarget, "service %s has no usable target", p.service)
}

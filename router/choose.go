package router

import (
	"slices"
	"time"

	"apricotwinch"
	"apricotwinch/tracker"
)

const (
	// spillScore is the score over which a local target gives way to one of
	// another data centre: that of a target whose slots are all taken.
	spillScore = 2
	// nearPenalty is the factor on the score of a target in another data centre of
	// the region: a free slot there is better than a queue here.
	nearPenalty = 1.05
	// farPenalty is the factor on the score of a target in another region.
	farPenalty = 1.5
	// groupsElsewhere is the number of other data centres that one choice samples.
	groupsElsewhere = 2
)

// query is what is asked of one choice.
type query struct {
	now     time.Time
	urgency apricotwinch.Urgency
	exclude []string
	pool    *pool
	local   *group
}

// candidate is the best target so far; its state is nil while there is none.
type candidate struct {
	state *state
	score float64
}

// Choose returns the target that should get a request. Targets in
// localDataCentre come first; those of the hosts in exclude never do. It fails
// with kind NoTarget when none is usable, Overloaded when all are full and Invalid
// when the urgency is unknown.
func (r *Router) Choose(now time.Time, service tracker.Service, urgency apricotwinch.Urgency, localDataCentre string, exclude ...string) (Target, error) {
	if urgency < apricotwinch.Batch || urgency > apricotwinch.Critical {
		return Target{}, apricotwinch.Errorf(apricotwinch.Invalid, "urgency: %d is unknown", int(urgency))
	}
	r.advance(now)
	p := r.pools[service]
	if p == nil {
		return Target{}, apricotwinch.Errorf(apricotwinch.NoTarget, "service %s has no target", service)
	}
	q := query{now: now, urgency: urgency, exclude: exclude, pool: p, local: p.group(localDataCentre)}
	best := r.search(&q)
	if best.state == nil {
		return Target{}, refusal(p)
	}
	return Target{state: best.state, wait: best.state.wait()}, nil
}

// search tries local targets, free ones elsewhere, busy ones elsewhere and at
// last those of suspected hosts.
func (r *Router) search(q *query) candidate {
	best := candidate{}
	r.sampleLocal(q, &best, classFree)
	if q.local == nil || len(q.local.byClass[classFree]) < r.config.choices {
		r.sampleLocal(q, &best, classBusy)
	}
	if best.state != nil && best.score <= spillScore {
		return best
	}
	if !r.sampleElsewhere(q, &best, classFree) {
		r.sampleElsewhere(q, &best, classBusy)
	}
	if best.state == nil {
		r.sampleLocal(q, &best, classSuspected)
	}
	if best.state == nil {
		r.sampleElsewhere(q, &best, classSuspected)
	}
	return best
}

// sampleLocal samples the caller's own data centre.
func (r *Router) sampleLocal(q *query, best *candidate, class class) {
	if q.local != nil && !q.local.out {
		r.sample(q, best, q.local, class, 1)
	}
}

// sampleElsewhere samples the other data centres, those of the same region first;
// it reports whether any has a target that is better than the best so far.
func (r *Router) sampleElsewhere(q *query, best *candidate, class class) bool {
	region := ""
	if q.local != nil {
		region = q.local.region
	}
	if r.sampleRegion(q, best, class, region, nearPenalty) {
		return true
	}
	if class == classBusy && best.state != nil {
		return false
	}
	return r.sampleRegion(q, best, class, region, farPenalty)
}

// sampleRegion samples the other data centres, near ones inside of region and far
// ones outside, until one has a target that is better than a busy one or enough
// were sampled. It reports whether any has a target that is better than the best
// so far.
func (r *Router) sampleRegion(q *query, best *candidate, class class, region string, penalty float64) bool {
	groups := q.pool.groups
	first := r.random.IntN(len(groups))
	before := best.state
	sampled := 0
	for i := range groups {
		g := groups[(first+i)%len(groups)]
		if g == q.local || g.out || (g.region == region) != (penalty == nearPenalty) || len(g.byClass[class]) == 0 {
			continue
		}
		r.sample(q, best, g, class, penalty)
		sampled++
		if best.state != nil && (sampled >= groupsElsewhere || best.score <= penalty*spillScore) {
			break
		}
	}
	return best.state != before
}

// sample compares the configured number of targets of one class; neighbors in the
// list when the ones drawn were all excluded.
func (r *Router) sample(q *query, best *candidate, g *group, class class, penalty float64) {
	list := g.byClass[class]
	if len(list) == 0 {
		return
	}
	if len(list) <= r.config.choices+len(q.exclude) {
		r.compare(q, best, list, len(list), penalty)
		return
	}
	for range r.config.choices {
		r.consider(q, best, list[r.random.IntN(len(list))], penalty)
	}
	if best.state == nil {
		r.compare(q, best, list, len(q.exclude)+1, penalty)
	}
}

// compare compares a number of neighbors in a list.
func (r *Router) compare(q *query, best *candidate, list []*state, count int, penalty float64) {
	first := r.random.IntN(len(list))
	for i := range count {
		r.consider(q, best, list[(first+i)%len(list)], penalty)
	}
}

// consider keeps a target when it has room and is better than the best so far.
func (r *Router) consider(q *query, best *candidate, s *state, penalty float64) {
	if !s.holds(q.urgency) || slices.Contains(q.exclude, s.host) {
		return
	}
	score := penalty * r.score(q.now, s)
	if best.state == nil || score < best.score {
		best.state, best.score = s, score
	}
}

// score is the expected time of one more request at a target, as a multiple of
// the usual latency.
func (r *Router) score(now time.Time, s *state) float64 {
	load := float64(s.outstanding()+1) / s.effectiveSlots(now, r.config.slowStart)
	slowness := s.pool.baseline.slowness(s.health.latency, r.config.slownessFactor)
	return (1 + load) * slowness * s.health.penalty()
}

// refusal returns the error of a pool in which no target could be chosen.
func refusal(p *pool) error {
	for _, g := range p.groups {
		if !g.out && len(g.byClass[classFull])+len(g.byClass[classBusy]) > 0 {
			return apricotwinch.Errorf(apricotwinch.Overloaded, "service %s: every target is full", p.service)
		}
	}
	return apricotwinch.Errorf(apricotwinch.NoTarget, "service %s has no usable target", p.service)
}

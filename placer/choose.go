package placer

import (
	"cmp"
	"math"
	"slices"
	"time"

	"apricotwinch"
)

// dataCentreOption is a data centre that may have room for a request. Data centres are
// tried in order of jobShare, then randomKey; the search for hosts continues at cursor.
type dataCentreOption struct {
	dataCentre *dataCentre
	jobShare   float64
	randomKey  float64
	cursor     int
}

// candidate is a host with room, and its cost without the penalty.
type candidate struct {
	host *host
	cost float64
}

// choice is the state of one call of Choose. skipAvoided is whether the hosts that the
// request avoids are skipped, fewestTasks the lowest number of the job's tasks in any data
// centre with room, and failedLocalities the places where earlier attempts failed.
type choice struct {
	request          Request
	skipAvoided      bool
	visitBudget      int
	fewestTasks      int
	failedLocalities []apricotwinch.Locality
}

// Choose picks a host for the attempt of r and reserves its need there until a summary
// covers it, the reservation expires or the attempt is released. A second call for the same
// attempt returns the same host.
//
// It fails with kind Invalid for a negative need; with Unschedulable and the reason when no
// host can ever hold the need; and with NoCapacity when the need may fit later.
func (p *Placer) Choose(now time.Time, r Request) (string, error) {
	p.expire(now)
	if pl := p.placements[r.attempt]; pl != nil {
		return pl.host.name, nil
	}
	if err := p.validate(now, r); err != nil {
		return "", err
	}
	h := p.heldHost(r)
	if h == nil {
		h = p.pick(r)
	}
	if h == nil {
		return "", apricotwinch.Errorf(apricotwinch.NoCapacity, "attempt %s: no host has %s free", r.attempt, r.need)
	}
	p.releaseHold(r.attempt)
	p.place(now, r, h)
	return h.name, nil
}

// validate rejects a negative need and one that no known host can hold when empty.
func (p *Placer) validate(now time.Time, r Request) error {
	if r.need.Negative() {
		return apricotwinch.Errorf(apricotwinch.Invalid, "resources: %s is negative", r.need)
	}
	if p.capacities.fits(r.need) {
		return nil
	}
	if p.firstJoin.IsZero() || now.Sub(p.firstJoin) < p.config.DiscoveryPeriod {
		return apricotwinch.Errorf(apricotwinch.NoCapacity, "attempt %s: the hosts are not all known yet", r.attempt)
	}
	return apricotwinch.Errorf(apricotwinch.Unschedulable, "job %s: %s", r.attempt.Job(), p.capacities.describeShortage(r.need))
}

// pick returns the cheapest host of a sample, or nil when none has room. A host that the
// request avoids is used only when no other host could hold the need even when empty.
func (p *Placer) pick(r Request) *host {
	c := &choice{request: r, skipAvoided: true, visitBudget: p.config.VisitBudget}
	for _, name := range r.avoid {
		if h := p.hosts[name]; h != nil {
			c.failedLocalities = append(c.failedLocalities, h.locality)
		}
	}
	p.rankDataCentres(c)
	h := p.cheapest(c)
	if h == nil && len(r.avoid) > 0 && !p.hasAlternative(r) {
		c.skipAvoided = false
		h = p.cheapest(c)
	}
	return h
}

// rankDataCentres orders the data centres that may have room for the request: by the job's
// tasks per host, fewest first, and otherwise at random, with larger data centres earlier
// more often.
func (p *Placer) rankDataCentres(c *choice) {
	p.options = p.options[:0]
	counts := p.spread[c.request.attempt.Job()]
	for _, d := range p.dataCentres {
		if d.out || !d.index.mayFit(c.request.need) {
			continue
		}
		jobTasks := counts[failureDomain{locality: d.locality}]
		jobShare := float64(jobTasks) / float64(d.hostCount)
		if len(p.options) == 0 || jobTasks < c.fewestTasks {
			c.fewestTasks = jobTasks
		}
		randomKey := p.random.ExpFloat64() / float64(d.hostCount)
		cursor := p.random.IntN(len(d.hosts))
		p.options = append(p.options, dataCentreOption{dataCentre: d, jobShare: jobShare, randomKey: randomKey, cursor: cursor})
	}
	slices.SortFunc(p.options, func(a, b dataCentreOption) int {
		return cmp.Or(cmp.Compare(a.jobShare, b.jobShare), cmp.Compare(a.randomKey, b.randomKey))
	})
}

// cheapest returns the cheapest host of a sample of the first data centres in rank order.
// If they have no suitable host, it tries all of them one by one.
func (p *Placer) cheapest(c *choice) *host {
	if len(p.options) == 0 {
		return nil
	}
	preferred := p.options[:min(len(p.options), max(1, p.config.DataCentres))]
	draws := max(1, p.config.Samples/len(preferred))
	p.candidates = p.candidates[:0]
	for range draws {
		for i := range preferred {
			p.sample(c, &preferred[i], draws)
		}
	}
	h := p.lowestCost(c)
	for i := 0; h == nil && i < len(p.options); i++ {
		p.candidates = p.candidates[:0]
		p.sample(c, &p.options[i], draws)
		h = p.lowestCost(c)
	}
	return h
}

// lowestCost returns the candidate with the lowest cost. The penalty is never below 0 and
// takes the most time to compute, so it is computed only for candidates that can still win,
// and no longer once enough candidates with a finite penalty were compared.
func (p *Placer) lowestCost(c *choice) *host {
	slices.SortStableFunc(p.candidates, func(a, b candidate) int { return cmp.Compare(a.cost, b.cost) })
	var best *host
	lowest := math.Inf(1)
	remaining := p.config.PenaltySamples
	for _, each := range p.candidates {
		if each.cost >= lowest || remaining == 0 {
			break
		}
		cost := each.cost + p.penalty(c, each.host)
		if math.IsInf(cost, 1) {
			continue
		}
		remaining--
		if cost < lowest {
			best, lowest = each.host, cost
		}
	}
	return best
}

// sample adds one host of a data centre to the candidates, the next one with room from the
// cursor on, and moves the cursor so that the draws are spread over the data centre's
// hosts.
func (p *Placer) sample(c *choice, o *dataCentreOption, draws int) {
	d := o.dataCentre
	s := &search{index: &d.index, need: c.request.need, budget: c.visitBudget}
	defer func() { c.visitBudget = s.budget }()
	for range len(c.request.avoid) + 1 {
		leaf := s.find(o.cursor)
		if leaf < 0 {
			return
		}
		o.cursor = (leaf + 1) % len(d.hosts)
		h := d.hosts[leaf]
		if !c.skipAvoided || !c.request.avoids(h.name) {
			o.cursor = (leaf + max(1, len(d.hosts)/draws)) % len(d.hosts)
			p.addCandidate(c, h)
			return
		}
	}
}

// addCandidate adds a host to the candidates unless it is one already.
func (p *Placer) addCandidate(c *choice, h *host) {
	if slices.ContainsFunc(p.candidates, func(other candidate) bool { return other.host == h }) {
		return
	}
	p.candidates = append(p.candidates, candidate{host: h, cost: p.cost(c, h)})
}

// hasAlternative reports whether some host that accepts tasks and that the request does not
// avoid can hold the need when empty.
func (p *Placer) hasAlternative(r Request) bool {
	for _, d := range p.dataCentres {
		if d.out {
			continue
		}
		for _, h := range d.hosts {
			if h != nil && h.accepts() && r.need.Fits(h.capacity) && !r.avoids(h.name) {
				return true
			}
		}
	}
	return false
}

// place records the placement of r on h and reserves its need. A trial host gets no further
// task.
func (p *Placer) place(now time.Time, r Request, h *host) {
	pl := &placement{
		attempt: r.attempt,
		class:   r.class,
		need:    r.need,
		host:    h,
		expires: now.Add(p.config.ReservationTimeout),
	}
	p.placements[r.attempt] = pl
	p.spread.add(r.attempt.Job(), h)
	if h.eligibility == Trial {
		h.eligibility = Closed
	}
	p.reserve(pl)
}

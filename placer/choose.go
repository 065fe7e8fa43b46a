package placer

import (
	"cmp"
	"math"
	"slices"
	"time"

	"apricotwinch"
)

// option is a data centre that may hold a request.
type option struct {
	place  *dataCentre
	share  float64
	order  float64
	cursor int
}

// candidate is a host with room, and its cost without the penalty.
type candidate struct {
	host *host
	cost float64
}

// choice is the state of one call of Choose.
type choice struct {
	request Request
	strict  bool
	budget  int
	least   int
	failed  []apricotwinch.Locality
}

// Choose picks a host for the attempt of r and reserves its need there until a
// summary covers it, the reservation expires or the attempt is released. A
// second call for the same attempt returns the same host.
//
// It fails with kind Invalid for a negative need, with Unschedulable and the
// reason when no host can ever hold the need, and with NoCapacity when the need
// may fit later.
func (p *Placer) Choose(now time.Time, r Request) (string, error) {
	p.expire(now)
	if pl := p.placements[r.attempt]; pl != nil {
		return pl.host.name, nil
	}
	if err := p.check(now, r); err != nil {
		return "", err
	}
	h := p.heldHost(r)
	if h == nil {
		h = p.pick(r)
	}
	if h == nil {
		return "", apricotwinch.Errorf(apricotwinch.NoCapacity, "attempt %s: no host has %s free", r.attempt, r.need)
	}
	p.unhold(r.attempt)
	p.place(now, r, h)
	return h.name, nil
}

// check refuses what no host can hold.
func (p *Placer) check(now time.Time, r Request) error {
	if r.need.Negative() {
		return apricotwinch.Errorf(apricotwinch.Invalid, "resources: %s is negative", r.need)
	}
	if p.capacities.fits(r.need) {
		return nil
	}
	if p.firstJoin.IsZero() || now.Sub(p.firstJoin) < p.config.Learning {
		return apricotwinch.Errorf(apricotwinch.NoCapacity, "attempt %s: the hosts are not all known yet", r.attempt)
	}
	return apricotwinch.Errorf(apricotwinch.Unschedulable, "job %s: %s", r.attempt.Job(), p.capacities.shortage(r.need))
}

// pick returns the cheapest host of a sample; nil means that none has room.
func (p *Placer) pick(r Request) *host {
	c := &choice{request: r, strict: true, budget: p.config.VisitBudget}
	for _, name := range r.avoid {
		if h := p.hosts[name]; h != nil {
			c.failed = append(c.failed, h.locality)
		}
	}
	p.rank(c)
	h := p.cheapest(c)
	if h == nil && len(r.avoid) > 0 && !p.alternative(r) {
		c.strict = false
		h = p.cheapest(c)
	}
	return h
}

// rank orders the data centres that may hold the request: those with the
// smallest share of the job first, otherwise at random, the larger more often.
func (p *Placer) rank(c *choice) {
	p.options = p.options[:0]
	counts := p.spread[c.request.attempt.Job()]
	for _, d := range p.dataCentres {
		if d.out || !d.index.holds(c.request.need) {
			continue
		}
		here := counts[place{locality: d.locality}]
		share := float64(here) / float64(d.count)
		if len(p.options) == 0 || here < c.least {
			c.least = here
		}
		order := p.random.ExpFloat64() / float64(d.count)
		cursor := p.random.IntN(len(d.hosts))
		p.options = append(p.options, option{place: d, share: share, order: order, cursor: cursor})
	}
	slices.SortFunc(p.options, func(a, b option) int {
		return cmp.Or(cmp.Compare(a.share, b.share), cmp.Compare(a.order, b.order))
	})
}

// cheapest returns the cheapest host of a sample of the best data centres; when
// they hold none, of the others.
func (p *Placer) cheapest(c *choice) *host {
	if len(p.options) == 0 {
		return nil
	}
	near := p.options[:min(len(p.options), max(1, p.config.DataCentres))]
	draws := max(1, p.config.Samples/len(near))
	p.candidates = p.candidates[:0]
	for range draws {
		for i := range near {
			p.draw(c, &near[i], draws)
		}
	}
	h := p.weigh(c)
	for i := 0; h == nil && i < len(p.options); i++ {
		p.candidates = p.candidates[:0]
		p.draw(c, &p.options[i], draws)
		h = p.weigh(c)
	}
	return h
}

// weigh returns the candidate with the lowest cost. The penalty, which takes the
// most time and is never below 0, is left out for those that can't win and once
// enough candidates have a finite one.
func (p *Placer) weigh(c *choice) *host {
	slices.SortStableFunc(p.candidates, func(a, b candidate) int { return cmp.Compare(a.cost, b.cost) })
	var best *host
	lowest := math.Inf(1)
	left := p.config.Penalties
	for _, each := range p.candidates {
		if each.cost >= lowest || left == 0 {
			break
		}
		cost := each.cost + p.penalty(c, each.host)
		if math.IsInf(cost, 1) {
			continue
		}
		left--
		if cost < lowest {
			best, lowest = each.host, cost
		}
	}
	return best
}

// draw adds one host of a data centre to the candidates, the next from the cursor on, and
// moves the cursor so that the draws are spread over its hosts.
func (p *Placer) draw(c *choice, o *option, draws int) {
	d := o.place
	s := &search{index: &d.index, need: c.request.need, budget: c.budget}
	defer func() { c.budget = s.budget }()
	for range len(c.request.avoid) + 1 {
		leaf := s.find(o.cursor)
		if leaf < 0 {
			return
		}
		o.cursor = (leaf + 1) % len(d.hosts)
		h := d.hosts[leaf]
		if !c.strict || !c.request.avoids(h.name) {
			o.cursor = (leaf + max(1, len(d.hosts)/draws)) % len(d.hosts)
			p.consider(c, h)
			return
		}
	}
}

// consider adds a host to the candidates unless it is one.
func (p *Placer) consider(c *choice, h *host) {
	if slices.ContainsFunc(p.candidates, func(other candidate) bool { return other.host == h }) {
		return
	}
	p.candidates = append(p.candidates, candidate{host: h, cost: p.cost(c, h)})
}

// alternative reports whether a host that the request does not avoid and that
// may get tasks can hold its need when empty.
func (p *Placer) alternative(r Request) bool {
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

// place records the attempt of r on h.
func (p *Placer) place(now time.Time, r Request, h *host) {
	pl := &placement{
		attempt: r.attempt,
		class:   r.class,
		need:    r.need,
		host:    h,
		expires: now.Add(p.config.ReservationLife),
	}
	p.placements[r.attempt] = pl
	p.spread.add(r.attempt.Job(), h)
	if h.standing == Trial {
		h.standing = Closed
	}
	p.reserve(pl)
}
